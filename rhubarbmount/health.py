"""Outlier ejection: which backend servers of a pool get no requests for a time."""

import attrs

from rhubarbmount.backend_health import (
    EJECT_SLOW_AFTER_RESULTS,
    GUARD_RECOVERY_S,
    AttemptResult,
    BackendHealth,
    HealthAction,
    HealthChange,
)

__all__ = ["PoolHealth"]

SLOWNESS_FLOOR = 0.05
EJECT_AFTER_RESULTS = 5
EJECT_MARGIN = 0.3
EJECT_SLOWNESS = 2.5
EJECTION_S = 5.0
EJECTION_LIMIT_S = 60.0
UNREACHABLE_PAUSE_S = 0.5
UNREACHABLE_PAUSE_LIMIT_S = 2.0
SLOW_START_AFTER_ABSENCES = 3
LEAVING_S = 30.0


@attrs.define
class PoolHealth:
    """Detection of unhealthy backend servers in a pool, and their suspension.

    Ejecting a reachable backend server takes capacity away, so the number of
    suspended servers plus ``hosts_down`` (hosts out of service by their row) must not
    exceed ``hosts_down_limit`` at an ejection. Unreachable servers count as well; when
    the limit is exceeded, ejected servers are readmitted.

    A backend server that can't be reached or refuses all requests provides no
    capacity, so it is suspended for a short time without that limit. So is one that
    reports that it is leaving, for ``LEAVING_S`` or until its row changes.
    """

    hosts_down_limit: int
    hosts_down: int = 0
    health_by_host_id: dict[str, BackendHealth] = attrs.field(factory=dict)
    absent: set[str] = attrs.field(factory=set)
    _success_rate_sum: float = 0.0
    _slowness_sum: float = 0.0

    def add(self, host_id: str) -> BackendHealth:
        """Return the health of a backend server, adding it if it is unknown."""
        health = self.health_by_host_id.get(host_id)
        if health is None:
            health = self.health_by_host_id[host_id] = BackendHealth(host_id)
            self._success_rate_sum += health.success_rate
            self._slowness_sum += health.slowness
        return health

    def remove(self, host_id: str) -> None:
        """Remove a backend server."""
        health = self.health_by_host_id.pop(host_id, None)
        self.absent.discard(host_id)
        if health is not None:
            self._success_rate_sum -= health.success_rate
            self._slowness_sum -= health.slowness

    def record(
        self,
        health: BackendHealth,
        result: AttemptResult,
        now_s: float,
        *,
        slowness: float | None = None,
        others_in_flight: int = 0,
    ) -> HealthChange | None:
        """Record the result of an attempt and return the change it causes, if any.

        ``others_in_flight`` counts this entry host's other requests at the backend
        server.
        """
        if result is AttemptResult.CANCELLED:
            return None
        if result is AttemptResult.LEAVING:
            return self._mark_leaving(health, now_s)
        not_executed = result in (
            AttemptResult.UNREACHABLE,
            AttemptResult.GUARD_REFUSAL,
        )
        if not_executed and health.out_until_s is not None:
            return None
        if result is AttemptResult.UNREACHABLE:
            return self._suspend(health, HealthAction.UNREACHABLE, now_s)
        if result is AttemptResult.GUARD_REFUSAL:
            return self._apply_guard_limit(health, others_in_flight, now_s)
        succeeded = result is AttemptResult.SUCCESS
        self._observe(health, succeeded, slowness, now_s)
        if health.out_until_s is not None:
            return None
        if health.probing:
            return self._evaluate_probe(health, succeeded, slowness, now_s)
        if self._is_outlier(health, succeeded):
            return self._eject_within_limit(health, now_s)
        return None

    def success_beside_others(self, health: BackendHealth) -> float:
        """Return the success rate relative to the other servers' mean.

        It is 1 with fewer than ``EJECT_AFTER_RESULTS`` results, or unless the rate is
        lower by at least ``EJECT_MARGIN``.
        """
        others = self._others_success_rate(health)
        lasting = health.lasting_success_rate
        if health.results < EJECT_AFTER_RESULTS or lasting > others - EJECT_MARGIN:
            return 1.0
        return lasting / others

    def readmit(self) -> list[HealthChange]:
        """End ejections that now exceed the limit, healthiest servers first."""
        ejected = [item for item in self.health_by_host_id.values() if item.ejected]
        ejected.sort(key=lambda item: (-item.success_rate, item.slowness))
        changes = []
        for health in ejected:
            if not self._may_be_out(health):
                changes.append(self._end_ejection(health))
        return changes

    def change_row(self, health: BackendHealth, now_s: float) -> None:
        """Readmit a leaving server with a slow start, since its row has changed.

        The row is newer than the server's own report that it is leaving.
        """
        if health.leaving:
            health.leaving = False
            health.out_until_s = None
            self.absent.discard(health.host_id)
            health.start_slowly(now_s)

    def _mark_leaving(self, health: BackendHealth, now_s: float) -> HealthChange | None:
        if health.leaving:
            return None
        health.leaving = True
        return self._take_out(health, HealthAction.LEAVING, now_s + LEAVING_S)

    def _observe(
        self,
        health: BackendHealth,
        succeeded: bool,
        slowness: float | None,
        now_s: float,
    ) -> None:
        others_slowness = self._others_slowness(health)
        self._success_rate_sum -= health.success_rate
        self._slowness_sum -= health.slowness
        health.fade(others_slowness, now_s)
        health.observe(succeeded, slowness)
        if len(self.health_by_host_id) > 1:
            health.relative_slowness = health.slowness / others_slowness
        health.judge(now_s)
        self._success_rate_sum += health.success_rate
        self._slowness_sum += health.slowness

    def _others_slowness(self, health: BackendHealth) -> float:
        others = len(self.health_by_host_id) - 1
        if not others:
            return health.slowness
        return max((self._slowness_sum - health.slowness) / others, SLOWNESS_FLOOR)

    def _others_success_rate(self, health: BackendHealth) -> float:
        others = len(self.health_by_host_id) - 1
        if not others:
            return 0.0
        return (self._success_rate_sum - health.success_rate) / others

    def _suspend(
        self, health: BackendHealth, action: HealthAction, now_s: float
    ) -> HealthChange:
        health.absences += 1
        pause_s = min(
            UNREACHABLE_PAUSE_S * 2 ** (health.absences - 1), UNREACHABLE_PAUSE_LIMIT_S
        )
        return self._take_out(health, action, now_s + pause_s)

    def _apply_guard_limit(
        self, health: BackendHealth, others_in_flight: int, now_s: float
    ) -> HealthChange:
        if others_in_flight == 0:
            return self._suspend(health, HealthAction.REFUSING, now_s)
        health.guard_limit = others_in_flight
        health.raise_s = now_s + GUARD_RECOVERY_S
        return self._new_change(health, HealthAction.LIMITED, health.raise_s)

    def _restore(self, health: BackendHealth, now_s: float) -> HealthChange:
        if health.ejected or health.absences >= SLOW_START_AFTER_ABSENCES:
            health.start_slowly(now_s)
        health.probing = False
        health.ejected = False
        health.absences = 0
        health.results = 0
        self.absent.discard(health.host_id)
        return self._new_change(health, HealthAction.RESTORED, now_s)

    def _evaluate_probe(
        self,
        health: BackendHealth,
        succeeded: bool,
        slowness: float | None,
        now_s: float,
    ) -> HealthChange | None:
        limit = EJECT_SLOWNESS * self._others_slowness(health)
        still_slow = slowness is not None and slowness >= limit
        if succeeded and not (health.ejected and still_slow):
            return self._restore(health, now_s)
        return self._eject(health, now_s) if health.ejected else None

    def _is_outlier(self, health: BackendHealth, succeeded: bool) -> bool:
        if succeeded:
            slow = health.relative_slowness >= EJECT_SLOWNESS
            return slow and health.results >= EJECT_SLOW_AFTER_RESULTS
        others = self._others_success_rate(health)
        failing = health.success_rate <= others - EJECT_MARGIN
        return failing and health.results >= EJECT_AFTER_RESULTS

    def _may_be_out(self, health: BackendHealth) -> bool:
        """Return whether the limit lets a server be out, and another still serves."""
        limit = min(self.hosts_down_limit, len(self.health_by_host_id) - 1)
        others_out = len(self.absent - {health.host_id})
        return self.hosts_down + others_out < limit

    def _end_ejection(self, health: BackendHealth) -> HealthChange:
        health.ejected = False
        health.probing = False
        health.out_until_s = None
        health.rest_until_s = None
        health.results = 0
        self.absent.discard(health.host_id)
        return self._new_change(health, HealthAction.READMITTED, health.updated_s)

    def _eject_within_limit(self, health: BackendHealth, now_s: float) -> HealthChange:
        if self._may_be_out(health):
            return self._eject(health, now_s)
        return self._new_change(health, HealthAction.EJECTION_CAPPED, now_s)

    def _eject(self, health: BackendHealth, now_s: float) -> HealthChange:
        health.ejected = True
        health.ejections += 1
        pause_s = min(EJECTION_S * 2 ** (health.ejections - 1), EJECTION_LIMIT_S)
        return self._take_out(health, HealthAction.EJECTED, now_s + pause_s)

    def _take_out(
        self, health: BackendHealth, action: HealthAction, until_s: float
    ) -> HealthChange:
        health.out_until_s = until_s
        health.probing = False
        self.absent.add(health.host_id)
        return self._new_change(health, action, until_s)

    @staticmethod
    def _new_change(
        health: BackendHealth, action: HealthAction, until_s: float
    ) -> HealthChange:
        return HealthChange(health.host_id, action, until_s, health.success_rate)
