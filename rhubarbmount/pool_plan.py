"""How a maintenance wave runs through one pool."""

import heapq
from collections import Counter
from collections.abc import Iterable

import attrs

from rhubarbmount.entries import Pool
from rhubarbmount.hosts import Host
from rhubarbmount.maintenance import by_rack, choose, next_start_s

__all__ = ["PlannedHost", "PoolPlan", "WaveSettings", "plan_pool"]


@attrs.frozen(kw_only=True)
class WaveSettings:
    """How long a host's steps take, and what an operator weighs.

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
        """Return the time a host is out of service when maintained in its pool."""
        return self.drain_s + self.reboot_s + self.warm_s

    @property
    def arrival_s(self) -> float:
        """Return the time from a spare's choice until it serves in another pool."""
        return self.drain_s + self.warm_s

    @property
    def away_s(self) -> float:
        """Return the time from a swapped host's choice until it is maintained."""
        return self.arrival_s + self.host_s


@attrs.frozen
class PlannedHost:
    """A host's turn; times are seconds since the epoch."""

    host_id: str
    rack: str
    start_s: float
    end_s: float


@attrs.frozen
class PoolPlan:
    """How a wave runs through one pool; some of its hosts are swapped for spares."""

    pool: str
    spares: int
    finish_s: float
    hosts: tuple[PlannedHost, ...]
    swapped: int = 0

    @property
    def moves(self) -> int:
        """Return the moves it needs: one out and one in for each swapped host."""
        return 2 * self.swapped


@attrs.define
class _PoolRun:
    """A wave played through one pool, from event to event.

    A host maintained in its pool holds its slot for its whole turn, one that is
    swapped only until it has moved out. Spares are maintained first, and so are the
    hosts that they replaced, before they are spares in turn.
    """

    pool: Pool
    waiting: dict[str, list[str]]
    now_s: float
    settings: WaveSettings
    slots: int
    spare_ready_s: list[float]
    left: int = attrs.field(init=False)
    swapped: int = 0
    running: list[tuple[float, str]] = attrs.field(factory=list)
    racks: Counter[str] = attrs.field(factory=Counter)
    planned: list[PlannedHost] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        self.left = sum(map(len, self.waiting.values()))

    def play(self) -> bool:
        """Start every host; tell whether that was possible."""
        while self.left:
            opens_s = next_start_s(self.pool, self.now_s, self.settings.host_s)
            if opens_s is None:
                return False
            if opens_s <= self.now_s:
                self._start()
            next_s = self._next_s(opens_s)
            if next_s is None:
                return not self.left
            self.now_s = next_s
            self._end()
        return True

    def _start(self) -> None:
        """Swap hosts while spares are there; else maintain some in the pool."""
        free = self.slots - len(self.running)
        ready = sum(ready_s <= self.now_s for ready_s in self.spare_ready_s)
        swaps = min(free, ready, max(0, self.left - self.slots))
        if swaps:
            self._swap(swaps)
        elif self.left <= self.slots or not self._spare_is_coming():
            self._maintain(free)

    def _spare_is_coming(self) -> bool:
        soon_s = self.now_s + self.settings.arrival_s
        return any(ready_s <= soon_s for ready_s in self.spare_ready_s[:1])

    def _swap(self, count: int) -> None:
        done_s = self.now_s + self.settings.away_s
        for _ in self._take(count, self.settings.drain_s, done_s):
            ready_s = done_s + self.settings.arrival_s
            heapq.heapreplace(self.spare_ready_s, ready_s)
            self.swapped += 1

    def _maintain(self, count: int) -> None:
        host_s = self.settings.host_s
        self._take(count, host_s, self.now_s + host_s)

    def _take(self, count: int, slot_s: float, end_s: float) -> list[tuple[str, str]]:
        used = [rack for rack, hosts in self.racks.items() if hosts]
        limit = self.pool.racks_down_limit
        chosen = choose(self.waiting, used, count, limit)
        for host_id, rack in chosen:
            self.waiting[rack].remove(host_id)
            self.left -= 1
            self.racks[rack] += 1
            heapq.heappush(self.running, (self.now_s + slot_s, rack))
            self.planned.append(PlannedHost(host_id, rack, self.now_s, end_s))
        return chosen

    def _next_s(self, opens_s: float) -> float | None:
        times = [opens_s, *(end_s for end_s, _ in self.running[:1])]
        times.extend(ready_s for ready_s in self.spare_ready_s)
        return min((time_s for time_s in times if time_s > self.now_s), default=None)

    def _end(self) -> None:
        while self.running and self.running[0][0] <= self.now_s:
            _, rack = heapq.heappop(self.running)
            self.racks[rack] -= 1


def plan_pool(
    pool: Pool,
    due: Iterable[Host],
    start_s: float,
    settings: WaveSettings,
    spares: int = 0,
    slots: int | None = None,
) -> PoolPlan | None:
    """Play a wave through one pool, or return None if it could never be done."""
    ready_s = start_s + settings.host_s + settings.arrival_s
    run = _PoolRun(
        pool=pool,
        waiting=by_rack(due),
        now_s=start_s,
        settings=settings,
        slots=pool.hosts_down_limit if slots is None else slots,
        spare_ready_s=[ready_s] * spares,
    )
    if not run.play():
        return None
    finish_s = max((turn.end_s for turn in run.planned), default=start_s)
    return PoolPlan(pool.name, spares, finish_s, tuple(run.planned), run.swapped)
