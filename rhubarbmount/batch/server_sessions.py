"""Sessions of the holder of a shard with its backend servers.

Turns the run lists and command results of the servers into changes of the shard.
"""

import logging
from collections.abc import Awaitable, Callable, Iterator

import attrs
import trio

from rhubarbmount import log
from rhubarbmount.batch.clocks import monotonic_s, wall_clock_s
from rhubarbmount.batch.earlier_grants import EarlierGrants
from rhubarbmount.batch.election import ShardLease
from rhubarbmount.batch.lateness import Lateness
from rhubarbmount.batch.metrics import BatchMetrics
from rhubarbmount.batch.model import (
    RunEnd,
    RunReport,
    Server,
    StopReason,
    Task,
    TaskId,
    TaskState,
)
from rhubarbmount.batch.pacing import UNKNOWN_PACE, PaceControl
from rhubarbmount.batch.server_commands import StartRequest, StopRequest
from rhubarbmount.batch.server_lease import ServerLease
from rhubarbmount.batch.server_losses import ServerEnd
from rhubarbmount.batch.server_session import ServerSession, SessionListener
from rhubarbmount.batch.server_usage import ServerUsage
from rhubarbmount.batch.shard import Shard
from rhubarbmount.batch.silent_servers import SilentServers
from rhubarbmount.batch.stragglers import find_straggler, needs_watch
from rhubarbmount.batch.tickets import TicketCache
from rhubarbmount.platform.backend import BackendClient, CommandResult, RenewalResponse

__all__ = ["ServerSessions"]

logger = logging.getLogger(__name__)

# How long a server gets no new runs after a start that did not take place.
START_BACKOFF_S = 0.15
# How long a server gets no new runs after one of its runs was found to straggle.
STRAGGLER_BACKOFF_S = 4.0
# How long renewals use the short wait after a call was not answered.
RESPONSE_LOSS_WINDOW_S = 2.0
# A run that has just been stopped may briefly be listed neither as running nor as
# ended. Only lists requested after this delay count as evidence that it is gone.
STOP_LISTING_DELAY_S = 0.5
STRAY_STOP_INTERVAL_S = 1.0


