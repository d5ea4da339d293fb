"""Tests in simulated time of takeovers from builds that did not tell lifetimes apart.

Their rows name servers without the start of the lifetime, which the rows and answers of
the servers tell.
"""

import json
import zlib

import pytest
import trio
from trio.testing import MockClock

from rhubarbmount.batch.lifetimes import name_of
from rhubarbmount.batch.tables import (
    PROGRESS_TABLE,
    SERVER_RECORDS_TABLE,
    USED_LIFETIMES_TABLE,
    shard_of,
    silent_servers_row,
)
from rhubarbmount.platform.rows import RowName
from tests.batch.test_days import submit, wait_complete, wide_job
from tests.batch.test_lifetimes import (
    LONGEST_LEASE_S,
    TAKEOVER_S,
    LostServer,
    open_day_with_long_tasks,
)
from tests.batch.test_unreadable_rows import read, starts_of, write

SHARD = shard_of("", "", "")
TASK_FIELDS = 6
LOSS_FIELDS = 5
# Longer than it takes until what runs is renewed before the shard is loaded.
LOADING_S = 14.0
SEEDS = pytest.mark.parametrize("seed", range(4))


@pytest.fixture
def autojump_clock():
    return MockClock(rate=0.0, autojump_threshold=0.0)


def write_rows_of_older_build(world) -> None:
    """Write the rows of the shard as a build does that knows servers by name."""
    for key in world.platform.store.keys(PROGRESS_TABLE, SHARD):
        name = RowName(PROGRESS_TABLE, SHARD, key)
        value = read(world, name)
        text = value if value.startswith(b"{") else zlib.decompress(value)
        values = json.loads(text)
        for tasks in values["tasks"].values():
            tasks[:] = map(_task_of_older_build, tasks)
        write(world, name, json.dumps(values).encode())
    name = silent_servers_row(SHARD)
    numbers = json.loads(read(world, name))
    numbers.pop("@", None)
    by_name = {name_of(server_id): at_s for server_id, at_s in numbers.items()}
    write(world, name, json.dumps(by_name).encode())


def _task_of_older_build(row: list) -> list:
    if len(row) < 3:
        return row
    row = [*row[:2], name_of(row[2]), *row[3:TASK_FIELDS]]
    for loss in row[TASK_FIELDS - 1 :]:
        loss[:] = [[name_of(item[0]), *item[1:LOSS_FIELDS]] for item in loss]
    return row


# Guards against TWICE and LOST: runs of servers that are known by name alone were taken
# for those of another lifetime, and stopped or started again.
@SEEDS
@pytest.mark.parametrize("loading_s", [0.0, LOADING_S])
async def test_runs_go_on_whose_servers_are_known_by_name(
    monkeypatch, autojump_clock, seed, loading_s
):
    async with open_day_with_long_tasks(monkeypatch, seed) as day:
        world, checker, _ = day
        new_job = wide_job(world.generator, TAKEOVER_S + loading_s + 2.0)
        assert await submit(world, checker, "/one/", new_job)
        await trio.sleep(1.0)
        starts = len(checker.starts)
        world.kill_node(world.holders()[0])
        write_rows_of_older_build(world)
        if loading_s:
            world.faults.store_tables_down = {PROGRESS_TABLE}
            await trio.sleep(loading_s)
            world.faults.store_tables_down = set()
        left = await wait_complete(world, checker, "/one/", new_job[:1], 20.0)
        assert left == []
        assert len(checker.starts) == starts
        assert starts_of(checker, new_job[0]) == new_job[1][0]["count"]
        assert checker.breaches == []


# Guards against TWICE: a task whose run ends while there is no holder starts again, as
# the end is that of a server known by name.
@SEEDS
async def test_ends_count_of_servers_that_are_known_by_name(
    monkeypatch, autojump_clock, seed
):
    async with open_day_with_long_tasks(monkeypatch, seed) as day:
        world, checker, _ = day
        new_job = wide_job(world.generator, 2.0)
        assert await submit(world, checker, "/one/", new_job)
        await trio.sleep(1.0)
        assert starts_of(checker, new_job[0]) == new_job[1][0]["count"]
        world.kill_node(world.holders()[0])
        write_rows_of_older_build(world)
        left = await wait_complete(world, checker, "/one/", new_job[:1], 20.0)
        assert left == []
        assert starts_of(checker, new_job[0]) == new_job[1][0]["count"]
        assert checker.breaches == []


