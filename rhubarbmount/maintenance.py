"""Maintenance windows, and selection of the hosts to maintain next."""

import itertools
import math
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence

from rhubarbmount.budgets import BudgetView
from rhubarbmount.entries import Pool
from rhubarbmount.hosts import Host

__all__ = ["by_rack", "choose", "is_due", "next_start_s", "select"]

HOUR_S = 3600
DAY_S = 24 * HOUR_S


def is_due(host: Host, started_s: float) -> bool:
    """Return whether a wave begun at that time has yet to maintain a host."""
    return host.maintained_s < started_s


def next_start_s(pool: Pool, now_s: float, need_s: float) -> float | None:
    """Return the earliest start of work, or None if it fits into no window.

    The work takes ``need_s`` and must end within the window. A pool whose window
    starts and ends at the same hour has no restriction.

    >>> night = Pool(name="q", owner="o", hosts_wanted=1, window_start_hour=22,
    ...              window_end_hour=2)
    >>> next_start_s(night, 0.0, 3600.0), next_start_s(night, 5400.0, 3600.0) / 3600
    (0.0, 22.0)
    """
    start_s = pool.window_start_hour * HOUR_S
    length_s = (pool.window_end_hour - pool.window_start_hour) % 24 * HOUR_S
    if length_s == 0:
        return now_s
    if need_s > length_s:
        return None
    opened_s = math.floor((now_s - start_s) / DAY_S) * DAY_S + start_s
    if now_s + need_s <= opened_s + length_s:
        return now_s
    return opened_s + DAY_S


def choose(
    due_by_rack: Mapping[str, Sequence[str]],
    racks_in_use: Iterable[str],
    slots: int,
    racks_down_limit: int,
) -> list[tuple[str, str]]:
    """Return the largest selection of (host, rack) pairs that the limits allow.

    Racks already in use come first. Of two selections of the same size, the one that
    finishes racks with few hosts left wins, because the full racks that remain can
    fill later turns.

    >>> choose({"r1": ["a"], "r2": ["b", "c"]}, [], 2, 1)
    [('b', 'r2'), ('c', 'r2')]
    """
    used = set(racks_in_use)
    fewest_first = sorted(due_by_rack, key=lambda rack: (len(due_by_rack[rack]), rack))
    taken = _fill_slots(due_by_rack, fewest_first, used, slots, racks_down_limit)
    if len(taken) >= slots:
        return taken
    most_first = sorted(due_by_rack, key=lambda rack: (-len(due_by_rack[rack]), rack))
    other = _fill_slots(due_by_rack, most_first, used, slots, racks_down_limit)
    return max(taken, other, key=len)


def _fill_slots(
    due_by_rack: Mapping[str, Sequence[str]],
    order: Sequence[str],
    racks_in_use: set[str],
    slots: int,
    racks_down_limit: int,
) -> list[tuple[str, str]]:
    """Fill slots with hosts from racks in use, then from other racks in order."""
    racks = [rack for rack in order if rack in racks_in_use and due_by_rack[rack]]
    unused = (rack for rack in order if rack not in racks_in_use and due_by_rack[rack])
    racks += itertools.islice(unused, max(0, racks_down_limit - len(racks_in_use)))
    taken: list[tuple[str, str]] = []
    for rack in racks:
        free = slots - len(taken)
        if free <= 0:
            break
        taken.extend((host_id, rack) for host_id in due_by_rack[rack][:free])
    return taken


def select(view: BudgetView, due: Iterable[Host]) -> list[str]:
    """Return the ids of the largest set of due hosts that the budget allows now."""
    pool, down = view.pool, view.down
    racks = set(down.values())
    if len(racks) > pool.racks_down_limit:
        return []
    slots = pool.hosts_down_limit - len(down) - view.missing
    due_by_rack = by_rack(host for host in due if host.host_id not in down)
    chosen = choose(due_by_rack, racks, slots, pool.racks_down_limit)
    return [host_id for host_id, _ in chosen]


def by_rack(hosts: Iterable[Host]) -> dict[str, list[str]]:
    """Return the sorted ids of the hosts in each rack."""
    host_ids: dict[str, list[str]] = defaultdict(list)
    for host in sorted(hosts, key=lambda host: host.host_id):
        host_ids[host.rack].append(host.host_id)
    return dict(host_ids)
