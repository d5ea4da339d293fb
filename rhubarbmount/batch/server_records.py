"""Record of where backend servers with tasks are reached, for the next holder."""

from collections.abc import Container

import attrs

from rhubarbmount.batch.lifetimes import name_of
from rhubarbmount.batch.model import Server
from rhubarbmount.batch.record_fields import (
    encode_rows,
    load_object,
    raises_unreadable_record,
    row_key_of,
)

__all__ = ["ServerRecords"]


@attrs.frozen
class _Record:
    """How to reach a server, and the host that it runs on."""

    address: str
    host_id: str


@attrs.define(eq=False)
class ServerRecords:
    """Addresses and hosts of the servers that have tasks, spread over some rows.

    A server that has tasks may be listed no more when the next holder takes over. That
    one then asks it here whether its lifetime goes on. Records are kept by name: the
    answer tells which lifetime the server has, and older builds know names only.
    """

    _record_by_name: dict[str, _Record] = attrs.field(factory=dict)
    _changed_keys: set[str] = attrs.field(factory=set)

    @raises_unreadable_record
    def load(self, value: bytes) -> None:
        """Load a row that an earlier holder stored. Raises UnreadableRecord."""
        loaded = {
            name: _decode_record(fields) for name, fields in load_object(value).items()
        }
        self._record_by_name = loaded | self._record_by_name

    def note(self, server: Server) -> None:
        """Record a server before its first task is stored."""
        record = _Record(server.address, server.host_id)
        if self._record_by_name.get(server.name) != record:
            self._record_by_name[server.name] = record
            self._changed_keys.add(row_key_of(server.name))

    def find(self, server_id: str) -> Server | None:
        """Return a lifetime of a recorded server, or None; nothing else is known."""
        record = self._record_by_name.get(name_of(server_id))
        if record is None:
            return None
        return Server(
            id=server_id,
            service="",
            address=record.address,
            data_centre="",
            is_draining=False,
            cpu_millicores=0,
            memory_mb=0,
            gpu=0,
            labels=frozenset(),
            rack="",
            version=0,
            host_id=record.host_id,
        )

    def all(self) -> list[Server]:
        """Return all recorded servers; which lifetimes they have is not known."""
        found = (self.find(name) for name in self._record_by_name)
        return [server for server in found if server is not None]

    def encode_changed(self, names_in_use: Container[str]) -> dict[str, bytes]:
        """Return the values of the rows that have changed, by key.

        Servers that are no longer in use are left out.
        """
        keys, self._changed_keys = self._changed_keys, set()
        if not keys:
            return {}
        self._record_by_name = {
            name: record
            for name, record in self._record_by_name.items()
            if name in names_in_use
        }
        fields_by_name = {
            name: [record.address, record.host_id]
            for name, record in self._record_by_name.items()
        }
        return encode_rows(fields_by_name, keys)


def _decode_record(fields: list[str]) -> _Record:
    address, host_id = fields
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit() or not isinstance(host_id, str):
        raise ValueError("not an address and a host")
    return _Record(address, host_id)
