"""Expected run times, learned from what runs of the same kind took; performs no I/O.

Callers declare a run time with each step, which may be wrong by several times, too low
as well as too high. Answers the pattern of queues whose declarations mislead.
"""

import math
from collections import deque
from typing import NamedTuple

import attrs

from rhubarbmount.batch.model import JobSpec, QueueName

__all__ = ["RunKind", "RunTime", "RunTimes", "kind_of"]

SAMPLE_COUNT = 64
MIN_RUN_TIME_S = 0.001
# The declaration counts like this many observed steps that took what was declared,
# spread around the others so that a single one does not turn the line.
PRIOR_WEIGHT = 4.0
PRIOR_OFFSET = 0.7
# Standard deviation of the logarithm of a run time before any step has been observed.
PRIOR_SPREAD = 0.6


class RunKind(NamedTuple):
    """Runs expected to take similar times: those at one position in jobs of a queue."""

    queue: QueueName
    step: int


def kind_of(spec: JobSpec, step: int) -> RunKind:
    """Return the kind of the runs of a step."""
    return RunKind(spec.queue, step)


@attrs.frozen
class RunTime:
    """Expected run time and the standard deviation of its natural logarithm."""

    expected_s: float
    spread: float = PRIOR_SPREAD

    def upper_s(self, deviations: float) -> float:
        """Return the time that so many standard deviations above expected mean."""
        return self.expected_s * math.exp(deviations * self.spread)


@attrs.frozen
class _Line:
    """Logarithm of the run time as a linear function of that of the declared time."""

    declared: float
    taken: float
    slope: float
    spread: float

    def estimate(self, declared_s: float) -> RunTime:
        offset = math.log(max(declared_s, MIN_RUN_TIME_S)) - self.declared
        return RunTime(math.exp(self.taken + self.slope * offset), self.spread)


@attrs.define(eq=False)
class _Observations:
    """Logarithms of declared and taken times of the last steps of one kind."""

    pairs: deque[tuple[float, float]] = attrs.field(
        factory=lambda: deque(maxlen=SAMPLE_COUNT)
    )
    line: _Line | None = None

    def add(self, declared_s: float, took_s: float) -> None:
        declared = math.log(max(declared_s, MIN_RUN_TIME_S))
        self.pairs.append((declared, math.log(max(took_s, MIN_RUN_TIME_S))))
        self.line = _fit(self.pairs)


def _fit(pairs: deque[tuple[float, float]]) -> _Line:
    """Fit a line by least squares, with declared times as prior observations."""
    count = len(pairs)
    declared = sum(x for x, _ in pairs) / count
    weight = count + PRIOR_WEIGHT
    taken = (sum(y for _, y in pairs) + PRIOR_WEIGHT * declared) / weight
    prior = PRIOR_WEIGHT * PRIOR_OFFSET**2
    squares = prior + sum((x - declared) ** 2 for x, _ in pairs)
    products = prior + sum((x - declared) * (y - taken) for x, y in pairs)
    slope = products / squares
    residuals = sum((y - taken - slope * (x - declared)) ** 2 for x, y in pairs)
    spread = math.sqrt((residuals + PRIOR_WEIGHT * PRIOR_SPREAD**2) / weight)
    return _Line(declared, taken, slope, spread)


@attrs.define(eq=False)
class RunTimes:
    """Learns how declared times relate to the times that runs take, for each kind.

    Where declarations tell nothing, the estimate is what runs of the kind usually take.
    """

    _observations_by_kind: dict[RunKind, _Observations] = attrs.field(factory=dict)

    def observe(self, kind: RunKind, declared_s: float, took_s: float) -> None:
        """Record the time that a typical run of a step took."""
        if declared_s > 0:
            observations = self._observations_by_kind.setdefault(kind, _Observations())
            observations.add(declared_s, took_s)

    def estimate(self, kind: RunKind, declared_s: float) -> RunTime:
        """Return the expected run time; 0 s if none is declared."""
        observations = self._observations_by_kind.get(kind)
        if declared_s <= 0 or observations is None or observations.line is None:
            return RunTime(declared_s)
        return observations.line.estimate(declared_s)
