"""What a newer version of the program would write, simulated on encoded values."""

import zlib

import attrs
import msgpack

from rhubarbmount.store.memory import MemoryPlatform

FIELD = "x_newer"
VALUE = {"of": "a newer version", "numbers": [1, 2]}
PARTS = ("shape", "reserved", "job")
SHARED_TABLES = (
    "budgets",
    "heads",
    "hosts",
    "intents",
    "job-requests",
    "jobs",
    "leases",
    "scheduling",
    "task-reports",
    "tasks",
)


def adorned(values):
    """Return plain values with a field that no known version has, also in parts."""
    parts = {
        name: adorned(values[name])
        for name in PARTS
        if isinstance(values.get(name), dict)
    }
    return {**values, **parts, FIELD: VALUE}


def missing(before, after):
    """Return the paths of what a newer version wrote and a rewrite dropped."""
    found = [] if after.get(FIELD) == before.get(FIELD) else [FIELD]
    for name in PARTS:
        if isinstance(before.get(name), dict):
            paths = missing(before[name], after.get(name) or {})
            found += [f"{name}.{path}" for path in paths]
    return found


def newer_snapshot(body, change):
    """Return an encoded snapshot after a change of its plain rows."""
    version, rows, *rest = msgpack.unpackb(zlib.decompress(body))
    return zlib.compress(msgpack.packb([version, change(rows), *rest]))


@attrs.define
class NewerPlatform(MemoryPlatform):
    """While ``is_newer``, writes are a newer version's; later ones must keep them."""

    is_newer: bool = True
    drops: list = attrs.field(factory=list)
    kept: set = attrs.field(factory=set)

    def _apply(self, write):
        if write.value is None or write.table not in SHARED_TABLES:
            return super()._apply(write)
        before = self._table(write.table).get(write.key)
        if self.is_newer:
            write = attrs.evolve(write, value=adorned(write.value))
        elif before is not None:
            paths = missing(before.value, write.value)
            self.drops += [(write.table, write.key, path) for path in paths]
            self.kept.add(write.table)
        super()._apply(write)
