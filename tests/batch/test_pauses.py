"""Tests in simulated time of holders that are paused, or stopped with commands sent."""

import pytest
import trio
from trio.testing import MockClock

from tests.batch.test_days import job, long_running_job, open_day, submit, wait_complete
from tests.batch.world import BOUNDS, World

PAUSE_COUNT = 6
HAND_OVER_COUNT = 8


@pytest.fixture
def autojump_clock():
    return MockClock(rate=0.0, autojump_threshold=0.0)


def find_turns(world: World) -> list[str]:
    """Return the commands to hosts that came between those of another holder."""
    found = []
    last_by_machine: dict[str, tuple[float, str, int]] = {}
    for at_s, machine, holder, fence in world.platform.machine_commands:
        last_s, last_holder, last_fence = last_by_machine.get(
            machine, (at_s, holder, fence)
        )
        is_soon = holder != last_holder and at_s < last_s + BOUNDS.lease_s
        if is_soon or fence < last_fence:
            found.append(f"{machine} by {holder} at {at_s:.3f} s")
        last_by_machine[machine] = at_s, holder, fence
    return found


async def pause_holders(world: World, paused: set[str]) -> None:
    """Pause one holder after the other, most of them for longer than their lease."""
    for _ in range(PAUSE_COUNT):
        pause_s = world.generator.choice([0.5, 1.5, 2.5, 5.0, 8.0])
        for name in world.holders()[:1]:
            until_s = trio.current_time() + pause_s
            world.faults.paused_until_s_by_node[name] = until_s
            paused.add(name)
        await trio.sleep(pause_s + world.generator.uniform(0.0, 3.0))


# Guards against renewals, starts, commits and commands to hosts that go out on a lease
# that ran out while the process was paused between its decision and the sending.
@pytest.mark.parametrize("seed", range(8))
async def test_a_holder_that_was_paused_acts_on_nothing_that_has_run_out(
    monkeypatch, autojump_clock, seed
):
    async with open_day(monkeypatch, seed) as (world, checker):
        lasting = long_running_job(world.generator)
        assert await submit(world, checker, "/one/", lasting)
        hosts = sorted(world.platform.machine_by_id)
        world.platform.put_wave(1, hosts, 2, 120.0)
        accepted, paused = [], set()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(pause_holders, world, paused)
            for _ in range(40):
                new_job = job(world.generator)
                if await submit(world, checker, "/one/", new_job):
                    accepted.append(new_job[0])
                await trio.sleep(0.8)
        assert await wait_complete(world, checker, "/one/", accepted, 60.0) == []
        assert len(paused) > 1
        assert checker.breaches == []
        assert find_turns(world) == []


async def hand_over(world: World) -> None:
    """Stop one holder after the other as planned, and start it again."""
    for _ in range(HAND_OVER_COUNT):
        await trio.sleep(world.generator.uniform(0.5, 4.0))
        for name in world.holders()[:1]:
            await world.stop_node(name)
            world.start_node(name)


# Guards against commands to servers and hosts that take effect beside those of the
# next holder, as they were under way at a planned stop.
@pytest.mark.parametrize("seed", range(8))
async def test_commands_under_way_at_a_hand_over_take_effect_once(
    monkeypatch, autojump_clock, seed
):
    async with open_day(monkeypatch, seed) as (world, checker):
        world.faults.late_command_share = 0.15
        world.faults.lost_response_share = 0.15
        world.faults.lost_machine_response_share = 0.3
        world.faults.machine_command_delay_s = 0.1 * (seed % 4)
        hosts = sorted(world.platform.machine_by_id)
        world.platform.put_wave(1, hosts, 2, 120.0)
        accepted = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(hand_over, world)
            for _ in range(40):
                new_job = job(world.generator)
                if await submit(world, checker, "/one/", new_job):
                    accepted.append(new_job[0])
                await trio.sleep(0.5)
        world.faults.late_command_share = world.faults.lost_response_share = 0.0
        assert await wait_complete(world, checker, "/one/", accepted, 60.0) == []
        assert checker.breaches == []
        assert find_turns(world) == []
