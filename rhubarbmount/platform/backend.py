"""Client for backend servers: commands, lease renewals and reports of their runs."""

import enum
import functools
from collections.abc import Mapping
from typing import Any

import attrs

from rhubarbmount.batch.clocks import monotonic_s
from rhubarbmount.batch.lateness import Lateness
from rhubarbmount.batch.lifetimes import born_ms_of, name_of
from rhubarbmount.batch.model import RunEnd, RunReport, Server, TaskId
from rhubarbmount.errors import OtherLifetime, OutcomeUnknown, PlatformUnavailable
from rhubarbmount.platform.json_client import (
    JsonClient,
    JsonResponse,
    Peer,
    decoding_response,
    encode_header,
)

__all__ = [
    "BackendClient",
    "RenewalResponse",
    "CommandResponse",
    "CommandResult",
    "StartCommand",
]

COMMAND_TIMEOUT_S = 0.35
RENEWAL_MARGIN_S = 0.35
# A run is listed by each renewal until it ends.
MAX_KEPT_TASKS = 8192
MAX_KEPT_PEERS = 2048
# How many ends of runs a server lists at a time.
MAX_LISTED_ENDS = 500


class CommandResult(enum.Enum):
    """Outcome of a command to a backend server."""

    DONE = "done"
    FENCED = "fenced"
    ENDED_BEFORE = "ended-before"
    EXPIRED = "expired"
    NO_ROOM = "no-room"
    NO_TICKET = "no-ticket"
    NOT_DONE = "not-done"
    OTHER_LIFETIME = "other-lifetime"
    NOT_SENT = "not-sent"


RESULT_BY_REASON = {
    "fence": CommandResult.FENCED,
    "old": CommandResult.ENDED_BEFORE,
    "late": CommandResult.EXPIRED,
    "room": CommandResult.NO_ROOM,
    "ticket": CommandResult.NO_TICKET,
}


@attrs.frozen
class CommandResponse:
    """Response to a command; ``clock_ms`` is 0 if the response did not state it."""

    result: CommandResult
    clock_ms: int


@attrs.frozen
class RenewalResponse:
    """Response to a renewal: current runs, and run ends not yet acknowledged.

    ``born_ms`` is when the lifetime that answered began, or 0 if it was not stated.
    If the list ``is_cut``, further runs may have ended, which it does not show.
    """

    result: CommandResult
    clock_ms: int
    running: tuple[RunReport, ...] = ()
    ended: tuple[RunEnd, ...] = ()
    born_ms: int = 0
    is_cut: bool = False


@attrs.frozen
class StartCommand:
    """Command to start a run; ``expires_ms`` is a time on the server's own clock."""

    task: TaskId
    run: int
    payload: str
    expires_ms: int
    fencing_token: int
    checkpoint: str = ""
    ticket: str = ""


@attrs.define(eq=False)
class BackendClient:
    """Client for backend servers; calls raise PlatformUnavailable or OutcomeUnknown.

    Nothing is sent to another lifetime than the call is meant for: OtherLifetime, which
    is a PlatformUnavailable, names the one that was reached.
    """

    client: JsonClient
    lateness: Lateness

    async def forget(self, server: Server) -> None:
        """Close the connections to a lifetime that is called no more."""
        await self.client.forget(server.address, server.id)

    async def start(self, server: Server, command: StartCommand) -> CommandResponse:
        """Start a run."""
        body: dict[str, Any] = {
            "task_id": format_task(command.task),
            "run_id": command.run,
            "spec": command.payload,
            "expires_ms": command.expires_ms,
            "fencing_token": command.fencing_token,
        }
        if command.checkpoint:
            body["checkpoint"] = command.checkpoint
        if command.ticket:
            body["ticket"] = command.ticket
        return await self._command(server, "/run-start", body)

    async def stop(
        self, server: Server, task: TaskId, run: int, fencing_token: int
    ) -> CommandResponse:
        """Stop a run and permanently bar it from starting again."""
        body = {
            "task_id": format_task(task),
            "run_id": run,
            "fencing_token": fencing_token,
        }
        return await self._command(server, "/run-stop", body)

    async def set_pace(
        self, server: Server, task: TaskId, run: int, percent: int, fencing_token: int
    ) -> CommandResponse:
        """Set the percentage of full speed at which a run works."""
        body = {
            "task_id": format_task(task),
            "run_id": run,
            "percent": percent,
            "fencing_token": fencing_token,
        }
        return await self._command(server, "/pace", body)

    async def renew(
        self,
        server: Server,
        fencing_token: int,
        acknowledged: int,
        expires_ms: int | None,
        wait_s: float,
    ) -> RenewalResponse:
        """Extend all leases, acknowledge run ends, and wait for the next end."""
        body: dict[str, Any] = {
            "fencing_token": fencing_token,
            "ack_cursor": acknowledged,
        }
        if expires_ms is not None:
            body["expires_ms"] = expires_ms
        if wait_s > 0:
            body["wait_ms"] = int(wait_s * 1000)
        margin_s = self.lateness.stretch_timeout_s(RENEWAL_MARGIN_S)
        response = await self._call(server, "/hold", body, wait_s + margin_s, margin_s)
        with decoding_response():
            return _decode_renewal_response(response)

    async def _command(
        self, server: Server, path: str, body: Mapping[str, Any]
    ) -> CommandResponse:
        """Send a command that the server answers at once."""
        started_s = monotonic_s()
        timeout_s = self.lateness.stretch_timeout_s(COMMAND_TIMEOUT_S)
        try:
            response = await self._call(server, path, body, timeout_s)
        except (PlatformUnavailable, OutcomeUnknown) as error:
            if isinstance(error, OutcomeUnknown) or error.code == "timeout":
                self.lateness.record_silence(server.id)
            raise
        self.lateness.record_response(server.id, monotonic_s() - started_s)
        with decoding_response():
            return _decode_command_response(response)

    async def _call(
        self,
        server: Server,
        path: str,
        body: Mapping[str, Any],
        timeout_s: float,
        pause_s: float = 0.0,
    ) -> JsonResponse:
        # The name does not tell the lifetimes apart; the lists of runs do.
        expected = [(b"x-expect-instance", encode_header(name_of(server.id)))]
        return await self.client.call(
            server.address,
            "POST",
            path,
            body,
            timeout_s,
            expected,
            pause_s=pause_s,
            peer=_peer_of(server.id, body["fencing_token"]),
        )


