"""Commits rows of one shard, one transaction at a time."""

import logging
from collections.abc import Mapping

import attrs
import trio

from rhubarbmount import log
from rhubarbmount.batch.clocks import monotonic_s
from rhubarbmount.batch.election import ShardLease
from rhubarbmount.batch.metrics import BatchMetrics
from rhubarbmount.batch.record_fields import UnreadableRecord
from rhubarbmount.batch.records import Head, decode_head, encode_head
from rhubarbmount.batch.tables import head_row
from rhubarbmount.batch.unreadable_rows import UnreadableRows
from rhubarbmount.errors import LeaseLost, OutcomeUnknown, PlatformUnavailable
from rhubarbmount.platform.rows import (
    Row,
    RowConflict,
    RowName,
    RowsRefused,
    RowStore,
)

__all__ = ["MAX_BYTES_PER_COMMIT", "MAX_ROWS_PER_COMMIT", "Committer"]

logger = logging.getLogger(__name__)

MAX_ROWS_PER_COMMIT = 90
# Sum of the values' sizes; encoded for a call they take a third more.
MAX_BYTES_PER_COMMIT = 600_000
RETRY_S = 0.08


@attrs.define(eq=False)
class Committer:
    """Commits to a shard under a fencing token.

    Each commit expects and changes the head row of the shard, so a call that the store
    carries out late has no effect once the next commit is done.
    """

    store: RowStore
    shard: str
    fencing_token: int
    writer: str
    # Proves, once it is renewed, that no later holder has written a head row that
    # can't be read. Without it, such a row ends the duty.
    shard_lease: ShardLease | None = None
    unreadable_rows: UnreadableRows = attrs.field(
        factory=lambda: UnreadableRows(BatchMetrics())
    )
    head_version: int = 0
    _sequence: int = 0
    _failing_since_s: float | None = None

    async def begin(self) -> None:
        """Write the fencing token to the head row, which bars commits with lower ones.

        Raises LeaseLost if the row holds a higher one.
        """
        tried_version = self.head_version
        while not await self._try_commit({}, ()):
            # The first try fails as it can't know the version of the row yet.
            if self.head_version == tried_version:
                await trio.sleep(RETRY_S)
            tried_version = self.head_version

    async def commit(
        self, puts: Mapping[RowName, bytes], removes: tuple[RowName, ...] = ()
    ) -> frozenset[RowName]:
        """Write and remove rows, retrying until the commit succeeds.

        Return the rows that the store refuses and that are left as they were. They are
        no outage and must not hold up the others. Raises LeaseLost if another process
        has taken over the shard.
        """
        try:
            while not await self._try_commit(puts, removes):
                await trio.sleep(RETRY_S)
        except RowsRefused as error:
            if not puts:
                raise
            return await self._commit_in_parts(puts, removes, error)
        return frozenset()

    async def commit_all(self, puts: Mapping[RowName, bytes]) -> None:
        """Write rows without which the duty can't go on.

        Raises LeaseLost, and RowsRefused if the store refuses one of them.
        """
        refused = await self.commit(puts)
        if refused:
            raise RowsRefused(f"the store refuses {len(refused)} rows")

    async def _commit_in_parts(
        self,
        puts: Mapping[RowName, bytes],
        removes: tuple[RowName, ...],
        error: RowsRefused,
    ) -> frozenset[RowName]:
        """Write the rows without those that are refused each by itself."""
        if len(puts) > 1:
            items = list(puts.items())
            middle = len(items) // 2
            first = await self.commit(dict(items[:middle]))
            return first | await self.commit(dict(items[middle:]), removes)
        for name, value in puts.items():
            log.event(
                logger,
                "row-refused",
                logging.ERROR,
                table=name.table,
                key=name.key,
                bytes=len(value),
                limit_bytes=self.store.row_bytes,
                reason=error.message,
            )
        if removes:
            await self.commit({}, removes)
        return frozenset(puts)

    async def _try_commit(
        self, puts: Mapping[RowName, bytes], removes: tuple[RowName, ...]
    ) -> bool:
        name = head_row(self.shard)
        self._sequence += 1
        head = Head(self.fencing_token, self.writer, self._sequence)
        try:
            self.head_version = await self.store.commit(
                {name: self.head_version}, {**puts, name: encode_head(head)}, removes
            )
        except RowConflict as error:
            await self._adopt_head_version(error)
            return False
        except RowsRefused:
            raise
        except (PlatformUnavailable, OutcomeUnknown) as error:
            self._record_failure(len(puts), error.code)
            return False
        self._record_success()
        return True

    def _record_failure(self, rows: int, code: str) -> None:
        """Log the first of consecutive failures."""
        if self._failing_since_s is None:
            self._failing_since_s = monotonic_s()
            log.event(
                logger,
                "commit-failed",
                logging.WARNING,
                shard=self.shard,
                rows=rows,
                code=code,
            )

    def _record_success(self) -> None:
        if self._failing_since_s is not None:
            outage_s = monotonic_s() - self._failing_since_s
            self._failing_since_s = None
            log.event(logger, "commits-resumed", shard=self.shard, held_s=outage_s)

    async def _adopt_head_version(self, error: RowConflict) -> None:
        """Take over the head version of an earlier holder's commit or of one of ours.

        Raises LeaseLost if anyone else has written the head row.
        """
        for row in error.rows:
            is_head = row.name == head_row(self.shard) and row.version
            if is_head and await self._may_replace(row):
                self.head_version = row.version
                return
        raise LeaseLost(f"another process commits to shard {self.shard}")

    async def _may_replace(self, row: Row) -> bool:
        """Return whether an earlier holder or this one has written a head row."""
        try:
            found = decode_head(row.value)
        except UnreadableRecord as error:
            self.unreadable_rows.report(row, error)
            return await self._await_renewal()
        if found.fence == self.fencing_token and found.writer == self.writer:
            return True
        return found.fence < self.fencing_token

    async def _await_renewal(self) -> bool:
        """Wait for a renewal of the lease that is sent from now on.

        No later holder can then have written what was read before.
        """
        if self.shard_lease is None:
            return False
        read_at_s = monotonic_s()
        while self.shard_lease.renewed_at_s <= read_at_s:
            await trio.sleep(RETRY_S)
        return True
