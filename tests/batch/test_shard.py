"""State transitions of jobs and tasks: assignment, ends of runs and restarts."""

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
    StopReason,
    TaskId,
    TaskState,
)
from rhubarbmount.batch.placing import Placer
from rhubarbmount.batch.progress_records import decode_progress, encode_progress
from rhubarbmount.batch.records import decode_spec, encode_spec
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
    """Add a backend server that has responded to the holder."""
    usage = shard.put_server(server(server_id, **fields), 0.0)
    usage.is_reachable = True
    return usage


@pytest.fixture
def shard():
    new_shard = Shard(CATALOGUE)
    for name in ("s1", "s2"):
        add(new_shard, name)
    return new_shard


def place_job(shard, *steps, **fields):
    shard.add_job(Job(spec(*steps, **fields)))
    return Placer(shard).place(1.0)


def report_end(shard, assignment, outcome="done", number=1, checkpoint=""):
    return shard.end_run(
        assignment.server_id,
        RunEnd(number, assignment.task, assignment.run, outcome, checkpoint),
        2.0,
    )


def test_step_waits_for_all_tasks_of_its_dependencies(shard):
    first = place_job(shard, step(2), step(1, after=(0,)))
    assert [item.task.step for item in first] == [0, 0]
    report_end(shard, first[0])
    assert Placer(shard).place(2.0) == []
    report_end(shard, first[1])
    assert [item.task.step for item in Placer(shard).place(2.0)] == [1]


def test_job_completes_with_its_last_task(shard):
    assignments = place_job(shard, step(2))
    report_end(shard, assignments[0])
    assert shard.job_by_id["j1"].state is JobState.ACTIVE
    report_end(shard, assignments[1])
    assert shard.job_by_id["j1"].state is JobState.COMPLETE


def test_failed_task_restarts_on_another_server(shard):
    [assignment] = place_job(shard, step())
    report_end(shard, assignment, "failed")
    [retry] = Placer(shard).place(2.0)
    assert retry.run == assignment.run + 1
    assert retry.server_id != assignment.server_id


def test_job_fails_once_a_task_has_used_up_its_attempts(shard):
    assignments = place_job(shard, step(2))
    report_end(shard, assignments[0], "failed")
    [retry] = Placer(shard).place(2.0)
    report_end(shard, retry, "failed")
    assert shard.job_by_id["j1"].state is JobState.FAILED
    assert [stop.task for stop in shard.stops] == [assignments[1].task]
    assert Placer(shard).place(3.0) == []


# Guards against runs whose stop has another reason in the log than the end of the job.
def test_the_stops_of_a_job_tell_how_it_ended(shard):
    failed = place_job(shard, step(2))
    report_end(shard, failed[0], "failed")
    [retry] = Placer(shard).place(2.0)
    report_end(shard, retry, "failed")
    place_job(shard, step(), job_id="j2")
    shard.cancel("j2")
    assert [(stop.task.job_id, stop.reason) for stop in shard.stops] == [
        ("j1", StopReason.JOB_FAILED),
        ("j2", StopReason.JOB_CANCELLED),
    ]


def test_long_running_tasks_have_no_attempt_limit(shard):
    [assignment] = place_job(shard, step(is_long_running=True))
    for number in range(5):
        report_end(shard, assignment, "failed", number)
        [assignment] = Placer(shard).place(9.0 * (number + 1))
    assert shard.job_by_id["j1"].state is JobState.ACTIVE


def test_late_completion_of_an_abandoned_run_counts(shard):
    """A server reports a completed run after its lease expired and a new run began."""
    [old] = place_job(shard, step(), step(after=(0,)))
    shard.lapse_runs(old.server_id, 1.5)
    [new] = Placer(shard).place(2.0)
    assert report_end(shard, old)
    assert [stop.run for stop in shard.stops] == [new.run]
    assert [item.task.step for item in Placer(shard).place(2.0)] == [1]
    report_end(shard, new, "stopped")
    task = shard.task(new.task)
    assert task.state is TaskState.DONE
    assert new.task not in shard.usage_by_server_id[new.server_id].task_by_id
    shard.release(task, 3.0)
    assert task.state is TaskState.DONE


def test_late_end_without_completion_is_ignored(shard):
    [old] = place_job(shard, step())
    shard.lapse_runs(old.server_id, 1.5)
    [new] = Placer(shard).place(2.0)
    assert not report_end(shard, old, "lapsed")
    assert shard.task(new.task).run == new.run
    assert shard.task(new.task).state is TaskState.ASSIGNED


def test_stopped_run_resumes_from_its_checkpoint(shard):
    [assignment] = place_job(shard, step(has_checkpoints=True))
    report_end(shard, assignment, "stopped", checkpoint="saved")
    Placer(shard).place(2.0)
    assert shard.task(assignment.task).checkpoint == "saved"


