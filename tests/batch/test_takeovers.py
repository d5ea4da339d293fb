"""Tests in simulated time of what a host knows and does when it becomes the holder."""

import random
import re

import pytest
import trio
from trio.testing import MockClock

from rhubarbmount.batch.shard_rows import ShardLoader
from rhubarbmount.batch.table_follower import read_parts
from rhubarbmount.batch.tables import (
    REQUESTS_TABLE,
    request_parts,
    request_row,
    shard_of,
    spec_row,
)
from rhubarbmount.standins.users_servers import TaskWork
from tests.batch.checkers import JobChecker
from tests.batch.test_days import (
    POOLS,
    SPARE,
    job,
    long_running_job,
    open_day,
    short_wide_job,
    start_platform,
    submit,
    submit_all,
    wait_complete,
)
from tests.batch.world import BOUNDS, catalogue, open_world, route

LARGE_TABLE_JOBS = 400
PAYLOAD = "x" * 1200


@pytest.fixture
def autojump_clock():
    return MockClock(rate=0.0, autojump_threshold=0.0)


# All entry hosts have weak links, and the table of requests is large: a takeover that
# reads everything at once leaves no bandwidth for renewals of the lease.
@pytest.mark.parametrize("seed", range(3))
async def test_a_takeover_over_a_weak_link_keeps_the_lease(
    monkeypatch, autojump_clock, caplog, seed
):
    caplog.set_level("INFO")
    link_mbps = 2.0
    async with open_world(monkeypatch, seed) as world:
        checker = JobChecker(world)
        start_platform(world)
        world.start_node("a", link_mbps)
        await trio.sleep(2.0)
        for _ in range(LARGE_TABLE_JOBS):
            new_job = short_wide_job(world.generator)
            assert await submit(world, checker, "/one/", new_job, payload=PAYLOAD)
        for name in "bcd":
            world.start_node(name, link_mbps)
        await trio.sleep(2.0)
        bytes_per_s = link_mbps * 1e6 / 8
        world.faults.link_bytes_per_s_by_node = dict.fromkeys("bcd", bytes_per_s)
        caplog.clear()
        world.kill_node("a")
        await trio.sleep(12.0)
        events = re.findall(r"event=([a-z-]+)", caplog.text)
        assert events.count("lease-won") == 1
        assert events.count("shard-loaded") == 1
        assert "lease-not-renewed" not in events
        assert checker.breaches == []


def job_in_part(generator: random.Random, number: int):
    """Return a job whose request is stored in a part of the requests."""
    parts = request_parts(shard_of("", "", ""))
    while True:
        new_job = short_wide_job(generator)
        if request_row(shard_of("", "", ""), new_job[0]).part == parts[number]:
            return new_job


# Some parts of the store do not answer while the holder dies: the next one schedules
# what it knows and can hear of, and neither stops nor repeats the rest.
@pytest.mark.parametrize("seed", range(4))
async def test_a_takeover_does_not_wait_for_parts_of_the_requests(
    monkeypatch, autojump_clock, seed
):
    async with open_day(monkeypatch, seed, nodes="a") as (world, checker):
        new_jobs = (job_in_part(world.generator, number) for number in range(8))
        accepted = await submit_all(world, checker, "/one/", new_jobs)
        world.start_node("b")
        await trio.sleep(1.0)
        parts = request_parts(shard_of("", "", ""))
        world.faults.store_parts_down = set(parts[:2])
        world.kill_node("a")
        await trio.sleep(3.0)
        new_job = job_in_part(world.generator, 5)
        assert await submit(world, checker, "/one/", new_job)
        accepted.append(new_job[0])
        await trio.sleep(3.0)
        assert new_job[0] in checker.started
        assert len(checker.starts) == len(set(checker.starts))
        world.faults.store_parts_down = set()
        new_job = job_in_part(world.generator, 0)
        assert await submit(world, checker, "/one/", new_job)
        accepted.append(new_job[0])
        assert await wait_complete(world, checker, "/one/", accepted, 20.0) == []
        assert checker.breaches == []


