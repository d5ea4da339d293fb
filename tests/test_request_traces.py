"""Tests of the traces of request decisions."""

import attrs
import pytest

from rhubarbmount.claims import Claim, ClaimResult, ClaimResultCode, ClaimState, row_key
from rhubarbmount.http import HttpRequest, HttpResponse, header_value
from rhubarbmount.problem import OUTCOME_HEADER, REQUEST_ID_HEADER, Outcome, problem
from rhubarbmount.request_traces import (
    RequestTraces,
    note_attempt,
    note_claim,
    note_claim_refused,
    note_refusal,
    note_route,
)
from rhubarbmount.retries import RetryDecision, RetryReason
from rhubarbmount.route_decisions import RouteDecision, RouteReason
from rhubarbmount.strategies import Backend
from tests.fleetkit import make_host

REQUEST = HttpRequest("POST", "/quotes/17?token=hidden")
RAN = HttpResponse(200, [(OUTCOME_HEADER, b"ran")], b"")
NONE_LEFT = RouteDecision(None, RouteReason.ALL_FULL, 0)


def route_to(number):
    backend = Backend(make_host(number), health=None)
    return RouteDecision(backend, RouteReason.LOCAL, 4)


def claim(state=ClaimState.CLAIMED, **fields):
    values = {"claim_id": "c1", "holder": "e1", "fingerprint": "f", "claimed_s": 1.0}
    key = row_key("quotes", "order-17")
    return Claim(row_key=key, state=state, **values | fields)


def open_traces(handler, **limits):
    return RequestTraces("e1", handler, lambda: 7, **limits)


def handler_with_steps(response=RAN, *steps):
    """Return a handler that calls the steps and returns the response."""

    async def handle(request):
        for step in steps:
            step()
        return response

    return handle


async def send(traces, request=REQUEST):
    response = await traces.handle(request)
    return header_value(response.headers, REQUEST_ID_HEADER)


def explained_codes(traces, subject_id):
    return [(d.code, d.reason) for d in traces.explain(subject_id).decisions]


async def test_response_header_id_explains_each_step():
    retry = RetryDecision(True, RetryReason.NOT_RUN)
    traces = open_traces(
        handler_with_steps(
            RAN,
            lambda: note_route(route_to(1), 1),
            lambda: note_attempt("q1", "not-sent", Outcome.NOT_RUN, retry),
            lambda: note_route(route_to(2), 2),
        )
    )
    request_id = await send(traces)
    decisions = traces.explain(request_id).decisions
    assert explained_codes(traces, request_id) == [
        ("received", ""),
        ("route", "local"),
        ("attempt-failed", "not-run"),
        ("route", "local"),
        ("answered", ""),
    ]
    assert [d.inputs.get("host") for d in decisions[1:4]] == ["q1", "q1", "q2"]
    assert decisions[-1].inputs == {"status": 200, "outcome": "ran"}
    assert {d.catalogue_version for d in decisions} == {7}
    assert [d.time_s for d in decisions] == sorted(d.time_s for d in decisions)


async def test_request_ids_are_unique():
    traces = open_traces(handler_with_steps())
    assert await send(traces) != await send(traces)


async def test_request_ids_are_unique_across_restarts():
    assert await send(open_traces(handler_with_steps())) != await send(
        open_traces(handler_with_steps())
    )


async def test_refusal_is_recorded_with_its_code():
    refused = problem(503, "queue-full", "later", Outcome.NOT_RUN, 1)
    traces = open_traces(
        handler_with_steps(refused, lambda: note_refusal("queue-full"))
    )
    recorded = explained_codes(traces, await send(traces))
    assert recorded[1:] == [("refused", "queue-full"), ("answered", "queue-full")]


async def test_only_service_of_request_target_is_recorded():
    traces = open_traces(handler_with_steps())
    shown = str(traces.explain(await send(traces)).dump())
    assert "quotes" in shown
    assert "hidden" not in shown


async def test_keyed_requests_are_found_by_service_and_key():
    result = ClaimResult(ClaimResultCode.RAN, "ran", 201)
    done = claim(ClaimState.FINISHED, status=201)
    steps = [lambda: note_claim(claim()), lambda: note_claim(done)]
    traces = open_traces(handler_with_steps(RAN, *steps))
    await send(traces)
    traces.next_handler = handler_with_steps(
        RAN, lambda: note_claim_refused(claim(), result)
    )
    await send(traces)
    found = explained_codes(traces, "quotes/order-17")
    assert ("claim", "claimed") in found
    assert ("claim", "finished") in found
    assert ("claim-refused", "request-already-ran") in found
    assert not traces.explain("quotes/order-18").decisions
    assert not traces.explain("quotes").decisions


async def test_request_in_flight_can_be_explained():
    seen = []
    traces = open_traces(None)

    async def handle(request):
        note_route(NONE_LEFT, 1)
        (in_flight,) = traces._ordinary
        seen.extend(explained_codes(traces, in_flight))
        return RAN

    traces.next_handler = handle
    await send(traces)
    assert seen == [("received", ""), ("route", "all-full")]


@pytest.mark.parametrize("status", [200, 500])
async def test_memory_is_bounded_and_ordinary_requests_push_out_no_failure(status):
    answer = attrs.evolve(RAN, status=status)
    traces = open_traces(handler_with_steps(answer), ordinary_limit=4, notable_limit=3)
    failed = open_traces(
        handler_with_steps(attrs.evolve(RAN, status=502)), notable_limit=3
    )
    traces._notable = failed._notable
    first = await send(failed)
    for _ in range(20):
        await send(traces)
    assert len(traces._ordinary) <= 4
    assert len(traces._notable) <= 3
    assert bool(traces.explain(first).decisions) == (status == 200)


async def test_number_of_steps_is_bounded():
    steps = [lambda: note_route(NONE_LEFT, 1)] * 1000
    traces = open_traces(handler_with_steps(RAN, *steps))
    recorded = explained_codes(traces, await send(traces))
    assert len(recorded) == 25
    assert recorded[-1] == ("answered", "")


async def test_long_names_are_truncated():
    traces = open_traces(handler_with_steps())
    request = HttpRequest("M" * 10_000, "/" + "s" * 10_000)
    assert len(str(traces.explain(await send(traces, request)).dump())) < 2000


async def test_notes_outside_a_request_are_ignored():
    note_route(NONE_LEFT, 1)
    note_refusal("queue-full")
