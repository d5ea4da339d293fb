"""Health of one backend server, estimated from the results of attempts."""

import math
from enum import StrEnum

import attrs

__all__ = ["AttemptResult", "BackendHealth", "HealthAction", "HealthChange"]

SUCCESS_EWMA_WEIGHT = 0.2
SLOWNESS_EWMA_WEIGHT = 0.1
MAX_SLOWNESS_SAMPLE = 10.0
SLOWNESS_TOLERANCE = 1.5
MIN_SUCCESS_RATE = 0.05
HEALTHY_SUCCESS_RATE = 0.95
DECAY_TIME_S = 10.0
EJECT_SLOW_AFTER_RESULTS = 10
SLOWNESS_CAP_THRESHOLD = 2.0
MAX_SLOW_COOLDOWN_S = 2.0
MAX_FAILURE_COOLDOWN_S = 5.0
GUARD_RECOVERY_S = 1.0
SLOW_START_S = 10.0
MIN_SLOW_START_RAMP = 0.1


class AttemptResult(StrEnum):
    """Result of one attempt at a backend server, as recorded in its health.

    ``FAILURE`` covers error statuses, malformed responses and timeouts.
    ``GUARD_REFUSAL`` means that the backend server reported that it did not run the
    request, ``LEAVING`` that it reported that it will run no more. ``UNREACHABLE``
    means that no connection was established. ``CANCELLED`` carries no information
    about the backend server.
    """

    SUCCESS = "success"
    FAILURE = "failure"
    GUARD_REFUSAL = "guard-refusal"
    LEAVING = "leaving"
    UNREACHABLE = "unreachable"
    CANCELLED = "cancelled"


class HealthAction(StrEnum):
    """Kind of change in a backend server's health status."""

    EJECTED = "ejected"
    EJECTION_CAPPED = "ejection-capped"
    READMITTED = "readmitted"
    UNREACHABLE = "unreachable"
    REFUSING = "refusing"
    LEAVING = "leaving"
    LIMITED = "limited"
    RESTORED = "restored"


@attrs.frozen
class HealthChange:
    """A change in health status, which holds until ``until_s`` in seconds."""

    host_id: str
    action: HealthAction
    until_s: float
    success_rate: float


