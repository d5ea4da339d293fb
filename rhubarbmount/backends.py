"""Connections to backend servers, one request in flight on each."""

from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import attrs
import trio

from rhubarbmount.http import ClientConnection, HttpRequest, HttpResponse, connect

__all__ = ["BackendConnections"]

CONNECT_TIMEOUT_S = 1.0


@attrs.define(eq=False)
class BackendConnections:
    """Idle connections by backend server address; a suspect one is never reused."""

    body_bytes: int = 1048576
    _idle_by_address: dict[str, deque[ClientConnection]] = attrs.field(factory=dict)

    async def exchange(self, address: str, request: HttpRequest) -> HttpResponse:
        """Send a request over an idle or a new connection.

        Raises NotSent or AnswerLost.
        """
        async with self._borrow(address) as connection:
            return await connection.exchange(request)

    async def close_idle(self, address: str) -> None:
        """Close the idle connections to a backend server that is leaving."""
        for connection in self._idle_by_address.pop(address, ()):
            await connection.aclose()

    async def aclose(self) -> None:
        """Close every idle connection."""
        for address in list(self._idle_by_address):
            await self.close_idle(address)

    @asynccontextmanager
    async def _borrow(self, address: str) -> AsyncIterator[ClientConnection]:
        connection = await self._take(address)
        try:
            yield connection
        finally:
            if connection.reusable:
                self._idle_by_address.setdefault(address, deque()).append(connection)
            else:
                with trio.CancelScope(shield=True):
                    await connection.aclose()

    async def _take(self, address: str) -> ClientConnection:
        idle = self._idle_by_address.get(address)
        while idle:
            connection = idle.pop()
            if connection.is_quiet():
                return connection
            await connection.aclose()
        host, port = address.rsplit(":", 1)
        return await connect(host, int(port), CONNECT_TIMEOUT_S, self.body_bytes)
