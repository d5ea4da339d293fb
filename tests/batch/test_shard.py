"""The state of jobs: starts, ends and what comes after them."""

import pytest

from rhubarbmount.batch.catalogue import Catalogue, Pool
from rhubarbmount.batch.model import (
    Job,
    JobSpec,
    JobState,
    Queue,
    QueueName,
    RunEnd,
    Server,
    Step,
    TaskId,
    TaskState,
)
from rhubarbmount.batch.placing import Placer
from rhubarbmount.batch.records import (
    decode_progress,
    decode_spec,
    encode_progress,
    encode_spec,
)
from rhubarbmount.batch.shard import Shard

NAME = QueueName("a.example", "/q/")
QUEUE = Queue(NAME, "one", 0, 2, 1.6, 0.6)
CATALOGUE = Catalogue(1, {NAME: QUEUE}, {"one": Pool("one", False)})


def server(server_id, **fields):
    values = {
        "service": "one",
        "address": f"{server_id}:1",
        "data_centre": "a",
        "is_draining": False,
        "cpu_millicores": 4000,
        "memory_mb": 8000,
        "gpu": 0,
        "labels": frozenset({"a", "r1"}),
        "rack": "r1",
        "version": 1,
        **fields,
    }
    return Server(id=server_id, **values)


def spec(*steps, job_id="j1", **fields):
    return JobSpec(job_id, NAME, "one", "payload", steps, 0.0, **fields)


def step(count=1, **fields):
    return Step(count, fields.pop("cpu_millicores", 1000), 500, **fields)


def add(shard, server_id, **fields):
    """Add a backend server that has answered the holder."""
    usage = shard.put_server(server(server_id, **fields), 0.0)
    usage.is_reachable = True
    return usage


@pytest.fixture
def shard():
    made = Shard(CATALOGUE)
    for name in ("s1", "s2"):
        add(made, name)
    return made


def start(shard, *steps, **fields):
    shard.add_job(Job(spec(*steps, **fields)))
    return Placer(shard).place(1.0)


def end(shard, assignment, how="done", number=1, checkpoint=""):
    return shard.end_run(
        assignment.server_id,
        RunEnd(number, assignment.task, assignment.run, how, checkpoint),
        2.0,
    )


def test_a_step_waits_for_all_tasks_before_it(shard):
    first = start(shard, step(2), step(1, after=(0,)))
    assert [item.task.step for item in first] == [0, 0]
    end(shard, first[0])
    assert Placer(shard).place(2.0) == []
    end(shard, first[1])
    assert [item.task.step for item in Placer(shard).place(2.0)] == [1]


def test_a_job_is_complete_with_its_last_task(shard):
    made = start(shard, step(2))
    end(shard, made[0])
    assert shard.job_by_id["j1"].state is JobState.ACTIVE
    end(shard, made[1])
    assert shard.job_by_id["j1"].state is JobState.COMPLETE


def test_a_task_begins_again_elsewhere_after_a_failure(shard):
    [made] = start(shard, step())
    end(shard, made, "failed")
    [again] = Placer(shard).place(2.0)
    assert again.run == made.run + 1
    assert again.server_id != made.server_id


def test_a_job_fails_after_its_attempts(shard):
    made = start(shard, step(2))
    end(shard, made[0], "failed")
    [again] = Placer(shard).place(2.0)
    end(shard, again, "failed")
    assert shard.job_by_id["j1"].state is JobState.FAILED
    assert [stop.task for stop in shard.stops] == [made[1].task]
    assert Placer(shard).place(3.0) == []


def test_long_running_tasks_have_no_limit_of_attempts(shard):
    [made] = start(shard, step(is_long_running=True))
    for number in range(5):
        end(shard, made, "failed", number)
        [made] = Placer(shard).place(9.0 * (number + 1))
    assert shard.job_by_id["j1"].state is JobState.ACTIVE


def test_a_run_that_was_given_up_may_still_be_done(shard):
    """A lapsed server comes back with the end of its run while another goes on."""
    [old] = start(shard, step(), step(after=(0,)))
    shard.lapse_runs(old.server_id, 1.5)
    [new] = Placer(shard).place(2.0)
    assert end(shard, old)
    assert [stop.run for stop in shard.stops] == [new.run]
    assert [item.task.step for item in Placer(shard).place(2.0)] == [1]
    end(shard, new, "stopped")
    task = shard.task(new.task)
    assert task.state is TaskState.DONE
    assert new.task not in shard.usage_by_server_id[new.server_id].task_by_id
    shard.release(task, 3.0)
    assert task.state is TaskState.DONE


def test_an_old_end_changes_nothing(shard):
    [old] = start(shard, step())
    shard.lapse_runs(old.server_id, 1.5)
    [new] = Placer(shard).place(2.0)
    assert not end(shard, old, "lapsed")
    assert shard.task(new.task).run == new.run
    assert shard.task(new.task).state is TaskState.ASSIGNED


def test_a_stopped_run_goes_on_from_its_checkpoint(shard):
    [made] = start(shard, step(has_checkpoints=True))
    end(shard, made, "stopped", checkpoint="saved")
    Placer(shard).place(2.0)
    assert shard.task(made.task).checkpoint == "saved"


def test_a_cancelled_job_stops_and_starts_nothing(shard):
    made = start(shard, step(2), step(after=(0,)))
    shard.cancel("j1")
    assert shard.job_by_id["j1"].state is JobState.CANCELLED
    assert len(shard.stops) == 2
    for item in made:
        end(shard, item, "stopped")
    assert Placer(shard).place(2.0) == []
    assert all(usage.is_idle for usage in shard.usage_by_server_id.values())


