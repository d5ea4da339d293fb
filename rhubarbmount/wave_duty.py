"""The duty that carries out maintenance waves."""

import logging
from collections.abc import Callable, Iterable, Mapping

import attrs

from rhubarbmount.budgets import PoolRows, read_pool_rows
from rhubarbmount.duty_runner import Lease
from rhubarbmount.host_duty import Begun, begin_terms
from rhubarbmount.host_rows import HostRow, HostRows
from rhubarbmount.host_work import (
    HOST_PREFIX,
    INTENTS_TABLE,
    HostIntent,
    load_intent,
)
from rhubarbmount.hosts import HostState
from rhubarbmount.log import event
from rhubarbmount.maintenance import is_due, next_start_s, select
from rhubarbmount.platform.interface import LiveHost, Platform, Row
from rhubarbmount.pool_plan import WaveSettings
from rhubarbmount.swaps import spares_of, swap_wanted, swaps_hosts
from rhubarbmount.waves import (
    WAVE_PREFIX,
    Control,
    Wave,
    WaveRow,
    read_waves,
    wave_terms,
)

__all__ = ["WaveDuty"]

RECHECK_S = 15.0
UNFIT_STATES = (HostState.QUARANTINED, HostState.LEAVING)
logger = logging.getLogger("rhubarbmount.waves")


@attrs.define
class WaveDuty:
    """Begin the maintenance of hosts as budgets and windows allow."""

    platform: Platform
    wall_clock: Callable[[], float]
    settings: WaveSettings = attrs.field(factory=WaveSettings)
    name: str = "waves"
    view: HostRows = attrs.field(init=False)
    _held_by_pool: dict[str, tuple[int, float]] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.view = HostRows(self.platform)

    def forget(self) -> None:
        """Drop what was remembered."""
        self.view = HostRows(self.platform)
        self._held_by_pool.clear()

    async def do_round(self, lease: Lease) -> None:
        """Begin as many hosts as may go now, and close waves that are over."""
        for row in await read_waves(self.platform):
            if row.wave.state == "open":
                await self._advance(row, lease)

    async def _advance(self, row: WaveRow, lease: Lease) -> None:
        await self.view.refresh()
        left = [
            host_row.host
            for host_row in self.view.by_host_id.values()
            if is_due(host_row.host, row.wave.started_s)
            and row.wave.covers(host_row.host.pool)
            and host_row.host.state not in UNFIT_STATES
        ]
        if row.wave.control is Control.CANCELLED or not left:
            await self._close(row, lease)
        elif row.wave.control is Control.RUNNING:
            for pool in sorted({host.pool for host in left}):
                await self._begin_in_pool(row, pool, lease)

    async def _close(self, row: WaveRow, lease: Lease) -> None:
        intents = await self.platform.scan(INTENTS_TABLE, HOST_PREFIX)
        if _has_open(intents, row.wave.wave_id):
            return
        done = attrs.evolve(row.wave, state="done")
        if await lease.commit(wave_terms(row, done)):
            event(logger, "wave-done", wave=done.wave_id, control=done.control.value)

    async def _begin_in_pool(self, row: WaveRow, pool: str, lease: Lease) -> None:
        if self._is_held(row.wave, pool, lease.clock()):
            return
        rows = await read_pool_rows(self.platform, pool)
        live = await self.platform.live_hosts()
        await self.view.refresh()
        members = self.view.of_pool(pool)
        due = {
            item.host.host_id: item
            for item in members
            if is_due(item.host, row.wave.started_s)
            and item.host.state is HostState.IN_SERVICE
        }
        chosen = self._choose(rows, members, live, due)
        target = ""
        if rows.pool is not None and swaps_hosts(row.wave, pool, self.view):
            swap = swap_wanted(row.wave, rows.pool, self.view)
            brought = await self._bring(row, pool, swap.arriving, lease)
            await self.view.refresh()
            if swap.leaving:
                chosen = chosen[: swap.leaving]
                target = row.wave.spares_pool
            elif brought or swap.is_expecting:
                chosen = []
        if not chosen:
            self._hold(row.wave, pool, lease.clock(), due)
            return
        items = [
            Begun(due[name], self._intent(row, name, target, lease)) for name in chosen
        ]
        await self._begin(row, rows, items, lease)

    def _choose(
        self,
        rows: PoolRows,
        members: list[HostRow],
        live: list[LiveHost],
        due: Mapping[str, HostRow],
    ) -> list[str]:
        if rows.pool is None or not self._in_window(rows):
            return []
        budget = rows.view(members, live)
        return select(budget, [item.host for item in due.values()])

    async def _bring(self, row: WaveRow, pool: str, count: int, lease: Lease) -> int:
        """Begin moves of maintained spares into a pool, and return how many."""
        if count <= 0:
            return 0
        rows = await read_pool_rows(self.platform, row.wave.spares_pool)
        live = await self.platform.live_hosts()
        await self.view.refresh()
        members = self.view.of_pool(row.wave.spares_pool)
        spares = {item.host.host_id: item for item in spares_of(row.wave, members)}
        if rows.pool is None:
            return 0
        chosen = select(
            rows.view(members, live), [item.host for item in spares.values()]
        )[:count]
        items = [
            Begun(spares[name], self._intent(row, name, pool, lease)) for name in chosen
        ]
        if items:
            await self._begin(row, rows, items, lease)
        return len(items)

    async def _begin(
        self, row: WaveRow, rows: PoolRows, items: list[Begun], lease: Lease
    ) -> None:
        terms = begin_terms(rows, self.view.head, items, self.wall_clock())
        terms.require(INTENTS_TABLE, WAVE_PREFIX + row.wave.wave_id, row.version)
        committed = await lease.commit(terms)
        event(
            logger,
            "wave-begin",
            wave=row.wave.wave_id,
            pool=rows.name,
            action=items[0].intent.action,
            hosts=",".join(item.intent.host_id for item in items),
            result="begun" if committed else "conflict",
        )

    def _intent(
        self, row: WaveRow, host_id: str, target_pool: str, lease: Lease
    ) -> HostIntent:
        return HostIntent(
            intent_id=lease.new_id(),
            duty="hosts",
            action="move" if target_pool else "maintain",
            host_id=host_id,
            target_pool=target_pool,
            group=row.wave.wave_id,
            group_started_s=row.wave.started_s,
        )

    def _in_window(self, rows: PoolRows) -> bool:
        now_s = self.wall_clock()
        return (
            rows.pool is not None
            and next_start_s(rows.pool, now_s, self.settings.host_s) == now_s
        )

    def _is_held(self, wave: Wave, pool: str, now_s: float) -> bool:
        """Tell whether nothing changed in a pool where no host could begin."""
        version, held_s = self._held_by_pool.get(pool, (-1, 0.0))
        unchanged = version == self._pool_version(wave, pool)
        return unchanged and now_s - held_s < RECHECK_S

    def _hold(
        self, wave: Wave, pool: str, now_s: float, due: Mapping[str, HostRow]
    ) -> None:
        if pool not in self._held_by_pool:
            event(logger, "wave-hold", pool=pool, hosts_due=len(due))
        self._held_by_pool[pool] = (self._pool_version(wave, pool), now_s)

    def _pool_version(self, wave: Wave, pool: str) -> int:
        rows = self.view.of_pool(pool)
        if wave.spares_by_pool.get(pool):
            rows += self.view.of_pool(wave.spares_pool)
        return max((row.version for row in rows), default=0)


def _has_open(rows: Iterable[Row], wave_id: str) -> bool:
    return any(load_intent(row.value).group == wave_id for row in rows)
