"""Capacity to keep free for urgent jobs, estimated from their arrivals."""

from collections import deque

import attrs

from rhubarbmount.resources import NO_RESOURCES, Resources

__all__ = ["HeadroomPolicy", "UrgentDemand"]


@attrs.frozen
class HeadroomPolicy:
    """Parameters of the headroom estimate.

    ``refill_s`` is the time it takes to restore headroom, and the length of the spans
    by which arrivals are counted; ``covered_quantile`` is the share of spans whose
    arrivals the headroom must hold.
    """

    refill_s: float = 5.0
    max_spans: int = 720
    covered_quantile: float = 0.99
    max_host_share: float = 0.1


@attrs.define
class UrgentDemand:
    """Count the arrivals of urgent jobs by span, and keeps their recent needs.

    >>> demand = UrgentDemand(HeadroomPolicy(refill_s=1.0))
    >>> for second in (0.0, 1.0, 1.5): demand.observe(Resources(0, 8, 16), second)
    >>> demand.hosts_wanted(100, 2.0), demand.headroom_wanted()
    (2, Resources(accelerators=0, processor_parts=8, memory_parts=16))
    """

    policy: HeadroomPolicy = HeadroomPolicy()
    _counts: deque[int] = attrs.field(factory=deque, init=False)
    _needs: deque[Resources] = attrs.field(
        factory=lambda: deque(maxlen=256), init=False
    )
    _span: int = attrs.field(default=0, init=False)
    _quantile_count: int | None = attrs.field(default=None, init=False)
    _headroom: Resources | None = attrs.field(default=None, init=False)

    def observe(self, need: Resources, now_s: float) -> None:
        """Count the arrival of an urgent job."""
        self._advance(now_s)
        self._counts[-1] += 1
        self._needs.append(need)
        self._quantile_count = self._headroom = None

    def hosts_wanted(self, hosts: int, now_s: float) -> int:
        """Return how many hosts must have headroom."""
        if not self._needs:
            return 0
        self._advance(now_s)
        if self._quantile_count is None:
            ordered = sorted(self._counts)
            rank = int(len(ordered) * self.policy.covered_quantile)
            self._quantile_count = ordered[min(rank, len(ordered) - 1)]
        limit = max(1, int(hosts * self.policy.max_host_share))
        return min(max(self._quantile_count, 1), limit)

    def headroom_wanted(self) -> Resources:
        """Return the need that nine in ten recent urgent jobs do not exceed."""
        if not self._needs:
            return NO_RESOURCES
        if self._headroom is None:
            dimensions = zip(*self._needs, strict=True)
            parts = [sorted(values)[int(len(values) * 0.9)] for values in dimensions]
            self._headroom = Resources(*parts)
        return self._headroom

    def _advance(self, now_s: float) -> None:
        span = int(now_s / self.policy.refill_s)
        if not self._counts:
            self._span = span
            self._counts.append(0)
        missed = min(span - self._span, self.policy.max_spans)
        if missed > 0:
            self._quantile_count = None
        for _ in range(missed):
            self._counts.append(0)
        self._span = max(span, self._span)
        while len(self._counts) > self.policy.max_spans:
            self._counts.popleft()
