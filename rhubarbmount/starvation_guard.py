"""Reservations for large jobs that smaller ones would otherwise starve."""

from collections.abc import Iterator

import attrs

from rhubarbmount.fleet_usage import FleetUsage
from rhubarbmount.host_reservations import HostReservations
from rhubarbmount.host_usage import HostUsage
from rhubarbmount.job_queue import JobGroup, TeamUsage, WaitingJob
from rhubarbmount.placement import PoolPlacer
from rhubarbmount.resources import Resources, resources_needed

__all__ = ["StarvationGuard", "available_from_s"]

RESERVE_AFTER_S = 60.0
CHECK_PERIOD_S = 5.0


@attrs.define
class StarvationGuard:
    """Reserve one host of each pool for a job that has waited too long."""

    fleet: FleetUsage
    host_reservations: HostReservations
    usage: TeamUsage
    _job_by_pool: dict[str, str] = attrs.field(factory=dict, init=False)
    _checked_s: float = attrs.field(default=float("-inf"), init=False)

    def reserve_hosts(self, now_s: float) -> Iterator[tuple[WaitingJob, str]]:
        """Reserve hosts; yield each job that gets a reservation now, with its host."""
        if now_s - self._checked_s < CHECK_PERIOD_S:
            return
        self._checked_s = now_s
        for placer in self.fleet.placers():
            if self._job_by_pool.get(placer.pool) in self.host_reservations:
                continue
            group = self._longest_waiting(placer, now_s)
            host_id = _earliest_host(placer, group.first.need, now_s) if group else None
            if group is None or host_id is None:
                continue
            waiting = group.first
            placer.queue.remove(waiting.job)
            self.host_reservations.reserve(waiting, host_id)
            self._job_by_pool[placer.pool] = waiting.job.job_id
            yield waiting, host_id

    def _longest_waiting(self, placer: PoolPlacer, now_s: float) -> JobGroup | None:
        groups = [
            group
            for group in placer.queue
            if not group.is_urgent
            and now_s - group.first.job.submitted_s >= RESERVE_AFTER_S
            and self.usage.allows(group.team, group.first.need)
        ]
        return min(groups, key=_priority_order, default=None)


def _priority_order(group: JobGroup) -> tuple[int, float, str]:
    job = group.first.job
    return group.rank, job.submitted_s, job.job_id


def _earliest_host(placer: PoolPlacer, need: Resources, now_s: float) -> str | None:
    pool_usage = placer.pool_usage
    times_s = [
        (available_from_s(host_usage, need, now_s), host_id)
        for host_id, host_usage in pool_usage.usage_by_host_id.items()
        if host_usage.accepts_tasks
        and host_id not in pool_usage.avoided_hosts
        and not host_usage.reserved_by_job
        and need.fits(host_usage.offered)
    ]
    return min(times_s)[1] if times_s else None


def available_from_s(host_usage: HostUsage, need: Resources, now_s: float) -> float:
    """Return when a host will have enough capacity, if its tasks end as estimated."""
    free = host_usage.unused
    time_s = now_s
    tasks = sorted(
        host_usage.task_by_id.values(), key=lambda t: t.started_s + t.run_time_s
    )
    for task in tasks:
        if need.fits(free):
            break
        free = free.plus(resources_needed(task.reserved))
        time_s = max(time_s, task.started_s + task.run_time_s)
    return time_s
