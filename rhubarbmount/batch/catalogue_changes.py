"""Changes of the configuration, which are smaller than the configuration."""

import json
import zlib
from collections.abc import Iterable, Sequence
from typing import Any

import attrs

from rhubarbmount.batch.catalogue import Catalogue, Pool
from rhubarbmount.batch.model import Queue, QueueName
from rhubarbmount.batch.record_fields import (
    build_record,
    load_object,
    raises_unreadable_record,
)

__all__ = [
    "CatalogueChange",
    "KnownCatalogue",
    "advance",
    "decode_changes",
    "decode_known",
    "encode_known",
    "encode_newest",
    "find_change",
]

# All changes of a row but the newest one, compressed: each change writes all of them.
MAX_CHANGES_BYTES = 16 * 1024
# What one change may have; the store accepts rows of 64 KiB.
MAX_CHANGE_BYTES = 48 * 1024


@attrs.frozen
class CatalogueChange:
    """What a version of the configuration changed; row versions are the store's."""

    after_row_version: int
    row_version: int
    version: int
    removed: tuple[QueueName, ...]
    put: tuple[Queue, ...]
    pools: tuple[Pool, ...]


@attrs.frozen
class KnownCatalogue:
    """The newest row of the configuration, as of a time on the store's clock."""

    row_version: int
    known_until_s: float


def find_change(old: Catalogue, new: Catalogue) -> CatalogueChange:
    """Return what leads from one version to a later one."""
    removed = old.queue_by_name.keys() - new.queue_by_name.keys()
    return CatalogueChange(
        after_row_version=old.row_version,
        row_version=new.row_version,
        version=new.version,
        removed=tuple(sorted(removed)),
        put=tuple(
            queue
            for name, queue in new.queue_by_name.items()
            if old.queue_by_name.get(name) != queue
        ),
        pools=tuple(new.pool_by_name.values()),
    )


def advance(catalogue: Catalogue, changes: Iterable[CatalogueChange]) -> Catalogue:
    """Return a configuration with those of some changes that follow it, in order."""
    for change in changes:
        if change.after_row_version == catalogue.row_version:
            catalogue = _apply(catalogue, change)
    return catalogue


def _apply(catalogue: Catalogue, change: CatalogueChange) -> Catalogue:
    queue_by_name = dict(catalogue.queue_by_name)
    for name in change.removed:
        queue_by_name.pop(name, None)
    queue_by_name.update((queue.name, queue) for queue in change.put)
    return attrs.evolve(
        catalogue,
        version=change.version,
        row_version=change.row_version,
        queue_by_name=queue_by_name,
        pool_by_name={pool.name: pool for pool in change.pools},
    )


def encode_newest(
    changes: Sequence[CatalogueChange],
) -> tuple[bytes, Sequence[CatalogueChange]]:
    """Encode as many of the newest changes as fit; return them, too.

    A change that is too large is left out with those before it: hosts then read the
    configuration.
    """
    kept = list(changes)
    value = _encode(kept)
    while len(kept) > 1 and len(value) > MAX_CHANGES_BYTES:
        del kept[0]
        value = _encode(kept)
    if len(value) > MAX_CHANGE_BYTES:
        kept = []
        value = _encode(kept)
    return value, kept


def _encode(changes: Iterable[CatalogueChange]) -> bytes:
    values = {"changes": list(map(_encode_change, changes))}
    return zlib.compress(json.dumps(values, separators=(",", ":")).encode("ascii"))


def _encode_change(change: CatalogueChange) -> dict[str, Any]:
    return {
        **attrs.asdict(change, recurse=False),
        "removed": [list(name) for name in change.removed],
        "put": [
            {**attrs.asdict(queue, recurse=False), "name": list(queue.name)}
            for queue in change.put
        ],
        "pools": [attrs.asdict(pool) for pool in change.pools],
    }


@raises_unreadable_record
def decode_changes(value: bytes) -> list[CatalogueChange]:
    """Decode the changes of a row, oldest first. Raises UnreadableRecord."""
    return [_decode(item) for item in load_object(zlib.decompress(value))["changes"]]


def _decode(values: dict[str, Any]) -> CatalogueChange:
    lists = {
        "removed": tuple(QueueName(*name) for name in values["removed"]),
        "put": tuple(_decode_queue(item) for item in values["put"]),
        "pools": tuple(build_record(Pool, item) for item in values["pools"]),
    }
    return build_record(CatalogueChange, {**values, **lists})


def _decode_queue(values: dict[str, Any]) -> Queue:
    return build_record(Queue, {**values, "name": QueueName(*values["name"])})


def encode_known(known: KnownCatalogue) -> bytes:
    """Encode which row of the configuration is the newest."""
    return json.dumps(attrs.asdict(known)).encode("ascii")


@raises_unreadable_record
def decode_known(value: bytes) -> KnownCatalogue:
    """Decode which row of the configuration is the newest. Raises UnreadableRecord."""
    return build_record(KnownCatalogue, load_object(value))
