"""Tests in simulated time that a wave keeps its limit while holders change."""

import pytest
import trio
from trio.testing import MockClock

from tests.batch.checkers import WaveChecker
from tests.batch.world import catalogue, open_world, route

LIMIT = 3


@pytest.fixture
def autojump_clock():
    return MockClock(rate=0.0, autojump_threshold=0.0)


async def start_wave(world, machines=14, deadline_s=60.0):
    world.platform.put_catalogue(catalogue(1, [route("/one/", "one")], ["one"], "rest"))
    for number in range(machines):
        world.platform.add_machine(f"m-{number:02}", "rest", f"r{number % 2}")
    for name in "abc":
        world.start_node(name)
    await trio.sleep(1.0)
    world.platform.put_wave(1, sorted(world.platform.machine_by_id), LIMIT, deadline_s)
    return WaveChecker(world, 1, LIMIT)


async def wait_maintained(world, checker, within_s=70.0):
    with trio.move_on_after(within_s):
        while len(checker.maintained) < len(world.platform.machine_by_id):
            await trio.sleep(0.1)
    assert sorted(checker.maintained) == sorted(world.platform.machine_by_id)


@pytest.mark.parametrize("after_s", [0.0, 0.003, 0.01, 0.05, 0.2])
async def test_a_planned_stop_leaves_no_maintenance_uncounted(
    monkeypatch, autojump_clock, after_s
):
    """The next holder plans before the last one has stored what it commanded."""
    async with open_world(monkeypatch) as world:
        begun = trio.Event()
        world.observers.append(lambda what, *_: what == "upkeep" and begun.set())
        checker = await start_wave(world)
        for _ in range(4):
            begun = trio.Event()
            with trio.move_on_after(10.0):
                await begun.wait()
            await trio.sleep(after_s)
            for name in world.holders():
                await world.stop_node(name)
                world.start_node(name)
        await wait_maintained(world, checker)
        assert checker.breaches == []


@pytest.mark.parametrize("seed", range(4))
async def test_a_command_under_way_at_a_planned_stop_is_counted(
    monkeypatch, autojump_clock, seed
):
    """A command of the last holder arrives after the next one has read the list."""
    async with open_world(monkeypatch, seed) as world:
        checker = await start_wave(world)
        world.faults.machine_command_delay_s = 0.4
        for _ in range(4):
            await trio.sleep(world.generator.uniform(0.5, 3.0))
            for name in world.holders():
                await world.stop_node(name)
                world.start_node(name)
        world.faults.machine_command_delay_s = 0.0
        await wait_maintained(world, checker)
        assert checker.breaches == []


@pytest.mark.parametrize("seed", range(4))
async def test_unanswered_maintenance_is_counted(monkeypatch, autojump_clock, seed):
    """Commands that get no answer take effect late, some after a repetition."""
    async with open_world(monkeypatch, seed) as world:
        checker = await start_wave(world)
        world.faults.lost_machine_response_share = 0.5
        world.faults.machine_command_delay_s = 1.2
        await trio.sleep(12.0)
        world.faults.lost_machine_response_share = 0.0
        world.faults.machine_command_delay_s = 0.0
        await wait_maintained(world, checker)
        assert checker.breaches == []


async def test_a_slow_store_leaves_no_maintenance_uncounted(
    monkeypatch, autojump_clock
):
    """Decisions wait for the store while planning goes on."""
    async with open_world(monkeypatch) as world:
        checker = await start_wave(world)
        world.faults.store_delay_s = 0.25
        for number in range(12):
            await trio.sleep(0.4)
            up = [m for m in world.platform.machine_by_id.values() if m.server]
            world.platform.crash(up[number % len(up)].id, 0.5)
        world.faults.store_delay_s = 0.0
        await wait_maintained(world, checker)
        assert checker.breaches == []


async def _change_holder(world):
    for name in world.holders():
        if world.generator.random() < 0.5:
            await world.stop_node(name)
        else:
            world.kill_node(name)
        world.start_node(name)


async def _crash_machine(world):
    up = [item.id for item in world.platform.machine_by_id.values() if item.server]
    if up:
        world.platform.crash(world.generator.choice(up), 0.7)


async def _disturb_store(world):
    world.faults.store_delay_s = world.generator.choice([0.0, 0.1, 0.3])
    world.faults.store_loses = world.generator.choice([0.0, 0.2])


async def _disturb_machines(world):
    world.faults.lost_machine_response_share = world.generator.choice([0.0, 0.3])
    world.faults.machine_command_delay_s = world.generator.choice([0.0, 0.2, 0.6])


@pytest.mark.parametrize("seed", range(12))
async def test_a_wave_keeps_its_limit_under_faults_that_overlap(
    monkeypatch, autojump_clock, seed
):
    events = [_change_holder, _crash_machine, _disturb_store, _disturb_machines]
    async with open_world(monkeypatch, seed) as world:
        checker = await start_wave(world, machines=24)
        for _ in range(40):
            await trio.sleep(world.generator.uniform(0.1, 0.9))
            await world.generator.choice(events)(world)
        world.faults.store_delay_s = world.faults.store_loses = 0.0
        world.faults.lost_machine_response_share = 0.0
        world.faults.machine_command_delay_s = 0.0
        await wait_maintained(world, checker)
        assert checker.breaches == []
