"""Tests in simulated time that jobs complete under faults without breaking the rules.

The rules on runs are those of JobChecker.
"""

import random
import re
from contextlib import asynccontextmanager

import pytest
import trio
from trio.testing import MockClock

from rhubarbmount.batch import node
from rhubarbmount.standins.users_servers import TaskWork
from tests.batch.checkers import JobChecker
from tests.batch.world import World, catalogue, open_world, route

POOLS = ["one", "two"]
SPARE = "rest"


@pytest.fixture
def autojump_clock():
    return MockClock(rate=0.0, autojump_threshold=0.0)


def start_platform(world: World, machines: int = 3) -> None:
    routes = [route("/one/", "one"), route("/two/", "two")]
    world.platform.put_catalogue(catalogue(1, routes, POOLS, SPARE))
    for pool in (*POOLS, SPARE):
        for number in range(machines):
            world.platform.add_machine(f"m-{pool}-{number}", pool, f"r{number % 2}")


def job(generator: random.Random) -> tuple[str, list[dict], list[TaskWork]]:
    job_id = f"{generator.getrandbits(64):016x}"
    phases, works = [], []
    for at in range(generator.randint(1, 3)):
        count = generator.randint(1, 5)
        work_s = generator.uniform(0.2, 1.5)
        phase = {
            "count": count,
            "cpu": 1000,
            "mem_mb": 500,
            "estimate_ms": int(work_s * 1000),
        }
        if at:
            phase["after"] = [at - 1]
        phases.append(phase)
        works.append(TaskWork(work_s, 1000, 500))
    return job_id, phases, works


def long_running_job(
    generator: random.Random,
) -> tuple[str, list[dict], list[TaskWork]]:
    phase = {
        "count": 2,
        "cpu": 500,
        "mem_mb": 500,
        "estimate_ms": 900,
        "long_running": True,
        "max_per_server": 1,
        "max_unavailable": 1,
    }
    job_id = f"{generator.getrandbits(64):016x}"
    return job_id, [phase], [TaskWork(0.9, 500, 500, is_long_running=True)]


async def submit(
    world, checker, prefix, new_job, tries: int = 8, payload: str = ""
) -> bool:
    """Submit a job as callers do, which retry when they get no answer, 502 or 504.

    A job that was only ever answered 429 or 503 counts as refused and must not run.
    """
    job_id, phases, works = new_job
    world.add_work(job_id, phases, works)
    checker.add_job(job_id, phases)
    may_be_stored = False
    for _ in range(tries):
        if world.node_by_id:
            body = {"spec": job_id + payload, "phases": phases}
            status, _ = await world.call("POST", f"{prefix}{job_id}", body)
            if status == 200:
                checker.note_accepted(prefix, job_id)
                return True
            may_be_stored = may_be_stored or status not in (429, 503)
        await trio.sleep(0.4)
    if not may_be_stored:
        checker.refused.add(job_id)
    return False


async def wait_complete(world, checker, prefix, job_ids, within_s: float) -> list[str]:
    """Poll jobs until they are complete; return those that are not in time."""
    left = list(job_ids)
    with trio.move_on_after(within_s):
        while left:
            for job_id in list(left):
                status, body = await world.call("GET", f"{prefix}{job_id}")
                if status == 200 and body["state"] == "complete":
                    checker.check_complete(job_id)
                    left.remove(job_id)
            await trio.sleep(0.2)
    return left


async def submit_all(world, checker, prefix, new_jobs) -> list[str]:
    """Submit jobs one after the other, which must all be accepted; return their ids."""
    accepted = []
    for new_job in new_jobs:
        assert await submit(world, checker, prefix, new_job)
        accepted.append(new_job[0])
    return accepted


async def submit_some(world, checker, count: int, period_s: float) -> list[str]:
    """Submit jobs a period apart, which may be refused; return the accepted ids."""
    accepted = []
    for _ in range(count):
        new_job = job(world.generator)
        if await submit(world, checker, "/one/", new_job):
            accepted.append(new_job[0])
        await trio.sleep(period_s)
    return accepted


@asynccontextmanager
async def open_day(monkeypatch, seed=0, nodes="abc", machines=3):
    """Run a platform and entry hosts, one of which has become the holder."""
    async with open_world(monkeypatch, seed) as world:
        checker = JobChecker(world)
        start_platform(world, machines)
        for name in nodes:
            world.start_node(name)
        await trio.sleep(1.0)
        yield world, checker


