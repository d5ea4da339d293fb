"""A timer service that tasks subscribe to."""

import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import attrs
import trio

__all__ = ["Tick", "Ticks", "TimerService", "open_timers"]


@attrs.frozen
class Tick:
    """A due time of one subscription, in seconds on trio's clock."""

    name: str
    due_s: float


@attrs.define(eq=False)
class Ticks:
    """Sleep in the reader's own task; a slow reader gets one late tick, then waits."""

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
        """Return the next tick once it is due."""
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
    """Deliver periodic ticks, jittered so that peers do not act in step."""

    seed: int | None = None
    _random: random.Random = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._random = random.Random(self.seed)

    def every(self, name: str, period_s: float, jitter: float = 0.1) -> Ticks:
        """Return ticks for one reader; the first is due a period from now."""
        return Ticks(name, period_s, jitter, self._random)


@asynccontextmanager
async def open_timers(seed: int | None = None) -> AsyncIterator[TimerService]:
    """Run a timer service for the length of the block."""
    yield TimerService(seed)
