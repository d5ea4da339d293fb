"""What the log says of a request's decisions, and when it is written."""

import logging

import pytest

from rhubarbmount import log
from rhubarbmount.http import HttpRequest, header_value
from rhubarbmount.problem import REQUEST_ID_HEADER
from rhubarbmount.request_traces import RequestTraces
from tests.test_forward import answer, fail, lose, not_connect, open_forwarder, refuse

logger = logging.getLogger("rhubarbmount.test")
KEYED = HttpRequest("POST", "/quotes/1", [(b"idempotency-key", b"k")])


@pytest.mark.parametrize(
    ("acts", "events"),
    [
        ([refuse, answer], ["route", "health", "attempt-failed", "route"]),
        ([not_connect], ["route", "health", "attempt-failed"] * 3),
        ([lose], ["route", "attempt-failed"]),
        ([fail], ["route"]),
    ],
)
async def test_each_line_of_a_requests_decisions_names_the_request(
    autojump_clock, nursery, caplog, acts, events
):
    caplog.set_level(logging.INFO, "rhubarbmount")
    forwarder = open_forwarder(*acts)
    nursery.start_soon(forwarder.claims.run)
    traces = RequestTraces("e1", forwarder.handle, lambda: 7)
    response = await traces.handle(KEYED)
    request_id = header_value(response.headers, REQUEST_ID_HEADER)
    wanted = [
        f"event={name} request={request_id}"
        for name in ["claimed", *events, "claim-finished"]
    ]
    assert [text.split(" ", 2)[:2] for text in caplog.messages] == [
        text.split() for text in wanted
    ]


async def test_the_line_of_a_refused_claim_names_its_own_request(
    autojump_clock, nursery, caplog
):
    caplog.set_level(logging.INFO, "rhubarbmount")
    forwarder = open_forwarder(answer)
    nursery.start_soon(forwarder.claims.run)
    traces = RequestTraces("e1", forwarder.handle, lambda: 7)
    await traces.handle(KEYED)
    caplog.clear()
    response = await traces.handle(KEYED)
    request_id = header_value(response.headers, REQUEST_ID_HEADER)
    (line,) = caplog.messages
    assert line.startswith(f"event=claim-refused request={request_id} ")


async def test_a_line_outside_a_request_names_none(caplog):
    caplog.set_level(logging.INFO, "rhubarbmount")

    async def handle(request):
        raise RuntimeError

    traces = RequestTraces("e1", handle, lambda: 7)
    log.event(logger, "before")
    with pytest.raises(RuntimeError):
        await traces.handle(KEYED)
    log.event(logger, "failed")
    traces.next_handler = open_forwarder(answer).handle
    await traces.handle(HttpRequest("GET", "/none"))
    log.event(logger, "after")
    texts = [text.split(" request=") for text in caplog.messages]
    assert [parts[0] for parts in texts] == [
        "event=before",
        "event=failed",
        "event=after",
    ]
    assert [len(parts) for parts in texts] == [1, 2, 1]
