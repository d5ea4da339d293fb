"""Tests in simulated time with servers that start again under the id that they had.

The later lifetime holds and knows nothing of the earlier one, and counts anew.
"""

import random
from collections import Counter
from contextlib import asynccontextmanager

import pytest
import trio
from trio.testing import MockClock

from rhubarbmount.standins.users_platform import Rebirth
from rhubarbmount.standins.users_servers import TaskWork
from tests.batch.test_days import (
    SPARE,
    open_day,
    open_small_day,
    submit,
    wait_complete,
)
from tests.batch.test_lifetimes import (
    LONGEST_LEASE_S,
    RESTART_S,
    TAKEOVER_S,
    Disturber,
    LostServer,
    long_running_tasks,
    open_day_with_long_tasks,
)

# Reading of the clock of a later lifetime at its start, by the remainder of the seed:
# below and above the clock of the earlier one.
CLOCKS_MS = (1000, 50_000_000)
SEEDS = pytest.mark.parametrize("seed", range(4))
WARM_UP_JOBS = 16
LATER_JOBS = 24
PERIOD_S = 0.2


@pytest.fixture
def autojump_clock():
    return MockClock(rate=0.0, autojump_threshold=0.0)


def clock_ms_of(seed: int) -> int:
    return CLOCKS_MS[seed % len(CLOCKS_MS)]


def short_job(generator: random.Random, work_s: float = 0.0):
    work_s = work_s or generator.uniform(0.2, 0.8)
    phase = {
        "count": 6,
        "cpu": 500,
        "mem_mb": 200,
        "estimate_ms": int(work_s * 1000),
    }
    job_id = f"{generator.getrandbits(64):016x}"
    return job_id, [phase], [TaskWork(work_s, 500, 200)]


def breaches_by_rule(checker) -> Counter[str]:
    return Counter(breach.partition(" at ")[0] for breach in checker.breaches)


class ShortJobs:
    """Submits short jobs and waits for them; ``accepted`` holds their ids."""

    def __init__(self, world, checker):
        self.world = world
        self.checker = checker
        self.accepted = []
        self.is_submitting = False

    async def submit(self, count: int, period_s: float, work_s: float = 0.0) -> None:
        for _ in range(count):
            new_job = short_job(self.world.generator, work_s)
            if await submit(self.world, self.checker, "/one/", new_job):
                self.accepted.append(new_job[0])
            await trio.sleep(period_s)

    def submit_more(self, count: int = LATER_JOBS) -> None:
        """Submit jobs while the test goes on; ``must_complete`` waits for the last."""
        self.is_submitting = True
        self.world.nursery.start_soon(self._submit_more, count)

    async def _submit_more(self, count: int) -> None:
        await self.submit(count, PERIOD_S)
        self.is_submitting = False

    async def must_complete(self, within_s: float = 40.0) -> None:
        """Assert that all complete and that no rule is broken."""
        while self.is_submitting:
            await trio.sleep(PERIOD_S)
        left = await wait_complete(
            self.world, self.checker, "/one/", self.accepted, within_s
        )
        assert breaches_by_rule(self.checker) == {}
        assert left == []


@asynccontextmanager
async def open_day_of_short_jobs(monkeypatch, seed, nodes="abc"):
    """Run short jobs until each server of a pool has had many ends acknowledged."""
    async with open_day(monkeypatch, seed, nodes) as (world, checker):
        jobs = ShortJobs(world, checker)
        await jobs.submit(WARM_UP_JOBS, PERIOD_S)
        yield world, jobs


def machines_of(world):
    return [
        machine
        for machine in world.platform.machine_by_id.values()
        if machine.pool == "one" and machine.server is not None
    ]


def restart_all(world, down_s: float, **fields) -> None:
    for machine in machines_of(world):
        world.platform.crash(machine.id, down_s, rebirth=Rebirth(**fields))


# Guards against acknowledgements of the earlier lifetime that are sent to the later
# one: its ends are forgotten before they were read, and done tasks start again.
@pytest.mark.parametrize("keeps_row", [False, True])
@SEEDS
async def test_done_tasks_do_not_start_again_when_servers_return_after_seconds(
    monkeypatch, autojump_clock, seed, keeps_row
):
    async with open_day_of_short_jobs(monkeypatch, seed) as (world, jobs):
        jobs.submit_more()
        for machine in machines_of(world):
            rebirth = Rebirth(clock_ms_of(seed), keeps_row)
            down_s = world.generator.uniform(0.5, 3.0)
            world.platform.crash(machine.id, down_s, rebirth=rebirth)
            await trio.sleep(0.4)
        await jobs.must_complete()


