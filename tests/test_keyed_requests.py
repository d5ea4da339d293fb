"""Keyed requests through the whole path of one entry host."""

import json

import pytest
import trio

from rhubarbmount.entries import OutageChoice
from rhubarbmount.http import HttpRequest
from rhubarbmount.issued_keys import KeyIssuer
from rhubarbmount.standins.faulty_platform import FaultyPlatform
from tests.test_forward import answer, lose, not_connect, open_forwarder, told


def keyed(body=b"battery", target="/quotes/1"):
    return HttpRequest("POST", target, [(b"idempotency-key", b"k")], body)


@pytest.fixture
async def open_keyed(nursery):
    def open_it(*acts, **options):
        forwarder = open_forwarder(*acts, **options)
        nursery.start_soon(forwarder.claims.run)
        return forwarder

    return open_it


def code_of(response):

    return json.loads(response.body)["code"]


async def test_a_resent_key_is_told_that_it_ran(open_keyed, autojump_clock):
    forwarder = open_keyed(answer)
    assert told(await forwarder.handle(keyed())) == (200, "ran")
    again = await forwarder.handle(keyed())
    assert told(again) == (409, "ran")
    assert code_of(again) == "request-already-ran"
    assert len(forwarder.connections.sent) == 1


async def test_a_lost_answer_is_never_sent_again(open_keyed, autojump_clock):
    forwarder = open_keyed(lose, answer)
    assert told(await forwarder.handle(keyed())) == (502, "unknown")
    assert told(await forwarder.handle(keyed())) == (409, "unknown")
    assert len(forwarder.connections.sent) == 1


async def test_what_was_not_run_may_be_sent_again(open_keyed, autojump_clock):
    forwarder = open_keyed(not_connect, hosts=1, request_timeout_ms=500)
    status, outcome = told(await forwarder.handle(keyed()))
    assert (status, outcome) == (503, "not-run")
    await forwarder.claims.records.flush()
    forwarder.connections.acts = [answer]
    await trio.sleep(30.0)
    assert told(await forwarder.handle(keyed())) == (200, "ran")


async def test_another_body_under_the_key_is_refused(open_keyed, autojump_clock):
    forwarder = open_keyed(answer)
    await forwarder.handle(keyed())
    assert told(await forwarder.handle(keyed(b"motor"))) == (422, "ran")


async def test_a_refusal_before_the_claim_is_unknown_as_the_key_may_have_run(
    open_keyed, autojump_clock
):
    forwarder = open_keyed(answer)
    await forwarder.handle(keyed())
    forwarder.policy.update_hosts([], trio.current_time())
    assert told(await forwarder.handle(keyed())) == (503, "unknown")
    missing = keyed(target="/gone/1")
    assert told(await forwarder.handle(missing)) == (404, "unknown")


async def test_a_claim_that_takes_too_long_is_given_up_at_the_deadline(
    open_keyed, nursery, autojump_clock
):
    forwarder = open_keyed(answer, request_timeout_ms=300)
    shared = forwarder.claims.platform._shared
    shared.adapter = FaultyPlatform(shared.adapter, nursery)
    shared.adapter.faults.latency_s = 1.0
    started_s = trio.current_time()
    assert told(await forwarder.handle(keyed())) == (503, "unknown")
    assert trio.current_time() - started_s < 0.35
    assert not forwarder.connections.sent


async def test_an_idempotent_method_needs_no_claim(open_keyed, autojump_clock):
    forwarder = open_keyed(answer)
    request = HttpRequest("GET", "/quotes/1", [(b"idempotency-key", b"k")])
    for _ in range(2):
        assert told(await forwarder.handle(request)) == (200, "ran")
    assert forwarder.claims.batches.rows == 0


@pytest.mark.parametrize("keys", [[b""], [b"k", b"l"]])
async def test_an_empty_or_second_key_is_refused(open_keyed, autojump_clock, keys):
    forwarder = open_keyed(answer)
    headers = [(b"idempotency-key", key) for key in keys]
    request = HttpRequest("POST", "/quotes/1", headers, b"battery")
    assert told(await forwarder.handle(request)) == (400, "not-run")
    assert not forwarder.connections.sent


def issuer_for(forwarder, is_out):
    issuer = KeyIssuer(forwarder.policy, forwarder.claims, forwarder.handle)
    if is_out:
        breaker = forwarder.claims.platform._shared.breaker
        for _ in range(breaker.failures_to_open):
            breaker.failed(trio.current_time())
    return issuer


ISSUE = HttpRequest("POST", "/-/keys/quotes")


async def test_an_issued_key_runs_once_while_the_platform_is_out(
    open_keyed, autojump_clock
):
    forwarder = open_keyed(answer, outage_choice=OutageChoice.HOME)
    issuer = issuer_for(forwarder, is_out=True)
    issued = await issuer.handle(ISSUE)
    key = json.loads(issued.body)["key"].encode()
    headers = [(b"idempotency-key", key)]
    request = HttpRequest("POST", "/quotes/1", headers, b"battery")
    assert told(await issuer.handle(request)) == (200, "ran")
    assert told(await issuer.handle(request)) == (409, "ran")
    assert told(await issuer.handle(keyed())) == (503, "unknown")
    other = issuer_for(open_keyed(answer), is_out=False)
    assert told(await other.handle(request)) == (503, "unknown")
    assert len(forwarder.connections.sent) == 1


@pytest.mark.parametrize(
    ("choice", "is_out", "code"),
    [
        (OutageChoice.REFUSE, True, "keys-not-issued"),
        (OutageChoice.HOME, False, "own-key"),
    ],
)
async def test_keys_are_issued_in_an_outage_to_services_that_chose_it(
    open_keyed, autojump_clock, choice, is_out, code
):
    issuer = issuer_for(open_keyed(answer, outage_choice=choice), is_out)
    refused = await issuer.handle(ISSUE)
    assert (refused.status, code_of(refused)) == (409, code)
