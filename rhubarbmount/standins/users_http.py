"""HTTP server on loopback for the stand-in of the users' platform."""

import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import attrs
import trio

from rhubarbmount.http import HttpRequest, HttpResponse, header_value
from rhubarbmount.listener import Listener
from rhubarbmount.platform.json_client import JsonResponse
from rhubarbmount.problem import json_response
from rhubarbmount.standins.users_platform import UsersPlatform

__all__ = ["PlatformHttp", "open_platform_http"]

LOOPBACK = "127.0.0.1"


@attrs.define(eq=False)
class PlatformHttp:
    """Listeners of a stand-in; addresses have the form ``IP:PORT``."""

    platform: UsersPlatform
    nursery: trio.Nursery
    store_address: str = ""
    machines_address: str = ""
    server_addresses: list[str] = attrs.field(factory=list)

    async def start(self, machine_count: int) -> None:
        """Start listeners for the store, for machines and for each backend server."""
        self.store_address = await self._listen(Listener("store", self._handle_store))
        self.machines_address = await self._listen(
            Listener("machines", self._handle_machines)
        )
        for number in range(machine_count):
            handler = _ServerHandler(self, number)
            listener = _ServerListener(f"server-{number}", handler.handle)
            address = await self._listen(listener)
            self.server_addresses.append(address)
            self.platform.end_by_address[address] = listener.reset
        self.platform.address_of = self.server_addresses.__getitem__

    async def _listen(self, listener: Listener) -> str:
        await self.nursery.start(listener.run, LOOPBACK, 0)
        return f"{LOOPBACK}:{listener.port}"

    async def _handle_store(self, request: HttpRequest) -> HttpResponse:
        body = json.loads(request.body) if request.body else None
        store = self.platform.store
        return _response(await store.handle(request.method, request.target, body))

    async def _handle_machines(self, request: HttpRequest) -> HttpResponse:
        body = json.loads(request.body) if request.body else None
        response = await self.platform.handle_machines(
            request.method, request.target, dict(request.headers), body
        )
        return _response(response)


@attrs.define(eq=False)
class _ServerListener(Listener):
    """A listener whose connections end with the lifetime of its backend server."""

    _scopes: set[trio.CancelScope] = attrs.field(factory=set)

    def reset(self) -> None:
        """Close all connections without an answer."""
        for scope in self._scopes:
            scope.cancel()

    async def _serve(self, stream: trio.SocketStream) -> None:
        with trio.CancelScope() as scope:
            self._scopes.add(scope)
            try:
                await super()._serve(stream)
            finally:
                self._scopes.discard(scope)


@attrs.define(eq=False)
class _ServerHandler:
    http: PlatformHttp
    number: int

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handle a request as the server lifetime that is now on the machine."""
        address = self.http.server_addresses[self.number]
        if address in self.http.platform.cut_addresses:
            await trio.sleep_forever()
        server = self.http.platform.server_by_address.get(address)
        if server is None:
            # Nothing answers at the address of a server that is down.
            await trio.sleep_forever()
        expected = header_value(request.headers, b"x-expect-instance") or ""
        body = json.loads(request.body)
        return _response(await server.handle(request.target, expected, body))


def _response(response: JsonResponse) -> HttpResponse:
    return json_response(response.body, response.status)


@asynccontextmanager
async def open_platform_http(
    platform: UsersPlatform, nursery: trio.Nursery, machine_count: int
) -> AsyncIterator[PlatformHttp]:
    """Serve a stand-in for as long as the nursery runs."""
    http = PlatformHttp(platform, nursery)
    await http.start(machine_count)
    yield http
