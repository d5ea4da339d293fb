"""Log lines and a metric of the project's own rows that can't be read."""

import logging

import attrs

from rhubarbmount import log
from rhubarbmount.batch.metrics import BatchMetrics
from rhubarbmount.batch.record_fields import UnreadableRecord
from rhubarbmount.platform.rows import Row, RowName

__all__ = ["UnreadableRows"]

logger = logging.getLogger(__name__)

MAX_REMEMBERED_ROWS = 1000


@attrs.define(eq=False)
class UnreadableRows:
    """Reports each version of a row that can't be read, when it is first met.

    Only some of them are remembered, so that a row may be reported again.
    """

    metrics: BatchMetrics
    _version_by_name: dict[RowName, int] = attrs.field(factory=dict)

    def report(self, row: Row, error: UnreadableRecord) -> None:
        """Count and log a version of a row, unless that was done before."""
        if self._version_by_name.get(row.name) == row.version:
            return
        if len(self._version_by_name) >= MAX_REMEMBERED_ROWS:
            self._version_by_name.clear()
        self._version_by_name[row.name] = row.version
        self.metrics.unreadable_rows.labels(row.name.table).inc()
        log.event(
            logger,
            "own-row-unreadable",
            logging.WARNING,
            table=row.name.table,
            key=row.name.key,
            version=row.version,
            reason=error.message,
        )
