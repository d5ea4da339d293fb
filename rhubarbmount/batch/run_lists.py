"""Turns the runs and run ends that backend servers list into changes of the shard."""

import logging

import attrs

from rhubarbmount import log
from rhubarbmount.batch.clocks import monotonic_s
from rhubarbmount.batch.lifetimes import name_of
from rhubarbmount.batch.metrics import BatchMetrics
from rhubarbmount.batch.model import (
    RunEnd,
    RunReport,
    StopReason,
    Task,
    TaskId,
    TaskState,
)
from rhubarbmount.batch.pacing import UNKNOWN_PACE, PaceControl
from rhubarbmount.batch.server_commands import StopRequest
from rhubarbmount.batch.server_session import ServerSession
from rhubarbmount.batch.server_usage import ServerUsage
from rhubarbmount.batch.shard import Shard
from rhubarbmount.batch.stragglers import find_straggler
from rhubarbmount.platform.backend import RenewalResponse

__all__ = ["RunLists"]

logger = logging.getLogger(__name__)

# How long a server gets no new runs after one of its runs was found to straggle.
STRAGGLER_BACKOFF_S = 4.0
STRAY_STOP_INTERVAL_S = 1.0


@attrs.define(eq=False)
class RunLists:
    """Applies the lists of runs of all backend servers of a shard."""

    shard: Shard
    metrics: BatchMetrics
    _pacing: PaceControl = attrs.field(factory=PaceControl)
    # By the id of the lifetime, the task and the run.
    _stop_sent_at_s: dict[tuple[str, TaskId, int], float] = attrs.field(factory=dict)

    def apply(
        self,
        session: ServerSession,
        usage: ServerUsage,
        response: RenewalResponse,
        sent_s: float,
        now_s: float,
    ) -> None:
        """Apply the list in the answer to a call sent at ``sent_s``."""
        _log_missing_ends(session, response)
        if response.ended and usage.ends.note_listed():
            log.event(logger, "ends-listed", server=session.server.id)
        for end in response.ended:
            if end.number > session.listed_to:
                self._record_end(session, end, now_s, response.clock_ms)
        self._apply_running(session, usage, response, now_s)
        if not response.is_cut:
            self._handle_missing_runs(session, usage, response, sent_s, now_s)
        for command in self._pacing.decide(usage, response.running, now_s):
            session.send(command)

    def _handle_missing_runs(
        self,
        session: ServerSession,
        usage: ServerUsage,
        response: RenewalResponse,
        sent_s: float,
        now_s: float,
    ) -> None:
        """Requeue the tasks of runs that a list lacks which shows every run."""
        running = {(item.task, item.run) for item in response.running}
        for task in list(usage.task_by_id.values()):
            if (task.id, task.run) not in running:
                self._handle_missing_run(session, usage, task, sent_s, now_s)

    def forget(self, name: str) -> None:
        """Drop the state kept for the lifetimes of a server whose row was removed."""
        for key in [key for key in self._stop_sent_at_s if name_of(key[0]) == name]:
            del self._stop_sent_at_s[key]

    def _apply_running(
        self,
        session: ServerSession,
        usage: ServerUsage,
        response: RenewalResponse,
        now_s: float,
    ) -> None:
        """Record the progress of listed runs, and stop those that should not be."""
        stray_steps = []
        for item in response.running:
            task = self.shard.task(item.task)
            if task is None or not _is_run_of(task, item.run, session.server.id):
                if not self.shard.unreadable_jobs.may_run(item.task.job_id):
                    self._stop_stray(session, item.task, item.run)
                if not usage.has_run(item.task, item.run):
                    stray_steps.append(self.shard.find_step(item.task))
            else:
                self._record_progress(usage, task, item, now_s, response.clock_ms)
        usage.set_strays(stray_steps)
        usage.has_runs_left_alone = any(
            self.shard.unreadable_jobs.may_run(item.task.job_id)
            for item in response.running
        )

    def _record_end(
        self, session: ServerSession, end: RunEnd, now_s: float, clock_ms: int
    ) -> None:
        if end.task.job_id in self.shard.unreadable_jobs:
            is_news = self.shard.unreadable_jobs.keep_end(session.server.id, end)
        else:
            is_news = self.shard.end_run(session.server.id, end, now_s, clock_ms)
        self.metrics.ends.labels(end.outcome).inc()
        log.frequent_event(
            logger,
            "run-ended",
            job=end.task.job_id,
            task=end.task.place,
            run=end.run,
            server=session.server.id,
            number=end.number,
            how=end.outcome,
            is_news=is_news,
        )

    def _record_progress(
        self,
        usage: ServerUsage,
        task: Task,
        report: RunReport,
        now_s: float,
        clock_ms: int,
    ) -> None:
        if report.checkpoint:
            task.checkpoint = report.checkpoint
        if task.assigned_s == 0.0:
            self._adopt_run(usage, task, now_s)
        task.progress.report(report.percent, clock_ms)
        if task.acknowledged_s:
            self.shard.clear_losses_if_harmless(task, now_s)
        self._stop_if_end_may_be_forgotten(task)
        self._stop_if_straggling(usage, task, now_s)

    def _adopt_run(self, usage: ServerUsage, task: Task, now_s: float) -> None:
        """Take over a run of an earlier holder, which may have heard of no drain."""
        # Its start time is not known here: measure from when it was first seen.
        task.assigned_s = task.sent_s = task.acknowledged_s = now_s
        step = self.shard.step_of(task.id)
        if step.fills:
            task.pace = UNKNOWN_PACE
        if usage.server.is_draining and step.is_long_running and not task.is_stopping:
            self.shard.stop_run(task, StopReason.DRAINED)

    def _stop_if_end_may_be_forgotten(self, task: Task) -> None:
        """Stop a run, before it is done, that was meant for another lifetime."""
        if self.shard.is_end_trial(task) and not task.is_stopping:
            self.shard.stop_run(task, StopReason.END_TRIAL)

    def _stop_if_straggling(self, usage: ServerUsage, task: Task, now_s: float) -> None:
        """Stop a straggling run, so that its task restarts on another server.

        A slow run goes on where no other server could run the task.
        """
        expected = self.shard.expected_run_time_of(task)
        straggler = find_straggler(task, usage, expected, self.shard.siblings_of(task))
        if straggler is None:
            return
        if straggler.is_slow and not self.shard.may_run_elsewhere(task, usage, now_s):
            return
        step = usage.step_by_task[task.id]
        discarded_core_s = task.progress.elapsed_s * step.cpu_millicores / 1000
        self.metrics.stragglers.labels(straggler.reason).inc()
        self.metrics.discarded_core_s.labels(straggler.reason).inc(discarded_core_s)
        log.event(
            logger,
            "straggler",
            job=task.id.job_id,
            task=task.id.place,
            run=task.run,
            server=usage.server.id,
            reason=straggler.reason,
            percent=task.progress.percent,
            elapsed_s=task.progress.elapsed_s,
            left_s=straggler.left_s,
            projected_before_s=task.longest_projected_s,
            stalls_before=task.stalls,
            expected_s=expected.expected_s,
            spread=expected.spread,
            declared_s=step.estimate_s,
            discarded_core_s=discarded_core_s,
        )
        straggler.note_stopped(task)
        task.failed_on = usage.server.id
        usage.slow_until_s = now_s + STRAGGLER_BACKOFF_S
        self.shard.stop_run(task, StopReason.STRAGGLER)

    def _stop_stray(self, session: ServerSession, task_id: TaskId, run: int) -> None:
        key = (session.server.id, task_id, run)
        now_s = monotonic_s()
        sent_at_s = self._stop_sent_at_s.get(key)
        if sent_at_s is None or now_s > sent_at_s + STRAY_STOP_INTERVAL_S:
            self._stop_sent_at_s[key] = now_s
            job = self.shard.job_by_id.get(task_id.job_id)
            reason = StopReason.UNKNOWN_JOB if job is None else job.stop_reason
            session.send(StopRequest(task_id, run, reason))

    def _handle_missing_run(
        self,
        session: ServerSession,
        usage: ServerUsage,
        task: Task,
        sent_s: float,
        now_s: float,
    ) -> None:
        """Requeue the task of an assigned run that the server no longer has.

        A run assigned by an earlier holder is given up if the first whole list of the
        session lacks it; one of this holder if its start was acknowledged before the
        list was requested.
        """
        is_of_last_holder = task.assigned_s == 0.0
        if is_of_last_holder:
            if not session.has_whole_list:
                self.shard.release(task, now_s)
        elif 0.0 < task.acknowledged_s < sent_s:
            log.event(
                logger,
                "run-vanished",
                logging.WARNING,
                job=task.id.job_id,
                task=task.id.place,
                run=task.run,
                server=session.server.id,
                listed_to=session.listed_to,
                acknowledged=session.acknowledged,
            )
            has_begun = task.progress.started_ms > 0
            if has_begun and usage.ends.note_forgotten(now_s):
                log.event(
                    logger, "ends-forgotten", logging.WARNING, server=session.server.id
                )
            self.shard.release(task, now_s)


def _log_missing_ends(session: ServerSession, response: RenewalResponse) -> None:
    """Log that ends were forgotten which no list has shown to this holder."""
    first = min((end.number for end in response.ended), default=0)
    if session.is_established and first > session.listed_to + 1:
        log.event(
            logger,
            "ends-missing",
            logging.WARNING,
            server=session.server.id,
            listed_to=session.listed_to,
            first=first,
        )


def _is_run_of(task: Task | None, run: int, server_id: str) -> bool:
    return (
        task is not None
        and task.state is TaskState.ASSIGNED
        and task.run == run
        and task.server_id == server_id
    )
