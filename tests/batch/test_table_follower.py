"""Tests for following a table whose change feed may stall."""

import random

import attrs
import pytest
import trio
from trio.testing import MockClock

from rhubarbmount.batch.shard_rows import ShardLoader
from rhubarbmount.batch.table_follower import (
    FEED_STALL_S,
    FEED_WAIT_S,
    MAX_WHOLE_PAGE_BYTES,
    TableFollower,
    read_parts,
)
from rhubarbmount.batch.tables import PROGRESS_TABLE
from rhubarbmount.errors import OutcomeUnknown, PlatformUnavailable
from rhubarbmount.platform.rows import PAGE_ROWS, Page, Row, RowName

PART = "p"
CONTACT_S = 3.0
# Time that a large answer takes to arrive.
BACKLOG_S = 2.0
WEAK_LINK_MBPS = 2.0


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

    async def feed(self, table, version, wait_s, timeout_s):
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

    async def read(self, table, part, first_key, timeout_s, limit):
        return await self.read_all(table, part, timeout_s)


async def load_all(store, link_mbps):
    """Load a shard and its requests; return the rows and the pages of requests."""
    loader = ShardLoader(store, "shard-0", link_mbps)
    loaded = await loader.load()
    requests = []
    await loader.load_requests(requests.append)
    return loaded, requests


# Guards against a holder that never loads its shard over a slow link.
async def test_a_shard_is_loaded_over_a_slow_link(autojump_clock):
    with trio.fail_after(30.0):
        loaded, requests = await load_all(SlowLinkStore(), WEAK_LINK_MBPS)
    assert loaded.progress.rows == ()
    assert len(requests) == 8


class PagedStore:
    """Store with many rows in each part, of which some reads are not answered."""

    rows_per_part = 40

    def __init__(self):
        self.answered = []
        self.under_way = self.most_under_way = 0
        self.generator = random.Random(1)

    async def read(self, table, part, first_key, timeout_s, limit):
        self.under_way += 1
        self.most_under_way = max(self.most_under_way, self.under_way)
        await trio.sleep(0.05)
        self.under_way -= 1
        if self.generator.random() < 0.3:
            raise OutcomeUnknown("no answer in time", code="timeout")
        start = int(first_key.rstrip("\x00") or -1) + 1
        end = min(start + limit, self.rows_per_part)
        self.answered.append((table, part, start))
        names = [RowName(table, part, f"{number:03}") for number in range(start, end)]
        rows = tuple(Row(name, b"{}", 1) for name in names)
        return Page(rows, len(self.answered), 0, end < self.rows_per_part)


# Guards against takeovers that read everything again after each answer that is lost,
# and that leave a weak link no room for renewals.
async def test_no_page_is_read_twice_when_a_shard_is_loaded(autojump_clock):
    store = PagedStore()
    with trio.fail_after(30.0):
        loaded, requests = await load_all(store, WEAK_LINK_MBPS)
    assert len(store.answered) == len(set(store.answered))
    assert len(loaded.progress.rows) == store.rows_per_part
    assert [len(page.rows) for page in requests] == [store.rows_per_part] * 8
    assert store.most_under_way <= 4
    # Following from the first page's version misses no change.
    first_of_progress = next(
        number
        for number, (table, _, start) in enumerate(store.answered, 1)
        if table == PROGRESS_TABLE
    )
    assert loaded.progress.version == first_of_progress


async def test_a_strong_link_reads_all_parts_at_once(autojump_clock):
    store = PagedStore()
    await load_all(store, 1000.0)
    assert store.most_under_way == 8


async def test_a_table_is_followed_over_a_slow_link(autojump_clock, nursery):
    store = SlowLinkStore()
    store.put("a")
    _, seen = await start_follower(nursery, store)
    await trio.sleep(30.0)
    assert seen == ["a"]


class FullPageStore(FakeStore):
    """Store whose feed gives one page of the rows that have changed."""

    clock_ms = 5000
    answers = 0

    def put_large(self, key):
        """Write a row with which a page may have been cut."""
        self.put(key)
        row = self.rows[key]
        self.rows[key] = attrs.evolve(row, value=b"x" * MAX_WHOLE_PAGE_BYTES)

    async def feed(self, table, version, wait_s, timeout_s):
        self.answers += 1
        page = await super().feed(table, version, wait_s, timeout_s)
        rows = page.rows[:PAGE_ROWS]
        newest = rows[-1].version if rows else page.version
        return Page(rows, newest, self.clock_ms, False)


