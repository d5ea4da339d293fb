"""HTTP request and response types, size and time limits, and errors.

Bodies are buffered in full, up to a limit, so that a client receives a complete
response or none at all.
"""

import select
from collections.abc import Sequence

import attrs
import h11
import trio

from rhubarbmount.errors import RhubarbmountError

__all__ = [
    "ResponseLost",
    "BadRequest",
    "END_OF_MESSAGE",
    "Headers",
    "HttpLimits",
    "HttpRequest",
    "HttpResponse",
    "NotSent",
    "READ_SIZE_BYTES",
    "has_input",
    "header_value",
    "parsed_headers",
    "without_framing_headers",
]

Headers = Sequence[tuple[bytes, bytes]]

READ_SIZE_BYTES = 65536
END_OF_MESSAGE = h11.EndOfMessage()


class BadRequest(RhubarbmountError):
    """A request violates the HTTP protocol or exceeds a limit."""

    code = "bad-request"
    status = 400

    def __init__(self, message: str, status: int, code: str) -> None:
        super().__init__(message, code=code)
        self.status = status


class NotSent(RhubarbmountError):
    """The request failed before any byte of it was sent."""

    code = "not-sent"
    status = 502


class ResponseLost(RhubarbmountError):
    """No complete response was received; the request may have been executed."""

    code = "answer-lost"
    status = 502


@attrs.frozen
class HttpLimits:
    """Limits on the size of a request and the time taken to receive it."""

    header_bytes: int = 16384
    body_bytes: int = 1048576
    header_timeout_s: float = 5.0
    body_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


@attrs.frozen
class HttpRequest:
    """A complete request; header names are lower case.

    The head of one that ``is_repeated``, with another body each time, is kept; its
    headers are a tuple.
    """

    method: str
    target: str
    headers: Headers = ()
    body: bytes = b""
    is_repeated: bool = False


@attrs.frozen
class HttpResponse:
    """A complete response; header names are lower case."""

    status: int
    headers: Headers = ()
    body: bytes = b""


def has_input(stream: trio.SocketStream) -> bool:
    """Return whether a read would not block, due to data, end of stream or an error."""
    poll = select.poll()
    poll.register(stream.socket.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def parsed_headers(head: h11.Request | h11.Response) -> list[tuple[bytes, bytes]]:
    """Return the headers of an h11 message with names in lower case."""
    return [(name.lower(), value) for name, value in head.headers.raw_items()]


def header_value(headers: Headers, name: bytes) -> str | None:
    """Return the first value of a header, or None if it is absent.

    >>> header_value([(b"host", b"a")], b"host")
    'a'
    """
    for key, value in headers:
        if key == name:
            return value.decode("latin-1")
    return None


def without_framing_headers(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Return the headers without those that determine the body length."""
    dropped = (b"content-length", b"transfer-encoding")
    return [(key, value) for key, value in headers if key not in dropped]
