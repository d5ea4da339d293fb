"""HTTP/1.1 client connections, using h11 over trio streams."""

import functools
import math
import os
import socket
import struct
from collections import deque
from collections.abc import Callable
from contextlib import suppress

import attrs
import h11
import trio

from rhubarbmount.http import (
    END_OF_MESSAGE,
    READ_SIZE_BYTES,
    Headers,
    HttpRequest,
    HttpResponse,
    NotSent,
    ResponseLost,
    has_input,
    parsed_headers,
    without_framing_headers,
)

__all__ = [
    "ClientConnection",
    "ConnectionPool",
    "connect",
    "make_head",
    "split_address",
]

# struct linger with l_onoff=1 and l_linger=0: close() sends RST and discards unsent
# data.
ZERO_LINGER = struct.pack("ii", 1, 0)
MAX_KEPT_HEADS = 2048


def make_head(method: str, target: str, headers: Headers, length: int) -> h11.Request:
    """Return the head of a request with a body of a length. Raises NotSent."""
    framed = without_framing_headers(headers)
    if length or method in ("POST", "PUT", "PATCH"):
        framed.append((b"content-length", b"%d" % length))
    try:
        return h11.Request(method=method, target=target, headers=framed)
    except h11.LocalProtocolError as error:
        raise NotSent(f"can't be sent: {error}", code="not-sendable") from None


# h11 validates the headers of each request that it makes, and changes none later.
_kept_head = functools.lru_cache(maxsize=MAX_KEPT_HEADS)(make_head)


