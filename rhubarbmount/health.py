"""Health of backend servers, learnt from the results of attempts."""

import math
from enum import StrEnum

import attrs

__all__ = [
    "AttemptResult",
    "BackendHealth",
    "HealthAction",
    "HealthChange",
    "PoolHealth",
]

SUCCESS_WEIGHT = 0.2
SLOWNESS_WEIGHT = 0.1
SLOWNESS_SAMPLE_LIMIT = 10.0
SLOWNESS_BAND = 1.5
SUCCESS_FLOOR = 0.05
FADE_S = 10.0

EJECT_AFTER_RESULTS = 5
EJECT_MARGIN = 0.3
EJECT_SLOWNESS = 2.5
EJECT_SLOW_AFTER_RESULTS = 10
EJECTION_S = 5.0
EJECTION_LIMIT_S = 60.0
UNREACHABLE_S = 0.5
UNREACHABLE_LIMIT_S = 2.0
GUARD_RECOVERY_S = 1.0
SLOW_START_S = 10.0
SLOW_START_FLOOR = 0.1
SLOW_START_AFTER_ABSENCES = 3


class AttemptResult(StrEnum):
    """How one attempt at a backend server ended, as its health sees it.

    ``FAILURE`` covers error statuses, broken answers and timeouts. ``GUARD_REFUSAL``
    is the backend server's own word that it did not run the request.
    ``UNREACHABLE`` means that no connection came about. ``CANCELLED`` says nothing
    about the backend server.
    """

    SUCCESS = "success"
    FAILURE = "failure"
    GUARD_REFUSAL = "guard-refusal"
    UNREACHABLE = "unreachable"
    CANCELLED = "cancelled"


class HealthAction(StrEnum):
    """What a result changed in the standing of a backend server."""

    EJECTED = "ejected"
    EJECTION_CAPPED = "ejection-capped"
    UNREACHABLE = "unreachable"
    REFUSING = "refusing"
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
    refused. ``probing`` allows one request at a time until one succeeds.
    """

    host_id: str
    success_rate: float = 1.0
    slowness: float = 1.0
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

    def start_slowly(self, now_s: float) -> None:
        """Begin the slow start at this time."""
        self.started_s = now_s
        self.suspect = True

    def penalty(self, now_s: float) -> float:
        """Return the factor, at least 1, by which the load is to count.

        >>> BackendHealth("w1").penalty(0.0)
        1.0
        >>> BackendHealth("w1", slowness=3.0, suspect=True).penalty(0.0)
        9.0
        """
        if not self.suspect:
            return 1.0
        fade = math.exp((self.updated_s - now_s) / FADE_S)
        success = max(1.0 - (1.0 - self.success_rate) * fade, SUCCESS_FLOOR)
        slowness = 1.0 + (self.slowness - 1.0) * fade
        if slowness < SLOWNESS_BAND:
            slowness = 1.0
        ramp = min((now_s - self.started_s) / SLOW_START_S, 1.0)
        return (slowness / success) ** 2 / max(ramp, SLOW_START_FLOOR)

    def cap(self, limit: int) -> int:
        """Return how many of the limit's requests this backend server may hold."""
        if self.out_until_s is not None:
            return 0
        if self.probing:
            return min(limit, 1)
        if self.guard_limit is not None:
            return min(limit, self.guard_limit)
        return limit

    def due_s(self) -> float | None:
        """Return when ``wake`` is next to be called, if at all."""
        if self.out_until_s is not None:
            return self.out_until_s
        return self.raise_s if self.guard_limit is not None else None

    def wake(self, now_s: float, share: int) -> None:
        """Do what has come due: probe again, or raise the guard limit by one."""
        if self.out_until_s is not None and self.out_until_s <= now_s:
            self.out_until_s = None
            self.probing = True
        if self.guard_limit is not None and self.raise_s <= now_s:
            self.guard_limit += 1
            self.raise_s = now_s + GUARD_RECOVERY_S
            if self.guard_limit >= share:
                self.guard_limit = None

    def observe(self, succeeded: bool, slowness: float | None, now_s: float) -> None:
        """Take in one result; slowness is its latency over the service's mean."""
        self.results += 1
        self.success_rate += SUCCESS_WEIGHT * (succeeded - self.success_rate)
        if slowness is not None:
            sample = min(slowness, SLOWNESS_SAMPLE_LIMIT)
            self.slowness += SLOWNESS_WEIGHT * (sample - self.slowness)
        self.updated_s = now_s
        ramping = now_s < self.started_s + SLOW_START_S
        unsound = self.success_rate < 0.95 or self.slowness >= SLOWNESS_BAND
        self.suspect = ramping or unsound
        if not unsound and self.results >= EJECT_SLOW_AFTER_RESULTS:
            self.ejections = 0


