"""Record of when leases on silent servers have lapsed, for the next holder."""

import json
import math
from collections.abc import Callable

import attrs

from rhubarbmount.batch.lifetimes import born_ms_of, name_of
from rhubarbmount.batch.record_fields import compress_if_large, decode_numbers

__all__ = ["READING_MARGIN_S", "SilentServers"]

# The store's clock is estimated from a response, which may be read this much later
# than the store sent it.
READING_MARGIN_S = 1.0
RETENTION_S = 30.0
# So many fit into one row of the store; the next holder waits longer for others.
MAX_SERVERS = 1400
# Stands in a record that names lifetimes, as if it were of long ago. Builds that take
# a name for one lifetime leave it out when they write the record anew, but keep what
# it says of lifetimes, to which they may have granted more since.
LIFETIMES_MARK = "@"
LIFETIMES_MARK_S = -1e9


@attrs.define(eq=False)
class SilentServers:
    """Store clock times by which all leases on silent servers have lapsed.

    Servers are silent until they answer a holder, and again once they stop to. A holder
    grants nothing that lapses later until the record is removed, so that the next one
    need not wait for the longest possible lease, nor begin to wait anew.

    What is recorded of a lifetime says nothing of others. A record by the name alone
    holds for all lifetimes of the server.
    """

    # What the store's clock reads at least, and at most.
    store_clock_s: Callable[[], float]
    latest_store_clock_s: Callable[[], float]
    _lapses_at_s: dict[str, float] = attrs.field(factory=dict)

    def load(self, value: bytes) -> None:
        """Load the value that the last holder stored. Raises UnreadableRecord."""
        numbers = decode_numbers(value)
        is_marked = numbers.pop(LIFETIMES_MARK, None) is not None
        self._lapses_at_s = {
            server_id: at_s
            for server_id, at_s in numbers.items()
            if is_marked or server_id == name_of(server_id)
        }

    def note(self, server_id: str, lapses_in_s: float) -> None:
        """Record a silent server, unless an earlier time is recorded already."""
        # Readers add the margin, as older builds wrote what the clock reads at least.
        now_s = self.latest_store_clock_s() - READING_MARGIN_S
        if server_id in self._lapses_at_s or len(self._lapses_at_s) < MAX_SERVERS:
            at_s = min(self._at_s(server_id), now_s + lapses_in_s)
            self._lapses_at_s[server_id] = round(at_s, 3)

    def drop(self, server_id: str) -> None:
        """Remove the record of a lifetime that responds, and of its name."""
        self._lapses_at_s.pop(server_id, None)
        self._lapses_at_s.pop(name_of(server_id), None)

    def has(self, server_id: str) -> bool:
        """Return whether a record holds for a lifetime."""
        return self._at_s(server_id) < math.inf

    def _at_s(self, server_id: str) -> float:
        """Return the earliest time that holds for a lifetime; infinity for none."""
        return min(
            self._lapses_at_s.get(server_id, math.inf),
            self._lapses_at_s.get(name_of(server_id), math.inf),
        )

    def lapses_in_s(self, server_id: str) -> float | None:
        """Return the time until all leases must have expired, or None if unknown."""
        at_s = self._at_s(server_id)
        if at_s == math.inf:
            return None
        return max(0.0, at_s + READING_MARGIN_S - self.store_clock_s())

    def limit_in_s(self, server_id: str) -> float:
        """Return within which time all that is granted must lapse; it may be past."""
        return self._at_s(server_id) + READING_MARGIN_S - self.latest_store_clock_s()

    def encode(self) -> bytes:
        """Return the value to store; records of long ago are left out from now on."""
        oldest_s = self.store_clock_s() - RETENTION_S
        for server_id, at_s in list(self._lapses_at_s.items()):
            if at_s < oldest_s:
                del self._lapses_at_s[server_id]
        numbers = self._lapses_at_s
        if any(map(born_ms_of, numbers)):
            numbers = {LIFETIMES_MARK: LIFETIMES_MARK_S, **numbers}
        value = json.dumps(numbers, separators=(",", ":")).encode("ascii")
        return compress_if_large(value)
