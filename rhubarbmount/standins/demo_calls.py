"""The demo's callers and its operator, over HTTP."""

import json
from typing import Any

import attrs
import trio

from rhubarbmount.errors import RhubarbmountError
from rhubarbmount.http import (
    HttpRequest,
    HttpResponse,
    NotSent,
    ResponseLost,
    header_value,
)
from rhubarbmount.http_client import connect
from rhubarbmount.problem import OUTCOME_HEADER
from rhubarbmount.standins.backend import REQUEST_ID_HEADER
from rhubarbmount.standins.demo_fleet import DemoFleet

__all__ = ["DemoAnswer", "DemoCaller", "DemoOperator"]

CALL_TIMEOUT_S = 10.0
PAUSE_S = 0.02


@attrs.frozen
class DemoAnswer:
    """What a caller got; status 0 and no outcome when the connection broke."""

    request_id: str
    status: int
    outcome: str
    is_own: bool


@attrs.define(eq=False)
class DemoCaller:
    """Sends one request after another, each with its own idempotency key."""

    fleet: DemoFleet
    number: int
    stopped: bool = False
    answers: list[DemoAnswer] = attrs.field(factory=list)

    async def run(self) -> None:
        """Send requests until stopped."""
        while not self.stopped:
            await self._send_one()
            await trio.sleep(PAUSE_S)

    async def _send_one(self) -> None:
        count = len(self.answers)
        request_id = f"{self.number}-{count}"
        entry_hosts = self.fleet.entry_hosts
        port = entry_hosts[count % len(entry_hosts)].callers.port
        service = ("lodgements", "quotes")[count % 2]
        name = request_id.encode("ascii")
        headers = [
            (b"host", b"demo"),
            (REQUEST_ID_HEADER, name),
            (b"idempotency-key", name),
        ]
        request = HttpRequest("POST", f"/{service}/{request_id}", headers, b"accounts")
        try:
            answer = await _exchange(port, request)
        except (ResponseLost, NotSent):
            self.answers.append(DemoAnswer(request_id, 0, "", False))
            return
        outcome = header_value(answer.headers, OUTCOME_HEADER) or ""
        is_own = json.loads(answer.body).get("request_id") == request_id
        self.answers.append(DemoAnswer(request_id, answer.status, outcome, is_own))


@attrs.define(eq=False)
class DemoOperator:
    """Speaks to the first entry host with the demo's token."""

    fleet: DemoFleet

    async def change_entry(self, key: str, **changes: Any) -> int:
        """Change an entry; return the version that holds the change."""
        path = f"/entries/{key}"
        entry = await self._call("GET", path)
        values = entry["values"] | changes
        body = {"values": values, "expected_version": entry["version"]}
        return (await self._call("PUT", path, body))["version"]

    async def move(self, host_id: str, pool: str) -> None:
        """Begin the move of a host to another pool."""
        await self._call("POST", f"/hosts/{host_id}/move", {"pool": pool})

    async def start_wave(self) -> None:
        """Start a wave over every pool."""
        await self._call("POST", "/waves", {})

    async def _call(self, method: str, path: str, value: Any = None) -> Any:
        authorization = f"Bearer {self.fleet.token}".encode("ascii")
        headers = [(b"host", b"demo"), (b"authorization", authorization)]
        body = b"" if value is None else json.dumps(value).encode("utf-8")
        port = self.fleet.entry_hosts[0].operators.port
        answer = await _exchange(port, HttpRequest(method, path, headers, body))
        if answer.status >= 400:
            raise RhubarbmountError(f"{method} {path}: {answer.body!r}", code="demo")
        return json.loads(answer.body)


async def _exchange(port: int, request: HttpRequest) -> HttpResponse:
    connection = await connect("127.0.0.1", port, CALL_TIMEOUT_S)
    try:
        with trio.fail_after(CALL_TIMEOUT_S):
            return await connection.exchange(request)
    finally:
        await connection.aclose()
