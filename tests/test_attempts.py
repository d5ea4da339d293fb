"""Deadlines of attempts, and the facts recorded when an attempt ends."""

from contextlib import asynccontextmanager

import pytest
import trio
from trio.testing import MockClock

from rhubarbmount.attempts import attempt
from rhubarbmount.backend_health import AttemptResult
from rhubarbmount.backends import BackendConnections
from rhubarbmount.http import HttpRequest
from rhubarbmount.problem import Outcome
from rhubarbmount.retries import Ending, classify
from rhubarbmount.standins.backend import BackendStandin

REQUEST = HttpRequest("GET", "/quotes/1", [(b"host", b"quotes")])


async def test_nothing_is_sent_after_the_deadline_even_over_an_idle_connection(nursery):
    standin = BackendStandin("h1")
    port = await nursery.start(standin.run, "127.0.0.1", 0)
    address = f"127.0.0.1:{port}"
    connections = BackendConnections()
    now_s = trio.current_time()
    first = await attempt(connections, address, REQUEST, now_s + 5)
    assert first.response is not None
    late = await attempt(connections, address, REQUEST, now_s - 1)
    await trio.sleep(0.1)
    assert standin.ran_count == 1
    assert (late.code, classify(late.facts)) == ("timeout", Outcome.NOT_RUN)
    assert late.result() is AttemptResult.CANCELLED
    await connections.aclose()
    nursery.cancel_scope.cancel()


@pytest.fixture
def autojump_clock():
    return MockClock(rate=0.0, autojump_threshold=0.0)


@asynccontextmanager
async def serving(answer):
    """Run a backend server with a handler; yield connections to it and its address."""
    async with trio.open_nursery() as nursery:
        nursery.cancel_scope.deadline = trio.current_time() + 10.0
        listeners = await nursery.start(trio.serve_tcp, answer, 0)
        connections = BackendConnections()
        nursery.start_soon(connections.run)
        yield connections, f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        nursery.cancel_scope.cancel()
    assert trio.current_time() < nursery.cancel_scope.deadline


async def never_answer(stream):
    async with stream:
        await trio.sleep_forever()


async def answer_after_delay(stream):
    """Answer each request after 0.1 s, and one for ``/late`` after 0.4 s."""
    async with stream:
        while data := await stream.receive_some():
            await trio.sleep(0.4 if b"/late" in data else 0.1)
            attempt_id = data.split(b"rhubarbmount-attempt: ")[1].split(b"\r\n")[0]
            head = b"HTTP/1.1 200 OK\r\nrhubarbmount-attempt: " + attempt_id
            await stream.send_all(head + b"\r\ncontent-length: 2\r\n\r\nok")


@pytest.mark.parametrize("size_bytes", [0, 1 << 24])
async def test_an_attempt_times_out_while_reading_or_sending(size_bytes):
    request = HttpRequest("POST", "/quotes", REQUEST.headers, b"x" * size_bytes)
    async with serving(never_answer) as (connections, address):
        begin_s = trio.current_time()
        ended = await attempt(connections, address, request, begin_s + 0.2)
        assert 0.2 <= trio.current_time() - begin_s < 1.0
        assert (ended.code, ended.facts.ending) == ("timeout", Ending.TIMED_OUT)
        assert classify(ended.facts) is Outcome.UNKNOWN
        assert not connections.has_idle


async def test_a_connect_timeout_is_classified_as_not_run(monkeypatch):
    async def open_slowly(address, port):
        await trio.sleep(0.3)

    async with serving(never_answer) as (connections, address):
        monkeypatch.setattr(trio, "open_tcp_stream", open_slowly)
        ended = await attempt(connections, address, REQUEST, trio.current_time() + 0.1)
        assert (ended.code, ended.facts.ending) == ("timeout", Ending.TIMED_OUT)
        assert classify(ended.facts) is Outcome.NOT_RUN


# Guards against attempts that end at the deadlines of others.
async def test_concurrent_attempts_end_at_their_own_deadlines(
    autojump_clock, monkeypatch
):
    lengths_s = [0.9, 0.3, 0.6, 0.15, 0.45]
    began_s = trio.current_time()
    ended_s = []
    servers = []

    async def connect(address, port):
        client, server = trio.socket.socketpair()
        servers.append(server)
        return trio.SocketStream(client)

    async def run(connections, length_s):
        await attempt(connections, "10.0.0.1:80", REQUEST, began_s + length_s)
        ended_s.append(round(trio.current_time() - began_s, 6))

    monkeypatch.setattr(trio, "open_tcp_stream", connect)
    connections = BackendConnections()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(connections.run)
        async with trio.open_nursery() as attempts:
            for length_s in lengths_s:
                attempts.start_soon(run, connections, length_s)
        nursery.cancel_scope.cancel()
    for server in servers:
        server.close()
    assert ended_s == sorted(lengths_s)


async def test_the_deadline_of_an_ended_attempt_does_not_interrupt_the_next():
    async with serving(answer_after_delay) as (connections, address):
        now_s = trio.current_time()
        first = await attempt(connections, address, REQUEST, now_s + 0.2)
        late = HttpRequest("GET", "/late", REQUEST.headers)
        second = await attempt(connections, address, late, now_s + 5.0)
        assert [first.response.body, second.response.body] == [b"ok", b"ok"]
