"""How much work arrives for each pool; free of I/O."""

import math

import attrs

from rhubarbmount.batch.model import JobSpec

__all__ = ["DemandMeter", "work_core_s"]

MEMORY_S = 1.0


@attrs.define
class _Decayed:
    amount: float = 0.0
    at_s: float = 0.0

    def after(self, now_s: float) -> float:
        """Return what is left of the amount."""
        return self.amount * math.exp(-max(0.0, now_s - self.at_s) / MEMORY_S)


@attrs.define(eq=False)
class DemandMeter:
    """Averages arriving work over the last second or so.

    A pool whose turn has just come is seen to need hosts before its queue is long.
    """

    _by_pool: dict[str, _Decayed] = attrs.field(factory=dict)

    def note(self, pool: str, core_s: float, now_s: float) -> None:
        """Take in work that has arrived, in core-seconds."""
        seen = self._by_pool.setdefault(pool, _Decayed())
        seen.amount = seen.after(now_s) + core_s
        seen.at_s = now_s

    def cores(self, pool: str, now_s: float) -> float:
        """Return how many cores the arriving work keeps busy."""
        seen = self._by_pool.get(pool)
        return 0.0 if seen is None else seen.after(now_s) / MEMORY_S


def work_core_s(spec: JobSpec) -> float:
    """Return the estimated work of a job's steps that end, in core-seconds."""
    return sum(
        step.count * step.estimate_s * step.cpu_millicores / 1000
        for step in spec.steps
        if not step.is_long_running
    )
