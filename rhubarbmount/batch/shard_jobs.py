"""Jobs of one shard, and which of their tasks wait or are assigned; free of I/O.

Each change adds the job's id to ``dirty``. Nothing takes effect outside the process
before the rows of the dirty jobs have been committed.
"""

import math
from collections import Counter
from collections.abc import Iterator, Sequence

import attrs

from rhubarbmount.batch.catalogue import Catalogue
from rhubarbmount.batch.demand import DemandMeter
from rhubarbmount.batch.dispatch_delay import DispatchDelay
from rhubarbmount.batch.loss_tracker import LossTracker
from rhubarbmount.batch.model import (
    Host,
    Job,
    JobSpec,
    JobState,
    Queue,
    QueueName,
    Step,
    StopReason,
    Task,
    TaskId,
    TaskState,
)
from rhubarbmount.batch.pacing import FULL_PACE
from rhubarbmount.batch.run_progress import RunProgress
from rhubarbmount.batch.run_times import RunTime, RunTimes, kind_of
from rhubarbmount.batch.server_losses import is_to_blame, may_be_chance
from rhubarbmount.batch.server_usage import ServerUsage
from rhubarbmount.batch.unreadable_jobs import UnreadableJobs

__all__ = ["ShardJobs", "StepKey", "Stop"]

StepKey = tuple[str, int, int]

# Further occurrences of a job get tasks when fewer than this wait in one of its first
# steps, as each pass looks at all that wait.
MAX_WAITING_PER_STEP = 200


@attrs.frozen
class Stop:
    """Request to stop a run."""

    server_id: str
    task: TaskId
    run: int
    reason: StopReason


