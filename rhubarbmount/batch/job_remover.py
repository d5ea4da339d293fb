"""Removes the rows of ended jobs after their retention period."""

import logging
from collections.abc import Callable

import attrs

from rhubarbmount import log
from rhubarbmount.batch.clocks import wall_clock_s
from rhubarbmount.batch.shard import Shard
from rhubarbmount.batch.tables import cancel_row, request_row
from rhubarbmount.errors import OutcomeUnknown, PlatformUnavailable
from rhubarbmount.platform.rows import Row, RowStore
from rhubarbmount.timers import TimerService

__all__ = ["JobRemover", "RemovedJobs"]

logger = logging.getLogger(__name__)

REMOVAL_PERIOD_S = 10.0
# Added to the period for which the state of an ended job must remain available.
RETENTION_MARGIN_S = 60.0
MAX_JOBS_PER_ROUND = 50
# Removed within an hour at least; no reading of a table takes that long.
MAX_REMEMBERED_JOBS = 20_000


@attrs.define(eq=False)
class RemovedJobs:
    """Versions of the store at which the requests of jobs were removed.

    A page that was read before may still hold them when it is applied.
    """

    _version_by_id: dict[str, int] = attrs.field(factory=dict)

    def add(self, job_id: str, version: int) -> None:
        """Remember the removal of a job's request, and drop the earliest ones."""
        self._version_by_id[job_id] = version
        while len(self._version_by_id) > MAX_REMEMBERED_JOBS:
            del self._version_by_id[next(iter(self._version_by_id))]

    def includes(self, request: Row) -> bool:
        """Return whether a request was removed, and not written again since."""
        return request.version < self._version_by_id.get(request.name.key, 0)


@attrs.define(eq=False)
class JobRemover:
    """Removes the request rows of ended jobs; ``on_removed`` removes their progress."""

    store: RowStore
    shard_name: str
    shard: Shard
    timers: TimerService
    retention_s: float
    on_removed: Callable[[str], None]
    removed: RemovedJobs

    async def run(self) -> None:
        """Remove expired jobs periodically until cancelled."""
        async for _ in self.timers.every("forget", REMOVAL_PERIOD_S):
            for job_id in self._expired_jobs(
                wall_clock_s() - self.retention_s - RETENTION_MARGIN_S
            ):
                await self._remove(job_id)

    def _expired_jobs(self, before_s: float) -> list[str]:
        expired = [
            job_id
            for job_id, job in self.shard.job_by_id.items()
            if job.state.is_final and job.ended_s < before_s
        ]
        return expired[:MAX_JOBS_PER_ROUND]

    async def _remove(self, job_id: str) -> None:
        """Remove the request and cancel rows of a job before its progress row.

        A request without a progress row would be loaded as a new job.
        """
        names = (
            request_row(self.shard_name, job_id),
            cancel_row(self.shard_name, job_id),
        )
        try:
            version = await self.store.commit({}, {}, names)
        except (PlatformUnavailable, OutcomeUnknown) as error:
            log.event(logger, "job-not-forgotten", job=job_id, code=error.code)
            return
        self.removed.add(job_id, version)
        self.shard.forget(job_id)
        self.on_removed(job_id)
