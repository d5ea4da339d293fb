"""Health of one backend server, learnt from the results of attempts."""

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
    """How one attempt at a backend server ended, as its health sees it.

    ``FAILURE`` covers error statuses, broken answers and timeouts. ``GUARD_REFUSAL``
    is the backend server's own word that it did not run the request, ``LEAVING`` that
    it will run no more.
    ``UNREACHABLE`` means that no connection came about. ``CANCELLED`` says nothing
    about the backend server.
    """

    SUCCESS = "success"
    FAILURE = "failure"
    GUARD_REFUSAL = "guard-refusal"
    LEAVING = "leaving"
    UNREACHABLE = "unreachable"
    CANCELLED = "cancelled"


class HealthAction(StrEnum):
    """What a result changed in the standing of a backend server."""

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
    """A change of standing, with the time until which it holds in seconds."""

    host_id: str
    action: HealthAction
    until_s: float
    success_rate: float


@attrs.define(eq=False)
class BackendHealth:
    """What is known of one backend server; times are on the caller's clock.

    ``guard_limit`` is the number of requests in flight above which its guard
    refused. ``probing`` allows one request at a time until one succeeds. ``leaving``
    holds while it sits out by its own word. ``rest_until_s`` is set while a slow or
    failing one gets no work, so that its few requests are spread over time.
    ``lasting_success_rate`` changes with results only, ``success_rate`` fades too.
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
        """Begin the slow start at this time."""
        self.started_s = now_s
        self.suspect = True

    def penalty(self, now_s: float) -> float:
        """Return the factor, at least 1, by which the load is to count.

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
        """Return how many of the limit's requests this backend server may hold.

        A slow one holds fewer, as each stays longer.
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
        """Let a slow one rest after a request when even one at a time is too many.

        It would hold less than one request for its share of slots over the square of
        its slowness.
        """
        held = share / self.relative_slowness**2
        if self._is_slow() and held < 1.0:
            pause_s = min(latency_s * (1.0 / held - 1.0), MAX_SLOW_COOLDOWN_S)
            self.rest_until_s = now_s + pause_s

    def cool_down_after_failure(
        self, now_s: float, success: float, latency_s: float, share: int
    ) -> None:
        """Let a failing one rest after a failure, and hold one request at a time.

        It gets about as many requests as its share of slots would do in the latency
        of a sound one, times the square of its success over that of the others.
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
        """Return when ``wake`` is next to be called, if at all."""
        if self.out_until_s is not None:
            return self.out_until_s
        if self.rest_until_s is not None:
            return self.rest_until_s
        return self.raise_s if self.guard_limit is not None else None

    def wake(self, now_s: float, share: int) -> None:
        """Do what has come due: probe, end a rest, or raise the guard limit by one."""
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
        """Let old results count for less, towards what the others in the pool show."""
        fade = math.exp((self.updated_s - now_s) / DECAY_TIME_S)
        self.success_rate = 1.0 - (1.0 - self.success_rate) * fade
        self.slowness = others_slowness + (self.slowness - others_slowness) * fade

    def observe(self, succeeded: bool, slowness: float | None) -> None:
        """Take in one result; slowness is its latency over the service's mean."""
        self.results += 1
        self.success_rate += SUCCESS_EWMA_WEIGHT * (succeeded - self.success_rate)
        lasting = self.lasting_success_rate
        self.lasting_success_rate += SUCCESS_EWMA_WEIGHT * (succeeded - lasting)
        if slowness is not None:
            sample = min(slowness, MAX_SLOWNESS_SAMPLE)
            self.slowness += SLOWNESS_EWMA_WEIGHT * (sample - self.slowness)

    def judge(self, now_s: float) -> None:
        """Note whether penalties apply from now on."""
        self.updated_s = now_s
        ramping = now_s < self.started_s + SLOW_START_S
        slow = self.relative_slowness >= SLOWNESS_TOLERANCE
        unhealthy = slow or self.success_rate < HEALTHY_SUCCESS_RATE
        self.suspect = ramping or unhealthy
        if not unhealthy and self.results >= EJECT_SLOW_AFTER_RESULTS:
            self.ejections = 0