@attrs.define(eq=False)
class ShardJobs:
    """Jobs by id, steps with waiting tasks, and resource usage by backend server."""

    catalogue: Catalogue
    # Wall-clock and monotonic time, set before each change.
    wall_clock_s: float = 0.0
    now_s: float = 0.0
    job_by_id: dict[str, Job] = attrs.field(factory=dict)
    unreadable_jobs: UnreadableJobs = attrs.field(factory=UnreadableJobs)
    usage_by_server_id: dict[str, ServerUsage] = attrs.field(factory=dict)
    # The lifetimes of each server, the one that began last at the end.
    usages_by_server_name: dict[str, list[ServerUsage]] = attrs.field(factory=dict)
    waiting_by_step: dict[StepKey, dict[int, Task]] = attrs.field(factory=dict)
    dirty: set[str] = attrs.field(factory=set)
    stops: list[Stop] = attrs.field(factory=list)
    run_times: RunTimes = attrs.field(factory=RunTimes)
    dispatch_delay: DispatchDelay = attrs.field(factory=DispatchDelay)
    demand: DemandMeter = attrs.field(factory=DemandMeter)
    # Until when the capacities that were read last may be relied on.
    capacities_hold_until_s: float = math.inf
    losses: LossTracker = attrs.field(
        default=attrs.Factory(lambda shard: LossTracker(shard.now_s), takes_self=True)
    )
    # Steps with tasks that have lost servers.
    steps_with_losses: set[StepKey] = attrs.field(factory=set)
    # For jobs of older builds, which do not store what their queue was.
    _removed_queue_by_name: dict[QueueName, Queue] = attrs.field(factory=dict)
    _remaining_tasks_by_job_id: dict[str, int] = attrs.field(factory=dict)
    # Jobs of which no run is known to have begun.
    _unbegun_job_ids: set[str] = attrs.field(factory=set)
    # Jobs with occurrences that have no tasks yet.
    _timed_job_ids: set[str] = attrs.field(factory=set)
    # Waiting tasks of all occurrences, by job and step.
    _waiting_by_job_step: Counter[tuple[str, int]] = attrs.field(factory=Counter)
    _tasks_by_unknown_server_id: dict[str, list[Task]] = attrs.field(factory=dict)

    def set_time(self, now_s: float, wall_clock_s: float) -> None:
        """Set the times that the next changes are recorded with."""
        self.now_s = now_s
        self.wall_clock_s = wall_clock_s

    # Jobs.

    def add_job(self, job: Job) -> None:
        """Add a job, either new or restored from its rows."""
        spec = job.spec
        if spec.job_id in self.job_by_id:
            return
        self.job_by_id[spec.job_id] = job
        if job.state.is_final:
            return
        done = sum(task.state is TaskState.DONE for task in job.tasks())
        self._remaining_tasks_by_job_id[spec.job_id] = job.layout.task_count - done
        for task in job.tasks():
            self._index(task)
        if not _has_begun(job):
            self._unbegun_job_ids.add(spec.job_id)
        self._resume_occurrences(job)
        self._open_due_of(job)

    def _index(self, task: Task) -> None:
        if task.losses:
            self.losses.watch(task)
            self.steps_with_losses.add(task.id[:3])
        if task.state is TaskState.WAITING:
            self._add_waiting(task)
        elif task.state is TaskState.ASSIGNED:
            usage = self.usage_by_server_id.get(task.server_id)
            if usage is None:
                self._tasks_by_unknown_server_id.setdefault(task.server_id, []).append(
                    task
                )
            else:
                usage.add(task, self.step_of(task.id))

    def _resume_occurrences(self, job: Job) -> None:
        """Create the tasks that are missing in the occurrences that were restored."""
        job.undone_by_step = {
            key: sum(task.state is not TaskState.DONE for task in tasks)
            for key, tasks in job.tasks_by_step.items()
        }
        opened = (occurrence for occurrence, _ in job.tasks_by_step)
        job.opened_occurrences = max(opened, default=-1) + 1
        for occurrence in range(job.opened_occurrences):
            self._create_ready_tasks_of(job, occurrence)

    def _open_due_of(self, job: Job) -> None:
        """Create the tasks of the next occurrences that are due."""
        count = job.spec.occurrence_count
        while job.opened_occurrences < count and self._may_open_next(job):
            self._create_ready_tasks_of(job, job.opened_occurrences)
            job.opened_occurrences += 1
        if job.opened_occurrences < count:
            self._timed_job_ids.add(job.spec.job_id)
        else:
            self._timed_job_ids.discard(job.spec.job_id)

    def _may_open_next(self, job: Job) -> bool:
        spec = job.spec
        if not spec.is_timed:
            return True
        due_s = spec.start_s + job.opened_occurrences * spec.period_s
        return self.wall_clock_s >= due_s and any(
            self._waiting_by_job_step[spec.job_id, index] < MAX_WAITING_PER_STEP
            for index, step in enumerate(spec.steps)
            if not step.after
        )

    def _create_ready_tasks_of(self, job: Job, occurrence: int) -> None:
        """Create the tasks of the steps whose dependencies are done."""
        for step_index, step in enumerate(job.spec.steps):
            if (occurrence, step_index) in job.tasks_by_step:
                continue
            if all(
                self._is_done(job, occurrence, dependency) for dependency in step.after
            ):
                tasks = job.start_step(occurrence, step_index)
                job.undone_by_step[occurrence, step_index] = step.count
                self.demand.note_step(
                    self.pool_of(job.spec),
                    step,
                    self.expected_run_time(job.spec, step_index).expected_s,
                    self.now_s,
                )
                for task in tasks:
                    self._add_waiting(task)

    @staticmethod
    def _is_done(job: Job, occurrence: int, step: int) -> bool:
        return job.undone_by_step.get((occurrence, step)) == 0

    def open_due(self) -> None:
        """Create the tasks of timed jobs whose next occurrences are due."""
        for job_id in list(self._timed_job_ids):
            self._open_due_of(self.job_by_id[job_id])

    def cancel(self, job_id: str) -> None:
        """Cancel a job at its caller's request and stop its runs."""
        self.unreadable_jobs.cancel(job_id)
        job = self.job_by_id.get(job_id)
        if job is not None and not job.state.is_final:
            self._finish(job, JobState.CANCELLED)

    def forget(self, job_id: str) -> None:
        """Remove a job that has ended."""
        self.job_by_id.pop(job_id, None)

    def _finish(self, job: Job, state: JobState) -> None:
        job.state = state
        job.ended_s = self.wall_clock_s
        self.dirty.add(job.spec.job_id)
        self._timed_job_ids.discard(job.spec.job_id)
        self._remaining_tasks_by_job_id.pop(job.spec.job_id, None)
        self._unbegun_job_ids.discard(job.spec.job_id)
        for index in range(len(job.spec.steps)):
            self._waiting_by_job_step.pop((job.spec.job_id, index), None)
        for task in job.tasks():
            self.waiting_by_step.pop(task.id[:3], None)
            self.steps_with_losses.discard(task.id[:3])
            if task.state is TaskState.ASSIGNED:
                self.stop_run(task, job.stop_reason)

    def _count_done(self, job: Job, task: Task) -> None:
        key = task.id.occurrence, task.id.step
        job.undone_by_step[key] -= 1
        if job.state.is_final:
            return
        remaining = self._remaining_tasks_by_job_id[job.spec.job_id] - 1
        self._remaining_tasks_by_job_id[job.spec.job_id] = remaining
        if remaining == 0:
            self._finish(job, JobState.COMPLETE)
        elif not job.undone_by_step[key]:
            self._create_ready_tasks_of(job, task.id.occurrence)

    def stop_run(self, task: Task, reason: StopReason) -> None:
        """Request that the current run of a task be stopped."""
        task.is_stopping = True
        self.stops.append(Stop(task.server_id, task.id, task.run, reason))

    # Lookups.

    def usages_on(self, host: Host) -> Sequence[ServerUsage]:
        """Return the lifetimes of the server on a host; all but one have ended."""
        return self.usages_by_server_name.get(host.server_name, ())

    def is_latest_lifetime(self, usage: ServerUsage) -> bool:
        """Return whether no lifetime of the server is known that began later."""
        return self.usages_by_server_name[usage.server.name][-1] is usage

    def step_of(self, task_id: TaskId) -> Step:
        """Return the step that a task belongs to."""
        return self.job_by_id[task_id.job_id].spec.steps[task_id.step]

    def expected_run_time(self, spec: JobSpec, step: int) -> RunTime:
        """Return what a run of a step is expected to take."""
        return self.run_times.estimate(kind_of(spec, step), spec.steps[step].estimate_s)

    def expected_run_times_s(self, spec: JobSpec) -> tuple[float, ...]:
        """Return the expected run time of a task of each step."""
        return tuple(
            self.expected_run_time(spec, step).expected_s
            for step in range(len(spec.steps))
        )

    def expected_run_time_of(self, task: Task) -> RunTime:
        """Return what a run of a task is expected to take; 0 s if its job is gone."""
        job = self.job_by_id.get(task.id.job_id)
        if job is None:
            return RunTime(0.0)
        return self.expected_run_time(job.spec, task.id.step)

    def siblings_of(self, task: Task) -> list[Task]:
        """Return all tasks of the step and occurrence that a task belongs to."""
        job = self.job_by_id[task.id.job_id]
        return job.tasks_by_step[task.id.occurrence, task.id.step]

    def find_step(self, task_id: TaskId) -> Step | None:
        """Return the step that a listed run belongs to, or None if it is unknown."""
        job = self.job_by_id.get(task_id.job_id)
        if job is None:
            return self.unreadable_jobs.find_step(task_id)
        if not 0 <= task_id.step < len(job.spec.steps):
            return None
        return job.spec.steps[task_id.step]

    def task(self, task_id: TaskId) -> Task | None:
        """Return a task, or None if its job is unknown or its step has not started."""
        job = self.job_by_id.get(task_id.job_id)
        if job is None:
            return None
        tasks = job.tasks_by_step.get((task_id.occurrence, task_id.step), ())
        return tasks[task_id.number] if task_id.number < len(tasks) else None

    def may_run_elsewhere(self, task: Task, usage: ServerUsage, now_s: float) -> bool:
        """Return whether another server takes new tasks and could run a task.

        It may have to wait there until short tasks have ended.
        """
        step = self.step_of(task.id)
        return any(
            other.is_open(now_s)
            for other in self.accepting_beside(usage, step, task.id)
        )

    def accepting_beside(
        self, usage: ServerUsage, step: Step, task_id: TaskId
    ) -> Iterator[ServerUsage]:
        """Yield the other servers of a pool that could run a task, open or not."""
        for other in self.usage_by_server_id.values():
            is_in_pool = other.server.service == usage.server.service
            if other is not usage and is_in_pool and other.accepts(step, task_id):
                yield other

    def knows_capacity(self, usage: ServerUsage, now_s: float) -> bool:
        """Return whether a server may be filled up to the capacity that was read."""
        if now_s <= self.capacities_hold_until_s:
            return True
        return self.catalogue.guards_capacity(usage.server.service)

    def is_on_trial(self, task: Task) -> bool:
        """Return whether a task has a server of its own, as it may crash it."""
        usage = self.usage_by_server_id.get(task.server_id)
        return usage is not None and task.id in usage.suspect_ids

    def is_end_trial(self, task: Task) -> bool:
        """Return whether a task's run shows whether its server lists ends."""
        usage = self.usage_by_server_id.get(task.server_id)
        if usage is None or usage.ends.are_certain:
            return False
        return not self.step_of(task.id).is_long_running

    def set_catalogue(self, catalogue: Catalogue) -> None:
        """Apply a version of the configuration; keep what it removes."""
        for name, queue in self.catalogue.queue_by_name.items():
            if name not in catalogue.queue_by_name:
                self._removed_queue_by_name[name] = queue
        self.catalogue = catalogue

    def queue_of(self, spec: JobSpec) -> Queue | None:
        """Return the queue of a job, or None if nothing is known of it any more.

        Jobs of a removed queue keep what it was when they were accepted.
        """
        return (
            self.catalogue.queue_by_name.get(spec.queue)
            or spec.queue_settings
            or self._removed_queue_by_name.get(spec.queue)
        )

    def pool_of(self, spec: JobSpec) -> str:
        """Return the pool that runs a job; a removed queue keeps its last pool."""
        queue = self.queue_of(spec)
        return spec.service if queue is None else queue.service

    def count_pending(self) -> dict[QueueName, int]:
        """Return the number of jobs in each queue that have not started."""
        counts: dict[QueueName, int] = {}
        for job_id in list(self._unbegun_job_ids):
            job = self.job_by_id[job_id]
            if _has_begun(job):
                self._unbegun_job_ids.discard(job_id)
            else:
                counts[job.spec.queue] = counts.get(job.spec.queue, 0) + 1
        return counts

    def unavailable_count(self, key: StepKey, besides: Task | None = None) -> int:
        """Return how many tasks of a long-running step, but one, may be unavailable."""
        job = self.job_by_id[key[0]]
        tasks = job.tasks_by_step.get((key[1], key[2]), ())
        return sum(
            task is not besides and not self.is_available(task) for task in tasks
        )

    def is_available(self, task: Task) -> bool:
        """Return whether a long-running task was recently seen to run at full speed."""
        usage = self.usage_by_server_id.get(task.server_id)
        if usage is None or not usage.is_reachable or task.is_stopping:
            return False
        return task.state is TaskState.ASSIGNED and task.progress.percent >= 100

    # Assignments.

    def assign(self, task: Task, usage: ServerUsage, now_s: float) -> None:
        """Assign the next run of a waiting task to a backend server."""
        self._remove_waiting(task)
        task.state = TaskState.ASSIGNED
        task.run += 1
        task.server_id = usage.server.id
        task.assigned_s = now_s
        task.sent_s = 0.0
        task.progress = RunProgress(is_whole=not task.checkpoint)
        task.pace = FULL_PACE
        task.acknowledged_s = 0.0
        task.is_stopping = False
        task.wants_calm_since_s = task.wants_own_server_since_s = 0.0
        job = self.job_by_id[task.id.job_id]
        job.state = JobState.ACTIVE
        usage.add(task, self.step_of(task.id))
        self.note_changed(task)

    def release(self, task: Task, now_s: float) -> None:
        """Remove a task from its server; let it wait again unless it is done."""
        usage = self.usage_by_server_id.get(task.server_id)
        if usage is not None:
            usage.remove(task.id, now_s)
        self.note_begun(task)
        if task.state is TaskState.DONE:
            return
        task.state = TaskState.WAITING
        task.server_id = ""
        task.is_stopping = False
        job = self.job_by_id.get(task.id.job_id)
        if job is not None and not job.state.is_final:
            self._add_waiting(task)
            self.note_changed(task)

    def note_changed(self, task: Task) -> None:
        """Store the state of a task with the next commit."""
        self.job_by_id[task.id.job_id].note_changed(task)
        self.dirty.add(task.id.job_id)

    def note_begun(self, task: Task) -> None:
        """Count a job as begun for good if a run of the task is known to have begun."""
        if _is_begun(task):
            self._unbegun_job_ids.discard(task.id.job_id)

    def _hold_if_to_blame(self, task: Task) -> None:
        """Start a waiting task that lasts no more if it crashes its servers.

        Its job has no limit on attempts and goes on without it.
        """
        is_waiting = task.state is TaskState.WAITING and not task.is_held
        is_long_running = self.step_of(task.id).is_long_running
        if is_waiting and is_long_running and self._is_to_blame(task):
            task.is_held = True
            self._remove_waiting(task)
            self.losses.held.append(task)

    def _is_to_blame(self, task: Task) -> bool:
        """Return whether a task crashes its servers, more than are lost anyhow."""
        if not is_to_blame(task.losses):
            return False
        pool = self.pool_of(self.job_by_id[task.id.job_id].spec)
        usages = self.usage_by_server_id.values()
        servers = sum(usage.server.service == pool for usage in usages)
        losses_per_server_s = self.losses.losses_per_server_s(
            pool, servers, task.id.job_id, self.now_s
        )
        return not may_be_chance(task.losses, losses_per_server_s)

    def _release_if_blameless(self, task: Task) -> None:
        """Let a held task wait again if its servers were not lost."""
        job = self.job_by_id.get(task.id.job_id)
        is_needed = job is not None and not job.state.is_final
        if task.is_held and is_needed and not is_to_blame(task.losses):
            task.is_held = False
            self._add_waiting(task)

    def _add_waiting(self, task: Task) -> None:
        if task.is_held:
            return
        waiting = self.waiting_by_step.setdefault(task.id[:3], {})
        if task.id.number not in waiting:
            self._waiting_by_job_step[task.id.job_id, task.id.step] += 1
        waiting[task.id.number] = task
        if task.losses:
            self._hold_if_to_blame(task)

    def _remove_waiting(self, task: Task) -> None:
        waiting = self.waiting_by_step.get(task.id[:3])
        if waiting is None:
            return
        if waiting.pop(task.id.number, None) is not None:
            self._waiting_by_job_step[task.id.job_id, task.id.step] -= 1
        if not waiting:
            del self.waiting_by_step[task.id[:3]]


def _is_begun(task: Task) -> bool:
    """Return whether a task has ended, or its current run is known to have begun."""
    if task.state is TaskState.DONE or task.failures or task.checkpoint:
        return True
    return task.state is TaskState.ASSIGNED and task.progress.started_ms > 0


def _has_begun(job: Job) -> bool:
    return job.state is not JobState.QUEUED and any(map(_is_begun, job.tasks()))
