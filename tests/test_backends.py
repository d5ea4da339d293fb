"""Idle connections to backend servers are closed when no longer usable."""

from contextlib import asynccontextmanager

import pytest
import trio
import trio.testing

from rhubarbmount.backends import BackendConnections
from rhubarbmount.http import HttpRequest
from rhubarbmount.standins.backend import BackendStandin

REQUEST = HttpRequest("GET", "/x", [(b"host", b"a")])


@asynccontextmanager
async def open_backend():
    """Run a backend server; yield its address and its open connections."""
    standin = BackendStandin("w1")
    streams = []

    async def serve(stream):
        streams.append(stream)
        await standin._serve(stream)
        streams.remove(stream)

    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, serve, 0)
        port = listeners[0].socket.getsockname()[1]
        yield f"127.0.0.1:{port}", streams
        nursery.cancel_scope.cancel()


async def wait_until(condition):
    with trio.fail_after(5):
        while not condition():
            await trio.sleep(0.01)


@pytest.mark.parametrize("serving", [True, False])
async def test_connections_to_a_host_out_of_service_are_closed(serving):
    async with open_backend() as (address, streams):
        connections = BackendConnections()
        await connections.exchange(address, REQUEST)
        await connections.sweep({address} if serving else set())
        if serving:
            await connections.exchange(address, REQUEST)
            assert len(streams) == 1
        else:
            await wait_until(lambda: not streams)
        await connections.aclose()


async def test_a_connection_closed_by_the_backend_server_is_removed():
    async with open_backend() as (address, streams):
        connections = BackendConnections()
        await connections.exchange(address, REQUEST)
        idle = connections._pool_by_address[address].idle
        await trio.testing.wait_all_tasks_blocked()
        await streams[0].send_eof()
        await wait_until(lambda: not idle[0].is_quiet())
        await connections.sweep({address})
        assert not idle
        await connections.aclose()
