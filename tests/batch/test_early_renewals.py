"""Tests that runs outlive a takeover whose holder takes long to load its shard."""

import pytest
import trio
from trio.testing import MockClock

from rhubarbmount.batch.tables import PROGRESS_TABLE
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
