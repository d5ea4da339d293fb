"""Loads the rows of a shard when a host becomes its holder."""

import logging
from collections.abc import Callable

import attrs
import trio

from rhubarbmount import log
from rhubarbmount.batch.model import Job
from rhubarbmount.batch.progress_records import decode_piece, decode_progress
from rhubarbmount.batch.record_fields import UnreadableRecord
from rhubarbmount.batch.records import decode_ends, decode_spec
from rhubarbmount.batch.shard import Shard
from rhubarbmount.batch.tables import (
    HOST_ORDERS_TABLE,
    KEPT_ENDS_TABLE,
    PROGRESS_PIECES_TABLE,
    PROGRESS_TABLE,
    REQUESTS_TABLE,
    SERVER_RECORDS_TABLE,
    SILENT_SERVERS_TABLE,
    SPECS_TABLE,
    USED_LIFETIMES_TABLE,
    WAVES_TABLE,
    parse_piece_key,
    request_parts,
)
from rhubarbmount.batch.unreadable_jobs import KeptEnd
from rhubarbmount.batch.unreadable_rows import UnreadableRows
from rhubarbmount.errors import OutcomeUnknown, PlatformUnavailable
from rhubarbmount.platform.row_formats import SERVERS_TABLE
from rhubarbmount.platform.rows import (
    MAX_READ_TIMEOUT_S,
    PAGE_ROWS,
    Page,
    Row,
    RowStore,
)

__all__ = ["JobReader", "LoadedShard", "ShardLoader"]

logger = logging.getLogger(__name__)

HOLDER_TABLES = (
    PROGRESS_TABLE,
    PROGRESS_PIECES_TABLE,
    SPECS_TABLE,
    KEPT_ENDS_TABLE,
    WAVES_TABLE,
    HOST_ORDERS_TABLE,
    SILENT_SERVERS_TABLE,
)
RETRY_S = 0.1
# A lost answer costs little, and a slow link gets enough time, as timeouts double.
MIN_READ_TIMEOUT_S = 0.5
READ_TIMEOUT_FACTOR = 3.0
BYTES_PER_S_PER_MBPS = 125_000
# How long the rows asked for at once may occupy the link.
LINK_QUEUE_S = 0.2
TYPICAL_ROW_BYTES = 2048
MIN_PAGE_ROWS = 8
MIN_READS = 4
MAX_READS = 16


@attrs.frozen
class LoadedShard:
    """The rows that a holder writes, and those of all backend servers."""

    progress: Page
    progress_pieces: Page
    specs: Page
    kept_ends: Page
    waves: Page
    command_times: Page
    silent_servers: Page
    servers: Page

    @property
    def version(self) -> int:
        """Return a version of the store that every page is as new as."""
        pages = (self.progress, self.progress_pieces, self.specs, self.servers)
        return min(page.version for page in pages)

    @property
    def progress_by_id(self) -> dict[str, Row]:
        """Return the rows of the progress of jobs."""
        return {row.name.key: row for row in self.progress.rows}

    @property
    def progress_without_spec_by_id(self) -> dict[str, Row]:
        """Return the progress of jobs whose spec was not stored beside it."""
        progress_by_id = self.progress_by_id
        for row in self.specs.rows:
            progress_by_id.pop(row.name.key, None)
        return progress_by_id

    def add_jobs(self, reader: "JobReader") -> None:
        """Add the jobs whose progress and spec are stored."""
        for row in self.kept_ends.rows:
            reader.note_ends(row)
        for row in self.progress_pieces.rows:
            reader.note_piece(row)
        progress_by_id = self.progress_by_id
        for row in self.specs.rows:
            progress = progress_by_id.get(row.name.key)
            # A spec without progress belongs to a job that was being removed.
            if progress is not None:
                reader.add(row, progress)


@attrs.define(eq=False)
class JobReader:
    """Adds jobs to a shard from their rows; those that can't be read are left alone."""

    shard: Shard
    unreadable_rows: UnreadableRows
    _ends_by_id: dict[str, list[KeptEnd]] = attrs.field(factory=dict)
    _pieces_by_id: dict[str, list[Row]] = attrs.field(factory=dict)

    def add(self, spec_row: Row, progress_row: Row | None) -> Job | None:
        """Add a job from its spec, and from its progress if any; return it if read."""
        job_id = spec_row.name.key
        spec, row = None, spec_row
        try:
            spec = decode_spec(spec_row.value)
            if spec.job_id != job_id:
                raise UnreadableRecord(f"the spec is that of job {spec.job_id}")
            job = Job(spec)
            if progress_row is not None:
                row = progress_row
                decode_progress(progress_row.value, job)
                if not job.state.is_final:
                    for row in self._pieces_by_id.get(job_id, ()):
                        decode_piece(row.value, job)
        except UnreadableRecord as error:
            self.unreadable_rows.report(row, error)
            may_have_runs = progress_row is not None
            self.shard.unreadable_jobs.add(job_id, spec, may_have_runs)
            return None
        if job_id in self.shard.unreadable_jobs:
            # The ends of its runs can't be read.
            self.shard.unreadable_jobs.add(job_id, spec, True)
            return None
        self.shard.add_job(job)
        return job

    def note_piece(self, row: Row) -> None:
        """Note a piece of the progress of a job, which is to be added."""
        job_id, _ = parse_piece_key(row.name.key)
        self._pieces_by_id.setdefault(job_id, []).append(row)

    def note_ends(self, row: Row) -> None:
        """Note the ends of a job's runs that a holder kept which could not read it."""
        try:
            self._ends_by_id[row.name.key] = decode_ends(row.value, row.name.key)
        except UnreadableRecord as error:
            self.unreadable_rows.report(row, error)
            self.shard.unreadable_jobs.add(row.name.key, None, True)

    def apply_ends(self, now_s: float) -> list[str]:
        """Apply noted ends; return the jobs whose kept ends are of no more use."""
        settled = []
        for job_id, ends in self._ends_by_id.items():
            if job_id in self.shard.unreadable_jobs:
                self.shard.unreadable_jobs.restore_ends(job_id, ends)
                continue
            settled.append(job_id)
            for kept in ends:
                self.shard.end_run(kept.server_id, kept.end, now_s)
        return settled