def lifetime_rows(world) -> list[RowName]:
    keys = world.platform.store.keys(USED_LIFETIMES_TABLE, SHARD)
    return [RowName(USED_LIFETIMES_TABLE, SHARD, key) for key in keys]


# Guards against runs that are stopped after a takeover from a build that records no
# lifetimes: there is no record, or one of a holder before, which knew other lifetimes.
@SEEDS
@pytest.mark.parametrize("is_recorded", [False, True])
async def test_runs_go_on_whose_lifetimes_an_older_build_did_not_record(
    monkeypatch, autojump_clock, seed, is_recorded
):
    async with open_day_with_long_tasks(monkeypatch, seed) as day:
        world, checker, _ = day
        new_job = wide_job(world.generator, TAKEOVER_S + 2.0)
        assert await submit(world, checker, "/one/", new_job)
        await trio.sleep(1.0)
        starts = len(checker.starts)
        world.kill_node(world.holders()[0])
        names = lifetime_rows(world)
        assert names
        for name in names:
            uses = json.loads(read(world, name))
            assert all(is_certain for _, is_certain in uses.values())
            earlier = {server: [1, True] for server in uses if is_recorded}
            write(world, name, json.dumps(earlier).encode())
        left = await wait_complete(world, checker, "/one/", new_job[:1], 20.0)
        assert left == []
        assert len(checker.starts) == starts
        assert checker.breaches == []


# Guards against older builds that take the records of servers for unreadable: they know
# them with two fields, and each name for that of a server.
async def test_records_of_servers_look_as_in_older_builds(monkeypatch, autojump_clock):
    async with open_day_with_long_tasks(monkeypatch, 1) as day:
        world, checker, machine = day
        records = {}
        for key in world.platform.store.keys(SERVER_RECORDS_TABLE, SHARD):
            name = RowName(SERVER_RECORDS_TABLE, SHARD, key)
            records.update(json.loads(read(world, name)))
        server = machine.server
        assert records[server.id] == [server.address, machine.id]
        assert all(
            len(fields) == 2 and "@" not in name for name, fields in records.items()
        )


async def time_away(monkeypatch, seed, is_older_build, is_listed):
    """Return how long the tasks of a server are away that is dark at a takeover."""
    async with open_day_with_long_tasks(monkeypatch, seed) as day:
        world, checker, machine = day
        lost = LostServer(world, checker, machine)
        world.faults.servers_cut = {("*", machine.server.address)}
        # Until its silence is recorded.
        await trio.sleep(4.0)
        if not is_listed:
            lost.remove_row()
        world.kill_node(world.holders()[0])
        if is_older_build:
            write_rows_of_older_build(world)
        await trio.sleep(LONGEST_LEASE_S + 5.0)
        assert checker.breaches == []
        assert len(lost.away_s_by_task) == len(lost.tasks)
        return max(lost.away_s_by_task.values())


# Guards against LOST: tasks of a silent server that is known by name wait for the
# longest lease, as the record of its silence is not found by its lifetime.
@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("is_listed", [True, False])
async def test_tasks_wait_no_longer_for_a_server_that_is_known_by_name(
    monkeypatch, autojump_clock, seed, is_listed
):
    same_build_s = await time_away(monkeypatch, seed, False, is_listed)
    older_build_s = await time_away(monkeypatch, seed, True, is_listed)
    assert older_build_s < same_build_s + 0.5


# Guards against the maintenance of a host in use: its server is listed by its lifetime,
# and has not answered yet, and the tasks there are known by its name.
@pytest.mark.parametrize("seed", range(2))
async def test_no_host_is_maintained_whose_server_is_known_by_name(
    monkeypatch, autojump_clock, seed
):
    async with open_day_with_long_tasks(monkeypatch, seed) as day:
        world, checker, machine = day
        killed = []

        def observe(what, where, *details):
            if what == "upkeep":
                killed.extend(details[0])

        world.observers.append(observe)
        world.faults.servers_cut = {("*", machine.server.address)}
        world.faults.store_tables_down = {SERVER_RECORDS_TABLE}
        world.kill_node(world.holders()[0])
        write_rows_of_older_build(world)
        world.platform.put_wave(1, [machine.id], 1, 60.0)
        await trio.sleep(TAKEOVER_S + 1.0)
        assert world.holders()
        world.faults.servers_cut = set()
        world.faults.store_tables_down = set()
        await trio.sleep(10.0)
        assert world.platform.wave_state(1) == "complete"
        assert killed == []
        assert checker.breaches == []
