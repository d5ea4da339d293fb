"""Session of the holder of a shard with one lifetime of a backend server."""

import logging
import math
from collections.abc import Callable, Container, Iterable

import attrs
import trio

from rhubarbmount import log
from rhubarbmount.batch.clocks import monotonic_s
from rhubarbmount.batch.lifetimes import born_ms_of
from rhubarbmount.batch.metrics import BatchMetrics
from rhubarbmount.batch.model import Server, TaskId
from rhubarbmount.batch.open_acknowledgements import OpenAcknowledgements
from rhubarbmount.batch.server_commands import (
    CommandListener,
    CommandSender,
    ServerCommand,
)
from rhubarbmount.batch.server_lease import ServerLease
from rhubarbmount.batch.unsettled_starts import UnsettledStart
from rhubarbmount.errors import (
    LeaseLost,
    OtherLifetime,
    OutcomeUnknown,
    PlatformUnavailable,
)
from rhubarbmount.platform.backend import BackendClient, CommandResult, RenewalResponse

__all__ = ["ServerSession", "SessionListener"]

logger = logging.getLogger(__name__)

# How long a renewal may wait at the server before it is answered. The short wait is for
# servers whose progress is needed soon, and while responses get lost.
RENEWAL_WAIT_S = 1.0
SHORT_RENEWAL_WAIT_S = 0.3
RETRY_S = 0.25
# How often a server on which nothing can run any more is asked whether it answers.
LAPSED_RETRY_S = 1.0
# How long a session rests after an unexpected error.
SESSION_RETRY_S = 1.0
COMMIT_WAIT_S = 0.25
# At a takeover servers with runs are asked first, as their leases end soon.
IDLE_DELAY_S = 0.01


class SessionListener(CommandListener):
    """Callbacks of a session to the holder of the shard."""

    def on_list(
        self, session: "ServerSession", response: RenewalResponse, sent_s: float
    ) -> None:
        """Handle the runs and run ends that a backend server listed."""

    def on_other_lifetime(self, session: "ServerSession", born_ms: int) -> None:
        """Handle that the lifetime of the same name that began then has answered."""

    def on_lapse(self, session: "ServerSession") -> None:
        """Handle that every grant to the server has lapsed."""

    def on_reachability_change(
        self, session: "ServerSession", is_reachable: bool
    ) -> None:
        """Handle a change in whether the backend server answers."""

    def on_silent(self, session: "ServerSession") -> None:
        """Handle that the server is granted nothing more until it is heard of."""

    def has_recent_response_loss(self) -> bool:
        """Return whether responses got lost recently, so that long waits are costly."""
        return False


