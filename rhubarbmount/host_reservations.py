"""Room that is being cleared for jobs that wait for it."""

from collections.abc import Iterator

import attrs

from rhubarbmount.fleet_usage import FleetUsage
from rhubarbmount.job_queue import TeamUsage, WaitingJob

__all__ = ["HostReservations"]


@attrs.define
class HostReservations:
    """Hold a host's room and the team's quota for each job that waits for them."""

    fleet: FleetUsage
    usage: TeamUsage
    _reserved: dict[str, tuple[WaitingJob, str]] = attrs.field(factory=dict, init=False)

    def reserve(self, waiting: WaitingJob, host_id: str) -> None:
        """Promise a host's room to a job that has left the queue."""
        job = waiting.job
        pool_usage = self.fleet.placer(job.pool).pool_usage
        pool_usage.reserve(job.job_id, host_id, waiting.need)
        self._reserved[job.job_id] = waiting, host_id
        self.usage.acquire(job.team, waiting.need)

    def release(self, job_id: str) -> WaitingJob | None:
        """Drop a job's promise, if it has one."""
        reserved = self._reserved.pop(job_id, None)
        if reserved is None:
            return None
        waiting, host_id = reserved
        self.fleet.placer(waiting.job.pool).pool_usage.release(job_id, host_id)
        self.usage.release(waiting.job.team, waiting.need)
        return waiting

    def __contains__(self, job_id: object) -> bool:
        return job_id in self._reserved

    def release_host(self, host_id: str) -> None:
        """Put the jobs that were promised a host back into their queues."""
        for job_id, (_, reserved_host_id) in list(self._reserved.items()):
            if reserved_host_id == host_id:
                waiting = self.release(job_id)
                assert waiting is not None
                self.fleet.placer(waiting.job.pool).queue.add(waiting)

    def take_startable(self) -> Iterator[tuple[WaitingJob, str]]:
        """Yield jobs that can start now, and drop their promises."""
        for job_id, (waiting, reserved_host_id) in list(self._reserved.items()):
            placer = self.fleet.placer(waiting.job.pool)
            host_id = placer.find_startable_host(waiting, reserved_host_id)
            if host_id is not None:
                self.release(job_id)
                yield waiting, host_id
