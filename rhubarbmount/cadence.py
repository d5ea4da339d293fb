"""Waves started automatically, so that every host is maintained at its cadence."""

import logging
from collections.abc import Callable, Iterable

import attrs

from rhubarbmount.duty_runner import Lease
from rhubarbmount.entries import Pool, load_pool
from rhubarbmount.host_rows import HostRows
from rhubarbmount.hosts import Host
from rhubarbmount.log import event
from rhubarbmount.maintenance import DAY_S
from rhubarbmount.store.interface import Platform
from rhubarbmount.tables import ENTRIES_TABLE
from rhubarbmount.waves import (
    Wave,
    WaveRow,
    read_waves,
    wave_start_update,
    wave_update,
)

__all__ = ["CadenceDuty", "overdue_pools"]

POOL_PREFIX = "pool/"
BEGIN_SHARE = 0.75
DUE_SHARE = 0.5
CHECK_PERIOD_S = 60.0
logger = logging.getLogger("rhubarbmount.cadence")


def overdue_pools(
    pools: Iterable[Pool], hosts: Iterable[Host], waves: Iterable[Wave], now_s: float
) -> list[tuple[str, float]]:
    """Return the pools that need a wave now, each with its cut-off time.

    A wave begins once three quarters of the cadence have passed since the oldest
    maintenance. It covers every host not maintained since the cut-off, which lies half
    a cadence back.
    """
    open_waves = [wave for wave in waves if wave.state == "open"]
    oldest_s: dict[str, float] = {}
    for host in hosts:
        known_s = oldest_s.get(host.pool, now_s)
        oldest_s[host.pool] = min(known_s, host.maintained_s)
    found = []
    for pool in pools:
        cadence_s = pool.cadence_days * DAY_S
        age_s = now_s - oldest_s.get(pool.name, now_s)
        is_covered = any(wave.covers(pool.name) for wave in open_waves)
        if age_s >= BEGIN_SHARE * cadence_s and not is_covered:
            found.append((pool.name, now_s - DUE_SHARE * cadence_s))
    return found


@attrs.define
class CadenceDuty:
    """Duty that begins a wave over each pool whose cadence requires one."""

    platform: Platform
    wall_clock: Callable[[], float]
    name: str = "cadence"
    view: HostRows = attrs.field(init=False)
    _checked_s: float = float("-inf")

    def __attrs_post_init__(self) -> None:
        self.view = HostRows(self.platform)

    def forget(self) -> None:
        """Drop all cached state."""
        self.view = HostRows(self.platform)
        self._checked_s = float("-inf")

    async def do_round(self, lease: Lease) -> None:
        """Check once a minute, and begin at most one wave for each pool."""
        now_s = lease.clock()
        if now_s - self._checked_s < CHECK_PERIOD_S:
            return
        rows = await self.platform.scan(ENTRIES_TABLE, POOL_PREFIX)
        pools = [load_pool(row.value["values"]) for row in rows]
        await self.view.refresh()
        hosts = [row.host for row in self.view.row_by_host_id.values()]
        waves = [row.wave for row in await read_waves(self.platform)]
        owner_by_pool = {pool.name: pool.owner for pool in pools}
        for pool, started_s in overdue_pools(pools, hosts, waves, self.wall_clock()):
            wave = Wave(
                wave_id=lease.new_id(),
                started_s=started_s,
                pools=(pool,),
                owner_by_pool={pool: owner_by_pool[pool]},
            )
            await self._begin(wave, lease)
        self._checked_s = now_s

    async def _begin(self, wave: Wave, lease: Lease) -> None:
        transaction = await wave_start_update(self.platform)
        transaction.add(wave_update(WaveRow(wave, 0), wave))
        result = "begun" if await lease.commit(transaction) else "conflict"
        pool = wave.pools[0]
        event(logger, "cadence-wave", pool=pool, wave=wave.wave_id, result=result)
