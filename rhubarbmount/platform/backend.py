"""Orders to backend servers, and what they list of their runs."""

import enum
from collections.abc import Mapping
from typing import Any

import attrs

from rhubarbmount.batch.model import RunEnd, RunReport, Server, TaskId
from rhubarbmount.errors import OutcomeUnknown, PlatformUnavailable
from rhubarbmount.platform.json_client import JsonClient, JsonResponse

__all__ = ["BackendClient", "RenewalAnswer", "OrderAnswer", "OrderResult", "StartOrder"]

ORDER_TIMEOUT_S = 0.35
RENEWAL_MARGIN_S = 0.35


class OrderResult(enum.Enum):
    """What became of an order to a backend server."""

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
    "fence": OrderResult.FENCED,
    "old": OrderResult.ENDED_BEFORE,
    "late": OrderResult.EXPIRED,
    "room": OrderResult.NO_ROOM,
    "ticket": OrderResult.NO_TICKET,
}


@attrs.frozen
class OrderAnswer:
    """The outcome of an order; ``clock_ms`` is 0 when it was not told."""

    result: OrderResult
    clock_ms: int


@attrs.frozen
class RenewalAnswer:
    """What a backend server runs, and the ends that were not acknowledged."""

    result: OrderResult
    clock_ms: int
    running: tuple[RunReport, ...] = ()
    ended: tuple[RunEnd, ...] = ()


@attrs.frozen
class StartOrder:
    """An order to start a run; ``expires_ms`` is on the backend server's clock."""

    task: TaskId
    run: int
    payload: str
    expires_ms: int
    fencing_token: int
    checkpoint: str = ""
    ticket: str = ""


@attrs.define(eq=False)
class BackendClient:
    """Calls to backend servers; each raises PlatformUnavailable or OutcomeUnknown."""

    client: JsonClient

    async def start(self, server: Server, order: StartOrder) -> OrderAnswer:
        """Start a run."""
        body: dict[str, Any] = {
            "task_id": format_task(order.task),
            "run_id": order.run,
            "spec": order.payload,
            "expires_ms": order.expires_ms,
            "fencing_token": order.fencing_token,
        }
        if order.checkpoint:
            body["checkpoint"] = order.checkpoint
        if order.ticket:
            body["ticket"] = order.ticket
        return _order_answer(await self._call(server, "/run-start", body))

    async def stop(
        self, server: Server, task: TaskId, run: int, fencing_token: int
    ) -> OrderAnswer:
        """Stop a run and forbid it for good."""
        body = {
            "task_id": format_task(task),
            "run_id": run,
            "fencing_token": fencing_token,
        }
        return _order_answer(await self._call(server, "/run-stop", body))

    async def set_pace(
        self, server: Server, task: TaskId, run: int, percent: int, fencing_token: int
    ) -> OrderAnswer:
        """Let a run work at a share of its speed."""
        body = {
            "task_id": format_task(task),
            "run_id": run,
            "percent": percent,
            "fencing_token": fencing_token,
        }
        return _order_answer(await self._call(server, "/pace", body))

    async def renew(
        self,
        server: Server,
        fencing_token: int,
        acknowledged: int,
        expires_ms: int | None,
        wait_s: float,
    ) -> RenewalAnswer:
        """Prolong all leases, acknowledge ends, and wait for the next one."""
        body: dict[str, Any] = {
            "fencing_token": fencing_token,
            "ack_cursor": acknowledged,
        }
        if expires_ms is not None:
            body["expires_ms"] = expires_ms
        if wait_s > 0:
            body["wait_ms"] = int(wait_s * 1000)
        answer = await self._call(server, "/hold", body, wait_s + RENEWAL_MARGIN_S)
        outcome = _order_answer(answer)
        if outcome.result is not OrderResult.DONE:
            return RenewalAnswer(outcome.result, outcome.clock_ms)
        return RenewalAnswer(
            OrderResult.DONE,
            outcome.clock_ms,
            tuple(_reports(answer.body.get("running"))),
            tuple(_ends(answer.body.get("finished"))),
        )

    async def _call(
        self,
        server: Server,
        path: str,
        body: Mapping[str, Any],
        timeout_s: float = ORDER_TIMEOUT_S,
    ) -> JsonResponse:
        expected = [(b"x-expect-instance", server.id.encode("ascii"))]
        return await self.client.call(
            server.address, "POST", path, body, timeout_s, expected
        )


def format_task(task: TaskId) -> str:
    """Return a task's name on the wire.

    >>> format_task(TaskId("5c0e", 0, 1, 17))
    '5c0e.0.1.17'
    """
    return f"{task.job_id}.{task.occurrence}.{task.step}.{task.number}"


def parse_task(text: str) -> TaskId:
    """Return the task that a name on the wire stands for. Raises ValueError."""
    job_id, occurrence, step, number = text.split(".")
    return TaskId(job_id, int(occurrence), int(step), int(number))


def _order_answer(answer: JsonResponse) -> OrderAnswer:
    clock_ms = int(answer.body.get("clock_ms") or 0)
    if answer.status == 200:
        return OrderAnswer(OrderResult.DONE, clock_ms)
    if answer.status == 421:
        return OrderAnswer(OrderResult.OTHER_LIFETIME, 0)
    if answer.status == 409:
        reason = str(answer.body.get("reason"))
        if reason in RESULT_BY_REASON:
            return OrderAnswer(RESULT_BY_REASON[reason], clock_ms)
    if answer.status in (400, 404, 409, 429, 503):
        return OrderAnswer(OrderResult.NOT_DONE, clock_ms)
    raise OutcomeUnknown(f"a backend server answered {answer.status}")


def _reports(rows: Any) -> list[RunReport]:
    try:
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
    except (IndexError, TypeError, ValueError):
        raise PlatformUnavailable("a list of runs can't be read") from None


def _ends(rows: Any) -> list[RunEnd]:
    try:
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
    except (IndexError, TypeError, ValueError):
        raise PlatformUnavailable("a list of ends can't be read") from None
