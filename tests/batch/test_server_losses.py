"""Which losses of servers make a task run alone, and which make it be given up."""

import attrs
import pytest

from rhubarbmount.batch.loss_tracker import LossTracker
from rhubarbmount.batch.model import Job, JobState, Task, TaskId, TaskState
from rhubarbmount.batch.placing import Placer
from rhubarbmount.batch.progress_records import decode_progress, encode_progress
from rhubarbmount.batch.server_losses import (
    ServerLoss,
    add_loss,
    is_suspect,
    is_to_blame,
    may_be_chance,
)
from rhubarbmount.batch.server_usage import ServerUsage
from rhubarbmount.batch.shard import Shard
from tests.batch.test_shard import CATALOGUE, place_job, server, spec, step


def loss(number, age_s=0.01, **fields):
    values = {
        "is_certain": True,
        "was_alone": False,
        "was_widespread": False,
        "age_s": age_s,
        **fields,
    }
    return ServerLoss(f"s{number}", **values)


def losses(*ages_s, **fields):
    """Return losses with the same circumstances at these ages."""
    return tuple(loss(number, age_s, **fields) for number, age_s in enumerate(ages_s))


def test_two_losses_of_its_own_make_a_task_run_alone():
    assert not is_suspect(losses(0.01))
    assert is_suspect(losses(0.01, 0.02))


def test_losses_shared_with_other_servers_make_a_task_run_alone_later():
    assert not is_suspect(losses(0.01, 0.02, was_widespread=True))
    assert is_suspect(losses(0.01, 0.02, 0.03, was_widespread=True))


def test_a_task_is_given_up_after_two_losses_alone_at_the_same_age():
    beside = losses(0.3)
    alone = (loss(7, 0.5, was_alone=True), loss(8, 0.6, was_alone=True))
    assert not is_to_blame((*beside, alone[0]))
    assert not is_to_blame(alone)
    assert is_to_blame((*beside, *alone))


def test_losses_alone_at_different_ages_have_different_causes():
    alone = (loss(7, 0.2, was_alone=True), loss(8, 1.4, was_alone=True))
    assert not is_to_blame((*losses(0.3), *alone))


def test_losses_of_silent_servers_give_no_task_up_before_they_are_certain():
    fields = {"was_alone": True, "is_certain": False}
    assert not is_to_blame(losses(0.01, 0.3, 0.6, 0.9, **fields))


# Guards against a task that is never given up while other servers crash all the time.
def test_prompt_losses_alone_count_whatever_else_is_lost():
    fields = {"was_alone": True, "was_widespread": True}
    assert is_to_blame(losses(0.01, 0.02, 0.01, **fields))
    assert not is_to_blame(losses(0.3, 0.4, 0.35, **fields))


# Guards against a fourth start after the third crash of a task, and against power that
# is lost five times.
def test_five_losses_count_if_they_came_at_the_same_age():
    assert is_to_blame(losses(0.5, 0.52, 0.51, 0.5, 0.53, was_widespread=True))
    assert not is_to_blame(losses(0.1, 0.9, 0.5, 0.3, 0.7, was_widespread=True))


# Guards against work that is given up because its servers crashed for other reasons.
def test_five_losses_at_odd_times_do_not_count_for_one_that_was_its_own():
    own = loss(9, 0.48, was_alone=True)
    shared = losses(0.14, 0.96, 1.39, 0.96, was_widespread=True)
    assert not is_to_blame((*shared, own))
    shared = losses(0.5, 0.01, 0.47, 0.49, was_widespread=True)
    assert is_to_blame((*shared, own))


# Guards against a sixth start of a task that lost two of five servers to other crashes.
def test_five_losses_count_if_three_agree_with_one_of_its_own():
    own = loss(9, 0.52, was_alone=True)
    shared = losses(0.5, 0.02, 0.55, 1.6)
    assert is_to_blame((*shared, own))
    assert not is_to_blame((*losses(0.5, 0.02, 1.4, 1.6), own))
    assert not is_to_blame((*shared, loss(9, 0.52)))


# Guards against a task that is given up for two ages of its own that only look alike.
def test_losses_alone_count_only_if_their_ages_are_equal():
    fields = {"was_alone": True}
    assert not is_to_blame(losses(0.196, 0.52, 0.393, **fields))
    assert not is_to_blame(losses(0.604, 0.388, 0.72, **fields))
    assert is_to_blame(losses(0.196, 0.393, 0.4, **fields))


