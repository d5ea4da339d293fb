"""Plans of maintenance waves, weighed by time, buffer hosts and moves."""

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping

import attrs

from rhubarbmount.entries import Pool
from rhubarbmount.errors import Finding
from rhubarbmount.hosts import Host
from rhubarbmount.maintenance import HOUR_S
from rhubarbmount.pool_plan import PoolPlan, WaveSettings, maintained_s
from rhubarbmount.wave_play import play_wave

__all__ = ["SparesOffer", "WavePlan", "hosts_by_pool", "plan_with_spares", "plan_wave"]

MAX_EXHAUSTIVE_TURNS = 4000
SMALL_SPARES = 4


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
    wanted = sorted((pool for pool in pools if pool.name in hosts), key=_name)
    waiting = sum(map(len, hosts.values()))
    source = spares.pool if spares else None
    usable = spares.usable if spares else 0
    if maintained_s(source, start_s, settings) == math.inf:
        usable = 0
    most = min(usable, waiting)
    plan_by_spares: dict[int, WavePlan] = {}

    def cost(count: int) -> float:
        if count not in plan_by_spares:
            plan = plan_with_spares(
                wanted, hosts, start_s, settings, spares=count, spares_pool=source
            )
            plan_by_spares[count] = plan
        return plan_by_spares[count].cost(settings)

    if most * waiting <= MAX_EXHAUSTIVE_TURNS:
        return plan_by_spares[min(range(most + 1), key=cost)]
    best = min(_first_counts(most), key=cost)
    step = max(1, best // 2)
    while step:
        near = {best, max(0, best - step), min(most, best + step)}
        best = min(sorted(near), key=cost)
        step //= 2
    return plan_by_spares[best]


def _first_counts(most: int) -> list[int]:
    """Return the numbers of spares to look at first: small ones, then each twice."""
    counts = list(range(min(most, SMALL_SPARES) + 1))
    while counts[-1] < most:
        counts.append(min(most, 2 * counts[-1]))
    return counts


def plan_with_spares(
    pools: Iterable[Pool],
    hosts: Mapping[str, list[Host]],
    start_s: float,
    settings: WaveSettings,
    slots: int | None = None,
    spares: int = 0,
    spares_pool: Pool | None = None,
) -> WavePlan:
    """Plan a wave with this many spares; what can never be done is a finding."""
    by_pool, never = play_wave(
        pools, hosts, start_s, settings, spares, slots, spares_pool
    )
    message = "no budget or no window long enough for one host"
    findings = [Finding(f"pool/{name}", "never-possible", message) for name in never]
    return WavePlan(start_s, by_pool, tuple(findings), spares)


def _name(pool: Pool) -> str:
    return pool.name


def hosts_by_pool(due: Iterable[Host]) -> dict[str, list[Host]]:
    """Return the hosts of each pool."""
    hosts: dict[str, list[Host]] = defaultdict(list)
    for host in due:
        hosts[host.pool].append(host)
    return hosts