@asynccontextmanager
async def open_small_day(
    monkeypatch, seed, machines, nodes="a", settle_s=0.5, guards_capacity=True
):
    """Run entry hosts and a platform with one queue and a few machines in one pool."""
    async with open_world(monkeypatch, seed) as world:
        world.platform.servers_guard_capacity = guards_capacity
        checker = JobChecker(world)
        routes = [route("/one/", "one")]
        world.platform.put_catalogue(catalogue(1, routes, ["one"], SPARE))
        for name in machines:
            world.platform.add_machine(name, "one", "r")
        for name in nodes:
            world.start_node(name)
        await trio.sleep(settle_s)
        yield world, checker


async def test_jobs_complete_without_faults(monkeypatch, autojump_clock):
    async with open_day(monkeypatch, 1) as (world, checker):
        accepted = []
        for _ in range(30):
            new_job = job(world.generator)
            assert await submit(world, checker, "/one/", new_job)
            accepted.append(new_job[0])
            await trio.sleep(0.1)
        assert await wait_complete(world, checker, "/one/", accepted, 20.0) == []
        assert checker.breaches == []
        assert len(world.holders()) == 1


# Guards against a shard that can store nothing more because of one large job.
async def test_a_job_whose_progress_is_large_holds_up_no_other(
    monkeypatch, autojump_clock
):
    async with open_day(monkeypatch, nodes="a") as (world, checker):
        job_id = f"{world.generator.getrandbits(64):016x}"
        phase = {"count": 5000, "cpu": 1000, "mem_mb": 500, "estimate_ms": 50}
        large = job_id, [phase], [TaskWork(0.05, 1000, 500)]
        small = job(world.generator)
        assert await submit(world, checker, "/one/", large)
        assert await submit(world, checker, "/two/", small)
        assert await wait_complete(world, checker, "/two/", [small[0]], 20.0) == []
        assert checker.breaches == []


async def test_submitting_a_job_twice_is_idempotent(monkeypatch, autojump_clock):
    async with open_day(monkeypatch, nodes="ab") as (world, checker):
        new_job = job(world.generator)
        body = {"spec": new_job[0], "phases": new_job[1]}
        world.add_work(*new_job)
        checker.add_job(new_job[0], new_job[1])
        for node in "abab":
            status, _ = await world.call("POST", f"/one/{new_job[0]}", body, node)
            assert status == 200
            await trio.sleep(0.7)
        assert await wait_complete(world, checker, "/one/", [new_job[0]], 20.0) == []
        assert checker.breaches == []


async def test_unknown_jobs_and_queues(monkeypatch, autojump_clock):
    async with open_world(monkeypatch) as world:
        start_platform(world)
        world.start_node("a")
        status, _ = await world.call("POST", "/one/" + "0" * 16, {"phases": []})
        assert status == 503
        await trio.sleep(1.0)
        assert (await world.call("GET", "/one/" + "0" * 16))[0] == 410
        assert (await world.call("DELETE", "/one/" + "0" * 16))[0] == 410
        assert (await world.call("GET", "/nowhere/" + "0" * 16))[0] == 404
        assert (await world.call("POST", "/one/" + "0" * 16, {"phases": []}))[0] == 400
        assert (await world.call("GET", "/one/")) == (200, {"pending": 0})


async def test_a_cancelled_job_stops(monkeypatch, autojump_clock):
    async with open_day(monkeypatch, nodes="a") as (world, checker):
        new_job = long_running_job(world.generator)
        assert await submit(world, checker, "/one/", new_job)
        await trio.sleep(1.5)
        assert sum(bool(runs) for runs in checker.running.values()) == 2
        assert (await world.call("DELETE", f"/one/{new_job[0]}"))[0] == 200
        checker.cancelled_at_s[new_job[0]] = trio.current_time()
        await trio.sleep(1.0)
        assert not any(checker.running.values())
        _, body = await world.call("GET", f"/one/{new_job[0]}")
        assert body == {"state": "cancelled"}
        assert checker.breaches == []


async def test_a_job_that_always_fails_ends_after_its_attempts(
    monkeypatch, autojump_clock
):
    async with open_day(monkeypatch, nodes="a") as (world, checker):
        job_id, phases, works = job(world.generator)
        works = [TaskWork(0.2, 1000, 500, fails=True) for _ in works]
        assert await submit(world, checker, "/one/", (job_id, phases, works))
        await trio.sleep(8.0)
        _, body = await world.call("GET", f"/one/{job_id}")
        assert body == {"state": "failed"}
        assert checker.breaches == []


