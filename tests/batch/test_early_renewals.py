"""Tests that runs outlive a takeover whose holder takes long to load its shard."""

import json

import attrs
import pytest
import trio
from trio.testing import MockClock

from rhubarbmount.batch import clocks
from rhubarbmount.batch.earlier_grants import EarlierGrants
from rhubarbmount.batch.early_renewals import EarlyRenewals
from rhubarbmount.batch.election import LapseBound, ShardLease
from rhubarbmount.batch.lifetimes import name_of
from rhubarbmount.batch.server_lease import ServerLease
from rhubarbmount.batch.server_records import ServerRecords
from rhubarbmount.batch.silent_servers import SilentServers
from rhubarbmount.batch.tables import PROGRESS_TABLE
from rhubarbmount.errors import OutcomeUnknown
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
class ScriptedServer:
    """Answers renewals in turn; each answer is a start and a clock, or None."""

    answers: list[tuple[int, int] | None]
    expiries_ms: list[int | None] = attrs.field(factory=list)

    async def renew(self, server, fence, acknowledged, expires_ms, wait_s):
        assert name_of(server.id) == "s"
        self.expiries_ms.append(expires_ms)
        await trio.sleep(0.01)
        answer = self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]
        if answer is None:
            raise OutcomeUnknown("no answer in time")
        born_ms, clock_ms = answer
        return RenewalResponse(CommandResult.DONE, clock_ms, born_ms=born_ms)

    async def forget(self, server):
        """Close no connections, as there are none."""


async def renew_early(monkeypatch, record, answers, duration_s=2.5):
    """Renew what runs on a recorded server for a time, with a record of its silence."""
    monkeypatch.setattr(clocks.source, "monotonic_s", trio.current_time)
    await trio.sleep(100.0)
    silent = SilentServers(*[trio.current_time] * 2)
    silent.load(json.dumps(record).encode())
    earlier = LapseBound(trio.current_time() + 10.2, "longest-lease")
    grants = EarlierGrants(earlier, silent, trio.current_time)
    shard_lease = ShardLease(2, trio.current_time())
    stored = []

    def make_lease(server_id):
        lease = ServerLease(shard_lease, 10.0, grants.bound_of(server_id))
        if silent.has(server_id):
            limit_s = silent.limit_in_s(server_id)
            lease.recorded_lapse_s = trio.current_time() + limit_s
        return lease

    async def read_servers():
        records = ServerRecords()
        records.load(b'{"s":["s:1","m1"]}')
        return records.all()

    async def store_record(silent_ids, answered_ids):
        for server_id in silent_ids:
            silent.note(server_id, 10.0)
        for server_id in answered_ids:
            silent.drop(server_id)
        await trio.sleep(0.2)
        stored.append(silent.encode())

    early = EarlyRenewals(
        client=ScriptedServer(answers),
        read_servers=read_servers,
        store_record=store_record,
        on_recorded=lambda: None,
        make_lease=make_lease,
    )
    with trio.move_on_after(duration_s):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(early.run)
            while True:
                shard_lease.renewed_at_s = trio.current_time()
                await trio.sleep(0.5)
    return early, silent


# Guards against TWICE: the session with a server knew nothing of what had been granted
# under its name before the shard was loaded.
async def test_what_is_renewed_is_kept_by_the_lifetime_that_answered(
    monkeypatch, autojump_clock
):
    early, silent = await renew_early(monkeypatch, {}, [(7, 50_000)])
    assert list(early.lease_by_server_id) == ["s@7"]
    assert early.lease_by_server_id["s@7"].clock.granted_ms > 50_000
    assert early.heard_server_ids == {"s", "s@7"}
    assert not silent.has("s@7")


# Guards against TWICE: an answer of a later lifetime counted as one of that with the
# tasks, and what had been granted by the clock of that one was not known.
async def test_an_answer_of_a_later_lifetime_is_none_of_the_earlier_one(
    monkeypatch, autojump_clock
):
    answers = [(7, 500_000)] * 3 + [(8, 1_000)]
    early, _ = await renew_early(monkeypatch, {}, answers, 5.0)
    assert list(early.lease_by_server_id) == ["s@8"]
    assert "s@7" not in early.heard_server_ids
    assert any(expiry for expiry in early.client.expiries_ms)
    lease = early.lease_by_server_id["s@8"]
    assert lease.clock.read_ms == 1_000
    # The last call by the other clock was answered after more than 2 s.
    assert lease.lapses_at_s() > 100.0 + 2.0 + 10.0
    assert lease.clock.granted_ms < 20_000


# Guards against TWICE: a lifetime was granted more than the record of it that was still
# stored, as its server is known by name until it answers.
async def test_nothing_is_granted_beyond_the_record_of_the_lifetime_that_answers(
    monkeypatch, autojump_clock
):
    record = {"@": -1e9, "s@7": 102.0}
    early, _ = await renew_early(monkeypatch, record, [(7, 50_000)], 1.25)
    [granted_ms] = [expiry for expiry in early.client.expiries_ms if expiry]
    assert granted_ms < 50_000 + 2_000
