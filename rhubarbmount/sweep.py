"""Deletes claims and operations past their retention, in small batches."""

import logging
import time
import uuid
from collections.abc import Callable, Iterable
from itertools import islice
from random import Random

import attrs

from rhubarbmount import log
from rhubarbmount.errors import OutcomeUnknown, PlatformUnavailable
from rhubarbmount.store.client import PlatformClient
from rhubarbmount.store.interface import Precondition, Row, Transaction, Write
from rhubarbmount.tables import CLAIMS_TABLE, OPERATIONS_TABLE
from rhubarbmount.timers import TimerService

__all__ = ["Sweeper"]

CLAIM_RETENTION_S = 7 * 86400.0
OPERATION_RETENTION_S = 3600.0
PERIOD_S = 60.0
BUCKETS = 256
RATE_LIMIT_SHARE = 0.25
BATCHES_PER_SWEEP = 20

logger = logging.getLogger(__name__)


@attrs.frozen
class Bucket:
    """The rows of a table that share a key prefix, and how long they are kept."""

    table: str
    prefix: str
    time_field: str
    retention_s: float

    def expired(self, rows: Iterable[Row], now_s: float) -> list[Row]:
        """Return the rows that are past their retention."""
        limit_s = now_s - self.retention_s
        return [row for row in rows if row.value[self.time_field] < limit_s]


@attrs.define(eq=False)
class Sweeper:
    """Sweeps random buckets, so that hosts share the work without coordination.

    A key is forgotten after its retention: a request sent again with it runs again.
    """

    platform: PlatformClient
    services: Callable[[], list[str]]
    wall_clock: Callable[[], float] = time.time
    random: Random = attrs.field(factory=Random)
    deleted: int = 0

    async def run(self, timers: TimerService) -> None:
        """Sweep up to two buckets per period until cancelled."""
        async for _tick in timers.every("sweep", PERIOD_S):
            for bucket in self._choose_buckets():
                try:
                    await self.sweep(bucket)
                except (OutcomeUnknown, PlatformUnavailable) as error:
                    log.event(logger, "sweep-failed", code=error.code)

    async def sweep(self, bucket: Bucket) -> int:
        """Delete expired rows of a bucket, in a bounded number of batches.

        Returns the number of deleted rows.
        """
        rows = await self.platform.scan(bucket.table, bucket.prefix)
        expired = iter(bucket.expired(rows, self.wall_clock()))
        count = 0
        for _ in range(BATCHES_PER_SWEEP):
            limit = max(1, int(self.platform.max_burst_writes() * RATE_LIMIT_SHARE))
            batch = list(islice(expired, limit))
            if not batch:
                break
            result = await self.platform.transact(_delete(batch), resolve_outcome=False)
            count += len(batch) if result.committed else 0
        self.deleted += count
        log.event(logger, "swept", table=bucket.table, scanned=len(rows), rows=count)
        return count

    def _choose_buckets(self) -> list[Bucket]:
        prefix = f"{self.random.randrange(BUCKETS):02x}"
        buckets = [Bucket(OPERATIONS_TABLE, prefix, "at_s", OPERATION_RETENTION_S)]
        services = self.services()
        if services:
            prefix = f"{self.random.choice(services)}/{prefix}"
            buckets.append(Bucket(CLAIMS_TABLE, prefix, "claimed_s", CLAIM_RETENTION_S))
        return buckets


def _delete(rows: list[Row]) -> Transaction:
    """Return a transaction that deletes the rows if they are unchanged."""
    return Transaction(
        uuid.uuid4().hex,
        tuple(Precondition(row.table, row.key, row.version) for row in rows),
        tuple(Write(row.table, row.key, None) for row in rows),
    )
