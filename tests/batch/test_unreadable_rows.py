"""Tests in simulated time with own rows that are damaged or of another build."""

import base64
import json
from contextlib import asynccontextmanager

import pytest
import trio
from trio.testing import MockClock

from rhubarbmount.batch.tables import head_row, lease_row, shard_of
from rhubarbmount.platform.rows import RowName
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
