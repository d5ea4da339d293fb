"""Which lifetimes of backend servers are known and over, and their runs; no I/O."""

import enum
from collections.abc import Collection

import attrs

from rhubarbmount.batch.lifetimes import name_of
from rhubarbmount.batch.model import Server, Task, TaskId

__all__ = ["RunFate", "ServerLifetimes", "fate_of"]

RunKey = tuple[TaskId, int]


@attrs.define(eq=False)
class ServerLifetimes:
    """Known lifetimes, grouped by the name and by the host of their server.

    Those of one group follow one another, in an order that neither rows nor clocks
    tell: once one of them answers a call, all that had begun before the call are over.
    """

    _ids_by_group: dict[tuple[str, str], set[str]] = attrs.field(factory=dict)
    _groups_by_id: dict[str, set[tuple[str, str]]] = attrs.field(factory=dict)
    _ended_ids_by_name: dict[str, set[str]] = attrs.field(factory=dict)

    def add(self, server: Server) -> list[str]:
        """Add a lifetime, or update its host; return the others to ask about it."""
        groups = _groups_of(server)
        known = self._groups_by_id.get(server.id, set())
        for group in known - groups:
            self._remove_from_group(server.id, group)
        self._groups_by_id[server.id] = groups
        others: set[str] = set()
        for group in groups - known:
            ids = self._ids_by_group.setdefault(group, set())
            others |= ids
            ids.add(server.id)
        return sorted(others)

    def remove(self, server_id: str) -> None:
        """Remove a lifetime that is no longer of interest."""
        for group in self._groups_by_id.pop(server_id, set()):
            self._remove_from_group(server_id, group)

    def _remove_from_group(self, server_id: str, group: tuple[str, str]) -> None:
        self._ids_by_group[group].discard(server_id)
        if not self._ids_by_group[group]:
            del self._ids_by_group[group]

    def others(self, server_id: str) -> list[str]:
        """Return the other lifetimes of the same name or on the same host."""
        groups = self._groups_by_id.get(server_id, set())
        if all(len(self._ids_by_group[group]) < 2 for group in groups):
            return []
        ids = set().union(*(self._ids_by_group[group] for group in groups))
        return sorted(ids - {server_id})

    def of_name(self, name: str) -> list[str]:
        """Return the lifetimes of a name."""
        return sorted(self._ids_by_group.get(("name", name), ()))

    def end(self, server_id: str) -> None:
        """Record that a lifetime is over."""
        self._ended_ids_by_name.setdefault(name_of(server_id), set()).add(server_id)

    def has_ended(self, server_id: str) -> bool:
        """Return whether a lifetime is known to be over."""
        return server_id in self._ended_ids_by_name.get(name_of(server_id), ())

    def forget(self, name: str) -> None:
        """Forget which lifetimes of a name are over."""
        self._ended_ids_by_name.pop(name, None)


def _groups_of(server: Server) -> set[tuple[str, str]]:
    groups = {("name", name_of(server.id))}
    if server.host_id:
        groups.add(("host", server.host_id))
    return groups


class RunFate(enum.Enum):
    """What becomes of a run assigned to a lifetime that is over.

    A run is moved if the later lifetime may have it, barred there if its start may
    still be carried out by it, and lost otherwise.
    """

    MOVED = "moved"
    BARRED = "barred"
    LOST = "lost"


def fate_of(
    task: Task,
    listed: Collection[RunKey],
    unsettled: Collection[RunKey],
    requested_s: float,
) -> RunFate:
    """Return what becomes of the current run of a task of a lifetime that is over.

    ``listed`` holds the runs and ends that the later lifetime listed in the answer to a
    call sent at ``requested_s``; ``unsettled`` the starts that may still be under way.
    """
    key = (task.id, task.run)
    if key in listed:
        return RunFate.MOVED
    if key in unsettled or (task.sent_s > 0.0 and not task.acknowledged_s):
        return RunFate.BARRED
    # Either lifetime may have acknowledged it; the list was made before.
    return RunFate.MOVED if task.acknowledged_s >= requested_s else RunFate.LOST
