"""Room on backend servers, by what has been assigned to them."""

import attrs

from rhubarbmount.batch.model import Server, Step, Task, TaskId

__all__ = ["FAILURE_COOLDOWN_S", "ServerUsage"]

FAILURE_THRESHOLD = 2
FAILURE_COOLDOWN_S = 4.0


@attrs.define(eq=False)
class ServerUsage:
    """One backend server, the tasks assigned to it, and the room that is left.

    ``is_closed`` keeps new tasks away while it is emptied, and ``has_pending_command``
    while an order to its host is under way. ``idle_since_s`` is the time of the last
    end of a task, or of its arrival.
    """

    server: Server
    idle_since_s: float
    is_listed: bool = True
    # Not before its first answer to this holder, which lists what runs there.
    is_reachable: bool = False
    is_closed: bool = False
    has_pending_command: bool = False
    # Its host waits for maintenance.
    is_due: bool = False
    full_until_s: float = 0.0
    # Runs here were seen to be slow or to stand still.
    slow_until_s: float = 0.0
    failures_in_a_row: int = 0
    failed_at_s: float = 0.0
    used_cpu_millicores: int = 0
    used_memory_mb: int = 0
    used_gpu: int = 0
    task_by_id: dict[TaskId, Task] = attrs.field(factory=dict)
    step_by_task: dict[TaskId, Step] = attrs.field(factory=dict)
    count_by_step: dict[tuple[str, int, int], int] = attrs.field(factory=dict)

    @property
    def free_cpu_millicores(self) -> int:
        """Return the processor time that is not assigned."""
        return self.server.cpu_millicores - self.used_cpu_millicores

    @property
    def long_running_cpu_millicores(self) -> int:
        """Return the processor time of the long-running tasks."""
        return sum(
            step.cpu_millicores
            for step in self.step_by_task.values()
            if step.is_long_running and not step.fills
        )

    @property
    def is_idle(self) -> bool:
        """Tell whether nothing is assigned here."""
        return not self.task_by_id

    @property
    def has_long_running(self) -> bool:
        """Tell whether a long-running task is assigned here."""
        return any(step.is_long_running for step in self.step_by_task.values())

    @property
    def has_goal(self) -> bool:
        """Tell whether a task here has users whose response times are watched."""
        return any(step.goal_ms for step in self.step_by_task.values())

    @property
    def has_fills(self) -> bool:
        """Tell whether a task here uses what others leave."""
        return any(step.fills for step in self.step_by_task.values())

    def is_open(self, now_s: float) -> bool:
        """Tell whether new tasks may be assigned here."""
        if (
            self.is_closed
            or self.has_pending_command
            or now_s < max(self.full_until_s, self.slow_until_s)
        ):
            return False
        if not self.is_listed or not self.is_reachable:
            return False
        return not self.server.is_draining and not self.is_failing(now_s)

    def is_failing(self, now_s: float) -> bool:
        """Tell whether the last tasks here failed one after the other."""
        if self.failures_in_a_row < FAILURE_THRESHOLD:
            return False
        return now_s < self.failed_at_s + FAILURE_COOLDOWN_S

    def fits(self, step: Step) -> bool:
        """Tell whether one more task of a step has room."""
        cpu = 0 if step.fills else step.cpu_millicores
        return (
            self.used_cpu_millicores + cpu <= self.server.cpu_millicores
            and self.used_memory_mb + step.memory_mb <= self.server.memory_mb
            and self.used_gpu + step.gpu <= self.server.gpu
        )

    def fits_among_long_running(self, step: Step) -> bool:
        """Tell whether a task has room when all tasks that end have ended."""
        long_running_steps = [
            step for step in self.step_by_task.values() if step.is_long_running
        ]
        cpu = sum(
            other.cpu_millicores for other in long_running_steps if not other.fills
        )
        memory = sum(other.memory_mb for other in long_running_steps)
        added = 0 if step.fills else step.cpu_millicores
        return (
            cpu + added <= self.server.cpu_millicores
            and memory + step.memory_mb <= self.server.memory_mb
        )

    def count_of(self, task_id: TaskId) -> int:
        """Return how many tasks of the same step and occurrence are here."""
        return self.count_by_step.get(task_id[:3], 0)

    def add(self, task: Task, step: Step) -> None:
        """Take the room of a task."""
        self.task_by_id[task.id] = task
        self.step_by_task[task.id] = step
        self.count_by_step[task.id[:3]] = self.count_of(task.id) + 1
        self._adjust_usage(step, 1)

    def remove(self, task_id: TaskId, now_s: float) -> None:
        """Give back the room of a task."""
        if self.task_by_id.pop(task_id, None) is None:
            return
        self._adjust_usage(self.step_by_task.pop(task_id), -1)
        remaining = self.count_by_step.pop(task_id[:3]) - 1
        if remaining:
            self.count_by_step[task_id[:3]] = remaining
        self.idle_since_s = now_s

    def _adjust_usage(self, step: Step, sign: int) -> None:
        if not step.fills:
            self.used_cpu_millicores += sign * step.cpu_millicores
        self.used_memory_mb += sign * step.memory_mb
        self.used_gpu += sign * step.gpu
