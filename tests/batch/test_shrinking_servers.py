"""Tests that servers that shrink while they run get no more than they have room for.

The servers do not refuse what does not fit. A capacity that has shrunk counts 4.5 s
later; their rows show it within one heartbeat.
"""

import pytest
import trio
from trio.testing import MockClock

from rhubarbmount.batch.table_follower import FEED_WAIT_S
from rhubarbmount.standins.users_servers import TaskWork
from tests.batch.test_days import (
    job,
    long_running_job,
    open_day,
    open_small_day,
    submit,
    wait_complete,
    wide_job,
)
from tests.batch.test_silent_servers import servers_running_tasks

HEARTBEAT_S = 1.5
CPU = 8000
MEMORY_MB = 64000


@pytest.fixture
def autojump_clock():
    return MockClock(rate=0.0, autojump_threshold=0.0)


async def submit_jobs(world, checker, new_jobs):
    """Submit jobs, which have to be accepted; return their ids."""
    for new_job in new_jobs:
        assert await submit(world, checker, "/one/", new_job)
    return [new_job[0] for new_job in new_jobs]


def one_task(world, work_s):
    """Return a job of one task."""
    estimate_ms = int(work_s * 1000)
    phase = {"count": 1, "cpu": 1000, "mem_mb": 500, "estimate_ms": estimate_ms}
    job_id = f"{world.generator.getrandbits(64):016x}"
    return job_id, [phase], [TaskWork(work_s, 1000, 500)]


def resize(world, machine_id, share):
    """Change the capacity of a machine to a share of what it was at first."""
    after_s = world.generator.uniform(0.0, HEARTBEAT_S)
    world.platform.resize(machine_id, int(CPU * share), int(MEMORY_MB * share), after_s)


# Guards against starts over a capacity that shrinks and grows under load.
@pytest.mark.parametrize("seed", range(6))
async def test_servers_that_shrink_and_grow_get_what_they_have_room_for(
    monkeypatch, autojump_clock, seed
):
    async with open_day(monkeypatch, seed) as (world, checker):
        world.platform.servers_guard_capacity = False
        for machine in world.platform.machine_by_id.values():
            machine.server.guards_capacity = False
        accepted = []
        for _ in range(12):
            new_jobs = [job(world.generator) for _ in range(4)]
            accepted += await submit_jobs(world, checker, new_jobs)
            for machine_id in sorted(world.platform.machine_by_id):
                if world.generator.random() < 0.3:
                    resize(world, machine_id, world.generator.uniform(0.2, 1.0))
            await trio.sleep(world.generator.uniform(0.3, 1.5))
            if world.generator.random() < 0.2:
                for name in world.holders()[:1]:
                    world.kill_node(name)
                    world.start_node(name)
        for machine_id in world.platform.machine_by_id:
            resize(world, machine_id, 1.0)
        assert await wait_complete(world, checker, "/one/", accepted, 40.0) == []
        assert checker.breaches == []


