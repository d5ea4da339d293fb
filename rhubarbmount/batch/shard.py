"""State of one shard: its jobs and the backend servers they run on; free of I/O."""

from collections import Counter
from collections.abc import Iterable

import attrs

from rhubarbmount.batch.lifetimes import born_ms_of
from rhubarbmount.batch.loss_tracker import LostRun
from rhubarbmount.batch.model import (
    Host,
    Job,
    JobSpec,
    JobState,
    RunEnd,
    Server,
    StopReason,
    Task,
    TaskId,
    TaskState,
)
from rhubarbmount.batch.pacing import FULL_PACE, UNKNOWN_PACE
from rhubarbmount.batch.run_progress import RunProgress
from rhubarbmount.batch.run_times import kind_of
from rhubarbmount.batch.server_losses import (
    TRIAL_S,
    ServerEnd,
    ServerLoss,
    is_sound_run,
    outlives,
)
from rhubarbmount.batch.server_usage import ServerUsage
from rhubarbmount.batch.shard_jobs import ShardJobs

__all__ = ["Shard"]

OUTCOME_DONE = "done"
OUTCOME_FAILED = "failed"
# A run that took less than this many times the expected time shows a sound server.
SOUND_FACTOR = 1.5


@attrs.define(eq=False)
class Shard(ShardJobs):
    """Jobs of a shard, the ends of their runs, and the backend servers they run on."""

    # Hosts to which a command is in progress, and the servers listed there.
    _commanded_names: set[str] = attrs.field(factory=set)

    # Ends of runs.

    def end_run(
        self, server_id: str, end: RunEnd, now_s: float, clock_ms: int = 0
    ) -> bool:
        """Record the end of a run; return whether it changed the state of the job.

        ``clock_ms`` is the server's clock when it listed the end, or 0 if unknown.
        """
        task = self.task(end.task)
        if task is None:
            return False
        is_last_run = task.run == end.run and task.server_id == server_id
        if is_last_run and task.state is TaskState.DONE:
            # An earlier run, whose end was reported late, had completed the task.
            self._remove_from_server(task, end, now_s)
            return False
        is_current = is_last_run and task.state is TaskState.ASSIGNED
        if not is_current and not self._is_late_completion(task, end):
            return False
        job = self.job_by_id[end.task.job_id]
        self.note_changed(task)
        if is_current:
            if end.outcome == OUTCOME_DONE:
                self._observe_run_time(job.spec, task, clock_ms)
            self._remove_from_server(task, end, now_s)
        if end.outcome == OUTCOME_DONE and not self.step_of(task.id).is_long_running:
            self._mark_done(job, task, now_s)
        elif end.outcome == OUTCOME_FAILED:
            self._mark_failed(job, task, server_id, is_current)
        elif is_current:
            self._restart(job, task)
        return True

    def _observe_run_time(self, spec: JobSpec, task: Task, clock_ms: int) -> None:
        """Learn from a completed run what runs of its kind take.

        One task of each step is enough, as those of a step take about the same time.
        """
        progress, step = task.progress, self.step_of(task.id)
        is_typical = progress.is_whole and task.pace >= FULL_PACE and not step.is_gang
        if (
            step.is_long_running
            or not is_typical
            or not 0 < progress.started_ms < clock_ms
        ):
            return
        task.took_s = (clock_ms - progress.started_ms) / 1000
        expected = self.expected_run_time(spec, task.id.step)
        if task.took_s < SOUND_FACTOR * expected.expected_s:
            usage = self.usage_by_server_id[task.server_id]
            usage.record_sound_run(progress.started_ms, clock_ms)
        if task.id.number == step.count // 2:
            kind = kind_of(spec, task.id.step)
            self.run_times.observe(kind, step.estimate_s, task.took_s)

    def _is_late_completion(self, task: Task, end: RunEnd) -> bool:
        """Return whether an abandoned run has completed a task that is not yet done."""
        if task.state is TaskState.DONE or end.run > task.run:
            return False
        return end.outcome == OUTCOME_DONE and not self.step_of(task.id).is_long_running

    def _remove_from_server(self, task: Task, end: RunEnd, now_s: float) -> None:
        usage = self.usage_by_server_id.get(task.server_id)
        if usage is not None:
            usage.remove(task.id, now_s)
            self._record_outcome(usage, end.outcome, now_s)
        if end.checkpoint:
            task.checkpoint = end.checkpoint

    @staticmethod
    def _record_outcome(usage: ServerUsage, outcome: str, now_s: float) -> None:
        if outcome == OUTCOME_DONE:
            usage.failures_in_a_row = 0
        elif outcome == OUTCOME_FAILED:
            usage.failures_in_a_row += 1
            usage.failed_at_s = now_s

    def _mark_done(self, job: Job, task: Task, now_s: float) -> None:
        if task.state is TaskState.ASSIGNED and task.id in self._tasks_on_same_server(
            task
        ):
            self.stop_run(task, StopReason.DONE_BEFORE)
        self._remove_waiting(task)
        task.state = TaskState.DONE
        self._count_done(job, task)
        if not job.undone_by_step[task.id.occurrence, task.id.step]:
            self._observe_step(self.siblings_of(task), now_s)
        if self.step_of(task.id).is_gang:
            self._complete_gang(job, task, now_s)

    def _observe_step(self, tasks: list[Task], now_s: float) -> None:
        """Learn from a completed step how much longer steps take than their runs."""
        if all(task.run == 1 and task.took_s and _is_own_start(task) for task in tasks):
            held_s = now_s - min(task.assigned_s for task in tasks)
            ran_s = max(task.took_s for task in tasks)
            self.dispatch_delay.observe(held_s, ran_s)

    def _tasks_on_same_server(self, task: Task) -> dict[TaskId, Task]:
        usage = self.usage_by_server_id.get(task.server_id)
        return {} if usage is None else usage.task_by_id

    def _complete_gang(self, job: Job, ended: Task, now_s: float) -> None:
        members = job.tasks_by_step.get((ended.id.occurrence, ended.id.step), ())
        for task in members:
            if task.state is not TaskState.DONE:
                usage = self.usage_by_server_id.get(task.server_id)
                if usage is not None:
                    usage.remove(task.id, now_s)
                self._remove_waiting(task)
                task.state = TaskState.DONE
                self.note_changed(task)
                self._count_done(job, task)

    def _mark_failed(
        self, job: Job, task: Task, server_id: str, is_current: bool
    ) -> None:
        task.failures += 1
        task.failed_on = server_id
        if job.state.is_final:
            return
        queue = self.queue_of(job.spec)
        attempts = 1 if queue is None else queue.attempts
        is_long_running = self.step_of(task.id).is_long_running
        if task.failures >= attempts and not is_long_running:
            if is_current:
                task.state = TaskState.WAITING
            self._finish(job, JobState.FAILED)
        elif is_current:
            self._restart(job, task)

    def _restart(self, job: Job, task: Task) -> None:
        task.state = TaskState.WAITING
        task.server_id = ""
        task.is_stopping = False
        if not job.state.is_final:
            self._add_waiting(task)

    # Backend servers.

    def put_server(self, server: Server, now_s: float) -> ServerUsage:
        """Add a backend server or update its reported properties."""
        usage = self.usage_by_server_id.get(server.id)
        if usage is not None:
            usage.server = server
            usage.is_listed = True
            return usage
        usage = ServerUsage(server, idle_since_s=now_s)
        usage.has_pending_command = bool(
            {server.name, server.host_id} & self._commanded_names
        )
        self.usage_by_server_id[server.id] = usage
        self._index_by_name(usage)
        for task in self._tasks_by_unknown_server_id.pop(server.id, ()):
            if task.state is TaskState.ASSIGNED and task.server_id == server.id:
                usage.add(task, self.step_of(task.id))
                if task.is_stopping:
                    self.stop_run(task, StopReason.STOPPED_BEFORE)
        return usage

    def tasks_on(self, server_id: str) -> list[Task]:
        """Return the tasks assigned to a server lifetime, listed or not."""
        usage = self.usage_by_server_id.get(server_id)
        tasks = self._tasks_by_unknown_server_id.get(server_id, [])
        if usage is not None:
            tasks = [*tasks, *usage.task_by_id.values()]
        return [
            task
            for task in tasks
            if task.server_id == server_id and task.state is TaskState.ASSIGNED
        ]

    def move_run(self, task: Task, usage: ServerUsage, now_s: float) -> None:
        """Assign the current run of a task to the later lifetime that may have it."""
        earlier = self.usage_by_server_id.get(task.server_id)
        if earlier is not None:
            earlier.remove(task.id, now_s)
        step = self.step_of(task.id)
        self.note_begun(task)
        task.server_id = usage.server.id
        # The clock starts anew with each lifetime.
        task.progress = RunProgress(is_whole=False)
        if step.fills:
            task.pace = UNKNOWN_PACE
        usage.add(task, step)
        if task.is_stopping:
            self.stop_run(task, StopReason.UNANSWERED)
        self.note_changed(task)

    def _index_by_name(self, usage: ServerUsage) -> None:
        usages = self.usages_by_server_name.setdefault(usage.server.name, [])
        usages.append(usage)
        usages.sort(key=lambda usage: born_ms_of(usage.server.id))

    def _remove_from_index(self, usage: ServerUsage) -> None:
        usages = self.usages_by_server_name[usage.server.name]
        usages.remove(usage)
        if not usages:
            del self.usages_by_server_name[usage.server.name]

    def begin_host_command(self, host: Host) -> None:
        """Close the servers on a host that is commanded, also if they appear later."""
        self._commanded_names.update({host.id, host.server_name} - {""})
        for usage in self.usages_of_host(host):
            usage.has_pending_command = True

    def end_host_command(self, host: Host) -> None:
        """Open the servers again that a command to their host has closed."""
        self._commanded_names -= {host.id, host.server_name}
        for usage in self.usages_of_host(host):
            usage.has_pending_command = False

    def usages_of_host(self, host: Host) -> list[ServerUsage]:
        """Return the servers that are listed on a host or reported it."""
        return [
            usage
            for usage in self.usage_by_server_id.values()
            if usage.server.name == host.server_name or usage.server.host_id == host.id
        ]

    def lose_server(
        self, server_id: str, now_s: float, end: ServerEnd = ServerEnd.CRASHED
    ) -> int:
        """Remove a server lifetime that must have ended; let its tasks wait again.

        Returns the number of these tasks.
        """
        usage = self.usage_by_server_id.pop(server_id, None)
        if usage is not None:
            self._remove_from_index(usage)
        tasks = self._tasks_by_unknown_server_id.pop(server_id, [])
        if usage is not None and not usage.is_leaving:
            self.losses.note_silence(server_id, usage, now_s, now_s)
        if usage is not None:
            tasks.extend(usage.task_by_id.values())
        lost = [
            task
            for task in tasks
            if task.server_id == server_id and task.state is TaskState.ASSIGNED
        ]
        self._lose_runs(server_id, lost, usage, end, now_s)
        if end is ServerEnd.CRASHED:
            for task in self.losses.confirm(server_id):
                self._note_losses_changed(task)
                self._give_up_if_to_blame(task)
        return len(lost)

    def lapse_runs(self, server_id: str, now_s: float) -> None:
        """Let the tasks of a server whose leases must have expired wait again."""
        usage = self.usage_by_server_id.get(server_id)
        if usage is not None:
            tasks = list(usage.task_by_id.values())
            self._lose_runs(server_id, tasks, usage, ServerEnd.SILENT, now_s)

    def note_silence(self, server_id: str, since_s: float, now_s: float) -> None:
        """Record that a server fell silent between two times."""
        usage = self.usage_by_server_id.get(server_id)
        if usage is not None:
            self.losses.note_silence(server_id, usage, since_s, now_s)

    def retract_losses(self, server_id: str) -> None:
        """Record that a server answers, so that no task has lost it."""
        for task in self.losses.retract(server_id):
            self._note_losses_changed(task)
            self._release_if_blameless(task)

    def clear_losses_if_harmless(self, task: Task, now_s: float) -> None:
        """Forget the servers that a task lost if its run goes on for longer."""
        age_s = now_s - task.acknowledged_s
        usage = self.usage_by_server_id.get(task.server_id)
        if not task.losses or usage is None:
            return
        if age_s > TRIAL_S:
            usage.suspect_ids.discard(task.id)
        if outlives(task.losses, age_s):
            task.losses = ()
            usage.clear_losses(task.id)
            self._note_losses_changed(task)

    def _lose_runs(
        self,
        server_id: str,
        tasks: list[Task],
        usage: ServerUsage | None,
        end: ServerEnd,
        now_s: float,
    ) -> None:
        """Let the tasks of a lost server wait again, except for those to blame."""
        if usage is not None and usage.is_leaving:
            end = ServerEnd.PLANNED
        was_alone = _has_one_job(usage, tasks)
        silent_s = self.losses.silent_since_s(server_id, now_s)
        for task in tasks:
            run = task.run
            loss = self._loss_of(task, end, was_alone, silent_s)
            may_have_run = task.sent_s > 0.0 or not _is_own_start(task)
            self.release(task, now_s)
            is_counted = (
                end is not ServerEnd.PLANNED
                and may_have_run
                and self._may_have_crashed(task, loss)
            )
            if is_counted:
                self._add_loss(task, loss)
            self._give_up_if_to_blame(task)
            self.losses.lost_runs.append(
                LostRun(
                    task=task.id,
                    run=run,
                    loss=loss,
                    end=end,
                    losses=len(task.losses),
                    beside=len(tasks) - 1,
                )
            )

    def _may_have_crashed(self, task: Task, loss: ServerLoss) -> bool:
        """Return whether a run that was lost may be what crashed its server."""
        if task.id.job_id not in self.job_by_id:
            return False
        is_long_running = self.step_of(task.id).is_long_running
        return not is_sound_run(is_long_running, loss.age_s)

    def _loss_of(
        self, task: Task, end: ServerEnd, was_alone: bool, silent_s: float
    ) -> ServerLoss:
        """Return the loss of the server of a task, which fell silent at a time."""
        started_s = task.acknowledged_s or task.sent_s or silent_s
        return ServerLoss(
            server_id=task.server_id,
            is_certain=end is ServerEnd.CRASHED,
            was_alone=was_alone and _is_own_start(task),
            was_widespread=self.losses.is_widespread(task.server_id, task.id.job_id),
            age_s=max(0.0, silent_s - started_s),
        )

    def _add_loss(self, task: Task, loss: ServerLoss) -> None:
        """Add a loss to a task; the members of a gang run as one."""
        is_gang = self.step_of(task.id).is_gang
        for member in self.siblings_of(task) if is_gang else (task,):
            self.losses.add(member, loss)
            self._note_losses_changed(member)

    def _note_losses_changed(self, task: Task) -> None:
        job = self.job_by_id.get(task.id.job_id)
        if job is not None and not job.state.is_final:
            self.steps_with_losses.add(task.id[:3])
            self.note_changed(task)

    def _give_up_if_to_blame(self, task: Task) -> None:
        """Fail the job of a task that crashes its servers, or hold one that lasts."""
        job = self.job_by_id.get(task.id.job_id)
        if job is None or job.state.is_final or task.state is TaskState.DONE:
            return
        if self.step_of(task.id).is_long_running:
            self._hold_if_to_blame(task)
        elif self._is_to_blame(task):
            self.losses.given_up.append(task)
            self._finish(job, JobState.FAILED)

    def unknown_servers(self) -> Iterable[str]:
        """Return the ids of servers that have tasks assigned but are not listed."""
        return list(self._tasks_by_unknown_server_id)

    def count_stranded(self) -> Counter[str]:
        """Return the number of servers, by pool, whose long-running tasks may be lost.

        They do not answer or are not listed, and the tasks wait until the leases there
        must have expired.
        """
        counts: Counter[str] = Counter()
        for usage in self.usage_by_server_id.values():
            if usage.has_long_running and not usage.is_reachable:
                counts[usage.server.service] += 1
        for tasks in self._tasks_by_unknown_server_id.values():
            counts.update(
                {
                    self.pool_of(self.job_by_id[task.id.job_id].spec)
                    for task in tasks
                    if task.id.job_id in self.job_by_id
                    and self.step_of(task.id).is_long_running
                }
            )
        return counts


def _has_one_job(usage: ServerUsage | None, tasks: list[Task]) -> bool:
    """Return whether all runs on a lost server, listed or not, were of one job."""
    if usage is not None:
        return usage.has_one_job
    return len({task.id.job_id for task in tasks}) == 1


def _is_own_start(task: Task) -> bool:
    """Return whether this holder assigned the run.

    What an earlier one has started is not known to have run.
    """
    return task.assigned_s > 0.0
