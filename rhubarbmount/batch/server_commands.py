"""Sends the holder's orders to one lifetime of a backend server."""

import logging
from collections.abc import Callable
from typing import Any

import attrs
import trio

from rhubarbmount import log
from rhubarbmount.batch.clocks import monotonic_s
from rhubarbmount.batch.metrics import BatchMetrics
from rhubarbmount.batch.model import Server, Task, TaskId
from rhubarbmount.batch.pacing import PaceCommand
from rhubarbmount.batch.server_lease import ServerLease
from rhubarbmount.errors import LeaseLost, OutcomeUnknown, PlatformUnavailable
from rhubarbmount.platform.backend import BackendClient, CommandResult, StartCommand

__all__ = [
    "ServerCommand",
    "CommandListener",
    "CommandSender",
    "StartRequest",
    "StopRequest",
]

logger = logging.getLogger(__name__)

SENDER_COUNT = 4
START_TRIES = 4
RETRY_S = 0.25
QUEUE_SIZE = 10_000
LEASE_CHECK_S = 0.01


@attrs.frozen
class StartRequest:
    """A committed assignment to carry out; ``task`` tells whether it still holds."""

    task: Task
    run: int
    payload: str
    ticket: str

    def is_wanted(self, server_id: str) -> bool:
        """Tell whether the run is still the task's."""
        task = self.task
        return (
            task.run == self.run
            and task.server_id == server_id
            and not task.is_stopping
        )


@attrs.frozen
class StopRequest:
    """A run to stop."""

    task: TaskId
    run: int


ServerCommand = StartRequest | StopRequest | PaceCommand


class CommandListener:
    """What the senders of orders tell their holder."""

    def not_started(
        self, server_id: str, request: StartRequest, result: CommandResult
    ) -> None:
        """Take in that a run surely did not start."""

    def stopped(self, server_id: str, request: StopRequest) -> None:
        """Take in that a run has been forbidden for good."""

    def ended(self, server_id: str) -> None:
        """Take in that the lifetime is surely over."""

    def unanswered(self) -> None:
        """Take in that an order to any backend server was not answered."""


