"""Clocks used to measure leases."""

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

# A backend server's clock may run up to 2% slow.
RATE_MARGIN = 1.0205
LAPSE_MARGIN_S = 0.1


def _read_monotonic_s() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@attrs.define
class ClockSource:
    """Functions that read the clocks; tests substitute their own.

    ``monotonic_s`` reads CLOCK_BOOTTIME, which includes time during which a host is
    suspended.
    """

    monotonic_s: Callable[[], float] = _read_monotonic_s
    wall_clock_s: Callable[[], float] = time.time


source = ClockSource()


def monotonic_s() -> float:
    """Return CLOCK_BOOTTIME, which includes the time that a host is suspended."""
    return source.monotonic_s()


def wall_clock_s() -> float:
    """Return the wall-clock time in seconds since the epoch."""
    return source.wall_clock_s()


@attrs.define
class ServerClock:
    """Last reading of a backend server's clock, and the latest expiry granted on it."""

    read_ms: int = 0
    read_at_s: float = 0.0
    granted_ms: int = 0

    @property
    def is_known(self) -> bool:
        """Return whether the clock has ever been read."""
        return self.read_ms > 0

    def note(self, clock_ms: int, now_s: float) -> None:
        """Record a reading that has just arrived; ignore one behind the last."""
        if clock_ms >= self.read_ms:
            self.read_ms = clock_ms
            self.read_at_s = now_s

    def grant(self, until_s: float, now_s: float) -> int:
        """Grant a lease until a monotonic time; return its expiry in server time."""
        elapsed_s = now_s - self.read_at_s
        expires_ms = self.read_ms + int((elapsed_s + until_s - now_s) * 1000)
        self.granted_ms = max(self.granted_ms, expires_ms)
        return expires_ms

    def latest_grant_s(self, lapsed_by_s: float) -> float:
        """Return until when a lease may be granted that must have lapsed by a time."""
        lease_s = (lapsed_by_s - LAPSE_MARGIN_S - self.read_at_s) / RATE_MARGIN
        return self.read_at_s + lease_s

    def lapses_at_s(self) -> float:
        """Return the monotonic time by which all granted leases must have expired."""
        remaining_ms = max(0, self.granted_ms - self.read_ms)
        return self.read_at_s + remaining_ms / 1000 * RATE_MARGIN + LAPSE_MARGIN_S
