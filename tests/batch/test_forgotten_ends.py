"""Tests in simulated time of lifetimes that may forget the ends of their runs.

A server keeps the highest number that was ever acknowledged to it and forgets all ends
up to it. An acknowledgement for an earlier lifetime hides the first ends of a later one
that carries it out right after its start, before any call that would bar it.
"""

import attrs
import pytest
import trio
from trio.testing import MockClock

from rhubarbmount.batch.tables import USED_LIFETIMES_TABLE
from rhubarbmount.standins.users_servers import TaskWork
from tests.batch.test_days import open_small_day, submit
from tests.batch.test_lifetimes import LONGEST_LEASE_S
from tests.batch.test_reborn_servers import (
    SEEDS,
    ShortJobs,
    clock_ms_of,
    open_day_of_short_jobs,
    restart_all,
)
from tests.batch.world import ServerCall, World

DOWN_S = 0.05
# How soon after its start a later lifetime carries a late call out.
LATE_AFTER_START_S = 0.0005
# Within this time each busy server has ends to acknowledge.
ACKNOWLEDGED_WITHIN_S = 0.6
# How long a server that may have forgotten ends takes no tasks but one.
TRIAL_S = 1.0
# Within this time a restarted server is asked, and the lease row covers its lease.
COVERED_S = 1.5
# After this time all ends are acknowledged, and all calls answered.
QUIET_S = 3.0


@pytest.fixture
def autojump_clock():
    return MockClock(rate=0.0, autojump_threshold=0.0)


@attrs.define(eq=False)
class LateAcknowledgements:
    """Keeps acknowledgements back, which get no answer, until their server is back.

    If ``are_lost`` is set, they are never carried out.
    """

    world: World
    are_lost: bool = False
    is_active: bool = True
    # Calls with an acknowledgement, by the address that they were sent to.
    held_by_address: dict[str, list[ServerCall]] = attrs.field(factory=dict)
    carried_out: int = 0

    def attach(self) -> None:
        """Hold calls back from now on."""
        self.world.faults.keeps_back = self._holds_back
        self.world.observers.append(self._observe)

    def _holds_back(self, call) -> bool:
        is_held = self.is_active and call.body.get("ack_cursor", 0) > 0
        if is_held:
            self.held_by_address.setdefault(call.address, []).append(call)
        return is_held

    def _observe(self, what, where, *details) -> None:
        if what == "up" and not self.are_lost and where.server is not None:
            self.world.nursery.start_soon(self._carry_out, where.server)

    async def _carry_out(self, server) -> None:
        await trio.sleep(LATE_AFTER_START_S)
        for call in self.held_by_address.get(server.address, ()):
            self.carried_out += 1
            await self.world.carry_out(call)


@attrs.define(eq=False)
class Trials:
    """Runs that were stopped, and how long their servers began nothing else."""

    world: World
    started_s_by_server: dict = attrs.field(factory=dict)
    stopped: list = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        self.world.observers.append(self._observe)

    def _observe(self, what, where, *details) -> None:
        if what == "start":
            times_s = self.started_s_by_server.setdefault(where, [])
            times_s.append(trio.current_time())
        elif what == "stopped":
            self.stopped.append(where)

    def idle_s(self) -> list[float]:
        """Return the times from the start of a trial to that of the next run there."""
        times_s = [self.started_s_by_server[server] for server in self.stopped]
        return [later_s - first_s for first_s, later_s, *_ in times_s]


async def hold_acknowledgements(world, **fields):
    """Have each busy server's next acknowledgement get no answer."""
    late = LateAcknowledgements(world, **fields)
    late.attach()
    await trio.sleep(ACKNOWLEDGED_WITHIN_S)
    assert late.held_by_address
    return late


# Guards against TWICE: ends that a later lifetime has forgotten before they came are
# listed nowhere, and the tasks that were done start again.
@SEEDS
async def test_done_tasks_do_not_start_again_where_their_ends_are_forgotten(
    monkeypatch, autojump_clock, seed
):
    async with open_day_of_short_jobs(monkeypatch, seed) as (world, jobs):
        jobs.submit_more()
        late = await hold_acknowledgements(world)
        late.is_active = False
        restart_all(world, DOWN_S, clock_ms=clock_ms_of(seed), keeps_row=True)
        await jobs.must_complete()
        assert late.carried_out


# The same when the next holder knows of no acknowledgement under way.
@pytest.mark.parametrize("after_s", [0.0, 1.0, 3.5])
@SEEDS
async def test_done_tasks_do_not_start_again_where_ends_are_forgotten_at_a_takeover(
    monkeypatch, autojump_clock, seed, after_s
):
    async with open_day_of_short_jobs(monkeypatch, seed) as (world, jobs):
        jobs.submit_more()
        late = await hold_acknowledgements(world)
        late.is_active = False
        world.kill_node(world.holders()[0])
        await trio.sleep(after_s)
        restart_all(world, DOWN_S, clock_ms=clock_ms_of(seed), keeps_row=True)
        await jobs.must_complete()
        assert late.carried_out


