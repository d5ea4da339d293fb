"""Maintenance waves: operators begin them, and a duty carries them out."""

import logging
from collections.abc import Callable, Iterable, Mapping
from enum import StrEnum
from typing import Any

import attrs
import cattrs

from rhubarbmount.budgets import PoolRows, read_pool_rows
from rhubarbmount.dutyrunner import Lease
from rhubarbmount.errors import ConflictError, NotFound, Refused
from rhubarbmount.hostduty import Begun, begin_terms
from rhubarbmount.hostrows import FleetView, HostRow, Terms
from rhubarbmount.hosts import HostState
from rhubarbmount.hostwork import (
    HOST_PREFIX,
    INTENTS_TABLE,
    HostIntent,
    Progress,
    Step,
    drain_step,
    host_actions,
    load_intent,
    reboot_step,
    return_step,
)
from rhubarbmount.log import event
from rhubarbmount.maintenance import is_due, next_start_s, select
from rhubarbmount.platform.interface import Platform, Row, Transaction
from rhubarbmount.waveplan import WaveSettings

__all__ = ["Control", "Wave", "WaveDuty", "WaveOperator", "maintain_step"]

WAVE_PREFIX = "wave/"
CONTROL_ATTEMPTS = 5
RECHECK_S = 15.0
UNFIT_STATES = (HostState.QUARANTINED, HostState.LEAVING)
logger = logging.getLogger("rhubarbmount.waves")
_converter = cattrs.Converter()


class Control(StrEnum):
    """What the operator wants of a wave."""

    RUNNING = "running"
    PAUSED = "paused"
    CANCELLED = "cancelled"


@attrs.frozen(kw_only=True)
class Wave:
    """Every host of the pools once; no pools means all of them.

    ``started_s`` is in seconds since the epoch.
    """

    wave_id: str
    started_s: float
    pools: tuple[str, ...] = ()
    control: Control = Control.RUNNING
    duty: str = "waves"
    action: str = "wave"
    state: str = "open"

    def covers(self, pool: str) -> bool:
        """Tell whether a pool belongs to the wave."""
        return not self.pools or pool in self.pools


@attrs.frozen
class WaveRow:
    """A wave and the version of its row."""

    wave: Wave
    version: int


@host_actions.register("maintain")
def maintain_step(progress: Progress) -> Step | None:
    """Return the next step of a host's maintenance in its pool."""
    state = progress.host.state
    if state is HostState.DRAINING:
        return drain_step(progress)
    if state is HostState.DRAINED:
        return Step("maintain")
    if state is HostState.MAINTENANCE:
        return reboot_step(progress)
    if state is HostState.RETURNING:
        return return_step(progress)
    return None


def load_wave(values: Mapping[str, Any]) -> Wave:
    """Build a wave from the plain values of its row."""
    return _converter.structure(dict(values), Wave)


def wave_terms(row: WaveRow, wave: Wave) -> Terms:
    """Return what a transaction needs to change a wave."""
    terms = Terms()
    key = WAVE_PREFIX + wave.wave_id
    terms.require(INTENTS_TABLE, key, row.version)
    terms.write(INTENTS_TABLE, key, _converter.unstructure(wave))
    return terms


async def read_waves(platform: Platform) -> list[WaveRow]:
    """Return all waves in order of their ids."""
    rows = await platform.scan(INTENTS_TABLE, WAVE_PREFIX)
    return [WaveRow(load_wave(row.value), row.version) for row in rows]


@attrs.define
class WaveOperator:
    """Start, pause, resume and cancel waves; any entry host may."""

    platform: Platform
    wall_clock: Callable[[], float]
    new_id: Callable[[], str]

    async def start(self, pools: Iterable[str] = ()) -> str:
        """Start a wave and return its id; Refused if one covers a pool already."""
        names = tuple(sorted(pools))
        terms = Terms()
        for row in await read_waves(self.platform):
            if row.wave.state == "open" and _overlap(row.wave.pools, names):
                raise Refused(f"wave {row.wave.wave_id} is open", code="wave-open")
            if row.wave.state == "done":
                key = WAVE_PREFIX + row.wave.wave_id
                terms.require(INTENTS_TABLE, key, row.version)
                terms.write(INTENTS_TABLE, key, None)
        wave = Wave(wave_id=self.new_id(), started_s=self.wall_clock(), pools=names)
        terms.add(wave_terms(WaveRow(wave, 0), wave))
        if not await self._commit(terms):
            raise ConflictError("another operator changed the waves")
        event(logger, "wave-started", wave=wave.wave_id, pools=",".join(names))
        return wave.wave_id

    async def control(self, wave_id: str, control: Control) -> Wave:
        """Pause, resume or cancel a wave; no new host is begun after a pause."""
        for _ in range(CONTROL_ATTEMPTS):
            row = await self.read(wave_id)
            if row.wave.state != "open" or row.wave.control is Control.CANCELLED:
                raise Refused(f"wave {wave_id} is over", code="wave-over")
            wave = attrs.evolve(row.wave, control=control)
            if await self._commit(wave_terms(row, wave)):
                event(logger, "wave-control", wave=wave_id, control=control.value)
                return wave
        raise ConflictError(f"other operators kept changing wave {wave_id}")

    async def read(self, wave_id: str) -> WaveRow:
        """Return a wave, or raise NotFound."""
        row = await self.platform.read(INTENTS_TABLE, WAVE_PREFIX + wave_id)
        if row is None:
            raise NotFound(f"no wave {wave_id!r}")
        return WaveRow(load_wave(row.value), row.version)

    async def _commit(self, terms: Terms) -> bool:
        transaction = Transaction(
            self.new_id(), tuple(terms.preconditions), tuple(terms.writes)
        )
        return (await self.platform.transact(transaction)).committed


