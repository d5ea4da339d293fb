"""Scans of all duty leases, shared by the duties of an entry host."""

from collections.abc import Callable

import attrs
import trio

from rhubarbmount.duties import LeaseRow, load_lease
from rhubarbmount.shared_scans import Gather, SharedScans
from rhubarbmount.store.interface import Platform, Row
from rhubarbmount.tables import LEASES_TABLE

__all__ = ["LeaseReads", "LeaseSnapshot"]


@attrs.frozen
class LeaseSnapshot:
    """The leases as they were at some time after ``sent_s``."""

    sent_s: float = float("-inf")
    row_by_duty: dict[str, LeaseRow] = attrs.field(factory=dict)


@attrs.define(eq=False)
class LeaseReads:
    """Reads of the leases; a scan for one contender also serves all the others."""

    platform: Platform
    clock: Callable[[], float]
    gather: Gather = trio.lowlevel.checkpoint
    snapshot: LeaseSnapshot = attrs.field(factory=LeaseSnapshot)
    _scans: SharedScans = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._scans = SharedScans(self.platform, LEASES_TABLE, self.gather)

    async def read_all(self) -> None:
        """Scan the leases of all duties, for those held by other instances."""
        sent_s = self.clock()
        rows = await self._scans.scan()
        if sent_s >= self.snapshot.sent_s:
            row_by_duty = {row.key: _load(row) for row in rows}
            self.snapshot = LeaseSnapshot(sent_s, row_by_duty)

    async def read(self, duty: str) -> LeaseRow | None:
        """Read one duty's lease from the platform; None if it has no row."""
        row = await self.platform.read(LEASES_TABLE, duty)
        return _load(row) if row else None


def _load(row: Row) -> LeaseRow:
    return load_lease(row.value)
