"""HTTP/1.1 server connections, using h11 over trio streams."""

import math
from typing import Any

import attrs
import h11
import trio

from rhubarbmount.http import (
    END_OF_MESSAGE,
    READ_SIZE_BYTES,
    BadRequest,
    Headers,
    HttpLimits,
    HttpRequest,
    HttpResponse,
    has_input,
    header_value,
    parsed_headers,
    without_framing_headers,
)

__all__ = ["ServerConnection"]

LINGER_TIMEOUT_S = 1.0


@attrs.define(eq=False)
class ServerConnection:
    """An accepted connection that reads requests and writes responses.

    ``idle_since_s`` is infinite except while the connection waits for a request.
    """

    stream: trio.SocketStream
    limits: HttpLimits
    idle_since_s: float = math.inf
    _protocol: h11.Connection = attrs.field(init=False)
    _method: str = ""

    def __attrs_post_init__(self) -> None:
        self._protocol = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self.limits.header_bytes
        )

    async def wait_for_request(self) -> bool:
        """Wait for the first byte of a request.

        Returns False if the connection was closed or the wait was interrupted.
        """
        if self._protocol.trailing_data[0]:
            return True
        self.idle_since_s = trio.current_time()
        try:
            return await self._read_more()
        except trio.ClosedResourceError:
            return False
        finally:
            self.idle_since_s = math.inf

    def interrupt_wait(self) -> None:
        """Stop waiting for a request, unless data has already arrived."""
        if self.idle_since_s < math.inf and not has_input(self.stream):
            trio.lowlevel.notify_closing(self.stream.socket)

    async def receive(self) -> HttpRequest | None:
        """Return the next complete request, or None if the peer has closed.

        Raises BadRequest.
        """
        try:
            return await self._receive()
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint
            raise BadRequest(str(error), status, _bad_request_code(status)) from None

    async def _receive(self) -> HttpRequest | None:
        head = await self._receive_head()
        if head is None:
            return None
        self._method = head.method.decode("ascii")
        headers = parsed_headers(head)
        if _head_size_bytes(head, headers) > self.limits.header_bytes:
            raise BadRequest(
                "the request headers exceed the size limit", 431, "headers-too-large"
            )
        length = header_value(headers, b"content-length")
        if length is not None and int(length) > self.limits.body_bytes:
            raise BadRequest(
                "the request body exceeds the size limit", 413, "body-too-large"
            )
        body = await self._receive_body()
        target = head.target.decode("ascii")
        return HttpRequest(self._method, target, headers, body)

    async def _receive_head(self) -> h11.Request | None:
        event = self._protocol.next_event()
        if event is h11.NEED_DATA:
            event = await self._await_head()
        if not isinstance(event, h11.Request):
            return None
        return event

    async def _await_head(self) -> Any:
        with trio.move_on_after(self.limits.header_timeout_s):
            return await self._next_event()
        raise BadRequest(
            "timed out while receiving the request headers", 408, "header-timeout"
        )

    async def _receive_body(self) -> bytes:
        chunks: list[bytes] = []
        event = self._protocol.next_event()
        if not isinstance(event, h11.EndOfMessage):
            with trio.move_on_after(self.limits.body_timeout_s) as scope:
                await self._await_body(event, chunks)
            if scope.cancelled_caught:
                raise BadRequest(
                    "timed out while receiving the request body", 408, "body-timeout"
                )
        return b"".join(chunks)

    async def _await_body(self, event: object, chunks: list[bytes]) -> None:
        if self._protocol.they_are_waiting_for_100_continue:
            await self._send_continue()
        size = 0
        while event is h11.NEED_DATA or isinstance(event, h11.Data):
            if isinstance(event, h11.Data):
                size += len(event.data)
                if size > self.limits.body_bytes:
                    raise BadRequest(
                        "the request body exceeds the size limit", 413, "body-too-large"
                    )
                chunks.append(bytes(event.data))
            event = await self._next_event()

    async def send(self, response: HttpResponse, close: bool = False) -> bool:
        """Send a response; return whether the connection can serve another request."""
        headers = without_framing_headers(response.headers)
        headers.append((b"content-length", b"%d" % len(response.body)))
        if close:
            headers.append((b"connection", b"close"))
        head = h11.Response(status_code=response.status, headers=headers)
        data = self._protocol.send(head) or b""
        if self._method != "HEAD" and response.body:
            data += self._protocol.send(h11.Data(data=response.body)) or b""
        data += self._protocol.send(END_OF_MESSAGE) or b""
        await self.stream.send_all(data)
        if self._protocol.our_state is h11.MUST_CLOSE:
            return False
        if self._protocol.their_state is not h11.DONE:
            return False
        self._protocol.start_next_cycle()
        return True

    async def refuse(self, response: HttpResponse) -> None:
        """Send an error response, then shut down the connection.

        Used for invalid requests and when the connection limit is reached. Input is
        discarded until the peer closes or LINGER_TIMEOUT_S has passed.
        """
        if self._protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        await self.send(response, close=True)
        with trio.move_on_after(LINGER_TIMEOUT_S):
            await self.stream.send_eof()
            while await self.stream.receive_some(READ_SIZE_BYTES):
                pass

    async def _send_continue(self) -> None:
        event = h11.InformationalResponse(status_code=100, headers=[])
        await self.stream.send_all(self._protocol.send(event) or b"")

    async def _next_event(self) -> Any:
        while True:
            event = self._protocol.next_event()
            if event is not h11.NEED_DATA:
                return event
            self._protocol.receive_data(await self._read())

    async def _read_more(self) -> bool:
        data = await self._read()
        self._protocol.receive_data(data)
        return bool(data)

    async def _read(self) -> bytes:
        try:
            return bytes(await self.stream.receive_some(READ_SIZE_BYTES))
        except trio.BrokenResourceError:
            return b""


def _head_size_bytes(head: h11.Request, headers: Headers) -> int:
    fields = sum([len(key) + len(value) + 4 for key, value in headers])
    return len(head.method) + len(head.target) + fields


def _bad_request_code(status: int) -> str:
    if status == 431:
        return "headers-too-large"
    return "bad-request"
