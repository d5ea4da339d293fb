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
from rhubarbmount.batch.lifetime_ends import LifetimeEndsJudge
from rhubarbmount.batch.lifetimes import born_ms_of, lifetime_id, name_of
from rhubarbmount.batch.metrics import BatchMetrics
from rhubarbmount.batch.open_acknowledgements import OpenAcknowledgements
from rhubarbmount.batch.run_lists import RunLists
from rhubarbmount.batch.server_commands import StartRequest, StopRequest
from rhubarbmount.batch.server_lease import ServerLease
from rhubarbmount.batch.server_lifetimes import RunFate, ServerLifetimes, fate_of
from rhubarbmount.batch.server_losses import ServerEnd
from rhubarbmount.batch.server_session import ServerSession, SessionListener
from rhubarbmount.batch.server_tokens import ServerTokens
from rhubarbmount.batch.server_usage import ServerUsage
from rhubarbmount.batch.shard import Shard
from rhubarbmount.batch.silent_servers import SilentServers
from rhubarbmount.batch.stragglers import needs_watch
from rhubarbmount.batch.tickets import TicketCache
from rhubarbmount.batch.unsettled_starts import MAX_AGE_S, UnsettledStart
from rhubarbmount.batch.used_lifetimes import UsedLifetimes
from rhubarbmount.errors import LeaseLost
from rhubarbmount.platform.backend import BackendClient, CommandResult, RenewalResponse

__all__ = ["ServerSessions"]

logger = logging.getLogger(__name__)

