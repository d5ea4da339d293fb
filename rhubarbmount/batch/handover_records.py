"""Rows by which the next holder of a shard learns what earlier ones have done."""

from collections.abc import Iterable

import attrs
import trio

from rhubarbmount.batch.clocks import monotonic_s
from rhubarbmount.batch.committer import Committer
from rhubarbmount.batch.earlier_grants import EarlierGrants
from rhubarbmount.batch.election import ShardLease
from rhubarbmount.batch.host_command_times import HostCommandTimes
from rhubarbmount.batch.model import Server
from rhubarbmount.batch.record_fields import UnreadableRecord
from rhubarbmount.batch.server_records import ServerRecords
from rhubarbmount.batch.shard_rows import LoadedShard, ShardLoader
from rhubarbmount.batch.silent_servers import SilentServers
from rhubarbmount.batch.tables import silent_servers_row
from rhubarbmount.batch.unreadable_rows import UnreadableRows
from rhubarbmount.batch.used_lifetimes import UsedLifetimes
from rhubarbmount.batch.wave_record import WaveRecord
from rhubarbmount.platform.rows import Row, RowStore
from rhubarbmount.platform.settings import Bounds

__all__ = ["HandoverRecords"]

# The least time of a record made at a takeover, as a fraction of the longest lease.
RECORD_FRACTION = 0.8


@attrs.define(eq=False)
class HandoverRecords:
    """Servers with tasks, silent servers, commands to hosts, and maintained hosts."""

    store: RowStore
    name: str
    shard_lease: ShardLease
    committer: Committer
    loader: ShardLoader
    bounds: Bounds
    unreadable_rows: UnreadableRows
    command_times: HostCommandTimes = attrs.field(init=False)
    silent_servers: SilentServers = attrs.field(init=False)
    servers: ServerRecords = attrs.field(factory=ServerRecords)
    # Set once the rows of servers may be written without losing what they hold.
    has_loaded_servers: bool = False
    used_lifetimes: UsedLifetimes = attrs.field(
        factory=lambda: UsedLifetimes(is_complete=False, read_at_s=monotonic_s())
    )
    # Set once the same holds for the rows of lifetimes.
    has_loaded_lifetimes: trio.Event = attrs.field(factory=trio.Event)
    earlier_grants: EarlierGrants = attrs.field(init=False)
    wave_by_number: dict[int, WaveRecord] = attrs.field(factory=dict)
    # Waves whose progress can't be read. Which hosts were maintained is not known, so
    # that nothing of them is planned.
    unreadable_waves: set[int] = attrs.field(factory=set)

    def __attrs_post_init__(self) -> None:
        self.command_times = HostCommandTimes(self.store.clock_s, self.bounds.lease_s)
        self.silent_servers = SilentServers(
            self.store.clock_s, self.store.latest_clock_s
        )
        self.earlier_grants = EarlierGrants(
            self.shard_lease.earlier, self.silent_servers
        )

    async def load(self, loaded: LoadedShard, has_silent_servers: bool) -> None:
        """Load the rows that were read with the shard.

        Those of silent servers are left out if they are known already.
        """
        for row in loaded.command_times.rows:
            self._load_command_times(row)
        if not has_silent_servers:
            for row in loaded.silent_servers.rows:
                await self._load_silent_servers(row)
        for row in loaded.waves.rows:
            self._load_wave(row)

    async def load_servers(self) -> None:
        """Load where earlier holders reached the servers with tasks."""
        for row in (await self.loader.load_server_records()).rows:
            try:
                self.servers.load(row.value)
            except UnreadableRecord as error:
                self.unreadable_rows.report(row, error)

    async def load_lifetimes(self) -> None:
        """Load on which lifetimes of servers earlier holders started tasks."""
        has_all = True
        for row in (await self.loader.load_used_lifetimes()).rows:
            try:
                self.used_lifetimes.load(row.value)
            except UnreadableRecord as error:
                self.unreadable_rows.report(row, error)
                has_all = False
        if has_all:
            self.used_lifetimes.note_loaded(monotonic_s())
        self.has_loaded_lifetimes.set()

    async def read_servers_to_renew(self) -> list[Server]:
        """Return where earlier holders started tasks, and load what is silent there.

        While that can't be read, nothing may be granted.
        """
        for row in (await self.loader.load_silent_servers()).rows:
            try:
                self.silent_servers.load(row.value)
            except UnreadableRecord as error:
                self.unreadable_rows.report(row, error)
                return []
        await self.load_servers()
        return self.servers.all()

    async def store_silent(
        self, silent_ids: Iterable[str], answered_ids: Iterable[str]
    ) -> None:
        """Record servers as silent, others as not silent, and store that."""
        self.note_silent(silent_ids)
        for server_id in answered_ids:
            self.silent_servers.drop(server_id)
        name = silent_servers_row(self.name)
        await self.committer.commit_all({name: self.silent_servers.encode()})

    def note_silent(self, server_ids: Iterable[str]) -> None:
        """Record servers with tasks as silent, until they answer this holder.

        The time leaves room to renew all of them before the record is stored anew.
        """
        now_s = monotonic_s()
        least_s = self.bounds.max_lease_s * RECORD_FRACTION
        for server_id in server_ids:
            earlier_s = self.earlier_grants.bound_of(server_id).at_s - now_s
            self.silent_servers.note(server_id, max(earlier_s, least_s))

    def _load_command_times(self, row: Row) -> None:
        try:
            self.command_times.load(row.value)
        except UnreadableRecord as error:
            self.unreadable_rows.report(row, error)
            self.command_times.block_all()

    async def _load_silent_servers(self, row: Row) -> None:
        """Load the record of silent servers; one that can't be read is replaced.

        A server that it names must not be granted anything while a later holder may
        still read it.
        """
        try:
            self.silent_servers.load(row.value)
        except UnreadableRecord as error:
            self.unreadable_rows.report(row, error)
            await self.committer.commit_all({row.name: self.silent_servers.encode()})

    def _load_wave(self, row: Row) -> None:
        number = int(row.name.key)
        try:
            self.wave_by_number[number] = WaveRecord.decode(row.value)
        except UnreadableRecord as error:
            self.unreadable_rows.report(row, error)
            self.unreadable_waves.add(number)
