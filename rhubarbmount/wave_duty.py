"""The duty that carries out maintenance waves."""

import logging
from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence

import attrs

from rhubarbmount.budgets import PoolRows, read_pool_rows
from rhubarbmount.duty_runner import Lease
from rhubarbmount.explain import DecisionRecorder
from rhubarbmount.fleet_counters import FleetCounters
from rhubarbmount.host_rows import HostRow, HostRows
from rhubarbmount.host_work import HOST_PREFIX, Observation, load_intent
from rhubarbmount.hosts import Host, HostState
from rhubarbmount.log import event
from rhubarbmount.maintenance import is_due, next_start_s, select
from rhubarbmount.pool_plan import WaveSettings
from rhubarbmount.store.interface import LiveHost, Platform, Row
from rhubarbmount.swaps import Swap, fair_share, swap_wanted, swaps_hosts
from rhubarbmount.tables import INTENTS_TABLE
from rhubarbmount.wave_holds import hold_reason
from rhubarbmount.wave_work import WaveWork
from rhubarbmount.waves import (
    Control,
    Wave,
    WaveRow,
    read_waves,
    wave_update,
)

__all__ = ["WaveDuty"]

RECHECK_S = 15.0
# A drain older than this multiple of the planned drain time is not waited for.
DRAIN_WAIT_FACTOR = 2.0
UNFIT_STATES = (HostState.QUARANTINED, HostState.LEAVING)
logger = logging.getLogger("rhubarbmount.waves")


