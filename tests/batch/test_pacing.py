"""Tasks that fill gaps give way to tasks whose response times are watched."""

import attrs
import pytest

from rhubarbmount.batch.model import RunReport, Server, Step, Task, TaskId
from rhubarbmount.batch.pacing import CALM_BEFORE_STEP_S, PaceControl
from rhubarbmount.batch.server_usage import ServerUsage

GOAL_MS = 50.0
SERVING = Task(TaskId("s", 0, 0, 0), run=1)


@pytest.fixture
def filler():
    return Task(TaskId("f", 0, 0, 0), run=3)


@pytest.fixture
def usage(filler):
    server = Server("s", "one", "s:1", "a", False, 8000, 1, 0, frozenset(), "r", 1)
    made = ServerUsage(server, 0.0)
    made.add(SERVING, Step(1, 1000, 0, is_long_running=True, goal_ms=GOAL_MS))
    made.add(filler, Step(1, 4000, 0, fills=True))
    return made


def look(control, usage, tail_ms, now_s):
    """Carry out what a look at the server decides; return the paces ordered."""
    reports = [RunReport(SERVING.id, 1, "", 100, tail_ms)]
    commands = control.decide(usage, reports, now_s)
    for command in commands:
        command.task.pace = command.percent
    return [command.percent for command in commands]


def test_a_missed_goal_slows_the_others_at_once_and_then_stops_them(usage):
    control = PaceControl()
    assert look(control, usage, GOAL_MS * 2, 0.0) == [50]
    assert look(control, usage, GOAL_MS * 2, 0.5) == [0]
    assert look(control, usage, GOAL_MS * 2, 1.0) == []


def test_an_order_that_was_not_answered_is_given_again(usage):
    control = PaceControl()
    reports = [RunReport(SERVING.id, 1, "", 100, GOAL_MS * 2)]
    for _ in range(2):
        commands = control.decide(usage, reports, 0.0)
        assert [command.percent for command in commands] == [50]


def test_calm_gives_speed_back_in_steps(usage, filler):
    control = PaceControl()
    filler.pace = 0
    assert look(control, usage, GOAL_MS / 2, 0.0) == []
    assert look(control, usage, GOAL_MS / 2, CALM_BEFORE_STEP_S) == [25]
    assert look(control, usage, GOAL_MS / 2, CALM_BEFORE_STEP_S + 0.5) == []
    assert look(control, usage, GOAL_MS / 2, 2 * CALM_BEFORE_STEP_S) == [50]


def test_a_time_near_its_goal_changes_nothing(usage, filler):
    control = PaceControl()
    filler.pace = 50
    for now_s in (0.0, 3.0, 6.0):
        assert look(control, usage, GOAL_MS * 0.9, now_s) == []


def test_without_a_goal_nothing_is_slowed(usage):
    usage.step_by_task[SERVING.id] = attrs.evolve(
        usage.step_by_task[SERVING.id], goal_ms=0.0
    )
    assert look(PaceControl(), usage, 1000.0, 0.0) == []
