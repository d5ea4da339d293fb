"""Reservations of host capacity for jobs that wait for tasks there to end."""

from collections.abc import Iterator

import attrs

from rhubarbmount.fleet_usage import FleetUsage
from rhubarbmount.job_queue import TeamUsage, WaitingJob

__all__ = ["HostReservations"]


@attrs.define
class HostReservations:
    """Reserve host capacity and team quota for jobs that wait for a host."""

    fleet: FleetUsage
    usage: TeamUsage
    _reserved: dict[str, tuple[WaitingJob, str]] = attrs.field(factory=dict, init=False)

    def reserve(self, waiting: WaitingJob, host_id: str) -> None:
        """Reserve capacity on a host for a job that has left the queue."""
        job = waiting.job
        pool_usage = self.fleet.placer(job.pool).pool_usage
        pool_usage.reserve(job.job_id, host_id, waiting.need)
        self._reserved[job.job_id] = waiting, host_id
        self.usage.acquire(job.team, waiting.need)

    def release(self, job_id: str) -> WaitingJob | None:
        """Release a job's reservation; return the job, or None if it had none."""
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
        """Release all reservations on a host and queue their jobs again."""
        for job_id, (_, reserved_host_id) in list(self._reserved.items()):
            if reserved_host_id == host_id:
                waiting = self.release(job_id)
                assert waiting is not None
                self.fleet.placer(waiting.job.pool).queue.add(waiting)

    def take_startable(self) -> Iterator[tuple[WaitingJob, str]]:
        """Yield each job that can start now, with its host; release its reservation."""
        for job_id, (waiting, reserved_host_id) in list(self._reserved.items()):
            placer = self.fleet.placer(waiting.job.pool)
            host_id = placer.find_startable_host(waiting, reserved_host_id)
            if host_id is not None:
                self.release(job_id)
                yield waiting, host_id
