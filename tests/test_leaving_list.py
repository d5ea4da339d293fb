import pytest

from rhubarbmount.errors import PlatformUnavailable
from rhubarbmount.leaving_list import HOLD_S, LeavingList
from rhubarbmount.platform.interface import LiveHost


class Listing:
    """A platform's list, or its silence."""

    def __init__(self):
        self.hosts = [LiveHost("w1"), LiveHost("w2")]

    async def live_hosts(self):
        if self.hosts is None:
            raise PlatformUnavailable("no answer")
        return self.hosts


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
