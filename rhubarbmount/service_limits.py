"""One service's limits, its queue, and the room in its pool."""

import math
from collections import deque
from collections.abc import Callable

import attrs

__all__ = ["PoolSlots", "QueuedRequest", "ServiceLimit"]

ACTIVE_WINDOW_S = 10.0


@attrs.define(eq=False)
class QueuedRequest:
    """A request in a queue, to be given up at ``give_up_s`` by whoever waits for it.

    Once ``admitted`` it counts as running and is to be finished.
    """

    service: str
    give_up_s: float
    wake: Callable[[], None]
    dequeued: bool = False
    admitted: bool = False


@attrs.frozen
class PoolSlots:
    """An entry host's slots in a pool: all of them, and those free."""

    total: int
    free: int


@attrs.define
class ServiceLimit:
    """One service's limits and use on this entry host."""

    name: str
    pool: str = ""
    weight: int = 1
    concurrency: int = 1
    queue_length: int = 0
    queue_timeout_s: float = 1.0
    running: int = 0
    unplaced: int = 0
    queued: int = 0
    duration_s: float = 0.0
    last_offered_s: float = -math.inf
    queue: deque[QueuedRequest] = attrs.field(factory=deque)

    def is_recently_active(self, now_s: float) -> bool:
        """Tell whether requests run, wait or came a short time ago."""
        return (
            bool(self.running or self.queued)
            or now_s - self.last_offered_s < ACTIVE_WINDOW_S
        )

    def expected_wait_s(self) -> float:
        """Return the expected wait of a request that joins the queue now."""
        if self.running == 0:
            return 0.0
        return (self.queued + 1) * self.duration_s / self.running
