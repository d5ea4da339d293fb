"""Tests for acquiring a lease when the store is slow or its answers are lost."""

from contextlib import asynccontextmanager

import pytest
import trio
from trio.testing import MockClock

from rhubarbmount.batch import clocks
from rhubarbmount.batch.clocks import RATE_MARGIN
from rhubarbmount.batch.election import (
    LEASE_ROW,
    LONGEST_LEASE,
    TOKENS_PER_LEASE,
    longest_grant_s,
)
from rhubarbmount.batch.grants_end import GrantsEnd
from rhubarbmount.batch.lease_manager import OUTCOME_WAIT_S, LeaseManager
from rhubarbmount.batch.records import LeaseRow, decode_lease, encode_lease
from rhubarbmount.batch.tables import lease_row
from rhubarbmount.errors import OutcomeUnknown
from rhubarbmount.platform.rows import AdaptiveTimeout, Page, Row, RowConflict

SHARD = "shard-0"
STORE_CLOCK_S = 5000.0
CLOCK_ERROR_S = 0.2


@pytest.fixture
def autojump_clock():
    return MockClock(rate=0.0, autojump_threshold=0.0)


class SlowStore:
    """Applies each write after a delay and never answers it."""

    def __init__(self, write_delay_s):
        self.write_timeout = AdaptiveTimeout()
        self.write_delay_s = write_delay_s
        self.writes = 0
        self.lease_manager = None

    def clock_s(self, now_s=None):
        return STORE_CLOCK_S + (trio.current_time() if now_s is None else now_s)

    def latest_clock_s(self, now_s=None):
        return self.clock_s(now_s) + CLOCK_ERROR_S

    async def commit(self, expected, puts, removes=(), timeout_s=1.0):
        self.writes += 1
        self.nursery.start_soon(self._apply_write, puts[lease_row(SHARD)], self.writes)
        await trio.sleep(0.2)
        raise OutcomeUnknown("no answer", code="timeout")

    async def _apply_write(self, value, version):
        await trio.sleep(self.write_delay_s)
        row = Row(lease_row(SHARD), value, version)
        self.lease_manager._apply(Page((row,), version, 0, False), False)


async def acquire(monkeypatch, nursery, write_delay_s, first=None):
    monkeypatch.setattr(clocks.source, "monotonic_s", trio.current_time)
    store = SlowStore(write_delay_s)
    store.nursery = nursery
    lease_manager = store.lease_manager = LeaseManager(store, SHARD, "a", 10.0)
    rows = () if first is None else (Row(lease_row(SHARD), encode_lease(first), 1),)
    lease_manager._apply(Page(rows, 1, 0, False), True)
    with trio.move_on_after(10.0):
        return store, await lease_manager.acquire()
    return store, None


async def test_an_unanswered_write_is_found_in_the_change_feed(
    monkeypatch, autojump_clock
):
    """An immediate retry would put more load on a slow store."""
    async with trio.open_nursery() as nursery:
        store, shard_lease = await acquire(monkeypatch, nursery, 0.5)
        assert shard_lease is not None and shard_lease.fencing_token == TOKENS_PER_LEASE
        assert store.writes == 1
        nursery.cancel_scope.cancel()


async def test_a_lost_write_is_retried_after_a_pause(monkeypatch, autojump_clock):
    async with trio.open_nursery() as nursery:
        store, shard_lease = await acquire(monkeypatch, nursery, 100.0)
        assert shard_lease is None
        assert 10.0 / (OUTCOME_WAIT_S + 1.0) <= store.writes <= 10.0 / OUTCOME_WAIT_S
        nursery.cancel_scope.cancel()


async def test_a_released_lease_is_taken_after_a_random_delay(
    monkeypatch, autojump_clock
):
    monkeypatch.setattr("random.uniform", lambda low, high: high)
    released = LeaseRow("b", "1", 4, True)
    async with trio.open_nursery() as nursery:
        begun_s = trio.current_time()
        _, shard_lease = await acquire(monkeypatch, nursery, 0.0, released)
        assert (
            shard_lease is not None
            and shard_lease.fencing_token == 4 + TOKENS_PER_LEASE
        )
        assert shard_lease.renewed_at_s >= begun_s + AdaptiveTimeout().timeout_s
        nursery.cancel_scope.cancel()


