"""Measures the scheduling passes of a holder for its log and metrics."""

import logging

import attrs

from rhubarbmount import log
from rhubarbmount.batch.clocks import monotonic_s
from rhubarbmount.batch.metrics import BatchMetrics

__all__ = ["SchedulingMeter", "SchedulingPass"]

logger = logging.getLogger(__name__)

REPORT_PERIOD_S = 1.0


@attrs.frozen
class SchedulingPass:
    """What a pass has started, and what still waits after it.

    Late starts are those of steps whose latest start had passed, of which
    ``dispatch_delay_s`` had been taken off for each step.
    """

    starts: int
    late_starts: int
    waiting_steps: int
    waiting_tasks: int
    dispatch_delay_s: float


@attrs.define
class _Totals:
    """Sums over the passes since ``since_s``."""

    since_s: float
    passes: int = 0
    placing_s: float = 0.0
    longest_placing_s: float = 0.0
    committing_s: float = 0.0
    starts: int = 0
    late_starts: int = 0


@attrs.define(eq=False)
class SchedulingMeter:
    """Logs once a second how long passes took and how much work waits."""

    metrics: BatchMetrics
    _totals: _Totals = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._totals = _Totals(monotonic_s())

    def record_placing(self, placing_s: float) -> None:
        """Record the seconds that a placement of waiting tasks took."""
        self.metrics.placing_s.observe(placing_s)
        totals = self._totals
        totals.placing_s += placing_s
        totals.longest_placing_s = max(totals.longest_placing_s, placing_s)

    def record_pass(self, committing_s: float, done: SchedulingPass) -> None:
        """Record a pass and how long its commit took."""
        self.metrics.committing_s.observe(committing_s)
        totals = self._totals
        totals.passes += 1
        totals.committing_s += committing_s
        totals.starts += done.starts
        totals.late_starts += done.late_starts
        now_s = monotonic_s()
        if now_s >= totals.since_s + REPORT_PERIOD_S:
            if totals.starts or done.waiting_tasks:
                self._report(now_s, done)
            self._totals = _Totals(now_s)

    def _report(self, now_s: float, last: SchedulingPass) -> None:
        totals = self._totals
        log.event(
            logger,
            "scheduling",
            period_s=now_s - totals.since_s,
            passes=totals.passes,
            placing_s=totals.placing_s,
            longest_placing_s=totals.longest_placing_s,
            committing_s=totals.committing_s,
            starts=totals.starts,
            late_starts=totals.late_starts,
            dispatch_delay_s=last.dispatch_delay_s,
            waiting_steps=last.waiting_steps,
            waiting_tasks=last.waiting_tasks,
        )
