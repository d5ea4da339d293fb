"""Rows that name lifetimes of servers, as this build and older ones read them."""

import json

import pytest

from rhubarbmount.batch.model import Job, RunEnd, Task, TaskId, TaskState
from rhubarbmount.batch.progress_records import decode_progress, encode_progress
from rhubarbmount.batch.record_fields import UnreadableRecord
from rhubarbmount.batch.records import decode_ends, encode_ends
from rhubarbmount.batch.server_losses import ServerLoss
from rhubarbmount.batch.unreadable_jobs import KeptEnd
from tests.batch.test_shard import spec, step

LIFETIME = "s1@1785455249123"
TASK_ID = TaskId("j1", 0, 0, 0)
LOSSES = (ServerLoss("s2@8", True, False, False, 0.5),)


def make_job(server_id, losses=()):
    job = Job(spec(step()))
    task = Task(TASK_ID, TaskState.ASSIGNED, 3, server_id, losses=losses)
    job.tasks_by_step[0, 0] = [task]
    return job


def stored_task(job):
    """Return the row of the only task of a job."""
    return json.loads(encode_progress(job))["tasks"]["0.0"][0]


@pytest.mark.parametrize("server_id", [LIFETIME, "s1"])
@pytest.mark.parametrize("losses", [(), LOSSES])
def test_the_next_holder_learns_the_lifetime_of_a_run(server_id, losses):
    restored = Job(spec(step()))
    decode_progress(encode_progress(make_job(server_id, losses)), restored)
    assert restored.tasks()[0].server_id == server_id
    assert restored.tasks()[0].losses == losses


# Guards against TWICE: an older build asked for a server under an id that no server
# has, was told that it is over, and began its tasks again while they went on.
def test_older_builds_find_the_server_of_a_run_by_its_name():
    row = stored_task(make_job(LIFETIME, LOSSES))
    assert row[:5] == [int(TaskState.ASSIGNED), 3, "s1", 0, ""]
    assert row[5][0][:5] == ["s2", 1, 0, 0, 0.5]
    assert stored_task(make_job(LIFETIME))[5] == []
    end = RunEnd(9, TASK_ID, 3, "failed", "")
    [stored] = json.loads(encode_ends([KeptEnd(LIFETIME, end)]))["ends"]
    assert stored[:8] == ["s1", 9, 0, 0, 0, 3, "failed", ""]


def test_a_kept_end_is_of_one_lifetime():
    ends = [
        KeptEnd(server_id, RunEnd(9, TASK_ID, 3, "failed", ""))
        for server_id in (LIFETIME, "s1")
    ]
    assert decode_ends(encode_ends(ends), "j1") == ends


def test_rows_of_older_builds_name_a_server_whose_start_is_not_known():
    row = [1, 3, "s1", 0, "", [["s2", 1, 0, 0, 0.5]]]
    value = {"state": "active", "ended_s": 0.0, "tasks": {"0.0": [row]}}
    restored = Job(spec(step()))
    decode_progress(json.dumps(value).encode(), restored)
    assert restored.tasks()[0].server_id == "s1"
    assert restored.tasks()[0].losses[0].server_id == "s2"


@pytest.mark.parametrize("born", ["x", None, 1.5, []])
def test_a_row_with_a_wrong_start_is_unreadable(born):
    row = [1, 3, "s1", 0, "", [], born]
    value = {"state": "active", "ended_s": 0.0, "tasks": {"0.0": [row]}}
    with pytest.raises(UnreadableRecord):
        decode_progress(json.dumps(value).encode(), Job(spec(step())))
