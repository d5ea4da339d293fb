"""Reference values for wave plans: one host at a time, and lower bounds."""

import math
from collections.abc import Iterable

from rhubarbmount.entries import Pool
from rhubarbmount.hosts import Host
from rhubarbmount.maintenance import by_rack, next_start_s
from rhubarbmount.pool_plan import WaveSettings
from rhubarbmount.wave_plan import WavePlan, hosts_by_pool, plan_with_spares

__all__ = ["lower_bound_s", "plan_one_at_a_time", "spares_bound_s"]


def plan_one_at_a_time(
    pools: Iterable[Pool],
    due: Iterable[Host],
    start_s: float,
    settings: WaveSettings,
) -> WavePlan:
    """Return the baseline plan, which maintains one host per pool at a time."""
    hosts = hosts_by_pool(due)
    due_pools = [pool for pool in pools if pool.name in hosts]
    return plan_with_spares(due_pools, hosts, start_s, settings, slots=1)


def lower_bound_s(
    pools: Iterable[Pool],
    due: Iterable[Host],
    start_s: float,
    settings: WaveSettings,
    with_spares: bool = False,
) -> float:
    """Return a lower bound in seconds on the roll-out time of any plan.

    It follows from budgets, racks and maintenance windows, and is infinite if no
    window is long enough. With any number of spares, a host still holds its slot
    while it drains.
    """
    slot_s = settings.drain_s if with_spares else settings.host_s
    hosts = hosts_by_pool(due)
    longest_s = 0.0
    for pool in pools:
        now_s = start_s
        for _ in range(_min_turns(pool, hosts.get(pool.name, []))):
            opens_s = next_start_s(pool, now_s, settings.host_s)
            if opens_s is None:
                return math.inf
            now_s = opens_s + slot_s
            longest_s = max(longest_s, opens_s + settings.host_s - start_s)
    return longest_s


def spares_bound_s(
    pools: Iterable[Pool],
    due: Iterable[Host],
    start_s: float,
    settings: WaveSettings,
    spares: int,
) -> float:
    """Return a lower bound in seconds on the roll-out time with this many spares.

    It holds however the pools share the spares. A spare is maintained before its
    first swap. A swap occupies the spare while it arrives, and the host it replaces
    for a drain, a warm-up and a full maintenance turn. The swap frees the pool's slot
    for all of that turn but the drain.
    """
    pools, due = list(pools), list(due)
    least_s = lower_bound_s(pools, due, start_s, settings, with_spares=True)
    slots = sum(pool.hosts_down_limit for pool in pools)
    cycle_s = 2 * settings.arrival_s + settings.host_s
    saved = spares * (settings.host_s - settings.drain_s) / cycle_s
    turns = len(due) + saved
    return max(least_s, settings.host_s * turns / (slots + saved))


def _min_turns(pool: Pool, due: Iterable[Host]) -> int:
    """Return the least number of consecutive turns that the pool needs."""
    sizes = [len(host_ids) for host_ids in by_rack(due).values()]
    if not sizes:
        return 0
    by_host = math.ceil(sum(sizes) / pool.hosts_down_limit)
    rack_turns = sum(math.ceil(size / pool.hosts_down_limit) for size in sizes)
    return max(by_host, math.ceil(rack_turns / pool.racks_down_limit))
