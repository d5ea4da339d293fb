"""Rows of a shard's jobs: progress, specs and the counts of waiting ones."""

import functools
import logging
import math
from collections import defaultdict
from collections.abc import Callable, Iterable

import attrs

from rhubarbmount import log
from rhubarbmount.batch.clocks import monotonic_s
from rhubarbmount.batch.model import Job, QueueName
from rhubarbmount.batch.progress_records import (
    Detail,
    encode_piece,
    encode_progress,
)
from rhubarbmount.batch.records import (
    PendingCounts,
    encode_ends,
    encode_pending,
    encode_spec,
)
from rhubarbmount.batch.shard import Shard
from rhubarbmount.batch.tables import (
    kept_ends_row,
    parse_piece_key,
    pending_row,
    progress_piece_row,
    progress_row,
    spec_row,
)
from rhubarbmount.batch.write_batch import WriteBatch
from rhubarbmount.platform.rows import DEFAULT_ROW_BYTES, Row, RowName

__all__ = ["JobRows"]

logger = logging.getLogger(__name__)

# How often the counts of waiting jobs are stored: if they have changed, and at all.
PENDING_PERIOD_S = 0.5
PENDING_REFRESH_S = 1.0


@attrs.define(eq=False)
class JobRows:
    """Puts the rows of changed jobs into the next commit of a shard."""

    name: str
    shard: Shard
    write_batch: WriteBatch
    # Returns up to when all requests are known, by the store's clock.
    requests_known_until_s: Callable[[], float]
    # The largest value that a row may have.
    row_bytes: int = DEFAULT_ROW_BYTES
    # Whether all jobs are known, so that they can be counted.
    has_all_jobs: bool = False
    stored_spec_ids: set[str] = attrs.field(factory=set)
    _stored_pieces_by_id: defaultdict[str, set[int]] = attrs.field(
        factory=lambda: defaultdict(set)
    )
    _stored_pending: dict[QueueName, int] = attrs.field(factory=dict)
    _pending_stored_at_s: float = -math.inf

    def put_changed(self) -> None:
        """Write the jobs that have changed and, from time to time, the counts."""
        dirty, self.shard.dirty = self.shard.dirty, set()
        for job_id in dirty:
            job = self.shard.job_by_id.get(job_id)
            if job is not None:
                self._put(job)
        self._put_kept_ends()
        self._put_pending()

    def remove_kept_ends(self, job_id: str) -> None:
        """Remove the ends kept for a job, whose progress is written before."""
        self.write_batch.remove(kept_ends_row(self.name, job_id))

    def remove(self, job_id: str) -> None:
        """Remove the rows of a job, the spec last, as it is of no use alone."""
        self.stored_spec_ids.discard(job_id)
        self._remove_pieces(job_id)
        self.write_batch.remove(progress_row(self.name, job_id))
        self.write_batch.remove(spec_row(self.name, job_id))

    def _put(self, job: Job) -> None:
        job_id = job.spec.job_id
        if job.state.is_final:
            self._log_end(job)
        if job_id not in self.stored_spec_ids:
            self.stored_spec_ids.add(job_id)
            # Before the first progress, so that no progress is stored without a spec.
            self.write_batch.put(spec_row(self.name, job_id), encode_spec(job.spec))
        if not job.layout.is_whole:
            self._put_pieces(job)
        job.changed_pieces.clear()
        self._put_fitting(
            progress_row(self.name, job_id), functools.partial(encode_progress, job)
        )

    def _put_pieces(self, job: Job) -> None:
        """Write the pieces with changes, in the order in which their tasks may start.

        They come before the row of the job, which may be of a build that keeps all
        tasks there.
        """
        job_id = job.spec.job_id
        if job.state.is_final:
            self._remove_pieces(job_id)
            return
        for piece in sorted(job.changed_pieces):
            self._stored_pieces_by_id[job_id].add(piece)
            self._put_fitting(
                progress_piece_row(self.name, job_id, piece),
                functools.partial(encode_piece, job, piece),
            )

    def _remove_pieces(self, job_id: str) -> None:
        for piece in sorted(self._stored_pieces_by_id.pop(job_id, ())):
            self.write_batch.remove(progress_piece_row(self.name, job_id, piece))

    def _put_fitting(self, name: RowName, encode: Callable[[Detail], bytes]) -> None:
        """Write progress with as much detail as a row holds."""
        for detail in Detail:
            value = encode(detail)
            if len(value) <= self.row_bytes:
                break
            log.event(
                logger,
                "progress-shortened",
                logging.WARNING,
                key=name.key,
                detail=detail.name.lower(),
                bytes=len(value),
                limit_bytes=self.row_bytes,
            )
        self.write_batch.put(name, value)

    def restore_pieces(self, rows: Iterable[Row]) -> None:
        """Note the pieces that are stored; remove those of jobs that have ended."""
        for row in rows:
            job_id, piece = parse_piece_key(row.name.key)
            job = self.shard.job_by_id.get(job_id)
            if job is not None and not job.state.is_final:
                self._stored_pieces_by_id[job_id].add(piece)
            elif job_id not in self.shard.unreadable_jobs:
                self.write_batch.remove(row.name)

    def _put_kept_ends(self) -> None:
        jobs = self.shard.unreadable_jobs
        dirty, jobs.dirty = jobs.dirty, set()
        for job_id in dirty:
            ends = encode_ends(jobs.ends_of(job_id))
            self.write_batch.put(kept_ends_row(self.name, job_id), ends)

    def _log_end(self, job: Job) -> None:
        spec = job.spec
        tasks = job.tasks()
        log.frequent_event(
            logger,
            "job-ended",
            job=spec.job_id,
            queue=spec.queue.prefix,
            state=job.state.value,
            took_s=self.shard.wall_clock_s - spec.accepted_s,
            runs=sum(task.run for task in tasks),
            failures=sum(task.failures for task in tasks),
            catalogue=self.shard.catalogue.version,
        )

    def _put_pending(self) -> None:
        now_s = monotonic_s()
        age_s = now_s - self._pending_stored_at_s
        if not self.has_all_jobs or age_s < PENDING_PERIOD_S:
            return
        counts = self.shard.count_pending()
        if counts != self._stored_pending or age_s >= PENDING_REFRESH_S:
            self._stored_pending = counts
            self._pending_stored_at_s = now_s
            pending = PendingCounts(self.requests_known_until_s(), counts)
            self.write_batch.put(pending_row(self.name), encode_pending(pending))