@pytest.mark.parametrize("seed", range(6))
async def test_jobs_complete_when_holders_are_killed(monkeypatch, autojump_clock, seed):
    async with open_day(monkeypatch, seed) as (world, checker):
        accepted = []
        for number in range(40):
            new_job = job(world.generator)
            if await submit(world, checker, "/one/", new_job):
                accepted.append(new_job[0])
            if number % 12 == 5:
                for name in world.holders():
                    world.kill_node(name)
                    world.start_node(name)
            elif number % 12 == 11:
                for name in list(world.node_by_id):
                    world.kill_node(name)
                await trio.sleep(world.generator.uniform(0.5, 3.0))
                for name in "abc":
                    world.start_node(name)
                await trio.sleep(0.5)
            await trio.sleep(0.1)
        assert await wait_complete(world, checker, "/one/", accepted, 40.0) == []
        assert checker.breaches == []


@pytest.mark.parametrize("seed", range(6))
async def test_the_holder_is_partitioned_from_the_store(
    monkeypatch, autojump_clock, seed
):
    async with open_day(monkeypatch, seed) as (world, checker):
        accepted = []
        for number in range(30):
            new_job = job(world.generator)
            if await submit(world, checker, "/one/", new_job):
                accepted.append(new_job[0])
            if number == 5:
                world.faults.nodes_cut_from_store = set(world.holders())
                if seed % 2:
                    servers = list(world.platform.server_by_address)
                    other = next(
                        n for n in "abc" if n not in world.faults.nodes_cut_from_store
                    )
                    world.faults.servers_cut = {(other, at) for at in servers[:3]}
            if number == 25:
                world.faults.nodes_cut_from_store = set()
                world.faults.servers_cut = set()
            await trio.sleep(0.2)
        assert await wait_complete(world, checker, "/one/", accepted, 40.0) == []
        assert checker.breaches == []


@pytest.mark.parametrize("seed", range(6))
async def test_commands_and_writes_are_late_or_unanswered(
    monkeypatch, autojump_clock, seed
):
    async with open_day(monkeypatch, seed) as (world, checker):
        world.faults.late_command_share = 0.1
        world.faults.store_loses = 0.1
        world.faults.store_is_late = 0.1 if seed % 2 else 0.0
        accepted = await submit_some(world, checker, 25, 0.2)
        world.faults.late_command_share = 0.0
        world.faults.store_loses = world.faults.store_is_late = 0.0
        assert await wait_complete(world, checker, "/one/", accepted, 40.0) == []
        assert checker.breaches == []


@pytest.mark.parametrize("seed", range(6))
async def test_servers_execute_commands_without_answering(
    monkeypatch, autojump_clock, seed
):
    """A run may have ended before the command that forbids it takes effect."""
    async with open_day(monkeypatch, seed) as (world, checker):
        world.faults.lost_response_share = 0.6
        accepted = await submit_some(world, checker, 25, 0.2)
        world.faults.lost_response_share = 0.0
        assert await wait_complete(world, checker, "/one/", accepted, 40.0) == []
        assert checker.breaches == []


# Guards against a second run while a late start command of the first is under way.
@pytest.mark.parametrize("seed", range(6))
async def test_servers_shed_load_while_commands_are_late(
    monkeypatch, autojump_clock, seed
):
    async with open_day(monkeypatch, seed) as (world, checker):
        world.faults.late_command_share = 0.15
        world.faults.refused_start_share = 0.5
        accepted = await submit_some(world, checker, 25, 0.2)
        world.faults.late_command_share = world.faults.refused_start_share = 0.0
        assert await wait_complete(world, checker, "/one/", accepted, 40.0) == []
        assert checker.breaches == []


def wide_job(
    generator: random.Random, work_s: float
) -> tuple[str, list[dict], list[TaskWork]]:
    """Return a job whose tasks fill one server."""
    estimate_ms = int(work_s * 1000)
    phase = {"count": 8, "cpu": 1000, "mem_mb": 500, "estimate_ms": estimate_ms}
    job_id = f"{generator.getrandbits(64):016x}"
    return job_id, [phase], [TaskWork(work_s, 1000, 500)]


# Guards against starts over the capacity of servers that do not refuse them.
async def test_runs_being_stopped_count_after_a_takeover(monkeypatch, autojump_clock):
    day = open_small_day(monkeypatch, 1, ["m"], "ab", 1.0, guards_capacity=False)
    async with day as (world, checker):
        cancelled, waiting = (wide_job(world.generator, s) for s in (30.0, 0.5))
        assert await submit(world, checker, "/one/", cancelled)
        await trio.sleep(1.0)
        assert await submit(world, checker, "/one/", waiting)
        await trio.sleep(0.5)
        # The last holder ends before its commands to stop the runs arrive.
        world.faults.late_command_share = 1.0
        await world.call("DELETE", f"/one/{cancelled[0]}")
        checker.cancelled_at_s[cancelled[0]] = trio.current_time()
        await trio.sleep(0.3)
        for name in world.holders():
            await world.stop_node(name)
        world.faults.late_command_share = 0.0
        assert await wait_complete(world, checker, "/one/", [waiting[0]], 30.0) == []
        assert checker.breaches == []


