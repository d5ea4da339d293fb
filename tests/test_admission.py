"""A turn gives back what it took, however the request ends."""

import random

import pytest
import trio
import trio.testing

from rhubarbmount.admission import (
    ADMISSION_PERIOD_S,
    Turn,
    WaitingTurns,
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


def in_hand(limiter):
    limit = limiter.by_service["quotes"]
    return limit.running, limit.unplaced


async def test_a_turn_that_never_took_its_slot_gives_it_back(limiter):
    with Turn(limiter, "quotes", trio.current_time() + 9) as turn:
        await turn.take()
        assert in_hand(limiter) == (1, 1)
    assert in_hand(limiter) == (0, 0)


async def test_a_turn_that_took_its_slot_gives_it_back_once(limiter):
    with Turn(limiter, "quotes", trio.current_time() + 9) as turn:
        await turn.take()
        turn.place()
        turn.place()
        assert in_hand(limiter) == (1, 0)
    assert in_hand(limiter) == (0, 0)


@pytest.mark.parametrize("placed", [True, False])
async def test_a_turn_taken_again_holds_one_slot(limiter, placed):
    with Turn(limiter, "quotes", trio.current_time() + 9) as turn:
        await turn.take()
        if placed:
            turn.place()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(turn.take_again)
            await trio.testing.wait_all_tasks_blocked()
            assert in_hand(limiter) == (0, 0)
            limiter.admit_waiting(trio.current_time())
        assert in_hand(limiter) == (1, 1)
    assert in_hand(limiter) == (0, 0)


async def test_a_turn_cancelled_as_it_is_admitted_gives_its_slot_back(limiter):
    async def take():
        with Turn(limiter, "quotes", trio.current_time() + 9) as turn:
            await turn.take()

    with Turn(limiter, "quotes", trio.current_time() + 9) as first:
        await first.take()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(take)
            await trio.testing.wait_all_tasks_blocked()
            first.place()
            nursery.cancel_scope.cancel()
            limiter.admit_waiting(trio.current_time())
    assert in_hand(limiter) == (0, 0)


async def test_nothing_looks_for_room_while_no_request_waits(
    limiter, autojump_clock, nursery, monkeypatch
):
    looks = []
    real = limiter.admit_waiting
    monkeypatch.setattr(limiter, "admit_waiting", lambda now: looks.append(real(now)))
    waiting = WaitingTurns()
    nursery.start_soon(admit_waiting, limiter, waiting)
    await trio.sleep(60)
    assert not looks
    with waiting.one_more():
        await trio.sleep(1.05)
        assert len(looks) >= 9
    before = len(looks)
    await trio.sleep(60)
    assert len(looks) <= before + 1


async def test_room_that_comes_with_time_is_given_within_a_period(
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
    waiting = WaitingTurns()
    nursery.start_soon(admit_waiting, limiter, waiting)
    await trio.sleep(5)
    begin_s = trio.current_time()
    with Turn(limiter, "quotes", begin_s + 9, others=waiting) as turn:
        await turn.take()
        assert turn.running
    assert trio.current_time() - begin_s <= free_s + ADMISSION_PERIOD_S + 1e-6
    assert waiting.count == 0
