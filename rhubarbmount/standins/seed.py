"""The hosts and entries that a stand-in platform starts with, read from YAML."""

from typing import Any

import attrs

from rhubarbmount.catalogue import Snapshot, encode_snapshot
from rhubarbmount.catalogue_checks import find_faults
from rhubarbmount.entries import dump_entry, entry_key, entry_kinds
from rhubarbmount.errors import Finding, FindingsError
from rhubarbmount.hosts import Host, dump_host
from rhubarbmount.store.interface import Platform, Transaction, Write
from rhubarbmount.structure import Fault, structure
from rhubarbmount.tables import CATALOGUE_HEAD, ENTRIES_TABLE, HEADS_TABLE, HOSTS_TABLE
from rhubarbmount.yaml_file import YamlFile, read_yaml

__all__ = ["Seed", "check_seed", "load_seed", "write_seed"]

Path = tuple[str | int, ...]

SNAPSHOT_OBJECT = "catalogue/seed"


@attrs.frozen(kw_only=True)
class SeedFile:
    """A seed as written: hosts, and entries as plain values by kind."""

    hosts: tuple[Host, ...] = ()
    entries: dict[str, tuple[dict[str, Any], ...]] = attrs.field(factory=dict)


@attrs.frozen
class Seed:
    """Hosts and a first catalogue."""

    hosts: tuple[Host, ...]
    snapshot: Snapshot


def check_seed(file: YamlFile) -> tuple[Seed | None, list[Finding]]:
    """Return the seed and every finding."""
    written, faults = structure(file.values, SeedFile)
    if written is None:
        return None, _place(file, faults)
    snapshot = Snapshot()
    path_by_key: dict[str, Path] = {}
    for kind, entries in written.entries.items():
        if kind not in entry_kinds:
            faults.append(Fault(("entries", kind), "unknown-kind", f"no kind {kind!r}"))
            continue
        for index, values in enumerate(entries):
            path: Path = ("entries", kind, index)
            entry, found = structure(values, entry_kinds.get(kind), path)
            faults.extend(found)
            if entry is not None:
                snapshot = snapshot.with_entry(kind, entry)
                path_by_key[entry_key(kind, entry.name)] = path
    findings = _place(file, faults) or [
        attrs.evolve(finding, place=file.place(_path(finding.place, path_by_key)))
        for finding in find_faults(snapshot)
    ]
    findings += _unknown_pools(file, written.hosts, snapshot)
    return Seed(written.hosts, snapshot), findings


def load_seed(name: str) -> Seed:
    """Read a seed from a file. Raises FindingsError."""
    seed, findings = check_seed(read_yaml(name))
    if seed is None or findings:
        raise FindingsError(findings)
    return seed


def _path(place: str, path_by_key: dict[str, Path]) -> Path:
    """Return the path in the file of a fault that names an entry, or its field."""
    key = max(
        (key for key in path_by_key if place.startswith(key)), key=len, default=""
    )
    field = place.removeprefix(key).removeprefix(".")
    return (*path_by_key.get(key, ("entries",)), field)


async def write_seed(platform: Platform, seed: Seed) -> None:
    """Write the rows and the snapshot of a seed to an empty platform."""
    snapshot = seed.snapshot
    await platform.put_object(SNAPSHOT_OBJECT, encode_snapshot(snapshot))
    head = {"version": snapshot.version, "object": SNAPSHOT_OBJECT}
    writes = [
        Write(HEADS_TABLE, CATALOGUE_HEAD, head),
        Write(HEADS_TABLE, "fleet", {"version": 1, "changes": []}),
    ]
    for key, entry in snapshot.entry_by_key.items():
        version = snapshot.entry_version(key)
        row = {"version": version, "values": dump_entry(entry)}
        writes.append(Write(ENTRIES_TABLE, key, row))
    for host in seed.hosts:
        writes.append(Write(HOSTS_TABLE, host.host_id, dump_host(host)))
    await platform.transact(Transaction("seed", (), tuple(writes)))


def _unknown_pools(
    file: YamlFile, hosts: tuple[Host, ...], snapshot: Snapshot
) -> list[Finding]:
    findings = []
    for index, host in enumerate(hosts):
        if host.pool not in snapshot.pool_by_name:
            place = file.place(("hosts", index, "pool"))
            message = f"host {host.host_id!r} names no known pool: {host.pool!r}"
            findings.append(Finding(place, "unknown-pool", message))
    return findings


def _place(file: YamlFile, faults: list[Fault]) -> list[Finding]:
    return [
        Finding(file.place(fault.path), fault.code, fault.message) for fault in faults
    ]
