"""Permits release what they acquired, however the request ends."""

import random

import pytest
import trio
import trio.testing

from rhubarbmount.admission import (
    ADMISSION_INTERVAL_S,
    AdmissionPermit,
    WaiterCount,
    admit_waiting,
)
from rhubarbmount.entries import Service
from rhubarbmount.limits import Limiter
from rhubarbmount.service_limits import PoolSlots


@pytest.fixture
def limiter():
    """Return a limiter whose pool has one slot, with a queue of four."""
    limiter = Limiter(
        100,
        generator=random.Random(1),
        pool_slots=lambda name, now_s: PoolSlots(1, 1),
    )
    service = Service(name="quotes", owner="firm", pool="quotes", queue_length=4)
    limiter.update_services([service], ["e1"], "e1")
    return limiter


def running_and_unplaced(limiter):
    limit = limiter.limit_by_service["quotes"]
    return limit.running, limit.unplaced


async def test_a_permit_that_was_never_placed_is_released(limiter):
    with AdmissionPermit(limiter, "quotes", trio.current_time() + 9) as permit:
        await permit.acquire()
        assert running_and_unplaced(limiter) == (1, 1)
    assert running_and_unplaced(limiter) == (0, 0)


async def test_a_permit_placed_twice_is_released_once(limiter):
    with AdmissionPermit(limiter, "quotes", trio.current_time() + 9) as permit:
        await permit.acquire()
        permit.place()
        permit.place()
        assert running_and_unplaced(limiter) == (1, 0)
    assert running_and_unplaced(limiter) == (0, 0)


@pytest.mark.parametrize("placed", [True, False])
async def test_a_requeued_permit_holds_one_slot(limiter, placed):
    with AdmissionPermit(limiter, "quotes", trio.current_time() + 9) as permit:
        await permit.acquire()
        if placed:
            permit.place()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(permit.requeue)
            await trio.testing.wait_all_tasks_blocked()
            assert running_and_unplaced(limiter) == (0, 0)
            limiter.admit_waiting(trio.current_time())
        assert running_and_unplaced(limiter) == (1, 1)
    assert running_and_unplaced(limiter) == (0, 0)


async def test_a_permit_cancelled_during_admission_releases_its_slot(limiter):
    async def acquire():
        with AdmissionPermit(limiter, "quotes", trio.current_time() + 9) as permit:
            await permit.acquire()

    with AdmissionPermit(limiter, "quotes", trio.current_time() + 9) as first:
        await first.acquire()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(acquire)
            await trio.testing.wait_all_tasks_blocked()
            first.place()
            nursery.cancel_scope.cancel()
            limiter.admit_waiting(trio.current_time())
    assert running_and_unplaced(limiter) == (0, 0)


async def test_the_admission_loop_is_idle_while_no_request_waits(
    limiter, autojump_clock, nursery, monkeypatch
):
    admission_calls = []
    real = limiter.admit_waiting
    monkeypatch.setattr(
        limiter, "admit_waiting", lambda now: admission_calls.append(real(now))
    )
    waiters = WaiterCount()
    nursery.start_soon(admit_waiting, limiter, waiters)
    await trio.sleep(60)
    assert not admission_calls
    with waiters.track():
        await trio.sleep(1.05)
        assert len(admission_calls) >= 9
    before = len(admission_calls)
    await trio.sleep(60)
    assert len(admission_calls) <= before + 1


async def test_a_slot_that_frees_with_time_is_granted_within_one_interval(
    autojump_clock, nursery
):
    free_s = 0.55
    limiter = Limiter(
        100,
        generator=random.Random(1),
        pool_slots=lambda name, now_s: PoolSlots(1, int(now_s >= begin_s + free_s)),
    )
    service = Service(name="quotes", owner="firm", pool="quotes", queue_length=4)
    limiter.update_services([service], ["e1"], "e1")
    waiters = WaiterCount()
    nursery.start_soon(admit_waiting, limiter, waiters)
    await trio.sleep(5)
    begin_s = trio.current_time()
    with AdmissionPermit(limiter, "quotes", begin_s + 9, waiters=waiters) as permit:
        await permit.acquire()
        assert permit.running
    assert trio.current_time() - begin_s <= free_s + ADMISSION_INTERVAL_S + 1e-6
    assert waiters.count == 0
