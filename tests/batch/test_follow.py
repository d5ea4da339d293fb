"""Following a table whose changes are not always heard of."""

import pytest
import trio
from trio.testing import MockClock

from rhubarbmount.batch.follow import STALL_S, TableFollower
from rhubarbmount.platform.rows import Page, Row, RowName

PART = "p"


@pytest.fixture
def autojump_clock():
    return MockClock(rate=0.0, autojump_threshold=0.0)


class Store:
    """Rows whose changes are told, unless they are held back."""

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

    async def read_all(self, table, part):
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


async def follow(nursery, store):
    """Return the follower and the keys that it was told, in order."""
    seen = []

    def note(page, is_whole):
        seen.extend(row.name.key for row in page.rows)

    follower = TableFollower(store, "t", (PART,), note)
    nursery.start_soon(follower.run)
    await trio.sleep(0.1)
    return follower, seen


async def test_changes_that_stall_are_read(autojump_clock):
    """The store drops its history: for a second no change is told."""
    store = Store()
    store.put("old")
    async with trio.open_nursery() as nursery:
        follower, seen = await follow(nursery, store)
        store.is_stalled = True
        follower.expect(store.put("new"))
        store.put("newer")
        await trio.sleep(STALL_S + 0.1)
        assert seen == ["old", "new", "newer"]
        store.is_stalled = False
        follower.expect(store.put("newest"))
        await trio.sleep(0.1)
        assert seen[-1] == "newest"
        nursery.cancel_scope.cancel()


async def test_changes_that_are_told_are_not_read(autojump_clock):
    store = Store()
    async with trio.open_nursery() as nursery:
        follower, seen = await follow(nursery, store)
        for key in ("a", "b"):
            follower.expect(store.put(key))
            await trio.sleep(2 * STALL_S)
        assert seen == ["a", "b"]
        assert store.reads == 1
        nursery.cancel_scope.cancel()
