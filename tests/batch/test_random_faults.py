"""Tests that tasks that last run again soon after random faults of all kinds."""

import pytest
import trio
from trio.testing import MockClock

from tests.batch.test_days import job, long_running_job, open_day, submit
from tests.batch.test_silent_servers import servers_running_tasks

NODES = "abc"
# The longest lease, a takeover, and a host that moves.
RECOVERY_S = 17.0


@pytest.fixture
def autojump_clock():
    return MockClock(rate=0.0, autojump_threshold=0.0)


def kill_holder(world):
    for name in world.holders()[:1]:
        world.kill_node(name)
        world.start_node(name)


def cut_server(world):
    address = world.generator.choice(list(world.platform.server_by_address))
    node = world.generator.choice([*world.node_by_id, "*"])
    world.faults.servers_cut |= {(node, address)}


def remove_row(world):
    machines = [m for m in world.platform.machine_by_id.values() if m.server]
    machine = world.generator.choice(machines)
    world.platform.store.remove("servers", machine.server.id)
    world.nursery.start_soon(return_row, world, machine, machine.server)


async def return_row(world, machine, server):
    await trio.sleep(world.generator.uniform(0.1, 2.0))
    if machine.server is server:
        world.platform.register(machine)


def crash_server(world):
    machines = [m for m in world.platform.machine_by_id.values() if m.server]
    world.platform.crash(world.generator.choice(machines).id, 1.0)


def stop_commits(world):
    shard = next(iter(world.node_by_id.values())).lease_manager.shard
    world.faults.store_parts_down = {shard}


def heal(world):
    world.faults.servers_cut = set()
    world.faults.store_parts_down = set()


FAULTS = [
    kill_holder,
    cut_server,
    cut_server,
    remove_row,
    crash_server,
    stop_commits,
    heal,
    heal,
]


# Guards against a task that is kept where it does not run, or waits beside room.
@pytest.mark.parametrize("seed", range(6))
async def test_lasting_tasks_run_again_after_random_faults(
    monkeypatch, autojump_clock, seed
):
    async with open_day(monkeypatch, seed, NODES) as (world, checker):
        world.faults.lost_response_share = 0.02
        for _ in range(2):
            lasting = long_running_job(world.generator)
            assert await submit(world, checker, "/one/", lasting)
        await trio.sleep(2.0)
        for _ in range(20):
            world.generator.choice(FAULTS)(world)
            if world.generator.random() < 0.3:
                await submit(world, checker, "/one/", job(world.generator), tries=1)
            await trio.sleep(world.generator.uniform(0.1, 1.5))
        heal(world)
        world.faults.lost_response_share = 0.0
        await trio.sleep(RECOVERY_S)
        assert len(servers_running_tasks(checker)) == 4
        assert checker.breaches == []