# Guards against starts that were decided before a server shrank and are sent after.
async def test_a_start_that_was_held_up_is_not_sent_to_a_server_that_has_shrunk(
    monkeypatch, autojump_clock
):
    day = open_small_day(monkeypatch, 1, ["m"], "a", guards_capacity=False)
    async with day as (world, checker):
        wide = wide_job(world.generator, 0.5)
        accepted = await submit_jobs(world, checker, [job(world.generator)])
        assert await wait_complete(world, checker, "/one/", accepted, 10.0) == []
        shard = next(iter(world.node_by_id.values())).lease_manager.shard
        world.faults.store_parts_down = {shard}
        assert await submit(world, checker, "/one/", wide)
        await trio.sleep(0.3)
        world.platform.resize("m", CPU // 4, MEMORY_MB, 0.1)
        await trio.sleep(6.0)
        world.faults.store_parts_down = set()
        assert await wait_complete(world, checker, "/one/", [wide[0]], 30.0) == []
        assert checker.breaches == []


# Guards against starts by rows of servers that can't be read any more.
async def test_nothing_starts_by_capacities_that_were_read_long_ago(
    monkeypatch, autojump_clock
):
    day = open_small_day(monkeypatch, 1, ["m"], "a", guards_capacity=False)
    async with day as (world, checker):
        # Keeps the host from leaving the pool.
        assert await submit(world, checker, "/one/", one_task(world, 30.0))
        world.faults.store_tables_down = {"servers"}
        await trio.sleep(FEED_WAIT_S)
        world.platform.resize("m", CPU // 4, MEMORY_MB, 0.1)
        wide = [wide_job(world.generator, 0.5) for _ in range(30)]
        for new_job in wide:
            assert await submit(world, checker, "/one/", new_job)
            await trio.sleep(0.3)
        world.faults.store_tables_down = set()
        ids = [new_job[0] for new_job in wide]
        assert await wait_complete(world, checker, "/one/", ids, 120.0) == []
        assert checker.breaches == []


async def resize_again_and_again(world):
    """Change the row of the second server all the time, so that the feed has news."""
    number = 0
    while True:
        number += 1
        world.platform.resize("n", CPU // 8 + number % 2, MEMORY_MB, 0.0)
        await trio.sleep(0.1)


# Guards against LIMIT: a late answer about capacities is taken for one of now.
@pytest.mark.parametrize("seed", range(8))
async def test_nothing_starts_by_capacities_that_were_told_late(
    monkeypatch, autojump_clock, seed
):
    day = open_small_day(monkeypatch, seed, ["m", "n"], "a", guards_capacity=False)
    async with day as (world, checker):
        for _ in range(2):
            assert await submit(world, checker, "/one/", one_task(world, 60.0))
        await trio.sleep(2.0)
        world.nursery.start_soon(resize_again_and_again, world)
        await trio.sleep(3.0)
        world.faults.late_answers_s_by_table = {"servers": 2.8}
        for _ in range(40):
            new_job = wide_job(world.generator, 0.5)
            assert await submit(world, checker, "/one/", new_job)
        await trio.sleep(world.generator.uniform(3.0, 6.0))
        world.platform.resize("m", CPU // 4, MEMORY_MB, 0.1)
        await trio.sleep(12.0)
        assert checker.breaches == []


# Guards against a server that gets no more than it once had room for.
async def test_a_capacity_that_has_grown_is_used(monkeypatch, autojump_clock):
    async with open_small_day(monkeypatch, 1, ["m"], "a") as (world, checker):
        world.platform.resize("m", CPU // 4, MEMORY_MB, 0.1)
        await trio.sleep(1.0)
        wide = wide_job(world.generator, 2.0)
        assert await submit(world, checker, "/one/", wide)
        await trio.sleep(0.5)
        assert len(servers_running_tasks(checker)) == 2
        world.platform.resize("m", CPU, MEMORY_MB, 0.1)
        await trio.sleep(1.0)
        assert len(servers_running_tasks(checker)) >= 6
        assert await wait_complete(world, checker, "/one/", [wide[0]], 10.0) == []
        assert checker.breaches == []


# Guards against a task that lasts and is taken from a server that has shrunk under it.
async def test_tasks_that_last_run_on_a_server_that_has_shrunk(
    monkeypatch, autojump_clock
):
    day = open_small_day(monkeypatch, 1, ["m", "n"], "ab", 1.0, guards_capacity=False)
    async with day as (world, checker):
        lasting = long_running_job(world.generator)
        assert await submit(world, checker, "/one/", lasting)
        await trio.sleep(2.0)
        for name in ("m", "n"):
            world.platform.resize(name, 100, MEMORY_MB, 0.1)
        world.kill_node(world.holders()[0])
        await trio.sleep(20.0)
        assert len(servers_running_tasks(checker)) == 2
        assert checker.breaches == []


# Guards against a task that waits for ever for a server that has shrunk.
async def test_a_task_that_fits_nowhere_starts_once_a_server_has_grown(
    monkeypatch, autojump_clock
):
    day = open_small_day(monkeypatch, 1, ["m"], "a", guards_capacity=False)
    async with day as (world, checker):
        world.platform.resize("m", 500, MEMORY_MB, 0.1)
        await trio.sleep(1.0)
        large = one_task(world, 0.5)
        assert await submit(world, checker, "/one/", large)
        await trio.sleep(10.0)
        assert not checker.starts
        world.platform.resize("m", CPU, MEMORY_MB, 0.1)
        assert await wait_complete(world, checker, "/one/", [large[0]], 5.0) == []
        assert checker.breaches == []
