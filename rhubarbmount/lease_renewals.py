"""Batched renewals: one transaction renews all due leases of an entry host."""

from collections.abc import Callable

import attrs
import trio

from rhubarbmount.duties import LeaseRow, dump_lease
from rhubarbmount.errors import OutcomeUnknown, PlatformUnavailable
from rhubarbmount.shared_scans import Gather
from rhubarbmount.store.interface import (
    Platform,
    Precondition,
    Transaction,
    Write,
)
from rhubarbmount.tables import LEASES_TABLE

__all__ = ["LeaseChange", "LeaseRenewals"]


@attrs.frozen
class LeaseChange:
    """A lease's row as last read, and the row to write over it."""

    duty: str
    before: LeaseRow | None
    after: LeaseRow

    @property
    def condition(self) -> Precondition:
        """The precondition that the row has not been written since it was read."""
        if self.before is None:
            return Precondition(LEASES_TABLE, self.duty, version=0)
        return Precondition(LEASES_TABLE, self.duty, equals=dump_lease(self.before))

    @property
    def write(self) -> Write:
        """The write of the row."""
        return Write(LEASES_TABLE, self.duty, dump_lease(self.after))


@attrs.define(eq=False)
class _Batch:
    """Renewals that are sent together; ``renewed`` names those that committed."""

    changes: list[LeaseChange] = attrs.field(factory=list)
    done: trio.Event = attrs.field(factory=trio.Event)
    renewed: frozenset[str] = frozenset()
    error: OutcomeUnknown | PlatformUnavailable | None = None

    def is_renewed(self, duty: str) -> bool:
        """Return whether a lease was renewed, or raise the error of the transaction."""
        if self.error is not None:
            raise type(self.error)(self.error.message)
        return duty in self.renewed


@attrs.define(eq=False)
class LeaseRenewals:
    """Sender that batches renewals requested before the transaction is sent.

    Each lease's row is a separate precondition: a lease that was lost is left out and
    the others are sent again at once. ``gather`` lets every task that is due run once,
    so that its renewal joins the batch.
    """

    platform: Platform
    new_id: Callable[[], str]
    gather: Gather = trio.lowlevel.checkpoint
    _pending: _Batch | None = attrs.field(default=None, init=False)

    async def renew(self, change: LeaseChange) -> bool:
        """Renew the lease; return False if another instance has written its row.

        Raises OutcomeUnknown or PlatformUnavailable.
        """
        batch = self._pending
        if batch is not None:
            batch.changes.append(change)
            await batch.done.wait()
        else:
            batch = self._pending = _Batch([change])
            await self._send(batch)
        return batch.is_renewed(change.duty)

    async def _send(self, batch: _Batch) -> None:
        batch.error = OutcomeUnknown("the task that sent the renewals did not finish")
        try:
            await self.gather()
            self._pending = None
            batch.renewed = await self._commit(batch.changes)
            batch.error = None
        except (OutcomeUnknown, PlatformUnavailable) as error:
            batch.error = error
        finally:
            self._pending = None if self._pending is batch else self._pending
            batch.done.set()

    async def _commit(self, changes: list[LeaseChange]) -> frozenset[str]:
        """Commit the changes, leaving out those that conflict; return the duties."""
        while changes:
            transaction = Transaction(
                self.new_id(),
                tuple(change.condition for change in changes),
                tuple(change.write for change in changes),
            )
            result = await self.platform.transact(transaction)
            if result.committed:
                return frozenset(change.duty for change in changes)
            lost = {key for table, key in result.conflicts if table == LEASES_TABLE}
            kept = [change for change in changes if change.duty not in lost]
            changes = kept if len(kept) < len(changes) else []
        return frozenset()