# How long a server gets no new runs after a start that did not take place.
START_BACKOFF_S = 0.15
# How long renewals use the short wait after a call was not answered.
RESPONSE_LOSS_WINDOW_S = 2.0
# A run that has just been stopped may briefly be listed neither as running nor as
# ended. Only lists requested after this delay count as evidence that it is gone.
STOP_LISTING_DELAY_S = 0.5


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
    used_lifetimes: UsedLifetimes = attrs.field(factory=UsedLifetimes)
    # Leases renewed before the shard was loaded, of servers without a session yet.
    early_lease_by_server_id: dict[str, ServerLease] = attrs.field(factory=dict)
    _started_at_s: float = attrs.field(factory=monotonic_s)
    _session_by_server_id: dict[str, ServerSession] = attrs.field(factory=dict)
    _lifetimes: ServerLifetimes = attrs.field(factory=ServerLifetimes)
    _tokens: ServerTokens = attrs.field(factory=ServerTokens)
    _open_acknowledgements: OpenAcknowledgements = attrs.field(
        factory=OpenAcknowledgements
    )
    _ends_judge: LifetimeEndsJudge = attrs.field(init=False)
    # Starts without an answer for lifetimes without a session, by the server's name.
    _unsettled_by_name: dict[str, list[UnsettledStart]] = attrs.field(factory=dict)
    _run_lists: RunLists = attrs.field(init=False)
    # Servers that have answered and are still recorded as silent.
    _heard: list[ServerSession] = attrs.field(factory=list)
    _record_changed: trio.Event = attrs.field(factory=trio.Event)
    # Servers that take no tasks until the lease row covers their leases.
    _outlasting: list[tuple[ServerSession, ServerUsage]] = attrs.field(factory=list)
    _response_loss_until_s: float = 0.0

    def __attrs_post_init__(self) -> None:
        self._run_lists = RunLists(self.shard, self.metrics)
        self._ends_judge = LifetimeEndsJudge(
            self._open_acknowledgements, self._doubts_of_last_holder
        )

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
        return self._lifetimes.has_ended(server_id)

    def lifetimes_of(self, name: str) -> list[str]:
        """Return the lifetimes of a server that are part of the shard."""
        return [
            server_id
            for server_id in self._lifetimes.of_name(name)
            if server_id in self.shard.usage_by_server_id
        ]

    def open(self, usage: ServerUsage) -> None:
        """Open a session with a server, or update the existing one."""
        for other_id in self._lifetimes.add(usage.server):
            self.check(other_id)
        existing = self._session_by_server_id.get(usage.server.id)
        if existing is not None:
            existing.update(usage.server)
            return
        session = ServerSession(
            server=usage.server,
            client=self.client,
            lease=self._make_session_lease(usage.server.id),
            listener=self,
            metrics=self.metrics,
            has_work=lambda: usage.has_runs,
            has_room=lambda: (
                usage.is_within_capacity
                and self.shard.knows_capacity(usage, monotonic_s())
            ),
            needs_fresh_progress=lambda: (
                not usage.ends.are_certain
                or needs_watch(usage, monotonic_s(), self.shard.expected_run_time_of)
            ),
            open_acknowledgements=self._open_acknowledgements,
        )
        self._session_by_server_id[usage.server.id] = session
        self._log_beginning(session)
        session.bar(self._unsettled_by_name.pop(name_of(usage.server.id), ()))
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
        lease = ServerLease(
            self.shard_lease,
            self.max_lease_s,
            earlier,
            token_number=self._tokens.number_of(server_id),
        )
        if self.silent.has(server_id):
            lease.recorded_lapse_s = now_s + self.silent.limit_in_s(server_id)
        return lease

    def _make_session_lease(self, server_id: str) -> ServerLease:
        """Return the lease for a session.

        A call meant for another lifetime of the name may just have granted the longest
        lease, since its expiry is a time on another clock.
        """
        lease = self.make_lease(server_id)
        name = name_of(server_id)
        has_granted = any(
            other_id != server_id and other.clock.is_known
            for other_id, other in self._leases_of_name(name)
        )
        if has_granted or name in self._unsettled_by_name:
            lease.expect_longest(monotonic_s())
        return lease

    def _leases_of_name(self, name: str) -> Iterator[tuple[str, ServerLease]]:
        """Yield the leases for the lifetimes of a name, early ones included."""
        for server_id in self._lifetimes.of_name(name):
            session = self._session_by_server_id.get(server_id)
            if session is not None:
                yield server_id, session.lease
        for server_id, lease in self.early_lease_by_server_id.items():
            if name_of(server_id) == name:
                yield server_id, lease

    def _log_beginning(self, session: ServerSession) -> None:
        """Log that a server of which another lifetime is known has started again."""
        server_id = session.server.id
        others = self._lifetimes.of_name(name_of(server_id))
        others.remove(server_id)
        if others:
            log.event(
                logger, "lifetime-began", server=server_id, earlier=",".join(others)
            )

    def _hand_on_unsettled_starts(self, session: ServerSession) -> None:
        """Bar the starts at the other lifetimes, or at the next that is seen."""
        self._forget_old_starts()
        starts = session.take_unsettled_starts()
        name = name_of(session.server.id)
        others = self._lifetimes.of_name(name)
        for server_id in others:
            self._session_by_server_id[server_id].bar(starts)
        kept = [start for start in starts if not start.is_answered]
        if kept and not others:
            self._unsettled_by_name.setdefault(name, []).extend(kept)

    def _forget_old_starts(self) -> None:
        oldest_s = monotonic_s() - MAX_AGE_S
        for name, kept in list(self._unsettled_by_name.items()):
            if all(start.sent_s < oldest_s for start in kept):
                del self._unsettled_by_name[name]

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
                self._lifetimes.remove(server_id)
                self._hand_on_unsettled_starts(session)
                self.nursery.start_soon(self.client.forget, session.server)

    def on_list(
        self, session: ServerSession, response: RenewalResponse, sent_s: float
    ) -> None:
        """Apply the runs and run ends that a backend server listed."""
        usage = self.shard.usage_by_server_id.get(session.server.id)
        if usage is None:
            return
        now_s = monotonic_s()
        self.shard.set_time(now_s, wall_clock_s())
        self._judge_ends(session, usage, now_s)
        self._raise_token(session)
        self._close_if_outlasting(session, usage)
        self._end_earlier_lifetimes(session, response, sent_s)
        self._run_lists.apply(session, usage, response, sent_s, now_s)
        self.wake()

    def _close_if_outlasting(self, session: ServerSession, usage: ServerUsage) -> None:
        """Start nothing whose lease may last longer than the next holder would wait."""
        if usage.has_long_lease or not session.lease.outlasts_row:
            return
        usage.has_long_lease = True
        self._outlasting.append((session, usage))
        log.event(
            logger,
            "lease-outlasts-row",
            server=session.server.id,
            longer_s=session.lease.lapses_at_s() - self.shard_lease.grants_lapse_by_s,
        )

    def open_covered(self) -> None:
        """Let servers take tasks whose leases the stored lease row covers by now."""
        for session, usage in self._outlasting:
            usage.has_long_lease = session.lease.outlasts_row
        self._outlasting = [
            (session, usage)
            for session, usage in self._outlasting
            if usage.has_long_lease
        ]

    def _judge_ends(
        self, session: ServerSession, usage: ServerUsage, now_s: float
    ) -> None:
        """Decide whether a lifetime that answers may have forgotten ends of its runs.

        Once it has obeyed the highest token of the name, this can't change any more.
        """
        server_id = session.server.id
        is_barred = session.lease.has_obeyed_token and self._tokens.is_highest(
            server_id
        )
        was_certain = usage.ends.are_certain
        usage.ends = self._ends_judge.judge(server_id, is_barred, now_s)
        if was_certain and not usage.ends.are_certain:
            # What acknowledged may have granted, too.
            session.lease.expect_longest(now_s)
            self.used_lifetimes.note(server_id, is_certain=False)
            log.event(
                logger,
                "ends-in-doubt",
                logging.WARNING,
                server=server_id,
                listing=usage.ends.listing.value,
            )

    def _doubts_of_last_holder(self, server_id: str, now_s: float) -> bool:
        has_tasks = bool(self.shard.tasks_on(server_id))
        return self.used_lifetimes.may_lack_ends(server_id, now_s, has_tasks)

    def _raise_token(self, session: ServerSession) -> None:
        """Give the lifetime that answers the highest token of its server's name."""
        number = self._tokens.raise_number(session.server.id)
        session.lease.token_number = number

    def on_fenced(self, server_id: str, token: int) -> None:
        """Handle that a server refused a token. Raises LeaseLost.

        If this holder has sent a higher one for any lifetime of the name, the others
        are asked whether they go on; the answer names the one that does.
        """
        highest = self._tokens.highest_of(server_id)
        if token >= self.shard_lease.server_token(highest):
            raise LeaseLost(f"server {server_id} has accepted a higher fencing token")
        log.event(logger, "lifetime-fenced", logging.WARNING, server=server_id)
        session = self._session_by_server_id.get(server_id)
        others = [
            other_id
            for other_id in self._lifetimes.of_name(name_of(server_id))
            if other_id != server_id
        ]
        for other_id in others:
            self.check(other_id)
        if session is not None and not others:
            self._raise_token(session)

    def _end_earlier_lifetimes(
        self, session: ServerSession, response: RenewalResponse, sent_s: float
    ) -> None:
        """End the other lifetimes of the server, and on its host, as this one answers.

        They follow one another. One that had begun before the call was sent thus ended
        before the call was answered. What became of runs under the same name is told by
        a list that shows all of them.
        """
        server_id = session.server.id
        over = [
            other_id
            for other_id in self._lifetimes.others(server_id)
            if other_id in self.shard.usage_by_server_id
            and self._was_open_at(other_id, sent_s)
        ]
        # Earlier holders started tasks there, so that these lifetimes had begun, too.
        over += [
            other_id
            for other_id in self.shard.unknown_servers()
            if name_of(other_id) == name_of(server_id)
        ]
        for other_id in over:
            if name_of(other_id) == name_of(server_id):
                if response.is_cut:
                    continue
                self._move_runs(other_id, session, response, sent_s)
                self.handle_server_end(other_id, "other-lifetime", by=server_id)
            else:
                self.handle_server_end(other_id, "other-lifetime-on-host", by=server_id)

    def _was_open_at(self, server_id: str, at_s: float) -> bool:
        session = self._session_by_server_id.get(server_id)
        return session is not None and session.opened_at_s <= at_s

    def _move_runs(
        self,
        server_id: str,
        session: ServerSession,
        response: RenewalResponse,
        sent_s: float,
    ) -> None:
        """Move the runs that a later lifetime has or may have from one that is over."""
        usage = self.shard.usage_by_server_id[session.server.id]
        listed = {(item.task, item.run) for item in response.running}
        listed |= {(end.task, end.run) for end in response.ended}
        earlier = self._session_by_server_id.get(server_id)
        starts = earlier.take_unsettled_starts() if earlier is not None else []
        unsettled = {start.run_key for start in starts if not start.is_answered}
        now_s = monotonic_s()
        for task in self.shard.tasks_on(server_id):
            if task.id.job_id not in self.shard.job_by_id:
                continue
            fate = fate_of(task, listed, unsettled, sent_s)
            if fate is RunFate.BARRED:
                task.is_stopping = True
            if fate is not RunFate.LOST:
                self.shard.move_run(task, usage, now_s)
            elif not born_ms_of(server_id):
                # It may be the same lifetime, which then has not crashed.
                self.shard.release(task, now_s)
        session.bar(starts, listed)

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

    def on_other_lifetime(self, session: ServerSession, born_ms: int) -> None:
        """Ask the lifetime that answered in place of the one of a session.

        Its first list shows what became of the runs. It takes no new tasks before its
        row has told what it is.
        """
        server = session.server
        later_id = lifetime_id(name_of(server.id), born_ms)
        usage = self.shard.usage_by_server_id.get(server.id)
        if usage is not None:
            usage.is_reachable = usage.is_listed = False
        if later_id not in self.shard.usage_by_server_id:
            self.close_lost()
            later = attrs.evolve(server, id=later_id, host_id="", is_draining=False)
            later_usage = self.shard.put_server(later, monotonic_s())
            later_usage.is_listed = False
            self.open(later_usage)
        answered = self._session_by_server_id.get(later_id)
        if answered is not None:
            self._raise_token(answered)
        self.check(later_id)
        self.wake()

    def is_needed(self, server_id: str) -> bool:
        """Return whether the list of an idle lifetime may tell of runs of others."""
        session = self._session_by_server_id.get(server_id)
        if session is not None and session.unsettled_starts:
            return True
        return bool(self._superseded_by(server_id))

    def _superseded_by(self, server_id: str) -> list[str]:
        """Return the lifetimes whose runs the list of a later one will show."""
        return [
            other_id
            for other_id in self.lifetimes_of(name_of(server_id))
            if other_id != server_id
            and self._session_by_server_id[other_id].is_superseded
        ]

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
        for other_id in self._superseded_by(session.server.id):
            self.handle_server_end(other_id, "other-lifetime", by=session.server.id)
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

    def forget(self, name: str) -> None:
        """Drop the state kept for the lifetimes of a server whose row was removed."""
        self._lifetimes.forget(name)
        self._run_lists.forget(name)

    def handle_server_end(
        self, server_id: str, reason: str, is_over: bool = True, by: str = ""
    ) -> None:
        """Requeue all tasks of a server on which nothing can run any more.

        If ``is_over`` is false, the lifetime may be listed again and is then reused.
        ``by`` is the lifetime whose answer proves it, if one did.
        """
        log.event(
            logger,
            "server-ended",
            server=server_id,
            reason=reason,
            by=by,
            tasks=len(self.shard.tasks_on(server_id)),
        )
        if is_over:
            self._lifetimes.end(server_id)
            session = self._session_by_server_id.get(server_id)
            if session is not None:
                session.close()
        end = ServerEnd.CRASHED if is_over else ServerEnd.SILENT
        self.shard.lose_server(server_id, monotonic_s(), end)
        self.wake()
