"""Hosts that are emptied for maintenance, and for how long each; performs no I/O.

Answers the pattern of a host that is closed to new tasks and can't be emptied: what
needs this very host would wait for good.
"""

from collections.abc import Collection

import attrs

__all__ = ["HostDrain", "HostDrains"]

# How long a host stays closed while nothing on it ends and its maintenance does not
# begin. A long-running task has to run again 6 s after its last run.
BLOCKED_S = 4.0


@attrs.define(eq=False)
class HostDrain:
    """What is remembered of a host of a wave; times are on the monotonic clock."""

    is_closed: bool = False
    tasks: int = 0
    # Since when nothing has changed on the closed host.
    blocked_since_s: float | None = None
    # Since when tasks on the host fit nowhere else.
    no_place_since_s: float | None = None
    rests_until_s: float = 0.0
    wait_reason: str = ""

    def close(self, tasks: int) -> None:
        """Close the host, on which so many tasks are assigned."""
        if not self.is_closed:
            self.blocked_since_s = None
            self.tasks = tasks
        self.is_closed = True

    def check_blocked(self, tasks: int, is_stuck: bool, now_s: float) -> bool:
        """Record a look at the closed host; return whether it has waited too long.

        ``is_stuck`` tells whether there is nothing to wait for that ends by itself.
        """
        if tasks < self.tasks or not is_stuck:
            self.blocked_since_s = None
        self.tasks = tasks
        if is_stuck and self.blocked_since_s is None:
            self.blocked_since_s = now_s
        return (
            self.blocked_since_s is not None
            and now_s >= self.blocked_since_s + BLOCKED_S
        )

    def rest(self, reason: str, until_s: float) -> None:
        """Let the host take new tasks for a time."""
        self.is_closed = False
        self.wait_reason = reason
        self.rests_until_s = until_s

    def note_place(self, has_place: bool, now_s: float) -> None:
        """Record whether all tasks on the host that last fit elsewhere."""
        if has_place:
            self.no_place_since_s = None
        elif self.no_place_since_s is None:
            self.no_place_since_s = now_s


@attrs.define(eq=False)
class HostDrains:
    """The drains of all hosts of open waves."""

    _drain_by_host_id: dict[str, HostDrain] = attrs.field(factory=dict)

    def of(self, host_id: str) -> HostDrain:
        """Return the drain of a host, which is open at first."""
        return self._drain_by_host_id.setdefault(host_id, HostDrain())

    def is_closed(self, host_id: str) -> bool:
        """Return whether a host is being emptied."""
        drain = self._drain_by_host_id.get(host_id)
        return drain is not None and drain.is_closed

    def close_only(self, host_ids: Collection[str]) -> None:
        """Count no hosts but these as being emptied from now on."""
        for host_id, drain in self._drain_by_host_id.items():
            if drain.is_closed and host_id not in host_ids:
                drain.is_closed = False

    def forget_others(self, host_ids: Collection[str]) -> None:
        """Forget the hosts but these, which are in open waves."""
        for host_id in self._drain_by_host_id.keys() - host_ids:
            del self._drain_by_host_id[host_id]
