"""Calls over pooled connections."""

import json
from contextlib import asynccontextmanager

import h11
import pytest
import trio

from rhubarbmount.errors import OutcomeUnknown, PlatformUnavailable
from rhubarbmount.http_client import ConnectionPool
from rhubarbmount.platform.json_client import Peer, open_json_client


class SilencedServer:
    """Answers requests, but no more on connections that were open when silenced."""

    def __init__(self):
        self.open_count = 0
        self.answered = 0
        self._silenced_through = -1

    def silence(self):
        self._silenced_through = self.open_count

    async def serve(self, stream):
        self.open_count += 1
        number = self.open_count
        protocol = h11.Connection(h11.SERVER)
        while True:
            event = protocol.next_event()
            if event is h11.NEED_DATA:
                protocol.receive_data(await stream.receive_some(4096))
            elif isinstance(event, h11.EndOfMessage):
                if number <= self._silenced_through:
                    await trio.sleep_forever()
                await trio.sleep(0.02)
                self.answered += 1
                head = h11.Response(status_code=200, headers=[("content-length", "2")])
                await stream.send_all(
                    protocol.send(head)
                    + protocol.send(h11.Data(data=b"{}"))
                    + protocol.send(h11.EndOfMessage())
                )
                protocol.start_next_cycle()
            elif isinstance(event, h11.ConnectionClosed):
                return


async def serve_quietly(server, stream):
    async with stream:
        try:
            await server.serve(stream)
        except (trio.BrokenResourceError, h11.RemoteProtocolError):
            return


# Guards against one timeout for each connection of a pool that has gone silent.
async def test_idle_connections_are_not_used_after_one_of_them_was_silent(nursery):
    server = SilencedServer()
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listeners[0].socket.getsockname()[1]
    nursery.start_soon(
        trio.serve_listeners, lambda stream: serve_quietly(server, stream), listeners
    )
    async with open_json_client() as client:

        async def call():
            return await client.call(f"127.0.0.1:{port}", "GET", "/", timeout_s=0.5)

        async with trio.open_nursery() as calls:
            for _ in range(4):
                calls.start_soon(call)
        assert server.open_count == 4
        server.silence()
        outcomes = []
        for _ in range(2):
            try:
                outcomes.append((await call()).status)
            except OutcomeUnknown:
                outcomes.append("unanswered")
    assert outcomes == ["unanswered", 200]
    nursery.cancel_scope.cancel()


# A process that was paused while it opened a connection must not send a command for
# which its lease has run out meanwhile.
async def test_nothing_is_sent_after_a_permission_has_expired(nursery, monkeypatch):
    server = SilencedServer()
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listeners[0].socket.getsockname()[1]
    nursery.start_soon(
        trio.serve_listeners, lambda stream: serve_quietly(server, stream), listeners
    )
    lease = {"is_valid": True}
    take = ConnectionPool.take

    async def take_slowly(self, *args):
        connection = await take(self, *args)
        lease["is_valid"] = False
        return connection

    async with open_json_client() as client:

        async def call():
            return await client.call(
                f"127.0.0.1:{port}", "POST", "/", may_send=lambda: lease["is_valid"]
            )

        assert (await call()).status == 200
        monkeypatch.setattr(ConnectionPool, "take", take_slowly)
        with pytest.raises(PlatformUnavailable) as caught:
            await call()
        assert caught.value.code == "expired"
    assert server.answered == 1
    nursery.cancel_scope.cancel()


class SlowServer:
    """Sends each response in pieces, with pauses between them."""

    def __init__(self, pieces, pause_s):
        self.pieces = pieces
        self.pause_s = pause_s

    async def serve(self, stream):
        protocol = h11.Connection(h11.SERVER)
        while True:
            event = protocol.next_event()
            if event is h11.NEED_DATA:
                protocol.receive_data(await stream.receive_some(4096))
            elif isinstance(event, h11.EndOfMessage):
                await self._respond(stream, protocol)
                protocol.start_next_cycle()
            elif isinstance(event, h11.ConnectionClosed):
                return

    async def _respond(self, stream, protocol):
        body = b"{" + b" " * (self.pieces - 2) + b"}"
        length = str(len(body))
        head = h11.Response(status_code=200, headers=[("content-length", length)])
        await stream.send_all(protocol.send(head))
        for at in range(len(body)):
            await trio.sleep(self.pause_s)
            await stream.send_all(protocol.send(h11.Data(data=body[at : at + 1])))
        await stream.send_all(protocol.send(h11.EndOfMessage()))


async def call_slow_server(nursery, pieces, server_pause_s, pause_s):
    server = SlowServer(pieces, server_pause_s)
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listeners[0].socket.getsockname()[1]
    nursery.start_soon(
        trio.serve_listeners, lambda stream: serve_quietly(server, stream), listeners
    )
    try:
        async with open_json_client() as client:
            address = f"127.0.0.1:{port}"
            response = await client.call(
                address, "GET", "/", timeout_s=0.5, pause_s=pause_s
            )
            return response.status
    finally:
        nursery.cancel_scope.cancel()


# Guards against CONFIG: an answer that is still arriving counts as silence.
async def test_a_response_that_goes_on_arriving_is_not_given_up(nursery):
    assert await call_slow_server(nursery, 20, 0.06, pause_s=0.5) == 200


