"""Tests of ZeroMQ sockets with trio."""

from contextlib import asynccontextmanager

import pytest
import trio
import trio.testing
import zmq

from rhubarbmount.errors import AddressInUse
from rhubarbmount.zmqtrio import CurveKeys, open_zmq

SERVER = CurveKeys.generate()
CLIENT = CurveKeys.generate()
UNKNOWN = CurveKeys.generate()
TIMEOUT_S = 10


@asynccontextmanager
async def server():
    async with open_zmq(SERVER, {CLIENT.public}.__contains__) as context:
        with context.server(zmq.ROUTER) as router:
            router.bind("tcp://127.0.0.1:0")
            yield router


@asynccontextmanager
async def client(router, keys=CLIENT, server_key=SERVER.public):
    async with open_zmq(keys, lambda key: False) as context:
        with context.client(zmq.DEALER, server_key) as dealer:
            dealer.connect(router.endpoint)
            yield dealer


async def send(dealer, frames):
    while not dealer.send_nowait(frames):
        await trio.sleep(0.01)


async def test_messages_are_exchanged_in_both_directions():
    with trio.fail_after(TIMEOUT_S):
        async with server() as router, client(router) as dealer:
            await send(dealer, [b"hello"])
            sender, body = await router.receive()
            assert body == b"hello"
            assert router.send_nowait([sender, b"welcome"])
            assert await dealer.receive() == [b"welcome"]


async def test_all_messages_of_burst_are_received():
    """A receiver that waits again before draining the socket would hang here."""
    with trio.fail_after(TIMEOUT_S):
        async with server() as router, client(router) as dealer:
            for number in range(500):
                await send(dealer, [b"%d" % number])
            bodies = [(await router.receive())[1] for _ in range(500)]
            assert bodies == [b"%d" % number for number in range(500)]


async def test_receiver_wakes_when_sends_consume_edges():
    """Both sides send continuously while their receivers wait."""
    count = 2000

    async def echo(router):
        for _ in range(count):
            await send(router, await router.receive())

    async def receive_all(dealer, bodies):
        while len(bodies) < count:
            bodies.append((await dealer.receive())[0])

    with trio.fail_after(TIMEOUT_S):
        async with server() as router, client(router) as dealer:
            bodies = []
            async with trio.open_nursery() as nursery:
                nursery.start_soon(echo, router)
                nursery.start_soon(receive_all, dealer, bodies)
                for number in range(count):
                    await send(dealer, [b"%d" % number])
            assert bodies == [b"%d" % number for number in range(count)]


async def test_send_wakes_receiver_whose_edge_it_consumed():
    with trio.fail_after(TIMEOUT_S):
        async with server() as router, client(router) as dealer:
            await send(dealer, [b"first"])
            sender, _ = await router.receive()
            bodies = []

            async def receive_one():
                bodies.append((await router.receive())[1])

            async with trio.open_nursery() as nursery:
                nursery.start_soon(receive_one)
                await trio.testing.wait_all_tasks_blocked()
                await send(dealer, [b"second"])
                while not router._socket.EVENTS & zmq.POLLIN:
                    pass
                assert router.send_nowait([sender, b"used up"])
            assert bodies == [b"second"]


@pytest.mark.parametrize("options", [{"keys": UNKNOWN}, {"server_key": UNKNOWN.public}])
async def test_wrong_key_on_either_side_is_rejected(options):
    with trio.fail_after(TIMEOUT_S):
        async with server() as router:
            async with client(router, **options) as unknown:
                with trio.move_on_after(0.5):
                    await send(unknown, [b"wrong"])
                async with client(router) as dealer:
                    await send(dealer, [b"right"])
                    assert (await router.receive())[1] == b"right"
                    with trio.move_on_after(0.3) as waited:
                        await router.receive()
                    assert waited.cancelled_caught


async def test_send_without_connected_peer_returns_false():
    async with server() as router:
        assert not router.send_nowait([b"nobody", b"body"])
        async with client(router, server_key=UNKNOWN.public) as dealer:
            assert not dealer.send_nowait([b"not connected"])


async def test_close_ends_pending_receive():
    async with server() as router:
        with pytest.RaisesGroup(trio.ClosedResourceError):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(router.receive)
                await trio.testing.wait_all_tasks_blocked()
                router.close()
        with pytest.raises(trio.ClosedResourceError):
            await router.receive()


async def test_cancelled_receive_loses_no_message():
    with trio.fail_after(TIMEOUT_S):
        async with server() as router, client(router) as dealer:
            with trio.move_on_after(0.01):
                await router.receive()
            await send(dealer, [b"kept"])
            assert (await router.receive())[1] == b"kept"


async def test_client_reconnects_to_restarted_server():
    with trio.fail_after(TIMEOUT_S):
        async with open_zmq(SERVER, {CLIENT.public}.__contains__) as context:
            first = context.server(zmq.ROUTER)
            first.bind("tcp://127.0.0.1:0")
            async with client(first) as dealer:
                await send(dealer, [b"one"])
                await first.receive()
                endpoint = first.endpoint
                first.close()
                second = context.server(zmq.ROUTER)
                with second:
                    await bind_with_retry(second, endpoint)
                    assert (await send_until_received(dealer, second))[1] == b"two"


async def send_until_received(dealer, server_socket):
    """Send repeatedly, since a message may be lost together with its connection."""
    while True:
        await send(dealer, [b"two"])
        with trio.move_on_after(0.1):
            return await server_socket.receive()


async def bind_with_retry(socket, endpoint):
    while True:
        try:
            return socket.bind(endpoint)
        except AddressInUse:
            await trio.sleep(0.01)
