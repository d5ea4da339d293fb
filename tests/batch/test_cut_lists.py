"""Backend servers with more ends of runs than one list holds."""

import pytest
import trio
from trio.testing import MockClock

from rhubarbmount.standins.users_servers import TaskWork
from tests.batch.checkers import JobChecker
from tests.batch.test_days import submit, wait_complete
from tests.batch.test_large_jobs import put_pools
from tests.batch.world import open_world

TASKS = 700
WORK_S = 5.0
WORK = TaskWork(WORK_S, 10, 20)
STEP = {"count": TASKS, "cpu": 10, "mem_mb": 20, "estimate_ms": int(WORK_S * 1000)}


@pytest.fixture
def autojump_clock():
    return MockClock(rate=0.0, autojump_threshold=0.0)


async def kill_the_holder(world):
    """Kill the holder shortly before the runs end."""
    world.kill_node(*world.holders())


async def cut_the_store_off(world):
    """Let the store answer nobody until after the runs have ended."""
    world.faults.store_is_down = True
    await trio.sleep(1.0)
    world.faults.store_is_down = False


async def slow_the_store_down(world):
    """Let acknowledgements wait while lists go on."""
    world.faults.store_delay_s = 0.6
    await trio.sleep(2.0)
    world.faults.store_delay_s = 0.0


# Guards against review case 2: runs whose ends a cut list leaves out are begun again.
@pytest.mark.parametrize(
    "disrupt", [kill_the_holder, cut_the_store_off, slow_the_store_down]
)
async def test_runs_beyond_a_full_list_are_not_begun_again(
    monkeypatch, autojump_clock, disrupt
):
    async with open_world(monkeypatch) as world:
        checker = JobChecker(world)
        put_pools(world, "one")
        for name in "ab":
            world.start_node(name)
        await trio.sleep(3.0)
        new_job = ("0" * 16, [STEP], [WORK])
        assert await submit(world, checker, "/one/", new_job)
        await trio.sleep(WORK_S - 0.3)
        starts, breaches = checker.starts, checker.breaches
        assert len(starts) == TASKS
        await disrupt(world)
        assert not await wait_complete(world, checker, "/one/", [new_job[0]], 20.0)
        await trio.sleep(3.0)
        assert breaches == []
        assert len(starts) == TASKS
