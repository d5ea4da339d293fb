"""Resource usage of backend servers, computed from their assigned tasks."""

import attrs

from rhubarbmount.batch.lifetime_ends import LifetimeEnds
from rhubarbmount.batch.model import Server, Step, Task, TaskId

__all__ = ["FAILURE_COOLDOWN_S", "ServerUsage"]

FAILURE_THRESHOLD = 2
FAILURE_COOLDOWN_S = 4.0


@attrs.define(eq=False)
class ServerUsage:
    """Backend server with its assigned tasks and the resources that its runs use.

    Runs that are not the current one of an assigned task, and are being stopped, use
    resources until the server no longer lists them.

    No new tasks are assigned while ``is_closed`` is set, because the server is being
    drained, or while ``has_pending_command`` is set, because a command to its host is
    in progress. ``idle_since_s`` is the time at which a task was last removed or, if
    none has been, at which the server was added.
    """

    server: Server
    idle_since_s: float
    is_listed: bool = True
    # Set only after the first response to this holder, which lists the runs there.
    is_reachable: bool = False
    is_closed: bool = False
    # Set while the host is emptied for another pool.
    is_emptying: bool = False
    has_pending_command: bool = False
    # Set while the host is waiting for maintenance.
    is_due: bool = False
    # Set while it waits for another server of its pool to take its tasks.
    awaits_place: bool = False
    # Set while its lease may last longer than a next holder would wait.
    has_long_lease: bool = False
    # Set while runs of a job that can't be read are listed.
    has_runs_left_alone: bool = False
    # Whether the ends of runs here are listed, which decides what may run.
    ends: LifetimeEnds = attrs.field(factory=LifetimeEnds)
    full_until_s: float = 0.0
    # Set after runs on the server were found to be slow or stalled.
    slow_until_s: float = 0.0
    failures_in_a_row: int = 0
    failed_at_s: float = 0.0
    used_cpu_millicores: int = 0
    used_memory_mb: int = 0
    used_gpu: int = 0
    long_running_cpu_millicores: int = 0
    task_by_id: dict[TaskId, Task] = attrs.field(factory=dict)
    step_by_task: dict[TaskId, Step] = attrs.field(factory=dict)
    count_by_step: dict[tuple[str, int, int], int] = attrs.field(factory=dict)
    # Tasks that have lost servers before, and those of them that have to run alone.
    ids_with_losses: set[TaskId] = attrs.field(factory=set)
    suspect_ids: set[TaskId] = attrs.field(factory=set)
    # Start and end, on the server's clock, of the last run that took a normal time.
    _sound_run_ms: tuple[int, int] = (0, 0)
    _stray_steps: list[Step | None] = attrs.field(factory=list)
    _long_running_count: int = 0
    _long_running_memory_mb: int = 0
    _long_running_gpu: int = 0
    _goal_count: int = 0
    _fills_count: int = 0

    @property
    def free_cpu_millicores(self) -> int:
        """Return the CPU capacity that is not assigned."""
        return self.server.cpu_millicores - self.used_cpu_millicores

    @property
    def is_idle(self) -> bool:
        """Return whether no tasks are assigned to the server."""
        return not self.task_by_id

    @property
    def has_runs(self) -> bool:
        """Return whether anything may run on the server."""
        return bool(self.task_by_id or self._stray_steps)

    @property
    def has_long_running(self) -> bool:
        """Return whether a long-running task is assigned to the server."""
        return self._long_running_count > 0

    @property
    def has_ending_runs(self) -> bool:
        """Return whether anything may run here that does not last."""
        has_ending_tasks = len(self.task_by_id) > self._long_running_count
        return has_ending_tasks or bool(self._stray_steps)

    @property
    def has_goal(self) -> bool:
        """Return whether an assigned task has a response time goal."""
        return self._goal_count > 0

    @property
    def has_fills(self) -> bool:
        """Return whether an assigned task runs on otherwise unused CPU time."""
        return self._fills_count > 0

    @property
    def is_leaving(self) -> bool:
        """Return whether a drain or a command to its host ends the lifetime."""
        return self.has_pending_command or self.server.is_draining

    @property
    def stays(self) -> bool:
        """Return whether the server answers and is not about to leave its pool."""
        return (
            self.is_listed
            and self.is_reachable
            and not self.is_closed
            and not self.is_leaving
        )

    def will_take(self, step: Step) -> bool:
        """Return whether tasks of a step may run here, once a doubt is settled.

        The ends of those that last do not matter, as they begin again in any case.
        """
        return step.is_long_running or not self.ends.are_forgotten

    def needs_trial(self, now_s: float, may_rest: bool = True) -> bool:
        """Return whether a run should show now whether its end is listed."""
        return self.ends.needs_trial(now_s, may_rest) and not self.has_ending_runs

    def is_open(self, now_s: float) -> bool:
        """Return whether new tasks may be assigned to the server."""
        if (
            self.is_closed
            or self.is_emptying
            or self.is_leaving
            or self.has_long_lease
            or now_s < max(self.full_until_s, self.slow_until_s)
        ):
            return False
        if not self.is_listed or not self.is_reachable or None in self._stray_steps:
            return False
        return not self.is_failing(now_s)

    def is_failing(self, now_s: float) -> bool:
        """Return whether tasks failed in a row, the last within the cooldown period."""
        if self.failures_in_a_row < FAILURE_THRESHOLD:
            return False
        return now_s < self.failed_at_s + FAILURE_COOLDOWN_S

    @property
    def is_within_capacity(self) -> bool:
        """Return whether the server has room for all that is assigned to it.

        It may have shrunk since.
        """
        return (
            self.used_cpu_millicores <= self.server.cpu_millicores
            and self.used_memory_mb <= self.server.memory_mb
            and self.used_gpu <= self.server.gpu
        )

    def fits(self, step: Step) -> bool:
        """Return whether the free resources suffice for one more task of a step."""
        cpu = 0 if step.fills else step.cpu_millicores
        return (
            self.used_cpu_millicores + cpu <= self.server.cpu_millicores
            and self.used_memory_mb + step.memory_mb <= self.server.memory_mb
            and self.used_gpu + step.gpu <= self.server.gpu
        )

    def places_for(self, step: Step) -> int:
        """Return how many more tasks of a step the free resources suffice for."""
        cpu = 0 if step.fills else step.cpu_millicores
        needs = (
            (self.free_cpu_millicores, cpu),
            (self.server.memory_mb - self.used_memory_mb, step.memory_mb),
            (self.server.gpu - self.used_gpu, step.gpu),
        )
        limit = step.max_per_server or step.count
        return max(0, min([limit, *(free // need for free, need in needs if need)]))

    def fits_among_long_running(self, step: Step) -> bool:
        """Return whether a task fits once only long-running tasks are left."""
        cpu = 0 if step.fills else step.cpu_millicores
        return (
            self.long_running_cpu_millicores + cpu <= self.server.cpu_millicores
            and self._long_running_memory_mb + step.memory_mb <= self.server.memory_mb
            and self._long_running_gpu + step.gpu <= self.server.gpu
        )

    def accepts(self, step: Step, task_id: TaskId) -> bool:
        """Return whether a task may run here once only long-running tasks are left."""
        return (
            self.will_take(step)
            and self.has_label(step)
            and self.is_below_max_per_server(step, task_id)
            and self.fits_among_long_running(step)
        )

    def has_label(self, step: Step) -> bool:
        """Return whether the server has the label that a step needs."""
        return not step.label or step.label in self.server.labels

    def is_below_max_per_server(self, step: Step, task_id: TaskId) -> bool:
        """Return whether one more task of a step and occurrence may run here."""
        return not step.max_per_server or self.count_of(task_id) < step.max_per_server

    def has_run(self, task_id: TaskId, run: int) -> bool:
        """Return whether a run is the current one of a task of the server."""
        task = self.task_by_id.get(task_id)
        return task is not None and task.run == run

    def count_of(self, task_id: TaskId) -> int:
        """Return the number of assigned tasks of the same step and occurrence."""
        return self.count_by_step.get(task_id[:3], 0)

    def has_only(self, step_key: tuple[str, int, int]) -> bool:
        """Return whether nothing but tasks of one step runs on the server."""
        count = self.count_by_step.get(step_key, 0)
        return count == len(self.task_by_id) and not self._stray_steps

    @property
    def has_one_job(self) -> bool:
        """Return whether all runs on the server are of the same job."""
        job_ids = {task_id.job_id for task_id in self.task_by_id}
        return len(job_ids) == 1 and not self._stray_steps

    def clear_losses(self, task_id: TaskId) -> None:
        """Let other tasks run beside a task that has proved harmless."""
        self.ids_with_losses.discard(task_id)
        self.suspect_ids.discard(task_id)

    def add(self, task: Task, step: Step) -> None:
        """Add a task and the resources that it uses."""
        self.task_by_id[task.id] = task
        if task.losses:
            self.ids_with_losses.add(task.id)
        if task.is_suspect:
            self.suspect_ids.add(task.id)
        self.step_by_task[task.id] = step
        self.count_by_step[task.id[:3]] = self.count_of(task.id) + 1
        self._adjust_usage(step, 1)

    def remove(self, task_id: TaskId, now_s: float) -> None:
        """Remove a task and free its resources."""
        if self.task_by_id.pop(task_id, None) is None:
            return
        self.clear_losses(task_id)
        self._adjust_usage(self.step_by_task.pop(task_id), -1)
        remaining = self.count_by_step.pop(task_id[:3]) - 1
        if remaining:
            self.count_by_step[task_id[:3]] = remaining
        self.idle_since_s = now_s

    def record_sound_run(self, started_ms: int, ended_ms: int) -> None:
        """Record a run that took a normal time; times are on the server's clock."""
        self._sound_run_ms = (started_ms, ended_ms)

    def was_sound_during(self, started_ms: int, read_ms: int) -> bool:
        """Return whether a run of normal speed shows that another one is just long.

        It must have started and ended during the other one, and not in its first half,
        since the server may have turned slow after it.
        """
        sound_started_ms, sound_ended_ms = self._sound_run_ms
        return (
            sound_started_ms >= started_ms
            and 2 * sound_ended_ms >= started_ms + read_ms
        )

    def set_strays(self, steps: list[Step | None]) -> None:
        """Replace the steps of the runs that are being stopped; None is an unknown one.

        No tasks are assigned beside a run whose needs are unknown.
        """
        for step in filter(None, self._stray_steps):
            self._adjust_resources(step, -1)
        for step in filter(None, steps):
            self._adjust_resources(step, 1)
        self._stray_steps = steps

    def _adjust_resources(self, step: Step, sign: int) -> None:
        if not step.fills:
            self.used_cpu_millicores += sign * step.cpu_millicores
        self.used_memory_mb += sign * step.memory_mb
        self.used_gpu += sign * step.gpu

    def _adjust_usage(self, step: Step, sign: int) -> None:
        self._adjust_resources(step, sign)
        self._goal_count += sign * bool(step.goal_ms)
        self._fills_count += sign * step.fills
        if step.is_long_running:
            self._long_running_count += sign
            self._long_running_memory_mb += sign * step.memory_mb
            self._long_running_gpu += sign * step.gpu
            if not step.fills:
                self.long_running_cpu_millicores += sign * step.cpu_millicores
