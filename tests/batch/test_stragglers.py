"""Runs that stand still or are much slower than others."""

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


def reason(now_s, percent, progressed_s, step=STEP):
    found = find_straggler(task(now_s, percent, progressed_s), step, now_s)
    return found and found.reason


def test_a_run_on_its_way_goes_on():
    assert reason(10.5, 50, 10.5) is None
    assert reason(11.6, 80, 11.6) is None


def test_a_run_that_stands_still_is_found():
    assert reason(11.2, 0, 10.0) == "stalled"
    assert reason(12.0, 40, 10.8) == "stalled"


def test_a_run_counts_from_its_start_and_not_from_its_assignment():
    """The row of an assignment takes long to write while the store is slow."""
    late = task(10.6, 50, 10.6)
    late.assigned_s = 5.0
    assert find_straggler(late, STEP, 10.6) is None
    late.acknowledged_s = 0.0
    assert find_straggler(late, STEP, 10.6) is None


def test_a_run_that_was_not_looked_at_is_not_judged():
    late = task(12.0, 0, 10.0)
    late.percent_read_s = 10.1
    assert find_straggler(late, STEP, 12.0) is None


def test_a_run_on_a_slow_server_is_found_while_much_is_left():
    assert reason(12.0, 20, 12.0) == "slow"
    assert reason(16.0, 90, 16.0) is None


@pytest.mark.parametrize(
    "step",
    [
        Step(1, 1000, 500, estimate_s=1.0, is_long_running=True),
        Step(2, 1000, 500, estimate_s=1.0, is_gang=True),
    ],
)
def test_long_running_tasks_and_gangs_are_left_alone(step):
    assert reason(15.0, 0, 10.0, step) is None
