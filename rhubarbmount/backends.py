"""Connections to backend servers, with one request in flight on each.

Each request carries an attempt id. A connection is reused only if the response echoed
the id, so that a surplus response to an earlier request is never taken for the response
to a later one.
"""

import itertools
import math
import secrets
from collections.abc import Collection

import attrs
import trio

from rhubarbmount.deadlines import Deadlines
from rhubarbmount.http import (
    HttpRequest,
    HttpResponse,
    NotSent,
    ResponseLost,
    header_value,
)
from rhubarbmount.http_client import ClientConnection, ConnectionPool

__all__ = ["ATTEMPT_HEADER", "GUARD_HEADER", "BackendConnections", "Progress"]

ATTEMPT_HEADER = b"rhubarbmount-attempt"
GUARD_HEADER = b"rhubarbmount-guard"

CONNECT_TIMEOUT_S = 1.0


@attrs.define
class Progress:
    """Progress of an exchange; ``bytes_left`` is set before the first byte is sent."""

    bytes_left: bool = False


@attrs.define(eq=False)
class BackendConnections:
    """Idle connections by address; one in a doubtful state is never reused."""

    body_bytes: int = 1048576
    _pool_by_address: dict[str, ConnectionPool] = attrs.field(factory=dict)
    _id_prefix: str = attrs.field(factory=lambda: secrets.token_hex(4))
    _id_counter: itertools.count = attrs.field(factory=itertools.count)
    _deadlines: Deadlines = attrs.field(factory=Deadlines)

    async def run(self) -> None:
        """Enforce the deadlines of exchanges until cancelled."""
        await self._deadlines.run()

    async def exchange(
        self,
        address: str,
        request: HttpRequest,
        progress: Progress | None = None,
        deadline_s: float = math.inf,
    ) -> HttpResponse:
        """Send a request over an idle or new connection and return the response.

        The request must not have an attempt id yet. Raises NotSent, or ResponseLost,
        also for a response to another request; either has the code ``timeout`` at the
        deadline, on trio's clock.
        """
        attempt_id = f"{self._id_prefix}-{next(self._id_counter)}"
        attempt_header = (ATTEMPT_HEADER, attempt_id.encode("ascii"))
        connection = await self._pool(address).take(deadline_s)
        try:
            if trio.current_time() >= deadline_s:
                raise NotSent(
                    "no connection to the backend server before the deadline",
                    code="timeout",
                )
            if progress is not None:
                progress.bytes_left = True
            with self._deadlines.at(deadline_s, connection):
                answer = await connection.exchange(request, [attempt_header])
            _check_attempt_id(connection, answer, attempt_id)
        finally:
            await self._pool(address).put_back(connection)
        return answer

    @property
    def has_idle(self) -> bool:
        """Return whether any idle connection is kept for reuse."""
        return any(pool.idle for pool in self._pool_by_address.values())

    async def sweep(self, addresses: Collection[str]) -> None:
        """Close idle connections to other addresses and those closed by the peer."""
        for address, pool in list(self._pool_by_address.items()):
            if address in addresses:
                await pool.sweep()
            else:
                await self.close_idle(address)

    async def close_idle(self, address: str) -> None:
        """Close the idle connections to a backend server that is leaving."""
        pool = self._pool_by_address.pop(address, None)
        if pool is not None:
            await pool.aclose()

    async def aclose(self) -> None:
        """Close every idle connection."""
        for address in list(self._pool_by_address):
            await self.close_idle(address)

    def _pool(self, address: str) -> ConnectionPool:
        pool = self._pool_by_address.get(address)
        if pool is None:
            pool = ConnectionPool(address, CONNECT_TIMEOUT_S, self.body_bytes)
            self._pool_by_address[address] = pool
        return pool


def _check_attempt_id(
    connection: ClientConnection, answer: HttpResponse, attempt_id: str
) -> None:
    echoed_id = header_value(answer.headers, ATTEMPT_HEADER)
    if echoed_id == attempt_id:
        return
    connection.reusable = False
    if echoed_id is not None or connection.was_reused:
        raise ResponseLost(
            "the response belongs to another request", code="answer-broken"
        )
