"""The share of the platform's read and write rates that one entry host may use."""

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
ROUNDING = 1e-6
MIN_PAUSE_S = 0.001


class Priority(IntEnum):
    """Which calls go first when the budget is short; lower goes first."""

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
    """Return how many tokens are saved up at most.

    >>> burst(18.0), burst(0.5)
    (9.0, 1.0)
    """
    return max(MIN_BURST, rate_per_s * BURST_S)


@attrs.define
class TokenBucket:
    """Refill at a rate; a call larger than the bucket goes into debt for the rest.

    A call that may borrow goes ahead until the debt is as large as the bucket.

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
        """Pay for a call if the bucket holds enough."""
        self._refill(rate_per_s, now_s)
        if self.tokens < _needed(cost, rate_per_s, may_borrow):
            return False
        self.tokens -= cost
        return True

    def wait_s(self, cost: float, rate_per_s: float, may_borrow: bool = False) -> float:
        """Return the time until the bucket will hold enough."""
        missing = _needed(cost, rate_per_s, may_borrow) - self.tokens
        return max(0.0, missing) / rate_per_s

    def _refill(self, rate_per_s: float, now_s: float) -> None:
        earned = (now_s - self.refilled_s) * rate_per_s
        self.tokens = min(burst(rate_per_s), self.tokens + earned)
        self.refilled_s = now_s


def _needed(cost: float, rate_per_s: float, may_borrow: bool) -> float:
    if may_borrow:
        return -burst(rate_per_s)
    return min(cost, burst(rate_per_s)) - ROUNDING


@attrs.define(eq=False)
class _Turn:
    """A call's place in the queue."""

    priority: Priority
    number: int
    cost: float
    is_first: trio.Event = attrs.field(factory=trio.Event)

    @property
    def may_borrow(self) -> bool:
        """Whether the call goes ahead of its payment."""
        return self.priority is Priority.DUTY

    def __lt__(self, other: "_Turn") -> bool:
        return (self.priority, self.number) < (other.priority, other.number)


@attrs.define(eq=False)
class RateLimiter:
    """Let calls through at this host's share of a rate, most urgent first.

    ``live_entry_hosts`` returns how many hosts share the rate now.
    """

    rate_per_s: float
    live_entry_hosts: Callable[[], int]
    clock: Callable[[], float] = trio.current_time
    acquired: float = 0.0
    _bucket: TokenBucket | None = None
    _turns: SortedList = attrs.field(factory=SortedList)
    _numbers: itertools.count = attrs.field(factory=itertools.count)

    async def acquire(self, cost: float, priority: Priority) -> None:
        """Wait for this call's turn and pay for it; a cancelled call pays nothing."""
        turn = _Turn(priority, next(self._numbers), cost)
        self._turns.add(turn)
        try:
            while not self._try_acquire(turn):
                await self._wait(turn)
        finally:
            self._turns.remove(turn)
            if self._turns:
                self._turns[0].is_first.set()
        self.acquired += cost

    def try_acquire(self, cost: float, priority: Priority) -> bool:
        """Pay for a call if nobody waits and it may go ahead now."""
        may_borrow = priority is Priority.DUTY
        if self._turns or not self._take(cost, may_borrow):
            return False
        self.acquired += cost
        return True

    def affordable(self) -> int:
        """Return the largest cost that is paid without debt."""
        return int(burst(self._share_per_s()))

    async def _wait(self, turn: _Turn) -> None:
        if self._turns[0] is turn:
            await trio.sleep(self._pause_s(turn))
            return
        turn.is_first = trio.Event()
        await turn.is_first.wait()

    def _try_acquire(self, turn: _Turn) -> bool:
        if self._turns[0] is not turn:
            return False
        return self._take(turn.cost, turn.may_borrow)

    def _take(self, cost: float, may_borrow: bool) -> bool:
        share = self._share_per_s()
        return self._filled().take(cost, share, self.clock(), may_borrow)

    def _pause_s(self, turn: _Turn) -> float:
        share = self._share_per_s()
        wait_s = self._filled().wait_s(turn.cost, share, turn.may_borrow)
        return max(MIN_PAUSE_S, wait_s)

    def _filled(self) -> TokenBucket:
        if self._bucket is None:
            self._bucket = TokenBucket(self.clock(), burst(self._share_per_s()))
        return self._bucket

    def _share_per_s(self) -> float:
        return share_per_s(self.rate_per_s, self.live_entry_hosts())
