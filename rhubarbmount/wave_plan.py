"""Plans of maintenance waves, weighed by time, buffer hosts and moves."""

from collections import defaultdict
from collections.abc import Iterable, Mapping

import attrs

from rhubarbmount.entries import Pool
from rhubarbmount.errors import Finding
from rhubarbmount.hosts import Host
from rhubarbmount.maintenance import HOUR_S
from rhubarbmount.pool_plan import PoolPlan, WaveSettings, plan_pool

__all__ = ["SparesOffer", "WavePlan", "hosts_by_pool", "plan_in_place", "plan_wave"]


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
    spares_free = spares.usable if spares else 0
    hosts = hosts_by_pool(due)
    pool_by_name = {pool.name: pool for pool in pools if pool.name in hosts}
    plan = plan_in_place(pool_by_name, hosts, start_s, settings)
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
    hosts = list(due)
    for spares in range(slowest.spares + 1, min(free, len(hosts)) + 1):
        trial = plan_pool(pool, hosts, start_s, settings, spares)
        if trial is not None and trial.finish_s < slowest.finish_s:
            return trial
    return None


def plan_in_place(
    pool_by_name: Mapping[str, Pool],
    hosts: Mapping[str, list[Host]],
    start_s: float,
    settings: WaveSettings,
    slots: int | None = None,
) -> WavePlan:
    """Plan a wave without spares; what can never be done is a finding."""
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


def hosts_by_pool(due: Iterable[Host]) -> dict[str, list[Host]]:
    """Return the hosts of each pool."""
    hosts: dict[str, list[Host]] = defaultdict(list)
    for host in due:
        hosts[host.pool].append(host)
    return hosts
