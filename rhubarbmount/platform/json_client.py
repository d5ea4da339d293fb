"""JSON client over HTTP, with pooled connections and a timeout for each call."""

import json
from collections.abc import Callable, Iterator, Mapping
from contextlib import asynccontextmanager, contextmanager
from typing import Any

import attrs
import trio

from rhubarbmount.errors import OutcomeUnknown, PlatformUnavailable
from rhubarbmount.http import Headers, HttpRequest, NotSent, ResponseLost
from rhubarbmount.http_client import ClientConnection, ConnectionPool

__all__ = [
    "JsonClient",
    "JsonResponse",
    "decoding_response",
    "encode_header",
    "make_request",
    "open_json_client",
]

CONNECT_TIMEOUT_S = 0.5
BODY_LIMIT_BYTES = 32 * 1024 * 1024


@contextmanager
def decoding_response() -> Iterator[None]:
    """Raise OutcomeUnknown where the block meets a value that it can't decode."""
    try:
        yield
    except (
        AttributeError,
        LookupError,
        OverflowError,
        TypeError,
        ValueError,
    ) as error:
        message = f"malformed response: {error!r}"
        raise OutcomeUnknown(message, code="answer-broken") from None


@attrs.frozen
class JsonResponse:
    """Status and decoded body of a response; ``body`` is empty unless a JSON object."""

    status: int
    body: Mapping[str, Any]


@attrs.define(eq=False)
class _Progress:
    """How far a call has come; its deadline moves on as its response arrives."""

    scope: trio.CancelScope
    pause_s: float
    connection: ClientConnection | None = None

    def follow(self, connection: ClientConnection) -> None:
        """Follow the exchange on a connection."""
        self.connection = connection
        connection.on_data = self._note_data

    def _note_data(self) -> None:
        next_by_s = trio.current_time() + self.pause_s
        self.scope.deadline = max(self.scope.deadline, next_by_s)

    def __str__(self) -> str:
        if self.connection is None:
            return "not connected"
        return f"{self.connection.received_bytes} bytes arrived"


@attrs.define(eq=False)
class JsonClient:
    """Client for any number of addresses, with a connection pool for each."""

    _pool_by_address: dict[str, ConnectionPool] = attrs.field(factory=dict)

    async def call(
        self,
        address: str,
        method: str,
        target: str,
        body: Mapping[str, Any] | None = None,
        timeout_s: float = 1.0,
        headers: Headers = (),
        may_send: Callable[[], bool] = lambda: True,
        pause_s: float = 0.0,
    ) -> JsonResponse:
        """Send a request and return the response.

        A response that has begun to arrive within ``timeout_s`` may take longer, as
        long as no pause in it lasts ``pause_s``.
        ``may_send`` is asked once the connection is open: nothing is sent if a
        permission has expired while this process waited for it or was paused.
        Raises PlatformUnavailable if nothing was sent, and OutcomeUnknown if the
        response was lost or did not arrive in time.
        """
        request = make_request(address, method, target, body, headers)
        scope = trio.CancelScope(deadline=trio.current_time() + timeout_s)
        progress = _Progress(scope, pause_s)
        try:
            with scope:
                return await self._exchange(address, request, may_send, progress)
        except NotSent as error:
            raise PlatformUnavailable(error.message, code=error.code) from None
        except ResponseLost as error:
            raise OutcomeUnknown(error.message, code=error.code) from None
        message = f"no whole response from {address} in time, {progress}"
        raise OutcomeUnknown(message, code="timeout")

    async def forget(self, address: str) -> None:
        """Close the connections to an address, once nothing waits on them."""
        pool = self._pool_by_address.pop(address, None)
        if pool is not None:
            await pool.retire()

    async def aclose(self) -> None:
        """Close all pooled connections."""
        for address in list(self._pool_by_address):
            await self.forget(address)

    async def _exchange(
        self,
        address: str,
        request: HttpRequest,
        may_send: Callable[[], bool],
        progress: "_Progress",
    ) -> JsonResponse:
        pool = self._pool_by_address.get(address)
        if pool is None:
            pool = ConnectionPool(address, CONNECT_TIMEOUT_S, BODY_LIMIT_BYTES)
            self._pool_by_address[address] = pool
        connection = await pool.take()
        progress.follow(connection)
        if not may_send():
            await pool.put_back(connection)
            raise NotSent("the permission to send has expired", code="expired")
        started_s = trio.current_time()
        try:
            response = await connection.exchange(request)
        finally:
            await pool.put_back(connection)
            if connection.was_reused and not connection.reusable:
                # What silenced this connection may have silenced the idle ones.
                with trio.CancelScope(shield=True):
                    await pool.close_idle_since(started_s)
        return JsonResponse(response.status, _decode(response.body))


def make_request(
    address: str,
    method: str,
    target: str,
    body: Mapping[str, Any] | None = None,
    headers: Headers = (),
) -> HttpRequest:
    """Return the request of a call. Raises PlatformUnavailable."""
    data = b"" if body is None else json.dumps(body).encode("utf-8")
    host = (b"host", encode_header(address))
    framed = (host, (b"content-type", b"application/json"), *headers)
    return HttpRequest(method, target, framed, data, True)


def encode_header(text: str) -> bytes:
    """Return the value of a header. Raises PlatformUnavailable."""
    try:
        return text.encode("ascii")
    except UnicodeEncodeError:
        message = f"{text!r} can't stand in a header"
        raise PlatformUnavailable(message, code="not-sendable") from None


def _decode(body: bytes) -> Mapping[str, Any]:
    try:
        value = json.loads(body) if body else {}
    except (ValueError, RecursionError):
        return {}
    return value if isinstance(value, dict) else {}


@asynccontextmanager
async def open_json_client():
    """Provide a client whose connections are closed at the end of the block."""
    client = JsonClient()
    try:
        yield client
    finally:
        with trio.CancelScope(shield=True):
            await client.aclose()