# Guards against a task that is given up for two equal ages among many others.
def test_losses_alone_count_only_if_half_of_them_are_equal():
    fields = {"was_alone": True, "was_widespread": False}
    assert not is_to_blame(losses(0.05, 0.6, 0.61, 1.6, 2.9, **fields))
    assert is_to_blame(losses(0.05, 0.6, 0.61, 0.6, 2.9, **fields))


# Guards against short tasks that are given up as each server crashes every 5 s.
def test_losses_may_be_chance_where_servers_are_lost_often():
    short = losses(0.2, 0.33, 0.21)
    assert may_be_chance(short, losses_per_server_s=0.2)
    assert not may_be_chance(short, losses_per_server_s=0.002)
    assert not may_be_chance(short, losses_per_server_s=0.0)


# Guards against deadly tasks that are never given up where servers are lost often.
def test_losses_at_equal_ages_are_no_chance():
    assert not may_be_chance(losses(0.01, 0.02, 0.01, 0.0, 0.01), 0.15)
    assert not may_be_chance(losses(0.25, 0.5, 0.5, 0.5, 0.5), 0.1)


# Guards against an error of the holder by a task with very many losses.
def test_very_many_losses_are_no_chance():
    assert not may_be_chance(losses(*[0.01] * 1000), 0.001)
    assert may_be_chance(losses(*map(float, range(1000))), 1.0)


def test_a_run_that_goes_on_for_longer_clears_earlier_losses():
    earlier = losses(0.1, 0.2)
    assert add_loss(earlier, loss(7, 1.0))[:2] == earlier
    late = loss(7, 2.0)
    assert add_loss(earlier, late) == (late,)


def test_a_server_is_lost_once():
    known = losses(0.1)
    assert add_loss(known, loss(0, 0.2)) == known


def make_usage(server_id, *job_ids):
    usage = ServerUsage(server(server_id), 0.0)
    for job_id in job_ids:
        usage.add(Task(TaskId(job_id, 0, 0, 0)), step())
    return usage


@pytest.mark.parametrize(
    ("other_jobs", "at_s", "is_widespread"),
    [
        ((), 10.05, True),
        (("other",), 10.05, True),
        (("mine", "other"), 10.05, False),
        ((), 11.0, False),
    ],
)
def test_servers_that_fall_silent_at_one_time_share_a_cause(
    other_jobs, at_s, is_widespread
):
    tracker = LossTracker()
    tracker.note_silence("a", make_usage("a", "mine"), 10.0, 10.0)
    tracker.note_silence("b", make_usage("b", *other_jobs), at_s, at_s)
    assert tracker.is_widespread("a", "mine") is is_widespread


def test_losses_of_servers_are_counted_by_pool_without_those_of_a_task():
    tracker = LossTracker()
    for number, job_id in enumerate(["a", "b", "mine"]):
        at_s = 10.0 + number
        tracker.note_silence(job_id, make_usage(f"s{number}", job_id), at_s, at_s)
    tracker.note_silence("with-b", make_usage("s3", "b"), 11.05, 11.05)
    pool = make_usage("s4").server.service
    assert tracker.losses_per_server_s(pool, 4, "mine", 13.0) == 2 / 40.0
    assert tracker.losses_per_server_s("another", 4, "mine", 13.0) == 0.0
    assert tracker.losses_per_server_s(pool, 4, "mine", 30.0) == 0.0


# Guards against a new holder that takes servers for safe of which it knows nothing yet.
def test_losses_are_counted_over_the_time_that_they_have_been_noted_for():
    tracker = LossTracker(since_s=9.0)
    tracker.note_silence("a", make_usage("s1", "a"), 10.0, 10.0)
    pool = make_usage("s4").server.service
    assert tracker.losses_per_server_s(pool, 4, "mine", 10.1) == 1 / 8.0
    assert tracker.losses_per_server_s(pool, 4, "mine", 13.0) == 1 / 16.0


def test_a_server_that_answers_again_takes_its_losses_back():
    tracker = LossTracker()
    task = Task(TaskId("j", 0, 0, 0))
    tracker.add(task, loss(1, is_certain=False))
    tracker.add(task, loss(2, is_certain=False))
    assert tracker.retract("s1") == [task]
    assert tracker.confirm("s2") == [task]
    assert task.losses == (loss(2),)


