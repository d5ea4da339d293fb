"""Reads all rows of a shard for a host that has just become its holder."""

import logging

import attrs
import trio

from rhubarbmount import log
from rhubarbmount.batch.follow import read_parts
from rhubarbmount.batch.model import Job
from rhubarbmount.batch.records import decode_progress, decode_spec
from rhubarbmount.batch.shard import Shard
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
from rhubarbmount.platform.directory import SERVERS_TABLE
from rhubarbmount.platform.rows import Page, RowStore

__all__ = ["LoadedShard", "load_shard"]

logger = logging.getLogger(__name__)

RETRY_S = 0.1


@attrs.frozen
class LoadedShard:
    """The rows of a shard, and those of the backend servers."""

    requests: Page
    progress: Page
    waves: Page
    orders: Page
    silent: Page
    servers: Page

    def add_jobs(self, shard: Shard) -> None:
        """Put all jobs into a shard, as far as their rows say that they are."""
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
    """Read the rows, however often that takes; requests come before progress."""
    return LoadedShard(
        requests=await _read(store, REQUESTS_TABLE, *request_parts(name)),
        progress=await _read(store, PROGRESS_TABLE, name),
        waves=await _read(store, WAVES_TABLE, name),
        orders=await _read(store, HOST_ORDERS_TABLE, name),
        silent=await _read(store, SILENT_SERVERS_TABLE, name),
        servers=await _read(store, SERVERS_TABLE, ""),
    )


async def _read(store: RowStore, table: str, *parts: str) -> Page:
    while True:
        try:
            return await read_parts(store, table, parts)
        except (PlatformUnavailable, OutcomeUnknown) as error:
            log.event(
                logger, "load-failed", logging.WARNING, table=table, code=error.code
            )
            await trio.sleep(RETRY_S)
