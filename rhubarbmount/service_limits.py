"""Limits and queue of one service, and the slots of its pool."""

import math
from collections import deque
from collections.abc import Callable

import attrs

__all__ = ["PoolSlots", "QueuedRequest", "ServiceLimit"]

ACTIVE_WINDOW_S = 10.0


@attrs.define(eq=False)
class QueuedRequest:
    """A request in a queue, which its waiting task removes at ``give_up_s``.

    Once ``admitted``, it counts as running and must be finished.
    """

    service: str
    give_up_s: float
    wake: Callable[[], None]
    dequeued: bool = False
    admitted: bool = False


@attrs.frozen
class PoolSlots:
    """Number of slots that an entry host has in a pool: in total, and free."""

    total: int
    free: int


@attrs.define
class ServiceLimit:
    """Limits and current usage of one service on this entry host."""

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
        """Return whether requests are running, queued or were offered recently."""
        return (
            bool(self.running or self.queued)
            or now_s - self.last_offered_s < ACTIVE_WINDOW_S
        )

    def expected_wait_s(self) -> float:
        """Return the expected queueing time of a request that joins the queue now."""
        if self.running == 0:
            return 0.0
        return (self.queued + 1) * self.duration_s / self.running
