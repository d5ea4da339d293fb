"""Batches the row changes of a shard for its next commit."""

from collections.abc import Iterator, Mapping

import attrs
import trio

from rhubarbmount.batch.committer import (
    MAX_BYTES_PER_COMMIT,
    MAX_ROWS_PER_COMMIT,
    Committer,
)
from rhubarbmount.platform.rows import RowName

__all__ = ["WriteBatch"]


@attrs.define(eq=False)
class WriteBatch:
    """Collects rows to write and to remove, and commits them in chunks."""

    committer: Committer
    _puts: dict[RowName, bytes] = attrs.field(factory=dict)
    _removes: list[RowName] = attrs.field(factory=list)
    _stored_events: list[tuple[RowName, trio.Event]] = attrs.field(factory=list)

    def __bool__(self) -> bool:
        """Return whether a row is waiting to be written."""
        return bool(self._puts)

    def put(self, name: RowName, value: bytes) -> None:
        """Write a row with the next commit."""
        self._puts[name] = value

    def remove(self, name: RowName) -> None:
        """Remove a row with the next commit."""
        self._removes.append(name)

    def put_awaited(self, name: RowName, value: bytes) -> trio.Event:
        """Write a row with the next commit; return an event set once it is stored."""
        self.put(name, value)
        stored = trio.Event()
        self._stored_events.append((name, stored))
        return stored

    async def commit(self) -> frozenset[RowName]:
        """Commit all rows collected so far: writes first, then removals.

        Rows added meanwhile wait for the next commit. Return the rows that the store
        refuses. Raises LeaseLost.
        """
        refused: frozenset[RowName] = frozenset()
        puts, self._puts = self._puts, {}
        removes, self._removes = self._removes, []
        stored_events, self._stored_events = self._stored_events, []
        for chunk in _chunks(puts):
            refused |= await self.committer.commit(chunk)
        for at in range(0, len(removes), MAX_ROWS_PER_COMMIT):
            names = removes[at : at + MAX_ROWS_PER_COMMIT]
            await self.committer.commit({}, tuple(names))
        for name, stored in stored_events:
            if name not in refused:
                stored.set()
        return refused


def _chunks(puts: Mapping[RowName, bytes]) -> Iterator[dict[RowName, bytes]]:
    """Split rows into chunks that the store accepts in one call."""
    chunk: dict[RowName, bytes] = {}
    size = 0
    for name, value in puts.items():
        is_full = len(chunk) == MAX_ROWS_PER_COMMIT
        if chunk and (is_full or size + len(value) > MAX_BYTES_PER_COMMIT):
            yield chunk
            chunk, size = {}, 0
        chunk[name] = value
        size += len(value)
    if chunk:
        yield chunk
