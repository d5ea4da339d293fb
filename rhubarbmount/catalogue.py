"""Catalogue snapshots: all entries as of one version."""

import zlib
from collections.abc import Mapping
from functools import cached_property
from typing import Any

import attrs
import cattrs
import msgpack

from rhubarbmount.entries import (
    Entry,
    JobTemplate,
    Pool,
    Service,
    Team,
    dump_entry,
    entry_key,
    load_entry,
    needed_format,
    read_entry,
)
from rhubarbmount.errors import Finding, FindingsError
from rhubarbmount.shared_rows import FORMAT

__all__ = [
    "Snapshot",
    "build_entry",
    "decode_snapshot",
    "encode_snapshot",
    "split_key",
]

MAX_DECODED_BYTES = 64 * 1024 * 1024


@attrs.frozen
class Snapshot:
    """The immutable state of the whole catalogue at one version.

    ``changed_by_key`` maps each entry to the catalogue version that last changed it,
    which is the ``expected_version`` that an edit of that entry must give.

    >>> team = Team(name="quotes-team", owner="quotes-team")
    >>> snapshot = Snapshot().with_entry("team", team)
    >>> snapshot.version, snapshot.entry_version("team/quotes-team")
    (1, 1)
    >>> snapshot.without_entry("team/quotes-team").version
    2
    """

    version: int = 0
    entry_by_key: Mapping[str, Entry] = attrs.field(factory=dict)
    changed_by_key: Mapping[str, int] = attrs.field(factory=dict)

    @cached_property
    def format(self) -> int:
        """Return the lowest format version that a reader must support."""
        return max(map(needed_format, self.entry_by_key.values()), default=1)

    @cached_property
    def service_by_name(self) -> dict[str, Service]:
        """Return the services by name."""
        return self._of_type(Service)

    @cached_property
    def pool_by_name(self) -> dict[str, Pool]:
        """Return the pools by name."""
        return self._of_type(Pool)

    @cached_property
    def team_by_name(self) -> dict[str, Team]:
        """Return the teams by name."""
        return self._of_type(Team)

    @cached_property
    def job_template_by_name(self) -> dict[str, JobTemplate]:
        """Return the job templates by name."""
        return self._of_type(JobTemplate)

    def entry_version(self, key: str) -> int:
        """Return the catalogue version that last changed an entry, or 0."""
        return self.changed_by_key.get(key, 0)

    def with_entry(self, kind: str, entry: Entry) -> "Snapshot":
        """Return the next version, with the entry added or replaced."""
        key = entry_key(kind, entry.name)
        version = self.version + 1
        return Snapshot(
            version,
            {**self.entry_by_key, key: entry},
            {**self.changed_by_key, key: version},
        )

    def without_entry(self, key: str) -> "Snapshot":
        """Return the next version, with the entry removed."""
        entry_by_key = {k: entry for k, entry in self.entry_by_key.items() if k != key}
        changed_by_key = {k: n for k, n in self.changed_by_key.items() if k != key}
        return Snapshot(self.version + 1, entry_by_key, changed_by_key)

    def _of_type(self, entry_type: type) -> dict[str, Any]:
        return {
            entry.name: entry
            for entry in self.entry_by_key.values()
            if isinstance(entry, entry_type)
        }


def split_key(key: str) -> tuple[str, str]:
    """Split an entry's key into kind and name.

    >>> split_key("service/quotes")
    ('service', 'quotes')
    """
    kind, _, name = key.partition("/")
    return kind, name


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Encode a snapshot as compressed msgpack, with every field included.

    The format version is appended only if it is above 1, because older readers do not
    expect it.
    """
    rows = [
        [key, snapshot.changed_by_key[key], dump_entry(entry)]
        for key, entry in sorted(snapshot.entry_by_key.items())
    ]
    formats = [snapshot.format] if snapshot.format > 1 else []
    return zlib.compress(msgpack.packb([snapshot.version, rows, *formats]))


def decode_snapshot(body: bytes) -> Snapshot:
    """Decode a snapshot, preserving kinds and fields unknown to this version.

    Raises FindingsError if the bytes are not a complete snapshot, or if the snapshot
    needs a format that this version does not support.
    """
    try:
        return _decode_snapshot(body)
    except (
        zlib.error,
        ValueError,
        TypeError,
        msgpack.UnpackException,
        cattrs.BaseValidationError,
    ) as error:
        fault = Finding("snapshot", "undecodable", str(error) or repr(error))
        raise FindingsError([fault]) from error


def _decode_snapshot(body: bytes) -> Snapshot:
    decompressor = zlib.decompressobj()
    packed = decompressor.decompress(body, MAX_DECODED_BYTES)
    if not decompressor.eof:
        raise ValueError("snapshot is truncated or too large")
    version, rows, *formats = msgpack.unpackb(packed)
    needed = formats[0] if formats else 1
    if needed > FORMAT:
        raise ValueError(f"format {needed} is not supported, the newest is {FORMAT}")
    entry_by_key = {}
    changed_by_key = {}
    for key, changed, values in rows:
        kind, _ = split_key(key)
        entry_by_key[key] = load_entry(kind, values)
        changed_by_key[key] = changed
    return Snapshot(version, entry_by_key, changed_by_key)


def build_entry(kind: str, values: dict[str, Any]) -> Entry:
    """Build an entry from an operator's values.

    Raises FindingsError with every malformed value.
    """
    try:
        return read_entry(kind, values)
    except cattrs.BaseValidationError as error:
        place = entry_key(kind, str(values.get("name", "?")))
        messages = cattrs.transform_error(error)
        raise FindingsError(
            [Finding(place, "malformed", message) for message in messages]
        ) from error