# Guards against a holder that backend servers refuse: each version of the row may have
# had a holder, which used so many tokens.
async def test_a_lease_after_one_that_cant_be_read_has_a_higher_token(
    monkeypatch, autojump_clock
):
    async with trio.open_nursery() as nursery:
        store, _ = await acquire(monkeypatch, nursery, 0.0)
        found = store.lease_manager._decode(Row(lease_row(SHARD), b"{", 9))
        assert found.fence >= 9 * TOKENS_PER_LEASE
        nursery.cancel_scope.cancel()


class PromptStore(SlowStore):
    """Applies each write at once; an answer may be lost."""

    def __init__(self):
        super().__init__(0.0)
        self.loses_answers = False
        self.version = 1
        self.row = None

    async def commit(self, expected, puts, removes=(), timeout_s=1.0):
        (version,) = expected.values()
        if version != self.version:
            raise RowConflict((self.row,))
        self.version += 1
        self.row = Row(lease_row(SHARD), puts[lease_row(SHARD)], self.version)
        if self.loses_answers:
            raise OutcomeUnknown("no answer", code="timeout")
        return self.version

    @property
    def lease(self):
        return decode_lease(self.row.value)


@asynccontextmanager
async def hold(monkeypatch, grants_end_in_s, is_released=True):
    """Take the lease of a holder whose grants end so, and renew it."""
    monkeypatch.setattr(clocks.source, "monotonic_s", trio.current_time)
    store = PromptStore()
    manager = store.lease_manager = LeaseManager(store, SHARD, "a", 10.0)
    end_s = grants_end_in_s and store.clock_s() + grants_end_in_s
    last = LeaseRow("b", "1", 4, is_released, end_s)
    seen = Row(lease_row(SHARD), encode_lease(last), 1)
    manager._apply(Page((seen,), 1, 0, False), True)
    shard_lease = await manager.acquire()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(manager.renew_until_lost, shard_lease)
        yield store, manager, shard_lease
        nursery.cancel_scope.cancel()


# Guards against LOST: each holder that died while it loaded began the wait anew.
async def test_the_time_of_earlier_grants_is_carried_over_until_they_are_on_record(
    monkeypatch, autojump_clock
):
    held = hold(monkeypatch, 9.75, is_released=False)
    async with held as (store, manager, shard_lease):
        end_s = store.lease.grants_end_s
        lapse_by_s = shard_lease.earlier.at_s
        assert shard_lease.earlier.source == LEASE_ROW
        await trio.sleep(3.0)
        assert store.lease.grants_end_s == end_s
        assert shard_lease.grants_lapse_by_s <= lapse_by_s - CLOCK_ERROR_S + 1e-6
        manager.extend_grants()
        await trio.sleep(0.01)
        assert store.lease.grants_end_s > end_s
        assert shard_lease.grants_lapse_by_s > lapse_by_s


# Guards against TWICE: a row that says less than what is granted.
@pytest.mark.parametrize("grants_end_in_s", [0.0, -5.0, 3.0, 8.0])
@pytest.mark.parametrize("loses_answers", [False, True])
async def test_grants_never_last_longer_than_the_row_says(
    monkeypatch, autojump_clock, grants_end_in_s, loses_answers
):
    async with hold(monkeypatch, grants_end_in_s) as (store, manager, shard_lease):
        store.loses_answers = loses_answers
        for step in range(200):
            if step == 30:
                manager.extend_grants()
            store.loses_answers = loses_answers and step % 40 < 20
            await trio.sleep(0.07)
            # The store's clock may be ahead of what its last response said.
            left_s = store.lease.grants_end_s - store.latest_clock_s()
            now_s = trio.current_time()
            assert shard_lease.grants_lapse_by_s - now_s <= left_s + 1e-6
            earlier_left_s = shard_lease.earlier.at_s - now_s
            assert earlier_left_s < 0 or left_s + CLOCK_ERROR_S >= earlier_left_s - 1e-6