@attrs.define
class ClientConnection:
    """A client connection that handles one request at a time."""

    stream: trio.SocketStream
    body_bytes: int = 1048576
    reusable: bool = True
    was_reused: bool = False
    # Whether an answer has shown that it reaches the process that calls are meant for.
    reaches_peer: bool = False
    idle_since_s: float = 0.0
    # Bytes that have arrived of the response to the current or last request.
    received_bytes: int = 0
    # Called whenever data has arrived.
    on_data: Callable[[], None] = lambda: None
    _protocol: h11.Connection = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._protocol = h11.Connection(h11.CLIENT)

    async def exchange(
        self, request: HttpRequest, extra_headers: Headers = ()
    ) -> HttpResponse:
        """Send a request with additional headers and return the complete response.

        Raises NotSent or ResponseLost. The connection is reusable afterwards only if
        exactly one complete response was read.
        """
        self.reusable = False
        self.received_bytes = 0
        data = self._encode(request, extra_headers)
        try:
            await self._send(data)
            response = await self._receive()
        except trio.ClosedResourceError:
            raise ResponseLost("no response in time", code="timeout") from None
        except (
            OSError,
            trio.BrokenResourceError,
            h11.RemoteProtocolError,
        ) as error:
            raise ResponseLost(f"the connection failed: {error}") from None
        self._finish_cycle()
        return response

    def interrupt(self) -> None:
        """Abort an exchange that waits for the peer, with the code ``timeout``."""
        trio.lowlevel.notify_closing(self.stream.socket)

    def is_quiet(self) -> bool:
        """Return whether the idle connection is open and has no unread data."""
        return self.reusable and not has_input(self.stream)

    async def aclose(self) -> None:
        """Close the connection without waiting for the peer.

        A connection in the middle of an exchange is reset, so that a request delayed
        in the network is not delivered after the client has given up on it.
        """
        if not self.reusable:
            self._reset_on_close()
        self.reusable = False
        await trio.aclose_forcefully(self.stream)

    def _reset_on_close(self) -> None:
        with suppress(OSError, trio.ClosedResourceError):
            self.stream.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER
            )

    def _encode(self, request: HttpRequest, extra_headers: Headers) -> bytes:
        make = _kept_head if request.is_repeated else make_head
        length = len(request.body)
        headers = (
            [*request.headers, *extra_headers] if extra_headers else request.headers
        )
        head = make(request.method, request.target, headers, length)
        data = self._protocol.send(head) or b""
        if request.body:
            data += self._protocol.send(h11.Data(data=request.body)) or b""
        return data + (self._protocol.send(END_OF_MESSAGE) or b"")

    async def _receive(self) -> HttpResponse:
        head: h11.Response | None = None
        chunks: list[bytes] = []
        size = 0
        await self._read()
        while True:
            event = self._protocol.next_event()
            if event is h11.NEED_DATA:
                await self._read()
            elif isinstance(event, h11.Response):
                head = event
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > self.body_bytes:
                    raise ResponseLost(
                        "the response body exceeds the size limit", code="answer-broken"
                    )
                chunks.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                body = b"".join(chunks)
                return HttpResponse(head.status_code, parsed_headers(head), body)
            elif not isinstance(event, h11.InformationalResponse):
                raise ResponseLost("connection closed before a response was received")

    async def _send(self, data: bytes) -> None:
        """Send data, without a turn of the event loop if the socket takes all of it.

        The wait for the response lets other tasks run.
        """
        await trio.lowlevel.checkpoint_if_cancelled()
        try:
            sent = os.write(self.stream.socket.fileno(), data)
        except BlockingIOError:
            sent = 0
        if sent < len(data):
            await self.stream.send_all(memoryview(data)[sent:])

    async def _read(self) -> None:
        """Wait for data, then read it: right after a request there is none yet."""
        while True:
            await trio.lowlevel.wait_readable(self.stream.socket)
            with suppress(BlockingIOError):
                data = os.read(self.stream.socket.fileno(), READ_SIZE_BYTES)
                self.received_bytes += len(data)
                self.on_data()
                self._protocol.receive_data(data)
                return

    def _finish_cycle(self) -> None:
        if self._protocol.trailing_data[0]:
            return
        if self._protocol.our_state is not h11.DONE:
            return
        if self._protocol.their_state is not h11.DONE:
            return
        self._protocol.start_next_cycle()
        self.reusable = True


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of an address. Raises NotSent."""
    host, _, port = address.rpartition(":")
    try:
        return host, int(port)
    except ValueError:
        message = f"not an address: {address!r}"
        raise NotSent(message, code="not-sendable") from None


async def connect(
    address: str,
    port: int,
    timeout_s: float,
    body_bytes: int = 1048576,
    deadline_s: float = math.inf,
) -> ClientConnection:
    """Open a connection.

    Raises NotSent, with the code ``timeout`` if the deadline has passed.
    """
    try:
        with trio.fail_at(min(trio.current_time() + timeout_s, deadline_s)):
            stream = await trio.open_tcp_stream(address, port)
    except (OSError, OverflowError, ValueError, trio.TooSlowError) as error:
        if trio.current_time() >= deadline_s:
            raise NotSent("no connection in time", code="timeout") from None
        raise NotSent(f"can't connect to {address}:{port}: {error}") from None
    return ClientConnection(stream, body_bytes)


@attrs.define(eq=False)
class ConnectionPool:
    """A pool of connections to one address, with one request in flight on each.

    ``idle`` holds the reusable connections, the most recently used one rightmost.
    """

    address: str
    connect_timeout_s: float
    body_bytes: int = 1048576
    idle: deque[ClientConnection] = attrs.field(factory=deque)
    # Whether connections that are in use are closed when they are put back.
    _is_retired: bool = False

    async def take(self, deadline_s: float = math.inf) -> ClientConnection:
        """Return a usable idle connection or open a new one. Raises NotSent."""
        while self.idle:
            connection = self.idle.pop()
            if connection.is_quiet():
                return connection
            await connection.aclose()
        host, port = split_address(self.address)
        return await connect(
            host, port, self.connect_timeout_s, self.body_bytes, deadline_s
        )

    async def put_back(self, connection: ClientConnection) -> None:
        """Return a connection to the pool, or close it if it is not reusable."""
        if connection.reusable and not self._is_retired:
            connection.was_reused = True
            connection.idle_since_s = trio.current_time()
            self.idle.append(connection)
            return
        with trio.CancelScope(shield=True):
            await connection.aclose()

    async def close_idle_since(self, before_s: float) -> None:
        """Close the connections that have been idle since before a time."""
        old = [item for item in self.idle if item.idle_since_s < before_s]
        for connection in old:
            self.idle.remove(connection)
        for connection in old:
            await connection.aclose()

    async def sweep(self) -> None:
        """Close idle connections that the peer closed or sent unexpected data on."""
        unusable = [item for item in self.idle if not item.is_quiet()]
        for connection in unusable:
            self.idle.remove(connection)
        for connection in unusable:
            await connection.aclose()

    async def retire(self) -> None:
        """Close all connections, those in use as soon as they are put back."""
        self._is_retired = True
        await self.aclose()

    async def aclose(self) -> None:
        """Close all idle connections."""
        while self.idle:
            await self.idle.pop().aclose()
