"""Tests that runs outlive a takeover whose holder takes long to load its shard."""

import attrs
import pytest
import trio
from trio.testing import MockClock

from rhubarbmount.batch import clocks
from rhubarbmount.batch.early_renewals import EarlyRenewals
from rhubarbmount.batch.election import LapseBound, ShardLease
from rhubarbmount.batch.model import Server
from rhubarbmount.batch.server_lease import ServerLease
from rhubarbmount.batch.tables import PROGRESS_TABLE
from rhubarbmount.platform.backend import CommandResult, RenewalResponse
from tests.batch.test_days import long_running_job, open_day, submit
from tests.batch.test_silent_servers import servers_running_tasks

# Longer than all grants of the last holder last.
LOADING_S = 14.0


@pytest.fixture
def autojump_clock():
    return MockClock(rate=0.0, autojump_threshold=0.0)


async def wait_for_holder(world):
    while not world.holders():
        await trio.sleep(0.05)


def count_ends(world, how):
    """Return a list that grows with each end of a run of a kind."""
    ends = []
    world.observers.append(
        lambda what, *details: ends.append(details) if what == how else None
    )
    return ends


# Guards against LOST: all runs lapsed while the next holder still loaded its jobs.
@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("outage_s", [0.0, 3.0])
async def test_runs_go_on_while_the_next_holder_loads(
    monkeypatch, autojump_clock, seed, outage_s
):
    async with open_day(monkeypatch, seed) as (world, checker):
        jobs = [long_running_job(world.generator) for _ in range(3)]
        for job in jobs:
            assert await submit(world, checker, "/one/", job)
        await trio.sleep(12.0)
        running = servers_running_tasks(checker)
        lapsed = count_ends(world, "lapsed")
        world.faults.store_is_down = outage_s > 0
        await trio.sleep(outage_s)
        world.faults.store_tables_down = {PROGRESS_TABLE}
        world.kill_node(world.holders()[0])
        world.faults.store_is_down = False
        await trio.sleep(LOADING_S)
        world.faults.store_tables_down = set()
        await wait_for_holder(world)
        await trio.sleep(5.0)
        assert lapsed == []
        assert len(servers_running_tasks(checker)) == len(running) == 6
        assert checker.breaches == []


# Guards against TWICE: a holder that is lost while it loads has granted leases that the
# next one must wait for.
@pytest.mark.parametrize("seed", range(4))
async def test_a_holder_lost_while_loading_has_granted_no_more_than_is_known(
    monkeypatch, autojump_clock, seed
):
    async with open_day(monkeypatch, seed) as (world, checker):
        for _ in range(3):
            job = long_running_job(world.generator)
            assert await submit(world, checker, "/one/", job)
        await trio.sleep(12.0)
        cut = world.generator.sample(servers_running_tasks(checker), 2)
        world.faults.store_tables_down = {PROGRESS_TABLE}
        for _ in range(2):
            world.kill_node(world.holders()[0])
            await wait_for_holder(world)
            await trio.sleep(world.generator.uniform(1.0, 6.0))
            world.faults.servers_cut = {("*", server.address) for server in cut}
        world.faults.store_tables_down = set()
        await trio.sleep(20.0)
        assert checker.breaches == []
        assert len(servers_running_tasks(checker)) == 6


@attrs.define
class NamesakeBackend:
    """A backend server that answers all renewals as the lifetime that began then."""

    born_ms: int
    expiries_ms: list[int | None] = attrs.field(factory=list)

    async def renew(self, server, fencing_token, acknowledged, expires_ms, wait_s):
        await trio.lowlevel.checkpoint()
        self.expiries_ms.append(expires_ms)
        clock_ms = 1_000 + int(trio.current_time() * 1000)
        return RenewalResponse(CommandResult.DONE, clock_ms, born_ms=self.born_ms)


async def renew_early(monkeypatch, server_id, born_ms):
    """Renew early what runs on a lifetime; return the renewals and their backend."""
    monkeypatch.setattr(clocks.source, "monotonic_s", trio.current_time)
    server = Server(server_id, "one", "s:1", "a", False, 1, 1, 0, frozenset(), "r", 1)

    async def read_servers():
        return [server]

    async def store_record(silent_ids, answered_ids):
        await trio.lowlevel.checkpoint()

    def make_lease(server_id):
        lease = ServerLease(
            ShardLease(1, trio.current_time()), 10.0, LapseBound(0.0, "none")
        )
        lease.recorded_lapse_s = trio.current_time() + 5.0
        return lease

    backend = NamesakeBackend(born_ms)
    early = EarlyRenewals(backend, read_servers, store_record, lambda: None, make_lease)
    with trio.move_on_after(3.5):
        await early.run()
    return early, backend


# Guards against TWICE: the next holder takes the leases of a lifetime that is over for
# heard of, and grants more on the clock of another one.
async def test_an_answer_of_another_lifetime_renews_nothing(
    monkeypatch, autojump_clock
):
    early, backend = await renew_early(monkeypatch, "s@1000", born_ms=2000)
    assert backend.expiries_ms == [None]
    assert early.heard_server_ids == set()
    assert not early.lease_by_server_id["s@1000"].clock.is_known


@pytest.mark.parametrize("server_id", ["s@1000", "s"])
@pytest.mark.parametrize("born_ms", [1000, 0])
async def test_an_answer_of_the_same_lifetime_or_an_unknown_one_renews(
    monkeypatch, autojump_clock, server_id, born_ms
):
    early, backend = await renew_early(monkeypatch, server_id, born_ms)
    assert len(backend.expiries_ms) == 4
    assert early.heard_server_ids == {server_id}
