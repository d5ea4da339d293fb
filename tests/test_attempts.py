"""What is known of an attempt after it ended."""

import trio

from rhubarbmount.attempts import attempt
from rhubarbmount.backend_health import AttemptResult
from rhubarbmount.backends import BackendConnections
from rhubarbmount.http import HttpRequest
from rhubarbmount.problem import Outcome
from rhubarbmount.retries import classify
from rhubarbmount.standins.backend import BackendStandin

REQUEST = HttpRequest("GET", "/quotes/1", [(b"host", b"quotes")])


async def test_after_the_deadline_nothing_is_sent_even_over_an_idle_connection(nursery):
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
