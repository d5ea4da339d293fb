"""Times of the last command to each host, so that holders do not interleave theirs."""

import json
import math
from collections.abc import Callable

import attrs

from rhubarbmount.batch.record_fields import compress_if_large, decode_numbers

__all__ = ["HostCommandTimes"]

# Commands may arrive this much later than the last holder sent them.
ARRIVAL_MARGIN_S = 0.5
RETENTION_S = 30.0
# Longer than a commit takes that is of any use.
MAX_WINDOW_S = 8.0


@attrs.define(eq=False)
class HostCommandTimes:
    """Time, by the store's clock, until which each host may be sent commands.

    The time is stored before a command is sent. After it, another holder sends the host
    no commands for the pause that the platform requires between two holders.
    """

    store_clock_s: Callable[[], float]
    pause_s: float
    _commanded_at_s: dict[str, float] = attrs.field(factory=dict)
    _blocked_until_s: dict[str, float] = attrs.field(factory=dict)
    _all_blocked_until_s: float = -math.inf

    def load(self, value: bytes) -> None:
        """Load the value that the last holder stored. Raises UnreadableRecord."""
        self._commanded_at_s = decode_numbers(value)
        self._blocked_until_s = {
            host_id: at_s + self.pause_s + ARRIVAL_MARGIN_S
            for host_id, at_s in self._commanded_at_s.items()
        }

    def block_all(self) -> None:
        """Send no host a command until any that the last holder sent has arrived."""
        window_s = MAX_WINDOW_S + self.pause_s + ARRIVAL_MARGIN_S
        self._all_blocked_until_s = self.store_clock_s() + window_s

    def may_command(self, host_id: str) -> bool:
        """Return whether the pause after the last holder's command has passed."""
        until_s = self._blocked_until_s.get(host_id, -math.inf)
        return self.store_clock_s() >= max(until_s, self._all_blocked_until_s)

    def may_send(self, host_id: str) -> bool:
        """Return whether the recorded time covers a command that is sent now."""
        at_s = self._commanded_at_s.get(host_id)
        return at_s is not None and self.store_clock_s() <= at_s

    def note(self, host_id: str, window_s: float) -> None:
        """Record that commands may be sent for the next ``window_s`` seconds."""
        now_s = self.store_clock_s()
        self._commanded_at_s[host_id] = now_s + min(window_s, MAX_WINDOW_S)
        for other, at_s in list(self._commanded_at_s.items()):
            if at_s < now_s - RETENTION_S:
                del self._commanded_at_s[other]

    def encode(self) -> bytes:
        """Return the value to store."""
        return compress_if_large(json.dumps(self._commanded_at_s).encode("ascii"))