# Guards against a next holder that trusts a lifetime as the last one has started tasks
# there, of which it did not know yet whether their ends are listed.
@pytest.mark.parametrize("up_s", [0.1, 0.3])
@SEEDS
async def test_done_tasks_do_not_start_again_after_a_takeover_during_trials(
    monkeypatch, autojump_clock, seed, up_s
):
    async with open_day_of_short_jobs(monkeypatch, seed) as (world, jobs):
        jobs.submit_more()
        late = await hold_acknowledgements(world)
        late.is_active = False
        restart_all(world, DOWN_S, clock_ms=clock_ms_of(seed), keeps_row=True)
        await trio.sleep(DOWN_S + up_s)
        world.kill_node(world.holders()[0])
        await jobs.must_complete()


# Guards against a lifetime after the next that is trusted as only the next may have
# got the acknowledgement.
@pytest.mark.parametrize("up_s", [0.03, 0.2, 0.6])
@SEEDS
async def test_done_tasks_do_not_start_again_if_servers_crash_during_their_trials(
    monkeypatch, autojump_clock, seed, up_s
):
    async with open_day_of_short_jobs(monkeypatch, seed) as (world, jobs):
        jobs.submit_more()
        late = await hold_acknowledgements(world)
        late.is_active = False
        for _ in range(2):
            restart_all(world, DOWN_S, clock_ms=clock_ms_of(seed), keeps_row=True)
            await trio.sleep(DOWN_S + up_s)
        await jobs.must_complete()
        assert late.carried_out


# Guards against a pool that never gets capacity again, as none of its servers lists
# ends and no host can be had from elsewhere.
@SEEDS
async def test_a_pool_whose_servers_all_forget_ends_goes_on(
    monkeypatch, autojump_clock, seed
):
    async with open_small_day(monkeypatch, seed, "mn") as (world, checker):
        jobs = ShortJobs(world, checker)
        await jobs.submit(3, 0.2)
        jobs.submit_more(10)
        late = await hold_acknowledgements(world)
        late.is_active = False
        restart_all(world, DOWN_S, clock_ms=clock_ms_of(seed), keeps_row=True)
        await jobs.must_complete(120.0)
        assert late.carried_out


# Guards against servers that are closed for long for a call that never comes.
@SEEDS
async def test_servers_that_forget_nothing_take_all_tasks_again_within_a_second(
    monkeypatch, autojump_clock, seed
):
    async with open_day_of_short_jobs(monkeypatch, seed) as (world, jobs):
        jobs.submit_more()
        late = await hold_acknowledgements(world, are_lost=True)
        late.is_active = False
        trials = Trials(world)
        restart_all(world, DOWN_S, clock_ms=clock_ms_of(seed), keeps_row=True)
        await jobs.must_complete()
        assert 0 < len(trials.stopped) <= len(late.held_by_address)
        assert max(trials.idle_s()) < TRIAL_S


# Guards against trials where no acknowledgement can be under way: all were answered.
@SEEDS
async def test_servers_that_start_again_without_open_calls_get_no_trial(
    monkeypatch, autojump_clock, seed
):
    async with open_small_day(monkeypatch, seed, "mn") as (world, checker):
        jobs = ShortJobs(world, checker)
        await jobs.submit(3, 0.2)
        await jobs.must_complete()
        await trio.sleep(QUIET_S)
        trials = Trials(world)
        restart_all(world, DOWN_S, clock_ms=clock_ms_of(seed), keeps_row=True)
        await jobs.submit(3, 0.2)
        await jobs.must_complete()
        assert trials.stopped == []


# Guards against a pool that stands still as the next holder can't read which lifetimes
# had tasks.
@SEEDS
async def test_a_holder_without_the_record_tries_the_servers_without_tasks(
    monkeypatch, autojump_clock, seed
):
    async with open_day_of_short_jobs(monkeypatch, seed) as (world, jobs):
        jobs.submit_more()
        late = await hold_acknowledgements(world)
        late.is_active = False
        world.faults.store_tables_down = {USED_LIFETIMES_TABLE}
        world.kill_node(world.holders()[0])
        restart_all(world, DOWN_S, clock_ms=clock_ms_of(seed), keeps_row=True)
        await jobs.must_complete()
        world.faults.store_tables_down = set()


# Guards against lasting tasks that wait for a trial: they begin again however they end.
@SEEDS
async def test_lasting_tasks_start_at_once_where_ends_may_be_forgotten(
    monkeypatch, autojump_clock, seed
):
    async with open_small_day(monkeypatch, seed, "m") as (world, checker):
        jobs = ShortJobs(world, checker)
        await jobs.submit(3, 0.2)
        jobs.submit_more(4)
        late = await hold_acknowledgements(world)
        late.is_active = False
        restart_all(world, DOWN_S, clock_ms=clock_ms_of(seed), keeps_row=True)
        job_id = f"{world.generator.getrandbits(64):016x}"
        phase = {
            "count": 2,
            "cpu": 500,
            "mem_mb": 500,
            "estimate_ms": 900,
            "long_running": True,
            "max_unavailable": 1,
        }
        works = [TaskWork(0.9, 500, 500, is_long_running=True)]
        assert await submit(world, checker, "/one/", (job_id, [phase], works))
        await trio.sleep(DOWN_S + COVERED_S)
        assert all(checker.running.get(f"{job_id}.0.0.{at}") for at in range(2))
        await trio.sleep(LONGEST_LEASE_S)
        assert all(checker.starts.count(f"{job_id}.0.0.{at}") == 1 for at in range(2))
        await jobs.must_complete(120.0)
