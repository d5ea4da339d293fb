"""Detects stalled and unusually slow runs; performs no I/O."""

import attrs

from rhubarbmount.batch.model import Step, Task
from rhubarbmount.batch.pacing import FULL_PACE
from rhubarbmount.batch.server_usage import ServerUsage

__all__ = ["find_straggler", "needs_watch"]

# A run whose percentage does not change for this long is stalled.
STALL_TIMEOUT_S = 1.0
# Estimates are rough, so only a run far beyond its own estimate counts as slow.
SLOW_FACTOR = 2.2
MIN_PERCENT_FOR_ESTIMATE = 3
RESTART_COST_S = 0.4
OVERDUE_FACTOR = 1.3
OVERDUE_MARGIN_S = 0.2


@attrs.frozen
class Straggler:
    """Why a run should be restarted on another backend server."""

    reason: str
    left_s: float


def needs_watch(usage: ServerUsage, now_s: float) -> bool:
    """Return whether the runs on a backend server should be checked soon."""
    if usage.has_goal and usage.has_fills:
        return True
    for task in usage.task_by_id.values():
        step = usage.step_by_task[task.id]
        if step.is_long_running:
            if task.percent < 100:
                return True
        elif _elapsed_s(task, now_s) > _overdue_after_s(step):
            return True
    return False


def find_straggler(task: Task, step: Step, now_s: float) -> Straggler | None:
    """Return why a run should be restarted elsewhere, or None if it should not.

    The percentage tells a stalled run from one that has only just started, and the
    remaining time tells a slow run from a long one.
    """
    if step.is_long_running or step.is_gang or task.is_stopping:
        return None
    if not task.acknowledged_s or task.pace < FULL_PACE:
        return None
    if (
        now_s - max(task.progressed_s, task.acknowledged_s) > STALL_TIMEOUT_S
        and now_s - task.percent_read_s < STALL_TIMEOUT_S
    ):
        return Straggler("stalled", 0.0)
    elapsed_s = _elapsed_s(task, now_s)
    if task.percent < MIN_PERCENT_FOR_ESTIMATE or elapsed_s < _overdue_after_s(step):
        return None
    estimated_total_s = elapsed_s * 100 / task.percent
    remaining_s = estimated_total_s - elapsed_s
    is_slow = estimated_total_s > SLOW_FACTOR * step.estimate_s + RESTART_COST_S
    if is_slow and remaining_s > step.estimate_s + RESTART_COST_S:
        return Straggler("slow", remaining_s)
    return None


def _elapsed_s(task: Task, now_s: float) -> float:
    """Return the run time since the later of assignment and acknowledgement."""
    return now_s - max(task.assigned_s, task.acknowledged_s)


def _overdue_after_s(step: Step) -> float:
    return step.estimate_s * OVERDUE_FACTOR + OVERDUE_MARGIN_S
