"""Current and expected CPU demand of each pool; performs no I/O."""

import heapq
import math
from collections import deque
from collections.abc import Sequence

import attrs

from rhubarbmount.batch.model import JobSpec, Step

__all__ = ["DemandMeter"]

# Growth compares the arrivals of the last window with those of the one before.
GROWTH_WINDOW_S = 1.0


@attrs.define
class _PoolDemand:
    ready_cores: float = 0.0
    # Heap of when the tasks of each ready step would end if none had to wait, and
    # their cores.
    step_ends: list[tuple[float, float]] = attrs.field(factory=list)
    # Arrival times of jobs, and their work in core-seconds.
    arrivals: deque[tuple[float, float]] = attrs.field(factory=deque)


@attrs.define(eq=False)
class DemandMeter:
    """Sums the cores that ready tasks would keep busy if none had to wait.

    A large job counts only with the tasks that can run now, for as long as they take,
    so that no hosts are added early for its later steps. When the arrival rate of small
    jobs grows, the jobs expected by the time that added hosts are ready count too.
    """

    _demand_by_pool: dict[str, _PoolDemand] = attrs.field(factory=dict)

    def note_job(
        self, pool: str, spec: JobSpec, run_times_s: Sequence[float], now_s: float
    ) -> None:
        """Record the arrival of a job; ``run_times_s`` holds a run time a step."""
        work_core_s = sum(
            step.cores * run_time_s
            for step, run_time_s in zip(spec.steps, run_times_s, strict=True)
            if step.counts_towards_demand
        )
        if work_core_s:
            self._demand_of(pool).arrivals.append((now_s, work_core_s))

    def note_step(self, pool: str, step: Step, run_time_s: float, now_s: float) -> None:
        """Record a step whose tasks have become ready; each is to run so long."""
        if not step.counts_towards_demand:
            return
        demand = self._demand_of(pool)
        demand.ready_cores += step.cores
        heapq.heappush(demand.step_ends, (now_s + run_time_s, step.cores))

    def ready_cores(self, pool: str, now_s: float) -> float:
        """Return how many cores the ready tasks of a pool would keep busy."""
        demand = self._demand_of(pool)
        while demand.step_ends and demand.step_ends[0][0] <= now_s:
            demand.ready_cores -= heapq.heappop(demand.step_ends)[1]
        if not demand.step_ends:
            demand.ready_cores = 0.0
        return demand.ready_cores

    def growth_cores(self, pool: str, horizon_s: float, now_s: float) -> float:
        """Return how many more cores will be busy in ``horizon_s`` if growth goes on.

        Only growth beyond the random variation of a steady arrival rate counts. The
        result is limited to the ready cores, so that demand at most doubles, because
        delayed jobs arrive all at once and look like growth.
        """
        arrivals = self._demand_of(pool).arrivals
        while arrivals and arrivals[0][0] < now_s - 2 * GROWTH_WINDOW_S:
            arrivals.popleft()
        recent = [work for at_s, work in arrivals if at_s >= now_s - GROWTH_WINDOW_S]
        previous_count = len(arrivals) - len(recent)
        excess_count = len(recent) - previous_count - math.sqrt(len(arrivals))
        if excess_count <= 0:
            return 0.0
        work_core_s = sum(recent) / len(recent)
        growth_cores = excess_count * work_core_s * horizon_s / GROWTH_WINDOW_S**2
        return min(growth_cores, self.ready_cores(pool, now_s))

    def _demand_of(self, pool: str) -> _PoolDemand:
        return self._demand_by_pool.setdefault(pool, _PoolDemand())
