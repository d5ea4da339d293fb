"""Relay HTTP requests to one backend server, with h11 on both sides and no decisions.

The floor that the entry host's cost is compared with.
"""

import argparse
import functools

import h11
import trio

READ_SIZE_BYTES = 65536


async def receive_message(
    protocol: h11.Connection, stream: trio.SocketStream
) -> tuple[h11.Request | h11.Response, bytes] | None:
    """Return the head and the whole body of the next message, or None at the end."""
    head = None
    chunks = []
    while True:
        event = protocol.next_event()
        if event is h11.NEED_DATA:
            protocol.receive_data(await stream.receive_some(READ_SIZE_BYTES))
        elif isinstance(event, h11.Request | h11.Response):
            head = event
        elif isinstance(event, h11.Data):
            chunks.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage) and head is not None:
            return head, b"".join(chunks)
        else:
            return None


def encode(
    protocol: h11.Connection, head: h11.Request | h11.Response, body: bytes
) -> bytes:
    """Return the bytes of a message."""
    data = protocol.send(head) or b""
    if body:
        data += protocol.send(h11.Data(data=body)) or b""
    return data + (protocol.send(h11.EndOfMessage()) or b"")


async def relay(target: tuple[str, int], caller: trio.SocketStream) -> None:
    """Relay one caller's requests over one connection to the backend server."""
    backend = await trio.open_tcp_stream(*target)
    inner = h11.Connection(h11.CLIENT)
    outer = h11.Connection(h11.SERVER)
    async with caller, backend:
        while True:
            asked = await receive_message(outer, caller)
            if asked is None:
                return
            await backend.send_all(encode(inner, *asked))
            answered = await receive_message(inner, backend)
            if answered is None:
                return
            await caller.send_all(encode(outer, *answered))
            inner.start_next_cycle()
            outer.start_next_cycle()


def main() -> None:
    """Listen until ended."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--target", required=True)
    arguments = parser.parse_args()
    host, port = arguments.target.rsplit(":", 1)
    serve = functools.partial(
        trio.serve_tcp,
        functools.partial(relay, (host, int(port))),
        arguments.port,
        host=arguments.address,
    )
    trio.run(serve)


if __name__ == "__main__":
    main()
