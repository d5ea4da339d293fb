"""Loads the rows of a shard when a host becomes its holder."""

import logging

import attrs
import trio

from rhubarbmount import log
from rhubarbmount.batch.model import Job
from rhubarbmount.batch.records import decode_progress, decode_spec
from rhubarbmount.batch.shard import Shard
from rhubarbmount.batch.table_follower import read_parts
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
from rhubarbmount.platform.rows import MAX_READ_TIMEOUT_S, Page, RowStore

__all__ = ["LoadedShard", "load_shard"]

logger = logging.getLogger(__name__)

RETRY_S = 0.1
# Doubled after each try: a lost answer costs little, and a slow link gets enough time.
FIRST_READ_TIMEOUT_S = 0.5


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


async def load_shard(store: RowStore, name: str) -> LoadedShard:
    """Read all tables concurrently, retrying until each of them is read.

    The caller has raised the fencing token before, so that no other process can change
    the holder's rows meanwhile.
    """
    pages: dict[str, Page] = {}

    async def read(table: str, parts: tuple[str, ...]) -> None:
        pages[table] = await _read(store, table, parts)

    parts_by_table = {
        REQUESTS_TABLE: tuple(request_parts(name)),
        PROGRESS_TABLE: (name,),
        WAVES_TABLE: (name,),
        HOST_ORDERS_TABLE: (name,),
        SILENT_SERVERS_TABLE: (name,),
        SERVERS_TABLE: ("",),
    }
    async with trio.open_nursery() as nursery:
        for table, parts in parts_by_table.items():
            nursery.start_soon(read, table, parts)
    return LoadedShard(
        requests=pages[REQUESTS_TABLE],
        progress=pages[PROGRESS_TABLE],
        waves=pages[WAVES_TABLE],
        command_times=pages[HOST_ORDERS_TABLE],
        silent_servers=pages[SILENT_SERVERS_TABLE],
        servers=pages[SERVERS_TABLE],
    )


async def _read(store: RowStore, table: str, parts: tuple[str, ...]) -> Page:
    timeout_s = FIRST_READ_TIMEOUT_S
    while True:
        try:
            return await read_parts(store, table, parts, timeout_s)
        except (PlatformUnavailable, OutcomeUnknown) as error:
            log.event(
                logger,
                "load-failed",
                logging.WARNING,
                table=table,
                code=error.code,
                timeout_s=timeout_s,
            )
            timeout_s = min(MAX_READ_TIMEOUT_S, timeout_s * 2)
            await trio.sleep(RETRY_S)
