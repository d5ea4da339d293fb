"""Discrete-event simulation of a wave over pools that share spares."""

import heapq
from collections.abc import Iterable, Mapping

import attrs

from rhubarbmount.entries import Pool
from rhubarbmount.hosts import Host
from rhubarbmount.maintenance import by_rack
from rhubarbmount.pool_plan import PoolPlan, PoolRun, SharedSpares, WaveSettings

__all__ = ["simulate_wave"]


@attrs.define
class _WaveSimulation:
    """Simulation state: the queue of pool events and of spares that become free.

    A spare that has been maintained goes to the pool where it saves most turns. Each
    pool has one current event, in ``next_s_by_index``; queued events that an earlier
    one has replaced are skipped.
    """

    runs: list[PoolRun]
    settings: WaveSettings
    spare_free_s: list[float]
    events: list[tuple[float, int]] = attrs.field(factory=list)
    next_s_by_index: dict[int, float] = attrs.field(factory=dict)
    turns_to_spare: list[tuple[float, int]] = attrs.field(factory=list)

    def run_until_idle(self, start_s: float) -> None:
        """Process events in order of time until no maintenance can begin any more."""
        for index, run in enumerate(self.runs):
            self.turns_to_spare.append((run.turns_to_spare, -index))
            self._schedule(index, start_s)
        while self.events:
            if self.spare_free_s and self.spare_free_s[0] <= self.events[0][0]:
                self._assign_spare(heapq.heappop(self.spare_free_s))
            else:
                self._process_event(*heapq.heappop(self.events))

    def _schedule(self, index: int, time_s: float) -> None:
        self.next_s_by_index[index] = time_s
        heapq.heappush(self.events, (time_s, index))

    def _assign_spare(self, now_s: float) -> None:
        turns, index = max(self.turns_to_spare)
        if not turns:
            self.spare_free_s.clear()
            return
        self.runs[-index].bring_spare(now_s + self.settings.arrival_s)
        self._update_turns_to_spare(-index)
        self._schedule(-index, now_s)

    def _update_turns_to_spare(self, index: int) -> None:
        self.turns_to_spare[index] = (self.runs[index].turns_to_spare, -index)

    def _process_event(self, now_s: float, index: int) -> None:
        if self.next_s_by_index[index] != now_s:
            return
        run = self.runs[index]
        for free_s in run.act(now_s):
            heapq.heappush(self.spare_free_s, free_s)
        self._update_turns_to_spare(index)
        next_s = run.next_s(now_s)
        if next_s is not None:
            self._schedule(index, next_s)


def simulate_wave(
    pools: Iterable[Pool],
    hosts: Mapping[str, list[Host]],
    start_s: float,
    settings: WaveSettings,
    spares: SharedSpares,
    slots: int | None = None,
) -> tuple[dict[str, PoolPlan], list[str]]:
    """Simulate a wave; return plans by pool, and the pools that can't be finished.

    ``slots`` replaces the pools' own limits of hosts down.
    """
    runs = [
        PoolRun(
            pool=pool,
            waiting=by_rack(hosts[pool.name]),
            settings=settings,
            slots=pool.hosts_down_limit if slots is None else slots,
            spares=spares,
        )
        for pool in pools
    ]
    free_s = [spares.maintained_s(start_s, settings)] * spares.count
    _WaveSimulation(runs, settings, free_s).run_until_idle(start_s)
    done = {run.pool.name: run.plan(start_s) for run in runs if not run.left}
    return done, [run.pool.name for run in runs if run.left]
