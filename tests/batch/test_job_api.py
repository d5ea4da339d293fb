"""Tests for job API requests at one entry host."""

import base64
import json

import pytest
import trio
from trio.testing import MockClock

from rhubarbmount.batch.catalogue import Catalogue
from rhubarbmount.batch.job_api import JobApi
from rhubarbmount.batch.model import Queue, QueueName
from rhubarbmount.batch.records import PendingCounts, encode_pending
from rhubarbmount.batch.tables import pending_row, shard_of
from rhubarbmount.errors import OutcomeUnknown
from rhubarbmount.http import HttpRequest, header_value
from rhubarbmount.platform.rows import RowStore
from tests.batch.world import HOST, STORE, SimulatedCaller, open_world

NAME = QueueName(HOST, "/q/")
CATALOGUE = Catalogue(1, {NAME: Queue(NAME, "one", 0, 2, 1.6, 0.6)}, {})
JOB = "/q/" + "0123456789abcdef"
BODY = {"spec": "x", "phases": [{"count": 1, "cpu": 100, "mem_mb": 1}]}


@pytest.fixture
def autojump_clock():
    return MockClock(rate=0.0, autojump_threshold=0.0)


def make_job_api(world):
    return JobApi(RowStore(SimulatedCaller("n", world), STORE), catalogue=CATALOGUE)


async def call(job_api, method, path=JOB, body=None):
    data = b"" if body is None else json.dumps(body).encode()
    headers = [(b"host", HOST.encode()), (b"x-deadline-ms", b"3000")]
    return await job_api.handle(HttpRequest(method, path, headers, data))


async def test_a_job_is_queued_until_the_holder_has_seen_it(
    monkeypatch, autojump_clock
):
    async with open_world(monkeypatch) as world:
        job_api = make_job_api(world)
        assert (await call(job_api, "POST", body=BODY)).status == 200
        assert json.loads((await call(job_api, "GET")).body) == {"state": "queued"}


async def test_a_job_of_another_queue_is_not_shown(monkeypatch, autojump_clock):
    async with open_world(monkeypatch) as world:
        job_api = make_job_api(world)
        await call(job_api, "POST", body=BODY)
        other = QueueName(HOST, "/p/")
        job_api.catalogue = Catalogue(
            2, {other: Queue(other, "one", 0, 2, 1.6, 0.6)}, {}
        )
        assert (await call(job_api, "GET", JOB.replace("/q/", "/p/"))).status == 410


async def test_an_unanswered_write_has_an_unknown_outcome(monkeypatch, autojump_clock):
    async with open_world(monkeypatch) as world:
        world.faults.store_loses = 1.0
        assert (await call(make_job_api(world), "POST", body=BODY)).status == 504
        assert len(world.platform.store.keys("requests", "shard-0.requests-1")) == 1
        world.faults.store_is_down = True
        path = JOB.replace("0", "f")
        assert (await call(make_job_api(world), "POST", path, BODY)).status == 504


async def test_a_write_refused_by_the_store_was_not_run(monkeypatch, autojump_clock):
    async with open_world(monkeypatch) as world:
        job_api = make_job_api(world)
        world.faults.store_refuses = True
        response = await call(job_api, "POST", body=BODY)
        assert response.status == 503
        assert header_value(response.headers, b"rhubarbmount-outcome") == "not-run"
        assert world.platform.store.keys("requests", "shard-0.requests-1") == []


async def test_an_outage_fails_fast_with_a_growing_retry_after(
    monkeypatch, autojump_clock
):
    async with open_world(monkeypatch) as world:
        job_api = make_job_api(world)
        await call(job_api, "GET")
        world.faults.store_refuses = True
        await call(job_api, "GET")
        started_s = trio.current_time()
        response = await call(job_api, "POST", body=BODY)
        assert response.status == 503
        assert trio.current_time() == started_s
        await trio.sleep(3.5)
        later = await call(job_api, "POST", body=BODY)
        waits = [
            int(header_value(item.headers, b"retry-after"))
            for item in (response, later)
        ]
        assert waits[0] < waits[1] <= 5


class ResettingStore:
    """A store whose connections are reset at once, so that no outcome is known."""

    def __init__(self):
        self.attempts = 0
        self.health = self

    def is_out_of_reach(self):
        return False

    def latest_clock_s(self):
        return 0.0

    async def commit(self, *args, **options):
        await trio.lowlevel.checkpoint()
        self.attempts += 1
        assert self.attempts < 1000, "repeated without a pause"
        raise OutcomeUnknown("the connection was reset")


# Guards against a write that is repeated without a pause until the deadline.
async def test_a_write_of_unknown_outcome_is_repeated_after_a_pause(autojump_clock):
    store = ResettingStore()
    response = await call(JobApi(store, catalogue=CATALOGUE), "POST", body=BODY)
    assert response.status == 504
    assert 2 <= store.attempts <= 100


# Guards against callers that are told to retry a method that is never allowed.
async def test_a_method_that_is_not_allowed_is_declined_for_good(
    monkeypatch, autojump_clock
):
    async with open_world(monkeypatch) as world:
        response = await call(make_job_api(world), "PUT")
        assert response.status == 405
        assert header_value(response.headers, b"allow") == "POST, GET, DELETE"
        assert header_value(response.headers, b"retry-after") is None


@pytest.mark.parametrize(
    "body",
    [
        None,
        [],
        {"phases": []},
        {"phases": [{}]},
        {"phases": [{"count": 0}]},
        {"phases": [{"count": 1, "after": [0]}]},
        {"phases": [{"count": 1, "cpu": -1}]},
        {"spec": 3, "phases": [{"count": 1}]},
    ],
)
async def test_invalid_jobs_are_rejected(monkeypatch, autojump_clock, body):
    async with open_world(monkeypatch) as world:
        assert (await call(make_job_api(world), "POST", body=body)).status == 400


async def test_unsupported_methods_and_paths(monkeypatch, autojump_clock):
    async with open_world(monkeypatch) as world:
        job_api = make_job_api(world)
        assert (await call(job_api, "PUT")).status == 405
        assert (await call(job_api, "GET", "/q/short")).status == 404
        assert (await call(job_api, "GET", "/other/")).status == 404
        job_api.catalogue = None
        assert (await call(job_api, "GET")).status == 503


# Guards against MIXED: counts that get old while they are read.
@pytest.mark.parametrize(("store_delay_s", "status"), [(0.0, 200), (0.9, 503)])
async def test_the_time_of_a_slow_read_counts_towards_the_age_of_counts(
    monkeypatch, autojump_clock, store_delay_s, status
):
    async with open_world(monkeypatch) as world:
        await trio.sleep(10.0)
        row = pending_row(shard_of("", "", ""))
        counts = PendingCounts(trio.current_time() - 4.0, {NAME: 1})
        value = base64.b64encode(encode_pending(counts)).decode()
        world.platform.store.put(row.table, row.key, value, part=row.part)
        world.faults.store_delay_s = store_delay_s
        response = await call(make_job_api(world), "GET", path="/q/")
        assert response.status == status
