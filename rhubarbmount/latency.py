"""Mean latency over time."""

import attrs

__all__ = ["MeanLatency"]

MEAN_PERIOD_S = 10.0


@attrs.define
class MeanLatency:
    """A mean whose weights fall with time, so that bursts count by their length.

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
        """Take in one latency."""
        self.count += 1
        age_s = now_s - self.updated_s if self.count > 1 else 0.0
        weight = min(max(age_s / MEAN_PERIOD_S, 1.0 / self.count), 1.0)
        self.mean_s += weight * (latency_s - self.mean_s)
        self.updated_s = now_s