def test_a_lost_server_frees_its_tasks(shard):
    [made] = start(shard, step())
    shard.lose_server(made.server_id, 2.0)
    [again] = Placer(shard).place(2.0)
    assert again.server_id != made.server_id


def test_tasks_spread_over_servers(shard):
    made = start(shard, step(3, max_per_server=1))
    assert sorted(item.server_id for item in made) == ["s1", "s2"]


def test_a_label_binds(shard):
    assert start(shard, step(label="b")) == []
    add(shard, "s3", labels=frozenset({"b"}))
    assert [item.server_id for item in Placer(shard).place(1.0)] == ["s3"]


def test_draining_and_closed_servers_get_nothing(shard):
    add(shard, "s1", is_draining=True)
    shard.usage_by_server_id["s2"].is_closed = True
    assert start(shard, step()) == []


def test_a_server_that_has_not_answered_yet_gets_nothing(shard):
    """What runs there is known from its first answer only."""
    for usage in shard.usage_by_server_id.values():
        usage.is_reachable = False
    assert start(shard, step()) == []


def test_room_is_never_overdrawn(shard):
    made = start(shard, step(9, cpu_millicores=1500))
    assert len(made) == 4
    for usage in shard.usage_by_server_id.values():
        assert usage.used_cpu_millicores <= usage.server.cpu_millicores


def test_a_gang_starts_whole_or_not_at_all(shard):
    assert start(shard, step(9, is_gang=True)) == []
    assert all(usage.is_idle for usage in shard.usage_by_server_id.values())
    add(shard, "s3")
    made = Placer(shard).place(2.0)
    assert len(made) == 9
    assert len({item.run for item in made}) == 1


def test_one_end_is_that_of_the_whole_gang(shard):
    made = start(shard, step(3, is_gang=True))
    end(shard, made[0])
    assert shard.job_by_id["j1"].state is JobState.COMPLETE


def test_a_timed_job_begins_when_it_is_due(shard):
    shard.add_job(Job(spec(step(), repeats=2, start_s=10.0, period_s=5.0)))
    assert Placer(shard).place(1.0) == []
    shard.wall_clock_s = 10.0
    shard.open_due()
    assert [item.task.occurrence for item in Placer(shard).place(1.0)] == [0]
    shard.wall_clock_s = 15.0
    shard.open_due()
    assert [item.task.occurrence for item in Placer(shard).place(1.0)] == [1]


def test_jobs_that_can_make_it_go_before_late_ones(shard):
    shard.wall_clock_s = 100.0
    shard.add_job(Job(spec(step(8, estimate_s=1.0), job_id="late")))
    fresh = JobSpec("fresh", NAME, "one", "", (step(4, estimate_s=1.0),), 99.9)
    shard.add_job(Job(fresh))
    made = Placer(shard).place(1.0)
    assert [item.task.job_id for item in made] == ["fresh"] * 4 + ["late"] * 4


def test_a_removed_queue_keeps_its_last_pool(shard):
    shard.add_job(Job(spec(step())))
    shard.catalogue = Catalogue(2, {}, {})
    assert shard.pool_of(shard.job_by_id["j1"].spec) == "one"


def test_a_queue_that_changes_pool_runs_there(shard):
    add(shard, "t1", service="two")
    moved = Queue(NAME, "two", 0, 2, 1.6, 0.6)
    shard.catalogue = Catalogue(2, {NAME: moved}, {})
    [made] = start(shard, step())
    assert made.server_id == "t1"


def test_pending_counts_jobs_that_have_not_begun(shard):
    start(shard, step())
    shard.add_job(Job(spec(step(99), job_id="j2")))
    assert shard.count_pending() == {NAME: 1}


def test_rows_bring_a_job_back_as_it_was(shard):
    made = start(shard, step(2, max_per_server=1), step(after=(0,)))
    end(shard, made[0], "failed")
    job = shard.job_by_id["j1"]
    again = Job(decode_spec(encode_spec(job.spec)))
    decode_progress(encode_progress(job), again)
    assert again.spec == job.spec
    assert again.state is job.state
    fields = ("id", "state", "run", "server_id", "failures", "checkpoint")
    for old, new in zip(job.tasks(), again.tasks(), strict=True):
        assert [getattr(old, f) for f in fields] == [getattr(new, f) for f in fields]


def test_a_next_holder_keeps_assigned_tasks_in_their_rooms(shard):
    made = start(shard, step(2))
    job = shard.job_by_id["j1"]
    again = Job(job.spec)
    decode_progress(encode_progress(job), again)
    taken_over = Shard(CATALOGUE)
    taken_over.add_job(again)
    assert list(taken_over.unknown_servers()) == [made[0].server_id]
    usage = taken_over.put_server(server(made[0].server_id), 0.0)
    assert set(usage.task_by_id) == {item.task for item in made}
    assert Placer(taken_over).place(1.0) == []


def test_a_failing_server_is_left_alone_for_a_while(shard):
    made = start(shard, step(2, max_per_server=2), step(2, after=(0,)))
    assert {item.server_id for item in made} == {"s1"}
    for number, item in enumerate(made):
        end(shard, item, "failed", number)
    again = Placer(shard).place(2.0)
    assert {item.server_id for item in again} == {"s2"}
    assert shard.usage_by_server_id["s1"].is_failing(2.5)
    assert not shard.usage_by_server_id["s1"].is_failing(9.0)


def test_task_ids_are_named_by_place():
    assert TaskId("j", 0, 1, 2).number == 2
