"""Repair of failing hosts, and the number of buffer hosts that it requires."""

import logging
import math
from collections.abc import Callable, Iterable, Mapping

import attrs

from rhubarbmount.budgets import (
    SERVING_STATES,
    PermissionCode,
    PoolRows,
    decide,
    read_pool_rows,
)
from rhubarbmount.duty_runner import Lease
from rhubarbmount.explain import DecisionRecorder
from rhubarbmount.fleet_counters import FleetCounters
from rhubarbmount.host_begin import Begun, begin_changes, next_host
from rhubarbmount.host_rows import HostChange, HostRow, HostRows, host_update
from rhubarbmount.host_work import HostIntent, HostTransition, Observation
from rhubarbmount.hosts import Host, HostState
from rhubarbmount.log import event
from rhubarbmount.store.interface import LiveHost, Platform
from rhubarbmount.tables import SUSPECTS_TABLE

__all__ = ["BufferNeed", "RepairBounds", "RepairDuty", "buffer_need"]

DAY_S = 24 * 3600
HOSTS_PER_ROUND = 8
RECHECK_S = 15.0
Figures = Mapping[str, int]
NO_FIGURES: Figures = {}
REBOOT_CAUSE = "repair:failing"
REPLACE_CAUSE = "repair:failing-again"
REBOOT_FAILED_CAUSE = "reboot:quarantine"
logger = logging.getLogger("rhubarbmount.repair")


@attrs.frozen(kw_only=True)
class RepairBounds:
    """Time limits after which a host is quarantined or replaced.

    A host that has not been ready for ``failing_s``, or not listed as live for
    ``unlisted_s``, is quarantined; a host suspected by scheduling counts as not
    ready. One that fails again within ``again_s`` of its last repair is replaced.
    """

    failing_s: float = 30.0
    unlisted_s: float = 120.0
    again_s: float = float(DAY_S)


def _any_host(host: Host) -> bool:
    return True


