"""Platform client: deadlines, circuit breaker, rate limits and lost responses."""

import pytest
import trio
import trio.testing

from rhubarbmount.errors import OutcomeUnknown, PlatformUnavailable
from rhubarbmount.standins.faulty_platform import Faults, FaultyPlatform
from rhubarbmount.store.client import open_client
from rhubarbmount.store.interface import Precondition, Transaction, Write
from rhubarbmount.store.memory import MemoryPlatform
from rhubarbmount.store.rate_limiter import Priority, RateLimiter


def increment(operation_id, number):
    return Transaction(operation_id, (), (Write("t", "x", {"n": number}),))


@pytest.fixture
def memory():
    return MemoryPlatform()


@pytest.fixture
def faulty(memory, nursery):
    return FaultyPlatform(memory, nursery, seed=1)


async def test_commit_with_lost_response_is_resolved_as_committed(
    memory, faulty, autojump_clock
):
    faulty.faults.lost_answer_share = 1.0
    result = await open_client(faulty).transact(increment("a", 1))
    assert result.committed
    assert (await memory.read("t", "x")).value == {"n": 1}


async def test_aborted_transaction_cannot_take_effect_late(
    memory, faulty, autojump_clock
):
    faulty.faults = Faults(late_effect_share=1.0, late_effect_s=9.0)
    faulty.faulty_calls = 1
    with pytest.raises(PlatformUnavailable):
        await open_client(faulty).transact(increment("a", 1))
    await trio.sleep(10.0)
    assert await memory.read("t", "x") is None


async def test_unresolved_transaction_raises_outcome_unknown(faulty, autojump_clock):
    faulty.faults.lost_call_share = 1.0
    with pytest.raises(OutcomeUnknown):
        await open_client(faulty).transact(increment("a", 1))


async def test_repeated_operation_id_takes_effect_once(memory, autojump_clock):
    client = open_client(memory)
    await client.transact(increment("a", 1))
    await client.transact(increment("b", 2))
    assert (await client.transact(increment("a", 1))).committed
    assert (await memory.read("t", "x")).value == {"n": 2}


async def test_conflicts_exclude_the_operations_row(memory, autojump_clock):
    client = open_client(memory)
    await client.transact(increment("a", 1))
    condition = Precondition("t", "x", version=0)
    result = await client.transact(Transaction("b", (condition,), ()))
    assert result.conflicts == (("t", "x"),)


async def test_breaker_opens_after_timeouts_and_closes_on_success(
    faulty, autojump_clock
):
    faulty.faults.latency_s = 60.0
    client = open_client(faulty, deadline_s=0.5)
    for _ in range(20):
        with pytest.raises(PlatformUnavailable):
            await client.read("t", "x")
    assert trio.current_time() < 5.0
    assert faulty.calls == 5
    faulty.faults.latency_s = 0.0
    await trio.sleep(1.0)
    await client.read("t", "x")
    assert not client.is_out


async def test_writes_stay_within_the_share_of_the_rate(memory, autojump_clock):
    client = open_client(memory, live_entry_hosts=lambda: 10, deadline_s=60.0)
    started_s = trio.current_time()
    for number in range(180):
        await client.transact(increment(str(number), number))
    elapsed_s = trio.current_time() - started_s
    assert client.writes_acquired == 360
    assert client.writes_acquired / elapsed_s < 400 * 0.9 / 10 * 1.1


async def test_rate_limited_write_has_no_effect(memory, autojump_clock):
    client = open_client(memory, deadline_s=1.0, writes_per_s=0.1)
    await client.transact(increment("a", 1))
    with pytest.raises(PlatformUnavailable):
        await client.transact(increment("b", 2))
    assert (await memory.read("t", "x")).value == {"n": 1}


async def test_waiting_calls_proceed_in_priority_order(autojump_clock):
    limiter = RateLimiter(10.0, lambda: 1)
    order = []

    async def acquire(priority):
        await limiter.acquire(1, priority)
        order.append(priority)

    await limiter.acquire(5, Priority.DEFAULT)
    with trio.fail_after(60.0):
        async with trio.open_nursery() as nursery:
            for priority in reversed(Priority):
                nursery.start_soon(acquire, priority)
                await trio.testing.wait_all_tasks_blocked()
    assert order == sorted(Priority)


async def test_cancelled_waiter_wakes_the_next_one(autojump_clock):
    limiter = RateLimiter(1.0, lambda: 1)
    first = trio.CancelScope()

    async def give_up():
        with first:
            await limiter.acquire(1, Priority.DUTY)

    await limiter.acquire(5, Priority.DEFAULT)
    with trio.fail_after(60.0):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(give_up)
            await trio.testing.wait_all_tasks_blocked()
            nursery.start_soon(limiter.acquire, 1, Priority.DEFAULT)
            await trio.testing.wait_all_tasks_blocked()
            first.cancel()
    assert limiter.acquired == 6


async def test_duty_calls_may_borrow_tokens(autojump_clock):
    limiter = RateLimiter(10.0, lambda: 1)
    await limiter.acquire(100, Priority.DEFAULT)
    with pytest.raises(trio.TooSlowError), trio.fail_after(1.0):
        await limiter.acquire(1, Priority.CLAIM)
    limiter = RateLimiter(10.0, lambda: 1)
    await limiter.acquire(limiter.max_burst(), Priority.CLAIM)
    with trio.fail_after(0.01):
        await limiter.acquire(1, Priority.DUTY)


async def test_try_acquire_does_not_overtake_waiting_calls(autojump_clock):
    limiter = RateLimiter(1.0, lambda: 1)
    while limiter.try_acquire(1, Priority.DEFAULT):
        pass
    acquired = limiter.acquired
    async with trio.open_nursery() as nursery:
        nursery.start_soon(limiter.acquire, 2, Priority.DEFAULT)
        await trio.testing.wait_all_tasks_blocked()
        assert not limiter.try_acquire(1, Priority.DUTY)
        assert limiter.acquired == acquired
    await trio.sleep(5)
    assert limiter.try_acquire(1, Priority.DUTY)
    assert limiter.acquired == acquired + 3
