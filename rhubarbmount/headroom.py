"""The room to keep free for urgent jobs, learned from how they arrive."""

from collections import deque

import attrs

from rhubarbmount.resources import NO_RESOURCES, Resources

__all__ = ["HeadroomRule", "UrgentDemand"]


@attrs.frozen
class HeadroomRule:
    """How far headroom follows demand.

    ``refill_s`` is how long it takes to clear room again; ``share_covered`` is the
    share of such spans whose arrivals the headroom is to hold.
    """

    refill_s: float = 5.0
    spans_kept: int = 720
    share_covered: float = 0.99
    hosts_share_limit: float = 0.1


@attrs.define
class UrgentDemand:
    """Count urgent arrivals by span, and remember what they ask for.

    >>> demand = UrgentDemand(HeadroomRule(refill_s=1.0))
    >>> for second in (0.0, 1.0, 1.5): demand.observe(Resources(0, 8, 16), second)
    >>> demand.hosts_wanted(100, 2.0), demand.room_wanted()
    (2, Resources(accelerators=0, processor_parts=8, memory_parts=16))
    """

    rule: HeadroomRule = HeadroomRule()
    _counts: deque[int] = attrs.field(factory=deque, init=False)
    _needs: deque[Resources] = attrs.field(
        factory=lambda: deque(maxlen=256), init=False
    )
    _span: int = attrs.field(default=0, init=False)
    _rank_count: int | None = attrs.field(default=None, init=False)
    _room: Resources | None = attrs.field(default=None, init=False)

    def observe(self, need: Resources, now_s: float) -> None:
        """Count one urgent job."""
        self._advance(now_s)
        self._counts[-1] += 1
        self._needs.append(need)
        self._rank_count = self._room = None

    def hosts_wanted(self, hosts: int, now_s: float) -> int:
        """Return how many hosts are to have headroom."""
        if not self._needs:
            return 0
        self._advance(now_s)
        if self._rank_count is None:
            ordered = sorted(self._counts)
            rank = int(len(ordered) * self.rule.share_covered)
            self._rank_count = ordered[min(rank, len(ordered) - 1)]
        limit = max(1, int(hosts * self.rule.hosts_share_limit))
        return min(max(self._rank_count, 1), limit)

    def room_wanted(self) -> Resources:
        """Return the room that nine in ten recent urgent jobs ask for at most."""
        if not self._needs:
            return NO_RESOURCES
        if self._room is None:
            dimensions = zip(*self._needs, strict=True)
            parts = [sorted(values)[int(len(values) * 0.9)] for values in dimensions]
            self._room = Resources(*parts)
        return self._room

    def _advance(self, now_s: float) -> None:
        span = int(now_s / self.rule.refill_s)
        if not self._counts:
            self._span = span
            self._counts.append(0)
        missed = min(span - self._span, self.rule.spans_kept)
        if missed > 0:
            self._rank_count = None
        for _ in range(missed):
            self._counts.append(0)
        self._span = max(span, self._span)
        while len(self._counts) > self.rule.spans_kept:
            self._counts.popleft()
