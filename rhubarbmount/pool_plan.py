"""Simulation of a maintenance wave through one pool."""

import heapq
import math
from collections import Counter
from collections.abc import Mapping

import attrs

from rhubarbmount.entries import Pool
from rhubarbmount.maintenance import choose, next_start_s

__all__ = ["PlannedHost", "PoolPlan", "PoolRun", "SharedSpares", "WaveSettings"]


@attrs.frozen(kw_only=True)
class WaveSettings:
    """Durations of a host's steps, and the cost weights that an operator sets.

    The weights are the costs of an hour of roll-out, of a buffer host that the wave
    needs, and of a move of a host between pools.
    """

    drain_s: float = 35.0
    reboot_s: float = 600.0
    warm_s: float = 30.0
    hour_weight: float = 1.0
    buffer_weight: float = 1.0
    move_weight: float = 0.05

    @property
    def host_s(self) -> float:
        """The time that a host is out of service when maintained in its pool."""
        return self.drain_s + self.reboot_s + self.warm_s

    @property
    def arrival_s(self) -> float:
        """The time from the choice of a spare until it serves in another pool."""
        return self.drain_s + self.warm_s


@attrs.frozen
class PlannedHost:
    """A host's maintenance turn; times are in seconds since the epoch."""

    host_id: str
    rack: str
    start_s: float
    end_s: float


@attrs.frozen
class PoolPlan:
    """The schedule of a wave in one pool, with ``swapped`` hosts replaced by spares.

    ``spares`` is the largest number of spares in use at once.
    """

    pool: str
    spares: int
    finish_s: float
    hosts: tuple[PlannedHost, ...]
    swapped: int = 0

    @property
    def moves(self) -> int:
        """The number of moves: one out and one in for each swapped host."""
        return 2 * self.swapped


@attrs.frozen
class SharedSpares:
    """Spares shared by the pools of a wave, from a pool with its own windows.

    Only the pools in ``limit_by_pool`` take spares, at most that many at once; with
    None, no pool has a limit of its own.
    """

    count: int = 0
    source: Pool | None = None
    limit_by_pool: Mapping[str, int] | None = None

    def limit(self, pool: str) -> int:
        """Return how many spares a pool may have at once."""
        if self.limit_by_pool is None:
            return self.count
        return self.limit_by_pool.get(pool, 0)

    def maintained_s(self, now_s: float, settings: WaveSettings) -> float:
        """Return the end of maintenance of a host that enters the spares pool now.

        Infinite if the spares pool has no further maintenance window.
        """
        opens_s: float | None = now_s
        if self.source is not None:
            opens_s = next_start_s(self.source, now_s, settings.host_s)
        return math.inf if opens_s is None else opens_s + settings.host_s


@attrs.define
class PoolRun:
    """Discrete-event simulation of a wave in one pool.

    A host maintained in its pool occupies a slot for its whole turn, a swapped host
    only until it has moved out. ``running`` is a heap of the time at which each
    occupied slot becomes free, with its rack; ``spare_ready_s`` holds the times from
    which each spare serves in the pool.
    """

    pool: Pool
    waiting: dict[str, list[str]]
    settings: WaveSettings
    slots: int
    spares: SharedSpares = attrs.field(factory=SharedSpares)
    left: int = attrs.field(init=False)
    swapped: int = 0
    spares_at_once: int = 0
    running: list[tuple[float, str]] = attrs.field(factory=list)
    racks: Counter[str] = attrs.field(factory=Counter)
    spare_ready_s: list[float] = attrs.field(factory=list)
    planned: list[PlannedHost] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        self.left = sum(map(len, self.waiting.values()))

    @property
    def turns_to_spare(self) -> float:
        """The number of turns that one more spare could save; 0 if none."""
        spares_here = len(self.spare_ready_s)
        if spares_here >= self.spares.limit(self.pool.name):
            return 0.0
        hosts = self.left - spares_here - self.slots
        return max(0.0, hosts / self.slots) if self.slots else 0.0

    def bring_spare(self, ready_s: float) -> None:
        """Add a spare that serves in the pool from ``ready_s`` on."""
        self.spare_ready_s.append(ready_s)
        self.spares_at_once = max(self.spares_at_once, len(self.spare_ready_s))

    def act(self, now_s: float) -> list[float]:
        """Start the turns that may begin; return when each swapped host's turn ends."""
        while self.running and self.running[0][0] <= now_s:
            _, rack = heapq.heappop(self.running)
            self.racks[rack] -= 1
            if not self.racks[rack]:
                del self.racks[rack]
        opens_s = next_start_s(self.pool, now_s, self.settings.host_s)
        if opens_s is None or opens_s > now_s:
            return []
        free = self.slots - len(self.running)
        ready = sum(ready_s <= now_s for ready_s in self.spare_ready_s)
        swaps = min(free, ready, max(0, self.left - self.slots))
        if swaps:
            return self._swap(swaps, now_s)
        if self.left <= self.slots or not self.spare_ready_s:
            host_s = self.settings.host_s
            self._start_turns(free, now_s, host_s, now_s + host_s)
        return []

    def next_s(self, now_s: float) -> float | None:
        """Return the time of the next event, or None if there is none."""
        if not self.left:
            return None
        opens_s = next_start_s(self.pool, now_s, self.settings.host_s)
        if opens_s is None:
            return None
        times = [opens_s, *self.spare_ready_s]
        times.extend(end_s for end_s, _ in self.running[:1])
        return min((time_s for time_s in times if time_s > now_s), default=None)

    def plan(self, start_s: float) -> PoolPlan:
        """Return the simulated schedule as a plan."""
        finish_s = max((turn.end_s for turn in self.planned), default=start_s)
        hosts = tuple(self.planned)
        return PoolPlan(
            self.pool.name, self.spares_at_once, finish_s, hosts, self.swapped
        )

    def _swap(self, count: int, now_s: float) -> list[float]:
        arrived_s = now_s + self.settings.arrival_s
        done_s = self.spares.maintained_s(arrived_s, self.settings)
        taken = self._start_turns(count, now_s, self.settings.drain_s, done_s)
        for _ in range(taken):
            self.spare_ready_s.remove(min(self.spare_ready_s))
        self.swapped += taken
        return [done_s] * taken

    def _start_turns(
        self, count: int, now_s: float, slot_s: float, end_s: float
    ) -> int:
        limit = self.pool.racks_down_limit
        chosen = choose(self.waiting, self.racks, count, limit)
        for host_id, rack in chosen:
            self.waiting[rack].remove(host_id)
            if not self.waiting[rack]:
                del self.waiting[rack]
            self.left -= 1
            self.racks[rack] += 1
            heapq.heappush(self.running, (now_s + slot_s, rack))
            self.planned.append(PlannedHost(host_id, rack, now_s, end_s))
        return len(chosen)
