"""Clocks that leases are measured with."""

import time
from collections.abc import Callable

import attrs

__all__ = [
    "RATE_MARGIN",
    "ClockSource",
    "ServerClock",
    "monotonic_s",
    "wall_clock_s",
    "source",
]

# A backend server's clock may be 2% slow.
RATE_MARGIN = 1.0205
LAPSE_MARGIN_S = 0.1


def _read_monotonic_s() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@attrs.define
class ClockSource:
    """Where the clocks are read; tests put their own in.

    ``monotonic_s`` reads CLOCK_BOOTTIME, which counts the time a host is suspended.
    """

    monotonic_s: Callable[[], float] = _read_monotonic_s
    wall_clock_s: Callable[[], float] = time.time


source = ClockSource()


def monotonic_s() -> float:
    """Return CLOCK_BOOTTIME, which counts the time a host is suspended."""
    return source.monotonic_s()


def wall_clock_s() -> float:
    """Return the time of day in seconds since the epoch."""
    return source.wall_clock_s()


@attrs.define
class ServerClock:
    """What is known of a backend server's clock, and the lease granted on it."""

    read_ms: int = 0
    read_at_s: float = 0.0
    granted_ms: int = 0

    @property
    def is_known(self) -> bool:
        """Tell whether the clock was ever read."""
        return self.read_ms > 0

    def note(self, clock_ms: int, now_s: float) -> None:
        """Take in a reading that has just arrived."""
        if clock_ms >= self.read_ms:
            self.read_ms = clock_ms
            self.read_at_s = now_s

    def grant(self, until_s: float, now_s: float) -> int:
        """Return the expiry, on the server's clock, of a lease until a steady time."""
        elapsed_s = now_s - self.read_at_s
        expires_ms = self.read_ms + int((elapsed_s + until_s - now_s) * 1000)
        self.granted_ms = max(self.granted_ms, expires_ms)
        return expires_ms

    def lapses_at_s(self) -> float:
        """Return the steady time by which every lease granted has surely ended."""
        remaining_ms = max(0, self.granted_ms - self.read_ms)
        return self.read_at_s + remaining_ms / 1000 * RATE_MARGIN + LAPSE_MARGIN_S
