"""Sends the holder's commands to one lifetime of a backend server."""

import logging
from collections.abc import Callable, Container, Iterable
from typing import Any

import attrs
import trio

from rhubarbmount import log
from rhubarbmount.batch.clocks import monotonic_s
from rhubarbmount.batch.metrics import BatchMetrics
from rhubarbmount.batch.model import Server, StopReason, Task, TaskId
from rhubarbmount.batch.pacing import PaceCommand
from rhubarbmount.batch.server_lease import ServerLease
from rhubarbmount.batch.unsettled_starts import (
    MAX_AGE_S,
    UnsettledStart,
    UnsettledStarts,
)
from rhubarbmount.errors import OtherLifetime, OutcomeUnknown, PlatformUnavailable
from rhubarbmount.platform.backend import (
    BackendClient,
    CommandResponse,
    CommandResult,
    StartCommand,
)

__all__ = [
    "ServerCommand",
    "CommandListener",
    "CommandSender",
    "StartRequest",
    "StopRequest",
]

logger = logging.getLogger(__name__)

SENDER_COUNT = 4
START_ATTEMPTS = 4
RETRY_S = 0.25
QUEUE_SIZE = 10_000
# Outcomes after which a start is worth another try at the same server.
REPEATED_RESULTS = (CommandResult.EXPIRED, CommandResult.NOT_SENT)
# Outcomes that tell that the run has begun; no other answer allows that it has.
BEGUN_RESULTS = (CommandResult.DONE, CommandResult.ENDED_BEFORE)
LEASE_POLL_S = 0.01


@attrs.frozen
class StartRequest:
    """A committed assignment to start on the server.

    ``task`` is the live object, which shows whether the assignment still applies. A
    run that ``is_trial`` is stopped as soon as it has begun.
    """

    task: Task
    run: int
    payload: str
    ticket: str
    is_trial: bool = False

    def is_assigned(self, server_id: str) -> bool:
        """Return whether this is still the current run of the task."""
        return self.task.run == self.run and self.task.server_id == server_id

    def is_current(self, server_id: str) -> bool:
        """Return whether the task still has this run here and is not being stopped."""
        return self.is_assigned(server_id) and not self.task.is_stopping


@attrs.frozen
class StopRequest:
    """A run to stop.

    A start of the run may still be carried out until ``late_until_s``, whether or not
    the leases have lapsed.
    """

    task: TaskId
    run: int
    reason: StopReason
    late_until_s: float = 0.0


ServerCommand = StartRequest | StopRequest | PaceCommand


class CommandListener:
    """Callbacks of a command sender to the holder of the shard."""

    def on_not_started(
        self, server_id: str, request: StartRequest, result: CommandResult
    ) -> None:
        """Handle that a run is known not to have started."""

    def on_stopped(self, server_id: str, request: StopRequest) -> None:
        """Handle that a run has been stopped and can't start any more."""

    def on_lifetime_end(self, server_id: str) -> None:
        """Handle that the server lifetime is known to be over."""

    def on_fenced(self, server_id: str, token: int) -> None:
        """Handle that a server refused a token. Raises LeaseLost.

        It may have been a call of this holder for another lifetime.
        """

    def on_unanswered(self) -> None:
        """Handle that a call to some backend server was not answered."""

    def is_late(self) -> bool:
        """Return whether this host is late itself and should make fewer calls."""
        return False


