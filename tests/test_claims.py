"""Claims: one run per key under faults of hosts, responses and the platform."""

import pytest
import trio
import trio.testing

from rhubarbmount.claim_guard import open_claims
from rhubarbmount.claims import ClaimRefused, ClaimState, load_claim, row_key
from rhubarbmount.standins.faulty_platform import Faults, FaultyPlatform
from rhubarbmount.store.client import open_client
from rhubarbmount.store.interface import Precondition, Transaction, Write
from rhubarbmount.store.memory import MemoryPlatform


@pytest.fixture
def memory():
    return MemoryPlatform()


class Hosts:
    """Entry hosts on one platform, each with its own injected faults."""

    def __init__(self, memory, nursery):
        self.memory = memory
        self.nursery = nursery
        self.faulty = {}
        self.claims = {}

    async def start(self, name):
        self.faulty[name] = FaultyPlatform(self.memory, self.nursery, seed=1)
        self.claims[name] = await self.nursery.start(self._run, name)
        return self.claims[name]

    async def _run(self, name, task_status):
        client = open_client(self.faulty[name], deadline_s=1.0)
        async with open_claims(name, client, wall_clock=lambda: 0.0) as claims:
            task_status.started(claims)
            await trio.sleep_forever()

    async def state(self, key):
        row = await self.memory.read("claims", row_key("quotes", key))
        return None if row is None else load_claim(row).state


@pytest.fixture
def hosts(memory, nursery):
    return Hosts(memory, nursery)


async def send(claims, key="k", request="r", status=201, run=None):
    """Send a keyed request and return its outcome and code."""
    try:
        async with claims.guard("quotes", key, request) as held:
            if run is not None:
                await run()
            held.not_run() if status is None else held.ran(status)
    except ClaimRefused as error:
        return error.outcome, error.code
    return ("not-run", None) if status is None else ("ran", None)


async def test_a_key_runs_once_and_is_then_reported_as_run(hosts, autojump_clock):
    first, second = await hosts.start("a"), await hosts.start("b")
    assert await send(first) == ("ran", None)
    await first.records.flush()
    assert await send(first) == ("ran", "request-already-ran")
    assert await send(second) == ("ran", "request-already-ran")
    with pytest.raises(ClaimRefused) as caught:
        async with second.guard("quotes", "k", "r"):
            pass
    assert caught.value.recorded_status == 201


async def test_one_of_two_hosts_runs_a_key_sent_to_both_at_once(hosts, autojump_clock):
    runs = []

    async def run():
        runs.append(1)
        await trio.sleep(1.0)

    answers = []

    async def one(claims):
        answers.append(await send(claims, run=run))

    async with trio.open_nursery() as nursery:
        for name in ("a", "b", "a2"):
            nursery.start_soon(one, await hosts.start(name))
    assert len(runs) == 1
    assert sorted(answers, key=str) == [
        ("ran", None),
        ("unknown", "request-unfinished"),
        ("unknown", "request-unfinished"),
    ]


async def test_a_key_with_another_request_is_refused(hosts, autojump_clock):
    first, second = await hosts.start("a"), await hosts.start("b")
    await send(first, request="r")
    await first.records.flush()
    for claims in (first, second):
        outcome = await send(claims, request="other")
        assert outcome == ("ran", "idempotency-key-reused")


async def test_a_request_that_was_not_run_may_be_run_later(hosts, autojump_clock):
    first, second = await hosts.start("a"), await hosts.start("b")
    assert await send(first, status=None) == ("not-run", None)
    await first.records.flush()
    assert await send(second) == ("ran", None)
    await second.records.flush()
    assert await send(first) == ("ran", "request-already-ran")


async def test_a_lost_run_is_unknown_everywhere(hosts, autojump_clock):
    first, second = await hosts.start("a"), await hosts.start("b")
    with pytest.raises(ValueError):
        async with first.guard("quotes", "k", "r"):
            raise ValueError
    await first.records.flush()
    for claims in (first, second):
        assert await send(claims) == ("unknown", "request-outcome-unknown")


async def test_a_claim_whose_response_was_lost_is_held(hosts, autojump_clock):
    claims = await hosts.start("a")
    hosts.faulty["a"].faults.lost_answer_share = 1.0
    hosts.faulty["a"].faulty_calls = 1
    assert await send(claims) == ("ran", None)


