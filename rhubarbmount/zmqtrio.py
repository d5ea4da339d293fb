"""ZeroMQ sockets for trio tasks, with CURVE authentication."""

import logging
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from types import TracebackType
from typing import cast

import attrs
import trio
import zmq
from zmq.auth.base import Authenticator

from rhubarbmount.errors import AddressInUse
from rhubarbmount.log import event

__all__ = ["CurveKeys", "TrioSocket", "ZmqContext", "open_zmq"]

CONNECT_TIMEOUT_MS = 1000
CONNECTION_TIMEOUT_MS = 5000
MAX_MESSAGE_BYTES = 16 * 1024 * 1024
QUEUE_MESSAGES = 64
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 1000

_logger = logging.getLogger(__name__)


@attrs.frozen
class CurveKeys:
    """A Z85-encoded CURVE key pair."""

    public: str
    secret: str = attrs.field(repr=False)

    @classmethod
    def generate(cls) -> "CurveKeys":
        """Generate a new key pair."""
        public, secret = zmq.curve_keypair()
        return cls(public.decode(), secret.decode())


class TrioSocket:
    """A ZeroMQ socket from which a single task receives.

    The socket's file descriptor is edge-triggered, and a send may consume the edge of
    an incoming message. Every send therefore checks for pending messages and wakes the
    receiver.
    """

    def __init__(self, socket: zmq.Socket) -> None:
        self._socket = socket
        self._receive_scope: trio.CancelScope | None = None

    def __enter__(self) -> "TrioSocket":
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.close()

    @property
    def endpoint(self) -> str:
        """Return the endpoint to which the socket is bound."""
        return cast(bytes, self._socket.last_endpoint).decode()

    def bind(self, endpoint: str) -> None:
        """Bind to an endpoint such as tcp://127.0.0.1:0. Raises AddressInUse."""
        try:
            self._socket.bind(endpoint)
        except zmq.ZMQError as error:
            raise AddressInUse(f"can't listen on {endpoint}: {error}") from None

    def connect(self, endpoint: str) -> None:
        """Connect to an endpoint; ZeroMQ reconnects if the connection is lost."""
        self._socket.connect(endpoint)

    def close(self) -> None:
        """Close the socket and discard queued messages.

        A waiting receiver gets trio.ClosedResourceError.
        """
        if self._socket.closed:
            return
        trio.lowlevel.notify_closing(self._descriptor)
        self._socket.close(linger=0)

    def send_nowait(self, frames: list[bytes]) -> bool:
        """Queue a message.

        Returns False if the queue is full or no peer is connected.
        """
        sent = self._try_send(frames)
        self._wake_receiver()
        return sent

    async def receive(self) -> list[bytes]:
        """Return the frames of the next message.

        Raises trio.ClosedResourceError if the socket is closed.
        """
        await trio.lowlevel.checkpoint()
        while True:
            frames = self._receive_nowait()
            if frames is not None:
                return frames
            await self._wait_readable()

    def _try_send(self, frames: list[bytes]) -> bool:
        try:
            self._socket.send_multipart(frames, flags=zmq.NOBLOCK)
        except zmq.Again:
            return False
        except zmq.ZMQError as error:
            if error.errno == zmq.EHOSTUNREACH:
                return False
            raise
        return True

    def _receive_nowait(self) -> list[bytes] | None:
        if self._socket.closed:
            raise trio.ClosedResourceError("the socket is closed")
        try:
            return self._socket.recv_multipart(flags=zmq.NOBLOCK)
        except zmq.Again:
            return None

    async def _wait_readable(self) -> None:
        if self._has_pending_message():
            return
        with trio.CancelScope() as self._receive_scope:
            await trio.lowlevel.wait_readable(self._descriptor)
        self._receive_scope = None

    @property
    def _descriptor(self) -> int:
        return cast(int, self._socket.getsockopt(zmq.FD))

    def _has_pending_message(self) -> bool:
        events = cast(int, self._socket.getsockopt(zmq.EVENTS))
        return bool(events & zmq.POLLIN)

    def _wake_receiver(self) -> None:
        if self._receive_scope is not None and self._has_pending_message():
            self._receive_scope.cancel()


@attrs.define
class _CurveKeyValidator:
    """Credentials provider that accepts the known client keys."""

    is_known: Callable[[str], bool]

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether a client's public key is known, and log one that is not."""
        known = self.is_known(key.decode())
        if not known:
            event(_logger, "peer-key-refused", logging.WARNING, key=key.decode())
        return known


@attrs.define
class ZmqContext:
    """Creates sockets that authenticate with CURVE keys."""

    context: zmq.Context
    keys: CurveKeys

    def server(self, socket_type: int) -> TrioSocket:
        """Create a socket to bind, which accepts only clients with known keys."""
        socket = self._socket(socket_type)
        socket.curve_server = True
        socket.curve_secretkey = self.keys.secret.encode()
        if socket_type == zmq.ROUTER:
            socket.router_mandatory = True
            socket.router_handover = True
        return TrioSocket(socket)

    def client(
        self, socket_type: int, server_key: str, routing_id: bytes = b""
    ) -> TrioSocket:
        """Create a socket that connects only to a server with the given public key."""
        socket = self._socket(socket_type)
        if routing_id:
            socket.routing_id = routing_id
        socket.curve_publickey = self.keys.public.encode()
        socket.curve_secretkey = self.keys.secret.encode()
        socket.curve_serverkey = server_key.encode()
        return TrioSocket(socket)

    def _socket(self, socket_type: int) -> zmq.Socket:
        socket = self.context.socket(socket_type)
        socket.linger = 0
        socket.immediate = True
        socket.sndhwm = QUEUE_MESSAGES
        socket.rcvhwm = QUEUE_MESSAGES
        socket.maxmsgsize = MAX_MESSAGE_BYTES
        socket.reconnect_ivl = RECONNECT_MIN_MS
        socket.reconnect_ivl_max = RECONNECT_MAX_MS
        socket.connect_timeout = CONNECT_TIMEOUT_MS
        socket.handshake_ivl = CONNECTION_TIMEOUT_MS
        socket.tcp_maxrt = CONNECTION_TIMEOUT_MS
        return socket


@asynccontextmanager
async def open_zmq(
    keys: CurveKeys, is_known: Callable[[str], bool]
) -> AsyncIterator[ZmqContext]:
    """Run a context whose servers accept only clients with known public keys."""
    context = zmq.Context(io_threads=1)
    authenticator = Authenticator(context, log=_logger)
    authenticator.configure_curve_callback("*", _CurveKeyValidator(is_known))
    authenticator.start()
    try:
        with TrioSocket(authenticator.zap_socket) as requests:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_authenticate, authenticator, requests)
                yield ZmqContext(context, keys)
                nursery.cancel_scope.cancel()
    finally:
        context.destroy(linger=0)


async def _authenticate(authenticator: Authenticator, requests: TrioSocket) -> None:
    while True:
        await authenticator.handle_zap_message(await requests.receive())
