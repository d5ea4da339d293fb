"""What the fleet duties of one entry host have done, for its metrics."""

from collections import Counter

import attrs

__all__ = ["FleetCounters"]


@attrs.define
class FleetCounters:
    """Counts since the start of the program; a duty's holder alone adds to its own.

    ``open_waves_by_control`` is as the holder of the waves last read it.
    """

    moves_by_pool: Counter[str] = attrs.field(factory=Counter)
    quarantines_by_pool: Counter[str] = attrs.field(factory=Counter)
    held_by_code: Counter[str] = attrs.field(factory=Counter)
    open_waves_by_control: Counter[str] = attrs.field(factory=Counter)
    plans: int = 0
    plan_s: float = 0.0

    def add_plan(self, spent_s: float) -> None:
        """Count a plan of a wave and the time that it took."""
        self.plans += 1
        self.plan_s += spent_s