async def test_a_claim_of_unknown_effect_is_withdrawn(hosts, autojump_clock):
    first, second = await hosts.start("a"), await hosts.start("b")
    faulty = hosts.faulty["a"]
    faulty.faults = Faults(late_effect_share=1.0, late_effect_s=30.0)
    faulty.faulty_calls = 4
    assert await send(first) == ("unknown", "claims-unavailable")
    await first.records.flush()
    await trio.sleep(60.0)
    assert await hosts.state("k") is ClaimState.RELEASED
    assert await send(second) == ("ran", None)


async def test_nothing_runs_while_the_platform_is_down(hosts, autojump_clock):
    claims = await hosts.start("a")
    hosts.faulty["a"].faults.down = True
    runs = []

    async def run():
        runs.append(1)

    assert await send(claims, run=run) == ("unknown", "claims-unavailable")
    assert not runs


async def test_an_outage_after_the_claim_leaves_the_outcome_with_the_host(
    hosts, autojump_clock
):
    first, second = await hosts.start("a"), await hosts.start("b")

    async def fail():
        hosts.faulty["a"].faults.down = True

    assert await send(first, run=fail) == ("ran", None)
    assert await send(first) == ("ran", "request-already-ran")
    assert await send(second) == ("unknown", "request-unfinished")
    hosts.faulty["a"].faults.down = False
    await first.records.flush()
    assert await send(second) == ("ran", "request-already-ran")


async def test_a_request_cancelled_while_claiming_frees_the_key(hosts, autojump_clock):
    first, second = await hosts.start("a"), await hosts.start("b")
    hosts.faulty["a"].faults.latency_s = 0.5
    with trio.move_on_after(0.7):
        await send(first, key="warm-up")
        await send(first)
    await trio.sleep(5.0)
    assert await hosts.state("k") is ClaimState.RELEASED
    assert await send(second) == ("ran", None)


async def test_queued_claims_share_transactions(hosts, autojump_clock):
    claims = await hosts.start("a")
    hosts.faulty["a"].faults.latency_s = 0.1
    async with trio.open_nursery() as nursery:
        for number in range(50):
            nursery.start_soon(send, claims, str(number))
    assert claims.batches.transactions <= 4


async def test_one_conflict_does_not_fail_the_batch(hosts, autojump_clock):
    first, second = await hosts.start("a"), await hosts.start("b")
    await send(second, "7")
    await second.records.flush()
    hosts.faulty["a"].faults.latency_s = 0.1
    answers = {}

    async def one(key):
        answers[key] = await send(first, key)

    async with trio.open_nursery() as nursery:
        for number in range(20):
            nursery.start_soon(one, str(number))
    assert answers.pop("7") == ("ran", "request-already-ran")
    assert set(answers.values()) == {("ran", None)}


async def test_more_claims_than_the_queue_holds_are_refused(hosts, autojump_clock):
    claims = await hosts.start("a")
    hosts.faulty["a"].faults.latency_s = 0.9
    answers = []

    async def one(key):
        answers.append(await send(claims, key))

    async with trio.open_nursery() as nursery:
        for number in range(1000):
            nursery.start_soon(one, str(number))
    assert answers.count(("unknown", "claims-unavailable")) >= 600
    assert len(answers) == 1000


async def test_a_withdrawn_claim_is_not_finished_later(hosts, memory, autojump_clock):
    first = await hosts.start("a")
    key = row_key("quotes", "k")
    async with first.guard("quotes", "k", "r") as held:
        other = dict(held.claim.values(), claim_id="other")
        condition = Precondition("claims", key, equals=own(held.claim))
        write = Write("claims", key, other)
        await memory.transact(Transaction("replace", (condition,), (write,)))
        held.ran(201)
    await first.records.flush()
    assert load_claim(await memory.read("claims", key)).claim_id == "other"
    assert await hosts.state("k") is ClaimState.CLAIMED


def own(claim):
    return {"claim_id": claim.claim_id}


async def test_claims_are_served_when_records_would_exceed_the_write_rate(
    memory, autojump_clock
):
    """Guards against unbounded batches of records that starve the claims."""
    client = open_client(memory, writes_per_s=10.0, deadline_s=0.5)
    answers = []

    async def one(claims, key):
        answers.append(await send(claims, key))

    async with open_claims("a", client) as claims, trio.open_nursery() as nursery:
        for number in range(120):
            nursery.start_soon(one, claims, str(number))
            await trio.sleep(1 / 6)
    assert set(answers) == {("ran", None)}
