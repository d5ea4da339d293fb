"""The share of the platform's read and write rates that one entry host may use."""

import itertools
from collections.abc import Callable
from enum import IntEnum

import attrs
import trio
from sortedcontainers import SortedList

__all__ = ["Budget", "Priority", "TokenBucket", "share_per_s"]

READS_PER_S = 2000.0
WRITES_PER_S = 400.0
HEADROOM = 0.1
BURST_S = 0.5
MIN_BURST = 1.0


class Priority(IntEnum):
    """Which calls go first when the budget is short; lower goes first."""

    DUTY = 0
    CLAIM = 1
    REST = 2


def share_per_s(rate_per_s: float, live_entry_hosts: int) -> float:
    """Return one entry host's share of a rate, less the headroom.

    >>> share_per_s(400.0, live_entry_hosts=20)
    18.0
    """
    return rate_per_s * (1.0 - HEADROOM) / max(1, live_entry_hosts)


@attrs.define
class TokenBucket:
    """Refill at a rate; a call larger than the bucket is paid for afterwards.

    >>> bucket = TokenBucket(refilled_s=0.0, tokens=1.0)
    >>> bucket.take(3.0, rate_per_s=2.0, now_s=0.0)
    True
    >>> bucket.take(1.0, rate_per_s=2.0, now_s=0.5)
    False
    >>> bucket.wait_s(rate_per_s=2.0)
    0.5
    """

    refilled_s: float
    tokens: float = MIN_BURST

    def take(self, cost: float, rate_per_s: float, now_s: float) -> bool:
        """Pay for a call when the bucket is not in debt."""
        self._refill(rate_per_s, now_s)
        if self.tokens <= 0.0:
            return False
        self.tokens -= cost
        return True

    def wait_s(self, rate_per_s: float) -> float:
        """Return the time until the debt is paid off."""
        return max(0.0, -self.tokens) / rate_per_s

    def _refill(self, rate_per_s: float, now_s: float) -> None:
        burst = max(MIN_BURST, rate_per_s * BURST_S)
        earned = (now_s - self.refilled_s) * rate_per_s
        self.tokens = min(burst, self.tokens + earned)
        self.refilled_s = now_s


@attrs.define(eq=False)
class _Turn:
    """A call's place in the queue."""

    priority: Priority
    number: int
    is_first: trio.Event = attrs.field(factory=trio.Event)

    def __lt__(self, other: "_Turn") -> bool:
        return (self.priority, self.number) < (other.priority, other.number)


@attrs.define(eq=False)
class Budget:
    """Let calls through at this host's share of a rate, most urgent first.

    ``live_entry_hosts`` returns how many hosts share the rate now.
    """

    rate_per_s: float
    live_entry_hosts: Callable[[], int]
    clock: Callable[[], float] = trio.current_time
    spent: float = 0.0
    _bucket: TokenBucket | None = None
    _turns: SortedList = attrs.field(factory=SortedList)
    _numbers: itertools.count = attrs.field(factory=itertools.count)

    async def spend(self, cost: float, priority: Priority) -> None:
        """Wait for this call's turn and pay for it; a cancelled call pays nothing."""
        turn = _Turn(priority, next(self._numbers))
        self._turns.add(turn)
        try:
            while not self._try_spend(turn, cost):
                await self._wait(turn)
        finally:
            self._turns.remove(turn)
            if self._turns:
                self._turns[0].is_first.set()
        self.spent += cost

    async def _wait(self, turn: _Turn) -> None:
        if self._turns[0] is turn:
            await trio.sleep(self._pause_s())
            return
        turn.is_first = trio.Event()
        await turn.is_first.wait()

    def _try_spend(self, turn: _Turn, cost: float) -> bool:
        if self._turns[0] is not turn:
            return False
        now_s = self.clock()
        if self._bucket is None:
            self._bucket = TokenBucket(refilled_s=now_s)
        return self._bucket.take(cost, self._share_per_s(), now_s)

    def _pause_s(self) -> float:
        """Return the time until the bucket holds a whole token."""
        share = self._share_per_s()
        debt_s = 0.0 if self._bucket is None else self._bucket.wait_s(share)
        return debt_s + 1.0 / share

    def _share_per_s(self) -> float:
        return share_per_s(self.rate_per_s, self.live_entry_hosts())
