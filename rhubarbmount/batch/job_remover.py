"""Removes the rows of ended jobs after their retention period."""

import logging
from collections.abc import Callable

import attrs

from rhubarbmount import log
from rhubarbmount.batch.clocks import wall_clock_s
from rhubarbmount.batch.shard import Shard
from rhubarbmount.batch.tables import CANCEL_SUFFIX, cancel_row, request_row
from rhubarbmount.errors import OutcomeUnknown, PlatformUnavailable
from rhubarbmount.platform.rows import Row, RowName, RowStore
from rhubarbmount.timers import TimerService

__all__ = ["BarredJobs", "JobRemover", "RemovedJobs"]

logger = logging.getLogger(__name__)

REMOVAL_PERIOD_S = 10.0
# Added to the period for which the state of an ended job must remain available.
RETENTION_MARGIN_S = 60.0
MAX_JOBS_PER_ROUND = 50
# Of one part of the store, in one round.
MAX_BARS_PER_CALL = 90
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
class BarredJobs:
    """Jobs that were cancelled before any request of theirs was read.

    The row of the cancellation bars a request that the store carries out late.
    """

    _heard_at_s: dict[str, float] = attrs.field(factory=dict)

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._heard_at_s

    def add(self, job_id: str, now_s: float) -> None:
        """Note a cancellation that was heard of now, or before."""
        self._heard_at_s.setdefault(job_id, now_s)

    def discard(self, job_id: str) -> None:
        """Forget a job whose request has been read, or is no longer to be expected."""
        self._heard_at_s.pop(job_id, None)

    def heard_before(self, at_s: float) -> list[str]:
        """Return the jobs that were heard of before a time, the earliest first."""
        heard = self._heard_at_s.items()
        return [job_id for job_id, heard_at_s in heard if heard_at_s < at_s]


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
    barred: BarredJobs

    async def run(self) -> None:
        """Remove expired jobs periodically until cancelled."""
        async for _ in self.timers.every("forget", REMOVAL_PERIOD_S):
            before_s = wall_clock_s() - self.retention_s - RETENTION_MARGIN_S
            for job_id in self._expired_jobs(before_s):
                await self._remove(job_id)
            await self._remove_bars(before_s)

    async def _remove_bars(self, before_s: float) -> None:
        """Remove the cancellations of jobs that were never stored."""
        names_by_part: dict[str, list[RowName]] = {}
        for job_id in self.barred.heard_before(before_s):
            if job_id in self.shard.job_by_id or job_id in self.shard.unreadable_jobs:
                # The row is that of a job.
                self.barred.discard(job_id)
                continue
            name = cancel_row(self.shard_name, job_id)
            names_by_part.setdefault(name.part, []).append(name)
        for names in names_by_part.values():
            await self._remove_bars_of_part(names[:MAX_BARS_PER_CALL])

    async def _remove_bars_of_part(self, names: list[RowName]) -> None:
        try:
            await self.store.commit({}, {}, names)
        except (PlatformUnavailable, OutcomeUnknown) as error:
            log.event(logger, "bars-not-removed", rows=len(names), code=error.code)
            return
        for name in names:
            self.barred.discard(name.key.removesuffix(CANCEL_SUFFIX))

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
        self.barred.discard(job_id)
        self.shard.forget(job_id)
        self.on_removed(job_id)
