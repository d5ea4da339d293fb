"""Tests in simulated time with own rows that are damaged or of another build."""

import base64
import json
from contextlib import asynccontextmanager

import pytest
import trio
from trio.testing import MockClock

from rhubarbmount.batch.tables import (
    head_row,
    host_orders_row,
    lease_row,
    pending_row,
    progress_row,
    request_row,
    shard_of,
    silent_servers_row,
    spec_row,
    wave_row,
)
from rhubarbmount.platform.rows import RowName
from rhubarbmount.standins.users_servers import TaskWork
from tests.batch.checkers import JobChecker
from tests.batch.test_days import job, open_day, submit, wait_complete
from tests.batch.world import World

SHARD = shard_of("", "", "")
DAMAGED_VALUES = (b"", b"{", b"[]", b"7", b"\xff\xfe", b"{}", b"[" * 100_000)
RENEWALS = 8


@pytest.fixture
def autojump_clock():
    return MockClock(rate=0.0, autojump_threshold=0.0)


def read(world: World, name: RowName) -> bytes:
    value = world.platform.store.get(name.table, name.part, name.key)
    assert value is not None
    return base64.b64decode(value)


def write(world: World, name: RowName, value: bytes) -> None:
    text = base64.b64encode(value).decode()
    world.platform.store.put(name.table, name.key, text, name.part)


def change(world: World, name: RowName, **fields) -> None:
    """Change fields of a row that holds a JSON object."""
    write(world, name, json.dumps({**json.loads(read(world, name)), **fields}).encode())


def unreadable_rows(world: World, node: str, table: str) -> float:
    metrics = world.node_by_id[node].metrics
    return metrics.registry.get_sample_value(
        "rhubarbmount_batch_unreadable_rows_total", {"table": table}
    )


async def run_jobs(world: World, checker: JobChecker, count: int = 4) -> None:
    """Submit jobs and wait until they are complete."""
    accepted = []
    for _ in range(count):
        new_job = job(world.generator)
        assert await submit(world, checker, "/one/", new_job)
        accepted.append(new_job[0])
    assert await wait_complete(world, checker, "/one/", accepted, 20.0) == []


@asynccontextmanager
async def open_restart(monkeypatch, nodes="a"):
    """Run jobs on a day, and leave it without entry hosts."""
    async with open_day(monkeypatch, 3, nodes) as (world, checker):
        await run_jobs(world, checker)
        for name in nodes:
            world.kill_node(name)
        yield world, checker
        assert checker.breaches == []


# Guards against a duty that no host takes up again, or that two take at once.
@pytest.mark.parametrize(
    "value", [*DAMAGED_VALUES, b'{"holder":"a","incarnation":"1","fence":"9"}']
)
async def test_a_lease_that_cant_be_read_is_taken_once_it_is_not_renewed(
    monkeypatch, autojump_clock, value
):
    async with open_restart(monkeypatch) as (world, checker):
        for name in "bc":
            world.start_node(name)
        for _ in range(RENEWALS):
            write(world, lease_row(SHARD), value)
            await trio.sleep(0.5)
            assert world.holders() == []
        await trio.sleep(3.0)
        assert len(world.holders()) == 1
        assert unreadable_rows(world, "b", "leases") >= RENEWALS
        await run_jobs(world, checker)


# Guards against a duty that ends beside a newer build.
async def test_fields_of_a_newer_lease_are_ignored(monkeypatch, autojump_clock):
    async with open_restart(monkeypatch) as (world, checker):
        world.start_node("b")
        for number in range(RENEWALS):
            change(world, lease_row(SHARD), holder="newer", zone=number)
            await trio.sleep(0.5)
            assert world.holders() == []
        await trio.sleep(3.0)
        assert world.holders() == ["b"]
        assert not unreadable_rows(world, "b", "leases")
        await run_jobs(world, checker)


async def test_a_holder_whose_lease_is_damaged_stops_and_another_goes_on(
    monkeypatch, autojump_clock
):
    async with open_day(monkeypatch, 5, nodes="ab") as (world, checker):
        await run_jobs(world, checker)
        write(world, lease_row(SHARD), b"{")
        await trio.sleep(0.7)
        assert world.holders() == []
        await trio.sleep(3.0)
        assert len(world.holders()) == 1
        await run_jobs(world, checker)
        assert checker.breaches == []


# Guards against a duty that ends on every host that takes it up.
@pytest.mark.parametrize("value", DAMAGED_VALUES)
async def test_a_head_that_cant_be_read_is_replaced_by_the_next_holder(
    monkeypatch, autojump_clock, value
):
    async with open_restart(monkeypatch) as (world, checker):
        write(world, head_row(SHARD), value)
        world.start_node("b")
        await trio.sleep(4.0)
        assert world.holders() == ["b"]
        assert unreadable_rows(world, "b", "heads") == 1
        await run_jobs(world, checker)


