"""Tests in simulated time of tasks that take much longer than others of their kind."""

import pytest
import trio
from trio.testing import MockClock

from rhubarbmount.standins.users_servers import TaskWork
from tests.batch.test_days import open_small_day, submit, wait_complete

DECLARED_S = 2.0
OTHER_JOBS = 12
LONG_JOB = "5c0e7a21d94b36f8"
# Stops of the runs of one task before its limits are wide enough.
MAX_STOPS = 1
# With the shares of a percent that take over a second, stalled runs come first.
MAX_STOPS_OF_VERY_LONG = 3


@pytest.fixture
def autojump_clock():
    return MockClock(rate=0.0, autojump_threshold=0.0)


def make_job(job_id, count, work_s):
    phase = {"count": count, "cpu": 1000, "mem_mb": 500, "estimate_ms": 2000}
    return job_id, [phase], [TaskWork(work_s, 1000, 500)]


# Guards against an accepted job that never completes, as each of its runs is stopped as
# slow or stalled and begins again.
@pytest.mark.parametrize(
    ("machines", "others", "count", "factor", "stops"),
    [
        (1, OTHER_JOBS, 1, 3.0, 0),
        (1, 0, 1, 12.0, 0),
        (1, OTHER_JOBS, 4, 12.0, 0),
        (2, OTHER_JOBS, 1, 3.0, MAX_STOPS),
        (2, OTHER_JOBS, 4, 12.0, MAX_STOPS),
        (3, 0, 1, 12.0, MAX_STOPS),
        (1, OTHER_JOBS, 1, 100.0, MAX_STOPS_OF_VERY_LONG),
        (3, OTHER_JOBS, 1, 100.0, MAX_STOPS_OF_VERY_LONG),
    ],
)
async def test_a_task_that_takes_long_is_not_stopped_without_end(
    monkeypatch, autojump_clock, machines, others, count, factor, stops
):
    names = [f"m{number}" for number in range(machines)]
    async with open_small_day(monkeypatch, 0, names) as (world, checker):
        stopped = []
        world.observers.append(
            lambda *event: event[0] == "stopped" and stopped.append(event[2])
        )
        for number in range(others):
            job = make_job(f"{number:016x}", 1, DECLARED_S)
            assert await submit(world, checker, "/one/", job)
            await trio.sleep(0.15)
        work_s = factor * DECLARED_S
        assert await submit(world, checker, "/one/", make_job(LONG_JOB, count, work_s))
        within_s = 1.5 * work_s + 20.0
        left = await wait_complete(world, checker, "/one/", [LONG_JOB], within_s)
        assert left == [], stopped
        for number in range(count):
            assert stopped.count(f"{LONG_JOB}.0.0.{number}") <= stops
