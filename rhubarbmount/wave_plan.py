"""Planning of maintenance waves at the least weighted cost.

The cost weighs roll-out time, buffer hosts and moves.
"""

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
    """The schedule of a wave over all its pools.

    ``findings`` names the pools that can't be planned.
    """

    start_s: float
    by_pool: Mapping[str, PoolPlan]
    findings: tuple[Finding, ...] = ()
    spares: int = 0

    @property
    def roll_out_s(self) -> float:
        """Return the seconds from the start until the last host is done."""
        return max((plan.finish_s for plan in self.by_pool.values()), default=0) - (
            self.start_s if self.by_pool else 0
        )

    @property
    def buffer_hosts(self) -> int:
        """Return how many buffer hosts the plan needs; its pools share them."""
        return min(self.spares, sum(plan.spares for plan in self.by_pool.values()))

    @property
    def moves(self) -> int:
        """Return how many moves of hosts between pools the plan needs."""
        return sum(plan.moves for plan in self.by_pool.values())

    @property
    def spares_by_pool(self) -> dict[str, int]:
        """Return the most spares in use at once, for each pool that uses any."""
        plans = self.by_pool.items()
        return {name: plan.spares for name, plan in plans if plan.spares}

    def cost(self, settings: WaveSettings) -> float:
        """Return the cost of the plan under the weights of the settings."""
        return (
            settings.hour_weight * self.roll_out_s / HOUR_S
            + settings.buffer_weight * self.buffer_hosts
            + settings.move_weight * self.moves
        )


@attrs.frozen
class SparesOffer:
    """The pool that provides spares.

    ``serving`` counts its hosts in service, ``members`` all its hosts.
    """

    pool: Pool
    serving: int
    members: int

    @property
    def usable(self) -> int:
        """Return how many spares may be away or down at once under the pool's budget.

        The pool keeps ``hosts_wanted`` hosts as a reserve for failures. In the worst
        case each spare is in a different rack, since swapped hosts stay in their
        racks, so the limit on racks applies as well.
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
    """Return the plan whose number of spares gives the least weighted cost.

    Every number of spares is tried if the largest one times the number of hosts due
    is at most ``MAX_EXHAUSTIVE_TURNS``. Otherwise the search starts from the best of
    a few numbers and halves its step until it reaches 0.
    """
    hosts = hosts_by_pool(due)
    due_pools = sorted((pool for pool in pools if pool.name in hosts), key=_pool_name)
    waiting = sum(map(len, hosts.values()))
    source = spares.pool if spares else None
    planner = _Planner(due_pools, hosts, start_s, settings, SharedSpares(source=source))
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
    """Planner that compares plans of one wave with different numbers of spares."""

    pools: list[Pool]
    hosts: Mapping[str, list[Host]]
    start_s: float
    settings: WaveSettings
    spares: SharedSpares
    slots: int | None = None
    _in_place: WavePlan | None = None

    @property
    def has_window(self) -> bool:
        """Return whether some window of the spares' pool is long enough for a host."""
        return self.spares.maintained_s(self.start_s, self.settings) < math.inf

    def plan(self, count: int) -> WavePlan:
        """Return the plan with this many spares.

        Spares go only to the pools that would end later than the wave without them,
        unless that restriction would lengthen the wave.
        """
        limit_by_pool = self.spares.limit_by_pool
        plan = self._simulate(count, limit_by_pool) if count else self.in_place
        while plan.moves:
            late_pools = self._late_without_spares(plan)
            if plan.spares_by_pool.keys() <= late_pools:
                return plan
            if not late_pools:
                return self.in_place
            restricted_plan = self._simulate(
                count, self._spares_limits(late_pools, count)
            )
            if restricted_plan.roll_out_s > plan.roll_out_s:
                return plan
            plan = restricted_plan
        return plan

    def _spares_limits(self, pools: Iterable[str], count: int) -> dict[str, int]:
        shared = attrs.evolve(self.spares, count=count)
        return {name: shared.limit(name) for name in pools}

    @property
    def in_place(self) -> WavePlan:
        """Return the plan without spares, which is computed once."""
        if self._in_place is None:
            self._in_place = self._simulate(0, None)
        return self._in_place

    def _late_without_spares(self, plan: WavePlan) -> set[str]:
        """Return the pools that, without spares, would end later than the plan."""
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
        message = "the budget is 0 or no maintenance window is long enough for one host"
        findings = [
            Finding(f"pool/{name}", "never-possible", message) for name in unplannable
        ]
        return WavePlan(self.start_s, by_pool, tuple(findings), count)


def _initial_spare_counts(max_spares: int) -> list[int]:
    """Return the first numbers of spares to try: 0, 1, 2 and so on, then doubling."""
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
    """Return the plan with this many spares, or the one without if it ends no later.

    ``slots`` replaces the pools' own limits of hosts down. A pool whose maintenance
    can never be done becomes a finding of the plan.
    """
    shared = SharedSpares(source=spares_pool, limit_by_pool=limit_by_pool)
    planner = _Planner(list(pools), hosts, start_s, settings, shared, slots)
    return planner.plan(spares)


def _pool_name(pool: Pool) -> str:
    return pool.name


def hosts_by_pool(due: Iterable[Host]) -> dict[str, list[Host]]:
    """Group hosts by the name of their pool."""
    hosts: dict[str, list[Host]] = defaultdict(list)
    for host in due:
        hosts[host.pool].append(host)
    return hosts
