"""HTTP listener: accepts connections, dispatches requests, shuts down gracefully."""

import logging
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import attrs
import trio

from rhubarbmount import log
from rhubarbmount.errors import AddressInUse
from rhubarbmount.http import BadRequest, HttpLimits, HttpRequest, HttpResponse
from rhubarbmount.http_server import ServerConnection
from rhubarbmount.problem import Outcome, problem

__all__ = ["Handler", "Listener", "open_listener"]

IDLE_CHECK_FRACTION = 0.1
Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]

logger = logging.getLogger(__name__)


@attrs.define(eq=False)
class Listener:
    """A listening socket and the connections accepted on it."""

    name: str
    handler: Handler
    limits: HttpLimits = attrs.field(factory=HttpLimits)
    max_connections: int = 1024
    port: int = 0
    stopping: bool = False
    cut_count: int = 0
    _retiring: bool = False
    _active_count: int = 0
    _open_count: int = 0
    _connections: set[ServerConnection] = attrs.field(factory=set)
    _accept_scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    _all_closed: trio.Event = attrs.field(factory=trio.Event)
    _nursery: trio.Nursery | None = None

    async def run(
        self,
        address: str,
        port: int,
        task_status: Any = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept connections until stopped. Raises AddressInUse."""
        try:
            listeners = await trio.open_tcp_listeners(port, host=address)
        except OSError as error:
            raise AddressInUse(f"can't listen on {address}:{port}: {error}") from None
        self.port = listeners[0].socket.getsockname()[1]
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._close_idle_connections)
            task_status.started()
            with self._accept_scope:
                await trio.serve_listeners(
                    self._serve, listeners, handler_nursery=nursery
                )

    def retire_connections(self) -> None:
        """Keep accepting, and close each connection after its next response."""
        self._retiring = True

    async def stop(self, timeout_s: float) -> int:
        """Stop accepting and wait for the requests in flight to finish.

        Returns the number of requests that were still running at the timeout and
        were aborted.
        """
        self.stopping = True
        self.retire_connections()
        self._accept_scope.cancel()
        for connection in self._connections:
            connection.interrupt_wait()
        if self._open_count:
            with trio.move_on_after(timeout_s):
                await self._all_closed.wait()
        self.cut_count = self._active_count
        if self._nursery is not None:
            self._nursery.cancel_scope.cancel()
        return self.cut_count

    async def _serve(self, stream: trio.SocketStream) -> None:
        self._open_count += 1
        try:
            async with stream:
                await self._serve_connection(stream)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            log.event(logger, "connection-broken", logging.DEBUG, listener=self.name)
        finally:
            self._open_count -= 1
            if self.stopping and not self._open_count:
                self._all_closed.set()

    async def _serve_connection(self, stream: trio.SocketStream) -> None:
        connection = ServerConnection(stream, self.limits)
        if self._open_count > self.max_connections:
            message = "too many connections"
            await connection.refuse(
                problem(503, "connection-limit", message, Outcome.NOT_RUN, 1)
            )
            return
        self._connections.add(connection)
        try:
            await self._serve_requests(connection)
        finally:
            self._connections.discard(connection)

    async def _serve_requests(self, connection: ServerConnection) -> None:
        while not self.stopping and await connection.wait_for_request():
            self._active_count += 1
            try:
                if not await self._serve_request(connection):
                    return
            finally:
                self._active_count -= 1

    async def _close_idle_connections(self) -> None:
        timeout_s = self.limits.idle_timeout_s
        while True:
            await trio.sleep(timeout_s * IDLE_CHECK_FRACTION)
            idle_since_s = trio.current_time() - timeout_s
            for connection in self._connections:
                if connection.idle_since_s <= idle_since_s:
                    connection.interrupt_wait()

    async def _serve_request(self, connection: ServerConnection) -> bool:
        try:
            request = await connection.receive()
        except BadRequest as error:
            answer = problem(error.status, error.code, error.message, Outcome.NOT_RUN)
            await connection.refuse(answer)
            return False
        if request is None:
            return False
        response = await self._handle(request)
        return await connection.send(response, close=self._retiring)

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        try:
            return await self.handler(request)
        except Exception:
            request_id = log.request_id.get() or "-"
            logger.exception(
                "event=handler-failed request=%s listener=%s", request_id, self.name
            )
            return problem(500, "internal", "an internal error", Outcome.UNKNOWN)


@asynccontextmanager
async def open_listener(
    listener: Listener, address: str, port: int
) -> AsyncIterator[Listener]:
    """Run a listener for the duration of the block."""
    async with trio.open_nursery() as nursery:
        await nursery.start(listener.run, address, port)
        yield listener
        nursery.cancel_scope.cancel()