def test_cancelled_job_stops_its_runs_and_starts_no_others(shard):
    assignments = place_job(shard, step(2), step(after=(0,)))
    shard.cancel("j1")
    assert shard.job_by_id["j1"].state is JobState.CANCELLED
    assert len(shard.stops) == 2
    for item in assignments:
        report_end(shard, item, "stopped")
    assert Placer(shard).place(2.0) == []
    assert all(usage.is_idle for usage in shard.usage_by_server_id.values())


def test_tasks_of_a_lost_server_are_placed_again(shard):
    [assignment] = place_job(shard, step())
    shard.lose_server(assignment.server_id, 2.0)
    [retry] = Placer(shard).place(2.0)
    assert retry.server_id != assignment.server_id


def test_max_per_server_spreads_tasks(shard):
    assignments = place_job(shard, step(3, max_per_server=1))
    assert sorted(item.server_id for item in assignments) == ["s1", "s2"]


def test_step_runs_only_on_servers_with_its_label(shard):
    assert place_job(shard, step(label="b")) == []
    add(shard, "s3", labels=frozenset({"b"}))
    assert [item.server_id for item in Placer(shard).place(1.0)] == ["s3"]


def test_draining_and_closed_servers_get_no_tasks(shard):
    add(shard, "s1", is_draining=True)
    shard.usage_by_server_id["s2"].is_closed = True
    assert place_job(shard, step()) == []


def test_server_that_has_not_answered_yet_gets_no_tasks(shard):
    """Only the first response of a server tells which runs it has."""
    for usage in shard.usage_by_server_id.values():
        usage.is_reachable = False
    assert place_job(shard, step()) == []


def test_server_cpu_is_never_overcommitted(shard):
    assignments = place_job(shard, step(9, cpu_millicores=1500))
    assert len(assignments) == 4
    for usage in shard.usage_by_server_id.values():
        assert usage.used_cpu_millicores <= usage.server.cpu_millicores


def test_gang_is_placed_as_a_whole_or_not_at_all(shard):
    assert place_job(shard, step(9, is_gang=True)) == []
    assert all(usage.is_idle for usage in shard.usage_by_server_id.values())
    add(shard, "s3")
    assignments = Placer(shard).place(2.0)
    assert len(assignments) == 9
    assert len({item.run for item in assignments}) == 1


def test_end_of_one_task_completes_its_gang(shard):
    assignments = place_job(shard, step(3, is_gang=True))
    report_end(shard, assignments[0])
    assert shard.job_by_id["j1"].state is JobState.COMPLETE


def test_timed_job_starts_when_it_is_due(shard):
    shard.add_job(Job(spec(step(), repeats=2, start_s=10.0, period_s=5.0)))
    assert Placer(shard).place(1.0) == []
    shard.wall_clock_s = 10.0
    shard.open_due()
    assert [item.task.occurrence for item in Placer(shard).place(1.0)] == [0]
    shard.wall_clock_s = 15.0
    shard.open_due()
    assert [item.task.occurrence for item in Placer(shard).place(1.0)] == [1]


def test_jobs_that_can_meet_their_objective_precede_late_ones(shard):
    shard.wall_clock_s = 100.0
    shard.add_job(Job(spec(step(8, estimate_s=1.0), job_id="late")))
    fresh = JobSpec("fresh", NAME, "one", "", (step(4, estimate_s=1.0),), 99.9)
    shard.add_job(Job(fresh))
    assignments = Placer(shard).place(1.0)
    assert [item.task.job_id for item in assignments] == ["fresh"] * 4 + ["late"] * 4


def test_jobs_of_a_removed_queue_keep_its_last_pool(shard):
    shard.add_job(Job(spec(step())))
    shard.catalogue = Catalogue(2, {}, {})
    assert shard.pool_of(shard.job_by_id["j1"].spec) == "one"


def test_jobs_follow_their_queue_to_another_pool(shard):
    add(shard, "t1", service="two")
    moved = Queue(NAME, "two", 0, 2, 1.6, 0.6)
    shard.catalogue = Catalogue(2, {NAME: moved}, {})
    [assignment] = place_job(shard, step())
    assert assignment.server_id == "t1"


def test_pending_count_covers_jobs_that_have_not_started(shard):
    [assignment] = place_job(shard, step())
    shard.add_job(Job(spec(step(99), job_id="j2")))
    assert shard.count_pending() == {NAME: 2}
    shard.task(assignment.task).progress.start(10_000)
    assert shard.count_pending() == {NAME: 1}


