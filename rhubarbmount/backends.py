"""Connections to backend servers, one request in flight on each.

Each request carries an attempt id. A connection is used again only if the answer
echoed the id, so that a surplus answer to an earlier request is never taken for the
answer to a later one.
"""

import itertools
import secrets
from collections import deque
from collections.abc import Collection

import attrs
import trio

from rhubarbmount.http import AnswerLost, HttpRequest, HttpResponse, header_value
from rhubarbmount.http_client import ClientConnection, connect

__all__ = ["ATTEMPT_HEADER", "GUARD_HEADER", "BackendConnections", "Progress"]

ATTEMPT_HEADER = b"rhubarbmount-attempt"
GUARD_HEADER = b"rhubarbmount-guard"

CONNECT_TIMEOUT_S = 1.0


@attrs.define
class Progress:
    """How far an exchange got; ``bytes_left`` is set before the first byte is."""

    bytes_left: bool = False


@attrs.define(eq=False)
class BackendConnections:
    """Idle connections by backend server address; a suspect one is never reused."""

    body_bytes: int = 1048576
    _idle_by_address: dict[str, deque[ClientConnection]] = attrs.field(factory=dict)
    _prefix: str = attrs.field(factory=lambda: secrets.token_hex(4))
    _numbers: itertools.count = attrs.field(factory=itertools.count)

    async def exchange(
        self, address: str, request: HttpRequest, progress: Progress | None = None
    ) -> HttpResponse:
        """Send a request over an idle or a new connection.

        Raises NotSent, or AnswerLost also for the answer to another request.
        """
        attempt = f"{self._prefix}-{next(self._numbers)}"
        headers = [pair for pair in request.headers if pair[0] != ATTEMPT_HEADER]
        headers.append((ATTEMPT_HEADER, attempt.encode("ascii")))
        marked = HttpRequest(request.method, request.target, headers, request.body)
        connection = await self._take(address)
        try:
            if progress is not None:
                progress.bytes_left = True
            answer = await connection.exchange(marked)
            _check_echo(connection, answer, attempt)
        finally:
            await self._put_back(address, connection)
        return answer

    @property
    def has_idle(self) -> bool:
        """Tell whether any connection is kept for the next request."""
        return bool(self._idle_by_address)

    async def sweep(self, addresses: Collection[str]) -> None:
        """Close the idle connections to other addresses, and those the peer closed."""
        for address, idle in list(self._idle_by_address.items()):
            if address not in addresses:
                await self.close_idle(address)
                continue
            spent = [item for item in idle if not item.is_quiet()]
            for connection in spent:
                idle.remove(connection)
            for connection in spent:
                await connection.aclose()

    async def close_idle(self, address: str) -> None:
        """Close the idle connections to a backend server that is leaving."""
        for connection in self._idle_by_address.pop(address, ()):
            await connection.aclose()

    async def aclose(self) -> None:
        """Close every idle connection."""
        for address in list(self._idle_by_address):
            await self.close_idle(address)

    async def _put_back(self, address: str, connection: ClientConnection) -> None:
        if not connection.reusable:
            with trio.CancelScope(shield=True):
                await connection.aclose()
            return
        connection.was_reused = True
        self._idle_by_address.setdefault(address, deque()).append(connection)

    async def _take(self, address: str) -> ClientConnection:
        idle = self._idle_by_address.get(address)
        while idle:
            connection = idle.pop()
            if connection.is_quiet():
                return connection
            await connection.aclose()
        host, port = address.rsplit(":", 1)
        return await connect(host, int(port), CONNECT_TIMEOUT_S, self.body_bytes)


def _check_echo(
    connection: ClientConnection, answer: HttpResponse, attempt: str
) -> None:
    echo = header_value(answer.headers, ATTEMPT_HEADER)
    if echo == attempt:
        return
    connection.reusable = False
    if echo is not None or connection.was_reused:
        raise AnswerLost("the answer belongs to another request", code="answer-broken")