# Guards against a later lifetime that is not told from the earlier one, as no call
# failed meanwhile and the row has not changed.
@SEEDS
async def test_done_tasks_do_not_start_again_when_servers_return_within_milliseconds(
    monkeypatch, autojump_clock, seed
):
    async with open_day_of_short_jobs(monkeypatch, seed) as (world, jobs):
        jobs.submit_more()
        await trio.sleep(0.3)
        restart_all(
            world, 0.003, clock_ms=clock_ms_of(seed), keeps_row=True, row_after_s=1.4
        )
        await jobs.must_complete()


# Guards against a next holder that takes runs or ends of the earlier lifetime for those
# of the later one: servers end before it reads what runs.
@pytest.mark.parametrize("after_s", [0.0, 1.0])
@SEEDS
async def test_done_tasks_do_not_start_again_when_servers_return_before_a_takeover(
    monkeypatch, autojump_clock, seed, after_s
):
    async with open_day_of_short_jobs(monkeypatch, seed) as (world, jobs):
        jobs.submit_more()
        await trio.sleep(0.3)
        world.kill_node(world.holders()[0])
        await trio.sleep(after_s)
        down_s = world.generator.choice([0.003, 0.3, 1.0])
        restart_all(world, down_s, clock_ms=clock_ms_of(seed), keeps_row=True)
        await jobs.must_complete()


# The same of a next holder that has renewed leases already.
@pytest.mark.parametrize("after_s", [0.0, 0.05, 2.0])
@SEEDS
async def test_done_tasks_do_not_start_again_when_servers_return_after_a_takeover(
    monkeypatch, autojump_clock, seed, after_s
):
    async with open_day_of_short_jobs(monkeypatch, seed) as (world, jobs):
        jobs.submit_more()
        await trio.sleep(0.3)
        world.kill_node(world.holders()[0])
        while not world.holders():
            await trio.sleep(0.01)
        await trio.sleep(after_s)
        restart_all(world, 0.003, clock_ms=clock_ms_of(seed), keeps_row=True)
        await jobs.must_complete()


# Guards against a lifetime that is told from the last but one by a difference that the
# next has not.
@pytest.mark.parametrize("up_s", [0.01, 0.4, 1.5])
@SEEDS
async def test_done_tasks_do_not_start_again_when_servers_return_twice_in_a_row(
    monkeypatch, autojump_clock, seed, up_s
):
    async with open_day_of_short_jobs(monkeypatch, seed) as (world, jobs):
        jobs.submit_more()
        for _ in range(2):
            restart_all(
                world,
                0.003,
                clock_ms=clock_ms_of(seed),
                keeps_row=True,
                row_after_s=0.2,
            )
            await trio.sleep(0.003 + up_s)
        await jobs.must_complete()


# Guards against a row of the earlier lifetime, written again late, that brings it back.
@pytest.mark.parametrize("row_after_s", [0.0, 1.4])
@SEEDS
async def test_done_tasks_do_not_start_again_when_an_earlier_row_returns(
    monkeypatch, autojump_clock, seed, row_after_s
):
    async with open_day_of_short_jobs(monkeypatch, seed) as (world, jobs):
        jobs.submit_more()
        await trio.sleep(0.3)
        restart_all(world, 0.3, row_after_s=row_after_s, earlier_row_after_s=2.0)
        await jobs.must_complete()


# Guards against ends of the earlier lifetime whose commit is under way when the later
# one is found, and which are acknowledged to the later one after it.
@SEEDS
async def test_done_tasks_do_not_start_again_when_ends_are_being_committed(
    monkeypatch, autojump_clock, seed
):
    async with open_day_of_short_jobs(monkeypatch, seed) as (world, jobs):
        world.faults.store_delay_s = 0.4
        jobs.submit_more()
        await trio.sleep(0.5)
        restart_all(world, 0.003, clock_ms=clock_ms_of(seed), keeps_row=True)
        await trio.sleep(1.5)
        world.faults.store_delay_s = 0.0
        await jobs.must_complete()


