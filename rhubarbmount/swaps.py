"""Swaps: a wave replaces a pool's hosts by spares and maintains them elsewhere."""

from collections.abc import Iterable

import attrs

from rhubarbmount.host_rows import HostRow, HostRows
from rhubarbmount.hosts import Host, HostState
from rhubarbmount.maintenance import is_due
from rhubarbmount.waves import Wave

__all__ = ["Swap", "spares_of", "swap_wanted", "swaps_hosts"]

UNFIT_STATES = (HostState.QUARANTINED, HostState.LEAVING)
DRAIN_STATES = (HostState.DRAINING, HostState.DRAINED)


@attrs.frozen
class Swap:
    """How many spares to bring into a pool, and how many hosts may leave it."""

    arriving: int
    leaving: int


def swaps_hosts(wave: Wave, pool: str, view: HostRows) -> bool:
    """Tell whether the wave replaces a pool's hosts; without a sound spare it can't."""
    if not wave.spares_by_pool.get(pool):
        return False
    sound = sum(
        row.host.state not in UNFIT_STATES for row in view.of_pool(wave.spares_pool)
    )
    return sound > 0 or any(
        len(view.of_pool(name)) > home for name, home in wave.home_by_pool.items()
    )


def spares_of(wave: Wave, members: Iterable[HostRow]) -> list[HostRow]:
    """Return the hosts of the spares' pool that are maintained and in service."""
    return [
        row
        for row in members
        if row.host.state is HostState.IN_SERVICE
        and not is_due(row.host, wave.started_s)
    ]


def swap_wanted(wave: Wave, pool: str, view: HostRows) -> Swap:
    """Return the swaps that may begin now.

    A host leaves only after a spare serves in its place, and no more spares are
    brought than hosts are left to replace.
    """
    members = [row.host for row in view.of_pool(pool)]
    due = sum(
        host.state is HostState.IN_SERVICE and is_due(host, wave.started_s)
        for host in members
    )
    away = sum(host.state is not HostState.IN_SERVICE for host in members)
    draining = sum(host.state in DRAIN_STATES for host in members)
    coming = sum(_is_coming(row.host, pool) for row in view.by_host_id.values())
    surplus = len(members) - wave.home_by_pool.get(pool, 0)
    taken = max(0, surplus) + coming
    unpaired = surplus - draining + coming
    return Swap(
        arriving=max(0, min(wave.spares_by_pool[pool] - taken, due - unpaired)),
        leaving=max(0, min(due, surplus - away)),
    )


def _is_coming(host: Host, pool: str) -> bool:
    return host.pool != pool and host.cause in (
        f"move:drain:{pool}",
        f"move:empty:{pool}",
    )
