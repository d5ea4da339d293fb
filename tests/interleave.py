"""Actors stepped one platform call at a time, with faults, in a given order."""

import os
import types

import attrs
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from rhubarbmount.errors import OutcomeUnknown, PlatformUnavailable
from rhubarbmount.store.memory import MemoryPlatform

FAULTS = ("none",) * 12 + ("refused", "lost-answer", "lost-request", "late")


def example_count(default):
    """Return how many interleavings to try: INTERLEAVINGS, or else the default."""
    return int(os.environ.get("INTERLEAVINGS", default))


def schedules(default):
    """Give a test random schedules, the same ones in each run."""

    def decorate(test):
        given_schedule = given(schedule=st.binary(min_size=150, max_size=400))
        return settings(
            derandomize=True,
            deadline=None,
            database=None,
            max_examples=example_count(default),
            phases=[Phase.generate],
        )(given_schedule(test))

    return decorate


@types.coroutine
def pause():
    """Give control back to the scheduler."""
    yield


@attrs.define
class GatedPlatform:
    """Pause before and after each call; a fault may strike in between.

    A ``late`` transaction takes effect some time after its caller was told that
    nothing is known of it.
    """

    inner: MemoryPlatform
    world: "World"

    async def _call(self, function, *args, writes=False):
        await pause()
        fault = self.world.next_fault
        self.world.next_fault = "none"
        if fault == "refused":
            raise PlatformUnavailable("the platform is out")
        if fault == "late" and writes:
            self.world.late.append((function, args))
            raise OutcomeUnknown("the answer was lost")
        if fault == "lost-request":
            raise OutcomeUnknown("the request was lost")
        result = await function(*args)
        if fault == "lost-answer":
            raise OutcomeUnknown("the answer was lost")
        await pause()
        return result

    async def read(self, table, key):
        return await self._call(self.inner.read, table, key)

    async def scan(self, table, prefix=""):
        return await self._call(self.inner.scan, table, prefix)

    async def live_hosts(self):
        return await self._call(self.inner.live_hosts)

    async def transact(self, transaction):
        return await self._call(self.world.transact, transaction, writes=True)

    async def command_host(self, command):
        await self._call(self.inner.command_host, command, writes=True)


@attrs.define
class World:
    """The platform, the clock and the actors; ``check`` sees each commit."""

    check: object = None
    inner: MemoryPlatform = attrs.field(factory=MemoryPlatform)
    now_s: float = 1000.0
    next_fault: str = "none"
    late: list = attrs.field(factory=list)
    actors: list = attrs.field(factory=list)
    numbers: int = 0

    def clock(self):
        return self.now_s

    def new_id(self):
        self.numbers += 1
        return f"id{self.numbers}"

    def platform(self):
        return GatedPlatform(self.inner, self)

    def add_runners(self, runners):
        """Add an actor that steps duties in turn for ever."""

        async def work():
            while True:
                for runner in runners:
                    await runner.step()
                await pause()

        self.actors.append(work())

    async def transact(self, transaction):
        before = {name: dict(rows) for name, rows in self.inner.tables.items()}
        result = await self.inner.transact(transaction)
        if result.committed and self.check is not None:
            self.check(before, self.inner.tables, transaction)
        return result

    def step(self, number, gates=1):
        """Let one actor pass some gates."""
        for _ in range(gates):
            self.actors[number % len(self.actors)].send(None)

    def stop(self, start=0):
        """Stop the actors from the given one on, wherever they are."""
        for actor in self.actors[start:]:
            actor.close()
        del self.actors[start:]

    def deliver_late(self):
        """Let the oldest late call take effect."""
        if self.late:
            function, args = self.late.pop(0)
            run_now(function(*args))

    def play(self, schedule):
        """Follow a schedule of bytes: clock, late calls, or an actor with a fault."""
        for byte in schedule:
            kind, value = byte & 7, byte >> 3
            if kind == 0:
                self.now_s += (0.5, 1.0, 3.0, 12.0)[value % 4]
            elif kind == 1:
                self.deliver_late()
            else:
                if kind == 2:
                    self.next_fault = FAULTS[value % len(FAULTS)]
                self.step(value, gates=kind)

    def settle(self, done, rounds=4000):
        """Step all actors in turn, without faults, until done; tell whether it was."""
        self.next_fault = "none"
        while self.late:
            self.deliver_late()
        for number in range(rounds):
            if done():
                return True
            self.step(number, gates=4)
            if number % len(self.actors) == 0:
                self.now_s += 0.25
        return False


def run_now(coroutine):
    """Run a coroutine that never pauses."""
    try:
        coroutine.send(None)
    except StopIteration as stop:
        return stop.value
    raise AssertionError("the coroutine paused")
