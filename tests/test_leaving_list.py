import pytest
import trio

from rhubarbmount.errors import PlatformUnavailable
from rhubarbmount.leaving_list import MAX_LIST_AGE_S, LeavingList
from rhubarbmount.store.interface import LiveHost


class FakePlatform:
    """A platform with a list of hosts; without one it is unavailable."""

    def __init__(self):
        self.hosts = [LiveHost("w1"), LiveHost("w2")]
        self.delay_s = 0.0

    async def live_hosts(self):
        hosts = self.hosts
        await trio.sleep(self.delay_s)
        if hosts is None:
            raise PlatformUnavailable("no answer")
        return hosts


@pytest.fixture
def updates():
    return []


async def test_a_host_is_leaving_for_as_long_as_it_is_listed(updates):
    platform = FakePlatform()
    leaving = LeavingList(platform, updates.append, lambda: 0.0)
    await leaving.refresh()
    platform.hosts = [LiveHost("w1", leaving=True), LiveHost("w2")]
    await leaving.refresh()
    await leaving.refresh()
    platform.hosts = [LiveHost("w1"), LiveHost("w2")]
    await leaving.refresh()
    assert updates == [{"w1"}, set()]


async def test_the_last_list_is_kept_for_a_bounded_time_in_an_outage(
    updates,
):
    platform = FakePlatform()
    now_s = 0.0
    leaving = LeavingList(platform, updates.append, lambda: now_s)
    platform.hosts = [LiveHost("w1", leaving=True)]
    await leaving.refresh()
    platform.hosts = None
    now_s = MAX_LIST_AGE_S
    await leaving.refresh()
    assert updates == [{"w1"}]
    now_s = MAX_LIST_AGE_S + 1
    await leaving.refresh()
    assert updates == [{"w1"}, set()]


async def test_refreshing_before_row_updates_is_bounded_in_time(
    updates, autojump_clock
):
    platform = FakePlatform()
    leaving = LeavingList(platform, updates.append)
    platform.hosts = [LiveHost("w1", leaving=True)]
    await leaving.refresh_briefly()
    assert updates == [{"w1"}]
    platform.delay_s = 60.0
    with trio.fail_after(1.0):
        await leaving.refresh_briefly()


async def test_an_older_response_that_arrives_late_is_ignored(updates, autojump_clock):
    platform = FakePlatform()
    leaving = LeavingList(platform, updates.append)
    platform.hosts = [LiveHost("w1", leaving=True)]
    platform.delay_s = 1.0
    async with trio.open_nursery() as nursery:
        nursery.start_soon(leaving.refresh)
        await trio.sleep(0.5)
        platform.hosts = [LiveHost("w1")]
        platform.delay_s = 0.0
        await leaving.refresh()
    assert updates == []
