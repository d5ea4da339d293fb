"""Requests and cancellations of jobs, stored by entry hosts for a shard's holder."""

import logging
from collections.abc import Callable

import attrs

from rhubarbmount import log
from rhubarbmount.batch.clocks import monotonic_s, wall_clock_s
from rhubarbmount.batch.job_remover import BarredJobs, RemovedJobs
from rhubarbmount.batch.shard import Shard
from rhubarbmount.batch.shard_rows import JobReader, ShardLoader
from rhubarbmount.batch.table_follower import TableFollower
from rhubarbmount.batch.tables import CANCEL_SUFFIX, REQUESTS_TABLE, request_parts
from rhubarbmount.platform.rows import Page, Row, RowStore

__all__ = ["JobRequests"]

logger = logging.getLogger(__name__)


@attrs.define(eq=False)
class JobRequests:
    """Adds the jobs that are requested to a shard, and cancels them.

    ``wake`` triggers a scheduling pass.
    """

    store: RowStore
    shard_name: str
    shard: Shard
    loader: ShardLoader
    reader: JobReader
    wake: Callable[[], None]
    removed_jobs: RemovedJobs = attrs.field(factory=RemovedJobs)
    barred_jobs: BarredJobs = attrs.field(factory=BarredJobs)
    # Progress stored by builds that did not store specs.
    progress_without_spec_by_id: dict[str, Row] = attrs.field(factory=dict)
    # Up to when the requests were known as they were loaded, by the store's clock.
    _loaded_until_s: float | None = None
    _follower: TableFollower | None = None
    _parts: frozenset[str] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._parts = frozenset(request_parts(self.shard_name))

    async def load(self, on_page: Callable[[Page], None] | None = None) -> None:
        """Read all requests, unless that has been done; ``on_page`` gets each page.

        By default they are applied.
        """
        if self._loaded_until_s is None:
            on_page = on_page or (lambda page: self.apply(page, False))
            self._loaded_until_s = await self.loader.load_requests(on_page)

    def follow(self, version: int) -> TableFollower:
        """Return what reads the requests written after ``version`` of the store."""
        self._follower = TableFollower(
            self.store,
            REQUESTS_TABLE,
            tuple(request_parts(self.shard_name)),
            self.apply,
            version,
        )
        return self._follower

    def expect(self, version: int) -> None:
        """Expect a request that this host has stored at ``version`` of the store."""
        if self._follower is not None:
            self._follower.expect(version)

    def known_until_s(self) -> float:
        """Return up to when all requests are known, by the store's clock."""
        followed_s = self._follower.known_until_s if self._follower else 0.0
        return max(followed_s, self._loaded_until_s or 0.0)

    def apply(self, page: Page, is_whole: bool) -> None:
        """Add the jobs of a page of requests, and cancel those it cancels."""
        self.shard.set_time(monotonic_s(), wall_clock_s())
        for row in page.rows:
            if row.name.part not in self._parts or not row.version:
                continue
            if row.name.key.endswith(CANCEL_SUFFIX):
                self._cancel(row.name.key.removesuffix(CANCEL_SUFFIX))
            elif not self._knows_job_of(row):
                self._add(row)
        self.wake()

    def _cancel(self, job_id: str) -> None:
        """Cancel a job, or note that for when its request is read, if ever."""
        self.shard.cancel(job_id)
        if job_id not in self.shard.job_by_id:
            self.barred_jobs.add(job_id, wall_clock_s())

    def _knows_job_of(self, request: Row) -> bool:
        is_listed = request.name.key in self.shard.job_by_id
        return is_listed or self.removed_jobs.includes(request)

    def _add(self, row: Row) -> None:
        progress = self.progress_without_spec_by_id.pop(row.name.key, None)
        job = self.reader.add(row, progress)
        if job is None:
            return
        spec = job.spec
        self.shard.demand.note_job(
            self.shard.pool_of(spec),
            spec,
            self.shard.expected_run_times_s(spec),
            monotonic_s(),
        )
        log.frequent_event(logger, "job-seen", job=spec.job_id, version=row.version)
        if spec.job_id in self.barred_jobs:
            self.shard.cancel(spec.job_id)
