"""One transaction for all leases of an entry host that are due for renewal."""

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
    """A lease's row as last seen, and what it shall become."""

    duty: str
    before: LeaseRow | None
    after: LeaseRow

    @property
    def condition(self) -> Precondition:
        """Return what demands that nobody has written the row since."""
        if self.before is None:
            return Precondition(LEASES_TABLE, self.duty, version=0)
        return Precondition(LEASES_TABLE, self.duty, equals=dump_lease(self.before))

    @property
    def write(self) -> Write:
        """Return the write of the row."""
        return Write(LEASES_TABLE, self.duty, dump_lease(self.after))


@attrs.define(eq=False)
class _Batch:
    """Renewals that are sent together; ``renewed`` names those that committed."""

    changes: list[LeaseChange] = attrs.field(factory=list)
    done: trio.Event = attrs.field(factory=trio.Event)
    renewed: frozenset[str] = frozenset()
    error: OutcomeUnknown | PlatformUnavailable | None = None

    def is_renewed(self, duty: str) -> bool:
        """Tell whether a lease was renewed, or raise the error of the transaction."""
        if self.error is not None:
            raise type(self.error)(self.error.message)
        return duty in self.renewed


@attrs.define(eq=False)
class LeaseRenewals:
    """Renew together what is asked for before the transaction is sent.

    Each lease's row is a precondition of its own: one that was lost is left out, and
    the others are sent again at once. ``gather`` lets all tasks that are due run once.
    """

    platform: Platform
    new_id: Callable[[], str]
    gather: Gather = trio.lowlevel.checkpoint
    _pending: _Batch | None = attrs.field(default=None, init=False)

    async def renew(self, change: LeaseChange) -> bool:
        """Return whether the lease was renewed; False if another has written it.

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
        batch.error = OutcomeUnknown("who sent the renewals has given them up")
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
        """Commit the changes without those in whose way another write is."""
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