@attrs.define
class RepairDuty:
    """Duty that quarantines and reboots failing hosts and replaces repeat failures.

    Only hosts for which ``may_fail`` is true are observed; the others count as ready.
    """

    platform: Platform
    observe: Callable[[Host], Observation]
    wall_clock: Callable[[], float]
    buffer_pool: str = ""
    bounds: RepairBounds = attrs.field(factory=RepairBounds)
    counters: FleetCounters = attrs.field(factory=FleetCounters)
    name: str = "repair"
    recorder: DecisionRecorder = attrs.field(factory=DecisionRecorder)
    may_fail: Callable[[Host], bool] = _any_host
    view: HostRows = attrs.field(init=False)
    _failing_since_s: dict[tuple[str, str], float] = attrs.field(factory=dict)
    _held: dict[str, tuple[str, float]] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.view = HostRows(self.platform)

    def forget(self) -> None:
        """Drop all cached state."""
        self.view = HostRows(self.platform)
        self._failing_since_s.clear()
        self._held.clear()

    async def do_round(self, lease: Lease) -> None:
        """Move each failing host one transition further towards repair."""
        live = await self.platform.live_hosts()
        suspects = {row.key for row in await self.platform.scan(SUSPECTS_TABLE)}
        await self.view.refresh()
        now_s = lease.clock()
        failing = self._not_held(self._failing(live, suspects, now_s), now_s)
        for row in failing[:HOSTS_PER_ROUND]:
            await self._quarantine(row, live, lease)
        quarantined = self._not_held(self._in_state(HostState.QUARANTINED), now_s)
        for row in quarantined[:HOSTS_PER_ROUND]:
            await self._repair(row, live, lease)

    def _not_held(self, rows: Iterable[HostRow], now_s: float) -> list[HostRow]:
        """Return the rows of hosts not refused a repair within ``RECHECK_S``."""
        due = []
        for row in rows:
            _, held_s = self._held.get(row.host.host_id, ("", float("-inf")))
            if now_s - held_s >= RECHECK_S:
                due.append(row)
        return due

    def _in_state(self, state: HostState) -> list[HostRow]:
        rows = self.view.row_by_host_id.values()
        return [row for row in list(rows) if row.host.state is state]

    def _failing(
        self, live: Iterable[LiveHost], suspects: set[str], now_s: float
    ) -> list[HostRow]:
        listed = {item.host_id for item in live if not item.leaving}
        since_s: dict[tuple[str, str], float] = {}
        found = []
        for row in self._in_state(HostState.IN_SERVICE):
            host_id = row.host.host_id
            limit_s = {}
            if host_id not in listed:
                limit_s["unlisted"] = self.bounds.unlisted_s
            if host_id in suspects or self._is_unready(row.host):
                limit_s["unready"] = self.bounds.failing_s
            for symptom, wait_s in limit_s.items():
                key = (host_id, symptom)
                since_s[key] = self._failing_since_s.get(key, now_s)
                if now_s - since_s[key] >= wait_s and row not in found:
                    found.append(row)
        self._failing_since_s = since_s
        return found

    def _is_unready(self, host: Host) -> bool:
        return self.may_fail(host) and self.observe(host).ready is False

    async def _quarantine(
        self, row: HostRow, live: list[LiveHost], lease: Lease
    ) -> None:
        """Take a failing host out of service if the pool's budget allows it."""
        host = row.host
        rows = await self._allowed(host, live, lease.clock())
        if rows is None:
            return
        cause = REBOOT_CAUSE
        if self._was_recently_repaired(host):
            cause = REPLACE_CAUSE
        quarantined = next_host(
            host, HostTransition("quarantine"), self.wall_clock(), cause
        )
        transaction = rows.touch_update()
        transaction.add(host_update(self.view.head, [HostChange(row, quarantined)]))
        if not await lease.commit(transaction):
            self.view.doubt([host.host_id])
        else:
            self.counters.quarantines_by_pool[host.pool] += 1
            event(logger, "host-quarantined", host=host.host_id, cause=cause)
            self.recorder.record(
                "host", host.host_id, "quarantine", cause, pool=host.pool
            )
        await self.view.refresh()

    async def _repair(self, row: HostRow, live: list[LiveHost], lease: Lease) -> None:
        """Begin the reboot or the replacement of a quarantined host.

        While there is no spare, a host that no repair has rebooted yet is rebooted.
        """
        host = row.host
        rows = await self._allowed(host, live, lease.clock())
        if rows is None:
            return
        action = "reboot" if host.cause == REBOOT_CAUSE else "replace"
        spare = None
        if action == "replace" and self._needs_spare(host, rows):
            spare = await self._spare(host.pool, live)
            if spare is None and host.cause in (REPLACE_CAUSE, REBOOT_FAILED_CAUSE):
                self._hold(host, "no-spare", lease.clock())
                return
            action = "replace" if spare else "reboot"
        quarantined = Begun(row, _intent(lease, action, host.host_id))
        transaction, changes = begin_changes(rows, [quarantined], self.wall_clock())
        if spare is not None:
            spare_rows, spare_row = spare
            move = _intent(lease, "move", spare_row.host.host_id, rows)
            more, moved = begin_changes(
                spare_rows, [Begun(spare_row, move)], self.wall_clock()
            )
            transaction.add(more)
            changes += moved
        transaction.add(host_update(self.view.head, changes))
        changed = [change.after for change in changes if change.after]
        host_ids = [item.host_id for item in changed]
        if not await lease.commit(transaction):
            self.view.doubt(host_ids)
        else:
            hosts = ",".join(host_ids)
            event(logger, "repair-begun", hosts=hosts, pool=host.pool, action=action)
            for item in changed:
                self.recorder.record("host", item.host_id, "repair-begun", item.cause)
        await self.view.refresh()

    def _needs_spare(self, host: Host, rows: PoolRows) -> bool:
        """Return whether the pool has too few serving hosts without this one."""
        members = self.view.of_pool(host.pool)
        serving = sum(row.host.state in SERVING_STATES for row in members)
        return rows.pool is None or serving < rows.pool.hosts_wanted

    async def _spare(
        self, pool: str, live: list[LiveHost]
    ) -> tuple[PoolRows, HostRow] | None:
        """Return a host that may leave the buffer pool, or None if there is none."""
        rows = await read_pool_rows(self.platform, self.buffer_pool)
        await self.view.refresh()
        if rows.pool is None or pool == self.buffer_pool:
            return None
        members = self.view.of_pool(self.buffer_pool)
        view = rows.view(members, live)
        for row in members:
            permission = decide(view, row.host.host_id, row.host.rack)
            in_service = row.host.state is HostState.IN_SERVICE
            if in_service and permission.code is PermissionCode.ALLOWED:
                return rows, row
        return None

    async def _allowed(
        self, host: Host, live: list[LiveHost], now_s: float
    ) -> PoolRows | None:
        """Return the pool's rows if the host may be down; otherwise log it once."""
        rows = await read_pool_rows(self.platform, host.pool)
        await self.view.refresh()
        if rows.pool is None:
            return None
        view = rows.view(self.view.of_pool(host.pool), live)
        permission = decide(view, host.host_id, host.rack)
        if permission.allowed:
            self._held.pop(host.host_id, None)
            return rows
        self._hold(host, permission.code.value, now_s, permission.figures())
        return None

    def _hold(
        self,
        host: Host,
        code: str,
        now_s: float,
        figures: Figures = NO_FIGURES,
    ) -> None:
        """Record why a failing host cannot be repaired now, and log each cause once."""
        record = self.recorder.record
        record("host", host.host_id, "repair-held", code, pool=host.pool, **figures)
        record("pool", host.pool, "repair-held", code, host=host.host_id, **figures)
        held_code, _ = self._held.get(host.host_id, ("", 0.0))
        if held_code != code:
            self.counters.held_by_code[code] += 1
            event(logger, "repair-held", host=host.host_id, pool=host.pool, code=code)
        self._held[host.host_id] = (code, now_s)

    def _was_recently_repaired(self, host: Host) -> bool:
        repaired = host.cause.startswith("reboot:")
        return repaired and self.wall_clock() - host.since_s < self.bounds.again_s


