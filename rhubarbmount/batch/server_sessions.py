"""What the holder of a shard hears from backend servers, and decides on it."""

import logging
from collections.abc import Awaitable, Callable, Iterator

import attrs
import trio

from rhubarbmount import log
from rhubarbmount.batch.clocks import monotonic_s, wall_clock_s
from rhubarbmount.batch.election import ShardLease
from rhubarbmount.batch.metrics import BatchMetrics
from rhubarbmount.batch.model import RunEnd, RunReport, Task, TaskId, TaskState
from rhubarbmount.batch.pacing import PaceControl
from rhubarbmount.batch.server_commands import StartRequest, StopRequest
from rhubarbmount.batch.server_lease import ServerLease
from rhubarbmount.batch.server_session import ServerSession, SessionListener
from rhubarbmount.batch.server_usage import ServerUsage
from rhubarbmount.batch.shard import Shard
from rhubarbmount.batch.silent_servers import SilentServers
from rhubarbmount.batch.stragglers import find_straggler, needs_watch
from rhubarbmount.batch.tickets import TicketCache
from rhubarbmount.platform.backend import BackendClient, CommandResult, RenewalResponse

__all__ = ["ServerSessions"]

logger = logging.getLogger(__name__)

FULL_PAUSE_S = 0.15
SLOW_PAUSE_S = 4.0
DOUBT_S = 2.0
# A run that is stopped may be listed nowhere for a moment.
STOP_SETTLED_S = 0.5
STRAY_STOP_PERIOD_S = 1.0


