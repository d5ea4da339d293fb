"""Maintenance waves: their stored rows, and the operations that start and control them.

The waves duty carries them out, see ``wave_duty``.
"""

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
    """The run state that an operator has requested for a wave."""

    RUNNING = "running"
    PAUSED = "paused"
    CANCELLED = "cancelled"


@attrs.frozen(kw_only=True)
class Wave(SharedRow):
    """A maintenance run that takes every host of its pools once.

    Empty ``pools`` means all pools. ``started_s`` is in seconds since the epoch.

    Hosts of a pool in ``spares_by_pool`` are replaced one by one by hosts from
    ``spares_pool``. When the wave ends, the pool is back at its size in
    ``home_by_pool``. ``reserve`` hosts of the spares' pool always stay in service
    there.

    A pool whose entry is gone, or whose owner is no longer the one in
    ``owner_by_pool``, is added to ``dropped_pools`` and ignored from then on.
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
        """Return whether the wave includes a pool."""
        if pool in self.dropped_pools:
            return False
        return not self.pools or pool in self.pools

    def overlaps(self, names: Iterable[str]) -> bool:
        """Return whether a wave over these pools would share a pool with this one.

        No names means all pools.
        """
        requested = tuple(names) or self.pools
        return not requested or any(self.covers(name) for name in requested)

    def has_same_owner(self, rows: PoolRows) -> bool:
        """Return whether a pool exists and still has its owner at the wave's start."""
        if rows.pool is None:
            return False
        owner = self.owner_by_pool.get(rows.name, rows.pool.owner)
        return owner == rows.pool.owner

    def without_pool(self, pool: str) -> "Wave":
        """Return a copy of the wave that excludes a pool."""
        return attrs.evolve(self, dropped_pools=(*self.dropped_pools, pool))


@attrs.frozen
class WaveRow:
    """A wave together with the version of its stored row."""

    wave: Wave
    version: int


def load_wave(values: Mapping[str, Any]) -> Wave:
    """Deserialise a wave from the values of its row."""
    return _converter.structure(dict(values), Wave)


def dump_wave(wave: Wave) -> dict[str, Any]:
    """Serialise a wave to the values of its row."""
    return _converter.unstructure(wave)


def wave_update(row: WaveRow, wave: Wave) -> TransactionBuilder:
    """Return the preconditions and writes that replace a wave's row."""
    builder = TransactionBuilder()
    key = WAVE_PREFIX + wave.wave_id
    builder.require(INTENTS_TABLE, key, row.version)
    builder.write(INTENTS_TABLE, key, dump_wave(wave))
    return builder


async def wave_start_update(platform: Platform) -> TransactionBuilder:
    """Return the preconditions and writes that make concurrent starts conflict.

    Every start increments one shared counter row, so of two concurrent starts only
    one commits.
    """
    row = await platform.read(INTENTS_TABLE, STARTS_KEY)
    value = {"starts": 0} | (dict(row.value) if row else {})
    builder = TransactionBuilder()
    builder.require(INTENTS_TABLE, STARTS_KEY, row.version if row else 0)
    builder.write(INTENTS_TABLE, STARTS_KEY, value | {"starts": value["starts"] + 1})
    return builder


async def read_waves(platform: Platform) -> list[WaveRow]:
    """Return all waves, sorted by id."""
    rows = await platform.scan(INTENTS_TABLE, WAVE_PREFIX)
    return [WaveRow(load_wave(row.value), row.version) for row in rows]


@attrs.define
class WaveOperator:
    """Operations to start, pause, resume and cancel waves.

    Every entry host may run them; no lease is needed.
    """

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
        """Start a wave and return its id.

        If ``owners`` are given, every pool must belong to one of them.
        ``spares_at_once``, if above 0, limits how many hosts of the spares' pool may
        be in use at once. Finished waves are deleted in the same transaction.

        Raises Refused if an open wave covers one of the pools, NotFound or
        AccessDenied for a pool that is missing or belongs to someone else, and
        ConflictError if another transaction changed the same rows first.
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
                raise Refused(
                    f"wave {row.wave.wave_id} covers some of these pools and is open",
                    code="wave-open",
                )
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
            raise ConflictError(
                "wave not started: another transaction changed the same rows first"
            )
        event(logger, "wave-started", wave=wave.wave_id, pools=",".join(names))
        return wave.wave_id

    async def control(self, wave_id: str, control: Control) -> Wave:
        """Pause, resume or cancel a wave.

        After a pause, maintenance of no further host begins. Raises NotFound if
        there is no such wave, Refused if it has ended or was cancelled, and
        ConflictError if other writes to its row came first at every attempt.
        """
        for _ in range(CONTROL_ATTEMPTS):
            row = await self.read(wave_id)
            if row.wave.state != "open" or row.wave.control is Control.CANCELLED:
                raise Refused(
                    f"wave {wave_id} has ended or was cancelled", code="wave-over"
                )
            wave = attrs.evolve(row.wave, control=control)
            if await self._commit(wave_update(row, wave)):
                event(logger, "wave-control", wave=wave_id, control=control.value)
                return wave
        raise ConflictError(f"wave {wave_id} was changed by others at every attempt")

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
        """Return a wave and its row's version; raises NotFound if there is none."""
        row = await self.platform.read(INTENTS_TABLE, WAVE_PREFIX + wave_id)
        if row is None:
            raise NotFound(f"no wave {wave_id!r}")
        return WaveRow(load_wave(row.value), row.version)

    async def _commit(self, builder: TransactionBuilder) -> bool:
        transaction = Transaction(
            self.new_id(), tuple(builder.preconditions), tuple(builder.writes)
        )
        return (await self.platform.transact(transaction)).committed