def _intent(
    lease: Lease, action: str, host_id: str, target: PoolRows | None = None
) -> HostIntent:
    return HostIntent(
        intent_id=lease.new_id(),
        duty="hosts",
        action=action,
        host_id=host_id,
        target_pool=target.name if target else "",
        target_owner=target.pool.owner if target and target.pool else "",
    )


@attrs.frozen
class BufferNeed:
    """The number of buffer hosts needed for failures, and their share of the fleet."""

    hosts: int
    share: float


def buffer_need(
    *,
    hosts: int,
    failures_per_day: float,
    repair_days: float,
    rack_size: int,
    racks_per_month: float,
    rack_repair_days: float,
    shortage: float = 0.001,
) -> BufferNeed:
    """Return the smallest buffer that falls short at most ``shortage`` of the time.

    Failures of single hosts are modelled as a Poisson process. A whole rack is added
    if the share of the time that one is down exceeds ``shortage``.

    >>> buffer_need(hosts=2600, failures_per_day=23, repair_days=1, rack_size=4,
    ...             racks_per_month=1, rack_repair_days=1).hosts
    43
    """
    mean = failures_per_day * repair_days
    term = math.exp(-mean)
    cumulative = term
    needed = 0
    while 1.0 - cumulative > shortage:
        needed += 1
        term *= mean / needed
        cumulative += term
    if racks_per_month / 30.0 * rack_repair_days > shortage:
        needed += rack_size
    return BufferNeed(needed, needed / hosts)
