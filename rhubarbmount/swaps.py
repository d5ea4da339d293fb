"""Swaps: a wave replaces a pool's hosts by spares and maintains them elsewhere."""

from collections.abc import Iterable

import attrs

from rhubarbmount.entries import Pool
from rhubarbmount.host_rows import HostRow, HostRows
from rhubarbmount.hosts import Host, HostState
from rhubarbmount.maintenance import is_due
from rhubarbmount.waves import Wave

__all__ = ["Swap", "spares_of", "surplus_of", "swap_wanted", "swaps_hosts"]

UNFIT_STATES = (HostState.QUARANTINED, HostState.LEAVING)
DRAIN_STATES = (HostState.DRAINING, HostState.DRAINED)
LOST_AFTER_S = 3600.0


@attrs.frozen
class Swap:
    """How many spares to bring into a pool, and how many hosts may leave it.

    With ``is_expecting``, a spare is on its way and the slot is kept for it.
    """

    arriving: int
    leaving: int
    is_expecting: bool


def swaps_hosts(wave: Wave, pool: str, view: HostRows) -> bool:
    """Tell whether the wave replaces a pool's hosts; without a sound spare it can't."""
    if not wave.spares_by_pool.get(pool) or not wave.covers(wave.spares_pool):
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


def swap_wanted(wave: Wave, pool: Pool, view: HostRows) -> Swap:
    """Return the swaps that may begin now.

    A host leaves only after a spare serves in its place. The last hosts, as many as
    the budget lets go at once, are maintained in the pool: a swap would not end their
    turns sooner.
    """
    members = [row.host for row in view.of_pool(pool.name)]
    due = sum(
        host.state is HostState.IN_SERVICE and is_due(host, wave.started_s)
        for host in members
    )
    others = [host for host in members if not host.cause.startswith("maintain:")]
    away = sum(host.state is not HostState.IN_SERVICE for host in others)
    draining = sum(host.state in DRAIN_STATES for host in others)
    warming = sum(_is_warming(host, pool.name) for host in others)
    coming = sum(_is_coming(row.host, pool.name) for row in view.by_host_id.values())
    surplus = len(members) - wave.home_by_pool.get(pool.name, 0)
    taken = max(0, surplus) + coming
    unpaired = surplus - draining + coming
    spares = min(wave.spares_by_pool.get(pool.name, 0) - taken, _available(wave, view))
    return Swap(
        arriving=max(0, min(spares, due - unpaired - pool.hosts_down_limit)),
        leaving=max(0, min(due, surplus - away)),
        is_expecting=bool(coming or warming),
    )


def surplus_of(wave: Wave, pool: Pool, view: HostRows, now_s: float) -> int:
    """Return how many hosts a pool has over its size, those on their way out aside.

    A host that has been quarantined for long counts as lost, and a spare stays for it.
    """
    members = [row.host for row in view.of_pool(pool.name)]
    home = max(wave.home_by_pool.get(pool.name, 0), pool.hosts_wanted)
    gone = sum(
        host.state in DRAIN_STATES and host.cause.startswith("move:")
        for host in members
    )
    lost = sum(
        host.state in UNFIT_STATES and now_s - host.since_s >= LOST_AFTER_S
        for host in members
    )
    return max(0, len(members) - home - gone - lost)


def _available(wave: Wave, view: HostRows) -> int:
    """Return how many hosts may leave the spares' pool, its reserve aside."""
    serving = sum(
        row.host.state is HostState.IN_SERVICE for row in view.of_pool(wave.spares_pool)
    )
    return serving - wave.reserve


def _is_coming(host: Host, pool: str) -> bool:
    return host.pool != pool and host.cause in (
        f"move:drain:{pool}",
        f"move:empty:{pool}",
    )


def _is_warming(host: Host, pool: str) -> bool:
    return host.state is HostState.RETURNING and host.cause == f"move:move:{pool}"