@attrs.define
class WaveDuty:
    """Begin the maintenance of hosts as budgets and windows allow."""

    platform: Platform
    wall_clock: Callable[[], float]
    settings: WaveSettings = attrs.field(factory=WaveSettings)
    name: str = "waves"
    view: FleetView = attrs.field(init=False)
    _held_by_pool: dict[str, tuple[int, float]] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.view = FleetView(self.platform)

    def forget(self) -> None:
        """Drop what was remembered."""
        self.view = FleetView(self.platform)
        self._held_by_pool.clear()

    async def do_round(self, lease: Lease) -> None:
        """Begin as many hosts as may go now, and close waves that are over."""
        for row in await read_waves(self.platform):
            if row.wave.state == "open":
                await self._advance(row, lease)

    async def _advance(self, row: WaveRow, lease: Lease) -> None:
        await self.view.refresh()
        members = [
            host_row
            for host_row in self.view.by_host_id.values()
            if row.wave.covers(host_row.host.pool)
        ]
        started_s = row.wave.started_s
        left = [
            host_row
            for host_row in members
            if is_due(host_row.host, started_s)
            and host_row.host.state not in UNFIT_STATES
        ]
        if row.wave.control is Control.CANCELLED or not left:
            await self._close(row, lease)
        elif row.wave.control is Control.RUNNING:
            for pool in sorted({host_row.host.pool for host_row in left}):
                await self._begin_in_pool(row, pool, lease)

    async def _close(self, row: WaveRow, lease: Lease) -> None:
        intents = await self.platform.scan(INTENTS_TABLE, HOST_PREFIX)
        if _has_open(intents, row.wave.wave_id):
            return
        done = attrs.evolve(row.wave, state="done")
        if await lease.commit(wave_terms(row, done)):
            event(logger, "wave-done", wave=done.wave_id, control=done.control.value)

    async def _begin_in_pool(self, row: WaveRow, pool: str, lease: Lease) -> None:
        if self._is_held(pool, lease.clock()):
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
        if rows.pool is None or not self._in_window(rows):
            chosen = []
        else:
            budget = rows.view(members, live)
            chosen = select(budget, [item.host for item in due.values()])
        if not chosen:
            self._hold(pool, lease.clock(), due)
            return
        items = [Begun(due[name], self._intent(row, name, lease)) for name in chosen]
        terms = begin_terms(rows, self.view.head, items, self.wall_clock())
        terms.require(INTENTS_TABLE, WAVE_PREFIX + row.wave.wave_id, row.version)
        committed = await lease.commit(terms)
        event(
            logger,
            "wave-begin",
            wave=row.wave.wave_id,
            pool=pool,
            hosts=",".join(chosen),
            result="begun" if committed else "conflict",
        )

    def _intent(self, row: WaveRow, host_id: str, lease: Lease) -> HostIntent:
        return HostIntent(
            intent_id=lease.new_id(),
            duty="hosts",
            action="maintain",
            host_id=host_id,
            group=row.wave.wave_id,
            group_started_s=row.wave.started_s,
        )

    def _in_window(self, rows: PoolRows) -> bool:
        now_s = self.wall_clock()
        return (
            rows.pool is not None
            and next_start_s(rows.pool, now_s, self.settings.host_s) == now_s
        )

    def _is_held(self, pool: str, now_s: float) -> bool:
        """Tell whether nothing changed in a pool where no host could begin."""
        version, held_s = self._held_by_pool.get(pool, (-1, 0.0))
        return version == self._pool_version(pool) and now_s - held_s < RECHECK_S

    def _hold(self, pool: str, now_s: float, due: Mapping[str, HostRow]) -> None:
        if pool not in self._held_by_pool:
            event(logger, "wave-hold", pool=pool, hosts_due=len(due))
        self._held_by_pool[pool] = (self._pool_version(pool), now_s)

    def _pool_version(self, pool: str) -> int:
        return max((row.version for row in self.view.of_pool(pool)), default=0)


def _overlap(pools: tuple[str, ...], others: tuple[str, ...]) -> bool:
    return not pools or not others or bool(set(pools) & set(others))


def _has_open(rows: Iterable[Row], wave_id: str) -> bool:
    return any(load_intent(row.value).group == wave_id for row in rows)
