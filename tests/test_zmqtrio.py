"""ZeroMQ sockets under trio."""

from contextlib import asynccontextmanager

import pytest
import trio
import trio.testing
import zmq

from rhubarbmount.errors import AddressInUse
from rhubarbmount.zmqtrio import CurveKeys, open_zmq

SERVER = CurveKeys.generate()
CLIENT = CurveKeys.generate()
STRANGER = CurveKeys.generate()
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


async def test_messages_go_both_ways():
    with trio.fail_after(TIMEOUT_S):
        async with server() as router, client(router) as dealer:
            await send(dealer, [b"hello"])
            sender, body = await router.receive()
            assert body == b"hello"
            assert router.send_nowait([sender, b"welcome"])
            assert await dealer.receive() == [b"welcome"]


async def test_every_message_of_a_burst_is_received():
    """A reader that waits again without draining would hang here."""
    with trio.fail_after(TIMEOUT_S):
        async with server() as router, client(router) as dealer:
            for number in range(500):
                await send(dealer, [b"%d" % number])
            bodies = [(await router.receive())[1] for _ in range(500)]
            assert bodies == [b"%d" % number for number in range(500)]


async def test_a_receiver_wakes_though_sends_use_up_the_edge():
    """Both sides send without pause while their receivers wait."""
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


async def test_a_send_wakes_the_receiver_whose_edge_it_used_up():
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


@pytest.mark.parametrize(
    "options", [{"keys": STRANGER}, {"server_key": STRANGER.public}]
)
async def test_a_wrong_key_on_either_side_is_not_heard(options):
    with trio.fail_after(TIMEOUT_S):
        async with server() as router:
            async with client(router, **options) as stranger:
                with trio.move_on_after(0.5):
                    await send(stranger, [b"wrong"])
                async with client(router) as dealer:
                    await send(dealer, [b"right"])
                    assert (await router.receive())[1] == b"right"
                    with trio.move_on_after(0.3) as waited:
                        await router.receive()
                    assert waited.cancelled_caught


async def test_a_send_to_nobody_is_told():
    async with server() as router:
        assert not router.send_nowait([b"nobody", b"body"])
        async with client(router, server_key=STRANGER.public) as dealer:
            assert not dealer.send_nowait([b"not connected"])


async def test_closing_ends_a_waiting_receive():
    async with server() as router:
        with pytest.RaisesGroup(trio.ClosedResourceError):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(router.receive)
                await trio.testing.wait_all_tasks_blocked()
                router.close()
        with pytest.raises(trio.ClosedResourceError):
            await router.receive()


async def test_cancelling_a_receive_loses_no_message():
    with trio.fail_after(TIMEOUT_S):
        async with server() as router, client(router) as dealer:
            with trio.move_on_after(0.01):
                await router.receive()
            await send(dealer, [b"kept"])
            assert (await router.receive())[1] == b"kept"


async def test_a_client_reconnects_to_a_server_that_came_back():
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
                    await bind_again(second, endpoint)
                    assert (await ask_until_heard(dealer, second))[1] == b"two"


async def ask_until_heard(dealer, server_socket):
    """Send again and again, since a message may be lost with its connection."""
    while True:
        await send(dealer, [b"two"])
        with trio.move_on_after(0.1):
            return await server_socket.receive()


async def bind_again(socket, endpoint):
    while True:
        try:
            return socket.bind(endpoint)
        except AddressInUse:
            await trio.sleep(0.01)
