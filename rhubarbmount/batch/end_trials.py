"""Chooses steps for runs that show whether a server lists ends; performs no I/O.

Such a run is stopped as soon as it has begun. Its end tells nothing of the task, which
begins again whether or not that end is ever listed. A run that is done before it is
stopped would begin again all the same, if its end is forgotten.
"""

from collections.abc import Iterable

import attrs

from rhubarbmount.batch.model import Step
from rhubarbmount.batch.shard_jobs import StepKey

__all__ = ["TrialStep", "order_for_trials"]

# A run that is expected to take this long is stopped before it can be done.
SAFE_RUN_S = 1.0


@attrs.frozen
class TrialStep:
    """A step with waiting tasks, which is placed after ``urgency_rank`` others."""

    key: StepKey
    step: Step
    expected_s: float
    urgency_rank: int
    has_suspects: bool = False

    @property
    def is_safe(self) -> bool:
        """Return whether no harm comes of a run whose end is forgotten."""
        if self.has_suspects:
            return False
        return self.step.is_speculative or self.expected_s >= SAFE_RUN_S

    @property
    def order(self) -> tuple[bool, float, int]:
        """Return a sort key for trials; the step to lose least by it is the smallest.

        Of runs that may be done before they are stopped, the longest is least so.
        """
        risk = 0.0 if self.is_safe else -self.expected_s
        return self.has_suspects, risk, -self.urgency_rank


def order_for_trials(steps: Iterable[TrialStep], are_safe: bool) -> list[TrialStep]:
    """Return the steps whose tasks may be tried, safely or not, the best one first."""
    usable = (
        item
        for item in steps
        if item.is_safe is are_safe
        and not item.step.is_long_running
        and not item.step.is_gang
    )
    return sorted(usable, key=lambda item: item.order)
