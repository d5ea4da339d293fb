"""Loads the rows of a shard when a host becomes its holder."""

import logging

import attrs
import trio

from rhubarbmount import log
from rhubarbmount.batch.model import Job
from rhubarbmount.batch.records import decode_progress, decode_spec
from rhubarbmount.batch.shard import Shard
from rhubarbmount.batch.table_follower import join_pages
from rhubarbmount.batch.tables import (
    CANCEL_SUFFIX,
    HOST_ORDERS_TABLE,
    PROGRESS_TABLE,
    REQUESTS_TABLE,
    SILENT_SERVERS_TABLE,
    WAVES_TABLE,
    request_parts,
)
from rhubarbmount.errors import OutcomeUnknown, PlatformUnavailable
from rhubarbmount.platform.row_formats import SERVERS_TABLE
from rhubarbmount.platform.rows import (
    MAX_READ_TIMEOUT_S,
    PAGE_ROWS,
    Page,
    RowStore,
)

__all__ = ["LoadedShard", "load_shard"]

logger = logging.getLogger(__name__)

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
    """The rows of a shard and of all backend servers."""

    requests: Page
    progress: Page
    waves: Page
    command_times: Page
    silent_servers: Page
    servers: Page

    def add_jobs(self, shard: Shard) -> None:
        """Add all jobs to a shard, each with its stored progress and cancellation."""
        progress_by_id = {row.name.key: row.value for row in self.progress.rows}
        cancelled = []
        for row in self.requests.rows:
            if row.name.key.endswith(CANCEL_SUFFIX):
                cancelled.append(row.name.key.removesuffix(CANCEL_SUFFIX))
                continue
            job = Job(decode_spec(row.value))
            if row.name.key in progress_by_id:
                decode_progress(progress_by_id[row.name.key], job)
            shard.add_job(job)
        for job_id in cancelled:
            shard.cancel(job_id)


async def load_shard(store: RowStore, name: str, link_mbps: float) -> LoadedShard:
    """Read all tables, retrying until each of them is read.

    The caller has raised the fencing token before, so that no other process can change
    the holder's rows meanwhile. No more is asked for at once than a link of
    ``link_mbps`` takes quickly, since renewals of the lease share it.
    """
    reader = _Reader(store, *_share_of_link(link_mbps))
    parts_by_table = {
        REQUESTS_TABLE: tuple(request_parts(name)),
        PROGRESS_TABLE: (name,),
        WAVES_TABLE: (name,),
        HOST_ORDERS_TABLE: (name,),
        SILENT_SERVERS_TABLE: (name,),
        SERVERS_TABLE: ("",),
    }
    page_by_part: dict[tuple[str, str], Page] = {}

    async def read(table: str, part: str) -> None:
        page_by_part[table, part] = await reader.read(table, part)

    async with trio.open_nursery() as nursery:
        for table, parts in parts_by_table.items():
            for part in parts:
                nursery.start_soon(read, table, part)
    pages = {
        table: join_pages([page_by_part[table, part] for part in parts])
        for table, parts in parts_by_table.items()
    }
    return LoadedShard(
        requests=pages[REQUESTS_TABLE],
        progress=pages[PROGRESS_TABLE],
        waves=pages[WAVES_TABLE],
        command_times=pages[HOST_ORDERS_TABLE],
        silent_servers=pages[SILENT_SERVERS_TABLE],
        servers=pages[SERVERS_TABLE],
    )


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
        """Return all rows of a part, with the version of the first page."""
        page = await self._read_page(table, part, "")
        rows = list(page.rows)
        version = page.version
        while page.has_more and page.rows:
            next_key = page.rows[-1].name.key + "\x00"
            page = await self._read_page(table, part, next_key)
            rows.extend(page.rows)
        return Page(tuple(rows), version, page.clock_ms, False)

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
