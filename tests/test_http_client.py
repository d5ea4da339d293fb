"""Tests of HTTP client connections."""

import attrs
import pytest
import trio

from rhubarbmount.http import HttpRequest, ResponseLost
from rhubarbmount.http_client import connect

REQUEST = HttpRequest("POST", "/order", [(b"host", b"a")], b"{}")


async def test_abandoned_request_resets_the_connection():
    """A partitioned peer must not receive the request after the partition heals."""
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listeners[0].socket.getsockname()[1]
    connection = await connect("127.0.0.1", port, 1.0)
    accepted = await listeners[0].accept()
    with trio.move_on_after(0.05):
        await connection.exchange(REQUEST)
    await connection.aclose()
    with pytest.raises(trio.BrokenResourceError):
        while await accepted.receive_some():
            pass
    await listeners[0].aclose()
    await accepted.aclose()


async def connected():
    """Return a connection, and the stream at the other end."""
    (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listener.socket.getsockname()[1]
    connection = await connect("127.0.0.1", port, 1.0)
    accepted = await listener.accept()
    await listener.aclose()
    return connection, accepted


# A request that the socket takes only in part must arrive whole, not cut short.
async def test_a_request_larger_than_the_buffers_of_the_socket_is_sent_whole(nursery):
    connection, accepted = await connected()
    body = b"x" * 8_000_000
    received = bytearray()

    async def answer():
        while not received.endswith(body[:1000]) or len(received) < len(body):
            received.extend(await accepted.receive_some())
        await accepted.send_all(b"HTTP/1.1 204 \r\n\r\n")

    nursery.start_soon(answer)
    response = await connection.exchange(attrs.evolve(REQUEST, body=body))
    assert response.status == 204
    assert received.endswith(b"\r\n\r\n" + body)
    assert connection.reusable
    await connection.aclose()
    await accepted.aclose()


# A call whose time was over before it was sent must not be carried out.
async def test_nothing_is_sent_once_the_call_has_been_given_up():
    connection, accepted = await connected()
    with trio.CancelScope() as scope:
        scope.cancel()
        await connection.exchange(REQUEST)
    assert scope.cancelled_caught
    await connection.aclose()
    with pytest.raises(trio.BrokenResourceError):
        assert not await accepted.receive_some()
    await accepted.aclose()


# A connection that the peer has reset must end the exchange, and nothing else.
async def test_a_connection_reset_by_the_peer_loses_the_response():
    connection, accepted = await connected()
    accepted.socket.setsockopt(
        trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, b"\1\0\0\0\0\0\0\0"
    )
    accepted.socket.close()
    with pytest.raises(ResponseLost) as caught:
        await connection.exchange(REQUEST)
    assert caught.value.code == "answer-lost"
    await connection.aclose()


# An interrupted exchange must end at once with the code that its callers expect.
async def test_an_interrupted_exchange_ends_as_a_timeout(nursery):
    connection, accepted = await connected()

    async def interrupt():
        await accepted.receive_some()
        connection.interrupt()

    nursery.start_soon(interrupt)
    with trio.fail_after(1.0), pytest.raises(ResponseLost) as caught:
        await connection.exchange(REQUEST)
    assert caught.value.code == "timeout"
    await connection.aclose()
    await accepted.aclose()
