"""Record of where backend servers with tasks are reached, for the next holder."""

import json
import zlib
from collections.abc import Container

import attrs

from rhubarbmount.batch.model import Server
from rhubarbmount.batch.record_fields import load_object, raises_unreadable_record

__all__ = ["ServerRecords"]

ROW_COUNT = 16


@attrs.frozen
class _Record:
    """How to reach one lifetime, and the host that it runs on."""

    address: str
    host_id: str


@attrs.define(eq=False)
class ServerRecords:
    """Addresses and hosts of the servers that have tasks, spread over ROW_COUNT rows.

    A server that has tasks may be listed no more when the next holder takes over. That
    one then asks it here whether its lifetime goes on.
    """

    _record_by_server_id: dict[str, _Record] = attrs.field(factory=dict)
    _changed_keys: set[str] = attrs.field(factory=set)

    @raises_unreadable_record
    def load(self, value: bytes) -> None:
        """Load a row that an earlier holder stored. Raises UnreadableRecord."""
        loaded = {
            server_id: _decode_record(fields)
            for server_id, fields in load_object(value).items()
        }
        self._record_by_server_id = loaded | self._record_by_server_id

    def note(self, server: Server) -> None:
        """Record a server before its first task is stored."""
        record = _Record(server.address, server.host_id)
        if self._record_by_server_id.get(server.id) != record:
            self._record_by_server_id[server.id] = record
            self._changed_keys.add(_key_of(server.id))

    def find(self, server_id: str) -> Server | None:
        """Return a recorded server, of which nothing else is known, or None."""
        record = self._record_by_server_id.get(server_id)
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
        """Return all recorded servers."""
        found = (self.find(server_id) for server_id in self._record_by_server_id)
        return [server for server in found if server is not None]

    def encode_changed(self, server_ids_in_use: Container[str]) -> dict[str, bytes]:
        """Return the values of the rows that have changed, by key.

        Servers that are no longer in use are left out.
        """
        keys, self._changed_keys = self._changed_keys, set()
        if not keys:
            return {}
        self._record_by_server_id = {
            server_id: record
            for server_id, record in self._record_by_server_id.items()
            if server_id in server_ids_in_use
        }
        records_by_key: dict[str, dict[str, list[str]]] = {key: {} for key in keys}
        for server_id, record in self._record_by_server_id.items():
            records = records_by_key.get(_key_of(server_id))
            if records is not None:
                records[server_id] = [record.address, record.host_id]
        return {
            key: json.dumps(records, separators=(",", ":")).encode("utf-8")
            for key, records in records_by_key.items()
        }


def _decode_record(fields: list[str]) -> _Record:
    address, host_id = fields
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit() or not isinstance(host_id, str):
        raise ValueError("not an address and a host")
    return _Record(address, host_id)


def _key_of(server_id: str) -> str:
    """Return the key of the row that holds the record of a server."""
    return str(zlib.crc32(server_id.encode("utf-8")) % ROW_COUNT)
