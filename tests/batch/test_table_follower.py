"""Tests for following a table whose change feed may stall."""

import pytest
import trio
from trio.testing import MockClock

from rhubarbmount.batch.shard_rows import load_shard
from rhubarbmount.batch.table_follower import FEED_STALL_S, TableFollower, read_parts
from rhubarbmount.errors import OutcomeUnknown, PlatformUnavailable
from rhubarbmount.platform.rows import Page, Row, RowName

PART = "p"


@pytest.fixture
def autojump_clock():
    return MockClock(rate=0.0, autojump_threshold=0.0)


class FakeStore:
    """Store whose feed delivers each change, unless it is stalled."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.is_stalled = False
        self.reads = 0
        self._changed = trio.Event()

    def put(self, key):
        self.version += 1
        self.rows[key] = Row(RowName("t", PART, key), b"", self.version)
        self._changed.set()
        self._changed = trio.Event()
        return self.version

    async def read_all(self, table, part, timeout_s):
        self.reads += 1
        return Page(tuple(self.rows.values()), self.version, 0, False)

    async def feed(self, table, version, wait_s):
        with trio.move_on_after(wait_s):
            while self.is_stalled or self.version <= version:
                await self._changed.wait()
        new = [row for row in self.rows.values() if row.version > version]
        rows = () if self.is_stalled else tuple(new)
        newest = version if self.is_stalled else self.version
        return Page(rows, newest, 0, False)


async def start_follower(nursery, store):
    """Start a follower; return it and the list of keys that it passes on, in order."""
    seen = []

    def record_page(page, is_whole):
        seen.extend(row.name.key for row in page.rows)

    follower = TableFollower(store, "t", (PART,), record_page)
    nursery.start_soon(follower.run)
    await trio.sleep(0.1)
    return follower, seen


async def test_a_stalled_feed_falls_back_to_reading_the_table(autojump_clock):
    """The store drops its history, and its feed delivers no change for a second."""
    store = FakeStore()
    store.put("old")
    async with trio.open_nursery() as nursery:
        follower, seen = await start_follower(nursery, store)
        store.is_stalled = True
        follower.expect(store.put("new"))
        store.put("newer")
        await trio.sleep(FEED_STALL_S + 0.1)
        assert seen == ["old", "new", "newer"]
        store.is_stalled = False
        follower.expect(store.put("newest"))
        await trio.sleep(0.1)
        assert seen[-1] == "newest"
        nursery.cancel_scope.cancel()


async def test_a_working_feed_causes_no_table_reads(autojump_clock):
    store = FakeStore()
    async with trio.open_nursery() as nursery:
        follower, seen = await start_follower(nursery, store)
        for key in ("a", "b"):
            follower.expect(store.put(key))
            await trio.sleep(2 * FEED_STALL_S)
        assert seen == ["a", "b"]
        assert store.reads == 1
        nursery.cancel_scope.cancel()


class SlowFakeStore(FakeStore):
    """Store that takes 0.3 s for each read."""

    async def read_all(self, table, part, timeout_s):
        version = self.version
        self.version += 1
        await trio.sleep(0.3)
        return Page((Row(RowName(table, part, "k"), b"", 1),), version, 0, False)


async def test_parts_of_a_table_are_read_concurrently(autojump_clock):
    """Sequential reads would delay the takeover of a shard while the store is slow."""
    page = await read_parts(SlowFakeStore(), "t", ("a", "b", "c"))
    assert trio.current_time() < 0.4
    assert [row.name.part for row in page.rows] == ["a", "b", "c"]
    assert page.version == 0


async def test_read_parts_fails_if_one_part_cannot_be_read(autojump_clock):
    store = SlowFakeStore()

    async def fail(table, part, timeout_s):
        raise PlatformUnavailable("the store rejects this host", code="store-503")

    store.read_all = fail
    with pytest.raises(PlatformUnavailable):
        await read_parts(store, "t", ("a", "b"))


class SlowLinkStore(FakeStore):
    """Store whose tables take seconds to arrive over a slow link."""

    read_s = 5.0

    async def read_all(self, table, part, timeout_s):
        with trio.move_on_after(timeout_s):
            await trio.sleep(self.read_s)
            return await super().read_all(table, part, timeout_s)
        raise OutcomeUnknown("no answer in time", code="timeout")


# Guards against a holder that never loads its shard over a slow link.
async def test_a_shard_is_loaded_over_a_slow_link(autojump_clock):
    with trio.fail_after(30.0):
        loaded = await load_shard(SlowLinkStore(), "shard-0")
    assert loaded.progress.rows == ()


async def test_a_table_is_followed_over_a_slow_link(autojump_clock, nursery):
    store = SlowLinkStore()
    store.put("a")
    _, seen = await start_follower(nursery, store)
    await trio.sleep(30.0)
    assert seen == ["a"]