async def test_a_head_of_a_newer_build_is_replaced_by_the_next_holder(
    monkeypatch, autojump_clock
):
    async with open_restart(monkeypatch) as (world, checker):
        change(world, head_row(SHARD), zone="a")
        world.start_node("b")
        await run_jobs(world, checker)
        assert not unreadable_rows(world, "b", "heads")


async def test_a_holder_goes_on_after_its_head_was_damaged(monkeypatch, autojump_clock):
    async with open_day(monkeypatch, 5, nodes="ab") as (world, checker):
        await run_jobs(world, checker)
        holders = world.holders()
        write(world, head_row(SHARD), b"{")
        await run_jobs(world, checker)
        assert world.holders() == holders
        assert checker.breaches == []


def two_steps(world: World, work_s: float = 8.0):
    """Return a job of two steps with equal tasks, which fit on the servers at once."""
    step = {"count": 3, "cpu": 500, "mem_mb": 200, "estimate_ms": int(work_s * 1000)}
    works = [TaskWork(work_s, 500, 200)] * 2
    job_id = f"{world.generator.getrandbits(64):016x}"
    return job_id, [step, {**step, "after": [0]}], works


def running_of(checker: JobChecker, job_id: str) -> int:
    return sum(bool(runs) for task, runs in checker.running.items() if job_id in task)


def starts_of(checker: JobChecker, job_id: str) -> int:
    return sum(job_id in task for task in checker.starts)


@asynccontextmanager
async def open_damaged_job(monkeypatch, damage):
    """Have one holder start a job, damage its rows, and have another one go on."""
    async with open_day(monkeypatch, 3, nodes="a") as (world, checker):
        new_job = two_steps(world)
        assert await submit(world, checker, "/one/", new_job)
        await trio.sleep(1.5)
        assert running_of(checker, new_job[0]) == 3
        world.kill_node("a")
        damage(world, new_job[0])
        world.start_node("b")
        await trio.sleep(4.0)
        assert world.holders() == ["b"]
        assert running_of(checker, new_job[0]) == 3
        yield world, checker, new_job[0]
        assert checker.breaches == []


def damage_progress(world, job_id):
    write(world, progress_row(SHARD, job_id), b"{")


def name_unknown_state(world, job_id):
    change(world, progress_row(SHARD, job_id), state="paused")


def damage_tasks(world, job_id):
    change(world, progress_row(SHARD, job_id), tasks={"0.7": [[0, 0, "", 0, ""]]})


def damage_spec(world, job_id):
    write(world, spec_row(SHARD, job_id), b"[]")


def damage_spec_and_request(world, job_id):
    damage_spec(world, job_id)
    write(world, request_row(SHARD, job_id), b"[]")


def damage_progress_without_spec(world, job_id):
    name = spec_row(SHARD, job_id)
    world.platform.store.remove(name.table, name.key, name.part)
    damage_progress(world, job_id)


DAMAGES = [
    damage_progress,
    name_unknown_state,
    damage_tasks,
    damage_spec,
    damage_spec_and_request,
    damage_progress_without_spec,
]


# Guards against a duty that ends on every host because of one job, against a job that
# runs again as its progress can't be read, and against ends that are forgotten.
@pytest.mark.parametrize("damage", DAMAGES)
async def test_a_job_that_cant_be_read_is_left_alone(
    monkeypatch, autojump_clock, damage
):
    kept = {}

    def keep_and_damage(world, job_id):
        names = [row(SHARD, job_id) for row in (progress_row, spec_row, request_row)]
        kept.update({name: read(world, name) for name in names})
        damage(world, job_id)

    async with open_damaged_job(monkeypatch, keep_and_damage) as (
        world,
        checker,
        job_id,
    ):
        await run_jobs(world, checker)
        await trio.sleep(10.0)
        assert world.holders() == ["b"]
        assert running_of(checker, job_id) == 0
        assert starts_of(checker, job_id) == 3
        # The next holder can read the job, of which the first step has ended meanwhile.
        world.kill_node("b")
        for name, value in kept.items():
            write(world, name, value)
        world.start_node("c")
        assert await wait_complete(world, checker, "/one/", [job_id], 20.0) == []
        assert starts_of(checker, job_id) == 6
        assert world.platform.store.keys("kept-ends", SHARD) == []


@pytest.mark.parametrize("damage", [damage_progress, name_unknown_state])
async def test_a_job_that_cant_be_read_is_not_shown_as_something_else(
    monkeypatch, autojump_clock, damage
):
    async with open_damaged_job(monkeypatch, damage) as (world, _, job_id):
        status, body = await world.call("GET", f"/one/{job_id}")
        assert (status, body["code"]) == (503, "unreadable-record")
        assert unreadable_rows(world, "b", "progress") == 1


