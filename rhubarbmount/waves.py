"""Maintenance waves: operators begin them, and a duty carries them out."""

import logging
from collections.abc import Callable, Collection, Iterable, Mapping
from enum import StrEnum
from typing import Any

import attrs

from rhubarbmount.budgets import PoolRows, read_pool_rows
from rhubarbmount.errors import AccessDenied, ConflictError, NotFound, Refused
from rhubarbmount.host_rows import HostRows, TransactionBuilder
from rhubarbmount.log import event
from rhubarbmount.shared_rows import SharedRow, new_converter
from rhubarbmount.store.interface import Platform, Transaction
from rhubarbmount.tables import INTENTS_TABLE

__all__ = [
    "Control",
    "Wave",
    "WaveRow",
    "WaveOperator",
    "dump_wave",
    "load_wave",
    "read_waves",
    "wave_start_update",
    "wave_update",
]

WAVE_PREFIX = "wave/"
STARTS_KEY = "waves"
CONTROL_ATTEMPTS = 5
logger = logging.getLogger("rhubarbmount.waves")
_converter = new_converter()


class Control(StrEnum):
    """What the operator wants of a wave."""

    RUNNING = "running"
    PAUSED = "paused"
    CANCELLED = "cancelled"


@attrs.frozen(kw_only=True)
class Wave(SharedRow):
    """Every host of the pools once; no pools means all of them.

    ``started_s`` is in seconds since the epoch. A pool with spares has its hosts
    replaced, one by one, from ``spares_pool``; its size is ``home_by_pool`` again
    when the wave is over, and ``reserve`` hosts of the spares' pool always stay in
    service there. A pool that has another owner than in ``owner_by_pool``, or no
    entry, is left out from then on, as one of ``dropped_pools``.
    """

    wave_id: str
    started_s: float
    pools: tuple[str, ...] = ()
    spares_pool: str = ""
    spares_by_pool: Mapping[str, int] = attrs.field(factory=dict)
    reserve: int = 0
    home_by_pool: Mapping[str, int] = attrs.field(factory=dict)
    owner_by_pool: Mapping[str, str] = attrs.field(factory=dict)
    dropped_pools: tuple[str, ...] = ()
    control: Control = Control.RUNNING
    duty: str = "waves"
    action: str = "wave"
    state: str = "open"

    def covers(self, pool: str) -> bool:
        """Tell whether a pool belongs to the wave."""
        if pool in self.dropped_pools:
            return False
        return not self.pools or pool in self.pools

    def overlaps(self, names: Iterable[str]) -> bool:
        """Tell whether a wave over these pools, or over all, would meet this one."""
        requested = tuple(names) or self.pools
        return not requested or any(self.covers(name) for name in requested)

    def has_same_owner(self, rows: PoolRows) -> bool:
        """Tell whether a pool is still its owner's, as at the start."""
        if rows.pool is None:
            return False
        owner = self.owner_by_pool.get(rows.name, rows.pool.owner)
        return owner == rows.pool.owner

    def without_pool(self, pool: str) -> "Wave":
        """Return the wave with a pool left out."""
        return attrs.evolve(self, dropped_pools=(*self.dropped_pools, pool))


@attrs.frozen
class WaveRow:
    """A wave and the version of its row."""

    wave: Wave
    version: int


def load_wave(values: Mapping[str, Any]) -> Wave:
    """Build a wave from the plain values of its row."""
    return _converter.structure(dict(values), Wave)


def dump_wave(wave: Wave) -> dict[str, Any]:
    """Return the plain values of a wave."""
    return _converter.unstructure(wave)


def wave_update(row: WaveRow, wave: Wave) -> TransactionBuilder:
    """Return what a transaction needs to change a wave."""
    builder = TransactionBuilder()
    key = WAVE_PREFIX + wave.wave_id
    builder.require(INTENTS_TABLE, key, row.version)
    builder.write(INTENTS_TABLE, key, dump_wave(wave))
    return builder


