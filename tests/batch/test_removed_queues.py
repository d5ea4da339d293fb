"""Jobs whose queue is removed, and perhaps added again, while they run."""

import json

import attrs
import pytest
import trio
from trio.testing import MockClock

from rhubarbmount.batch.catalogue import Catalogue, Pool
from rhubarbmount.batch.model import Job, JobState
from rhubarbmount.batch.placing import Placer
from rhubarbmount.batch.records import decode_spec, encode_spec
from rhubarbmount.batch.shard import Shard
from rhubarbmount.standins.users_servers import TaskWork
from tests.batch.test_shard import NAME, QUEUE, add, report_end, spec, step
from tests.batch.world import catalogue, open_world, route

ATTEMPTS = 4
SETTINGS = attrs.evolve(QUEUE, attempts=ATTEMPTS)
REMOVED = Catalogue(2, {}, {"one": Pool("one", False)})
STEP = {"count": 1, "cpu": 1000, "mem_mb": 500, "estimate_ms": 2000}


@pytest.fixture
def autojump_clock():
    return MockClock(rate=0.0, autojump_threshold=0.0)


def make_shard(job_spec):
    shard = Shard(REMOVED)
    for server_id in ("s1", "s2"):
        add(shard, server_id)
    shard.add_job(Job(job_spec))
    return shard


def fail_all(shard, job_spec):
    """Let every run fail; return how many there were."""
    runs = 0
    while not shard.job_by_id[job_spec.job_id].state.is_final:
        for assignment in Placer(shard).place(float(runs)):
            runs += 1
            report_end(shard, assignment, "failed", number=runs)
        assert runs <= ATTEMPTS
        shard.usage_by_server_id["s1"].failures_in_a_row = 0
        shard.usage_by_server_id["s2"].failures_in_a_row = 0
    return runs


# Guards against review case 4, for a holder that reads the job after the removal.
def test_a_job_of_a_removed_queue_keeps_its_attempts_in_its_rows():
    job_spec = decode_spec(encode_spec(spec(step(), queue_settings=SETTINGS)))
    shard = make_shard(job_spec)
    assert fail_all(shard, job_spec) == ATTEMPTS
    assert shard.job_by_id["j1"].state is JobState.FAILED


# Guards against jobs of an older build that fail as their queue is removed.
def test_a_job_stored_without_settings_keeps_those_last_seen():
    value = json.loads(encode_spec(spec(step())))
    del value["queue_settings"]
    job_spec = decode_spec(json.dumps(value).encode())
    shard = make_shard(job_spec)
    shard.set_catalogue(Catalogue(3, {NAME: SETTINGS}, {}))
    shard.set_catalogue(attrs.evolve(REMOVED, version=4))
    assert fail_all(shard, job_spec) == ATTEMPTS


# Guards against starts without a ticket, which are refused for ever, and against jobs
# that lose their place in the order.
def test_a_removed_queue_still_has_advice_and_priority():
    settings = attrs.evolve(SETTINGS, has_advice=True, priority=3)
    shard = make_shard(spec(step(), queue_settings=settings))
    queue = shard.queue_of(shard.job_by_id["j1"].spec)
    assert (queue.has_advice, queue.priority) == (True, 3)
    assert Placer(shard).place(1.0) == []
    assert Placer(shard, {("j1", 0, 0): {"s1": "t"}}).place(1.0)


# Guards against review case 4: a job fails by its first failed run, as its queue was
# removed meanwhile.
@pytest.mark.parametrize("is_killed", [False, True])
@pytest.mark.parametrize("returns", [False, True])
async def test_a_run_that_fails_while_its_queue_is_removed_is_repeated(
    monkeypatch, autojump_clock, is_killed, returns
):
    async with open_world(monkeypatch) as world:
        one = route("/one/", "one", attempts=ATTEMPTS)
        two = route("/two/", "one")
        world.platform.put_catalogue(catalogue(1, [one, two], ["one"], "rest"))
        for number in range(3):
            world.platform.add_machine(f"m{number}", "one", "r1")
        for name in "ab":
            world.start_node(name)
        await trio.sleep(3.0)
        starts, ends = [], []

        def observe(kind, *event):
            if kind == "start":
                starts.append(event[1])
                fails = len(starts) < ATTEMPTS - 1
                world.work_by_step[job_id, "0"] = TaskWork(1.0, 1000, 500, fails=fails)
            elif kind in ("done", "failed"):
                ends.append(kind)

        world.observers.append(observe)
        job_id = "0" * 16
        world.add_work(job_id, [STEP], [TaskWork(2.0, 1000, 500, fails=True)])
        body = {"spec": "x", "phases": [STEP]}
        assert (await world.call("POST", f"/one/{job_id}", body))[0] == 200
        await trio.sleep(1.0)
        world.platform.put_catalogue(catalogue(5, [two], ["one"], "rest"))
        await trio.sleep(0.5)
        if is_killed:
            world.kill_node(*world.holders())
        await trio.sleep(5.0)
        if returns:
            world.platform.put_catalogue(catalogue(9, [one, two], ["one"], "rest"))
        await trio.sleep(15.0)
        assert ends == ["failed"] * (ATTEMPTS - 1) + ["done"]