@attrs.define(eq=False)
class CommandSender:
    """Sends orders in their order, a few at a time.

    ``note_silence`` hears the code of each that was not answered.
    """

    server: Server
    client: BackendClient
    lease: ServerLease
    listener: CommandListener
    metrics: BatchMetrics
    note_silence: Callable[[str], None]
    _commands: Any = None
    _source: Any = None

    def __attrs_post_init__(self) -> None:
        self._commands, self._source = trio.open_memory_channel[ServerCommand](
            QUEUE_SIZE
        )

    def send(self, command: ServerCommand) -> None:
        """Queue an order."""
        try:
            self._commands.send_nowait(command)
        except trio.WouldBlock:
            log.event(logger, "orders-dropped", logging.ERROR, server=self.server.id)

    async def run(self) -> None:
        """Send orders until cancelled."""
        async with trio.open_nursery() as nursery:
            for _ in range(SENDER_COUNT):
                nursery.start_soon(self._send_all)

    async def _send_all(self) -> None:
        async for command in self._source:
            match command:
                case StartRequest():
                    await self._start(command)
                case StopRequest():
                    await self._stop(command)
                case PaceCommand():
                    await self._set_pace(command)

    async def _start(self, request: StartRequest) -> None:
        for is_repeat in [False] + [True] * (START_TRIES - 1):
            await self._until_it_may_grant(request)
            if not request.is_wanted(self.server.id):
                return
            if not self.lease.is_reached and not is_repeat:
                self.listener.not_started(
                    self.server.id, request, CommandResult.NOT_SENT
                )
                return
            result = await self._try_start(request)
            if result is CommandResult.DONE or result is CommandResult.ENDED_BEFORE:
                request.task.acknowledged_s = monotonic_s()
                return
            if result is CommandResult.OTHER_LIFETIME:
                self.listener.ended(self.server.id)
                return
            if result not in (None, CommandResult.EXPIRED):
                self.listener.not_started(self.server.id, request, result)
                return
        # It may be carried out late: forbid the run. The list tells what became of it.
        log.event(
            logger,
            "start-unanswered",
            logging.WARNING,
            job=request.task.id.job_id,
            task=request.task.id.place,
            run=request.run,
            server=self.server.id,
        )
        request.task.is_stopping = True
        await self._stop(StopRequest(request.task.id, request.run))

    async def _try_start(self, request: StartRequest) -> CommandResult | None:
        now_s = monotonic_s()
        command = StartCommand(
            task=request.task.id,
            run=request.run,
            payload=request.payload,
            expires_ms=self.lease.start_expiry(now_s),
            fencing_token=self.lease.shard_lease.fencing_token,
            checkpoint=request.task.checkpoint,
            ticket=request.ticket,
        )
        try:
            answer = await self.client.start(self.server, command)
        except PlatformUnavailable as error:
            self.note_silence(error.code)
            await trio.sleep(RETRY_S)
            return None
        except OutcomeUnknown as error:
            self.listener.unanswered()
            self.note_silence(error.code)
            return None
        if self.lease.is_reached:
            self.lease.silences_in_a_row = 0
        self.metrics.starts.labels(answer.result.value).inc()
        self.metrics.start_s.observe(monotonic_s() - now_s)
        if answer.result is CommandResult.FENCED:
            raise LeaseLost(f"{self.server.id} has seen a higher fence")
        if answer.clock_ms:
            self.lease.clock.note(answer.clock_ms, monotonic_s())
        log.frequent_event(
            logger,
            "start",
            job=request.task.id.job_id,
            task=request.task.id.place,
            run=request.run,
            server=self.server.id,
            outcome=answer.result.value,
            took_ms=int((monotonic_s() - now_s) * 1000),
        )
        return answer.result

    async def _until_it_may_grant(self, request: StartRequest) -> None:
        while request.is_wanted(self.server.id):
            if self.lease.may_start:
                return
            await trio.sleep(LEASE_CHECK_S)

    async def _stop(self, request: StopRequest) -> None:
        while not self.lease.has_lapsed:
            try:
                answer = await self.client.stop(
                    self.server,
                    request.task,
                    request.run,
                    self.lease.shard_lease.fencing_token,
                )
            except (PlatformUnavailable, OutcomeUnknown):
                await trio.sleep(RETRY_S)
                continue
            if answer.result is CommandResult.FENCED:
                raise LeaseLost(f"{self.server.id} has seen a higher fence")
            if answer.result is CommandResult.OTHER_LIFETIME:
                self.listener.ended(self.server.id)
                return
            if answer.result is CommandResult.NOT_DONE:
                await trio.sleep(RETRY_S)
                continue
            log.frequent_event(
                logger,
                "stop",
                job=request.task.job_id,
                task=request.task.place,
                run=request.run,
                server=self.server.id,
                outcome=answer.result.value,
            )
            self.listener.stopped(self.server.id, request)
            return

    async def _set_pace(self, command: PaceCommand) -> None:
        """Order a pace once; the next look decides anew if it is not answered."""
        task = command.task
        try:
            answer = await self.client.set_pace(
                self.server,
                task.id,
                command.run,
                command.percent,
                self.lease.shard_lease.fencing_token,
            )
        except (PlatformUnavailable, OutcomeUnknown) as error:
            self.note_silence(error.code)
            return
        if answer.result is CommandResult.FENCED:
            raise LeaseLost(f"{self.server.id} has seen a higher fence")
        if answer.result is CommandResult.DONE and task.run == command.run:
            task.pace = command.percent
        log.frequent_event(
            logger,
            "pace",
            job=task.id.job_id,
            task=task.id.place,
            run=command.run,
            server=self.server.id,
            percent=command.percent,
            outcome=answer.result.value,
        )
