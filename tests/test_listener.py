"""Tests of the listener: invalid, slow and pipelined requests, graceful shutdown."""

import socket
from contextlib import suppress

import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbmount.http import HttpLimits, HttpResponse
from rhubarbmount.http_server import ServerConnection
from rhubarbmount.listener import Listener, open_listener

LIMITS = HttpLimits(
    header_bytes=1024, body_bytes=100, header_timeout_s=0.3, body_timeout_s=0.3
)


async def echo(request):
    await trio.sleep(0.2 if request.target == "/slow" else 0)
    return HttpResponse(200, [], request.target.encode() + b" " + request.body)


async def send_and_receive(port, data, pause_s=0.0, chunks=1):
    """Send data in chunks, and return all data received until the connection ends."""
    stream = await trio.open_tcp_stream("127.0.0.1", port)
    async with stream:
        size = max(1, len(data) // chunks)
        with suppress(trio.BrokenResourceError):
            for start in range(0, len(data), size):
                await stream.send_all(data[start : start + size])
                await trio.sleep(pause_s)
            await stream.send_eof()
        received = b""
        while chunk := await stream.receive_some():
            received += chunk
        return received


BAD_REQUESTS = {
    "not http": (b"hello\r\n\r\n", b"400"),
    "two lengths": (
        b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n",
        b"400",
    ),
    "no host": (b"GET / HTTP/1.1\r\n\r\n", b"400"),
    "large headers": (
        b"GET / HTTP/1.1\r\nhost: a\r\nx: " + b"y" * 4096 + b"\r\n\r\n",
        b"431",
    ),
    "large body": (
        b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 101\r\n\r\n" + b"z" * 101,
        b"413",
    ),
    "large chunked body": (
        b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
        b"65\r\n" + b"z" * 101 + b"\r\n0\r\n\r\n",
        b"413",
    ),
}


@pytest.mark.parametrize("name", BAD_REQUESTS)
async def test_bad_request_is_answered_with_status_and_outcome_not_run(name):
    data, status = BAD_REQUESTS[name]
    async with open_listener(Listener("t", echo, LIMITS), "127.0.0.1", 0) as listener:
        answer = await send_and_receive(listener.port, data)
    assert answer.startswith(b"HTTP/1.1 " + status)
    assert b"rhubarbmount-outcome: not-run" in answer


async def test_slow_headers_and_slow_body_time_out():
    async with open_listener(Listener("t", echo, LIMITS), "127.0.0.1", 0) as listener:
        head = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"
        assert b" 408 " in await send_and_receive(listener.port, head, 0.1, chunks=10)
        body = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 50\r\n\r\n"
        assert b" 408 " in await send_and_receive(listener.port, body, 0.5, chunks=1)


async def test_pipelined_requests_are_answered_in_order():
    data = b"".join(
        b"GET /%d HTTP/1.1\r\nhost: a\r\n\r\n" % number for number in range(5)
    )
    async with open_listener(Listener("t", echo, LIMITS), "127.0.0.1", 0) as listener:
        answer = await send_and_receive(listener.port, data)
    order = [answer.index(b"/%d " % number) for number in range(5)]
    assert order == sorted(order)
    assert answer.count(b"HTTP/1.1 200") == 5


async def test_slow_clients_do_not_delay_others():
    async with open_listener(Listener("t", echo, LIMITS), "127.0.0.1", 0) as listener:
        async with trio.open_nursery() as nursery:
            for _ in range(20):
                nursery.start_soon(send_and_receive, listener.port, b"GET / HT", 0.1, 4)
            with trio.fail_after(0.2):
                good = b"GET /good HTTP/1.1\r\nhost: a\r\n\r\n"
                assert b" 200 " in await send_and_receive(listener.port, good)


async def test_a_stop_finishes_the_request_in_flight_and_ends_idle_connections():
    async with open_listener(Listener("t", echo, LIMITS), "127.0.0.1", 0) as listener:
        answers = []

        async def ask():
            request = b"GET /slow HTTP/1.1\r\nhost: a\r\n\r\n"
            answers.append(await send_and_receive(listener.port, request))

        async with trio.open_nursery() as nursery:
            idle = await trio.open_tcp_stream("127.0.0.1", listener.port)
            nursery.start_soon(ask)
            await trio.sleep(0.1)
            assert await listener.stop(timeout_s=2) == 0
            assert await idle.receive_some() == b""
    assert b"HTTP/1.1 200" in answers[0]
    assert b"connection: close" in answers[0].lower()


async def test_stop_returns_number_of_aborted_requests():
    async with open_listener(Listener("t", echo, LIMITS), "127.0.0.1", 0) as listener:
        stream = await trio.open_tcp_stream("127.0.0.1", listener.port)
        await stream.send_all(b"GET /slow HTTP/1.1\r\nhost: a\r\n\r\n")
        await trio.sleep(0.05)
        assert await listener.stop(timeout_s=0.05) == 1


@pytest.mark.parametrize("arrived", [10, 30])
async def test_a_stop_serves_a_request_that_has_arrived_and_was_not_read_yet(arrived):
    request = b"GET /late HTTP/1.1\r\nhost: a\r\n\r\n"
    answers = []

    async def send_the_rest(stream):
        await trio.sleep(0.1)
        await stream.send_all(request[arrived:])
        answers.append(await stream.receive_some())

    async with open_listener(Listener("t", echo, LIMITS), "127.0.0.1", 0) as listener:
        async with trio.open_nursery() as nursery:
            stream = await trio.open_tcp_stream("127.0.0.1", listener.port)
            await trio.sleep(0.05)
            await stream.send_all(request[:arrived])
            nursery.start_soon(send_the_rest, stream)
            await listener.stop(timeout_s=1)
    assert b"/late" in answers[0]


async def test_idle_connection_is_closed_after_timeout():
    limits = HttpLimits(idle_timeout_s=0.1)
    async with open_listener(Listener("t", echo, limits), "127.0.0.1", 0) as listener:
        stream = await trio.open_tcp_stream("127.0.0.1", listener.port)
        await stream.send_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        assert b" 200 " in await stream.receive_some()
        with trio.fail_after(2):
            assert await stream.receive_some() == b""


async def test_request_longer_than_idle_timeout_is_answered():
    limits = HttpLimits(idle_timeout_s=0.05)
    async with open_listener(Listener("t", echo, limits), "127.0.0.1", 0) as listener:
        stream = await trio.open_tcp_stream("127.0.0.1", listener.port)
        await stream.send_all(b"GET /slow HTTP/1.1\r\nhost: a\r\n\r\n")
        assert b"/slow" in await stream.receive_some()


async def test_a_stop_serves_a_request_that_arrived_since_the_last_poll():
    async with open_listener(Listener("t", echo, LIMITS), "127.0.0.1", 0) as listener:
        with socket.create_connection(("127.0.0.1", listener.port)) as caller:
            await trio.sleep(0.05)
            caller.sendall(b"GET /late HTTP/1.1\r\nhost: a\r\n\r\n")
            await listener.stop(timeout_s=1)
            assert b"/late" in caller.recv(1000)


@pytest.mark.parametrize("ticks", range(5))
async def test_the_end_of_a_wait_leaves_a_request_that_is_being_read(nursery, ticks):
    ours, theirs = trio.socket.socketpair()
    connection = ServerConnection(trio.SocketStream(ours), LIMITS)
    with theirs:
        await theirs.send(b"GET /late HTTP/1.1\r\nhost: a\r\n\r\n")

        async def serve():
            assert await connection.wait_for_request()
            assert await connection.send(await echo(await connection.receive()))

        nursery.start_soon(serve)
        for _ in range(ticks):
            await trio.lowlevel.checkpoint()
        connection.interrupt_wait()
        assert b"/late" in await theirs.recv(1000)


@settings(derandomize=True, deadline=None, database=None, max_examples=150)
@given(st.binary(max_size=300))
def test_listener_survives_arbitrary_input(data):
    async def run():
        listener = Listener("t", echo, LIMITS)
        async with open_listener(listener, "127.0.0.1", 0):
            answer = await send_and_receive(listener.port, data)
            assert answer == b"" or answer.startswith(b"HTTP/1.1 ")
            good = b"GET /good HTTP/1.1\r\nhost: a\r\n\r\n"
            assert b" 200 " in await send_and_receive(listener.port, good)

    trio.run(run)
