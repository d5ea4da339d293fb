"""Tests for fenced commits with lost responses and late writes."""

import pytest
import trio
from trio.testing import MockClock

from rhubarbmount.batch.committer import Committer
from rhubarbmount.batch.election import ShardLease
from rhubarbmount.batch.tables import head_row, pending_row
from rhubarbmount.errors import LeaseLost
from rhubarbmount.platform.rows import RowStore
from tests.batch.world import STORE, SimulatedCaller, World, open_world

COMMIT_COUNT = 40
# Upper bound on the mean delay that a lost response causes for the next commit.
MAX_DELAY_PER_LOSS_S = 0.75


@pytest.fixture
def autojump_clock():
    return MockClock(rate=0.0, autojump_threshold=0.0)


def make_committer(world: World, fencing_token: int, writer: str) -> Committer:
    store = RowStore(SimulatedCaller(writer, world), STORE)
    return Committer(store, "shard-0", fencing_token, writer)


@pytest.mark.parametrize("seed", range(5))
async def test_a_lost_response_delays_the_next_commit_only_briefly(
    monkeypatch, autojump_clock, seed
):
    async with open_world(monkeypatch, seed) as world:
        committer = make_committer(world, 1, "a")
        await committer.begin()
        world.faults.store_loses = 0.3
        started_s, calls_before = trio.current_time(), world.platform.store.call_count
        for number in range(COMMIT_COUNT):
            await committer.commit({pending_row("shard-0"): b"%d" % number})
        lost = world.platform.store.call_count - calls_before - COMMIT_COUNT
        took_s = trio.current_time() - started_s
        assert lost > 0
        assert took_s < COMMIT_COUNT * 0.01 + lost * MAX_DELAY_PER_LOSS_S


@pytest.mark.parametrize("seed", range(10))
async def test_late_writes_never_overwrite_newer_ones(
    monkeypatch, autojump_clock, seed
):
    async with open_world(monkeypatch, seed) as world:
        committer = make_committer(world, 1, "a")
        await committer.begin()
        world.faults.store_is_late = 0.4
        for number in range(20):
            await committer.commit({pending_row("shard-0"): b"%d" % number})
        world.faults.store_is_late = 0.0
        await committer.commit({pending_row("shard-0"): b"last"})
        await trio.sleep(10.0)
        page = await committer.store.read_all("pending", "shard-0")
        assert [row.value for row in page.rows] == [b"last"]


async def test_a_lower_fencing_token_cannot_commit(monkeypatch, autojump_clock):
    async with open_world(monkeypatch) as world:
        first, second = (make_committer(world, n, f"w{n}") for n in (1, 2))
        await first.begin()
        await first.commit({pending_row("shard-0"): b"first"})
        await second.begin()
        with pytest.raises(LeaseLost):
            await first.commit({pending_row("shard-0"): b"stale"})
        with pytest.raises(LeaseLost):
            await make_committer(world, 1, "w1").begin()
        await second.commit({pending_row("shard-0"): b"second"})
        page = await second.store.read_all("pending", "shard-0")
        assert [row.value for row in page.rows] == [b"second"]


# Guards against a replaced holder that goes on, as it can't read the head of the next.
@pytest.mark.parametrize("renewed_at_s", [0.0, 1.0])
async def test_a_head_that_cant_be_read_is_not_replaced_without_a_renewal(
    monkeypatch, autojump_clock, renewed_at_s
):
    async with open_world(monkeypatch) as world:
        lease = ShardLease(1, 0.0)
        store = RowStore(SimulatedCaller("a", world), STORE)
        committer = Committer(store, "shard-0", 1, "a", lease)
        await committer.begin()
        await store.commit({}, {head_row("shard-0"): b"{"})
        await trio.sleep(2.0)
        # The head is met after that: a later holder may have written it.
        lease.renewed_at_s = renewed_at_s
        with trio.move_on_after(30.0) as scope:
            await committer.commit({pending_row("shard-0"): b"stale"})
        assert scope.cancelled_caught
        lease.renewed_at_s = trio.current_time() + 0.1
        await committer.commit({pending_row("shard-0"): b"renewed"})
        page = await store.read_all("pending", "shard-0")
        assert [row.value for row in page.rows] == [b"renewed"]
