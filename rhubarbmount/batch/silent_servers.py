"""When the leases on silent backend servers have lapsed, for the next holder."""

import json
from collections.abc import Callable

import attrs

__all__ = ["READING_MARGIN_S", "SilentServers"]

# How much later than the store's answer it may have been read.
READING_MARGIN_S = 1.0
RETENTION_S = 30.0


@attrs.define(eq=False)
class SilentServers:
    """The store's time by which everything on a silent server has ended.

    A holder grants a recorded server nothing until the record is gone, so that a
    next holder need not wait for the longest lease there may be.
    """

    store_clock_s: Callable[[], float]
    _lapses_at_s: dict[str, float] = attrs.field(factory=dict)

    def load(self, value: bytes) -> None:
        """Take in what the last holder stored."""
        self._lapses_at_s = json.loads(value)

    def note(self, server_id: str, lapses_in_s: float) -> None:
        """Record a server that is granted nothing any more."""
        now_s = self.store_clock_s()
        self._lapses_at_s[server_id] = now_s + lapses_in_s
        for other, at_s in list(self._lapses_at_s.items()):
            if at_s < now_s - RETENTION_S:
                del self._lapses_at_s[other]

    def drop(self, server_id: str) -> None:
        """Forget a server that answers again."""
        self._lapses_at_s.pop(server_id, None)

    def lapses_in_s(self, server_id: str) -> float | None:
        """Return the time until all leases have surely lapsed, if it is recorded."""
        at_s = self._lapses_at_s.get(server_id)
        if at_s is None:
            return None
        return max(0.0, at_s + READING_MARGIN_S - self.store_clock_s())

    def encode(self) -> bytes:
        """Return the row's value."""
        return json.dumps(self._lapses_at_s).encode("ascii")
