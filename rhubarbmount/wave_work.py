"""Host work that a wave begins: maintenance, swaps and the return of spares."""

import logging
from collections.abc import Callable, Iterable

import attrs

from rhubarbmount.budgets import PoolRows, read_pool_rows
from rhubarbmount.duty_runner import Lease
from rhubarbmount.explain import DecisionRecorder
from rhubarbmount.host_begin import Begun, begin_update
from rhubarbmount.host_rows import HostRow, HostRows
from rhubarbmount.host_work import HostIntent
from rhubarbmount.hosts import HostState
from rhubarbmount.log import event
from rhubarbmount.maintenance import is_due, select
from rhubarbmount.store.interface import Platform
from rhubarbmount.swaps import spares_of, surplus_of
from rhubarbmount.tables import INTENTS_TABLE
from rhubarbmount.waves import WAVE_PREFIX, WaveRow

__all__ = ["WaveWork"]

logger = logging.getLogger("rhubarbmount.waves")


@attrs.define
class WaveWork:
    """Start of host work for a wave, in one transaction per pool that hosts leave."""

    platform: Platform
    wall_clock: Callable[[], float]
    view: HostRows
    recorder: DecisionRecorder

    async def bring_spares(
        self, row: WaveRow, spares: PoolRows, target: PoolRows, count: int, lease: Lease
    ) -> int:
        """Begin moves of maintained spares into a pool; return how many were chosen."""
        if count <= 0 or spares.pool is None:
            return 0
        await self.view.refresh()
        candidates = spares_of(row.wave, self.view.of_pool(spares.name))
        chosen = await self._choose(spares, candidates, count)
        await self.begin(row, spares, chosen, target, lease)
        return len(chosen)

    async def return_spares(self, row: WaveRow, lease: Lease) -> bool:
        """Begin moves of surplus hosts back to the spares' pool.

        Return whether any pool still has a surplus.
        """
        wave = row.wave
        pending = False
        for name in sorted(wave.spares_by_pool):
            rows = await read_pool_rows(self.platform, name)
            spares = await read_pool_rows(self.platform, wave.spares_pool)
            if (
                not wave.has_same_owner(rows)
                or not wave.has_same_owner(spares)
                or rows.pool is None
            ):
                continue
            await self.view.refresh()
            surplus = surplus_of(wave, rows.pool, self.view, self.wall_clock())
            if surplus:
                pending = True
                serving = self._return_candidates(row, name)
                chosen = await self._choose(rows, serving, surplus)
                await self.begin(row, rows, chosen, spares, lease)
        return pending

    async def begin(
        self,
        row: WaveRow,
        rows: PoolRows,
        hosts: Iterable[HostRow],
        target: PoolRows | None,
        lease: Lease,
    ) -> None:
        """Take hosts of one pool out of service, to move or maintain them.

        Hosts are moved if there is a target pool, and otherwise maintained in place.
        After a conflict no work has begun, and the host rows are read again at the
        next refresh.
        """
        items = [
            Begun(host_row, _intent(row, host_row.host.host_id, target, lease))
            for host_row in hosts
        ]
        if not items:
            return
        transaction = begin_update(rows, self.view.head, items, self.wall_clock())
        transaction.require(INTENTS_TABLE, WAVE_PREFIX + row.wave.wave_id, row.version)
        if target is not None:
            transaction.add(target.entry_update())
        committed = await lease.commit(transaction)
        if not committed:
            self.view.doubt(item.intent.host_id for item in items)
        self._record_begin(row, rows.name, items, committed)
        event(
            logger,
            "wave-begin",
            wave=row.wave.wave_id,
            pool=rows.name,
            action=items[0].intent.action,
            hosts=",".join(item.intent.host_id for item in items),
            result="begun" if committed else "conflict",
        )

    def _record_begin(
        self, row: WaveRow, pool: str, items: list[Begun], committed: bool
    ) -> None:
        reason = "" if committed else "another writer changed the rows"
        code = "wave-begun" if committed else "wave-conflict"
        record, wave = self.recorder.record, row.wave.wave_id
        record("pool", pool, code, reason, wave=wave, hosts=len(items))
        for item in items:
            action = item.intent.action
            record("host", item.intent.host_id, code, reason, wave=wave, action=action)

    def _return_candidates(self, row: WaveRow, pool: str) -> list[HostRow]:
        """Return the hosts that may leave: only maintained ones if there are any."""
        members = [
            item
            for item in self.view.of_pool(pool)
            if item.host.state is HostState.IN_SERVICE
        ]
        maintained = [
            item for item in members if not is_due(item.host, row.wave.started_s)
        ]
        return maintained or members

    async def _choose(
        self, rows: PoolRows, candidates: Iterable[HostRow], count: int
    ) -> list[HostRow]:
        by_host_id = {item.host.host_id: item for item in candidates}
        live = await self.platform.live_hosts()
        budget = rows.view(self.view.of_pool(rows.name), live)
        chosen = select(budget, [item.host for item in by_host_id.values()])
        return [by_host_id[host_id] for host_id in chosen[:count]]


def _intent(
    row: WaveRow, host_id: str, target: PoolRows | None, lease: Lease
) -> HostIntent:
    return HostIntent(
        intent_id=lease.new_id(),
        duty="hosts",
        action="move" if target else "maintain",
        host_id=host_id,
        target_pool=target.name if target else "",
        target_owner=target.pool.owner if target and target.pool else "",
        group=row.wave.wave_id,
        group_started_s=row.wave.started_s,
    )