# Guards against MIXED: changes of a full page are not all that there are.
async def test_a_full_page_does_not_tell_up_to_when_all_is_known(autojump_clock):
    store = FullPageStore()
    for number in range(PAGE_ROWS + 1):
        store.put(f"{number:04}")
    known = []
    follower = TableFollower(
        store,
        "t",
        (PART,),
        lambda page, is_whole: known.append(follower.known_until_s),
        start_version=0,
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(follower.run)
        await trio.sleep(0.1)
        assert known == [0.0, 0.0]
        assert follower.known_until_s == 5.0
        nursery.cancel_scope.cancel()


# Guards against refusals while large rows change: each page may have been cut, so that
# none tells up to when all is known.
async def test_all_is_known_soon_after_each_of_many_large_changes(autojump_clock):
    store = FullPageStore()
    known_until_s = []
    follower = TableFollower(
        store,
        "t",
        (PART,),
        lambda page, is_whole: None,
        start_version=0,
        on_known=known_until_s.append,
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(follower.run)
        for count in range(1, 10):
            store.put_large("0000")
            await trio.sleep(FEED_WAIT_S / 2)
            assert len(known_until_s) >= count
        nursery.cancel_scope.cancel()


class LateStore:
    """Store whose answers tell what was true when it was called, and come late."""

    async def read_all(self, table, part, timeout_s):
        page = Page((), 1, int(trio.current_time() * 1000), False)
        await trio.sleep(2.5)
        return page

    async def feed(self, table, version, wait_s, timeout_s):
        return await self.read_all(table, PART, wait_s)


# Guards against LIMIT and MIXED: what is heard late is dated by when it is heard.
@pytest.mark.parametrize("start_version", [None, 1])
async def test_what_is_known_is_dated_by_the_store(autojump_clock, start_version):
    known_until_s = []
    follower = TableFollower(
        LateStore(),
        "t",
        (PART,),
        lambda page, is_whole: None,
        start_version,
        on_known=known_until_s.append,
    )
    began_s = trio.current_time()
    with trio.move_on_after(2.6):
        await follower.run()
    assert known_until_s == pytest.approx([began_s], abs=0.01)


# Guards against MIXED: changes of a page that was cut by its size are not all.
async def test_a_large_page_does_not_tell_up_to_when_all_is_known(autojump_clock):
    store = FullPageStore()
    store.put_large("0000")
    known = []
    follower = TableFollower(
        store,
        "t",
        (PART,),
        lambda page, is_whole: None,
        start_version=0,
        on_known=lambda until_s: known.append((until_s, store.answers)),
    )
    with trio.move_on_after(0.1):
        await follower.run()
    # The next answer tells, which holds no more changes.
    assert known == [(5.0, 2)]


class SilentStore(FakeStore):
    """Store that does not answer the polls that it gets while it is silent."""

    is_silent = True

    async def feed(self, table, version, wait_s, timeout_s):
        if self.is_silent:
            await trio.sleep(timeout_s)
            raise OutcomeUnknown("no answer in time")
        return await super().feed(table, version, wait_s, timeout_s)


# Guards against CONFIG and UNASKED: a poll that is lost as the store comes back holds
# changes up for longer than hosts count as cut off.
@pytest.mark.parametrize("silent_s", [0.01, 0.5, 1.4, 2.4, 2.9, 4.0, 7.3])
async def test_a_change_is_heard_of_soon_after_a_silence(autojump_clock, silent_s):
    store = SilentStore()
    async with trio.open_nursery() as nursery:
        follower, seen = await start_follower(nursery, store)
        await trio.sleep(silent_s)
        store.is_silent = False
        store.put("0000")
        await trio.sleep(CONTACT_S - 0.1)
        assert seen == ["0000"]
        nursery.cancel_scope.cancel()


class BacklogStore(SilentStore):
    """Store whose first answer after its silence takes long to arrive."""

    async def feed(self, table, version, wait_s, timeout_s):
        page = await super().feed(table, version, wait_s, timeout_s)
        if page.rows and timeout_s < BACKLOG_S:
            await trio.sleep(timeout_s)
            raise OutcomeUnknown("no answer in time")
        await trio.sleep(BACKLOG_S if page.rows else 0.0)
        return page


# Guards against CONFIG: the poll after an outage got no time for what had gathered.
async def test_what_has_gathered_in_an_outage_may_take_long_to_arrive(autojump_clock):
    store = BacklogStore()
    async with trio.open_nursery() as nursery:
        follower, seen = await start_follower(nursery, store)
        await trio.sleep(4.0)
        store.put("0000")
        store.is_silent = False
        await trio.sleep(5.0)
        assert seen == ["0000"]
        nursery.cancel_scope.cancel()
