"""Tests that a wave moves lasting tasks within their limit while its holder changes."""

import math

import attrs
import pytest
import trio
from trio.testing import MockClock

from rhubarbmount.standins import users_servers
from rhubarbmount.standins.users_servers import LONG_RUNNING_START_S
from tests.batch.test_days import long_running_job, open_day, submit
from tests.batch.world import BOUNDS, World

POLL_S = 0.001
WAVE_S = 40.0
# Time within which a stop that was decided is sent.
STOP_SENT_S = 0.02
# A run that is stopped is listed as running for as long.
SLOW_STOP_S = 0.9


@pytest.fixture
def autojump_clock():
    return MockClock(rate=0.0, autojump_threshold=0.0)


@attrs.define(eq=False)
class EvictionChecker:
    """Records runs of a job that are stopped while another one of its step is away.

    A task is away from the end of its run until the next one has started up.
    """

    world: World
    job_id: str
    stopped: list[str] = attrs.field(factory=list)
    breaches: list[str] = attrs.field(factory=list)
    _back_at_s: dict[str, float] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.world.observers.append(self._watch)

    def _watch(self, what, where, *details) -> None:
        now_s = trio.current_time()
        if what in ("start", "stopped") and details[0].startswith(self.job_id):
            task = details[0]
            if what == "stopped":
                self.stopped.append(task)
                self._check(task, now_s)
            back_after_s = LONG_RUNNING_START_S if what == "start" else math.inf
            self._back_at_s[task] = now_s + back_after_s

    def _check(self, task: str, now_s: float) -> None:
        away = [
            other
            for other, back_at_s in self._back_at_s.items()
            if other != task and now_s < back_at_s
        ]
        if away:
            self.breaches.append(f"{now_s:.3f} AVAIL: {task} beside {away}")


async def wait_for_eviction(world: World) -> str:
    """Wait until the holder has decided to stop a run; return its name."""
    while True:
        for name in world.holders():
            jobs = world.node_by_id[name]._holder.shard.job_by_id.values()
            if any(task.is_stopping for job in jobs for task in job.tasks()):
                return name
        await trio.sleep(POLL_S)


def machine_with(world: World, task: str) -> str:
    """Return the machine on whose server a task runs."""
    return next(
        machine.id
        for machine in world.platform.machine_by_id.values()
        if machine.server and task in machine.server.run_by_task
    )


async def submit_lasting(world, checker, count: int) -> str:
    """Submit a job with so many tasks that last; return its id."""
    job_id, [phase], works = long_running_job(world.generator)
    new_job = job_id, [{**phase, "count": count}], works
    assert await submit(world, checker, "/one/", new_job)
    return job_id


# Guards against AVAIL: a new holder takes a task for at work that the last one has just
# told to stop, and moves another one of its step. It empties another host first, as the
# host that the last one was emptying no longer has the fewest tasks.
@pytest.mark.parametrize("seed", range(3))
async def test_a_wave_moves_one_task_of_a_step_at_a_time_across_a_planned_stop(
    monkeypatch, autojump_clock, seed
):
    monkeypatch.setattr(users_servers, "STOP_S", SLOW_STOP_S)
    bounds = attrs.evolve(BOUNDS, stop_s=SLOW_STOP_S)
    monkeypatch.setattr("tests.batch.world.BOUNDS", bounds)
    async with open_day(monkeypatch, seed, nodes="abc") as (world, checker):
        lasting = await submit_lasting(world, checker, 2)
        evictions = EvictionChecker(world, lasting)
        await trio.sleep(2.0)
        first, last = sorted(
            machine_with(world, f"{lasting}.0.0.{number}") for number in range(2)
        )
        extra = []
        while not any(
            machine_with(world, f"{job_id}.0.0.0") == first for job_id in extra
        ):
            extra.append(await submit_lasting(world, checker, 1))
            await trio.sleep(1.0)
        machines = sorted(world.platform.machine_by_id)
        world.platform.put_wave(1, machines, len(machines), WAVE_S)
        await trio.sleep(1.0)
        for job_id in extra:
            await world.call("DELETE", f"/one/{job_id}")
            checker.cancelled_at_s[job_id] = trio.current_time()
        await trio.sleep(1.0)
        name = await wait_for_eviction(world)
        await trio.sleep(STOP_SENT_S)
        await world.stop_node(name)
        await trio.sleep(8.0)
        assert evictions.stopped != []
        assert evictions.breaches == []
        assert checker.breaches == []
