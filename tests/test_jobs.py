"""Jobs and tasks, and the checks of a submission."""

import json

import attrs
import pytest

from rhubarbmount.entries import Team, WorkClass
from rhubarbmount.errors import Refused
from rhubarbmount.hosts import Host, HostState, Shape
from rhubarbmount.jobs import (
    Job,
    JobState,
    Task,
    check_submission,
    dump_job,
    dump_task,
    load_job,
    load_task,
)

TEAM = Team(
    name="t", owner="t", processors_quota=100, memory_quota_gb=400, accelerators_quota=4
)


def make_job(shape=None, **fields):
    fields = {"job_id": "j1", "team": "t", "pool": "p"} | fields
    return Job(shape=shape or Shape(2, 4), **fields)


def make_host(shape, host_id="h1", **fields):
    fields = {"pool": "p", "data_centre": "d", "rack": "r", "address": "a"} | fields
    return Host(host_id=host_id, shape=shape, **fields)


def test_rows_survive_a_round_trip():
    job = make_job(work_class=WorkClass.BATCH, failed_hosts=("h1", "h2"))
    assert load_job(dump_job(job)) == job
    task = Task(
        task_id="j1/1",
        job_id="j1",
        team="t",
        pool="p",
        host_id="h",
        reserved=Shape(1, 1),
    )
    assert load_task(dump_task(task)) == task


def test_a_running_job_can_not_be_placed_again():
    job = make_job().move("place", 1.0).move("started", 2.0)
    with pytest.raises(Refused):
        job.move("place", 3.0)


def test_a_cancelled_job_never_waits_again():
    job = make_job().move("place", 1.0).move("cancel", 2.0)
    assert job.move("requeue", 3.0).state is JobState.CANCELLED
    assert job.move("hold", 3.0).state is JobState.CANCELLED


def codes(job, team=TEAM, hosts=()):
    return [finding.code for finding in check_submission(job, team, hosts)]


def test_a_job_that_fits_a_host_in_maintenance_is_accepted():
    host = make_host(Shape(32, 64), state=HostState.MAINTENANCE)
    assert codes(make_job(Shape(32, 64)), hosts=[host]) == []


def test_a_job_too_large_for_any_host_is_refused_with_the_largest_fitting_shape():
    hosts = [make_host(Shape(8, 256)), make_host(Shape(32, 64), "h2")]
    (finding,) = check_submission(make_job(Shape(64, 32)), TEAM, hosts)
    assert finding.code == "shape-never-fits"
    assert finding.message.endswith("32 processors, 32 GB")


def test_hosts_of_another_pool_do_not_count():
    assert codes(make_job(), hosts=[make_host(Shape(8, 8), pool="q")]) == ["pool-empty"]


def test_every_reason_is_reported_together():
    job = make_job(Shape(200, 32))
    assert codes(job, hosts=[make_host(Shape(8, 64))]) == [
        "quota-never-fits",
        "shape-never-fits",
    ]
    assert codes(make_job(), None, [make_host(Shape(8, 64))]) == ["team-unknown"]


@pytest.mark.parametrize("shape", [Shape(0, 1), Shape(1, -1), Shape(1, 1, -1)])
def test_an_empty_shape_is_refused(shape):
    assert codes(make_job(shape), hosts=[make_host(Shape(8, 64))]) == ["shape-empty"]


def test_loaded_rows_share_repeated_values():
    template = make_job(template="report")
    text = json.dumps([dump_job(attrs.evolve(template, job_id=f"j{n}")) for n in "12"])
    first, second = (load_job(values) for values in json.loads(text))
    assert first == attrs.evolve(second, job_id="j1")
    for name in ("team", "pool", "template", "shape", "run_time_s"):
        assert getattr(first, name) is getattr(second, name)
