"""Periodic timers with jitter."""

import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import attrs
import trio

__all__ = ["Tick", "Ticks", "TimerService", "open_timers"]


@attrs.frozen
class Tick:
    """A tick of one timer, with its due time in seconds on trio's clock."""

    name: str
    due_s: float


@attrs.define(eq=False)
class Ticks:
    """Iterator over the ticks of one timer, which sleeps in the reader's own task.

    A slow reader gets a single late tick, and the next one a period after it.
    """

    name: str
    period_s: float
    jitter: float
    generator: random.Random
    _due_s: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._due_s = trio.current_time() + self._jittered_period_s()

    def __aiter__(self) -> "Ticks":
        return self

    async def __anext__(self) -> Tick:
        """Wait until the next tick is due and return it."""
        await trio.sleep_until(self._due_s)
        tick = Tick(self.name, self._due_s)
        wait_s, now_s = self._jittered_period_s(), trio.current_time()
        on_time = self._due_s + wait_s > now_s
        self._due_s = (self._due_s if on_time else now_s) + wait_s
        return tick

    def _jittered_period_s(self) -> float:
        return self.period_s * (1.0 + self.jitter * self.generator.uniform(-1.0, 1.0))


@attrs.define
class TimerService:
    """Create periodic timers, jittered so that peers do not act simultaneously."""

    seed: int | None = None
    _random: random.Random = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._random = random.Random(self.seed)

    def every(self, name: str, period_s: float, jitter: float = 0.1) -> Ticks:
        """Return a timer for one reader; its first tick is due one period from now."""
        return Ticks(name, period_s, jitter, self._random)


@asynccontextmanager
async def open_timers(seed: int | None = None) -> AsyncIterator[TimerService]:
    """Provide a timer service for the duration of the block."""
    yield TimerService(seed)