async def test_a_shard_stored_without_specs_is_taken_over(monkeypatch, autojump_clock):
    """Earlier builds stored the progress of jobs alone."""
    async with open_day(monkeypatch, 3, nodes="a") as (world, checker):
        new_jobs = (short_wide_job(world.generator) for _ in range(6))
        accepted = await submit_all(world, checker, "/one/", new_jobs)
        await trio.sleep(1.0)
        world.kill_node("a")
        for job_id in accepted:
            row = spec_row(shard_of("", "", ""), job_id)
            world.platform.store.remove(row.table, row.key, row.part)
        world.start_node("b")
        assert await wait_complete(world, checker, "/one/", accepted, 20.0) == []
        assert checker.breaches == []
        assert len(checker.starts) == len(set(checker.starts)) == 6 * 8


# All entry hosts start again after a queue was withdrawn and a server began to leave.
async def test_nothing_that_was_withdrawn_is_in_use_after_a_restart(
    monkeypatch, autojump_clock
):
    async with open_day(monkeypatch, 4, nodes="ab") as (world, checker):
        world.platform.put_catalogue(
            catalogue(2, [route("/one/", "one")], POOLS, SPARE)
        )
        leaving = world.platform.machine_by_id["m-one-0"]
        gone = world.platform.machine_by_id["m-one-1"].server
        world.platform.register(leaving, "draining")
        world.platform.crash("m-one-1", down_s=60.0)
        await trio.sleep(0.5)
        for name in "ab":
            world.kill_node(name)
        for name in "cd":
            world.start_node(name)
        await trio.sleep(3.0)
        started_on = []
        world.observers.append(
            lambda what, where, *_: (
                started_on.append(where) if what == "start" else None
            )
        )
        assert (await world.call("GET", "/two/"))[0] == 404
        new_jobs = (job(world.generator) for _ in range(6))
        accepted = await submit_all(world, checker, "/one/", new_jobs)
        assert await wait_complete(world, checker, "/one/", accepted, 30.0) == []
        assert started_on
        assert leaving.server not in started_on
        assert gone not in started_on
        assert checker.breaches == []


# The store shows an older configuration again, in the feed or in the table read anew.
@pytest.mark.parametrize("is_history_gone", [False, True])
async def test_a_withdrawn_queue_stays_withdrawn_when_an_older_row_returns(
    monkeypatch, autojump_clock, is_history_gone
):
    async with open_day(monkeypatch, 4, nodes="ab") as (world, checker):
        routes = [route("/one/", "one"), route("/two/", "two")]
        world.platform.put_catalogue(catalogue(3, routes[:1], POOLS, SPARE))
        await trio.sleep(0.5)
        world.platform.put_catalogue(catalogue(2, routes, POOLS, SPARE))
        if is_history_gone:
            world.platform.store.drop_history()
        await trio.sleep(3.0)
        world.kill_node(world.holders()[0])
        await trio.sleep(4.0)
        assert (await world.call("GET", "/two/"))[0] == 404
        assert await submit(world, checker, "/one/", job(world.generator))
        assert world.holders()


def job_of_one_step(generator: random.Random, count: int, work_s: float):
    estimate_ms = int(work_s * 1000)
    phase = {"count": count, "cpu": 500, "mem_mb": 200, "estimate_ms": estimate_ms}
    job_id = f"{generator.getrandbits(64):016x}"
    return job_id, [phase], [TaskWork(work_s, 500, 200)]


def has_run_of(machine, job_id: str) -> bool:
    runs = machine.server.run_by_task if machine.server else ()
    return any(job_id in str(task) for task in runs)