@attrs.define(eq=False)
class ShardLoader:
    """Reads the rows of a shard when a host becomes its holder.

    The holder has raised the fencing token before, so that no other process can change
    its rows meanwhile. No more is asked for at once than a link of ``link_mbps`` takes
    quickly, since renewals of the lease share it.
    """

    store: RowStore
    name: str
    link_mbps: float
    _reader: "_Reader" = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._reader = _Reader(self.store, *_share_of_link(self.link_mbps))

    async def load(self) -> LoadedShard:
        """Read all tables but the requests, retrying until each of them is read."""
        page_by_table: dict[str, Page] = {}

        async def read(table: str, part: str) -> None:
            page_by_table[table] = await self._reader.read(table, part)

        async with trio.open_nursery() as nursery:
            for table in HOLDER_TABLES:
                nursery.start_soon(read, table, self.name)
            nursery.start_soon(read, SERVERS_TABLE, "")
        return LoadedShard(
            progress=page_by_table[PROGRESS_TABLE],
            progress_pieces=page_by_table[PROGRESS_PIECES_TABLE],
            specs=page_by_table[SPECS_TABLE],
            kept_ends=page_by_table[KEPT_ENDS_TABLE],
            waves=page_by_table[WAVES_TABLE],
            command_times=page_by_table[HOST_ORDERS_TABLE],
            silent_servers=page_by_table[SILENT_SERVERS_TABLE],
            servers=page_by_table[SERVERS_TABLE],
        )

    async def load_silent_servers(self) -> Page:
        """Read the record of silent servers."""
        return await self._reader.read(SILENT_SERVERS_TABLE, self.name)

    async def load_server_records(self) -> Page:
        """Read where the servers with tasks are reached."""
        return await self._reader.read(SERVER_RECORDS_TABLE, self.name)

    async def load_used_lifetimes(self) -> Page:
        """Read on which lifetimes of servers tasks were started."""
        return await self._reader.read(USED_LIFETIMES_TABLE, self.name)

    async def load_requests(self, on_page: Callable[[Page], None]) -> float:
        """Read the requests and pass each part on as soon as it can be read.

        Return the time on the store's clock up to which all of them are known.
        """
        known_until_s: list[float] = []

        async def read(part: str) -> None:
            page = await self._reader.read(REQUESTS_TABLE, part)
            on_page(page)
            known_until_s.append(page.clock_ms / 1000)

        async with trio.open_nursery() as nursery:
            for part in request_parts(self.name):
                nursery.start_soon(read, part)
        return min(known_until_s)


def _share_of_link(link_mbps: float) -> tuple[int, int]:
    """Return how many reads may be under way at once, and the rows of each."""
    rows = int(link_mbps * BYTES_PER_S_PER_MBPS * LINK_QUEUE_S / TYPICAL_ROW_BYTES)
    page_rows = min(PAGE_ROWS, max(MIN_PAGE_ROWS, rows // MIN_READS))
    return min(MAX_READS, max(MIN_READS, rows // page_rows)), page_rows


@attrs.define(eq=False)
class _Reader:
    """Reads parts of tables page by page; a page that was read is not read again."""

    store: RowStore
    reads: int
    page_rows: int
    _timeout_s: float = MIN_READ_TIMEOUT_S
    _limiter: trio.CapacityLimiter = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._limiter = trio.CapacityLimiter(self.reads)

    async def read(self, table: str, part: str) -> Page:
        """Return all rows of a part, with the version and clock of the first page."""
        first = page = await self._read_page(table, part, "")
        rows = list(page.rows)
        while page.has_more and page.rows:
            next_key = page.rows[-1].name.key + "\x00"
            page = await self._read_page(table, part, next_key)
            rows.extend(page.rows)
        return Page(tuple(rows), first.version, first.clock_ms, False)

    async def _read_page(self, table: str, part: str, first_key: str) -> Page:
        while True:
            async with self._limiter:
                page = await self._try_page(table, part, first_key)
            if page is not None:
                return page
            await trio.sleep(RETRY_S)

    async def _try_page(self, table: str, part: str, first_key: str) -> Page | None:
        """Return a page, or None if it could not be read; adapt the timeout."""
        started_s, timeout_s = trio.current_time(), self._timeout_s
        try:
            page = await self.store.read(
                table, part, first_key, timeout_s=timeout_s, limit=self.page_rows
            )
        except (PlatformUnavailable, OutcomeUnknown) as error:
            self._timeout_s = min(MAX_READ_TIMEOUT_S, timeout_s * 2)
            log.event(
                logger,
                "load-failed",
                logging.WARNING,
                table=table,
                part=part,
                code=error.code,
                timeout_s=timeout_s,
            )
            return None
        took_s = trio.current_time() - started_s
        self._timeout_s = max(MIN_READ_TIMEOUT_S, READ_TIMEOUT_FACTOR * took_s)
        return page
