"""Plans of maintenance waves, weighed by time, buffer hosts and moves."""

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping

import attrs

from rhubarbmount.entries import Pool
from rhubarbmount.errors import Finding
from rhubarbmount.hosts import Host
from rhubarbmount.maintenance import HOUR_S
from rhubarbmount.pool_plan import PoolPlan, SharedSpares, WaveSettings
from rhubarbmount.wave_play import simulate_wave

__all__ = ["SparesOffer", "WavePlan", "hosts_by_pool", "plan_with_spares", "plan_wave"]

MAX_EXHAUSTIVE_TURNS = 4000
MAX_CONSECUTIVE_SPARES = 4


@attrs.frozen
class WavePlan:
    """How a wave runs through all its pools, and what can't be planned."""

    start_s: float
    by_pool: Mapping[str, PoolPlan]
    findings: tuple[Finding, ...] = ()
    spares: int = 0

    @property
    def roll_out_s(self) -> float:
        """Return the time until the last host is done."""
        return max((plan.finish_s for plan in self.by_pool.values()), default=0) - (
            self.start_s if self.by_pool else 0
        )

    @property
    def buffer_hosts(self) -> int:
        """Return how many buffer hosts it takes, shared by its pools."""
        return min(self.spares, sum(plan.spares for plan in self.by_pool.values()))

    @property
    def moves(self) -> int:
        """Return how many moves it takes."""
        return sum(plan.moves for plan in self.by_pool.values())

    @property
    def spares_by_pool(self) -> dict[str, int]:
        """Return the pools that are given spares, and how many at once at most."""
        plans = self.by_pool.items()
        return {name: plan.spares for name, plan in plans if plan.spares}

    def cost(self, settings: WaveSettings) -> float:
        """Return the weighted cost."""
        return (
            settings.hour_weight * self.roll_out_s / HOUR_S
            + settings.buffer_weight * self.buffer_hosts
            + settings.move_weight * self.moves
        )


@attrs.frozen
class SparesOffer:
    """The pool that spares come from, and how many of its hosts serve there."""

    pool: Pool
    serving: int
    members: int

    @property
    def usable(self) -> int:
        """Return how many spares its budget lets be away or down at once.

        The hosts that the pool wants stay there for failures. Each spare may be in a
        rack of its own, as swapped hosts keep their racks.
        """
        wanted = self.pool.hosts_wanted
        slots = self.pool.hosts_down_limit - max(0, wanted - self.members)
        spare = self.serving - wanted
        return max(0, min(spare, slots, self.pool.racks_down_limit))


def plan_wave(
    pools: Iterable[Pool],
    due: Iterable[Host],
    start_s: float,
    settings: WaveSettings,
    spares: SparesOffer | None = None,
) -> WavePlan:
    """Plan a wave, with the spares that make its weighted cost least."""
    hosts = hosts_by_pool(due)
    wanted = sorted((pool for pool in pools if pool.name in hosts), key=_pool_name)
    waiting = sum(map(len, hosts.values()))
    source = spares.pool if spares else None
    planner = _Planner(wanted, hosts, start_s, settings, SharedSpares(source=source))
    max_spares = min(spares.usable, waiting) if spares else 0
    if not planner.has_window:
        max_spares = 0
    plan_by_spares: dict[int, WavePlan] = {}

    def cost(count: int) -> float:
        if count not in plan_by_spares:
            plan_by_spares[count] = planner.plan(count)
        return plan_by_spares[count].cost(settings)

    if max_spares * waiting <= MAX_EXHAUSTIVE_TURNS:
        return plan_by_spares[min(range(max_spares + 1), key=cost)]
    best = min(_initial_spare_counts(max_spares), key=cost)
    step = max(1, best // 2)
    while step:
        candidates = {best, max(0, best - step), min(max_spares, best + step)}
        best = min(sorted(candidates), key=cost)
        step //= 2
    return plan_by_spares[best]


@attrs.define
class _Planner:
    """Plans of one wave with different numbers of spares."""

    pools: list[Pool]
    hosts: Mapping[str, list[Host]]
    start_s: float
    settings: WaveSettings
    spares: SharedSpares
    slots: int | None = None
    _in_place: WavePlan | None = None

    @property
    def has_window(self) -> bool:
        """Tell whether spares can ever be maintained in their pool."""
        return self.spares.maintained_s(self.start_s, self.settings) < math.inf

    def plan(self, count: int) -> WavePlan:
        """Plan with this many spares, for the pools that need them to end in time.

        Pools that end as early in place take none.
        """
        limit_by_pool = self.spares.limit_by_pool
        plan = self._simulate(count, limit_by_pool) if count else self.in_place
        while plan.moves:
            late = self._late_without_spares(plan)
            if plan.spares_by_pool.keys() <= late:
                return plan
            if not late:
                return self.in_place
            tighter = self._simulate(count, self._spares_limits(late, count))
            if tighter.roll_out_s > plan.roll_out_s:
                return plan
            plan = tighter
        return plan

    def _spares_limits(self, pools: Iterable[str], count: int) -> dict[str, int]:
        shared = attrs.evolve(self.spares, count=count)
        return {name: shared.limit(name) for name in pools}

    @property
    def in_place(self) -> WavePlan:
        """Return the plan without spares."""
        if self._in_place is None:
            self._in_place = self._simulate(0, None)
        return self._in_place

    def _late_without_spares(self, plan: WavePlan) -> set[str]:
        """Return the pools that would end after the plan if they took no spares."""
        end_s = plan.start_s + plan.roll_out_s
        by_pool = self.in_place.by_pool
        return {name for name, pool in by_pool.items() if pool.finish_s > end_s}

    def _simulate(
        self, count: int, limit_by_pool: Mapping[str, int] | None
    ) -> WavePlan:
        spares = attrs.evolve(self.spares, count=count, limit_by_pool=limit_by_pool)
        by_pool, unplannable = simulate_wave(
            self.pools, self.hosts, self.start_s, self.settings, spares, self.slots
        )
        message = "no budget or no window long enough for one host"
        findings = [
            Finding(f"pool/{name}", "never-possible", message) for name in unplannable
        ]
        return WavePlan(self.start_s, by_pool, tuple(findings), count)


def _initial_spare_counts(max_spares: int) -> list[int]:
    """Return the numbers of spares to look at first: small ones, then each twice."""
    counts = list(range(min(max_spares, MAX_CONSECUTIVE_SPARES) + 1))
    while counts[-1] < max_spares:
        counts.append(min(max_spares, 2 * counts[-1]))
    return counts


def plan_with_spares(
    pools: Iterable[Pool],
    hosts: Mapping[str, list[Host]],
    start_s: float,
    settings: WaveSettings,
    slots: int | None = None,
    spares: int = 0,
    spares_pool: Pool | None = None,
    limit_by_pool: Mapping[str, int] | None = None,
) -> WavePlan:
    """Plan a wave with this many spares, if they shorten it.

    What can never be done is a finding.
    """
    shared = SharedSpares(source=spares_pool, limit_by_pool=limit_by_pool)
    planner = _Planner(list(pools), hosts, start_s, settings, shared, slots)
    return planner.plan(spares)


def _pool_name(pool: Pool) -> str:
    return pool.name


def hosts_by_pool(due: Iterable[Host]) -> dict[str, list[Host]]:
    """Return the hosts of each pool."""
    hosts: dict[str, list[Host]] = defaultdict(list)
    for host in due:
        hosts[host.pool].append(host)
    return hosts