# The rows of servers lapse while all entry hosts restart, and return or not.
@pytest.mark.parametrize("returns_after_s", [None, 0.5, 3.0, 11.0])
async def test_runs_on_servers_without_a_row_at_a_restart_begin_again_once_at_most(
    monkeypatch, autojump_clock, returns_after_s
):
    async with open_day(monkeypatch, 5, nodes="ab") as (world, checker):
        lasting = long_running_job(world.generator)
        assert await submit(world, checker, "/one/", lasting)
        await trio.sleep(1.0)
        machines = world.platform.machine_by_id.values()
        # Keeps a server with room in the pool, where a run could begin again too soon.
        room = job_of_one_step(world.generator, 6, 6.0)
        assert await submit(world, checker, "/one/", room)
        await trio.sleep(0.5)
        busy = [machine for machine in machines if has_run_of(machine, lasting[0])]
        assert len(busy) == 2
        for name in "ab":
            world.kill_node(name)
        for machine in busy:
            world.platform.store.remove("servers", machine.server.id)
        for name in "cd":
            world.start_node(name)
        if returns_after_s is not None:
            await trio.sleep(returns_after_s)
            for machine in busy:
                world.platform.register(machine, "ready")
        await trio.sleep(25.0)
        running = [task for task, runs in checker.running.items() if runs]
        assert len(running) == 2
        starts = sum(lasting[0] in task for task in checker.starts)
        assert starts == 2 if returns_after_s == 0.5 else starts <= 4
        assert checker.breaches == []


# Guards against a job that runs again after its removal, as the table of requests was
# being read (its changes were no longer kept) while its row was removed.
async def test_a_removed_job_does_not_return_with_a_late_page_of_requests(
    monkeypatch, autojump_clock
):
    async with open_day(monkeypatch, 5, nodes="a") as (world, checker):
        new_job = job_of_one_step(world.generator, 3, 0.5)
        assert await submit(world, checker, "/one/", new_job)
        assert await wait_complete(world, checker, "/one/", [new_job[0]], 20.0) == []
        node = world.node_by_id["a"]
        parts = tuple(request_parts(shard_of("", "", "")))
        late_page = await read_parts(node.store, REQUESTS_TABLE, parts)
        assert [row.name.key for row in late_page.rows] == [new_job[0]]
        await trio.sleep(BOUNDS.status_s + 80.0)
        assert (await world.call("GET", f"/one/{new_job[0]}"))[0] == 410
        node._holder.requests.apply(late_page, True)
        await trio.sleep(5.0)
        assert len(checker.starts) == 3
        # The same ID may be used again.
        assert await submit(world, checker, "/one/", new_job)
        await trio.sleep(2.0)
        assert len(checker.starts) == 6


def hold_up_requests(monkeypatch, held_up_s):
    """Pass requests on so long after they were read, as if a later page was late."""
    load_requests = ShardLoader.load_requests

    async def load_late(self, on_page):
        pages = []
        await load_requests(self, pages.append)
        await trio.sleep(held_up_s)
        for page in pages:
            on_page(page)

    monkeypatch.setattr(ShardLoader, "load_requests", load_late)


# Guards against a job that runs on after its cancellation, which the next holder heard
# of before it had read the job's request.
@pytest.mark.parametrize("seed", range(4))
async def test_a_job_is_cancelled_whose_request_is_read_late(
    monkeypatch, autojump_clock, seed
):
    async with open_day(monkeypatch, seed, nodes="ab") as (world, checker):
        hold_up_requests(monkeypatch, 3.0)
        world.kill_node(world.holders()[0])
        new_job = job_of_one_step(world.generator, 3, 20.0)
        assert await submit(world, checker, "/one/", new_job)
        while not world.holders():
            await trio.sleep(0.1)
        await trio.sleep(world.generator.uniform(1.0, 2.0))
        status, _ = await world.call("DELETE", f"/one/{new_job[0]}")
        assert status == 200
        checker.cancelled_at_s[new_job[0]] = trio.current_time()
        await trio.sleep(8.0)
        assert [task for task, runs in checker.running.items() if runs] == []
        _, body = await world.call("GET", f"/one/{new_job[0]}")
        assert body == {"state": "cancelled"}
        assert checker.breaches == []