# Guards against tasks that last and wait for servers of their own after any crashes.
def test_losses_at_different_ages_make_no_suspect():
    assert not is_suspect(losses(2.0, 7.0))
    assert not is_suspect(losses(0.5, 2.0, 7.0))
    assert is_suspect(losses(0.5, 2.0, 2.4))


def lose_run(sent_s, is_draining=False, has_pending_command=False):
    """Lose the server of an assigned run whose start was sent then, or not yet."""
    shard = Shard(CATALOGUE)
    usage = shard.put_server(server("s1"), 0.0)
    usage.is_reachable = True
    place_job(shard, step())
    task = next(iter(usage.task_by_id.values()))
    task.sent_s = sent_s
    usage.server = server("s1", is_draining=is_draining)
    usage.has_pending_command = has_pending_command
    shard.lose_server("s1", 5.0)
    return task


# Guards against tasks that are blamed for servers on which they never ran.
def test_a_run_that_was_never_sent_to_its_server_has_not_lost_it():
    assert lose_run(sent_s=0.0).losses == ()
    assert len(lose_run(sent_s=4.0).losses) == 1


@pytest.mark.parametrize("cause", ["is_draining", "has_pending_command"])
def test_a_server_that_ends_as_planned_is_not_lost(cause):
    task = lose_run(sent_s=4.0, **{cause: True})
    assert task.losses == ()
    assert task.state is TaskState.WAITING


def lose_servers(shard, *ages_s, number=0):
    """Crash the servers of a task so long after each start; return the task."""
    for round_number, age_s in enumerate(ages_s):
        now_s = 100.0 * (round_number + 1)
        Placer(shard).place(now_s)
        task = shard.job_by_id["j1"].tasks()[number]
        task.sent_s = task.acknowledged_s = now_s
        shard.lose_server(task.server_id, now_s + age_s)
    return task


def long_running_shard(count=3):
    """Return a shard in which each task of a job that lasts has a server of its own."""
    shard = Shard(CATALOGUE)
    for server_id in ("s1", "s2", "s3", "s4", "s5", "s6", "s7"):
        shard.put_server(server(server_id), 0.0).is_reachable = True
    place_job(shard, step(count, is_long_running=True, max_per_server=1))
    return shard


# Guards against a job that lasts and fails as its servers crash at regular times.
def test_servers_that_crash_after_long_runs_count_against_no_task_that_lasts():
    shard = long_running_shard()
    task = lose_servers(shard, 8.325, 10.22, 10.22, 10.22)
    assert task.losses == ()
    assert shard.job_by_id["j1"].state is JobState.ACTIVE
    assert shard.stops == []
    assert [item.task for item in Placer(shard).place(900.0)] == [task.id]


# Guards against a task that ends by itself and crashes its servers late.
def test_long_runs_count_against_tasks_that_end():
    shard = Shard(CATALOGUE)
    for server_id in ("s1", "s2", "s3"):
        shard.put_server(server(server_id), 0.0).is_reachable = True
    place_job(shard, step())
    lose_servers(shard, 4.0, 4.0, 4.0)
    assert shard.job_by_id["j1"].state is JobState.FAILED


# Guards against sound tasks that are stopped as another one of their job is deadly.
def test_a_deadly_task_that_lasts_is_held_and_the_others_run_on():
    shard = long_running_shard()
    task = lose_servers(shard, 0.01, 0.01, 0.01)
    others = shard.job_by_id["j1"].tasks()[1:]
    assert shard.job_by_id["j1"].state is JobState.ACTIVE
    assert [other.state for other in others] == [TaskState.ASSIGNED] * 2
    assert shard.stops == []
    assert shard.losses.held == [task]
    assert Placer(shard).place(900.0) == []


# Guards against a holder that starts a deadly task again.
def test_a_deadly_task_that_lasts_is_held_by_the_next_holder():
    shard = long_running_shard(1)
    lose_servers(shard, 0.01, 0.01, 0.01)
    restored = Job(shard.job_by_id["j1"].spec)
    decode_progress(encode_progress(shard.job_by_id["j1"]), restored)
    successor = Shard(CATALOGUE)
    successor.put_server(server("s8"), 0.0).is_reachable = True
    successor.add_job(restored)
    assert Placer(successor).place(900.0) == []
    assert [task.id.number for task in successor.losses.held] == [0]


