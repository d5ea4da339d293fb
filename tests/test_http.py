"""Tests of truncated, surplus, oversized and malformed backend server responses."""

import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbmount.backends import BackendConnections
from rhubarbmount.http import HttpRequest, NotSent, ResponseLost

REQUEST = HttpRequest("POST", "/x", [(b"host", b"a")], b"body")
COMPLETE_RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


async def exchange_with(answers):
    """Exchange one request per answer with a server that sends the given bytes.

    Returns the response bodies, with None for each lost response.
    """
    results = []
    remaining = list(answers)

    async def serve(stream):
        async with stream:
            while remaining:
                if not await stream.receive_some():
                    return
                data = remaining.pop(0)
                await stream.send_all(data)
                if data != COMPLETE_RESPONSE:
                    await trio.sleep(0.01)
                    return

    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, serve, 0)
        port = listeners[0].socket.getsockname()[1]
        connections = BackendConnections(body_bytes=100)
        for _ in answers:
            try:
                with trio.fail_after(5):
                    answer = await connections.exchange(f"127.0.0.1:{port}", REQUEST)
                results.append(answer.body)
            except ResponseLost:
                results.append(None)
        await connections.aclose()
        nursery.cancel_scope.cancel()
    return results


@pytest.mark.parametrize(
    "broken",
    [
        b"",
        b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\npart",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-length: 101\r\n\r\n" + b"x" * 101,
        b"nonsense\r\n\r\n",
    ],
)
async def test_broken_response_is_lost_and_next_one_is_complete(broken):
    assert await exchange_with([broken, COMPLETE_RESPONSE]) == [None, b"ok"]


async def test_surplus_response_does_not_reach_next_request():
    surplus = COMPLETE_RESPONSE + b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwrong"
    assert await exchange_with([surplus, COMPLETE_RESPONSE]) == [b"ok", b"ok"]


async def test_a_surplus_answer_that_comes_after_the_next_request_is_refused():
    """Guards against delivering a response to the wrong request.

    Both responses carry the id of the first attempt, as a misdelivered one would.
    """

    async def serve(stream):
        async with stream:
            data = await stream.receive_some()
            attempt = data.split(b"rhubarbmount-attempt: ")[1].split(b"\r\n")[0]
            head = b"HTTP/1.1 200 OK\r\nrhubarbmount-attempt: " + attempt + b"\r\n"
            await stream.send_all(head + b"content-length: 2\r\n\r\nok")
            await stream.receive_some()
            await stream.send_all(head + b"content-length: 2\r\n\r\nno")

    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, serve, 0)
        address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        connections = BackendConnections()
        assert (await connections.exchange(address, REQUEST)).body == b"ok"
        with pytest.raises(ResponseLost):
            await connections.exchange(address, REQUEST)
        nursery.cancel_scope.cancel()


async def test_response_after_timeout_is_not_delivered():
    refused = trio.Event()

    async def serve(stream):
        async with stream:
            data = await stream.receive_some()
            if b"/late" in data:
                await trio.sleep(0.3)
                with pytest.raises(trio.BrokenResourceError):
                    await stream.send_all(COMPLETE_RESPONSE.replace(b"ok", b"NO"))
                refused.set()
                return
            await stream.send_all(COMPLETE_RESPONSE)

    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, serve, 0)
        address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        connections = BackendConnections()
        late = HttpRequest("GET", "/late", [(b"host", b"a")])
        with pytest.raises(trio.TooSlowError), trio.fail_after(0.1):
            await connections.exchange(address, late)
        await trio.sleep(0.3)
        answer = await connections.exchange(address, REQUEST)
        assert answer.body == b"ok"
        with trio.fail_after(5.0):
            await refused.wait()
        nursery.cancel_scope.cancel()


async def test_refused_connection_raises_not_sent():
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listeners[0].socket.getsockname()[1]
    await listeners[0].aclose()
    with pytest.raises(NotSent):
        await BackendConnections().exchange(f"127.0.0.1:{port}", REQUEST)


@settings(derandomize=True, deadline=None, database=None, max_examples=100)
@given(st.integers(0, len(COMPLETE_RESPONSE) - 1))
def test_truncated_response_is_not_accepted(cut):
    assert trio.run(exchange_with, [COMPLETE_RESPONSE[:cut], COMPLETE_RESPONSE]) == [
        None,
        b"ok",
    ]
