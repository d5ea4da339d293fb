"""Chooses steps for runs that show whether a server lists ends; performs no I/O.

Such a run is stopped as soon as it has begun. Its end tells nothing of the task, which
begins again whether or not that end is ever listed.
"""

from collections.abc import Iterable

import attrs

from rhubarbmount.batch.model import Step
from rhubarbmount.batch.shard_jobs import StepKey

__all__ = ["TrialStep", "order_for_trials"]

# A run that is expected to take this long is stopped before it can be done.
MIN_RUN_S = 1.0


@attrs.frozen
class TrialStep:
    """A step with waiting tasks, which is placed after ``urgency_rank`` others."""

    key: StepKey
    step: Step
    expected_s: float
    urgency_rank: int
    has_suspects: bool = False

    @property
    def _order(self) -> tuple[bool, bool, float, int]:
        is_safe = self.step.is_speculative or self.expected_s >= MIN_RUN_S
        # Of runs that may be done before they are stopped, the longest is least so.
        risk = 0.0 if is_safe else -self.expected_s
        return self.has_suspects, not is_safe, risk, -self.urgency_rank


def order_for_trials(steps: Iterable[TrialStep]) -> list[TrialStep]:
    """Return the steps whose tasks may be tried, the one to lose least by it first."""
    usable = (
        item
        for item in steps
        if not item.step.is_long_running and not item.step.is_gang
    )
    return sorted(usable, key=lambda item: item._order)
