"""Detection of stalled and unusually slow runs."""

import pytest

from rhubarbmount.batch.model import Step, Task, TaskId, TaskState
from rhubarbmount.batch.stragglers import find_straggler

STEP = Step(1, 1000, 500, estimate_s=1.0)


def task(now_s, percent, progressed_s):
    return Task(
        TaskId("j", 0, 0, 0),
        TaskState.ASSIGNED,
        1,
        "s1",
        assigned_s=9.0,
        acknowledged_s=10.0,
        percent_read_s=now_s,
        progressed_s=progressed_s,
        percent=percent,
    )


def straggler_reason(now_s, percent, progressed_s, step=STEP):
    found = find_straggler(task(now_s, percent, progressed_s), step, now_s)
    return found and found.reason


def test_run_with_normal_progress_is_no_straggler():
    assert straggler_reason(10.5, 50, 10.5) is None
    assert straggler_reason(11.6, 80, 11.6) is None


def test_run_without_progress_is_stalled():
    assert straggler_reason(11.2, 0, 10.0) == "stalled"
    assert straggler_reason(12.0, 40, 10.8) == "stalled"


def test_elapsed_time_counts_from_the_start_and_not_from_the_assignment():
    """With a slow store the row of an assignment takes long to write."""
    run = task(10.6, 50, 10.6)
    run.assigned_s = 5.0
    assert find_straggler(run, STEP, 10.6) is None
    run.acknowledged_s = 0.0
    assert find_straggler(run, STEP, 10.6) is None


def test_run_without_a_recent_report_is_no_straggler():
    run = task(12.0, 0, 10.0)
    run.percent_read_s = 10.1
    assert find_straggler(run, STEP, 12.0) is None


def test_slow_run_is_a_straggler_only_while_much_work_remains():
    assert straggler_reason(12.0, 20, 12.0) == "slow"
    assert straggler_reason(16.0, 90, 16.0) is None


@pytest.mark.parametrize(
    "step",
    [
        Step(1, 1000, 500, estimate_s=1.0, is_long_running=True),
        Step(2, 1000, 500, estimate_s=1.0, is_gang=True),
    ],
)
def test_long_running_tasks_and_gangs_are_never_stragglers(step):
    assert straggler_reason(15.0, 0, 10.0, step) is None
