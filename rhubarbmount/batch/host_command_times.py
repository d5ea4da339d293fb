"""When each host was last ordered about, so that holders do not take turns."""

import json
from collections.abc import Callable

import attrs

__all__ = ["HostCommandTimes"]

# Orders of the last holder may arrive a little after it sent them.
ARRIVAL_MARGIN_S = 0.5
RETENTION_S = 30.0


@attrs.define(eq=False)
class HostCommandTimes:
    """The store's time of the last order to each host.

    It is stored before the order is sent. Another holder leaves the host alone for
    the time that the platform wants between orders of two holders.
    """

    store_clock_s: Callable[[], float]
    pause_s: float
    _commanded_at_s: dict[str, float] = attrs.field(factory=dict)
    _blocked_until_s: dict[str, float] = attrs.field(factory=dict)

    def load(self, value: bytes) -> None:
        """Take in what the last holder stored."""
        self._commanded_at_s = json.loads(value)
        self._blocked_until_s = {
            host_id: at_s + self.pause_s + ARRIVAL_MARGIN_S
            for host_id, at_s in self._commanded_at_s.items()
        }

    def may_command(self, host_id: str) -> bool:
        """Tell whether the last holder's order is old enough."""
        until_s = self._blocked_until_s.get(host_id)
        return until_s is None or self.store_clock_s() >= until_s

    def note(self, host_id: str) -> None:
        """Remember an order that is about to be sent."""
        now_s = self.store_clock_s()
        self._commanded_at_s[host_id] = now_s
        for other, at_s in list(self._commanded_at_s.items()):
            if at_s < now_s - RETENTION_S:
                del self._commanded_at_s[other]

    def encode(self) -> bytes:
        """Return the row's value."""
        return json.dumps(self._commanded_at_s).encode("ascii")
