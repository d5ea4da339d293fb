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
    def swap_s(self) -> float:
        """Return the time from a spare's arrival in a pool until it is free again.

        The host it replaces moves to the buffer, is maintained there, and is the
        next spare.
        """
        return 3 * self.drain_s + 3 * self.warm_s + self.reboot_s


@attrs.frozen
class PlannedHost:
    """A host's turn; times are seconds since the epoch."""

    host_id: str
    rack: str
    start_s: float
    end_s: float


@attrs.frozen
class PoolPlan:
    """How a wave runs through one pool."""

    pool: str
    spares: int
    finish_s: float
    hosts: tuple[PlannedHost, ...]

    @property
    def moves(self) -> int:
        """Return the moves it needs: one out and one in for each swapped host."""
        return 2 * len(self.hosts) if self.spares else 0


@attrs.define
class _PoolRun:
    """A wave played through one pool, from event to event.

    Without spares, a host holds its slot for its whole turn; with spares, only until
    it has moved out, and its spare is taken for the length of a swap; the spares
    are maintained before all others.
    """

    pool: Pool
    waiting: dict[str, list[str]]
    now_s: float
    slot_s: float
    turn_s: float
    slots: int
    spare_free_s: list[float]
    running: list[tuple[float, str]] = attrs.field(factory=list)
    racks: Counter[str] = attrs.field(factory=Counter)
    planned: list[PlannedHost] = attrs.field(factory=list)

    def play(self) -> bool:
        """Start every host; tell whether that was possible."""
        while any(self.waiting.values()):
            opens_s = next_start_s(self.pool, self.now_s, self.slot_s)
            if opens_s is None:
                return False
            if opens_s <= self.now_s:
                self._start()
            next_s = self._next_s(opens_s)
            if next_s is None:
                return not any(self.waiting.values())
            self.now_s = next_s
            self._end()
        return True

    def _start(self) -> None:
        free = self.slots - len(self.running)
        if self.spare_free_s:
            spares = sum(free_s <= self.now_s for free_s in self.spare_free_s)
            free = min(free, spares)
        used = [rack for rack, count in self.racks.items() if count]
        limit = self.pool.racks_down_limit
        for host_id, rack in choose(self.waiting, used, free, limit):
            self.waiting[rack].remove(host_id)
            self.racks[rack] += 1
            heapq.heappush(self.running, (self.now_s + self.slot_s, rack))
            end_s = self.now_s + self.turn_s
            self.planned.append(PlannedHost(host_id, rack, self.now_s, end_s))
            if self.spare_free_s:
                heapq.heapreplace(self.spare_free_s, end_s)

    def _next_s(self, opens_s: float) -> float | None:
        times = [opens_s, *(end_s for end_s, _ in self.running[:1])]
        times.extend(self.spare_free_s[:1])
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
    run = _PoolRun(
        pool=pool,
        waiting=by_rack(due),
        now_s=start_s,
        slot_s=settings.drain_s if spares else settings.host_s,
        turn_s=settings.swap_s if spares else settings.host_s,
        slots=pool.hosts_down_limit if slots is None else slots,
        spare_free_s=[start_s + settings.host_s] * spares,
    )
    if not run.play():
        return None
    finish_s = max((turn.end_s for turn in run.planned), default=start_s)
    return PoolPlan(pool.name, spares, finish_s, tuple(run.planned))
