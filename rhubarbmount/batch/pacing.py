"""Paces best-effort tasks beside latency-sensitive ones; performs no I/O."""

from collections.abc import Iterable

import attrs

from rhubarbmount.batch.model import RunReport, Task
from rhubarbmount.batch.server_usage import ServerUsage

__all__ = ["FULL_PACE", "UNKNOWN_PACE", "PaceCommand", "PaceControl"]

FULL_PACE = 100
REDUCED_PACE = 50
PACE_INCREMENT = 25
# Assumed of a run that an earlier holder paced, so that it is told its pace anew.
UNKNOWN_PACE = FULL_PACE - PACE_INCREMENT
# Below this ratio of response time to goal, best-effort tasks may speed up again.
RECOVERY_RATIO = 0.7
RECOVERY_DELAY_S = 2.0


@attrs.frozen
class PaceCommand:
    """Decision to limit a run to a percentage of its full speed."""

    task: Task
    run: int
    percent: int


@attrs.define(eq=False)
class PaceControl:
    """Slows best-effort tasks while a task on the same server misses its goal.

    They are slowed at once, to half speed and then to a stop, and speed up in steps
    while response times stay well below their goals.
    """

    _recovered_since_s: dict[str, float] = attrs.field(factory=dict)

    def decide(
        self, usage: ServerUsage, reports: Iterable[RunReport], now_s: float
    ) -> list[PaceCommand]:
        """Return the pace commands that the reports of a backend server call for."""
        best_effort_tasks = self._best_effort_tasks(usage)
        if not best_effort_tasks:
            self._recovered_since_s.pop(usage.server.id, None)
            return []
        worst_ratio = self._worst_latency_ratio(usage, reports)
        if worst_ratio > 1:
            self._recovered_since_s.pop(usage.server.id, None)
            return [
                _command(task, _next_lower_pace(task.pace))
                for task in best_effort_tasks
                if task.pace
            ]
        if worst_ratio > RECOVERY_RATIO:
            self._recovered_since_s.pop(usage.server.id, None)
            return []
        return self._speed_up(usage, best_effort_tasks, now_s)

    def _speed_up(
        self, usage: ServerUsage, best_effort_tasks: list[Task], now_s: float
    ) -> list[PaceCommand]:
        recovered_since_s = self._recovered_since_s.setdefault(usage.server.id, now_s)
        slowed = [task for task in best_effort_tasks if task.pace < FULL_PACE]
        if not slowed or now_s < recovered_since_s + RECOVERY_DELAY_S:
            return []
        self._recovered_since_s[usage.server.id] = now_s
        return [
            _command(task, min(FULL_PACE, task.pace + PACE_INCREMENT))
            for task in slowed
        ]

    @staticmethod
    def _best_effort_tasks(usage: ServerUsage) -> list[Task]:
        return [
            task
            for task in usage.task_by_id.values()
            if usage.step_by_task[task.id].fills and not task.is_stopping
        ]

    @staticmethod
    def _worst_latency_ratio(usage: ServerUsage, reports: Iterable[RunReport]) -> float:
        """Return the highest ratio of a response time to its goal."""
        ratios = [0.0]
        for report in reports:
            step = usage.step_by_task.get(report.task)
            if step is not None and step.goal_ms:
                ratios.append(report.gauge / step.goal_ms)
        return max(ratios)


def _next_lower_pace(pace: int) -> int:
    return REDUCED_PACE if pace > REDUCED_PACE else 0


def _command(task: Task, percent: int) -> PaceCommand:
    return PaceCommand(task, task.run, percent)
