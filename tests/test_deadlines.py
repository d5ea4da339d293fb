"""Deadlines enforced by one task for all operations."""

import pytest
import trio

from rhubarbmount.deadlines import Deadlines


class InterruptibleWait:
    """An operation that ends only if it is interrupted while it waits."""

    def __init__(self):
        self.is_blocked = False
        self.ended = trio.Event()

    def interrupt(self):
        if self.is_blocked:
            self.ended.set()


@pytest.fixture
async def deadlines(nursery):
    deadlines = Deadlines()
    nursery.start_soon(deadlines.run)
    await trio.testing.wait_all_tasks_blocked()
    return deadlines


async def test_a_wait_that_begins_after_the_deadline_is_interrupted(
    autojump_clock, deadlines
):
    waiting = InterruptibleWait()
    with trio.fail_after(10.0), deadlines.at(trio.current_time() + 1.0, waiting):
        await trio.sleep(2.0)
        assert not waiting.ended.is_set()
        waiting.is_blocked = True
        begin_s = trio.current_time()
        await waiting.ended.wait()
    assert trio.current_time() - begin_s <= 0.02


@pytest.mark.parametrize("second_s", [0.5, 3.0])
async def test_two_deadlines_are_kept_at_the_same_time(
    autojump_clock, deadlines, second_s
):
    first, second = InterruptibleWait(), InterruptibleWait()
    first.is_blocked = second.is_blocked = True
    begin_s = trio.current_time()
    with trio.fail_after(10.0), deadlines.at(begin_s + 1.0, first):
        with deadlines.at(begin_s + second_s, second):
            await second.ended.wait()
            assert trio.current_time() - begin_s == pytest.approx(second_s, abs=0.02)
        await first.ended.wait()


async def test_a_block_that_ends_before_its_deadline_is_not_interrupted(
    autojump_clock, deadlines
):
    waiting = InterruptibleWait()
    waiting.is_blocked = True
    with deadlines.at(trio.current_time() + 1.0, waiting):
        await trio.sleep(0.5)
    await trio.sleep(5.0)
    assert not waiting.ended.is_set()


async def test_a_deadline_added_before_the_task_runs_is_kept(nursery, autojump_clock):
    deadlines, waiting = Deadlines(), InterruptibleWait()
    waiting.is_blocked = True
    with trio.fail_after(10.0), deadlines.at(trio.current_time() + 1.0, waiting):
        nursery.start_soon(deadlines.run)
        await waiting.ended.wait()
    assert trio.current_time() >= 1.0