@attrs.define
class WaveDuty:
    """Duty that begins maintenance of hosts as budgets and windows allow.

    A host that ``observe`` reports as not ready counts as failed, so that its repair
    gets the budget before the wave does.
    """

    platform: Platform
    wall_clock: Callable[[], float]
    settings: WaveSettings = attrs.field(factory=WaveSettings)
    counters: FleetCounters = attrs.field(factory=FleetCounters)
    observe: Callable[[Host], Observation] = lambda host: Observation()
    name: str = "waves"
    recorder: DecisionRecorder = attrs.field(factory=DecisionRecorder)
    view: HostRows = attrs.field(init=False)
    _held_by_pool: dict[str, tuple[int, float]] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.view = HostRows(self.platform)

    def forget(self) -> None:
        """Discard cached state, as another instance may have acted since."""
        self.view = HostRows(self.platform)
        self._held_by_pool.clear()

    async def do_round(self, lease: Lease) -> None:
        """Begin maintenance of as many hosts as possible, and close finished waves."""
        rows = await read_waves(self.platform)
        open_rows = [row for row in rows if row.wave.state == "open"]
        controls = Counter(row.wave.control.value for row in open_rows)
        self.counters.open_waves_by_control = controls
        for row in open_rows:
            await self._advance(row, lease)

    async def _advance(self, row: WaveRow, lease: Lease) -> None:
        await self.view.refresh()
        due = [
            host_row.host
            for host_row in self.view.row_by_host_id.values()
            if is_due(host_row.host, row.wave.started_s)
            and row.wave.covers(host_row.host.pool)
            and host_row.host.state not in UNFIT_STATES
        ]
        if row.wave.control is Control.CANCELLED or not due:
            await self._close(row, lease)
        elif row.wave.control is Control.RUNNING:
            due_by_pool = Counter(host.pool for host in due)
            pools = sorted(due_by_pool, key=lambda name: (-due_by_pool[name], name))
            for index in range(len(pools)):
                if not await self._begin_in_pool(row, pools[index:], lease):
                    return

    async def _close(self, row: WaveRow, lease: Lease) -> None:
        intents = await self.platform.scan(INTENTS_TABLE, HOST_PREFIX)
        if _has_open_intent(intents, row.wave.wave_id):
            return
        if await self._wave_work().return_spares(row, lease):
            return
        done = attrs.evolve(row.wave, state="done")
        if await lease.commit(wave_update(row, done)):
            event(logger, "wave-done", wave=done.wave_id, control=done.control.value)
            self._record_done(done)

    def _record_done(self, wave: Wave) -> None:
        members = self.view.row_by_host_id.values()
        pools = {row.host.pool for row in members if wave.covers(row.host.pool)}
        for pool in sorted(pools):
            self.recorder.record(
                "pool",
                pool,
                "wave-done",
                wave=wave.wave_id,
                control=wave.control.value,
            )

    async def _begin_in_pool(
        self, row: WaveRow, pools: Sequence[str], lease: Lease
    ) -> bool:
        """Begin maintenance in the first of the remaining pools.

        Return False after excluding a pool from the wave, since the wave's row then
        has to be read again.
        """
        pool = pools[0]
        if self._is_still_held(row.wave, pool, lease.clock()):
            return True
        rows = await read_pool_rows(self.platform, pool)
        spares = await self._spares_pool_rows(row.wave, pool)
        for needed in (rows, spares):
            if needed is not None and not row.wave.has_same_owner(needed):
                await self._drop_pool(row, needed, lease)
                return False
        live = await self.platform.live_hosts()
        await self.view.refresh()
        members = self.view.of_pool(pool)
        due = self._due(row.wave, pool)
        live = self._without_failing(members, live)
        chosen = self._choose(rows, members, live, due)
        target = None
        if spares is not None:
            swap = await self._bring_spares(row, rows, spares, pools, lease)
            if swap.leaving:
                chosen = chosen[: swap.leaving]
                target = spares
            elif swap.arriving or swap.is_expecting:
                chosen = []
            if swap.arriving and not chosen:
                return True
        if chosen:
            leaving = [due[name] for name in chosen]
            await self._wave_work().begin(row, rows, leaving, target, lease)
        else:
            reason = hold_reason(
                rows, members, live, due.values(), self._in_window(rows)
            )
            self.recorder.record("pool", pool, "wave-held", reason, due=len(due))
            self._note_hold(row.wave, pool, lease.clock(), due)
        return True

    async def _spares_pool_rows(self, wave: Wave, pool: str) -> PoolRows | None:
        """Return the rows of the spares' pool if the wave swaps hosts of this pool."""
        if not swaps_hosts(wave, pool, self.view):
            return None
        return await read_pool_rows(self.platform, wave.spares_pool)

    def _due(self, wave: Wave, pool: str) -> dict[str, HostRow]:
        return {
            item.host.host_id: item
            for item in self.view.of_pool(pool)
            if is_due(item.host, wave.started_s)
            and item.host.state is HostState.IN_SERVICE
        }

    async def _bring_spares(
        self,
        row: WaveRow,
        rows: PoolRows,
        spares: PoolRows,
        pools: Sequence[str],
        lease: Lease,
    ) -> Swap:
        """Begin moves of spares into the pool, and return the swaps possible now.

        ``arriving`` of the result counts the spares chosen. Their moves begin together,
        and are limited so that the pools that follow get their fair share.
        """
        if rows.pool is None:
            return Swap(arriving=0, leaving=0, is_expecting=False)
        drained_s = self.wall_clock() - DRAIN_WAIT_FACTOR * self.settings.drain_s
        swap = swap_wanted(row.wave, rows.pool, self.view, drained_s)
        count = min(swap.arriving, fair_share(row.wave, pools, self.view))
        arriving = await self._wave_work().bring_spares(row, spares, rows, count, lease)
        await self.view.refresh()
        return attrs.evolve(swap, arriving=arriving)

    async def _drop_pool(self, row: WaveRow, rows: PoolRows, lease: Lease) -> None:
        """Exclude a pool whose entry is gone or has another owner from the wave."""
        transaction = wave_update(row, row.wave.without_pool(rows.name))
        transaction.add(rows.entry_update())
        if await lease.commit(transaction):
            cause = "pool-removed" if rows.pool is None else "owner-changed"
            record, wave_id = self.recorder.record, row.wave.wave_id
            record("pool", rows.name, "wave-pool-dropped", cause, wave=wave_id)
            event(
                logger,
                "wave-pool-dropped",
                wave=wave_id,
                pool=rows.name,
                cause=cause,
            )

    def _wave_work(self) -> WaveWork:
        return WaveWork(self.platform, self.wall_clock, self.view, self.recorder)

    def _without_failing(
        self, members: Iterable[HostRow], live: Iterable[LiveHost]
    ) -> list[LiveHost]:
        """Return the live hosts except those observed not to be ready."""
        failing = {
            item.host.host_id
            for item in members
            if self.observe(item.host).ready is False
        }
        return [item for item in live if item.host_id not in failing]

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

    def _in_window(self, rows: PoolRows) -> bool:
        now_s = self.wall_clock()
        return (
            rows.pool is not None
            and next_start_s(rows.pool, now_s, self.settings.host_s) == now_s
        )

    def _is_still_held(self, wave: Wave, pool: str, now_s: float) -> bool:
        """Return whether an earlier hold of the pool still applies.

        It applies for ``RECHECK_S``, as long as no host row of the pool or of its
        spares' pool changes.
        """
        version, held_s = self._held_by_pool.get(pool, (-1, 0.0))
        unchanged = version == self._pool_version(wave, pool)
        return unchanged and now_s - held_s < RECHECK_S

    def _note_hold(
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


def _has_open_intent(rows: Iterable[Row], wave_id: str) -> bool:
    return any(load_intent(row.value).group == wave_id for row in rows)