@attrs.define
class PoolHealth:
    """Decide which backend servers of a pool sit out.

    Ejecting a reachable backend server withholds capacity, so it stays within
    ``hosts_down_limit``, counted with ``hosts_down`` (hosts out by their row) and
    the unreachable ones. A backend server that can't be reached or takes nothing
    has no capacity to withhold: it sits out for a short time without a cap.
    """

    hosts_down_limit: int
    hosts_down: int = 0
    success_rate: float = 1.0
    by_host_id: dict[str, BackendHealth] = attrs.field(factory=dict)
    absent: set[str] = attrs.field(factory=set)

    def add(self, host_id: str) -> BackendHealth:
        """Return the health of a backend server, new when it is not known."""
        return self.by_host_id.setdefault(host_id, BackendHealth(host_id))

    def remove(self, host_id: str) -> None:
        """Forget a backend server."""
        self.by_host_id.pop(host_id, None)
        self.absent.discard(host_id)

    def record(
        self,
        health: BackendHealth,
        result: AttemptResult,
        now_s: float,
        *,
        slowness: float | None = None,
        others_in_flight: int = 0,
    ) -> HealthChange | None:
        """Take in a result; ``others_in_flight`` counts our other requests there."""
        if result is AttemptResult.CANCELLED:
            return None
        did_not_run = result in (AttemptResult.UNREACHABLE, AttemptResult.GUARD_REFUSAL)
        if did_not_run and health.out_until_s is not None:
            return None
        if result is AttemptResult.UNREACHABLE:
            return self._sit_out(health, HealthAction.UNREACHABLE, now_s)
        if result is AttemptResult.GUARD_REFUSAL:
            return self._limit(health, others_in_flight, now_s)
        succeeded = result is AttemptResult.SUCCESS
        health.observe(succeeded, slowness, now_s)
        weight = SUCCESS_WEIGHT / max(len(self.by_host_id), 1)
        self.success_rate += weight * (succeeded - self.success_rate)
        if health.out_until_s is not None:
            return None
        if health.probing:
            return self._judge_probe(health, succeeded, slowness, now_s)
        if self._is_outlier(health, succeeded):
            return self._eject_within_limit(health, now_s)
        return None

    def _sit_out(
        self, health: BackendHealth, action: HealthAction, now_s: float
    ) -> HealthChange:
        health.absences += 1
        pause_s = min(UNREACHABLE_S * 2 ** (health.absences - 1), UNREACHABLE_LIMIT_S)
        return self._leave_out(health, action, now_s + pause_s)

    def _limit(
        self, health: BackendHealth, others_in_flight: int, now_s: float
    ) -> HealthChange:
        if others_in_flight == 0:
            return self._sit_out(health, HealthAction.REFUSING, now_s)
        health.guard_limit = others_in_flight
        health.raise_s = now_s + GUARD_RECOVERY_S
        return self._change(health, HealthAction.LIMITED, health.raise_s)

    def _restore(self, health: BackendHealth, now_s: float) -> HealthChange:
        if health.ejected or health.absences >= SLOW_START_AFTER_ABSENCES:
            health.start_slowly(now_s)
        health.probing = False
        health.ejected = False
        health.absences = 0
        health.results = 0
        self.absent.discard(health.host_id)
        return self._change(health, HealthAction.RESTORED, now_s)

    def _judge_probe(
        self,
        health: BackendHealth,
        succeeded: bool,
        slowness: float | None,
        now_s: float,
    ) -> HealthChange | None:
        still_slow = slowness is not None and slowness >= EJECT_SLOWNESS
        if succeeded and not (health.ejected and still_slow):
            return self._restore(health, now_s)
        return self._eject(health, now_s) if health.ejected else None

    def _is_outlier(self, health: BackendHealth, succeeded: bool) -> bool:
        if succeeded:
            slow = health.slowness >= EJECT_SLOWNESS
            return slow and health.results >= EJECT_SLOW_AFTER_RESULTS
        failing = health.success_rate <= self.success_rate - EJECT_MARGIN
        return failing and health.results >= EJECT_AFTER_RESULTS

    def _eject_within_limit(self, health: BackendHealth, now_s: float) -> HealthChange:
        others_out = len(self.absent - {health.host_id})
        if self.hosts_down + others_out < self.hosts_down_limit:
            return self._eject(health, now_s)
        return self._change(health, HealthAction.EJECTION_CAPPED, now_s)

    def _eject(self, health: BackendHealth, now_s: float) -> HealthChange:
        health.ejected = True
        health.ejections += 1
        pause_s = min(EJECTION_S * 2 ** (health.ejections - 1), EJECTION_LIMIT_S)
        return self._leave_out(health, HealthAction.EJECTED, now_s + pause_s)

    def _leave_out(
        self, health: BackendHealth, action: HealthAction, until_s: float
    ) -> HealthChange:
        health.out_until_s = until_s
        health.probing = False
        self.absent.add(health.host_id)
        return self._change(health, action, until_s)

    @staticmethod
    def _change(
        health: BackendHealth, action: HealthAction, until_s: float
    ) -> HealthChange:
        return HealthChange(health.host_id, action, until_s, health.success_rate)
