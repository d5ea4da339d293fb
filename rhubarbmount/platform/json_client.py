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
    "Peer",
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


@attrs.frozen
class Peer:
    """The process that calls are meant for, of those that follow at one address.

    A connection reaches one process for as long as it lasts. A new one is asked
    ``question`` first, unless that is None or the call itself; ``check`` raises if the
    answer is of another process.
    """

    name: str
    target: str
    question: Mapping[str, Any] | None
    check: Callable[[JsonResponse], None]

    def is_asked_by(self, target: str, body: Mapping[str, Any] | None) -> bool:
        """Return whether a call is the question."""
        return target == self.target and body == self.question


@attrs.define(eq=False)
class _Progress:
    """How far a call has come; its deadline moves on as its response arrives."""

    scope: trio.CancelScope
    pause_s: float
    # Unset as long as nothing but the question to a peer has been sent.
    may_be_sent: bool
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
    """Client for any number of addresses, with a connection pool for each peer."""

    # By the address and the name of the peer, which is empty for an address with one.
    _pool_by_peer: dict[tuple[str, str], ConnectionPool] = attrs.field(factory=dict)

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
        peer: Peer | None = None,
    ) -> JsonResponse:
        """Send a request and return the response.

        A response that has begun to arrive within ``timeout_s`` may take longer, as
        long as no pause in it lasts ``pause_s``.
        ``may_send`` is asked once the connection is open: nothing is sent if a
        permission has expired while this process waited for it or was paused.
        With a ``peer``, nothing is sent on a connection that may reach another process.
        If the peer refuses its question, that is the response. The time of the call
        begins anew with the answer.
        Raises PlatformUnavailable if nothing was sent, and OutcomeUnknown if the
        response was lost or did not arrive in time.
        """
        request = make_request(address, method, target, body, headers)
        question = _question(address, peer, target, body, headers)
        scope = trio.CancelScope(deadline=trio.current_time() + timeout_s)
        progress = _Progress(scope, pause_s, may_be_sent=peer is None)
        try:
            with scope:
                pool = self._pool(address, peer)
                connection = await pool.take()
                progress.follow(connection)
                started_s = trio.current_time()
                try:
                    if question is not None and not connection.reaches_peer:
                        refusal = await _ask(connection, question, peer)
                        if refusal is not None:
                            return refusal
                        scope.deadline = trio.current_time() + timeout_s
                    _check_permission(may_send)
                    progress.may_be_sent = True
                    return await _exchange(connection, request, peer)
                finally:
                    await _put_back(pool, connection, started_s)
        except NotSent as error:
            raise PlatformUnavailable(error.message, code=error.code) from None
        except ResponseLost as error:
            raise OutcomeUnknown(error.message, code=error.code) from None
        message = f"no whole response from {address} in time, {progress}"
        error_class = OutcomeUnknown if progress.may_be_sent else PlatformUnavailable
        raise error_class(message, code="timeout")

    async def forget(self, address: str, peer_name: str = "") -> None:
        """Close the connections to a peer, once nothing waits on them."""
        pool = self._pool_by_peer.pop((address, peer_name), None)
        if pool is not None:
            await pool.retire()

    async def forget_peers(self) -> None:
        """Close the connections to all peers."""
        for address, peer_name in list(self._pool_by_peer):
            if peer_name:
                await self.forget(address, peer_name)

    async def aclose(self) -> None:
        """Close all pooled connections."""
        for address, peer_name in list(self._pool_by_peer):
            await self.forget(address, peer_name)

    def _pool(self, address: str, peer: Peer | None) -> ConnectionPool:
        key = address, "" if peer is None else peer.name
        pool = self._pool_by_peer.get(key)
        if pool is None:
            pool = ConnectionPool(address, CONNECT_TIMEOUT_S, BODY_LIMIT_BYTES)
            self._pool_by_peer[key] = pool
        return pool


def _question(
    address: str,
    peer: Peer | None,
    target: str,
    body: Mapping[str, Any] | None,
    headers: Headers,
) -> HttpRequest | None:
    """Return what a new connection is asked before a call, or None for nothing."""
    if peer is None or peer.question is None or peer.is_asked_by(target, body):
        return None
    return make_request(address, "POST", peer.target, peer.question, headers)


async def _ask(
    connection: ClientConnection, question: HttpRequest, peer: Peer | None
) -> JsonResponse | None:
    """Ask a new connection which process it reaches; return a refusal, or None."""
    try:
        response = await _exchange(connection, question, peer)
    except ResponseLost as error:
        raise NotSent(error.message, code=error.code) from None
    return None if connection.reaches_peer else response


async def _exchange(
    connection: ClientConnection, request: HttpRequest, peer: Peer | None
) -> JsonResponse:
    """Send a request; keep a connection that is not known to reach the peer if it does.

    A refusal does not tell which process it is from.
    """
    answer = await connection.exchange(request)
    response = JsonResponse(answer.status, _decode(answer.body))
    if peer is None or connection.reaches_peer:
        return response
    was_reusable, connection.reusable = connection.reusable, False
    peer.check(response)
    connection.reusable = was_reusable and response.status == 200
    connection.reaches_peer = connection.reusable
    return response


def _check_permission(may_send: Callable[[], bool]) -> None:
    if not may_send():
        raise NotSent("the permission to send has expired", code="expired")


async def _put_back(
    pool: ConnectionPool, connection: ClientConnection, started_s: float
) -> None:
    await pool.put_back(connection)
    if connection.was_reused and not connection.reusable:
        # What silenced this connection may have silenced the idle ones.
        with trio.CancelScope(shield=True):
            await pool.close_idle_since(started_s)


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
