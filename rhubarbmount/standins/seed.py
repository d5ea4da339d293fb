"""The rows and objects that a stand-in platform starts with."""

import json
from typing import Any

import attrs

from rhubarbmount.entries import entry_key
from rhubarbmount.hosts import Host
from rhubarbmount.platform.interface import Transaction, Write

__all__ = ["Seed"]


@attrs.frozen(kw_only=True)
class Seed:
    """Hosts, and entries as lists of plain values by kind."""

    hosts: tuple[Host, ...] = ()
    entries: dict[str, tuple[dict[str, Any], ...]] = attrs.field(factory=dict)

    def transactions(self) -> list[Transaction]:
        """Return the transactions that write the entries and the heads."""
        writes = []
        for kind, values in self.entries.items():
            for entry in values:
                key = entry_key(kind, entry["name"])
                row = {"kind": kind, "values": entry}
                writes.append(Write("entries", key, row))
        writes.append(
            Write("heads", "catalogue", {"version": 1, "object": "catalogue/1"})
        )
        writes.append(Write("heads", "fleet", {"version": 1, "changes": []}))
        return [Transaction("seed", (), tuple(writes))]

    def objects(self) -> dict[str, bytes]:
        """Return the first catalogue snapshot."""
        entries = {
            entry_key(kind, entry["name"]): entry
            for kind, values in self.entries.items()
            for entry in values
        }
        body = {"version": 1, "entries": entries}
        return {"catalogue/1": json.dumps(body).encode("utf-8")}
