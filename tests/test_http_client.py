"""Tests of HTTP client connections."""

import pytest
import trio

from rhubarbmount.http import HttpRequest
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
