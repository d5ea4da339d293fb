"""Batches the row changes of a shard for its next commit."""

import attrs
import trio

from rhubarbmount.batch.committer import MAX_ROWS_PER_COMMIT, Committer
from rhubarbmount.platform.rows import RowName

__all__ = ["WriteBatch"]


@attrs.define(eq=False)
class WriteBatch:
    """Collects rows to write and to remove, and commits them in chunks."""

    committer: Committer
    _puts: dict[RowName, bytes] = attrs.field(factory=dict)
    _removes: list[RowName] = attrs.field(factory=list)
    _stored_events: list[trio.Event] = attrs.field(factory=list)

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
        self._stored_events.append(stored)
        return stored

    async def commit(self) -> None:
        """Commit all rows collected so far: writes first, then removals.

        Rows added meanwhile wait for the next commit. Raises LeaseLost.
        """
        puts, self._puts = self._puts, {}
        removes, self._removes = self._removes, []
        stored_events, self._stored_events = self._stored_events, []
        for names in _chunks(list(puts)):
            await self.committer.commit({name: puts[name] for name in names})
        for names in _chunks(removes):
            await self.committer.commit({}, tuple(names))
        for stored in stored_events:
            stored.set()


def _chunks(names: list[RowName]) -> list[list[RowName]]:
    return [
        names[at : at + MAX_ROWS_PER_COMMIT]
        for at in range(0, len(names), MAX_ROWS_PER_COMMIT)
    ]