# Guards against a list of the earlier lifetime that is read after one of the later.
@SEEDS
async def test_done_tasks_do_not_start_again_when_an_earlier_list_arrives_late(
    monkeypatch, autojump_clock, seed
):
    async with open_day_of_short_jobs(monkeypatch, seed) as (world, jobs):
        world.faults.list_delay_s_by_lifetime = {
            (machine.server.id, machine.server.born_ms): 0.7
            for machine in machines_of(world)
        }
        jobs.submit_more()
        await trio.sleep(0.4)
        restart_all(world, 0.003, clock_ms=clock_ms_of(seed), keeps_row=True)
        await jobs.must_complete()


async def run_beside_late_calls(world, jobs, path: str) -> None:
    """Have calls carried out late, by the next lifetimes under the ids."""
    world.faults.late_by_s = (0.5, 2.0)
    world.faults.late_share_by_path = {path: 0.5}
    await jobs.submit(3, 0.15, work_s=2.0)


async def have_starts_delayed(world, jobs) -> None:
    """Start tasks whose first start command arrives late, and the second at once."""
    world.faults.late_by_s = (1.3, 1.7)
    world.faults.late_share_by_path = {"/run-start": 1.0}
    await jobs.submit(2, 0.1, work_s=6.0)
    await trio.sleep(0.1)
    world.faults.late_share_by_path = {}
    with trio.fail_after(2.0):
        while sum(map(bool, jobs.checker.running.values())) < 12:
            await trio.sleep(0.05)


def first_runs_on(machine) -> int:
    return sum(run.run == 1 for run in machine.server.run_by_task.values())


# Guards against a start that was sent to the earlier lifetime and is carried out late
# by the later one, beside the run that the task has elsewhere since. The task had begun
# on the earlier lifetime, as the start was repeated; the later one is of another kind.
@SEEDS
async def test_no_run_starts_late_on_a_later_lifetime_beside_another(
    monkeypatch, autojump_clock, seed
):
    async with open_small_day(monkeypatch, seed, "mno") as (world, checker):
        jobs = ShortJobs(world, checker)
        await have_starts_delayed(world, jobs)
        rebirth = Rebirth(clock_ms_of(seed))
        repeated = max(machines_of(world), key=first_runs_on)
        assert first_runs_on(repeated) > 0
        world.platform.crash(repeated.id, 0.05, SPARE, rebirth)
        await trio.sleep(4.0)
        await jobs.must_complete()


# The same when nobody knows whether the task had begun on the earlier lifetime.
@SEEDS
async def test_no_run_starts_late_on_a_later_lifetime_if_no_start_was_answered(
    monkeypatch, autojump_clock, seed
):
    async with open_small_day(monkeypatch, seed, "mno") as (world, checker):
        jobs = ShortJobs(world, checker)
        world.faults.late_by_s = (1.3, 1.7)
        world.faults.late_share_by_path = {"/run-start": 1.0}
        await jobs.submit(2, 0.1, work_s=6.0)
        rebirth = Rebirth(clock_ms_of(seed))
        expecting = [
            machine
            for machine in machines_of(world)
            if machine.server.address in world.late_addresses
        ]
        assert expecting
        world.platform.crash(expecting[0].id, 0.05, SPARE, rebirth)
        world.faults.late_share_by_path = {}
        await trio.sleep(4.0)
        await jobs.must_complete()


# Guards against a stop that was sent to the earlier lifetime and ends a run of the
# later one, or bars it so that the task waits. No end has been acknowledged before.
@SEEDS
async def test_tasks_run_on_a_later_lifetime_despite_late_stops(
    monkeypatch, autojump_clock, seed
):
    async with open_day(monkeypatch, seed) as (world, checker):
        jobs = ShortJobs(world, checker)
        await run_beside_late_calls(world, jobs, "/run-stop")
        cancelled = jobs.accepted.pop()
        status, _ = await world.call("DELETE", f"/one/{cancelled}")
        assert status == 200
        checker.cancelled_at_s[cancelled] = trio.current_time()
        await trio.sleep(0.05)
        restart_all(world, 0.05, clock_ms=clock_ms_of(seed), keeps_row=True)
        world.faults.late_share_by_path = {}
        await jobs.submit(3, 0.2, work_s=2.0)
        await jobs.must_complete()


# Guards against a renewal that was sent to the earlier lifetime and has the later one
# forget ends that nobody has read.
@SEEDS
async def test_done_tasks_do_not_start_again_after_late_renewals(
    monkeypatch, autojump_clock, seed
):
    async with open_day_of_short_jobs(monkeypatch, seed) as (world, jobs):
        await run_beside_late_calls(world, jobs, "/hold")
        restart_all(world, 0.05, clock_ms=clock_ms_of(seed), keeps_row=True)
        world.faults.late_share_by_path = {}
        jobs.submit_more()
        await jobs.must_complete()


