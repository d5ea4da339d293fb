"""The memory of what was decided about requests."""

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


def traces(handler, **limits):
    return RequestTraces("e1", handler, lambda: 7, **limits)


def answering(response=RAN, *steps):
    """Return a handler that takes steps and answers."""

    async def handle(request):
        for step in steps:
            step()
        return response

    return handle


async def send(to, request=REQUEST):
    response = await to.handle(request)
    return header_value(response.headers, REQUEST_ID_HEADER)


def codes_of(to, subject_id):
    return [(d.code, d.reason) for d in to.explain(subject_id).decisions]


async def test_the_answer_names_an_id_that_explains_each_step():
    retry = RetryDecision(True, RetryReason.NOT_RUN)
    to = traces(
        answering(
            RAN,
            lambda: note_route(route_to(1), 1),
            lambda: note_attempt("q1", "not-sent", Outcome.NOT_RUN, retry),
            lambda: note_route(route_to(2), 2),
        )
    )
    request_id = await send(to)
    decisions = to.explain(request_id).decisions
    assert codes_of(to, request_id) == [
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


async def test_two_requests_have_different_ids():
    to = traces(answering())
    assert await send(to) != await send(to)


async def test_a_restarted_entry_host_gives_no_id_again():
    assert await send(traces(answering())) != await send(traces(answering()))


async def test_a_refusal_is_told_with_its_code():
    refused = problem(503, "queue-full", "later", Outcome.NOT_RUN, 1)
    to = traces(answering(refused, lambda: note_refusal("queue-full")))
    told = codes_of(to, await send(to))
    assert told[1:] == [("refused", "queue-full"), ("answered", "queue-full")]


async def test_no_part_of_a_request_but_its_service_is_kept():
    to = traces(answering())
    shown = str(to.explain(await send(to)).dump())
    assert "quotes" in shown
    assert "hidden" not in shown


async def test_requests_with_a_key_are_found_by_service_and_key():
    result = ClaimResult(ClaimResultCode.RAN, "ran", 201)
    done = claim(ClaimState.FINISHED, status=201)
    steps = [lambda: note_claim(claim()), lambda: note_claim(done)]
    to = traces(answering(RAN, *steps))
    await send(to)
    to.next_handler = answering(RAN, lambda: note_claim_refused(claim(), result))
    await send(to)
    found = codes_of(to, "quotes/order-17")
    assert ("claim", "claimed") in found
    assert ("claim", "finished") in found
    assert ("claim-refused", "request-already-ran") in found
    assert not to.explain("quotes/order-18").decisions
    assert not to.explain("quotes").decisions


async def test_a_request_in_flight_can_be_explained():
    seen = []
    to = traces(None)

    async def handle(request):
        note_route(NONE_LEFT, 1)
        (in_flight,) = to._ordinary
        seen.extend(codes_of(to, in_flight))
        return RAN

    to.next_handler = handle
    await send(to)
    assert seen == [("received", ""), ("route", "all-full")]


@pytest.mark.parametrize("status", [200, 500])
async def test_memory_is_bounded_and_ordinary_requests_push_out_no_failure(status):
    answer = attrs.evolve(RAN, status=status)
    to = traces(answering(answer), ordinary_limit=4, notable_limit=3)
    failed = traces(answering(attrs.evolve(RAN, status=502)), notable_limit=3)
    to._notable = failed._notable
    first = await send(failed)
    for _ in range(20):
        await send(to)
    assert len(to._ordinary) <= 4
    assert len(to._notable) <= 3
    assert bool(to.explain(first).decisions) == (status == 200)


async def test_a_request_that_loops_keeps_a_bounded_number_of_steps():
    steps = [lambda: note_route(NONE_LEFT, 1)] * 1000
    to = traces(answering(RAN, *steps))
    told = codes_of(to, await send(to))
    assert len(told) == 25
    assert told[-1] == ("answered", "")


async def test_long_names_are_cut():
    to = traces(answering())
    request = HttpRequest("M" * 10_000, "/" + "s" * 10_000)
    assert len(str(to.explain(await send(to, request)).dump())) < 2000


async def test_notes_outside_a_request_are_dropped():
    note_route(NONE_LEFT, 1)
    note_refusal("queue-full")
