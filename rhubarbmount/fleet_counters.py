"""Counters of the fleet duties of one entry host, for its metrics."""

from collections import Counter

import attrs

__all__ = ["FleetCounters"]


@attrs.define
class FleetCounters:
    """Counts since the start of the program; only a duty's holder adds to its counts.

    ``open_waves_by_control`` is the last reading by the holder of the waves duty.
    """

    moves_by_pool: Counter[str] = attrs.field(factory=Counter)
    quarantines_by_pool: Counter[str] = attrs.field(factory=Counter)
    held_by_code: Counter[str] = attrs.field(factory=Counter)
    open_waves_by_control: Counter[str] = attrs.field(factory=Counter)
    plans: int = 0
    plan_s: float = 0.0

    def add_plan(self, spent_s: float) -> None:
        """Count a wave plan and the time that it took."""
        self.plans += 1
        self.plan_s += spent_s