# Guards against jobs that wait, uncounted, as their servers were lost before the start.
def test_pending_count_covers_jobs_whose_servers_never_began(shard):
    [assignment] = place_job(shard, step())
    shard.lose_server(assignment.server_id, 2.0)
    assert shard.count_pending() == {NAME: 1}
    restored = Job(shard.job_by_id["j1"].spec)
    decode_progress(encode_progress(shard.job_by_id["j1"]), restored)
    next_shard = Shard(CATALOGUE)
    next_shard.add_job(restored)
    assert next_shard.count_pending() == {NAME: 1}


def test_a_job_whose_run_was_lost_has_begun(shard):
    [assignment] = place_job(shard, step())
    shard.task(assignment.task).progress.start(10_000)
    shard.lose_server(assignment.server_id, 2.0)
    assert shard.count_pending() == {}


def test_job_is_restored_from_its_rows(shard):
    assignments = place_job(shard, step(2, max_per_server=1), step(after=(0,)))
    report_end(shard, assignments[0], "failed")
    job = shard.job_by_id["j1"]
    restored = Job(decode_spec(encode_spec(job.spec)))
    decode_progress(encode_progress(job), restored)
    assert restored.spec == job.spec
    assert restored.state is job.state
    fields = ("id", "state", "run", "server_id", "failures", "checkpoint")
    for old, new in zip(job.tasks(), restored.tasks(), strict=True):
        assert [getattr(old, f) for f in fields] == [getattr(new, f) for f in fields]


def test_next_holder_accounts_for_tasks_already_assigned(shard):
    assignments = place_job(shard, step(2))
    job = shard.job_by_id["j1"]
    restored = Job(job.spec)
    decode_progress(encode_progress(job), restored)
    taken_over = Shard(CATALOGUE)
    taken_over.add_job(restored)
    assert list(taken_over.unknown_servers()) == [assignments[0].server_id]
    usage = taken_over.put_server(server(assignments[0].server_id), 0.0)
    assert set(usage.task_by_id) == {item.task for item in assignments}
    assert Placer(taken_over).place(1.0) == []


def test_failing_server_gets_no_tasks_during_its_cooldown(shard):
    assignments = place_job(shard, step(2, max_per_server=2), step(2, after=(0,)))
    assert {item.server_id for item in assignments} == {"s1"}
    for number, item in enumerate(assignments):
        report_end(shard, item, "failed", number)
    retries = Placer(shard).place(2.0)
    assert {item.server_id for item in retries} == {"s2"}
    assert shard.usage_by_server_id["s1"].is_failing(2.5)
    assert not shard.usage_by_server_id["s1"].is_failing(9.0)


def test_task_id_has_named_fields():
    assert TaskId("j", 0, 1, 2).number == 2


def test_a_run_of_a_removed_job_has_no_expected_time(shard):
    assignment = place_job(shard, step(estimate_s=1.0))[0]
    task = shard.task(assignment.task)
    assert shard.expected_run_time_of(task).expected_s == 1.0
    shard.forget("j1")
    assert shard.expected_run_time_of(task).expected_s == 0.0


def test_a_completed_run_is_learned_from(shard):
    assignment = place_job(shard, step(estimate_s=1.0))[0]
    task = shard.task(assignment.task)
    task.progress.start(10_000)
    end = RunEnd(1, assignment.task, assignment.run, "done", "")
    shard.end_run(assignment.server_id, end, 2.0, clock_ms=14_000)
    assert task.took_s == 4.0
    later = spec(step(estimate_s=1.0), job_id="j2")
    assert 1.0 < shard.expected_run_time(later, 0).expected_s < 4.0


# Guards against a duty that ends, in each holder in turn, because of a job that was
# removed while a run of it had still not been stopped.
def test_run_of_a_removed_job_leaves_its_server(shard):
    [assignment] = place_job(shard, step())
    shard.cancel("j1")
    shard.forget("j1")
    usage = shard.usage_by_server_id[assignment.server_id]
    assert usage.has_runs
    shard.lapse_runs(assignment.server_id, 3.0)
    assert not usage.has_runs
    assert usage.used_cpu_millicores == 0


# Guards against a run of a cancelled job that goes on for ever: there was no session to
# stop it with while its server was not listed.
def test_cancelled_run_is_stopped_when_its_server_is_listed():
    first_shard = Shard(CATALOGUE)
    add(first_shard, "s1")
    place_job(first_shard, step())
    restored = Job(spec(step()))
    decode_progress(encode_progress(first_shard.job_by_id["j1"]), restored)
    next_shard = Shard(CATALOGUE)
    next_shard.add_job(restored)
    next_shard.cancel("j1")
    next_shard.stops.clear()
    next_shard.put_server(server("s1"), 1.0)
    assert [stop.task.job_id for stop in next_shard.stops] == ["j1"]
