"""Detects stalled and unusually slow runs; performs no I/O.

A run is compared with other runs of its step on other backend servers, or, without
any, with what runs of its kind take. Answers the pattern of servers that turn slow
among tasks whose declared run times are wrong by several times.

Each run that is stopped raises the limits for the next run of its task, so that a task
that merely takes long is stopped a few times at most.
"""

import math
import statistics
from collections.abc import Callable, Iterable

import attrs

from rhubarbmount.batch.model import Step, Task, TaskState
from rhubarbmount.batch.pacing import FULL_PACE
from rhubarbmount.batch.run_times import RunTime
from rhubarbmount.batch.server_usage import ServerUsage

__all__ = ["Straggler", "find_straggler", "needs_watch"]

# A run whose percentage does not change for this long is stalled.
STALL_TIMEOUT_S = 1.0
# It doubles with each stalled run of the task, and is at least the time of so many
# percent of a run.
STALL_TIMEOUT_GROWTH = 2.0
STALL_PERCENT = 2.0
# A run is slow if it takes this many times what other runs suggest.
SLOW_FACTOR = 2.2
# Standard deviations above the time of its kind that a run on a sound server may take.
SLOW_DEVIATIONS = 2.5
RESTART_COST_S = 0.4
OVERDUE_FACTOR = 1.3
OVERDUE_MARGIN_S = 0.2


@attrs.frozen
class Straggler:
    """Why a run should be restarted on another backend server.

    ``projected_s`` is the total time at the speed so far, or 0 if it is not known.
    """

    reason: str
    left_s: float
    projected_s: float = 0.0

    @property
    def is_slow(self) -> bool:
        """Return whether the run makes progress, and would end by itself."""
        return self.projected_s > 0.0

    def note_stopped(self, task: Task) -> None:
        """Raise the limits for the next run of a task whose run is stopped."""
        if self.is_slow:
            task.longest_projected_s = max(task.longest_projected_s, self.projected_s)
        else:
            task.stalls += 1


def needs_watch(
    usage: ServerUsage, now_s: float, expected_of: Callable[[Task], RunTime]
) -> bool:
    """Return whether the runs on a backend server should be checked soon."""
    if usage.has_goal and usage.has_fills:
        return True
    for task in usage.task_by_id.values():
        if usage.step_by_task[task.id].is_long_running:
            if task.progress.percent < 100:
                return True
        elif _is_overdue(task, now_s, expected_of):
            return True
    return False


def find_straggler(
    task: Task,
    usage: ServerUsage,
    expected: RunTime,
    siblings: Iterable[Task] = (),
) -> Straggler | None:
    """Return why a run should be restarted elsewhere, or None if it should not.

    ``siblings`` are the tasks of its step. The percentage tells a stalled run from one
    that has only just started, and the remaining time tells a slow run from a long one.
    """
    step = usage.step_by_task[task.id]
    if not _is_comparable(task, step):
        return None
    progress = task.progress
    if progress.unchanged_s > _stall_timeout_s(task, expected):
        return Straggler("stalled", 0.0)
    projected_s = progress.projected_s
    if projected_s is None or progress.elapsed_s < _overdue_after_s(expected):
        return None
    usual_s, longest_s = _reference(task, expected, siblings)
    # An earlier run of the task has shown that it may take long anywhere.
    longest_s = max(longest_s, SLOW_FACTOR * task.longest_projected_s)
    remaining_s = progress.remaining_s(projected_s)
    is_slow = projected_s > longest_s + RESTART_COST_S
    if not is_slow or remaining_s <= usual_s + RESTART_COST_S:
        return None
    if usage.was_sound_during(progress.started_ms, progress.read_ms):
        return None
    return Straggler("slow", remaining_s, projected_s)


def _stall_timeout_s(task: Task, expected: RunTime) -> float:
    """Return for how long the percentage of a run may stay the same."""
    run_time_s = max(expected.expected_s, task.longest_projected_s)
    timeout_s = STALL_TIMEOUT_S * STALL_TIMEOUT_GROWTH**task.stalls
    return max(timeout_s, run_time_s * STALL_PERCENT / 100)


def _is_comparable(task: Task, step: Step) -> bool:
    if step.is_long_running or step.is_gang or task.is_stopping:
        return False
    return bool(task.acknowledged_s) and task.pace >= FULL_PACE


def _reference(
    task: Task, expected: RunTime, siblings: Iterable[Task]
) -> tuple[float, float]:
    """Return the usual time of such a run, and the longest on a sound server."""
    times_s = [
        time_s
        for sibling in siblings
        if sibling.server_id != task.server_id
        and (time_s := _time_of(sibling)) is not None
    ]
    if times_s:
        usual_s = statistics.median(times_s)
        return usual_s, SLOW_FACTOR * usual_s
    usual_s = expected.expected_s
    if not usual_s:
        return 0.0, math.inf
    return usual_s, max(SLOW_FACTOR * usual_s, expected.upper_s(SLOW_DEVIATIONS))


def _time_of(task: Task) -> float | None:
    """Return the time that a task took, or the projected time of its run."""
    if task.state is TaskState.DONE:
        return task.took_s or None
    return task.progress.projected_s if task.state is TaskState.ASSIGNED else None


def _own_elapsed_s(task: Task, now_s: float) -> float:
    """Return the time since the later of assignment and acknowledgement."""
    return now_s - max(task.assigned_s, task.acknowledged_s)


def _is_overdue(
    task: Task, now_s: float, expected_of: Callable[[Task], RunTime]
) -> bool:
    """Return whether a run is older than expected; young runs need no estimate."""
    elapsed_s = _own_elapsed_s(task, now_s)
    if elapsed_s <= OVERDUE_MARGIN_S:
        return False
    return elapsed_s > _overdue_after_s(expected_of(task))


def _overdue_after_s(expected: RunTime) -> float:
    return expected.expected_s * OVERDUE_FACTOR + OVERDUE_MARGIN_S
