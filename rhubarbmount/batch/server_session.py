"""The holder's link to one lifetime of a backend server."""

import logging
import math
from collections.abc import Callable

import attrs
import trio

from rhubarbmount import log
from rhubarbmount.batch.clocks import monotonic_s
from rhubarbmount.batch.metrics import BatchMetrics
from rhubarbmount.batch.model import Server
from rhubarbmount.batch.server_commands import (
    CommandListener,
    CommandSender,
    ServerCommand,
)
from rhubarbmount.batch.server_lease import ServerLease
from rhubarbmount.errors import LeaseLost, OutcomeUnknown, PlatformUnavailable
from rhubarbmount.platform.backend import BackendClient, CommandResult, RenewalResponse

__all__ = ["ServerSession", "SessionListener"]

logger = logging.getLogger(__name__)

RENEWAL_WAIT_S = 1.0
WATCHFUL_WAIT_S = 0.3
RETRY_S = 0.25
COMMIT_WAIT_S = 0.25


class SessionListener(CommandListener):
    """What the links tell their holder."""

    def listed(
        self, session: "ServerSession", answer: RenewalResponse, sent_s: float
    ) -> None:
        """Take in what a backend server lists."""

    def lapsed(self, session: "ServerSession") -> None:
        """Take in that every lease granted there has surely ended."""

    def reached(self, session: "ServerSession", is_reached: bool) -> None:
        """Take in whether the backend server answers."""

    def stays_silent(self, session: "ServerSession") -> None:
        """Take in that the backend server is granted nothing until further notice."""

    def is_doubtful(self) -> bool:
        """Tell whether answers got lost lately, so that long waits cost much."""
        return False


@attrs.define(eq=False)
class ServerSession:
    """Keeps the lease of what runs on a backend server, and passes its orders on."""

    server: Server
    client: BackendClient
    lease: ServerLease
    listener: SessionListener
    metrics: BatchMetrics
    has_work: Callable[[], bool]
    # Tells whether the percentages of its runs are wanted soon.
    is_watchful: Callable[[], bool]
    # Ends up to this number are committed and may be acknowledged.
    committed: int = 0
    acknowledged: int = 0
    listed_to: int = 0
    is_greeted: bool = False
    _wake: trio.Event = attrs.field(factory=trio.Event)
    _commands: CommandSender = attrs.field(init=False)
    _scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)

    def __attrs_post_init__(self) -> None:
        self._commands = CommandSender(
            server=self.server,
            client=self.client,
            lease=self.lease,
            listener=self.listener,
            metrics=self.metrics,
            note_silence=self._note_silence,
        )

    async def run(self) -> None:
        """Serve the link until it is closed."""
        with self._scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._commands.run)
                await self._renew_forever()

    def close(self) -> None:
        """End the link."""
        self._scope.cancel()

    def update(self, server: Server) -> None:
        """Take in what the backend server reports of itself anew."""
        self.server = server
        self._commands.server = server

    def send(self, command: ServerCommand) -> None:
        """Queue an order."""
        self._commands.send(command)
        self.wake()

    def wake(self) -> None:
        """Let the loop look whether there is a lease to renew."""
        self._wake.set()

    # Renewing.

    async def _renew_forever(self) -> None:
        while True:
            if not self._has_reason():
                self._wake = trio.Event()
                await self._wake.wait()
                continue
            answer = await self._renew_once()
            if answer is None:
                await self._pause()
            elif answer.ended:
                # Ends that wait for their commit are listed at once each time.
                await self._await_commit()

    async def _pause(self) -> None:
        """Wait a little before a silent server is asked again."""
        if not self.lease.is_reached:
            await trio.sleep(min(RETRY_S, self.lease.until_lapse_s(monotonic_s())))
            self._note_lapse()

    async def _await_commit(self) -> None:
        with trio.move_on_after(COMMIT_WAIT_S):
            while self.committed < self.listed_to:
                self._wake = trio.Event()
                await self._wake.wait()

    def _has_reason(self) -> bool:
        return (
            not self.is_greeted or self.has_work() or self.acknowledged < self.listed_to
        )

    async def _renew_once(self) -> RenewalResponse | None:
        sent_s = monotonic_s()
        acknowledged = self.committed
        answer = None
        try:
            wait_s = (
                math.inf if self.lease.is_reached else self.lease.until_lapse_s(sent_s)
            )
            with trio.move_on_after(wait_s):
                answer = await self.client.renew(
                    self.server,
                    self.lease.shard_lease.fencing_token,
                    acknowledged,
                    self.lease.expiry(sent_s),
                    self._wait_s(),
                )
        except (PlatformUnavailable, OutcomeUnknown) as error:
            self.listener.unanswered()
            self._note_silence(error.code)
            return None
        if answer is None:
            self._note_silence("timeout")
            return None
        return self._take_in(answer, acknowledged, sent_s)

    def _wait_s(self) -> float:
        if not self.is_greeted or self.lease.silences_in_a_row or not self.has_work():
            return 0.0
        is_short = self.is_watchful() or self.listener.is_doubtful()
        return WATCHFUL_WAIT_S if is_short else RENEWAL_WAIT_S

    def _take_in(
        self, answer: RenewalResponse, acknowledged: int, sent_s: float
    ) -> RenewalResponse | None:
        if answer.result is CommandResult.FENCED:
            raise LeaseLost(f"{self.server.id} has seen a higher fence")
        if answer.result is CommandResult.OTHER_LIFETIME:
            self.listener.ended(self.server.id)
            return None
        if answer.result is not CommandResult.DONE:
            self._note_silence(answer.result.value)
            return None
        self.lease.clock.note(answer.clock_ms, monotonic_s())
        self._note_answer()
        self.acknowledged = max(self.acknowledged, acknowledged)
        self.listener.listed(self, answer, sent_s)
        self.listed_to = max([self.listed_to, *(end.number for end in answer.ended)])
        self.is_greeted = True
        return answer

    def _note_answer(self) -> None:
        if self.lease.note_answer():
            if self.is_greeted:
                log.event(logger, "server-regained", server=self.server.id)
            self.listener.reached(self, True)

    def _note_silence(self, code: str) -> None:
        if self.lease.note_silence():
            log.event(
                logger,
                "server-lost",
                logging.WARNING,
                server=self.server.id,
                code=code,
                lapses_in_s=self.lease.lapses_at_s() - monotonic_s(),
            )
            self.listener.reached(self, False)
        if self.is_greeted and self.lease.must_be_recorded:
            self.lease.is_recorded = True
            self.listener.stays_silent(self)
        self._note_lapse()

    def _note_lapse(self) -> None:
        if self.lease.note_lapse(monotonic_s()):
            self.listener.lapsed(self)
