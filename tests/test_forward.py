"""Status and outcome that a caller gets for each course of its attempts."""

import logging
import random

import prometheus_client
import pytest
import trio

from rhubarbmount.claim_guard import Claims
from rhubarbmount.entries import Pool, Service
from rhubarbmount.forward import Forwarder
from rhubarbmount.hosts import Host, HostState, Shape
from rhubarbmount.http import HttpRequest, HttpResponse, NotSent, ResponseLost
from rhubarbmount.metrics import RequestMetrics
from rhubarbmount.request_policy import RequestPolicy
from rhubarbmount.shares import EntryHosts
from rhubarbmount.store.client import open_client
from rhubarbmount.store.memory import MemoryPlatform

GET = HttpRequest("GET", "/quotes/1")
POST = HttpRequest("POST", "/quotes/1", [(b"te", b"trailers")], b"battery")


class ScriptedConnections:
    """Backend servers with scripted acts, the last of which is repeated."""

    def __init__(self, *acts):
        self.acts = list(acts)
        self.sent = []

    async def exchange(self, address, request, progress, deadline_s):
        act = self.acts.pop(0) if len(self.acts) > 1 else self.acts[0]
        self.sent.append((address, request))
        with trio.move_on_at(deadline_s):
            return await act(progress)
        raise (ResponseLost if progress.bytes_left else NotSent)("late", code="timeout")


async def answer(progress):
    progress.bytes_left = True
    await trio.sleep(0.05)
    return HttpResponse(200, [(b"rhubarbmount-outcome", b"not-run")], b"yes")


async def fail(progress):
    progress.bytes_left = True
    return HttpResponse(500, [], b"no")


async def refuse(progress):
    progress.bytes_left = True
    return HttpResponse(503, [(b"rhubarbmount-guard", b"not-run")])


async def refuse_as_leaving(progress):
    progress.bytes_left = True
    return HttpResponse(503, [(b"rhubarbmount-guard", b"leaving")])


async def lose(progress):
    progress.bytes_left = True
    raise ResponseLost("the connection failed")


async def answer_another_request(progress):
    progress.bytes_left = True
    raise ResponseLost("crossed", code="answer-broken")


async def not_connect(progress):
    raise NotSent("connection refused")


async def stall(progress):
    progress.bytes_left = True
    await trio.sleep_forever()


async def stall_before_sending(progress):
    await trio.sleep_forever()


def open_forwarder(*acts, hosts=3, state=HostState.IN_SERVICE, **limits):
    policy = RequestPolicy(EntryHosts("e1", "dc1", {}), generator=random.Random(2))
    service = Service(name="quotes", owner="workshop", pool="quotes", **limits)
    pool = Pool(name="quotes", owner="workshop", hosts_wanted=hosts)
    policy.update_catalogue({"quotes": service}, {"quotes": pool})
    rows = [
        Host(
            host_id=f"w{number}",
            pool="quotes",
            data_centre="dc1",
            rack="r1",
            address=f"w{number}:80",
            shape=Shape(processors=16, memory_gb=64),
            state=state,
            slots=2,
        )
        for number in range(hosts)
    ]
    policy.update_hosts(rows, trio.current_time())
    metrics = RequestMetrics(prometheus_client.CollectorRegistry())
    claims = Claims("e1", open_client(MemoryPlatform()))
    return Forwarder(policy, metrics, claims, ScriptedConnections(*acts))


def told(response):
    """Return the status and the outcome in a response to a caller."""
    outcomes = [value for name, value in response.headers if name.endswith(b"outcome")]
    assert len(outcomes) == 1
    names = [name for name, _ in response.headers]
    assert response.status != 503 or b"retry-after" in names
    return response.status, outcomes[0].decode()


def assert_nothing_in_flight(forwarder):
    limiter = forwarder.policy.limiter
    assert limiter.running == 0
    assert all(limit.queued == 0 for limit in limiter.limit_by_service.values())
    assert forwarder.policy.own_in_flight() == {}


@pytest.mark.parametrize(
    ("request_", "acts", "seen", "sent"),
    [
        (POST, [answer], (200, "ran"), 1),
        (POST, [fail, answer], (500, "ran"), 1),
        (POST, [refuse, answer], (200, "ran"), 2),
        (POST, [not_connect, answer], (200, "ran"), 2),
        (POST, [lose, answer], (502, "unknown"), 1),
        (POST, [refuse, lose, answer], (502, "unknown"), 2),
        (POST, [stall, answer], (504, "unknown"), 1),
        (POST, [stall_before_sending, answer], (503, "not-run"), 1),
        (POST, [refuse], (503, "not-run"), 3),
        (POST, [refuse_as_leaving, answer], (200, "ran"), 2),
        (POST, [refuse_as_leaving], (503, "not-run"), 3),
        (POST, [not_connect], (503, "not-run"), 3),
        (GET, [lose, answer], (200, "ran"), 2),
        (GET, [answer_another_request, answer], (502, "unknown"), 1),
        (GET, [stall, answer], (504, "unknown"), 1),
        (GET, [lose, refuse], (502, "unknown"), 3),
        (GET, [lose, not_connect], (502, "unknown"), 3),
        (GET, [refuse, lose, not_connect], (502, "unknown"), 3),
    ],
)
async def test_status_and_outcome_seen_by_the_caller(
    autojump_clock, request_, acts, seen, sent
):
    forwarder = open_forwarder(*acts)
    response = await forwarder.handle(request_)
    assert told(response) == seen
    assert len(forwarder.connections.sent) == sent
    addresses = [address for address, _ in forwarder.connections.sent]
    assert len(set(addresses)) == sent
    assert_nothing_in_flight(forwarder)


