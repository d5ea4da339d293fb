"""Best-effort tasks yield to tasks with response time goals."""

import attrs
import pytest

from rhubarbmount.batch.model import RunReport, Server, Step, Task, TaskId
from rhubarbmount.batch.pacing import RECOVERY_DELAY_S, PaceControl
from rhubarbmount.batch.server_usage import ServerUsage

GOAL_MS = 50.0
SERVING = Task(TaskId("s", 0, 0, 0), run=1)


@pytest.fixture
def best_effort_task():
    return Task(TaskId("f", 0, 0, 0), run=3)


@pytest.fixture
def usage(best_effort_task):
    server = Server("s", "one", "s:1", "a", False, 8000, 1, 0, frozenset(), "r", 1)
    server_usage = ServerUsage(server, 0.0)
    server_usage.add(SERVING, Step(1, 1000, 0, is_long_running=True, goal_ms=GOAL_MS))
    server_usage.add(best_effort_task, Step(1, 4000, 0, fills=True))
    return server_usage


def apply_decision(control, usage, tail_ms, now_s):
    """Apply the pace commands for one report and return their percentages."""
    reports = [RunReport(SERVING.id, 1, "", 100, tail_ms)]
    commands = control.decide(usage, reports, now_s)
    for command in commands:
        command.task.pace = command.percent
    return [command.percent for command in commands]


def test_missed_goal_slows_best_effort_tasks_and_then_stops_them(usage):
    control = PaceControl()
    assert apply_decision(control, usage, GOAL_MS * 2, 0.0) == [50]
    assert apply_decision(control, usage, GOAL_MS * 2, 0.5) == [0]
    assert apply_decision(control, usage, GOAL_MS * 2, 1.0) == []


def test_unacknowledged_pace_command_is_repeated(usage):
    control = PaceControl()
    reports = [RunReport(SERVING.id, 1, "", 100, GOAL_MS * 2)]
    for _ in range(2):
        commands = control.decide(usage, reports, 0.0)
        assert [command.percent for command in commands] == [50]


def test_pace_is_restored_in_steps_after_recovery(usage, best_effort_task):
    control = PaceControl()
    best_effort_task.pace = 0
    assert apply_decision(control, usage, GOAL_MS / 2, 0.0) == []
    assert apply_decision(control, usage, GOAL_MS / 2, RECOVERY_DELAY_S) == [25]
    assert apply_decision(control, usage, GOAL_MS / 2, RECOVERY_DELAY_S + 0.5) == []
    assert apply_decision(control, usage, GOAL_MS / 2, 2 * RECOVERY_DELAY_S) == [50]


def test_response_time_just_below_its_goal_changes_nothing(usage, best_effort_task):
    control = PaceControl()
    best_effort_task.pace = 50
    for now_s in (0.0, 3.0, 6.0):
        assert apply_decision(control, usage, GOAL_MS * 0.9, now_s) == []


def test_without_a_goal_no_task_is_slowed(usage):
    usage.step_by_task[SERVING.id] = attrs.evolve(
        usage.step_by_task[SERVING.id], goal_ms=0.0
    )
    assert apply_decision(PaceControl(), usage, 1000.0, 0.0) == []
