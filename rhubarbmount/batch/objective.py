"""When the rest of a job must begin to be of use; free of I/O."""

import math

import attrs

from rhubarbmount.batch.model import JobSpec, Queue, Step

__all__ = ["LATE_FACTOR", "LatestBegin", "latest_begin"]

# Callers count a job as served up to this many times its objective.
LATE_FACTOR = 3.0


@attrs.frozen
class LatestBegin:
    """When the rest of a job must begin, as times of day.

    A job that ends within its objective is in time. Late, it is of use until it has
    taken several times its objective.
    """

    in_time_s: float
    of_use_s: float


def latest_begin(spec: JobSpec, queue: Queue | None, step: int) -> LatestBegin:
    """Return when a step must begin; without a queue it is due at once."""
    if queue is None:
        return LatestBegin(spec.accepted_s, spec.accepted_s)
    objective_s = (
        queue.slack_factor * _chain_s(spec.steps, 0) + queue.latency_objective_s
    )
    rest_s = _chain_s(spec.steps, step)
    return LatestBegin(
        in_time_s=spec.accepted_s + objective_s - rest_s,
        of_use_s=spec.accepted_s + LATE_FACTOR * objective_s - rest_s,
    )


def _chain_s(steps: tuple[Step, ...], first: int) -> float:
    """Return the estimate of the longest chain that begins at a step or after it."""
    longest: dict[int, float] = {}
    for at in range(first, len(steps)):
        before = [longest[i] for i in steps[at].after if i in longest]
        longest[at] = max(before, default=0.0) + steps[at].estimate_s
    return max(longest.values(), default=math.inf)