@attrs.define(eq=False)
class ServerSessions(SessionListener):
    """The links to all backend servers; ``wake`` lets the scheduler run soon."""

    shard: Shard
    client: BackendClient
    shard_lease: ShardLease
    max_lease_s: float
    # When the last holder's grants have lapsed, if it said so.
    last_grants_lapse_in_s: float | None
    metrics: BatchMetrics
    tickets: TicketCache
    nursery: trio.Nursery
    wake: Callable[[], None]
    want_host_list: Callable[[], None]
    silent: SilentServers
    # Stores the record of silent servers, and returns once it is stored.
    save_silent: Callable[[], Awaitable[None]]
    _started_at_s: float = attrs.field(factory=monotonic_s)
    _by_server: dict[str, ServerSession] = attrs.field(factory=dict)
    _pacing: PaceControl = attrs.field(factory=PaceControl)
    _ended_servers: set[str] = attrs.field(factory=set)
    _doubtful_until_s: float = 0.0
    _stop_sent_at_s: dict[tuple[str, TaskId, int], float] = attrs.field(factory=dict)

    def __iter__(self) -> Iterator[ServerSession]:
        return iter(list(self._by_server.values()))

    def find(self, server_id: str) -> ServerSession | None:
        """Return the link to a backend server, if there is one."""
        return self._by_server.get(server_id)

    def has_ended(self, server_id: str) -> bool:
        """Tell whether a lifetime is surely over."""
        return server_id in self._ended_servers

    def open(self, usage: ServerUsage) -> None:
        """Open a link, or bring the one there is up to date."""
        known = self._by_server.get(usage.server.id)
        if known is not None:
            known.update(usage.server)
            return
        session = ServerSession(
            server=usage.server,
            client=self.client,
            lease=self._lease_of(usage.server.id),
            listener=self,
            metrics=self.metrics,
            has_work=lambda: not usage.is_idle,
            is_watchful=lambda: needs_watch(usage, monotonic_s()),
        )
        self._by_server[usage.server.id] = session
        self.nursery.start_soon(session.run)
        self.want_host_list()

    def _lease_of(self, server_id: str) -> ServerLease:
        """Return the lease of a server, with what the last holder recorded of it."""
        lease = ServerLease(self.shard_lease, self.max_lease_s, self._started_at_s)
        if self.last_grants_lapse_in_s is not None:
            lapses_at_s = self._started_at_s + self.last_grants_lapse_in_s
            lease.last_holder_lapses_at_s = lapses_at_s
        lapses_in_s = self.silent.lapses_in_s(server_id)
        if lapses_in_s is not None:
            lease.is_recorded = True
            lease.last_holder_lapses_at_s = monotonic_s() + lapses_in_s
        return lease

    def lapses_at_s(self) -> float:
        """Return when all that this holder and those before it granted has lapsed."""
        by_server = [session.lease.lapses_at_s() for session in self]
        unknown = [self._lease_of(name) for name in self.shard.unknown_servers()]
        by_server.extend(lease.lapses_at_s() for lease in unknown)
        return max(by_server, default=monotonic_s())

    def close_lost(self) -> None:
        """Close the links to lifetimes that are over."""
        for server_id, session in list(self._by_server.items()):
            if server_id not in self.shard.usage_by_server_id:
                session.close()
                del self._by_server[server_id]

    def listed(
        self, session: ServerSession, answer: RenewalResponse, sent_s: float
    ) -> None:
        """Take in what a backend server lists."""
        usage = self.shard.usage_by_server_id.get(session.server.id)
        if usage is None:
            return
        now_s = monotonic_s()
        self.shard.set_time(now_s, wall_clock_s())
        for end in answer.ended:
            if end.number > session.listed_to:
                self._note_end(session, end, now_s)
        running = {(item.task, item.run): item for item in answer.running}
        for item in answer.running:
            task = self.shard.task(item.task)
            if task is None or not _is_run_of(task, item.run, session.server.id):
                self._stop_stray(session, item.task, item.run)
            else:
                self._note_progress(usage, task, item, now_s)
        for task in list(usage.task_by_id.values()):
            if (task.id, task.run) not in running:
                self._settle_missing(session, task, sent_s, now_s)
        for command in self._pacing.decide(usage, answer.running, now_s):
            session.send(command)
        self.wake()

    def _note_end(self, session: ServerSession, end: RunEnd, now_s: float) -> None:
        is_news = self.shard.end_run(session.server.id, end, now_s)
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

    def _note_progress(
        self, usage: ServerUsage, task: Task, report: RunReport, now_s: float
    ) -> None:
        if report.checkpoint:
            task.checkpoint = report.checkpoint
        if task.assigned_s == 0.0:
            # The run of an earlier holder is judged from when it was first seen.
            task.assigned_s = task.progressed_s = task.acknowledged_s = now_s
        if task.percent != report.percent:
            task.percent = report.percent
            task.progressed_s = now_s
        task.percent_read_s = now_s
        self._judge_progress(usage, task, now_s)

    def _judge_progress(self, usage: ServerUsage, task: Task, now_s: float) -> None:
        """Let a straggler begin again elsewhere."""
        straggler = find_straggler(task, usage.step_by_task[task.id], now_s)
        if straggler is None:
            return
        log.event(
            logger,
            "straggler",
            job=task.id.job_id,
            task=task.id.place,
            run=task.run,
            server=usage.server.id,
            reason=straggler.reason,
            percent=task.percent,
            left_s=straggler.left_s,
        )
        task.failed_on = usage.server.id
        usage.slow_until_s = now_s + SLOW_PAUSE_S
        self.shard.stop_run(task)

    def _stop_stray(self, session: ServerSession, task_id: TaskId, run: int) -> None:
        key = (session.server.id, task_id, run)
        now_s = monotonic_s()
        sent_at_s = self._stop_sent_at_s.get(key)
        if sent_at_s is None or now_s > sent_at_s + STRAY_STOP_PERIOD_S:
            self._stop_sent_at_s[key] = now_s
            session.send(StopRequest(task_id, run))

    def _settle_missing(
        self, session: ServerSession, task: Task, sent_s: float, now_s: float
    ) -> None:
        """Decide on a run that should be there and isn't listed."""
        is_of_last_holder = task.assigned_s == 0.0
        if is_of_last_holder:
            if not session.is_greeted:
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

    def not_started(
        self, server_id: str, request: StartRequest, result: CommandResult
    ) -> None:
        """Let a task wait again whose run surely did not start."""
        usage = self.shard.usage_by_server_id.get(server_id)
        now_s = monotonic_s()
        if usage is not None:
            usage.full_until_s = now_s + FULL_PAUSE_S
            if result is CommandResult.NOT_DONE:
                usage.failures_in_a_row += 1
                usage.failed_at_s = now_s
        if result is CommandResult.NO_TICKET:
            self.tickets.drop(request.task.id[:3], server_id)
        if request.is_wanted(server_id):
            self.shard.release(request.task, now_s)
        self.wake()

    def stopped(self, server_id: str, request: StopRequest) -> None:
        """Take in that a run has been forbidden for good.

        It may have ended before. A list that is asked for later tells, or that the
        run is not there and its task may wait again.
        """
        usage = self.shard.usage_by_server_id.get(server_id)
        task = usage.task_by_id.get(request.task) if usage is not None else None
        if task is not None and task.run == request.run:
            task.acknowledged_s = monotonic_s() + STOP_SETTLED_S

    def ended(self, server_id: str) -> None:
        """Take in that the lifetime is surely over."""
        self.lose(server_id, "other-lifetime")

    def lapsed(self, session: ServerSession) -> None:
        """Take in that every lease granted there has surely ended."""
        usage = self.shard.usage_by_server_id.get(session.server.id)
        log.event(
            logger,
            "leases-lapsed",
            logging.WARNING,
            server=session.server.id,
            tasks=len(usage.task_by_id) if usage else 0,
        )
        if usage is not None and not usage.is_listed:
            self.lose(session.server.id, "lapsed", is_over=False)
        else:
            self.shard.lapse_runs(session.server.id, monotonic_s())
        self.wake()

    def reached(self, session: ServerSession, is_reached: bool) -> None:
        """Take in whether the backend server answers."""
        usage = self.shard.usage_by_server_id.get(session.server.id)
        if usage is not None:
            usage.is_reachable = is_reached
        if is_reached and session.lease.is_recorded:
            self.nursery.start_soon(self._clear_record, session)
        self.wake()

    def stays_silent(self, session: ServerSession) -> None:
        """Record for a next holder that the server is granted nothing."""
        self.silent.note(session.server.id, session.lease.lapses_at_s() - monotonic_s())
        self.nursery.start_soon(self.save_silent)

    async def _clear_record(self, session: ServerSession) -> None:
        """Let a server be granted leases again once its record is gone."""
        self.silent.drop(session.server.id)
        await self.save_silent()
        session.lease.is_recorded = False

    def unanswered(self) -> None:
        """Take in that an order to any backend server was not answered."""
        self._doubtful_until_s = monotonic_s() + DOUBT_S

    def is_doubtful(self) -> bool:
        """Tell whether answers got lost lately, so that long waits cost much."""
        return monotonic_s() < self._doubtful_until_s

    def forget(self, server_id: str) -> None:
        """Drop what is kept of a lifetime whose row is gone."""
        self._ended_servers.discard(server_id)
        for key in [key for key in self._stop_sent_at_s if key[0] == server_id]:
            del self._stop_sent_at_s[key]

    def lose(self, server_id: str, reason: str, is_over: bool = True) -> None:
        """Let everything on a server where nothing can run any more wait again.

        A lifetime that is not surely over may be listed again, and is used then.
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
            self._ended_servers.add(server_id)
        self.shard.lose_server(server_id, monotonic_s())
        self.wake()


def _is_run_of(task: Task | None, run: int, server_id: str) -> bool:
    return (
        task is not None
        and task.state is TaskState.ASSIGNED
        and task.run == run
        and task.server_id == server_id
    )