# Guards against runs that lapse as little time is left when a weak host takes over.
async def test_grants_last_long_at_once_after_a_planned_stop(
    monkeypatch, autojump_clock
):
    async with hold(monkeypatch, 4.0) as (_, _, shard_lease):
        left_s = shard_lease.grants_lapse_by_s - trio.current_time()
        assert left_s > longest_grant_s(10.0) - 0.1


class FixedGrantsEnd(GrantsEnd):
    """Says the same in each row, as when the time of earlier grants is carried over."""

    def next_s(self, clock):
        return 9999.0


# Guards against a host that counts its lease from its second try to take it.
async def test_a_lease_counts_from_the_first_try_to_take_it(
    monkeypatch, autojump_clock
):
    monkeypatch.setattr(clocks.source, "monotonic_s", trio.current_time)
    store = PromptStore()
    manager = store.lease_manager = LeaseManager(store, SHARD, "a", 10.0)
    seen = Row(lease_row(SHARD), encode_lease(LeaseRow("b", "1", 4, True, 0.0)), 1)
    manager._apply(Page((seen,), 1, 0, False), True)
    monkeypatch.setattr(manager, "_grants_end", FixedGrantsEnd(10.0))
    store.loses_answers = True
    shard_lease = await manager.acquire()
    assert trio.current_time() > 1.0
    assert shard_lease.renewed_at_s < 1.0


async def test_a_release_without_a_time_leaves_the_one_of_the_row(
    monkeypatch, autojump_clock
):
    async with hold(monkeypatch, 8.0) as (store, manager, shard_lease):
        await trio.sleep(0.1)
        end_s = store.lease.grants_end_s
        assert not store.lease.is_released
        await manager.release(shard_lease)
        assert store.lease.is_released
        assert store.lease.grants_end_s == end_s


async def test_an_older_build_leaves_the_longest_lease_to_be_waited_for(
    monkeypatch, autojump_clock
):
    async with hold(monkeypatch, 0.0) as (_, _, shard_lease):
        assert shard_lease.earlier.source == LONGEST_LEASE
        assert shard_lease.earlier.at_s > shard_lease.renewed_at_s + 10.0 * RATE_MARGIN


class PausingStore(PromptStore):
    """The host is paused while it reads the store's clock."""

    def __init__(self, offset_s):
        super().__init__()
        self.offset_s = offset_s

    def clock_s(self, now_s=None):
        self.offset_s.append(0.7)
        if now_s is None:
            now_s = clocks.monotonic_s()
        return STORE_CLOCK_S + now_s

    def latest_clock_s(self, now_s=None):
        return self.clock_s(now_s) + CLOCK_ERROR_S


# Guards against TWICE: a host that was paused while it took the lease took earlier
# grants for lapsed too soon.
async def test_a_pause_while_taking_shortens_no_wait(monkeypatch, autojump_clock):
    offset_s = [0.0]
    monkeypatch.setattr(
        clocks.source, "monotonic_s", lambda: trio.current_time() + sum(offset_s)
    )
    store = PausingStore(offset_s)
    manager = store.lease_manager = LeaseManager(store, SHARD, "b", 10.0)
    end_s = STORE_CLOCK_S + clocks.monotonic_s() + 8.0
    seen = Row(lease_row(SHARD), encode_lease(LeaseRow("b", "1", 4, False, end_s)), 1)
    manager._apply(Page((seen,), 1, 0, False), True)
    shard_lease = await manager.acquire()
    # The store's clock reads 5000 s more than ours, or CLOCK_ERROR_S more than that.
    assert shard_lease.earlier.at_s >= end_s - STORE_CLOCK_S - 1e-6
    told_s = store.lease.grants_end_s - STORE_CLOCK_S - CLOCK_ERROR_S
    assert shard_lease.grants_lapse_by_s <= told_s + 1e-6