@pytest.mark.parametrize("seed", range(4))
async def test_servers_crash_and_are_partitioned(monkeypatch, autojump_clock, seed):
    async with open_day(monkeypatch, seed) as (world, checker):
        accepted = []
        for number in range(40):
            new_job = job(world.generator)
            if await submit(world, checker, "/one/", new_job):
                accepted.append(new_job[0])
            machines_up = [m for m in world.platform.machine_by_id.values() if m.server]
            if number % 8 == 3 and machines_up:
                world.platform.crash(world.generator.choice(machines_up).id)
            if number == 10:
                address = world.generator.choice(machines_up).server.address
                world.faults.servers_cut = {("*", address)}
            if number == 38:
                world.faults.servers_cut = set()
            await trio.sleep(0.2)
        assert await wait_complete(world, checker, "/one/", accepted, 40.0) == []
        assert checker.breaches == []


async def test_tasks_of_an_unreachable_server_restart_elsewhere(
    monkeypatch, autojump_clock
):
    async with open_day(monkeypatch, 2, nodes="a") as (world, checker):
        new_job = long_running_job(world.generator)
        assert await submit(world, checker, "/one/", new_job)
        await trio.sleep(2.0)
        unreachable = [runs[0][0] for runs in checker.running.values() if runs][0]
        world.faults.servers_cut = {("*", unreachable.address)}
        await trio.sleep(1.0)
        world.platform.store.remove("servers", unreachable.id)
        await trio.sleep(8.0)
        running_on = [runs[0][0] for runs in checker.running.values() if runs]
        assert len(running_on) == 2
        assert unreachable not in running_on
        assert checker.breaches == []


async def test_a_server_is_used_again_when_its_row_is_restored(
    monkeypatch, autojump_clock
):
    """Server rows that expire in a store outage are registered again after it."""
    async with open_small_day(monkeypatch, 6, ["m"]) as (world, checker):
        machine = world.platform.machine_by_id["m"]
        world.platform.store.remove("servers", machine.server.id)
        await trio.sleep(0.2)
        world.platform.register(machine)
        new_job = job(world.generator)
        assert await submit(world, checker, "/one/", new_job)
        assert await wait_complete(world, checker, "/one/", [new_job[0]], 20.0) == []


# Guards against a second run beside one on a server that was wrongly taken for gone.
async def test_a_row_of_an_earlier_lifetime_that_returns_ends_no_later_one(
    monkeypatch, autojump_clock
):
    async with open_small_day(monkeypatch, 7, ["m-0", "m-1"]) as (world, checker):
        store = world.platform.store
        machine = world.platform.machine_by_id["m-0"]
        earlier = machine.server.id
        row = store.get("servers", "", earlier)
        world.platform.crash("m-0", 0.5)
        await trio.sleep(1.0)
        jobs = [wide_job(world.generator, 5.0) for _ in range(2)]
        ids = await submit_all(world, checker, "/one/", jobs)
        await trio.sleep(1.0)
        assert machine.server.run_by_task
        store.put("servers", earlier, row)
        assert await wait_complete(world, checker, "/one/", ids, 20.0) == []
        assert checker.breaches == []


async def test_tasks_move_on_when_an_address_goes_to_another_lifetime(
    monkeypatch, autojump_clock
):
    """The row of the earlier lifetime stays; only the server tells that it is gone."""
    async with open_small_day(monkeypatch, 7, ["m-0"]) as (world, checker):
        new_job = wide_job(world.generator, 2.0)
        assert await submit(world, checker, "/one/", new_job)
        await trio.sleep(0.5)
        store = world.platform.store
        machine = world.platform.machine_by_id["m-0"]
        earlier = machine.server.id
        row = store.get("servers", "", earlier)
        world.platform.crash("m-0", 0.2)
        store.put("servers", earlier, row)
        assert await wait_complete(world, checker, "/one/", [new_job[0]], 5.0) == []
        assert checker.breaches == []


