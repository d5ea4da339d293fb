"""Progress of a run as its backend server reported it; performs no I/O."""

import attrs

__all__ = ["RunProgress"]

# The share of a run that must be done before its total time can be projected.
MIN_PERCENT_FOR_PROJECTION = 3


@attrs.define
class RunProgress:
    """Percentages of a run, with times on the clock of its backend server.

    Times on that clock do not depend on how late this host reads a response.
    ``is_whole`` is false for a run that resumed from a checkpoint or was first seen
    under way, so that its time does not tell what the whole task takes.
    """

    is_whole: bool = True
    started_ms: int = 0
    started_percent: int = 0
    percent: int = 0
    read_ms: int = 0
    changed_ms: int = 0

    def start(self, clock_ms: int) -> None:
        """Record that the run had started by ``clock_ms``."""
        if not self.started_ms or clock_ms < self.started_ms:
            self.started_ms = clock_ms
            self.started_percent = 0
            self.changed_ms = max(self.changed_ms, clock_ms)
            self.read_ms = max(self.read_ms, clock_ms)

    def report(self, percent: int, clock_ms: int) -> None:
        """Record a reported percentage; ignore a report behind the last."""
        if not self.started_ms:
            self.start(clock_ms)
            self.started_percent = percent
            self.is_whole = self.is_whole and not percent
        if clock_ms < self.read_ms:
            return
        if percent != self.percent:
            self.percent = percent
            self.changed_ms = clock_ms
        self.read_ms = clock_ms

    @property
    def elapsed_s(self) -> float:
        """Return the time from the start to the last report."""
        return (self.read_ms - self.started_ms) / 1000

    @property
    def unchanged_s(self) -> float:
        """Return how long the percentage had not changed at the last report."""
        return (self.read_ms - self.changed_ms) / 1000

    @property
    def projected_s(self) -> float | None:
        """Return the total time at the speed so far, or None if it is too early."""
        done_percent = self.percent - self.started_percent
        if done_percent < MIN_PERCENT_FOR_PROJECTION:
            return None
        return self.elapsed_s * 100 / done_percent

    def remaining_s(self, projected_s: float) -> float:
        """Return the time left of a run that takes ``projected_s`` in total."""
        return projected_s * (100 - self.percent) / 100
