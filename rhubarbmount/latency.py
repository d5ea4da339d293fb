"""Mean latency over time, and the slowness of responses relative to it."""

from collections import defaultdict

import attrs

from rhubarbmount.backend_health import AttemptResult

__all__ = ["MeanLatency", "ServiceLatencies"]

MEAN_WINDOW_S = 10.0


@attrs.define
class MeanLatency:
    """Time-weighted moving mean, in which bursts count by their duration.

    >>> mean = MeanLatency()
    >>> mean.add(0.2, 0.0)
    >>> mean.add(0.4, 0.0)
    >>> round(mean.mean_s, 3)
    0.3
    """

    mean_s: float = 0.0
    count: int = 0
    updated_s: float = 0.0

    def add(self, latency_s: float, now_s: float) -> None:
        """Add one latency sample."""
        self.count += 1
        age_s = now_s - self.updated_s if self.count > 1 else 0.0
        weight = min(max(age_s / MEAN_WINDOW_S, 1.0 / self.count), 1.0)
        self.mean_s += weight * (latency_s - self.mean_s)
        self.updated_s = now_s


@attrs.define
class ServiceLatencies:
    """Mean latency of each service, to which its responses are compared."""

    mean_by_service: dict[str, MeanLatency] = attrs.field(
        factory=lambda: defaultdict(MeanLatency)
    )

    def mean_s(self, service: str) -> float:
        """Return the mean latency of the service's successes, 0 before the first."""
        return self.mean_by_service[service].mean_s

    def slowness(
        self,
        service: str,
        result: AttemptResult,
        latency_s: float | None,
        now_s: float,
    ) -> float | None:
        """Record an attempt's latency and return its ratio to the service's mean.

        Returns None for a failure faster than the mean, which says nothing about the
        backend server's speed, and if there is no latency or no mean yet.
        """
        if latency_s is None:
            return None
        mean = self.mean_by_service[service]
        if result is AttemptResult.SUCCESS:
            mean.add(latency_s, now_s)
        if not mean.mean_s:
            return None
        slowness = latency_s / mean.mean_s
        if result is AttemptResult.FAILURE and slowness < 1.0:
            return None
        return slowness
