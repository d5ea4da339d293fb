"""Rate limiter for one entry host's share of the platform's read and write rates."""

import itertools
from collections.abc import Callable
from enum import IntEnum

import attrs
import trio
from sortedcontainers import SortedList

__all__ = ["RateLimiter", "Priority", "TokenBucket", "burst", "share_per_s"]

READS_PER_S = 2000.0
WRITES_PER_S = 400.0
HEADROOM = 0.1
BURST_S = 0.5
MIN_BURST = 1.0
ROUNDING_TOLERANCE = 1e-6
MIN_WAIT_S = 0.001


class Priority(IntEnum):
    """Order of calls that wait for the rate limiter; lower values go first."""

    DUTY = 0
    CLAIM = 1
    DEFAULT = 2


def share_per_s(rate_per_s: float, live_entry_hosts: int) -> float:
    """Return one entry host's share of a rate, less the headroom.

    >>> share_per_s(400.0, live_entry_hosts=20)
    18.0
    """
    return rate_per_s * (1.0 - HEADROOM) / max(1, live_entry_hosts)


def burst(rate_per_s: float) -> float:
    """Return the capacity in tokens of a bucket that refills at a rate.

    >>> burst(18.0), burst(0.5)
    (9.0, 1.0)
    """
    return max(MIN_BURST, rate_per_s * BURST_S)


@attrs.define
class TokenBucket:
    """Token bucket; a call larger than its capacity goes into debt for the rest.

    A call that may borrow proceeds until the debt is as large as the capacity.

    >>> bucket = TokenBucket(refilled_s=0.0, tokens=4.0)
    >>> bucket.take(4.0, rate_per_s=8.0, now_s=0.0)
    True
    >>> bucket.take(1.0, rate_per_s=8.0, now_s=0.0)
    False
    >>> round(bucket.wait_s(1.0, rate_per_s=8.0), 3)
    0.125
    >>> bucket.take(1.0, rate_per_s=8.0, now_s=0.0, may_borrow=True)
    True
    """

    refilled_s: float
    tokens: float = MIN_BURST

    def take(
        self, cost: float, rate_per_s: float, now_s: float, may_borrow: bool = False
    ) -> bool:
        """Take tokens for a call if there are enough; return whether it did."""
        self._refill(rate_per_s, now_s)
        if self.tokens < _required_tokens(cost, rate_per_s, may_borrow):
            return False
        self.tokens -= cost
        return True

    def wait_s(self, cost: float, rate_per_s: float, may_borrow: bool = False) -> float:
        """Return the time in seconds until there will be enough tokens."""
        missing = _required_tokens(cost, rate_per_s, may_borrow) - self.tokens
        return max(0.0, missing) / rate_per_s

    def _refill(self, rate_per_s: float, now_s: float) -> None:
        refilled = (now_s - self.refilled_s) * rate_per_s
        self.tokens = min(burst(rate_per_s), self.tokens + refilled)
        self.refilled_s = now_s


def _required_tokens(cost: float, rate_per_s: float, may_borrow: bool) -> float:
    if may_borrow:
        return -burst(rate_per_s)
    return min(cost, burst(rate_per_s)) - ROUNDING_TOLERANCE


@attrs.define(eq=False)
class _Waiter:
    """A call that waits in the queue."""

    priority: Priority
    sequence_number: int
    cost: float
    at_head: trio.Event = attrs.field(factory=trio.Event)

    @property
    def may_borrow(self) -> bool:
        """Whether the call may take tokens before they are refilled."""
        return self.priority is Priority.DUTY

    def __lt__(self, other: "_Waiter") -> bool:
        return (self.priority, self.sequence_number) < (
            other.priority,
            other.sequence_number,
        )


@attrs.define(eq=False)
class RateLimiter:
    """Limits calls to this host's share of a rate, highest priority first.

    ``live_entry_hosts`` returns how many entry hosts currently share the rate.
    """

    rate_per_s: float
    live_entry_hosts: Callable[[], int]
    clock: Callable[[], float] = trio.current_time
    acquired: float = 0.0
    _bucket: TokenBucket | None = None
    _waiters: SortedList = attrs.field(factory=SortedList)
    _sequence_numbers: itertools.count = attrs.field(factory=itertools.count)

    async def acquire(self, cost: float, priority: Priority) -> None:
        """Wait in the queue and take tokens; a cancelled call takes none."""
        waiter = _Waiter(priority, next(self._sequence_numbers), cost)
        self._waiters.add(waiter)
        try:
            while not self._try_acquire(waiter):
                await self._wait(waiter)
        finally:
            self._waiters.remove(waiter)
            if self._waiters:
                self._waiters[0].at_head.set()
        self.acquired += cost

    def try_acquire(self, cost: float, priority: Priority) -> bool:
        """Take tokens if no call waits and there are enough; return whether it did."""
        may_borrow = priority is Priority.DUTY
        if self._waiters or not self._take(cost, may_borrow):
            return False
        self.acquired += cost
        return True

    def max_burst(self) -> int:
        """Return the largest cost that can be acquired without debt."""
        return int(burst(self._share_per_s()))

    async def _wait(self, waiter: _Waiter) -> None:
        if self._waiters[0] is waiter:
            await trio.sleep(self._wait_time_s(waiter))
            return
        waiter.at_head = trio.Event()
        await waiter.at_head.wait()

    def _try_acquire(self, waiter: _Waiter) -> bool:
        if self._waiters[0] is not waiter:
            return False
        return self._take(waiter.cost, waiter.may_borrow)

    def _take(self, cost: float, may_borrow: bool) -> bool:
        share = self._share_per_s()
        return self._current_bucket().take(cost, share, self.clock(), may_borrow)

    def _wait_time_s(self, waiter: _Waiter) -> float:
        share = self._share_per_s()
        wait_s = self._current_bucket().wait_s(waiter.cost, share, waiter.may_borrow)
        return max(MIN_WAIT_S, wait_s)

    def _current_bucket(self) -> TokenBucket:
        if self._bucket is None:
            self._bucket = TokenBucket(self.clock(), burst(self._share_per_s()))
        return self._bucket

    def _share_per_s(self) -> float:
        return share_per_s(self.rate_per_s, self.live_entry_hosts())
