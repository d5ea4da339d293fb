"""Streams that wait only where the kernel would block."""

import socket

import pytest
import trio
import trio.testing

from rhubarbmount.tcp import TcpStream

LARGE = b"x" * 8_000_000


@pytest.fixture
def streams():
    """Return the two ends of a connection."""
    pair = [trio.SocketStream(end) for end in make_sockets()]
    return [TcpStream.adopt(stream) for stream in pair]


def make_sockets():
    with socket.create_server(("127.0.0.1", 0)) as server:
        near = socket.create_connection(server.getsockname())
        far, _ = server.accept()
    return [trio.socket.from_stdlib_socket(end) for end in (near, far)]


async def read_all(stream):
    received = bytearray()
    while data := await stream.receive_some(65536):
        received += data
    return bytes(received)


async def test_data_larger_than_the_buffers_arrives_whole(streams):
    near, far = streams
    received = []

    async def read():
        received.append(await read_all(far))

    async with near, far, trio.open_nursery() as nursery:
        nursery.start_soon(read)
        await near.send_all(LARGE)
        await near.send_eof()
    assert received == [LARGE]


async def test_a_sender_that_waits_for_room_can_be_cancelled(streams):
    near, far = streams
    async with near, far:
        with trio.move_on_after(0.1) as scope:
            await near.send_all(LARGE)
    assert scope.cancelled_caught


async def test_a_closed_peer_ends_the_reader_and_breaks_the_sender(streams):
    near, far = streams
    await far.aclose()
    async with near:
        assert await near.receive_some() == b""
        with pytest.raises(trio.BrokenResourceError):
            for _ in range(3):
                await near.send_all(b"data")
                await trio.sleep(0.01)


async def test_a_reader_of_a_stream_closed_here_is_woken(streams):
    near, far = streams
    async with far, trio.open_nursery() as nursery:

        async def read():
            with pytest.raises(trio.ClosedResourceError):
                await near.receive_some()

        nursery.start_soon(read)
        await trio.testing.wait_all_tasks_blocked()
        await near.aclose()


async def test_the_end_of_reading_wakes_a_reader_but_loses_no_data(streams):
    near, far = streams
    async with near, far, trio.open_nursery() as nursery:
        await far.send_all(b"unread")
        near.end_reading()
        assert await near.receive_some() == b"unread"
        await far.send_all(b"more")
        assert await near.receive_some() == b"more"
        results = []

        async def read():
            results.append(await near.receive_some())

        nursery.start_soon(read)
        await trio.testing.wait_all_tasks_blocked()
        near.end_reading()
    assert results == [b""]
