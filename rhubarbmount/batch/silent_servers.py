"""Record of when leases on unresponsive servers expire, for the next holder."""

import json
from collections.abc import Callable

import attrs

__all__ = ["READING_MARGIN_S", "SilentServers"]

# The store's clock is estimated from a response, which may be read this much later
# than the store sent it.
READING_MARGIN_S = 1.0
RETENTION_S = 30.0


@attrs.define(eq=False)
class SilentServers:
    """Store clock times by which all runs on unresponsive servers have ended.

    A holder grants nothing to a recorded server until the record is removed. The next
    holder therefore need not wait for the longest possible lease.
    """

    store_clock_s: Callable[[], float]
    _lapses_at_s: dict[str, float] = attrs.field(factory=dict)

    def load(self, value: bytes) -> None:
        """Load the value that the last holder stored."""
        self._lapses_at_s = json.loads(value)

    def note(self, server_id: str, lapses_in_s: float) -> None:
        """Record a server that receives no further grants."""
        now_s = self.store_clock_s()
        self._lapses_at_s[server_id] = now_s + lapses_in_s
        for other, at_s in list(self._lapses_at_s.items()):
            if at_s < now_s - RETENTION_S:
                del self._lapses_at_s[other]

    def drop(self, server_id: str) -> None:
        """Remove the record of a server that responds again."""
        self._lapses_at_s.pop(server_id, None)

    def lapses_in_s(self, server_id: str) -> float | None:
        """Return the time until all leases must have expired, or None if unknown."""
        at_s = self._lapses_at_s.get(server_id)
        if at_s is None:
            return None
        return max(0.0, at_s + READING_MARGIN_S - self.store_clock_s())

    def encode(self) -> bytes:
        """Return the value to store."""
        return json.dumps(self._lapses_at_s).encode("ascii")