@functools.lru_cache(maxsize=MAX_KEPT_PEERS)
def _peer_of(server_id: str, fencing_token: int) -> Peer:
    """Return a lifetime, which its lists of runs tell from others of its name.

    The question has no effect on any: it acknowledges nothing and renews no lease.
    """
    born_ms = born_ms_of(server_id)
    question = {"fencing_token": fencing_token, "ack_cursor": 0} if born_ms else None

    def check(response: JsonResponse) -> None:
        with decoding_response():
            answered_ms = int(response.body.get("born") or 0)
        if answered_ms not in (0, born_ms):
            message = f"another lifetime has answered than {server_id}"
            raise OtherLifetime(message, answered_ms)

    return Peer(server_id, "/hold", question, check)


def format_task(task: TaskId) -> str:
    """Return the wire format of a task ID.

    >>> format_task(TaskId("5c0e", 0, 1, 17))
    '5c0e.0.1.17'
    """
    return f"{task.job_id}.{task.occurrence}.{task.step}.{task.number}"


@functools.lru_cache(maxsize=MAX_KEPT_TASKS)
def parse_task(text: str) -> TaskId:
    """Parse the wire format of a task ID. Raises ValueError."""
    job_id, occurrence, step, number = text.split(".")
    return TaskId(job_id, int(occurrence), int(step), int(number))


def _decode_command_response(response: JsonResponse) -> CommandResponse:
    clock_ms = int(response.body.get("clock_ms") or 0)
    if response.status == 200:
        return CommandResponse(CommandResult.DONE, clock_ms)
    if response.status == 421:
        return CommandResponse(CommandResult.OTHER_LIFETIME, 0)
    if response.status == 409:
        reason = str(response.body.get("reason"))
        if reason in RESULT_BY_REASON:
            return CommandResponse(RESULT_BY_REASON[reason], clock_ms)
    if response.status in (400, 404, 409, 429, 503):
        return CommandResponse(CommandResult.NOT_DONE, clock_ms)
    raise OutcomeUnknown(f"backend server responded with status {response.status}")


def _decode_renewal_response(response: JsonResponse) -> RenewalResponse:
    command_response = _decode_command_response(response)
    if command_response.result is not CommandResult.DONE:
        return RenewalResponse(command_response.result, command_response.clock_ms)
    ended = tuple(_decode_run_ends(response.body.get("finished")))
    return RenewalResponse(
        CommandResult.DONE,
        command_response.clock_ms,
        tuple(_decode_run_reports(response.body.get("running"))),
        ended,
        int(response.body.get("born") or 0),
        is_cut=len(ended) >= MAX_LISTED_ENDS,
    )


def _decode_run_reports(rows: Any) -> list[RunReport]:
    return [
        RunReport(
            parse_task(row[0]),
            int(row[1]),
            str(row[2]),
            int(row[3]),
            float(row[4]) if len(row) > 4 and row[4] is not None else 0.0,
        )
        for row in rows or ()
    ]


def _decode_run_ends(rows: Any) -> list[RunEnd]:
    return [
        RunEnd(
            int(row[0]),
            parse_task(row[1]),
            int(row[2]),
            str(row[3]),
            str(row[4] or ""),
        )
        for row in rows or ()
    ]