@attrs.define(eq=False)
class BackendHealth:
    """Health of one backend server; times are on the caller's clock.

    ``guard_limit`` is the number of requests in flight above which the backend
    server's guard refused. ``probing`` allows one request at a time until one
    succeeds. ``leaving`` is true while the backend server is excluded because it
    reported that it is leaving. ``rest_until_s`` is set during the cooldown of a slow
    or failing backend server, which gets no work meanwhile, so that its few requests
    are spread over time. ``lasting_success_rate`` changes with results only,
    ``success_rate`` also decays over time.
    """

    host_id: str
    success_rate: float = 1.0
    lasting_success_rate: float = 1.0
    slowness: float = 1.0
    relative_slowness: float = 1.0
    results: int = 0
    updated_s: float = 0.0
    started_s: float = -math.inf
    out_until_s: float | None = None
    raise_s: float = math.inf
    ejected: bool = False
    probing: bool = False
    ejections: int = 0
    absences: int = 0
    guard_limit: int | None = None
    suspect: bool = False
    leaving: bool = False
    failing: bool = False
    rest_until_s: float | None = None

    def start_slowly(self, now_s: float) -> None:
        """Begin the slow start at ``now_s``."""
        self.started_s = now_s
        self.suspect = True

    def penalty(self, now_s: float) -> float:
        """Return the factor, at least 1, by which to multiply the load.

        >>> BackendHealth("w1").penalty(0.0)
        1.0
        >>> BackendHealth("w1", relative_slowness=3.0, suspect=True).penalty(0.0)
        9.0
        """
        if not self.suspect:
            return 1.0
        fade = math.exp((self.updated_s - now_s) / DECAY_TIME_S)
        success = max(1.0 - (1.0 - self.success_rate) * fade, MIN_SUCCESS_RATE)
        slowness = 1.0 + (self.relative_slowness - 1.0) * fade
        if slowness < SLOWNESS_TOLERANCE:
            slowness = 1.0
        ramp = min((now_s - self.started_s) / SLOW_START_S, 1.0)
        return (slowness / success) ** 2 / max(ramp, MIN_SLOW_START_RAMP)

    def cap(self, limit: int) -> int:
        """Return how many of ``limit`` requests the backend server may have in flight.

        A slow backend server may have fewer, as each request takes longer.
        """
        if self.out_until_s is not None or self.rest_until_s is not None:
            return 0
        if self.probing or self.failing:
            return min(limit, 1)
        if self.guard_limit is not None:
            limit = min(limit, self.guard_limit)
        if self._is_slow() and limit > 1:
            return max(1, int(limit / self.relative_slowness**2))
        return limit

    def rest(self, now_s: float, latency_s: float, share: int) -> None:
        """Start a cooldown if even one request at a time is too many for a slow server.

        That is so if the share of slots, divided by the square of the relative
        slowness, is less than one request.
        """
        held = share / self.relative_slowness**2
        if self._is_slow() and held < 1.0:
            pause_s = min(latency_s * (1.0 / held - 1.0), MAX_SLOW_COOLDOWN_S)
            self.rest_until_s = now_s + pause_s

    def cool_down_after_failure(
        self, now_s: float, success: float, latency_s: float, share: int
    ) -> None:
        """Start a cooldown after a failure, and allow only one request at a time.

        The backend server gets about as many requests as its share of slots would
        complete at the latency of a healthy one, times the square of its success rate
        relative to that of the others.
        """
        held = share * max(success, MIN_SUCCESS_RATE) ** 2
        self.failing = True
        if held < 1.0:
            pause_s = min(latency_s * (1.0 / held - 1.0), MAX_FAILURE_COOLDOWN_S)
            self.rest_until_s = now_s + pause_s

    def _is_slow(self) -> bool:
        slow = self.relative_slowness >= SLOWNESS_CAP_THRESHOLD
        return self.suspect and slow and self.results >= EJECT_SLOW_AFTER_RESULTS

    def due_s(self) -> float | None:
        """Return when ``wake`` must be called next, or None."""
        if self.out_until_s is not None:
            return self.out_until_s
        if self.rest_until_s is not None:
            return self.rest_until_s
        return self.raise_s if self.guard_limit is not None else None

    def wake(self, now_s: float, share: int) -> None:
        """Apply what is due: probe, end a cooldown, or raise the guard limit by one."""
        if self.rest_until_s is not None and self.rest_until_s <= now_s:
            self.rest_until_s = None
        if self.out_until_s is not None and self.out_until_s <= now_s:
            self.out_until_s = None
            self.probing = True
            self.leaving = False
        if self.guard_limit is not None and self.raise_s <= now_s:
            self.guard_limit += 1
            self.raise_s = now_s + GUARD_RECOVERY_S
            if self.guard_limit >= share:
                self.guard_limit = None

    def fade(self, others_slowness: float, now_s: float) -> None:
        """Decay old results: success towards 1, slowness towards the other servers'."""
        fade = math.exp((self.updated_s - now_s) / DECAY_TIME_S)
        self.success_rate = 1.0 - (1.0 - self.success_rate) * fade
        self.slowness = others_slowness + (self.slowness - others_slowness) * fade

    def observe(self, succeeded: bool, slowness: float | None) -> None:
        """Record one result; ``slowness`` is its latency over the service's mean."""
        self.results += 1
        self.success_rate += SUCCESS_EWMA_WEIGHT * (succeeded - self.success_rate)
        lasting = self.lasting_success_rate
        self.lasting_success_rate += SUCCESS_EWMA_WEIGHT * (succeeded - lasting)
        if slowness is not None:
            sample = min(slowness, MAX_SLOWNESS_SAMPLE)
            self.slowness += SLOWNESS_EWMA_WEIGHT * (sample - self.slowness)

    def judge(self, now_s: float) -> None:
        """Update whether penalties apply; reset the ejection count if healthy."""
        self.updated_s = now_s
        ramping = now_s < self.started_s + SLOW_START_S
        slow = self.relative_slowness >= SLOWNESS_TOLERANCE
        unhealthy = slow or self.success_rate < HEALTHY_SUCCESS_RATE
        self.suspect = ramping or unhealthy
        if not unhealthy and self.results >= EJECT_SLOW_AFTER_RESULTS:
            self.ejections = 0
