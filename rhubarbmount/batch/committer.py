"""Commits the rows of one shard, one transaction at a time."""

import logging
from collections.abc import Mapping

import attrs
import trio

from rhubarbmount import log
from rhubarbmount.batch.clocks import monotonic_s
from rhubarbmount.batch.records import Head, decode_head, encode_head
from rhubarbmount.batch.tables import head_row
from rhubarbmount.errors import LeaseLost, OutcomeUnknown, PlatformUnavailable
from rhubarbmount.platform.rows import RowConflict, RowName, RowStore

__all__ = ["MAX_ROWS_PER_COMMIT", "Committer"]

logger = logging.getLogger(__name__)

MAX_ROWS_PER_COMMIT = 90
RETRY_S = 0.08


@attrs.define(eq=False)
class Committer:
    """Writes under a fence.

    Each commit expects and changes the head row, so a call that is carried out late
    does nothing once the next commit is done.
    """

    store: RowStore
    shard: str
    fencing_token: int
    writer: str
    head_version: int = 0
    _sequence: int = 0
    _failing_since_s: float | None = None

    async def begin(self) -> None:
        """Put the fence into the head row, so that lower ones commit no more.

        Raises LeaseLost when a higher one is there.
        """
        while not await self._try_commit({}, ()):
            await trio.sleep(RETRY_S)

    async def commit(
        self, puts: Mapping[RowName, bytes], removes: tuple[RowName, ...] = ()
    ) -> None:
        """Write the rows, however often that takes. Raises LeaseLost."""
        while True:
            if await self._try_commit(puts, removes):
                return
            await trio.sleep(RETRY_S)

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
            self._adopt_head_version(error)
            return False
        except (PlatformUnavailable, OutcomeUnknown) as error:
            self._record_failure(len(puts), error.code)
            return False
        self._record_success()
        return True

    def _record_failure(self, rows: int, code: str) -> None:
        """Log the first of several failures in a row."""
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

    def _adopt_head_version(self, error: RowConflict) -> None:
        """Go on from an earlier holder's commit or one of ours, or give up."""
        for row in error.rows:
            if row.name == head_row(self.shard) and row.version:
                found = decode_head(row.value)
                is_own = (
                    found.fence == self.fencing_token and found.writer == self.writer
                )
                if is_own or found.fence < self.fencing_token:
                    self.head_version = row.version
                    return
        raise LeaseLost(f"another process writes to {self.shard}")
