"""Tests that the checker of jobs sees what servers that start again bring about."""

from contextlib import asynccontextmanager

import pytest
import trio
from trio.testing import MockClock

from rhubarbmount.standins.users_platform import Rebirth
from rhubarbmount.standins.users_servers import TaskWork
from tests.batch.checkers import JobChecker
from tests.batch.world import open_world

JOB = "00000000000000aa"
TASK = f"{JOB}.0.0.0"
WORK_S = 0.5


@pytest.fixture
def autojump_clock():
    return MockClock(rate=0.0, autojump_threshold=0.0)


@asynccontextmanager
async def open_two_machines(monkeypatch):
    """Run two machines without entry hosts; commands are sent by the test."""
    async with open_world(monkeypatch) as world:
        checker = JobChecker(world)
        phases = [{"count": 1}]
        world.add_work(JOB, phases, [TaskWork(WORK_S, 1000, 500)])
        checker.add_job(JOB, phases)
        for name in "mn":
            world.platform.add_machine(name, "one", "r")
        yield world, checker


def server_of(world, machine_id):
    return world.platform.machine_by_id[machine_id].server


async def start(world, machine_id, run):
    server = server_of(world, machine_id)
    expires_ms = server.clock_ms() + 5000
    body = {"task_id": TASK, "run_id": run, "expires_ms": expires_ms}
    assert (await server.handle("/run-start", server.id, body)).status == 200


async def renew(world, machine_id, ack_cursor):
    server = server_of(world, machine_id)
    response = await server.handle("/hold", server.id, {"ack_cursor": ack_cursor})
    assert response.status == 200
    return response.body


async def restart(world, machine_id, **fields):
    world.platform.crash(machine_id, 0.01, rebirth=Rebirth(**fields))
    await trio.sleep(0.02)


# Guards against a stand-in that keeps anything of the earlier lifetime but its id.
@pytest.mark.parametrize("clock_ms", [1000, 9_000_000])
async def test_a_reborn_server_keeps_its_id_alone(
    monkeypatch, autojump_clock, clock_ms
):
    async with open_two_machines(monkeypatch) as (world, checker):
        earlier = server_of(world, "m")
        await start(world, "m", 1)
        await trio.sleep(1.0)
        body = {"task_id": TASK, "run_id": 7, "fencing_token": 5}
        assert (await earlier.handle("/run-stop", earlier.id, body)).status == 200
        await restart(world, "m", clock_ms=clock_ms, cpu_millicores=2000)
        later = server_of(world, "m")
        assert later is not earlier
        assert later.id == earlier.id
        assert later.born_ms > earlier.born_ms
        assert later.cpu_millicores == 2000
        assert clock_ms <= later.clock_ms() < clock_ms + 100
        listed = await renew(world, "m", 0)
        assert listed["born"] == later.born_ms
        assert listed["running"] == listed["finished"] == []
        await start(world, "m", 2)
        await trio.sleep(1.0)
        listed = await renew(world, "m", 0)
        assert listed["finished"] == [[1, TASK, 2, "done", ""]]


# Guards against a checker that takes runs of an ended lifetime for running.
async def test_runs_of_a_crashed_lifetime_are_gone(monkeypatch, autojump_clock):
    async with open_two_machines(monkeypatch) as (world, checker):
        await start(world, "m", 1)
        await restart(world, "m")
        await start(world, "m", 2)
        assert checker.breaches == []
        await trio.sleep(1.0)
        await renew(world, "m", 0)
        await renew(world, "m", 1)
        assert checker.breaches == []


# Guards against a checker that misses a run beside one on a later lifetime.
@pytest.mark.parametrize("machine_id", ["m", "n"])
async def test_two_runs_at_once_across_lifetimes_are_a_breach(
    monkeypatch, autojump_clock, machine_id
):
    async with open_two_machines(monkeypatch) as (world, checker):
        await start(world, "m", 1)
        await restart(world, "m")
        await start(world, machine_id, 2)
        assert checker.breaches == []
        await start(world, "n" if machine_id == "m" else "m", 1)
        assert [breach.split()[0] for breach in checker.breaches] == ["TWICE"]


# Guards against a checker that misses a start after an end that was taken note of.
async def test_a_start_on_a_later_lifetime_after_an_acknowledged_end_is_a_breach(
    monkeypatch, autojump_clock
):
    async with open_two_machines(monkeypatch) as (world, checker):
        await start(world, "m", 1)
        await trio.sleep(1.0)
        await renew(world, "m", 0)
        await renew(world, "m", 1)
        await restart(world, "m")
        await start(world, "m", 2)
        assert len(checker.breaches) == 1
        assert checker.breaches[0].startswith("TWICE after done")


# Guards against a checker that misses an end that no list held before it was forgotten.
async def test_the_acknowledgement_of_an_end_that_was_never_listed_is_a_breach(
    monkeypatch, autojump_clock
):
    async with open_two_machines(monkeypatch) as (world, checker):
        await start(world, "m", 1)
        await trio.sleep(1.0)
        assert len((await renew(world, "m", 0))["finished"]) == 1
        await renew(world, "m", 1)
        await restart(world, "m")
        await start(world, "n", 2)
        await trio.sleep(1.0)
        assert [breach.split()[0] for breach in checker.breaches] == ["TWICE"]
        checker.breaches.clear()
        await renew(world, "n", 1)
        assert [breach.split()[0] for breach in checker.breaches] == ["UNREAD"]


# Guards against a stand-in that forgets only the ends that are there when they are
# acknowledged, and a checker that misses those that come later.
async def test_an_end_that_was_acknowledged_before_it_came_is_never_listed(
    monkeypatch, autojump_clock
):
    async with open_two_machines(monkeypatch) as (world, checker):
        await renew(world, "m", 1)
        await start(world, "m", 1)
        await trio.sleep(1.0)
        assert [breach.split()[0] for breach in checker.breaches] == ["UNREAD"]
        checker.breaches.clear()
        listed = await renew(world, "m", 0)
        assert listed["running"] == listed["finished"] == []
        await start(world, "m", 2)
        assert len(checker.breaches) == 1
        assert checker.breaches[0].startswith("TWICE after done")
        checker.breaches.clear()
        await trio.sleep(1.0)
        assert (await renew(world, "m", 0))["finished"] == [[2, TASK, 2, "done", ""]]


# Guards against a stand-in that has ends of a crashed lifetime acknowledged.
async def test_runs_that_a_crash_ends_are_not_acknowledged(monkeypatch, autojump_clock):
    async with open_two_machines(monkeypatch) as (world, checker):
        await renew(world, "m", 5)
        await start(world, "m", 1)
        await restart(world, "m")
        assert checker.breaches == []