@pytest.mark.parametrize("how", ["silent", "busy"])
async def test_running_tasks_survive_a_store_outage(monkeypatch, autojump_clock, how):
    async with open_day(monkeypatch, 3) as (world, checker):
        lapsed = []
        world.observers.append(
            lambda what, *rest: lapsed.append(rest) if what == "lapsed" else None
        )
        new_job = long_running_job(world.generator)
        assert await submit(world, checker, "/one/", new_job)
        await trio.sleep(2.0)
        if how == "silent":
            world.faults.store_is_down = True
        else:
            world.faults.store_refuses = True
        await trio.sleep(8.0)
        world.faults.store_is_down = world.faults.store_refuses = False
        await trio.sleep(10.0)
        assert sum(bool(runs) for runs in checker.running.values()) == 2
        assert lapsed == []
        assert checker.breaches == []


async def test_a_wave_respects_max_unavailable_of_long_running_tasks(
    monkeypatch, autojump_clock
):
    async with open_day(monkeypatch, 5, nodes="ab") as (world, checker):
        ended, commands = [], []

        def watch(what, where, *details):
            if what == "stopped":
                ended.append((trio.current_time(), details[0]))
            if what == "upkeep":
                commands.append((where.id, details[0]))

        world.observers.append(watch)
        new_job = long_running_job(world.generator)
        assert await submit(world, checker, "/one/", new_job)
        await trio.sleep(3.0)
        machines = sorted(world.platform.machine_by_id)
        world.platform.put_wave(1, machines, 3, 40.0)
        await trio.sleep(35.0)
        assert sorted(machine for machine, _ in commands) == machines
        assert all(runs == [] for _, runs in commands)
        times = sorted(at for at, _ in ended)
        assert all(b - a > 0.5 for a, b in zip(times, times[1:], strict=False))
        assert world.platform.wave_state(1) == "complete"
        assert checker.breaches == []


async def test_a_wave_keeps_its_deadline_when_the_holder_changes(
    monkeypatch, autojump_clock
):
    async with open_day(monkeypatch) as (world, _):
        world.platform.put_wave(1, sorted(world.platform.machine_by_id), 1, 60.0)
        await trio.sleep(1.0)
        due_at_s = []
        for _ in range(3):
            holder = world.holders()[0]
            waves = world.node_by_id[holder]._holder.fleet_controller.wave_by_number
            due_at_s.append(waves[1].due_at_s)
            world.kill_node(holder)
            world.start_node(holder)
            await trio.sleep(5.0)
        assert due_at_s == pytest.approx([due_at_s[0]] * 3, abs=0.1)


def short_wide_job(generator: random.Random) -> tuple[str, list[dict], list[TaskWork]]:
    """Return a job of one step of eight tasks."""
    phase = {"count": 8, "cpu": 1000, "mem_mb": 100, "estimate_ms": 1500}
    return f"{generator.getrandbits(64):016x}", [phase], [TaskWork(1.5, 1000, 100)]


# The holder has so little processor time or bandwidth that it reads each response
# late. Nothing else is wrong.
@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("cost_s", [0.012, 0.016])
async def test_a_late_holder_gives_up_no_work(
    monkeypatch, autojump_clock, caplog, seed, cost_s
):
    caplog.set_level("INFO")
    async with open_day(monkeypatch, seed, "a", machines=12) as (world, checker):
        world.start_node("b")
        world.faults.call_cost_s_by_node = {"a": cost_s}
        accepted = []
        for _ in range(4):
            for _ in range(6):
                new_job = short_wide_job(world.generator)
                assert await submit(world, checker, "/one/", new_job)
                accepted.append(new_job[0])
            await trio.sleep(2.0)
        assert await wait_complete(world, checker, "/one/", accepted, 30.0) == []
        assert checker.breaches == []
        events = re.findall(r"event=([a-z-]+)", caplog.text)
        assert "start-unanswered" not in events
        assert "run-vanished" not in events
        assert len(checker.starts) == len(set(checker.starts)) == 24 * 8
        assert "host-late" in events


# A row that a decoder is not prepared for must not stop a host.
async def test_an_unexpected_error_of_a_decoder_stops_no_host(
    monkeypatch, autojump_clock
):
    async with open_day(monkeypatch, 7, nodes="ab") as (world, checker):
        decode = node.decode_catalogue

        def fail_once(row):
            monkeypatch.setattr(node, "decode_catalogue", decode)
            raise RuntimeError("a fault of the decoder")

        monkeypatch.setattr(node, "decode_catalogue", fail_once)
        routes = [route("/one/", "one"), route("/two/", "two"), route("/new/", "one")]
        world.platform.put_catalogue(catalogue(2, routes, POOLS, SPARE))
        await trio.sleep(6.0)
        new_job = job(world.generator)
        assert await submit(world, checker, "/new/", new_job)
        assert await wait_complete(world, checker, "/new/", [new_job[0]], 20.0) == []
        for name in "ab":
            status, _ = await world.call("GET", "/new/", node=name)
            assert status == 200
