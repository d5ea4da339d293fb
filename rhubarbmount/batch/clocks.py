"""Clocks used to measure leases."""

import math
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
# By how much a reading may lie outside what the times of its call allow.
READING_TOLERANCE_MS = 100


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
    """Last reading of a backend server's clock, and the latest expiry granted on it.

    The server read it after ``read_after_s``, when the call was sent, and before
    ``read_at_s``, when the answer arrived.
    """

    read_ms: int = 0
    read_at_s: float = 0.0
    granted_ms: int = 0
    read_after_s: float = -math.inf

    @property
    def is_known(self) -> bool:
        """Return whether the clock has ever been read."""
        return self.read_ms > 0

    def note(self, clock_ms: int, now_s: float, sent_s: float = -math.inf) -> None:
        """Record a reading that has just arrived; ignore one behind the last."""
        if clock_ms >= self.read_ms:
            self.read_ms = clock_ms
            self.read_at_s = now_s
            self.read_after_s = sent_s

    def may_read(self, clock_ms: int, sent_s: float, now_s: float) -> bool:
        """Return whether a call that is answered now may have read this clock so.

        Answers may overtake each other by as long as the call took. The clock of
        another lifetime lies behind that, or ahead of what the time since the last
        reading allows.
        """
        if not self.is_known:
            return True
        overtaken_ms = max(0.0, self.read_at_s - sent_s) * 1000 + READING_TOLERANCE_MS
        elapsed_ms = (now_s - self.read_after_s) * 1000 * RATE_MARGIN
        ahead_ms = clock_ms - self.read_ms
        return -overtaken_ms <= ahead_ms <= elapsed_ms + READING_TOLERANCE_MS

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
