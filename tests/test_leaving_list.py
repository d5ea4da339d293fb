import pytest
import trio

from rhubarbmount.errors import PlatformUnavailable
from rhubarbmount.leaving_list import HOLD_S, LeavingList
from rhubarbmount.store.interface import LiveHost


class Listing:
    """A platform's list, or its silence."""

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
def seen():
    return []


async def test_a_host_counts_as_leaving_for_as_long_as_the_list_says_so(seen):
    listing = Listing()
    leaving = LeavingList(listing, seen.append, lambda: 0.0)
    await leaving.refresh()
    listing.hosts = [LiveHost("w1", leaving=True), LiveHost("w2")]
    await leaving.refresh()
    await leaving.refresh()
    listing.hosts = [LiveHost("w1"), LiveHost("w2")]
    await leaving.refresh()
    assert seen == [{"w1"}, set()]


async def test_the_last_list_holds_for_a_time_while_the_platform_is_silent(seen):
    listing = Listing()
    now_s = 0.0
    leaving = LeavingList(listing, seen.append, lambda: now_s)
    listing.hosts = [LiveHost("w1", leaving=True)]
    await leaving.refresh()
    listing.hosts = None
    now_s = HOLD_S
    await leaving.refresh()
    assert seen == [{"w1"}]
    now_s = HOLD_S + 1
    await leaving.refresh()
    assert seen == [{"w1"}, set()]


async def test_rows_wait_for_the_list_for_a_short_time_only(seen, autojump_clock):
    listing = Listing()
    leaving = LeavingList(listing, seen.append)
    listing.hosts = [LiveHost("w1", leaving=True)]
    await leaving.refresh_briefly()
    assert seen == [{"w1"}]
    listing.delay_s = 60.0
    with trio.fail_after(1.0):
        await leaving.refresh_briefly()


async def test_an_answer_overtaken_by_a_later_one_is_left_out(seen, autojump_clock):
    listing = Listing()
    leaving = LeavingList(listing, seen.append)
    listing.hosts = [LiveHost("w1", leaving=True)]
    listing.delay_s = 1.0
    async with trio.open_nursery() as nursery:
        nursery.start_soon(leaving.refresh)
        await trio.sleep(0.5)
        listing.hosts = [LiveHost("w1")]
        listing.delay_s = 0.0
        await leaving.refresh()
    assert seen == []
