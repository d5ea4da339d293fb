"""TCP streams that wait only where the kernel would block."""

import select
import socket
from contextlib import suppress

import attrs
import trio

__all__ = ["TcpStream", "connect_tcp"]


@attrs.define(eq=False)
class TcpStream(trio.abc.HalfCloseableStream):
    """A connected socket that one task at a time reads, and one writes.

    Reading is always a checkpoint. Sending is one only if the socket's buffer is full,
    so a message that fits leaves whole even if its sender has been cancelled.
    """

    _socket: socket.socket

    @classmethod
    def adopt(cls, stream: trio.SocketStream) -> "TcpStream":
        """Take a stream's socket over; the stream is closed afterwards."""
        taken = socket.socket(fileno=stream.socket.detach())
        taken.setblocking(False)
        return cls(taken)

    def is_quiet(self) -> bool:
        """Tell whether there is nothing to read: no data, no end, no error."""
        return not _has_input(self._socket)

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Send all data. Raises trio.BrokenResourceError."""
        sent = self._send(data)
        if sent == len(data):
            return
        rest = memoryview(data)[sent:]
        while rest:
            await trio.lowlevel.wait_writable(self._socket)
            rest = rest[self._send(rest) :]

    async def wait_send_all_might_not_block(self) -> None:
        """Wait until some data can be sent."""
        await trio.lowlevel.wait_writable(self._socket)

    async def send_eof(self) -> None:
        """Send no more. Raises trio.BrokenResourceError."""
        await trio.lowlevel.checkpoint()
        try:
            self._socket.shutdown(socket.SHUT_WR)
        except OSError as error:
            raise trio.BrokenResourceError from error

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Return data, or nothing at the end. Raises trio.BrokenResourceError."""
        while True:
            await trio.lowlevel.wait_readable(self._socket)
            try:
                return self._socket.recv(max_bytes or 65536)
            except BlockingIOError:
                continue
            except OSError as error:
                raise trio.BrokenResourceError from error

    def end_reading(self) -> None:
        """Wake the reader of a stream with nothing left to read: it reads the end.

        A stream with unread data stays as it is.
        """
        if not self.is_quiet():
            return
        with suppress(OSError):
            self._socket.shutdown(socket.SHUT_RD)

    async def aclose(self) -> None:
        """Close the socket."""
        if self._socket.fileno() >= 0:
            trio.lowlevel.notify_closing(self._socket)
            self._socket.close()
        await trio.lowlevel.checkpoint()

    def _send(self, data: bytes | bytearray | memoryview) -> int:
        try:
            return self._socket.send(data)
        except BlockingIOError:
            return 0
        except OSError as error:
            raise trio.BrokenResourceError from error


def _has_input(peer: socket.socket) -> bool:
    poll = select.poll()
    poll.register(peer, select.POLLIN)
    return bool(poll.poll(0))


async def connect_tcp(address: str, port: int) -> TcpStream:
    """Open a connection. Raises OSError."""
    return TcpStream.adopt(await trio.open_tcp_stream(address, port))
