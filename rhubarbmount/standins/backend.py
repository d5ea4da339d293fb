"""A stand-in for a backend server: records what it ran, with fault switches."""

import json
import logging
import time
from collections import Counter
from typing import Any

import attrs
import trio

from rhubarbmount import log
from rhubarbmount.backends import ATTEMPT_HEADER, GUARD_HEADER
from rhubarbmount.http import HttpLimits, HttpRequest, HttpResponse, header_value
from rhubarbmount.http_server import ServerConnection
from rhubarbmount.problem import json_response, problem
from rhubarbmount.router import ApiRequest

__all__ = ["BackendFaults", "BackendStandin"]

REQUEST_ID_HEADER = b"request-id"

logger = logging.getLogger(__name__)


@attrs.define
class BackendFaults:
    """What the stand-in does wrong; each switch stays until it is set again.

    ``cut_answers``, ``truncate_answers`` and ``surplus_answers`` count coming
    requests: they run, and then the connection closes before the answer, in the
    midst of it, or after an answer too many. ``echo`` sends attempt ids back.
    ``guard_full`` and ``leaving`` refuse each request before it runs.
    """

    delay_s: float = 0.0
    status: int = 200
    guard_full: bool = False
    leaving: bool = False
    cut_answers: int = 0
    truncate_answers: int = 0
    surplus_answers: int = 0
    stall: bool = False
    echo: bool = True


@attrs.define(eq=False)
class BackendStandin:
    """One backend server with a number of slots and a guard."""

    host_id: str
    slots: int = 8
    service_time_s: float = 0.0
    faults: BackendFaults = attrs.field(factory=BackendFaults)
    ran_by_request: Counter[str] = attrs.field(factory=Counter)
    ran_count: int = 0
    last_start_s: float = 0.0
    last_request_s: float = 0.0
    in_flight: int = 0
    max_in_flight: int = 0
    guarded_count: int = 0

    async def run(
        self, address: str, port: int, task_status: Any = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled."""
        listeners = await trio.open_tcp_listeners(port, host=address)
        task_status.started(listeners[0].socket.getsockname()[1])
        await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, stream: trio.SocketStream) -> None:
        connection = ServerConnection(stream, HttpLimits(idle_timeout_s=3600))
        async with stream:
            try:
                while await connection.wait_for_request():
                    request = await connection.receive()
                    if request is None or not await self._answer(connection, request):
                        return
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return

    async def _answer(self, connection: ServerConnection, request: HttpRequest) -> bool:
        if request.target == "/control":
            return await connection.send(self._control(request))
        self.last_request_s = time.time()
        refusal = self._refusal()
        if refusal is not None:
            self.guarded_count += 1
            return await connection.send(self._echo(request, refusal))
        answer = await self._run(request)
        return await self._send(connection, self._echo(request, answer))

    def _refusal(self) -> HttpResponse | None:
        if self.faults.leaving:
            return _guard_answer(b"leaving", "the backend server is leaving")
        if self.faults.guard_full or self.in_flight >= self.slots:
            return _guard_answer(b"not-run", "no slot is free")
        return None

    def _echo(self, request: HttpRequest, answer: HttpResponse) -> HttpResponse:
        attempt = header_value(request.headers, ATTEMPT_HEADER)
        if attempt is None or not self.faults.echo:
            return answer
        header = (ATTEMPT_HEADER, attempt.encode("latin-1"))
        return attrs.evolve(answer, headers=[*answer.headers, header])

    async def _run(self, request: HttpRequest) -> HttpResponse:
        self.in_flight += 1
        self.max_in_flight = max(self.max_in_flight, self.in_flight)
        self.ran_count += 1
        self.last_start_s = time.time()
        request_id = header_value(request.headers, REQUEST_ID_HEADER)
        if request_id is not None:
            self.ran_by_request[request_id] += 1
        try:
            await trio.sleep(self.service_time_s + self.faults.delay_s)
        finally:
            self.in_flight -= 1
        body = {
            "host": self.host_id,
            "target": request.target,
            "request_id": request_id,
            "size": len(request.body),
        }
        return json_response(body, self.faults.status)

    async def _send(self, connection: ServerConnection, answer: HttpResponse) -> bool:
        faults = self.faults
        if faults.stall:
            await trio.sleep_forever()
        if faults.cut_answers > 0:
            faults.cut_answers -= 1
            return False
        if faults.truncate_answers > 0:
            faults.truncate_answers -= 1
            await connection.stream.send_all(
                b"HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\npart"
            )
            return False
        if faults.surplus_answers > 0:
            faults.surplus_answers -= 1
            await connection.send(answer)
            surplus = b"HTTP/1.1 200 OK\r\ncontent-length: 7\r\n\r\nsurplus"
            await connection.stream.send_all(surplus)
            return True
        return await connection.send(answer)

    def _control(self, request: HttpRequest) -> HttpResponse:
        if request.method == "POST":
            changes: dict[str, Any] = ApiRequest(request, (), {}).json()
            try:
                self.faults = attrs.evolve(self.faults, **changes)
            except TypeError as error:
                return problem(400, "unknown-fault", str(error))
            log.event(logger, "faults", host=self.host_id, changes=json.dumps(changes))
        state = {
            "faults": attrs.asdict(self.faults),
            "ran": dict(self.ran_by_request),
            "ran_count": self.ran_count,
            "last_start_s": self.last_start_s,
            "last_request_s": self.last_request_s,
            "in_flight": self.in_flight,
            "max_in_flight": self.max_in_flight,
            "guarded_count": self.guarded_count,
        }
        return json_response(state)


def _guard_answer(word: bytes, detail: str) -> HttpResponse:
    answer = problem(503, "guard", detail)
    return attrs.evolve(answer, headers=[*answer.headers, (GUARD_HEADER, word)])
