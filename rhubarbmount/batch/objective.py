"""When the rest of a job must begin to be of use; free of I/O."""

import math

import attrs

from rhubarbmount.batch.model import JobSpec, Queue, Step

__all__ = ["EXPIRY_FACTOR", "LatestStart", "latest_start"]

# Callers count a job as served up to this many times its objective.
EXPIRY_FACTOR = 3.0


@attrs.frozen
class LatestStart:
    """When the rest of a job must begin, as times of day.

    A job that ends within its objective is in time. Late, it is of use until it has
    taken several times its objective.
    """

    on_time_s: float
    useful_s: float


def latest_start(spec: JobSpec, queue: Queue | None, step: int) -> LatestStart:
    """Return when a step must begin; without a queue it is due at once."""
    if queue is None:
        return LatestStart(spec.accepted_s, spec.accepted_s)
    objective_s = (
        queue.slack_factor * _critical_path_s(spec.steps, 0) + queue.latency_objective_s
    )
    rest_s = _critical_path_s(spec.steps, step)
    return LatestStart(
        on_time_s=spec.accepted_s + objective_s - rest_s,
        useful_s=spec.accepted_s + EXPIRY_FACTOR * objective_s - rest_s,
    )


def _critical_path_s(steps: tuple[Step, ...], first: int) -> float:
    """Return the estimate of the longest chain that begins at a step or after it."""
    longest: dict[int, float] = {}
    for index in range(first, len(steps)):
        predecessors_s = [longest[i] for i in steps[index].after if i in longest]
        longest[index] = max(predecessors_s, default=0.0) + steps[index].estimate_s
    return max(longest.values(), default=math.inf)
