"""Plans of maintenance waves, weighed by time, buffer hosts and moves."""

import heapq
import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping

import attrs

from rhubarbmount.entries import Pool
from rhubarbmount.errors import Finding
from rhubarbmount.hosts import Host
from rhubarbmount.maintenance import HOUR_S, by_rack, choose, next_start_s

__all__ = [
    "PlannedHost",
    "PoolPlan",
    "WavePlan",
    "WaveSettings",
    "lower_bound_s",
    "plan_one_at_a_time",
    "plan_pool",
    "plan_wave",
]


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


@attrs.frozen
class WavePlan:
    """How a wave runs through all its pools, and what can't be planned."""

    start_s: float
    by_pool: Mapping[str, PoolPlan]
    findings: tuple[Finding, ...] = ()

    @property
    def roll_out_s(self) -> float:
        """Return the time until the last host is done."""
        return max((plan.finish_s for plan in self.by_pool.values()), default=0) - (
            self.start_s if self.by_pool else 0
        )

    @property
    def buffer_hosts(self) -> int:
        """Return how many buffer hosts it takes."""
        return sum(plan.spares for plan in self.by_pool.values())

    @property
    def moves(self) -> int:
        """Return how many moves it takes."""
        return sum(plan.moves for plan in self.by_pool.values())

    @property
    def spares_by_pool(self) -> dict[str, int]:
        """Return the pools that are given spares, and how many."""
        plans = self.by_pool.items()
        return {name: plan.spares for name, plan in plans if plan.spares}

    def cost(self, settings: WaveSettings) -> float:
        """Return the weighted cost."""
        return (
            settings.hour_weight * self.roll_out_s / HOUR_S
            + settings.buffer_weight * self.buffer_hosts
            + settings.move_weight * self.moves
        )


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


def plan_wave(
    pools: Iterable[Pool],
    due: Iterable[Host],
    start_s: float,
    settings: WaveSettings,
    spares_free: int = 0,
) -> WavePlan:
    """Plan a wave, with the spares that make its weighted cost least."""
    hosts = _by_pool(due)
    pool_by_name = {pool.name: pool for pool in pools if pool.name in hosts}
    plan = _plan_in_place(pool_by_name, hosts, start_s, settings)
    best = plan
    while plan.by_pool:
        slowest = max(plan.by_pool.values(), key=lambda item: item.finish_s)
        pool = pool_by_name[slowest.pool]
        free = spares_free - plan.buffer_hosts + slowest.spares
        faster = _with_more_spares(
            slowest, pool, hosts[pool.name], start_s, settings, free
        )
        if faster is None:
            break
        plan = attrs.evolve(plan, by_pool={**plan.by_pool, pool.name: faster})
        best = min(best, plan, key=lambda item: item.cost(settings))
    return best


def _with_more_spares(
    slowest: PoolPlan,
    pool: Pool,
    due: Iterable[Host],
    start_s: float,
    settings: WaveSettings,
    free: int,
) -> PoolPlan | None:
    """Return a faster plan of a pool, with the least spares that make it so."""
    matching = math.floor(pool.hosts_down_limit * settings.swap_s / settings.host_s)
    for spares in range(max(slowest.spares, matching) + 1, free + 1):
        trial = plan_pool(pool, due, start_s, settings, spares)
        if trial is not None and trial.finish_s < slowest.finish_s:
            return trial
    return None


def plan_one_at_a_time(
    pools: Iterable[Pool],
    due: Iterable[Host],
    start_s: float,
    settings: WaveSettings,
) -> WavePlan:
    """Plan a wave that takes one host of each pool at a time."""
    hosts = _by_pool(due)
    pool_by_name = {pool.name: pool for pool in pools if pool.name in hosts}
    return _plan_in_place(pool_by_name, hosts, start_s, settings, slots=1)


def lower_bound_s(
    pools: Iterable[Pool],
    due: Iterable[Host],
    start_s: float,
    settings: WaveSettings,
) -> float:
    """Return the least time that budgets, racks and windows allow without spares."""
    hosts = _by_pool(due)
    longest_s = 0.0
    for pool in pools:
        now_s = start_s
        for _ in range(_rounds(pool, hosts.get(pool.name, []))):
            opens_s = next_start_s(pool, now_s, settings.host_s)
            if opens_s is None:
                return math.inf
            now_s = opens_s + settings.host_s
        longest_s = max(longest_s, now_s - start_s)
    return longest_s


def _rounds(pool: Pool, due: Iterable[Host]) -> int:
    """Return how many turns, one after another, the pool needs at least."""
    sizes = [len(host_ids) for host_ids in by_rack(due).values()]
    if not sizes:
        return 0
    by_host = math.ceil(sum(sizes) / pool.hosts_down_limit)
    rack_turns = sum(math.ceil(size / pool.hosts_down_limit) for size in sizes)
    return max(by_host, math.ceil(rack_turns / pool.racks_down_limit))


def _plan_in_place(
    pool_by_name: Mapping[str, Pool],
    hosts: Mapping[str, list[Host]],
    start_s: float,
    settings: WaveSettings,
    slots: int | None = None,
) -> WavePlan:
    by_pool = {}
    findings = []
    for name, pool in sorted(pool_by_name.items()):
        plan = plan_pool(pool, hosts[name], start_s, settings, slots=slots)
        if plan is None:
            message = "no budget or no window long enough for one host"
            findings.append(Finding(f"pool/{name}", "never-possible", message))
        else:
            by_pool[name] = plan
    return WavePlan(start_s, by_pool, tuple(findings))


def _by_pool(due: Iterable[Host]) -> dict[str, list[Host]]:
    hosts: dict[str, list[Host]] = defaultdict(list)
    for host in due:
        hosts[host.pool].append(host)
    return hosts
