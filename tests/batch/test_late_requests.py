"""Jobs that are cancelled while the store may still carry out their requests."""

import base64

import pytest
import trio
from trio.testing import MockClock

from rhubarbmount.batch.job_remover import REMOVAL_PERIOD_S, RETENTION_MARGIN_S
from rhubarbmount.batch.model import Step
from rhubarbmount.batch.records import encode_spec
from rhubarbmount.batch.tables import REQUESTS_TABLE, cancel_row, request_row, shard_of
from tests.batch.checkers import JobChecker
from tests.batch.test_days import job, start_platform
from tests.batch.test_job_api import BODY, JOB, call, make_job_api
from tests.batch.test_shard import spec
from tests.batch.world import BOUNDS, open_world

SHARD = shard_of("", "", "")
JOB_ID = JOB.rpartition("/")[2]
REQUEST = request_row(SHARD, JOB_ID)
CANCEL = cancel_row(SHARD, JOB_ID)
# Longer than any late write takes.
LATE_S = 15.0


@pytest.fixture
def autojump_clock():
    return MockClock(rate=0.0, autojump_threshold=0.0)


async def start_hosts(world):
    """Start a platform and two hosts, and wait until one of them holds the shard."""
    start_platform(world)
    for name in "ab":
        world.start_node(name)
    await trio.sleep(3.0)


def has_row(world, name):
    return world.platform.store.get(name.table, name.part, name.key) is not None


async def submit_late(world, job_api):
    """Submit a job whose write is carried out after the caller has given up."""
    world.faults.store_is_late = 1.0
    with trio.move_on_after(0.3):
        await call(job_api, "POST", body=BODY)
    world.faults.store_is_late = 0.0


# Guards against review case 5: a job is said not to exist, is stored late, and runs.
@pytest.mark.parametrize("is_same_host", [False, True])
async def test_a_request_is_not_stored_after_the_answer_that_there_is_none(
    monkeypatch, autojump_clock, is_same_host
):
    async with open_world(monkeypatch) as world:
        near, far = make_job_api(world), make_job_api(world)
        await submit_late(world, near)
        response = await call(near if is_same_host else far, "DELETE")
        assert response.status == 410
        await trio.sleep(LATE_S)
        assert not has_row(world, REQUEST)
        # The same request arrives once more, at any host, and the cancellation too.
        assert (await call(far, "POST", body=BODY)).status == 410
        assert (await call(near, "GET")).status == 410
        assert (await call(near, "DELETE")).status == 410
        assert not has_row(world, REQUEST)


# Guards against a cancellation that is lost as the request is stored beside it.
async def test_a_request_stored_while_it_is_looked_for_is_cancelled(
    monkeypatch, autojump_clock
):
    async with open_world(monkeypatch) as world:
        near, far = make_job_api(world), make_job_api(world)
        read = far.store.read

        async def read_before_it_is_stored(*args, **kwargs):
            page = await read(*args, **kwargs)
            await call(near, "POST", body=BODY)
            return page

        monkeypatch.setattr(
            type(far.store),
            "read",
            lambda _, *args, **kwargs: read_before_it_is_stored(*args, **kwargs),
        )
        assert (await call(far, "DELETE")).status == 200
        assert has_row(world, REQUEST)
        assert has_row(world, CANCEL)


# Guards against an answer about a cancellation that may not have been stored.
async def test_an_unanswered_cancellation_of_an_unknown_job_is_not_acknowledged(
    monkeypatch, autojump_clock
):
    async with open_world(monkeypatch) as world:
        job_api = make_job_api(world)
        world.faults.store_loses = 1.0
        response = await call(job_api, "DELETE")
        assert response.status in (503, 504)
        world.faults.store_loses = 0.0
        assert (await call(make_job_api(world), "DELETE")).status == 410


def put_request(world, prefix):
    """Write a request as a host of an older build does, whatever there is."""
    value = encode_spec(spec(Step(1, 1000, 500), job_id=JOB_ID))
    value = value.replace(b'"a.example","/q/"', f'"jobs.example","{prefix}"'.encode())
    text = base64.b64encode(value).decode()
    world.platform.store.put(REQUESTS_TABLE, JOB_ID, text, REQUEST.part)


# Guards against the same with a host of an older build, whose write has no condition.
@pytest.mark.parametrize("is_killed", [False, True])
async def test_a_request_that_is_stored_after_its_cancellation_does_not_run(
    monkeypatch, autojump_clock, is_killed
):
    async with open_world(monkeypatch) as world:
        await start_hosts(world)
        starts = []
        world.observers.append(lambda *event: starts.append(event))
        assert (await world.call("DELETE", f"/one/{JOB_ID}"))[0] == 410
        await trio.sleep(1.0)
        if is_killed:
            world.kill_node(*world.holders())
        put_request(world, "/one/")
        await trio.sleep(20.0)
        assert [event for event in starts if event[0] == "start"] == []
        assert (await world.call("GET", f"/one/{JOB_ID}"))[1] == {"state": "cancelled"}


# Guards against rows that nobody removes, also those of an earlier holder.
@pytest.mark.parametrize("is_killed", [False, True])
async def test_cancellations_without_a_job_are_removed_after_a_while(
    monkeypatch, autojump_clock, is_killed
):
    async with open_world(monkeypatch) as world:
        await start_hosts(world)
        job_ids = [f"{number:016x}" for number in range(200)]
        for job_id in job_ids:
            assert (await world.call("DELETE", f"/one/{job_id}"))[0] == 410
        if is_killed:
            world.kill_node(*world.holders())
        rows = [cancel_row(SHARD, job_id) for job_id in job_ids]
        assert all(has_row(world, name) for name in rows)
        retention_s = BOUNDS.status_s + RETENTION_MARGIN_S
        await trio.sleep(retention_s - REMOVAL_PERIOD_S)
        assert all(has_row(world, name) for name in rows)
        # 90 rows of one part go at a time, and a takeover takes its time.
        await trio.sleep(5 * REMOVAL_PERIOD_S)
        assert not any(has_row(world, name) for name in rows)


# Guards against the same wherever the late write and the cancellation meet.
@pytest.mark.parametrize("seed", range(8))
async def test_cancelled_jobs_do_not_run_whatever_writes_are_late(
    monkeypatch, autojump_clock, seed
):
    async with open_world(monkeypatch, seed) as world:
        checker = JobChecker(world)
        await start_hosts(world)
        for _ in range(12):
            world.faults.store_is_late = world.generator.choice([0.0, 0.3, 0.8])
            job_id, phases, works = job(world.generator)
            world.add_work(job_id, phases, works)
            checker.add_job(job_id, phases)
            with trio.move_on_after(world.generator.uniform(0.1, 2.0)):
                body = {"spec": job_id, "phases": phases}
                await world.call("POST", f"/one/{job_id}", body)
            status = 0
            while status not in (200, 410):
                # A refusal at once takes no time: without a pause none would pass.
                await trio.sleep(0.01)
                status, _ = await world.call("DELETE", f"/one/{job_id}")
            checker.cancelled_at_s[job_id] = trio.current_time()
        world.faults.store_is_late = 0.0
        await trio.sleep(20.0)
        breaches = checker.breaches
        assert breaches == []