@attrs.define(eq=False)
class ServerSessions(SessionListener):
    """The sessions with all backend servers of a shard.

    ``wake`` triggers a scheduling pass.
    """

    shard: Shard
    client: BackendClient
    shard_lease: ShardLease
    max_lease_s: float
    earlier_grants: EarlierGrants
    metrics: BatchMetrics
    lateness: Lateness
    tickets: TicketCache
    nursery: trio.Nursery
    wake: Callable[[], None]
    want_host_list: Callable[[], None]
    silent: SilentServers
    # Writes the record of silent servers and returns once it is stored.
    save_silent: Callable[[], Awaitable[None]]
    # Leases renewed before the shard was loaded, of servers without a session yet.
    early_lease_by_server_id: dict[str, ServerLease] = attrs.field(factory=dict)
    _started_at_s: float = attrs.field(factory=monotonic_s)
    _session_by_server_id: dict[str, ServerSession] = attrs.field(factory=dict)
    _server_ids_by_host_id: dict[str, set[str]] = attrs.field(factory=dict)
    _pacing: PaceControl = attrs.field(factory=PaceControl)
    _ended_server_ids: set[str] = attrs.field(factory=set)
    # Servers that have answered and are still recorded as silent.
    _heard: list[ServerSession] = attrs.field(factory=list)
    _record_changed: trio.Event = attrs.field(factory=trio.Event)
    _response_loss_until_s: float = 0.0
    _stop_sent_at_s: dict[tuple[str, TaskId, int], float] = attrs.field(factory=dict)

    def __iter__(self) -> Iterator[ServerSession]:
        return iter(list(self._session_by_server_id.values()))

    def find(self, server_id: str) -> ServerSession | None:
        """Return the session with a backend server, or None."""
        return self._session_by_server_id.get(server_id)

    def check(self, server_id: str) -> None:
        """Ask a backend server soon whether its lifetime goes on."""
        session = self._session_by_server_id.get(server_id)
        if session is not None:
            session.check()

    def has_ended(self, server_id: str) -> bool:
        """Return whether a server lifetime is known to be over."""
        return server_id in self._ended_server_ids

    def open(self, usage: ServerUsage) -> None:
        """Open a session with a server, or update the existing one."""
        self._add_to_host(usage.server)
        existing = self._session_by_server_id.get(usage.server.id)
        if existing is not None:
            existing.update(usage.server)
            return
        session = ServerSession(
            server=usage.server,
            client=self.client,
            lease=self.make_lease(usage.server.id),
            listener=self,
            metrics=self.metrics,
            has_work=lambda: usage.has_runs,
            has_room=lambda: (
                usage.is_within_capacity
                and self.shard.knows_capacity(usage, monotonic_s())
            ),
            needs_fresh_progress=lambda: needs_watch(
                usage, monotonic_s(), self.shard.expected_run_time_of
            ),
        )
        self._session_by_server_id[usage.server.id] = session
        self.nursery.start_soon(session.run)
        self.want_host_list()

    def make_lease(self, server_id: str) -> ServerLease:
        """Return the lease for a server, with what the previous holder recorded.

        It is the one that has been renewed before the shard was loaded, if any.
        """
        early_lease = self.early_lease_by_server_id.pop(server_id, None)
        if early_lease is not None:
            return early_lease
        now_s = monotonic_s()
        earlier = self.earlier_grants.bound_of(server_id)
        lease = ServerLease(self.shard_lease, self.max_lease_s, earlier)
        if self.silent.has(server_id):
            lease.recorded_lapse_s = now_s + self.silent.limit_in_s(server_id)
        return lease

    def lapses_at_s(self) -> float:
        """Return when every grant of this holder and of earlier holders has lapsed."""
        now_s = monotonic_s()
        lapse_times = [session.lease.lapses_at_s() for session in self]
        lapse_times += [
            lease.lapses_at_s() for lease in self.early_lease_by_server_id.values()
        ]
        for server_id in self.shard.unknown_servers():
            lapse_times.append(self.earlier_grants.bound_of(server_id).at_s)
        return max(lapse_times, default=now_s)

    def close_lost(self) -> None:
        """Close the sessions of servers that are no longer part of the shard."""
        for server_id, session in list(self._session_by_server_id.items()):
            if server_id not in self.shard.usage_by_server_id:
                session.close()
                del self._session_by_server_id[server_id]
                self._remove_from_host(session)

    def _add_to_host(self, server: Server) -> None:
        """Ask the other lifetimes on the host of a server, one of which may go on."""
        if not server.host_id:
            return
        server_ids = self._server_ids_by_host_id.setdefault(server.host_id, set())
        if server.id not in server_ids:
            for other_id in server_ids:
                self.check(other_id)
            server_ids.add(server.id)

    def _remove_from_host(self, session: ServerSession) -> None:
        host_id = session.server.host_id
        server_ids = self._server_ids_by_host_id.get(host_id, set())
        server_ids.discard(session.server.id)
        if not server_ids:
            self._server_ids_by_host_id.pop(host_id, None)

    def on_list(
        self, session: ServerSession, response: RenewalResponse, sent_s: float
    ) -> None:
        """Apply the runs and run ends that a backend server listed."""
        usage = self.shard.usage_by_server_id.get(session.server.id)
        if usage is None:
            return
        now_s = monotonic_s()
        self.shard.set_time(now_s, wall_clock_s())
        self._end_earlier_lifetimes(session, sent_s)
        for end in response.ended:
            if end.number > session.listed_to:
                self._record_end(session, end, now_s, response.clock_ms)
        self._apply_running(session, usage, response, now_s)
        running = {(item.task, item.run) for item in response.running}
        for task in list(usage.task_by_id.values()):
            if (task.id, task.run) not in running:
                self._handle_missing_run(session, task, sent_s, now_s)
        for command in self._pacing.decide(usage, response.running, now_s):
            session.send(command)
        self.wake()

    def _end_earlier_lifetimes(self, session: ServerSession, sent_s: float) -> None:
        """End the other lifetimes on the host of a server that has answered.

        The lifetimes of a host follow one another. One that had begun before the call
        was sent thus ended before the call was answered.
        """
        server_ids = self._server_ids_by_host_id.get(session.server.host_id, set())
        if len(server_ids) < 2:
            return
        for server_id in sorted(server_ids - {session.server.id}):
            other = self._session_by_server_id.get(server_id)
            is_known = server_id in self.shard.usage_by_server_id
            if other is not None and is_known and other.opened_at_s <= sent_s:
                self.handle_server_end(server_id, "other-lifetime-on-host")

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

    def _stop_if_straggling(self, usage: ServerUsage, task: Task, now_s: float) -> None:
        """Stop a straggling run, so that its task restarts on another server."""
        expected = self.shard.expected_run_time_of(task)
        straggler = find_straggler(task, usage, expected, self.shard.siblings_of(task))
        if straggler is None:
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
            expected_s=expected.expected_s,
            spread=expected.spread,
            declared_s=step.estimate_s,
            discarded_core_s=discarded_core_s,
        )
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
        self, session: ServerSession, task: Task, sent_s: float, now_s: float
    ) -> None:
        """Requeue the task of an assigned run that the server no longer has.

        A run assigned by an earlier holder is given up if the first list of the
        session lacks it; one of this holder if its start was acknowledged before the
        list was requested.
        """
        is_of_last_holder = task.assigned_s == 0.0
        if is_of_last_holder:
            if not session.is_established:
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
            )
            self.shard.release(task, now_s)

    def on_not_started(
        self, server_id: str, request: StartRequest, result: CommandResult
    ) -> None:
        """Requeue a task whose run is known not to have started."""
        usage = self.shard.usage_by_server_id.get(server_id)
        now_s = monotonic_s()
        if usage is not None:
            usage.full_until_s = now_s + START_BACKOFF_S
            if result is CommandResult.NOT_DONE:
                usage.failures_in_a_row += 1
                usage.failed_at_s = now_s
        if result is CommandResult.NO_TICKET:
            self.tickets.drop(request.task.id[:3], server_id)
        if request.is_current(server_id):
            self.shard.release(request.task, now_s)
        self.wake()

    def on_stopped(self, server_id: str, request: StopRequest) -> None:
        """Handle that a run has been stopped and can't start any more.

        The run may have ended before it was stopped. A list that is requested later
        shows either its end or that it is gone, in which case the task is requeued.
        """
        usage = self.shard.usage_by_server_id.get(server_id)
        task = usage.task_by_id.get(request.task) if usage is not None else None
        if task is not None and task.run == request.run:
            task.acknowledged_s = monotonic_s() + STOP_LISTING_DELAY_S

    def on_lifetime_end(self, server_id: str) -> None:
        """Handle that a server lifetime is known to be over."""
        self.handle_server_end(server_id, "other-lifetime")

    def on_lapse(self, session: ServerSession) -> None:
        """Handle that every grant to a server has lapsed."""
        usage = self.shard.usage_by_server_id.get(session.server.id)
        tasks = len(usage.task_by_id) if usage else 0
        log.event(
            logger,
            "leases-lapsed",
            logging.WARNING,
            server=session.server.id,
            tasks=tasks,
            bound=session.lease.earlier.source,
            held_s=monotonic_s() - self._started_at_s,
        )
        if tasks:
            self.metrics.lapsed_tasks.labels(session.lease.earlier.source).inc(tasks)
        if usage is not None and not usage.is_listed:
            self.handle_server_end(session.server.id, "lapsed", is_over=False)
        else:
            self.shard.lapse_runs(session.server.id, monotonic_s())
        self.wake()

    def on_reachability_change(
        self, session: ServerSession, is_reachable: bool
    ) -> None:
        """Record whether a backend server answers."""
        usage = self.shard.usage_by_server_id.get(session.server.id)
        if usage is not None:
            usage.is_reachable = is_reachable
        if is_reachable:
            self.shard.retract_losses(session.server.id)
        else:
            self._note_silence(session)
        if is_reachable and session.lease.is_recorded_silent:
            self._heard.append(session)
            self._record_changed.set()
        self.wake()

    def _note_silence(self, session: ServerSession) -> None:
        """Record that a server fell silent; ask the others if it had a suspect.

        What became silent with it has another cause than the suspect, and idle servers
        are not asked otherwise.
        """
        server_id = session.server.id
        self.shard.note_silence(server_id, session.failing_since_s, monotonic_s())
        usage = self.shard.usage_by_server_id.get(server_id)
        if usage is not None and usage.ids_with_losses:
            for other in self:
                other.check()

    def on_silent(self, session: ServerSession) -> None:
        """Record for the next holder that the server is granted nothing more."""
        self.silent.note(session.server.id, session.lease.lapses_at_s() - monotonic_s())
        self._record_changed.set()

    async def keep_record(self) -> None:
        """Store the record of silent servers whenever it changes.

        Once it is stored without a server, that server may be granted anything.
        """
        while True:
            await self._record_changed.wait()
            self._record_changed = trio.Event()
            heard, self._heard = self._heard, []
            for session in heard:
                self.silent.drop(session.server.id)
            await self.save_silent()
            for session in heard:
                # It may have gone silent again while the record was being stored.
                if not self.silent.has(session.server.id):
                    session.lease.recorded_lapse_s = None

    def on_unanswered(self) -> None:
        """Note that a call to some backend server was not answered."""
        self._response_loss_until_s = monotonic_s() + RESPONSE_LOSS_WINDOW_S

    def has_recent_response_loss(self) -> bool:
        """Return whether responses got lost recently, so that long waits are costly."""
        return monotonic_s() < self._response_loss_until_s

    def is_late(self) -> bool:
        """Return whether this host is late itself and should make fewer calls."""
        return self.lateness.is_late

    def forget(self, server_id: str) -> None:
        """Drop the state kept for a server lifetime whose row has been removed."""
        self._ended_server_ids.discard(server_id)
        for key in [key for key in self._stop_sent_at_s if key[0] == server_id]:
            del self._stop_sent_at_s[key]

    def handle_server_end(
        self, server_id: str, reason: str, is_over: bool = True
    ) -> None:
        """Requeue all tasks of a server on which nothing can run any more.

        If ``is_over`` is false, the lifetime may be listed again and is then reused.
        """
        usage = self.shard.usage_by_server_id.get(server_id)
        log.event(
            logger,
            "server-ended",
            server=server_id,
            reason=reason,
            tasks=len(usage.task_by_id) if usage else 0,
        )
        if is_over:
            self._ended_server_ids.add(server_id)
        end = ServerEnd.CRASHED if is_over else ServerEnd.SILENT
        self.shard.lose_server(server_id, monotonic_s(), end)
        self.wake()


def _is_run_of(task: Task | None, run: int, server_id: str) -> bool:
    return (
        task is not None
        and task.state is TaskState.ASSIGNED
        and task.run == run
        and task.server_id == server_id
    )