async def wave_start_update(platform: Platform) -> TransactionBuilder:
    """Return what a transaction needs to start a wave beside no other start."""
    row = await platform.read(INTENTS_TABLE, STARTS_KEY)
    value = {"starts": 0} | (dict(row.value) if row else {})
    builder = TransactionBuilder()
    builder.require(INTENTS_TABLE, STARTS_KEY, row.version if row else 0)
    builder.write(INTENTS_TABLE, STARTS_KEY, value | {"starts": value["starts"] + 1})
    return builder


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

    async def start(
        self,
        pools: Iterable[str] = (),
        spares_pool: str = "",
        spares_by_pool: Mapping[str, int] | None = None,
        owners: Collection[str] | None = None,
        spares_at_once: int = 0,
    ) -> str:
        """Start a wave and return its id; Refused if one covers a pool already.

        All pools must belong to the owners, if any are given. ``spares_at_once``, if
        above 0, is how many hosts of the spares' pool may be in use at once.
        """
        spares = dict(spares_by_pool or {})
        names = tuple(sorted(pools))
        if names and spares:
            names = tuple(sorted({*names, spares_pool}))
        builder = await wave_start_update(self.platform)
        owner_by_pool = {}
        for name in sorted({*names, *([spares_pool] if spares else [])}):
            rows = await self._read_owned_pool(name, owners)
            builder.add(rows.entry_update())
            owner_by_pool[name] = rows.pool.owner if rows.pool else ""
        for row in await read_waves(self.platform):
            if row.wave.state == "open" and row.wave.overlaps(names):
                raise Refused(f"wave {row.wave.wave_id} is open", code="wave-open")
            if row.wave.state == "done":
                key = WAVE_PREFIX + row.wave.wave_id
                builder.require(INTENTS_TABLE, key, row.version)
                builder.write(INTENTS_TABLE, key, None)
        wave = Wave(
            wave_id=self.new_id(),
            started_s=self.wall_clock(),
            pools=names,
            spares_pool=spares_pool,
            spares_by_pool=spares,
            reserve=await self._spares_reserve(spares_pool, spares_at_once),
            home_by_pool=await self._pool_sizes(spares),
            owner_by_pool=owner_by_pool,
        )
        builder.add(wave_update(WaveRow(wave, 0), wave))
        if not await self._commit(builder):
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
            if await self._commit(wave_update(row, wave)):
                event(logger, "wave-control", wave=wave_id, control=control.value)
                return wave
        raise ConflictError(f"other operators kept changing wave {wave_id}")

    async def _read_owned_pool(
        self, name: str, owners: Collection[str] | None
    ) -> PoolRows:
        rows = await read_pool_rows(self.platform, name)
        if rows.pool is None:
            raise NotFound(f"no pool {name!r}")
        if owners is not None and rows.pool.owner not in owners:
            raise AccessDenied(f"pool {name} belongs to {rows.pool.owner}")
        return rows

    async def _spares_reserve(self, spares_pool: str, spares_at_once: int) -> int:
        if not spares_at_once:
            return 0
        sizes = await self._pool_sizes([spares_pool])
        return max(0, sizes[spares_pool] - spares_at_once)

    async def _pool_sizes(self, pools: Iterable[str]) -> dict[str, int]:
        view = HostRows(self.platform)
        await view.refresh()
        return {pool: len(view.of_pool(pool)) for pool in pools}

    async def read(self, wave_id: str) -> WaveRow:
        """Return a wave, or raise NotFound."""
        row = await self.platform.read(INTENTS_TABLE, WAVE_PREFIX + wave_id)
        if row is None:
            raise NotFound(f"no wave {wave_id!r}")
        return WaveRow(load_wave(row.value), row.version)

    async def _commit(self, builder: TransactionBuilder) -> bool:
        transaction = Transaction(
            self.new_id(), tuple(builder.preconditions), tuple(builder.writes)
        )
        return (await self.platform.transact(transaction)).committed