async def test_a_cancelled_job_that_cant_be_read_stops(monkeypatch, autojump_clock):
    async with open_damaged_job(monkeypatch, damage_progress) as (
        world,
        checker,
        job_id,
    ):
        assert (await world.call("DELETE", f"/one/{job_id}"))[0] == 200
        checker.cancelled_at_s[job_id] = trio.current_time()
        await trio.sleep(1.5)
        assert running_of(checker, job_id) == 0


async def test_a_request_that_cant_be_read_is_left_alone(monkeypatch, autojump_clock):
    async with open_day(monkeypatch, 3, nodes="a") as (world, checker):
        name = request_row(SHARD, "0" * 16)
        write(world, name, b"{")
        await run_jobs(world, checker)
        assert (await world.call("GET", f"/one/{name.key}"))[0] == 503
        assert unreadable_rows(world, "a", "requests") == 1
        assert checker.breaches == []


async def test_counts_that_cant_be_read_are_not_shown(monkeypatch, autojump_clock):
    async with open_day(monkeypatch, 3, nodes="a") as (world, _):
        write(world, pending_row(SHARD), b"{}}")
        assert (await world.call("GET", "/one/"))[0] == 503
        assert unreadable_rows(world, "a", "pending") == 1


WAVE_HOSTS = {1: ["m-one-0", "m-two-0"], 2: ["m-one-1", "m-two-1"]}
WAVE_DAMAGES = (b"{", b'{"begun":[7],"is_complete":false}', b'{"begun":[]}')


@asynccontextmanager
async def open_waves(monkeypatch):
    """Leave a day with two waves to the next holder, each with one host maintained."""
    async with open_day(monkeypatch, 3, nodes="a") as (world, checker):
        maintained = []
        world.observers.append(
            lambda what, where, *_: what == "upkeep" and maintained.append(where.id)
        )
        for number, hosts in WAVE_HOSTS.items():
            world.platform.put_wave(number, hosts, 1, 60.0)
        while len(maintained) < 2:
            await trio.sleep(0.1)
        world.kill_node("a")
        yield world, maintained
        assert checker.breaches == []


# Guards against a duty that ends on every host because of one wave, and against hosts
# that are maintained again or beyond the limit.
@pytest.mark.parametrize("value", WAVE_DAMAGES)
async def test_a_wave_whose_progress_cant_be_read_is_left_alone(
    monkeypatch, autojump_clock, value
):
    async with open_waves(monkeypatch) as (world, maintained):
        begun = list(maintained)
        write(world, wave_row(SHARD, 1), value)
        world.start_node("b")
        await trio.sleep(30.0)
        assert world.platform.wave_state(2) == "complete"
        assert world.platform.wave_state(1) == "active"
        assert sorted(maintained) == sorted({*begun, *WAVE_HOSTS[2]})
        assert read(world, wave_row(SHARD, 1)) == value
        assert unreadable_rows(world, "b", "waves") == 1


async def test_fields_of_a_newer_wave_record_are_ignored(monkeypatch, autojump_clock):
    async with open_waves(monkeypatch) as (world, maintained):
        change(world, wave_row(SHARD, 1), zone="a")
        world.start_node("b")
        await trio.sleep(30.0)
        assert world.platform.wave_state(1) == "complete"
        assert len(maintained) == 4


# Guards against a duty that ends on every host because of one row.
@pytest.mark.parametrize("value", [*DAMAGED_VALUES[:5], b'{"m-one-0":"x"}'])
async def test_times_of_commands_that_cant_be_read_stop_no_wave(
    monkeypatch, autojump_clock, value
):
    async with open_waves(monkeypatch) as (world, maintained):
        write(world, host_orders_row(SHARD), value)
        world.start_node("b")
        await trio.sleep(40.0)
        assert world.platform.wave_state(1) == "complete"
        assert world.platform.wave_state(2) == "complete"
        assert len(maintained) == 4
        assert unreadable_rows(world, "b", "host-orders") == 1


# Guards against a duty that ends on every host because of one row, and against runs
# that begin again elsewhere by a record that the holder could not read.
@pytest.mark.parametrize("value", [*DAMAGED_VALUES[:5], b'{"i-1":"x"}'])
async def test_a_record_of_silent_servers_that_cant_be_read_is_replaced(
    monkeypatch, autojump_clock, value
):
    async with open_day(monkeypatch, 3, nodes="a") as (world, checker):
        new_job = two_steps(world, 4.0)
        assert await submit(world, checker, "/one/", new_job)
        await trio.sleep(1.5)
        world.kill_node("a")
        write(world, silent_servers_row(SHARD), value)
        world.start_node("b")
        assert await wait_complete(world, checker, "/one/", new_job[:1], 20.0) == []
        assert starts_of(checker, new_job[0]) == 6
        assert json.loads(read(world, silent_servers_row(SHARD))) == {}
        assert unreadable_rows(world, "b", "silent-servers") == 1
        assert checker.breaches == []
