"""Latest start times at which a job is on time or still useful; performs no I/O."""

import math
from collections.abc import Sequence

import attrs

from rhubarbmount.batch.model import JobSpec, Queue, Step

__all__ = ["EXPIRY_FACTOR", "LatestStart", "latest_start"]

# Callers count a job as served if it ends within this many times its objective.
EXPIRY_FACTOR = 3.0
# Share of the time to spare that a job needs to be begun: one begun at the last moment
# is late if anything takes longer than expected.
RESERVE_SHARE = 0.15


@attrs.frozen
class LatestStart:
    """Latest start times for the rest of a job, in seconds since the epoch.

    A job that ends within its objective is on time. A late job is still useful until
    it has taken ``EXPIRY_FACTOR`` times its objective. One that has not begun should
    start ``reserve_s`` earlier.
    """

    on_time_s: float
    useful_s: float
    reserve_s: float = 0.0


def latest_start(
    spec: JobSpec,
    queue: Queue | None,
    step: int,
    run_times_s: Sequence[float],
    dispatch_delay_s: float = 0.0,
) -> LatestStart:
    """Return the latest start times of a step; without a queue it is due at once.

    ``run_times_s`` holds the expected run time of a task of each step, and each takes
    ``dispatch_delay_s`` longer until its end is known.
    """
    if queue is None:
        return LatestStart(spec.accepted_s, spec.accepted_s)
    whole_s = _critical_path_s(spec.steps, 0, run_times_s)
    objective_s = queue.slack_factor * whole_s + queue.latency_objective_s
    rest_s = _critical_path_s(
        spec.steps, step, [run_time_s + dispatch_delay_s for run_time_s in run_times_s]
    )
    return LatestStart(
        on_time_s=spec.accepted_s + objective_s - rest_s,
        useful_s=spec.accepted_s + EXPIRY_FACTOR * objective_s - rest_s,
        reserve_s=RESERVE_SHARE * max(0.0, objective_s - whole_s),
    )


def _critical_path_s(
    steps: tuple[Step, ...], first: int, run_times_s: Sequence[float]
) -> float:
    """Return the expected time of the longest chain among the steps from ``first``."""
    longest: dict[int, float] = {}
    for index in range(first, len(steps)):
        predecessors_s = [longest[i] for i in steps[index].after if i in longest]
        longest[index] = max(predecessors_s, default=0.0) + run_times_s[index]
    return max(longest.values(), default=math.inf)