@attrs.define(eq=False)
class ServerSession:
    """Renews the lease of a backend server and queues commands for it."""

    server: Server
    client: BackendClient
    lease: ServerLease
    listener: SessionListener
    metrics: BatchMetrics
    has_work: Callable[[], bool]
    # Whether the progress percentages of its runs are needed soon.
    needs_fresh_progress: Callable[[], bool]
    # Whether the server has room for all that is assigned to it.
    has_room: Callable[[], bool] = lambda: True
    # Acknowledgements that other lifetimes of the server may get.
    open_acknowledgements: OpenAcknowledgements = attrs.field(
        factory=OpenAcknowledgements
    )
    # Run ends up to this number are committed and may be acknowledged.
    committed: int = 0
    acknowledged: int = 0
    listed_to: int = 0
    is_established: bool = False
    # Whether a list was read that shows every run.
    has_whole_list: bool = False
    # Set once another lifetime of the name has answered; nothing is sent from then on.
    is_superseded: bool = False
    # Since when no call has been answered.
    failing_since_s: float = 0.0
    # The lifetime began before this time, as its row had been read.
    opened_at_s: float = attrs.field(factory=monotonic_s)
    # Set from the first unexpected error on.
    _has_crashed: bool = False
    _is_check_due: bool = False
    _check_requested_s: float = 0.0
    _wake: trio.Event = attrs.field(factory=trio.Event)
    _command_sender: CommandSender = attrs.field(init=False)
    _scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)

    def __attrs_post_init__(self) -> None:
        self._command_sender = CommandSender(
            server=self.server,
            client=self.client,
            lease=self.lease,
            listener=self.listener,
            metrics=self.metrics,
            on_failure=self._record_failure,
            has_room=self.has_room,
            on_other_lifetime=self.check,
        )

    async def run(self) -> None:
        """Run the session until it is closed."""
        with self._scope:
            if not self.has_work():
                await trio.sleep(IDLE_DELAY_S)
            while True:
                await self._run_until_error()
                await trio.sleep(SESSION_RETRY_S)

    async def _run_until_error(self) -> None:
        """Send commands and renew the lease until an unexpected error.

        A bug that one server brings to light must not stop all the others.
        """
        try:
            if self._has_crashed:
                self._record_failure("session-failed")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._command_sender.run)
                await self._renew_forever()
        except* LeaseLost:
            raise
        except* Exception:
            logger.exception("event=session-failed server=%s", self.server.id)
            self._has_crashed = True

    def close(self) -> None:
        """End the session."""
        self._scope.cancel()

    def update(self, server: Server) -> None:
        """Replace the server's description by a newer one."""
        self.server = server
        self._command_sender.server = server

    def send(self, command: ServerCommand) -> None:
        """Queue a command and wake the renewal loop."""
        self._command_sender.send(command)
        self.wake()

    def wake(self) -> None:
        """Wake the renewal loop to check whether a renewal is due."""
        self._wake.set()

    def check(self) -> None:
        """Renew even if nothing runs there, to learn whether the lifetime goes on."""
        self._is_check_due = True
        self._check_requested_s = monotonic_s()
        self.wake()

    @property
    def unsettled_starts(self) -> list[UnsettledStart]:
        """Return the starts that a later lifetime may carry out."""
        return self._command_sender.unsettled_starts

    def take_unsettled_starts(self) -> list[UnsettledStart]:
        """Return the starts that a later lifetime may carry out, once."""
        return self._command_sender.take_unsettled_starts()

    def bar(
        self,
        starts: Iterable[UnsettledStart],
        listed: Container[tuple[TaskId, int]] = (),
    ) -> None:
        """Stop the runs, unless listed, that earlier lifetimes were told to start."""
        self._command_sender.bar(starts, listed)
        self.wake()

    # Renewal.

    async def _renew_forever(self) -> None:
        while True:
            if not self._needs_renewal():
                self._wake = trio.Event()
                await self._wake.wait()
                continue
            response = await self._renew_once()
            if response is None:
                await self._pause()
            elif response.ended:
                # Until the ends are committed and acknowledged, each renewal is
                # answered at once with the same ends; don't poll in a tight loop.
                await self._await_commit()

    async def _pause(self) -> None:
        """Wait before the next attempt to reach a server that does not answer."""
        if self.lease.is_reachable:
            return
        retry_s = LAPSED_RETRY_S if self.lease.has_lapsed else RETRY_S
        await trio.sleep(min(retry_s, self.lease.until_lapse_s(monotonic_s())))
        self._check_lapse()

    async def _await_commit(self) -> None:
        with trio.move_on_after(COMMIT_WAIT_S):
            while self.committed < self.listed_to:
                self._wake = trio.Event()
                await self._wake.wait()

    def _needs_renewal(self) -> bool:
        return (
            not self.is_established
            or not self.lease.is_reachable
            or self._is_check_due
            or self.has_work()
            or self.acknowledged < self.listed_to
        )

    async def _renew_once(self) -> RenewalResponse | None:
        sent_s = monotonic_s()
        acknowledged = self._next_acknowledgement()
        number = self._note_acknowledgement(acknowledged, sent_s)
        token = self.lease.fencing_token
        expires_ms = self.lease.renewal_expiry_ms(sent_s, self.listener.is_late())
        response = None
        try:
            timeout_s = (
                math.inf
                if self.lease.is_reachable
                else self.lease.until_lapse_s(sent_s)
            )
            with trio.move_on_after(timeout_s):
                response = await self.client.renew(
                    self.server,
                    token,
                    acknowledged,
                    expires_ms,
                    self._renewal_wait_s(),
                )
        except OtherLifetime as error:
            self._note_other_lifetime(error.born_ms)
            return None
        except (PlatformUnavailable, OutcomeUnknown) as error:
            if isinstance(error, PlatformUnavailable):
                self.open_acknowledgements.settle(self.server.id, number)
            if not self.lease.has_lapsed:
                self.listener.on_unanswered()
            self._record_failure(error.code, sent_s)
            return None
        if response is None:
            self._record_failure("timeout", sent_s)
            return None
        if response.born_ms not in (0, born_ms_of(self.server.id)):
            self._note_other_lifetime(response.born_ms, acknowledged, expires_ms)
            return None
        self.open_acknowledgements.settle(self.server.id, number)
        return self._handle_response(response, acknowledged, token, sent_s)

    def _note_other_lifetime(
        self, born_ms: int, acknowledged: int = 0, expires_ms: int | None = None
    ) -> None:
        """End the session, as another lifetime has answered.

        It may have obeyed what the renewal told this one.
        """
        log.event(
            logger,
            "other-lifetime-answered",
            logging.WARNING,
            server=self.server.id,
            answered_born_ms=born_ms,
            acknowledged=acknowledged,
            granted=expires_ms is not None,
        )
        self.is_superseded = True
        self.listener.on_other_lifetime(self, born_ms)
        self.close()

    def _next_acknowledgement(self) -> int:
        """Return the number to acknowledge, or 0 if that would be nothing new.

        The call may reach another lifetime, which numbers its ends anew. After a failed
        call that is more probable, so that nothing is acknowledged then.
        """
        if self.lease.consecutive_failures:
            return 0
        return self.committed if self.committed > self.acknowledged else 0

    def _note_acknowledgement(self, acknowledged: int, sent_s: float) -> int:
        """Record a renewal that is about to be sent; return its number, or 0."""
        if not acknowledged:
            return 0
        return self.open_acknowledgements.note(self.server.id, sent_s)

    def _renewal_wait_s(self) -> float:
        if (
            not self.is_established
            or self.lease.consecutive_failures
            or not self.has_work()
        ):
            return 0.0
        if self.listener.is_late():
            return RENEWAL_WAIT_S
        is_short_wait = (
            self.needs_fresh_progress()
            or self.listener.has_recent_response_loss()
            # They have to be renewed as soon as the store is back.
            or self.lease.shard_lease.grants_end_soon(monotonic_s())
        )
        return SHORT_RENEWAL_WAIT_S if is_short_wait else RENEWAL_WAIT_S

    def _handle_response(
        self,
        response: RenewalResponse,
        acknowledged: int,
        token: int,
        sent_s: float,
    ) -> RenewalResponse | None:
        if response.result is CommandResult.FENCED:
            self.listener.on_fenced(self.server.id, token)
            self._record_failure(response.result.value)
            return None
        if response.result is CommandResult.OTHER_LIFETIME:
            self.listener.on_lifetime_end(self.server.id)
            self.close()
            return None
        if response.result is not CommandResult.DONE:
            self._record_failure(response.result.value)
            return None
        if sent_s >= self._check_requested_s:
            self._is_check_due = False
        self._command_sender.settle_answered(sent_s)
        self.lease.note_reading(response.clock_ms, sent_s, monotonic_s())
        self.lease.note_obeyed(token, monotonic_s())
        self.acknowledged = max(self.acknowledged, acknowledged)
        if not self._apply_list(response, sent_s):
            self._record_failure("list-failed")
            return None
        self._record_response()
        self.listed_to = max([self.listed_to, *(end.number for end in response.ended)])
        self.is_established = True
        self.has_whole_list = self.has_whole_list or not response.is_cut
        return response

    def _apply_list(self, response: RenewalResponse, sent_s: float) -> bool:
        """Pass a list on; return whether it could be handled.

        A bug that one server's list brings to light must not stop all the others.
        """
        try:
            self.listener.on_list(self, response, sent_s)
        except Exception:
            logger.exception("event=list-failed server=%s", self.server.id)
            return False
        return True

    def _record_response(self) -> None:
        if self.lease.record_response():
            if self.is_established:
                log.event(logger, "server-regained", server=self.server.id)
            self.listener.on_reachability_change(self, True)

    def _record_failure(self, code: str, sent_s: float | None = None) -> None:
        if not self.lease.consecutive_failures:
            # Other failures show at once that the server is gone.
            self.failing_since_s = monotonic_s()
            if code == "timeout" and sent_s is not None:
                self.failing_since_s = sent_s
        if self.lease.record_failure():
            log.event(
                logger,
                "server-lost",
                logging.WARNING,
                server=self.server.id,
                code=code,
                lapses_in_s=self.lease.lapses_at_s() - monotonic_s(),
            )
            self.listener.on_reachability_change(self, False)
        if self.lease.is_never_reached:
            log.event(
                logger,
                "server-not-reached",
                logging.WARNING,
                server=self.server.id,
                code=code,
                lapses_in_s=self.lease.lapses_at_s() - monotonic_s(),
                bound=self.lease.earlier.source,
            )
        if self.is_established and self.lease.must_record_silence:
            self.lease.recorded_lapse_s = self.lease.lapses_at_s()
            self.listener.on_silent(self)
        self._check_lapse()

    def _check_lapse(self) -> None:
        if self.lease.check_lapse(monotonic_s()):
            self.listener.on_lapse(self)
