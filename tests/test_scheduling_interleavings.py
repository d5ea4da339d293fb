"""Scheduling duty under random interleavings of operations and faults."""

import pytest
import trio
import trio.testing
from hypothesis import example, given, settings
from hypothesis import strategies as st

from rhubarbmount.entries import WorkClass
from tests.interleave import example_count
from tests.scheduling_world import World

OPERATIONS = st.one_of(
    st.tuples(st.just("round"), st.integers(0, 1)),
    st.tuples(st.just("freeze"), st.integers(0, 1), st.integers(1, 14)),
    st.tuples(st.just("thaw"), st.integers(0, 1)),
    st.tuples(st.just("advance"), st.sampled_from([0.5, 2.0, 9.0, 18.0])),
    st.tuples(st.just("submit"), st.sampled_from(WorkClass), st.sampled_from("ab")),
    st.tuples(st.just("cancel"), st.integers(1, 8)),
    st.tuples(st.just("end"), st.sampled_from(["succeeded", "failed"])),
    st.tuples(st.just("cut"), st.integers(0, 2)),
    st.tuples(st.just("join"), st.integers(0, 2)),
    st.tuples(st.just("lose"), st.integers(0, 1), st.integers(1, 3)),
    st.tuples(st.just("down"), st.integers(0, 1), st.booleans()),
    st.tuples(st.just("commands_down"), st.integers(0, 1), st.booleans()),
    st.tuples(st.just("delay"), st.integers(0, 1)),
    st.tuples(st.just("land"), st.integers(0, 1)),
)


class Interleaving:
    """Apply operations one by one; a round may stay suspended in a platform call."""

    def __init__(self, nursery):
        self.world = World()
        self.nursery = nursery

    async def apply(self, name, *arguments):
        await getattr(self, name)(*arguments)
        self.world.check()

    async def round(self, number):
        instance = self.world.instances[number]
        if instance.busy:
            return
        await self.world.take_lease(number)
        instance.link.stall_at_call = 0
        await instance.round()

    async def freeze(self, number, call):
        instance = self.world.instances[number]
        if instance.busy:
            return
        await self.world.take_lease(number)
        instance.busy = True
        instance.link.stalled = trio.Event()
        instance.link.stall_at_call = instance.link.calls + call
        self.nursery.start_soon(instance.round)
        await trio.testing.wait_all_tasks_blocked()

    async def thaw(self, number):
        instance = self.world.instances[number]
        if instance.link.stalled is not None:
            instance.link.stalled.set()
            await trio.testing.wait_all_tasks_blocked()

    async def advance(self, seconds):
        self.world.workers.advance(seconds)

    async def submit(self, work_class, team):
        await self.world.submit(work_class=work_class, team=team)

    async def cancel(self, number):
        if number <= self.world.jobs:
            await self.world.cancel(f"j{number}")

    async def end(self, outcome):
        for task_id in sorted(self.world.workers.running_by_id)[:1]:
            self.world.workers.end(task_id, outcome)

    async def cut(self, number):
        self.world.workers.cut(f"h{number}")

    async def join(self, number):
        self.world.workers.join(f"h{number}")

    async def lose(self, number, answers):
        self.world.instances[number].link.lose_answers = answers

    async def down(self, number, down):
        self.world.instances[number].link.down = down

    async def commands_down(self, number, down):
        self.world.instances[number].link.commands_down = down

    async def delay(self, number):
        self.world.instances[number].link.delays_next = True

    async def land(self, number):
        await self.world.instances[number].link.land()

    async def finish(self):
        """End every fault; check that all remaining jobs are running or held."""
        for number in range(3):
            await self.join(number)
        for number in range(2):
            await self.lose(number, 0)
            await self.down(number, False)
            await self.commands_down(number, False)
            self.world.instances[number].link.delays_next = False
            await self.land(number)
            await self.thaw(number)
        for _ in range(30):
            await self.advance(2.0)
            await self.round(0)
            await self.end("succeeded")
            self.world.check()
        states = {
            row.value["state"] for row in self.world.platform._table("jobs").values()
        }
        assert states <= {"held", "running"}


async def interleave(operations):
    """Run one interleaving of operations."""
    async with trio.open_nursery() as nursery:
        interleaving = Interleaving(nursery)
        for operation in operations:
            await interleaving.apply(*operation)
        await interleaving.finish()
        nursery.cancel_scope.cancel()


SUBMIT = ("submit", WorkClass.URGENT, "a")
END = ("end", "succeeded")


@example([SUBMIT, ("freeze", 0, 3), ("round", 1), END])
@example([("freeze", 0, 3), SUBMIT, ("round", 1), ("round", 0)])
@example([("round", 0), ("freeze", 0, 1), SUBMIT, ("lose", 1, 1), ("round", 1)])
@settings(
    max_examples=example_count(300), derandomize=True, deadline=None, database=None
)
@given(st.lists(OPERATIONS, min_size=10, max_size=40))
def test_no_interleaving_runs_a_job_twice_or_overfills_a_host_or_quota(operations):
    try:
        trio.run(interleave, operations)
    except* AssertionError as group:
        pytest.fail(str(group.exceptions[0]))
