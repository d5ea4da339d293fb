"""Record of when leases on silent servers have lapsed, for the next holder."""

import json
import math
from collections.abc import Callable

import attrs

from rhubarbmount.batch.record_fields import decode_numbers

__all__ = ["READING_MARGIN_S", "SilentServers"]

# The store's clock is estimated from a response, which may be read this much later
# than the store sent it.
READING_MARGIN_S = 1.0
RETENTION_S = 30.0
# So many fit into one row of the store; the next holder waits longer for others.
MAX_SERVERS = 1500


@attrs.define(eq=False)
class SilentServers:
    """Store clock times by which all leases on silent servers have lapsed.

    Servers are silent until they answer a holder, and again once they stop to. A holder
    grants nothing that lapses later until the record is removed, so that the next one
    need not wait for the longest possible lease, nor begin to wait anew.
    """

    # What the store's clock reads at least, and at most.
    store_clock_s: Callable[[], float]
    latest_store_clock_s: Callable[[], float]
    _lapses_at_s: dict[str, float] = attrs.field(factory=dict)

    def load(self, value: bytes) -> None:
        """Load the value that the last holder stored. Raises UnreadableRecord."""
        self._lapses_at_s = decode_numbers(value)

    def note(self, server_id: str, lapses_in_s: float) -> None:
        """Record a silent server, unless an earlier time is recorded already."""
        # Readers add the margin, as older builds wrote what the clock reads at least.
        now_s = self.latest_store_clock_s() - READING_MARGIN_S
        if server_id in self._lapses_at_s or len(self._lapses_at_s) < MAX_SERVERS:
            known_s = self._lapses_at_s.get(server_id, math.inf)
            at_s = min(known_s, now_s + lapses_in_s)
            self._lapses_at_s[server_id] = round(at_s, 3)

    def drop(self, server_id: str) -> None:
        """Remove the record of a server that responds again."""
        self._lapses_at_s.pop(server_id, None)

    def has(self, server_id: str) -> bool:
        """Return whether a server is recorded."""
        return server_id in self._lapses_at_s

    def lapses_in_s(self, server_id: str) -> float | None:
        """Return the time until all leases must have expired, or None if unknown."""
        at_s = self._lapses_at_s.get(server_id)
        if at_s is None:
            return None
        return max(0.0, at_s + READING_MARGIN_S - self.store_clock_s())

    def limit_in_s(self, server_id: str) -> float:
        """Return within which time all that is granted must lapse; it may be past."""
        at_s = self._lapses_at_s.get(server_id, math.inf)
        return at_s + READING_MARGIN_S - self.latest_store_clock_s()

    def encode(self) -> bytes:
        """Return the value to store; records of long ago are left out from now on."""
        oldest_s = self.store_clock_s() - RETENTION_S
        for server_id, at_s in list(self._lapses_at_s.items()):
            if at_s < oldest_s:
                del self._lapses_at_s[server_id]
        return json.dumps(self._lapses_at_s, separators=(",", ":")).encode("ascii")