# Guards against calls that never end, and against late answers to commands.
@pytest.mark.parametrize(("server_pause_s", "pause_s"), [(0.06, 0.0), (30.0, 0.5)])
async def test_a_response_that_pauses_or_must_be_in_time_is_given_up(
    nursery, server_pause_s, pause_s
):
    with trio.fail_after(5.0), pytest.raises(OutcomeUnknown, match="bytes arrived"):
        await call_slow_server(nursery, 20, server_pause_s, pause_s)


# Guards against open files that grow with each server that moves or ends.
async def test_no_connection_to_a_forgotten_address_is_left_open(nursery):
    server = SilencedServer()
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listeners[0].socket.getsockname()[1]
    streams = []

    async def serve(stream):
        streams.append(stream)
        await serve_quietly(server, stream)
        streams.remove(stream)

    nursery.start_soon(trio.serve_listeners, serve, listeners)
    async with open_json_client() as client:
        address = f"127.0.0.1:{port}"
        await client.call(address, "GET", "/")
        async with trio.open_nursery() as calls:
            for _ in range(3):
                calls.start_soon(client.call, address, "GET", "/")
            while len(streams) < 3:
                await trio.sleep(0.001)
            # Calls that are under way are answered all the same.
            await client.forget(address)
        assert server.answered == 4
        await trio.sleep(0.1)
        assert streams == []
        assert (await client.call(address, "GET", "/")).status == 200
    nursery.cancel_scope.cancel()


class Process:
    """One of several processes that have an address in turn; records what it gets."""

    def __init__(self, born_ms, status=200, pause_s=0.0):
        self.born_ms = born_ms
        self.status = status
        self.pause_s = pause_s
        self.bodies = []
        self.open_count = 0

    async def serve(self, stream):
        self.open_count += 1
        protocol = h11.Connection(h11.SERVER)
        data = b""
        while True:
            event = protocol.next_event()
            if event is h11.NEED_DATA:
                protocol.receive_data(await stream.receive_some(4096))
            elif isinstance(event, h11.Data):
                data += event.data
            elif isinstance(event, h11.EndOfMessage):
                self.bodies.append(json.loads(data))
                data = b""
                await trio.sleep(self.pause_s)
                await stream.send_all(self._response(protocol))
                protocol.start_next_cycle()
            elif isinstance(event, h11.ConnectionClosed):
                return

    def _response(self, protocol):
        body = json.dumps({"born": self.born_ms}).encode()
        head = h11.Response(
            status_code=self.status, headers=[("content-length", str(len(body)))]
        )
        data = h11.Data(data=body)
        parts = [protocol.send(event) for event in (head, data, h11.EndOfMessage())]
        return b"".join(parts)


class WrongProcess(PlatformUnavailable):
    """Another process has answered than the one born at 1."""


def check_born_at_1(response):
    if response.body.get("born") != 1:
        raise WrongProcess("another process")


QUESTION = {"who": True}
PEER = Peer("first", "/who", QUESTION, check_born_at_1)


@asynccontextmanager
async def open_peer_client(process):
    """Provide a function that calls the process, and one that replaces it."""
    current = [process]
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
    scopes = []

    async def serve(stream):
        with trio.CancelScope() as scope:
            scopes.append(scope)
            await serve_quietly(current[0], stream)

    async with trio.open_nursery() as nursery, open_json_client() as client:
        nursery.start_soon(trio.serve_listeners, serve, listeners)

        async def call(body, target="/act"):
            return await client.call(
                address, "POST", target, body, timeout_s=0.5, peer=PEER
            )

        def replace(process):
            current[0] = process
            for scope in scopes:
                scope.cancel()

        yield call, replace
        nursery.cancel_scope.cancel()


# Guards against calls that a process carries out that were meant for the one before.
async def test_a_call_is_sent_to_no_other_process_at_the_address():
    first, second = Process(1), Process(2)
    async with open_peer_client(first) as (call, replace):
        await call({"number": 1})
        await call({"number": 2})
        replace(second)
        await trio.sleep(0.05)
        for _ in range(2):
            with pytest.raises(WrongProcess):
                await call({"number": 3})
    assert first.bodies == [QUESTION, {"number": 1}, {"number": 2}]
    assert second.bodies == [QUESTION, QUESTION]


async def test_a_call_that_is_the_question_is_sent_at_once():
    process = Process(1)
    async with open_peer_client(process) as (call, _):
        await call(QUESTION, "/who")
        await call({"number": 1})
    assert process.bodies == [QUESTION, {"number": 1}]
    assert process.open_count == 1


async def test_a_refused_question_is_the_response():
    process = Process(1, status=503)
    async with open_peer_client(process) as (call, _):
        for _ in range(2):
            assert (await call({"number": 1})).status == 503
    assert process.bodies == [QUESTION, QUESTION]


# Guards against a command that counts as sent, although only the question was.
async def test_a_call_whose_question_is_not_answered_has_no_effect():
    process = Process(1, pause_s=5.0)
    async with open_peer_client(process) as (call, _):
        with pytest.raises(PlatformUnavailable) as caught:
            await call({"number": 1})
    assert caught.value.code == "timeout"
    assert process.bodies == [QUESTION]


# Guards against commands to slow servers that are carried out and never heard of, as
# the question takes half of the time for their answer.
async def test_the_question_takes_no_time_from_the_call():
    process = Process(1, pause_s=0.3)
    async with open_peer_client(process) as (call, _):
        assert (await call({"number": 1})).status == 200
    assert process.bodies == [QUESTION, {"number": 1}]
