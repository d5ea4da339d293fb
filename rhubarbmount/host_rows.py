"""Host rows, and the head row whose version every change of them advances."""

from collections.abc import Iterable, Mapping
from typing import Any

import attrs

from rhubarbmount.hosts import Host, HostState, dump_host, load_host
from rhubarbmount.store.interface import Platform, Precondition, Row, Write
from rhubarbmount.tables import FLEET_HEAD, HEADS_TABLE, HOSTS_TABLE

__all__ = ["HostRows", "HostChange", "HostRow", "TransactionBuilder", "host_update"]

CHANGES_KEPT = 32


@attrs.frozen
class HostRow:
    """A host together with the version of its stored row."""

    host: Host
    version: int


@attrs.frozen
class HostChange:
    """A change of a host: its row as read, and its new value.

    ``before`` is None for a new host, ``after`` for one that is deleted.
    """

    before: HostRow | None
    after: Host | None


@attrs.define
class TransactionBuilder:
    """Preconditions and writes collected for one transaction."""

    preconditions: list[Precondition] = attrs.field(factory=list)
    writes: list[Write] = attrs.field(factory=list)

    def require(self, table: str, key: str, version: int) -> None:
        """Require the row to have this version; 0 requires that there is no row."""
        self.preconditions.append(Precondition(table, key, version=version))

    def write(self, table: str, key: str, value: Mapping[str, Any] | None) -> None:
        """Write the row, or delete it if the value is None."""
        self.writes.append(Write(table, key, value))

    def add(self, other: "TransactionBuilder") -> None:
        """Append the preconditions and writes of another builder."""
        self.preconditions.extend(other.preconditions)
        self.writes.extend(other.writes)


@attrs.define
class HostRows:
    """Cached view of all host rows; a refresh reads only the rows that changed."""

    platform: Platform
    row_by_host_id: dict[str, HostRow] = attrs.field(factory=dict)
    head: Row | None = None
    _ids_by_pool: dict[str, set[str]] = attrs.field(factory=dict)
    _ids_by_cause: dict[str, set[str]] = attrs.field(factory=dict)
    _stale_ids: set[str] = attrs.field(factory=set)

    async def refresh(self) -> None:
        """Update the view to at least the version of the head row.

        The head is read before the hosts, so a change made meanwhile is read now or
        at the next refresh, never missed.
        """
        head = await self.platform.read(HEADS_TABLE, FLEET_HEAD)
        changed = _host_ids_changed_since(self.head, head)
        if changed is None:
            await self._scan()
        else:
            for host_id in self._stale_ids.union(changed):
                await self._read(host_id)
        self._stale_ids.clear()
        self.head = head

    def doubt(self, host_ids: Iterable[str]) -> None:
        """Mark hosts to be read again at the next refresh, whatever the head says.

        Otherwise a row that was written without advancing the head would make every
        later transaction on that host conflict.
        """
        self._stale_ids.update(host_ids)

    def of_pool(self, pool: str) -> list[HostRow]:
        """Return the hosts of a pool, sorted by host id."""
        host_ids = sorted(self._ids_by_pool.get(pool, ()))
        return [self.row_by_host_id[host_id] for host_id in host_ids]

    def of_cause(self, cause: str) -> list[HostRow]:
        """Return the hosts out of service with this cause, sorted by host id."""
        host_ids = sorted(self._ids_by_cause.get(cause, ()))
        return [self.row_by_host_id[host_id] for host_id in host_ids]

    async def _scan(self) -> None:
        rows = await self.platform.scan(HOSTS_TABLE)
        self.row_by_host_id.clear()
        self._ids_by_pool.clear()
        self._ids_by_cause.clear()
        for row in rows:
            self._put(row)

    async def _read(self, host_id: str) -> None:
        row = await self.platform.read(HOSTS_TABLE, host_id)
        self._drop(host_id)
        if row is not None:
            self._put(row)

    def _put(self, row: Row) -> None:
        host = load_host(dict(row.value))
        self.row_by_host_id[row.key] = HostRow(host, row.version)
        self._ids_by_pool.setdefault(host.pool, set()).add(row.key)
        if host.state is not HostState.IN_SERVICE:
            self._ids_by_cause.setdefault(host.cause, set()).add(row.key)

    def _drop(self, host_id: str) -> None:
        known = self.row_by_host_id.pop(host_id, None)
        if known is None:
            return
        self._ids_by_pool[known.host.pool].discard(host_id)
        if known.host.state is not HostState.IN_SERVICE:
            self._ids_by_cause[known.host.cause].discard(host_id)
            if not self._ids_by_cause[known.host.cause]:
                del self._ids_by_cause[known.host.cause]


def host_update(head: Row | None, changes: Iterable[HostChange]) -> TransactionBuilder:
    """Return the preconditions and writes that change these host rows.

    Every host row must still have the version that was read, and the head advances
    by one.
    """
    transaction = TransactionBuilder()
    host_ids = []
    for change in changes:
        host_id = _host_id(change)
        version = change.before.version if change.before else 0
        transaction.require(HOSTS_TABLE, host_id, version)
        row = dump_host(change.after) if change.after else None
        transaction.write(HOSTS_TABLE, host_id, row)
        host_ids.append(host_id)
    transaction.require(HEADS_TABLE, FLEET_HEAD, head.version if head else 0)
    transaction.write(HEADS_TABLE, FLEET_HEAD, _advanced_head(head, host_ids))
    return transaction


def _host_id(change: HostChange) -> str:
    if change.after is not None:
        return change.after.host_id
    if change.before is not None:
        return change.before.host.host_id
    raise ValueError("host change has neither a row before it nor a host after it")


def _advanced_head(head: Row | None, host_ids: list[str]) -> dict[str, Any]:
    value: dict[str, Any] = dict(head.value) if head else {"version": 0, "changes": []}
    version = value["version"] + 1
    changes = list(value["changes"])
    changes += [[version, host_id] for host_id in host_ids]
    return value | {"version": version, "changes": changes[-CHANGES_KEPT:]}


def _host_ids_changed_since(known: Row | None, head: Row | None) -> list[str] | None:
    """Return the ids of hosts to read again, or None if all must be scanned.

    All must be if there is no head, or if the changes it keeps do not reach back to
    the known version.
    """
    if head is None or known is None:
        return None
    if head.version == known.version:
        return []
    known_version = known.value["version"]
    changes = head.value["changes"]
    if not changes or changes[0][0] > known_version:
        return None
    return sorted({host_id for version, host_id in changes if version > known_version})