# Guards against a task that is held for servers that were only silent.
def test_a_held_task_waits_again_once_a_server_of_its_losses_answers():
    shard = long_running_shard(1)
    task = lose_servers(shard, 0.01)
    for number in range(8, 12):
        shard.losses.add(task, loss(number, is_certain=False))
    Placer(shard).place(900.0)
    shard.lose_server(task.server_id, 900.0)
    assert task.is_held
    for number in range(8, 11):
        shard.retract_losses(f"s{number}")
    assert not task.is_held
    assert [item.task for item in Placer(shard).place(950.0)] == [task.id]


# Guards against a start of a cancelled job, or an error for one that is forgotten, when
# a server answers that one of its held tasks had lost.
@pytest.mark.parametrize("is_forgotten", [False, True])
def test_a_held_task_of_a_cancelled_job_waits_no_more(is_forgotten):
    shard = long_running_shard(1)
    task = lose_servers(shard, 0.01)
    for number in range(8, 12):
        shard.losses.add(task, loss(number, is_certain=False))
    Placer(shard).place(900.0)
    shard.lose_server(task.server_id, 900.0)
    assert task.is_held
    shard.cancel("j1")
    if is_forgotten:
        shard.forget("j1")
    for number in range(8, 12):
        shard.retract_losses(f"s{number}")
    assert Placer(shard).place(950.0) == []


def test_losses_are_stored_with_the_progress_of_a_job():
    job = Job(spec(step()))
    task = Task(TaskId("j1", 0, 0, 0), run=2, losses=losses(0.25, 1.5, was_alone=True))
    job.tasks_by_step[0, 0] = [task]
    restored = Job(job.spec)
    decode_progress(encode_progress(job), restored)
    assert restored.tasks()[0].losses == task.losses


def lose_server_under(task_of, shard, server_id, now_s):
    """Run the only task on a lifetime of a server, which crashes soon after."""
    shard.put_server(server(server_id), now_s).is_reachable = True
    [assignment] = Placer(shard).place(now_s)
    assert assignment.server_id == server_id
    task = task_of(shard)
    task.sent_s = now_s
    shard.lose_server(server_id, now_s + 0.2)
    return task.losses


# Guards against a task that crashes a server again and again, uncounted, as that starts
# again under the name that it had.
@pytest.mark.parametrize("is_stored", [False, True])
def test_each_lifetime_of_a_server_that_is_lost_counts(is_stored):
    shard = Shard(CATALOGUE)
    job = Job(spec(step()))
    shard.add_job(job)

    def task_of(shard):
        return shard.job_by_id["j1"].tasks()[0]

    assert len(lose_server_under(task_of, shard, "s1@7", 1.0)) == 1
    if is_stored:
        job = Job(job.spec)
        decode_progress(encode_progress(shard.job_by_id["j1"]), job)
        shard = Shard(CATALOGUE)
        shard.add_job(job)
    lost = lose_server_under(task_of, shard, "s1@8", 5.0)
    assert [item.server_id for item in lost] == ["s1@7", "s1@8"]
    assert is_suspect(lost)


# Guards against a task that is blamed for a server that only was silent: an older build
# had stored the loss by the name of the server.
def test_a_lifetime_that_answers_takes_back_the_loss_by_its_name():
    tracker = LossTracker()
    certain = loss(1, is_certain=True)
    task = Task(TaskId("j1", 0, 0, 0), losses=(certain, loss(2, is_certain=False)))
    tracker.watch(task)
    assert tracker.retract("s2@7") == [task]
    assert task.losses == (certain,)
    assert tracker.retract("s1@7") == []


# Guards against a loss that counts twice: by name, as an older build stored it, and by
# the lifetime.
def test_the_loss_of_a_lifetime_may_be_known_by_its_name():
    uncertain = loss(1, is_certain=False)
    later = attrs.evolve(uncertain, server_id="s1@7")
    assert add_loss((uncertain,), later) == (uncertain,)
    certain = loss(1)
    assert len(add_loss((certain,), later)) == 2
    tracker = LossTracker()
    task = Task(TaskId("j1", 0, 0, 0), losses=(uncertain,))
    tracker.watch(task)
    assert tracker.confirm("s1@7") == [task]
    assert task.losses == (certain,)