# Guards against lasting tasks that stay away, as what runs on the later lifetime is
# judged by what was known of the earlier one.
@pytest.mark.parametrize("down_s", [0.003, 0.5, 2.5])
@SEEDS
async def test_lasting_tasks_run_again_soon_when_their_server_returns(
    monkeypatch, autojump_clock, seed, down_s
):
    async with open_day_with_long_tasks(monkeypatch, seed) as day:
        world, checker, machine = day
        lost = LostServer(world, checker, machine)
        rebirth = Rebirth(clock_ms_of(seed), keeps_row=True, row_after_s=1.0)
        world.platform.crash(machine.id, down_s, rebirth=rebirth)
        await trio.sleep(LONGEST_LEASE_S + 15.0)
        assert checker.breaches == []
        assert lost.are_tasks_away_for_less_than(down_s + RESTART_S)
        assert all(checker.running[task] for task in lost.tasks)


# Guards against a next holder that renews the lease of an earlier lifetime and takes
# its lasting tasks for running.
@pytest.mark.parametrize("down_s", [0.003, 0.5, 2.5])
@SEEDS
async def test_lasting_tasks_run_again_soon_when_their_server_returns_at_a_takeover(
    monkeypatch, autojump_clock, seed, down_s
):
    async with open_day_with_long_tasks(monkeypatch, seed) as day:
        world, checker, machine = day
        lost = LostServer(world, checker, machine)
        world.kill_node(world.holders()[0])
        rebirth = Rebirth(clock_ms_of(seed), keeps_row=True, row_after_s=1.0)
        world.platform.crash(machine.id, down_s, rebirth=rebirth)
        await trio.sleep(LONGEST_LEASE_S + 15.0)
        assert checker.breaches == []
        assert lost.are_tasks_away_for_less_than(max(down_s, TAKEOVER_S) + RESTART_S)
        assert all(checker.running[task] for task in lost.tasks)


# Guards against leases that are reckoned on the clock of the earlier lifetime, so that
# lasting tasks lapse on the later one.
@SEEDS
async def test_lasting_tasks_do_not_lapse_on_a_later_lifetime(
    monkeypatch, autojump_clock, seed
):
    async with open_day_with_long_tasks(monkeypatch, seed) as day:
        world, checker, _ = day
        lapsed = []
        world.observers.append(
            lambda what, *details: what == "lapsed" and lapsed.append(details[1:])
        )
        restart_all(world, 0.5, clock_ms=clock_ms_of(seed), keeps_row=True)
        await trio.sleep(LONGEST_LEASE_S * 3)
        assert lapsed == []
        assert checker.breaches == []


def random_rebirth(generator: random.Random) -> Rebirth:
    return Rebirth(
        clock_ms=generator.choice(CLOCKS_MS),
        keeps_row=generator.random() < 0.5,
        row_after_s=generator.uniform(0.0, 1.5),
        earlier_row_after_s=generator.choice([None, generator.uniform(0.1, 2.0)]),
        cpu_millicores=generator.choice([None, 6000]),
    )


# Guards against what several lifetimes under one id bring about together: moves,
# crashes and cuts while holders change, short and lasting tasks on the same servers.
@pytest.mark.parametrize("seed", range(6))
async def test_runs_are_not_repeated_whatever_servers_return_under_their_ids(
    monkeypatch, autojump_clock, seed
):
    async with open_day_of_short_jobs(monkeypatch, seed) as (world, jobs):
        platform, generator = world.platform, world.generator
        lasting = long_running_tasks(generator)
        assert await submit(world, jobs.checker, "/one/", lasting)
        jobs.submit_more(80)
        disturber = Disturber(world)
        for _ in range(20):
            platform.rebirth = random_rebirth(generator)
            machine = generator.choice(machines_of(world) or [None])
            if machine is not None:
                if generator.random() < 0.3:
                    world.faults.servers_cut = {("*", machine.server.address)}
                down_s = generator.choice([0.003, generator.uniform(0.1, 3.0)])
                platform.crash(machine.id, down_s)
            await trio.sleep(generator.uniform(0.2, 1.2))
            world.faults.servers_cut = set()
            if generator.random() < 0.2:
                await disturber.change_holder()
        await jobs.must_complete(60.0)