@attrs.define(eq=False)
class CommandSender:
    """Sends queued commands first in, first out, with up to SENDER_COUNT at a time.

    ``on_failure`` is called with the error code of each start or pace command that was
    not answered.
    """

    server: Server
    client: BackendClient
    lease: ServerLease
    listener: CommandListener
    metrics: BatchMetrics
    on_failure: Callable[[str], None]
    # Whether the server has room for all that is assigned to it.
    has_room: Callable[[], bool] = lambda: True
    # Called when an answer shows another lifetime, or its clock.
    on_other_lifetime: Callable[[], None] = lambda: None
    _unsettled: UnsettledStarts = attrs.field(factory=UnsettledStarts)
    _send_channel: Any = None
    _receive_channel: Any = None

    def __attrs_post_init__(self) -> None:
        self._send_channel, self._receive_channel = trio.open_memory_channel[
            ServerCommand
        ](QUEUE_SIZE)

    def send(self, command: ServerCommand) -> None:
        """Queue a command; drops it if the queue is full."""
        try:
            self._send_channel.send_nowait(command)
        except trio.WouldBlock:
            log.event(logger, "orders-dropped", logging.ERROR, server=self.server.id)

    @property
    def unsettled_starts(self) -> list[UnsettledStart]:
        """Return the starts that a later lifetime of the server may carry out."""
        return self._unsettled.find_all(monotonic_s())

    def take_unsettled_starts(self) -> list[UnsettledStart]:
        """Return the starts that a later lifetime may carry out, once."""
        return self._unsettled.take_all(monotonic_s())

    def settle_answered(self, before_s: float) -> None:
        """Record that the lifetime went on when a renewal was sent."""
        self._unsettled.settle_answered(before_s)

    def bar(
        self,
        starts: Iterable[UnsettledStart],
        listed: Container[tuple[TaskId, int]] = (),
    ) -> None:
        """Stop the runs whose starts for earlier lifetimes may still be under way.

        A run that the server has ``listed`` does not start again there. Lifetimes that
        follow have to be told of all.
        """
        now_s = monotonic_s()
        for start in starts:
            late_until_s = start.sent_s + MAX_AGE_S
            if start.is_answered or late_until_s < now_s:
                continue
            self._unsettled.inherit(start)
            if start.run_key not in listed:
                self.send(
                    StopRequest(
                        start.task, start.run, StopReason.UNANSWERED, late_until_s
                    )
                )

    async def run(self) -> None:
        """Send commands until cancelled."""
        async with trio.open_nursery() as nursery:
            for _ in range(SENDER_COUNT):
                nursery.start_soon(self._send_all)

    async def _send_all(self) -> None:
        async for command in self._receive_channel:
            match command:
                case StartRequest():
                    await self._start(command)
                case StopRequest():
                    await self._stop(command)
                case PaceCommand():
                    await self._set_pace(command)

    async def _start(self, request: StartRequest) -> None:
        """Send a start until its outcome is known, at most START_ATTEMPTS times.

        A try without an answer may still be carried out late. After one, no refusal
        proves that the run will not start, so the run is barred; the next list shows
        what became of it. A server may have shrunk since the assignment.
        """
        is_unsettled = False
        result = None
        for is_repeat in [False] + [True] * (START_ATTEMPTS - 1):
            await self._wait_for_grant(request)
            if not request.is_current(self.server.id):
                return
            hindrance = self._hindrance_to_start(is_repeat)
            if hindrance is not None:
                result = hindrance
                break
            result = await self._try_start(request)
            if result in BEGUN_RESULTS:
                await self._handle_begun(request)
                return
            if result is CommandResult.OTHER_LIFETIME:
                self.listener.on_lifetime_end(self.server.id)
                return
            if result is None:
                is_unsettled = True
            elif result not in REPEATED_RESULTS:
                break
        if is_unsettled:
            await self._bar(request, result)
        else:
            self.listener.on_not_started(
                self.server.id, request, result or CommandResult.NOT_SENT
            )

    def _hindrance_to_start(self, is_repeat: bool) -> CommandResult | None:
        """Return what a start would come to if it should not be sent now, or None."""
        if not self.lease.is_reachable and not is_repeat:
            return CommandResult.NOT_SENT
        return None if self.has_room() else CommandResult.NO_ROOM

    async def _bar(self, request: StartRequest, result: CommandResult | None) -> None:
        """Stop a run for good whose start may still be under way."""
        log.event(
            logger,
            "start-unanswered",
            logging.WARNING,
            job=request.task.id.job_id,
            task=request.task.id.place,
            run=request.run,
            server=self.server.id,
            last_outcome=result.value if result else "unanswered",
        )
        if request.is_assigned(self.server.id):
            request.task.is_stopping = True
        await self._stop(
            StopRequest(request.task.id, request.run, StopReason.UNANSWERED)
        )

    async def _handle_begun(self, request: StartRequest) -> None:
        """Record that a run has begun; stop it if only its end is of interest."""
        if request.is_assigned(self.server.id):
            request.task.acknowledged_s = monotonic_s()
        if request.is_trial and request.is_current(self.server.id):
            request.task.is_stopping = True
            task = request.task.id
            await self._stop(StopRequest(task, request.run, StopReason.END_TRIAL))

    async def _try_start(self, request: StartRequest) -> CommandResult | None:
        """Send a start once; return None if it was not answered."""
        now_s = monotonic_s()
        command = StartCommand(
            task=request.task.id,
            run=request.run,
            payload=request.payload,
            expires_ms=self.lease.start_expiry_ms(now_s, self.listener.is_late()),
            fencing_token=self.lease.fencing_token,
            checkpoint=request.task.checkpoint,
            ticket=request.ticket,
        )
        number = self._note_try(request, now_s)
        try:
            response = await self.client.start(self.server, command)
        except PlatformUnavailable as error:
            self._unsettled.drop(number)
            self._record_failure(error)
            await trio.sleep(RETRY_S)
            return CommandResult.NOT_SENT
        except OutcomeUnknown as error:
            if request.is_assigned(self.server.id):
                request.task.sent_s = now_s
            self.listener.on_unanswered()
            self._record_failure(error)
            return None
        if response.result is CommandResult.DONE:
            self._unsettled.note_answer(number, monotonic_s())
        else:
            self._unsettled.drop(number)
        if response.result in BEGUN_RESULTS and request.is_assigned(self.server.id):
            request.task.sent_s = now_s
        if self.lease.is_reachable:
            self.lease.consecutive_failures = 0
        self.metrics.starts.labels(response.result.value).inc()
        self.metrics.start_s.observe(monotonic_s() - now_s)
        if response.result is CommandResult.FENCED:
            self.listener.on_fenced(self.server.id, command.fencing_token)
            await trio.sleep(RETRY_S)
            return CommandResult.NOT_SENT
        is_of_lifetime = self._note_reading(response, now_s)
        is_done = response.result is CommandResult.DONE
        if is_done and is_of_lifetime and request.is_assigned(self.server.id):
            request.task.progress.start(response.clock_ms)
        log.frequent_event(
            logger,
            "start",
            job=request.task.id.job_id,
            task=request.task.id.place,
            run=request.run,
            server=self.server.id,
            outcome=response.result.value,
            took_ms=int((monotonic_s() - now_s) * 1000),
        )
        return response.result

    def _record_failure(self, error: PlatformUnavailable | OutcomeUnknown) -> None:
        self.on_failure(error.code)
        if isinstance(error, OtherLifetime):
            self.on_other_lifetime()

    def _note_try(self, request: StartRequest, now_s: float) -> int:
        """Record a start that is about to be sent; return the number of the try."""
        number = self._unsettled.note(request.task.id, request.run, now_s)
        dropped = self._unsettled.trim(now_s)
        if dropped:
            log.event(
                logger,
                "unsettled-starts-dropped",
                logging.ERROR,
                server=self.server.id,
                starts=dropped,
            )
        return number

    def _note_reading(self, response: CommandResponse, sent_s: float) -> bool:
        """Record the clock in an answer; return whether it is that of the lifetime."""
        now_s = monotonic_s()
        if not response.clock_ms:
            return True
        if self.lease.note_command_reading(response.clock_ms, sent_s, now_s):
            return True
        log.event(
            logger,
            "other-clock",
            logging.WARNING,
            server=self.server.id,
            clock_ms=response.clock_ms,
            last_ms=self.lease.clock.read_ms,
            age_s=now_s - self.lease.clock.read_at_s,
        )
        self.on_other_lifetime()
        return False

    async def _wait_for_grant(self, request: StartRequest) -> None:
        while request.is_current(self.server.id):
            if self.lease.may_start(monotonic_s()):
                return
            await trio.sleep(LEASE_POLL_S)

    async def _stop(self, request: StopRequest) -> None:
        """Send a stop once; unless that settles it, queue it again behind the others.

        Once all leases have lapsed there is nothing left to stop, unless a start for an
        earlier lifetime is under way.
        """
        is_late_start_over = monotonic_s() >= request.late_until_s
        if self.lease.has_lapsed and is_late_start_over:
            return
        if await self._try_stop(request):
            return
        await trio.sleep(RETRY_S)
        self.send(request)

    async def _try_stop(self, request: StopRequest) -> bool:
        """Send a stop; return whether it is settled."""
        sent_s = monotonic_s()
        token = self.lease.fencing_token
        try:
            response = await self.client.stop(
                self.server, request.task, request.run, token
            )
        except OtherLifetime:
            self.on_other_lifetime()
            return False
        except (PlatformUnavailable, OutcomeUnknown):
            return False
        if response.result is CommandResult.FENCED:
            self.listener.on_fenced(self.server.id, token)
            return False
        if response.result is CommandResult.OTHER_LIFETIME:
            self.listener.on_lifetime_end(self.server.id)
            return True
        if not self._note_reading(response, sent_s) or (
            response.result is CommandResult.NOT_DONE
        ):
            return False
        log.frequent_event(
            logger,
            "stop",
            job=request.task.job_id,
            task=request.task.place,
            run=request.run,
            server=self.server.id,
            outcome=response.result.value,
            reason=request.reason.value,
        )
        self.listener.on_stopped(self.server.id, request)
        return True

    async def _set_pace(self, command: PaceCommand) -> None:
        """Send a pace command once.

        If it is not answered, the next list decides again.
        """
        task = command.task
        token = self.lease.fencing_token
        try:
            response = await self.client.set_pace(
                self.server, task.id, command.run, command.percent, token
            )
        except (PlatformUnavailable, OutcomeUnknown) as error:
            self._record_failure(error)
            return
        if response.result is CommandResult.FENCED:
            self.listener.on_fenced(self.server.id, token)
            return
        if response.result is CommandResult.DONE and task.run == command.run:
            task.pace = command.percent
        log.frequent_event(
            logger,
            "pace",
            job=task.id.job_id,
            task=task.id.place,
            run=command.run,
            server=self.server.id,
            percent=command.percent,
            outcome=response.result.value,
        )