async def test_a_backend_server_that_reports_leaving_gets_no_more_requests(
    autojump_clock,
):
    forwarder = open_forwarder(refuse_as_leaving, answer, hosts=2)
    for _ in range(40):
        assert told(await forwarder.handle(POST)) == (200, "ran")
    (leaving, _), *later = forwarder.connections.sent
    assert len(later) == 40
    assert leaving not in {address for address, _ in later}


async def test_hop_by_hop_headers_are_not_forwarded(autojump_clock):
    forwarder = open_forwarder(answer)
    await forwarder.handle(POST)
    assert forwarder.connections.sent[0][1].headers == []


async def test_a_request_for_an_unknown_service_is_reported_not_run(autojump_clock):
    response = await open_forwarder(answer).handle(HttpRequest("GET", "/parts"))
    assert told(response) == (404, "not-run")


async def test_requests_are_refused_at_once_when_no_host_is_in_service(autojump_clock):
    forwarder = open_forwarder(answer, state=HostState.MAINTENANCE)
    response = await forwarder.handle(POST)
    assert told(response) == (503, "not-run")
    assert trio.current_time() == 0.0


async def send_concurrently(forwarder, count):
    """Send requests concurrently; return status, outcome and time of each."""
    answers = []

    async def send():
        response = await forwarder.handle(POST)
        answers.append((*told(response), trio.current_time()))

    async with trio.open_nursery() as nursery:
        for _ in range(count):
            nursery.start_soon(send)
    return answers


async def test_requests_beyond_slots_and_queue_are_refused_at_once(autojump_clock):
    forwarder = open_forwarder(answer, queue_length=4)
    answers = await send_concurrently(forwarder, 20)
    refused = [answer for answer in answers if answer[0] == 503]
    assert len(refused) == 10
    assert {time_s for _, _, time_s in refused} == {0.0}
    assert {outcome for _, outcome, _ in refused} == {"not-run"}
    assert_nothing_in_flight(forwarder)


async def test_a_queued_request_is_refused_after_the_queue_timeout(autojump_clock):
    forwarder = open_forwarder(stall, queue_length=4, queue_timeout_ms=300)
    answers = await send_concurrently(forwarder, 8)
    assert sorted(answers)[:2] == [(503, "not-run", 0.3)] * 2
    assert_nothing_in_flight(forwarder)


async def test_a_retry_waits_for_a_slot_when_the_pool_is_full(autojump_clock):
    forwarder = open_forwarder(refuse, answer, hosts=1)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(admit_periodically, forwarder)
        assert told(await forwarder.handle(POST)) == (200, "ran")
        nursery.cancel_scope.cancel()
    assert 0.5 <= trio.current_time() <= 0.8
    assert_nothing_in_flight(forwarder)


async def admit_periodically(forwarder):
    while True:
        await trio.sleep(0.1)
        forwarder.policy.limiter.admit_waiting(trio.current_time())


@pytest.mark.parametrize("act", [stall, stall_before_sending])
async def test_a_cancelled_request_releases_its_slot_and_queue_entry(
    autojump_clock, act
):
    forwarder = open_forwarder(act, hosts=1)
    with trio.move_on_after(0.5):
        await send_concurrently(forwarder, 6)
    assert_nothing_in_flight(forwarder)


async def test_each_routing_decision_has_a_log_line(autojump_clock, caplog):
    caplog.set_level(logging.INFO, "rhubarbmount")
    forwarder = open_forwarder(refuse, answer)
    await forwarder.handle(POST)
    routes = [text for text in caplog.messages if text.startswith("event=route ")]
    assert len(routes) == 2
    assert "reason=local available=3 own=1 peers=0 attempt=1 cause=first" in routes[0]
    assert "attempt=2 cause=not-run" in routes[1]


async def test_retries_are_bounded_by_the_budget(autojump_clock):
    forwarder = open_forwarder(refuse)
    for _ in range(50):
        await forwarder.handle(POST)
    assert len(forwarder.connections.sent) <= 50 + 2 + 1


@pytest.mark.parametrize(
    ("acts", "seen"), [([answer], (200, "ran")), ([stall], (504, "unknown"))]
)
async def test_a_service_removed_in_flight_is_still_answered(
    autojump_clock, acts, seen
):
    forwarder = open_forwarder(*acts)

    async def remove():
        await trio.sleep(0.01)
        forwarder.policy.update_catalogue({}, {})

    async with trio.open_nursery() as nursery:
        nursery.start_soon(remove)
        assert told(await forwarder.handle(POST)) == seen
    assert forwarder.policy.limiter.running == 0
