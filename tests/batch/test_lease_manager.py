"""Tests for acquiring a lease when the store is slow or its answers are lost."""

import pytest
import trio
from trio.testing import MockClock

from rhubarbmount.batch import clocks
from rhubarbmount.batch.lease_manager import OUTCOME_WAIT_S, LeaseManager
from rhubarbmount.batch.records import LeaseRow, encode_lease
from rhubarbmount.batch.tables import lease_row
from rhubarbmount.errors import OutcomeUnknown
from rhubarbmount.platform.rows import AdaptiveTimeout, Page, Row

SHARD = "shard-0"


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
    lease_manager = store.lease_manager = LeaseManager(store, SHARD, "a")
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
        assert shard_lease is not None and shard_lease.fencing_token == 1
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
        assert shard_lease is not None and shard_lease.fencing_token == 5
        assert shard_lease.renewed_at_s >= begun_s + AdaptiveTimeout().timeout_s
        nursery.cancel_scope.cancel()
