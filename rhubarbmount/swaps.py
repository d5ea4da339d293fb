"""Swaps: a wave replaces a pool's hosts by spares and maintains them elsewhere."""

import math
from collections.abc import Iterable, Sequence

import attrs

from rhubarbmount.entries import Pool
from rhubarbmount.host_rows import HostRow, HostRows
from rhubarbmount.hosts import Host, HostState
from rhubarbmount.maintenance import is_due
from rhubarbmount.waves import Wave

__all__ = [
    "Swap",
    "fair_share",
    "spares_of",
    "surplus_of",
    "swap_wanted",
    "swaps_hosts",
]

UNFIT_STATES = (HostState.QUARANTINED, HostState.LEAVING)
DRAIN_STATES = (HostState.DRAINING, HostState.DRAINED)
LOST_AFTER_S = 3600.0


@attrs.frozen
class Swap:
    """How many spares to bring into a pool, and how many hosts may leave it.

    While ``is_expecting``, a spare is on its way in or a swapped host on its way out,
    and the slots stay reserved. Hosts that are maintained in the pool then begin and
    end together, and free their racks together.
    """

    arriving: int
    leaving: int
    is_expecting: bool


def swaps_hosts(wave: Wave, pool: str, view: HostRows) -> bool:
    """Return whether the wave swaps a pool's hosts; this needs a usable spare."""
    if not wave.spares_by_pool.get(pool) or not wave.covers(wave.spares_pool):
        return False
    sound = sum(
        row.host.state not in UNFIT_STATES for row in view.of_pool(wave.spares_pool)
    )
    return sound > 0 or any(
        len(view.of_pool(name)) > home for name, home in wave.home_by_pool.items()
    )


def spares_of(wave: Wave, members: Iterable[HostRow]) -> list[HostRow]:
    """Return the hosts of the spares pool that are maintained and in service."""
    return [
        row
        for row in members
        if row.host.state is HostState.IN_SERVICE
        and not is_due(row.host, wave.started_s)
    ]


def swap_wanted(wave: Wave, pool: Pool, view: HostRows, drained_s: float) -> Swap:
    """Return the swaps that may begin now.

    A host leaves only once a spare serves in its place. The last hosts, as many as the
    budget allows down at once, are maintained in the pool, because a swap would not
    finish them sooner. Drains begun before ``drained_s`` are slow and not waited for.
    """
    members = [row.host for row in view.of_pool(pool.name)]
    due = sum(
        host.state is HostState.IN_SERVICE and is_due(host, wave.started_s)
        for host in members
    )
    others = [host for host in members if not host.cause.startswith("maintain:")]
    out_of_service = sum(host.state is not HostState.IN_SERVICE for host in others)
    draining = sum(host.state in DRAIN_STATES for host in others)
    outgoing = any(
        host.state in DRAIN_STATES
        and host.since_s >= drained_s
        and host.cause.startswith("move:")
        for host in members
    )
    warming = sum(_is_warming(host, pool.name) for host in others)
    incoming = _incoming(pool.name, view)
    surplus = len(members) - wave.home_by_pool.get(pool.name, 0)
    unpaired = surplus - draining + incoming
    spares = min(_free_allowance(wave, pool.name, view), _available(wave, view))
    return Swap(
        arriving=max(0, min(spares, due - unpaired - pool.hosts_down_limit)),
        leaving=max(0, min(due, surplus - out_of_service)),
        is_expecting=bool(incoming or warming or outgoing),
    )


def fair_share(wave: Wave, pools: Sequence[str], view: HostRows) -> int:
    """Return how many spares the first of these pools may take, so that all get some.

    Pools that have reached their limit are left out; any pool may take at least one.
    """
    sharing = sum(_free_allowance(wave, pool, view) > 0 for pool in pools)
    return max(1, math.ceil(_available(wave, view) / max(1, sharing)))


def surplus_of(wave: Wave, pool: Pool, view: HostRows, now_s: float) -> int:
    """Return by how many hosts a pool exceeds its size, without those moving out.

    A host that has been quarantined or leaving for an hour counts as lost, and a spare
    stays in its place.
    """
    members = [row.host for row in view.of_pool(pool.name)]
    home = max(wave.home_by_pool.get(pool.name, 0), pool.hosts_wanted)
    moving_out = sum(
        host.state in DRAIN_STATES and host.cause.startswith("move:")
        for host in members
    )
    lost = sum(
        host.state in UNFIT_STATES and now_s - host.since_s >= LOST_AFTER_S
        for host in members
    )
    return max(0, len(members) - home - moving_out - lost)


def _available(wave: Wave, view: HostRows) -> int:
    """Return how many hosts may leave the spares pool without using its reserve."""
    serving = sum(
        row.host.state is HostState.IN_SERVICE for row in view.of_pool(wave.spares_pool)
    )
    return serving - wave.reserve


def _free_allowance(wave: Wave, pool: str, view: HostRows) -> int:
    """Return how many more spares a pool may take."""
    surplus = len(view.of_pool(pool)) - wave.home_by_pool.get(pool, 0)
    taken = max(0, surplus) + _incoming(pool, view)
    return wave.spares_by_pool.get(pool, 0) - taken


def _incoming(pool: str, view: HostRows) -> int:
    """Return how many hosts are being moved from other pools into this one."""
    return sum(
        row.host.pool != pool
        for event in ("drain", "empty")
        for row in view.of_cause(f"move:{event}:{pool}")
    )


def _is_warming(host: Host, pool: str) -> bool:
    return host.state is HostState.RETURNING and host.cause == f"move:move:{pool}"
