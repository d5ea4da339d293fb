"""A timer service that tasks subscribe to."""

import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import attrs
import trio

__all__ = ["Tick", "TimerService", "open_timers"]


@attrs.frozen
class Tick:
    """A due time of one subscription, in seconds on trio's clock."""

    name: str
    due_s: float


@attrs.define
class TimerService:
    """Deliver periodic ticks, jittered so that peers do not act in step."""

    nursery: trio.Nursery
    seed: int | None = None
    _random: random.Random = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._random = random.Random(self.seed)

    def every(
        self, name: str, period_s: float, jitter: float = 0.1
    ) -> trio.MemoryReceiveChannel[Tick]:
        """Return a channel of ticks; a slow reader misses some, never queues them."""
        send, receive = trio.open_memory_channel[Tick](1)
        self.nursery.start_soon(self._run, name, period_s, jitter, send)
        return receive

    async def _run(
        self,
        name: str,
        period_s: float,
        jitter: float,
        send: trio.MemorySendChannel[Tick],
    ) -> None:
        due_s = trio.current_time()
        async with send:
            while True:
                spread = 1.0 + jitter * (2.0 * self._random.random() - 1.0)
                due_s = max(due_s + period_s * spread, trio.current_time())
                await trio.sleep_until(due_s)
                try:
                    send.send_nowait(Tick(name, due_s))
                except trio.WouldBlock:
                    continue
                except trio.BrokenResourceError:
                    return


@asynccontextmanager
async def open_timers(seed: int | None = None) -> AsyncIterator[TimerService]:
    """Run a timer service for the length of the block."""
    async with trio.open_nursery() as nursery:
        yield TimerService(nursery, seed)
        nursery.cancel_scope.cancel()
