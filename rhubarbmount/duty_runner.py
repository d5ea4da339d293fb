"""Running a duty: hold its lease, and run its rounds while the lease is held."""

import logging
from collections.abc import Awaitable, Callable, Iterable
from typing import Protocol

import attrs

from rhubarbmount.duties import (
    Action,
    LeaseBounds,
    LeaseRow,
    LeaseTracker,
    preference_rank,
)
from rhubarbmount.errors import (
    ConflictError,
    LeaseLost,
    OutcomeUnknown,
    PlatformUnavailable,
)
from rhubarbmount.host_rows import TransactionBuilder
from rhubarbmount.lease_reads import LeaseReads
from rhubarbmount.lease_renewals import LeaseChange, LeaseRenewals
from rhubarbmount.log import event
from rhubarbmount.shared_scans import at_once
from rhubarbmount.store.interface import (
    HostCommand,
    Platform,
    Precondition,
    Transaction,
)
from rhubarbmount.tables import LEASES_TABLE

__all__ = ["Duty", "DutyRunner", "Lease"]

MAX_LEASE_STEPS = 3
logger = logging.getLogger("rhubarbmount.duties")


class Duty(Protocol):
    """Fleet work that only one instance performs at a time."""

    name: str

    async def do_round(self, lease: "Lease") -> None:
        """Do a small part of the work, checking the lease before each side effect."""

    def forget(self) -> None:
        """Drop all cached state, as another instance may have acted since."""


@attrs.define
class Lease:
    """A held lease: the only way for a duty to write rows or command hosts."""

    duty: str
    tracker: LeaseTracker
    platform: Platform
    clock: Callable[[], float]
    new_id: Callable[[], str]
    reads: LeaseReads

    async def confirm(self) -> None:
        """Check the lease, reading its row again if required, as after a suspension.

        Raises LeaseLost unless the lease is certain to be held.
        """
        if self.tracker.may_act(self.clock()):
            return
        if self.tracker.must_read:
            row = await self.reads.read(self.duty)
            self.tracker.observe(row, self.clock())
        if not self.tracker.may_act(self.clock()):
            raise LeaseLost(f"the lease on {self.duty} is not certain to be held")

    async def commit(self, builder: TransactionBuilder) -> bool:
        """Commit the transaction if the lease's fencing token is still the newest.

        Raises LeaseLost if another instance holds the lease.
        """
        await self.confirm()
        row = self.tracker.row or LeaseRow()
        held = {"holder": row.holder, "token": row.token}
        token_condition = Precondition(LEASES_TABLE, self.duty, equals=held)
        preconditions = (token_condition, *builder.preconditions)
        transaction = Transaction(self.new_id(), preconditions, tuple(builder.writes))
        result = await self.platform.transact(transaction)
        if (LEASES_TABLE, self.duty) in result.conflicts:
            self.tracker.require_read()
            raise LeaseLost(f"another instance holds {self.duty}")
        return result.committed

    async def command_host(self, command: HostCommand) -> None:
        """Send the command to the platform, after checking the lease."""
        await self.confirm()
        await self.platform.command_host(command)


@attrs.define
class DutyRunner:
    """Contender for one duty that runs its rounds; each runner belongs to one task.

    ``instance_id`` is new at each start of the program, so that an instance never
    mistakes a lease from before a restart for its own. ``member_id`` is the name of
    this instance in ``members``, the instances believed to be live. ``reads`` and
    ``renewals`` are shared by the runners of one entry host; by default each runner
    has its own.
    """

    duty: Duty
    instance_id: str
    platform: Platform
    clock: Callable[[], float]
    new_id: Callable[[], str]
    members: Callable[[], Iterable[str]]
    bounds: LeaseBounds = attrs.field(factory=LeaseBounds)
    member_id: str = ""
    reads: LeaseReads = attrs.field(
        default=attrs.Factory(
            lambda self: LeaseReads(self.platform, self.clock, at_once), takes_self=True
        )
    )
    renewals: LeaseRenewals = attrs.field(
        default=attrs.Factory(
            lambda self: LeaseRenewals(self.platform, self.new_id, at_once),
            takes_self=True,
        )
    )
    tracker: LeaseTracker = attrs.field(init=False)
    _idle_code: str = ""
    _round_token: int = 0

    def __attrs_post_init__(self) -> None:
        self.tracker = LeaseTracker(self.instance_id, self.bounds)

    async def step(self) -> None:
        """Maintain the lease and, if it is held, run one round of the duty."""
        if await self.maintain_lease():
            await self.run_round()

    async def maintain_lease(self) -> bool:
        """Acquire, renew, poll or release the lease; return whether it is held."""
        if not await self._attempt(self._maintain_lease):
            return False
        return self.tracker.may_act(self.clock())

    async def run_round(self) -> None:
        """Run one round of the duty if the lease is certain to be held."""
        if self.tracker.may_act(self.clock()):
            await self._attempt(self._do_round)

    async def release(self) -> bool:
        """Try to release the lease at a planned stop; return whether none is held.

        A write that was under way at the stop may have taken effect unnoticed, so the
        row is read first unless the last write was answered.
        """
        try:
            for _ in range(MAX_LEASE_STEPS):
                if self.tracker.must_read:
                    row = await self.reads.read(self.duty.name)
                    self.tracker.observe(row, self.clock())
                if not self.tracker.is_own:
                    return True
                await self._write(Action.RELEASE)
        except (OutcomeUnknown, PlatformUnavailable) as error:
            self._log_idle(error.code, error.message)
        return not self.tracker.must_read and not self.tracker.is_own

    async def _attempt(self, operation: Callable[[], Awaitable[None]]) -> bool:
        """Run the operation and return whether it succeeded; log the cause if not."""
        try:
            await operation()
        except (ConflictError, LeaseLost, OutcomeUnknown, PlatformUnavailable) as error:
            self._log_idle(error.code, error.message)
            return False
        if operation == self._do_round or not self.tracker.is_own:
            self._idle_code = ""
        return True

    async def _do_round(self) -> None:
        token = self.tracker.row.token if self.tracker.row else 0
        if token != self._round_token:
            self.duty.forget()
            self._round_token = token
        await self.duty.do_round(self._lease())

    async def _maintain_lease(self) -> None:
        self.tracker.may_act(self.clock())
        self._observe_shared()
        for _ in range(MAX_LEASE_STEPS):
            own_id = self.member_id or self.instance_id
            rank = preference_rank(self.duty.name, own_id, self.members())
            action = self.tracker.decide(self.clock(), rank)
            if action is Action.WAIT:
                return
            if action is Action.POLL:
                await self.reads.read_all()
                self._observe_shared()
            elif action is Action.READ:
                row = await self.reads.read(self.duty.name)
                self.tracker.observe(row, self.clock())
            else:
                await self._write(action)

    def _observe_shared(self) -> None:
        snapshot = self.reads.snapshot
        row = snapshot.row_by_duty.get(self.duty.name)
        self.tracker.observe_shared(row, snapshot.sent_s, self.clock())

    async def _write(self, action: Action) -> None:
        name = self.duty.name
        after = self.tracker.next_row(action)
        change = LeaseChange(name, self.tracker.row, after)
        sent_s = self.clock()
        self.tracker.require_read()
        if not await self._commit(action, change):
            return
        self.tracker.observe_commit(after, sent_s, self.clock())
        if action is not Action.RENEW:
            event(logger, f"duty-{action}", duty=name, holder=self.instance_id)

    async def _commit(self, action: Action, change: LeaseChange) -> bool:
        if action is Action.RENEW:
            return await self.renewals.renew(change)
        transaction = Transaction(self.new_id(), (change.condition,), (change.write,))
        return (await self.platform.transact(transaction)).committed

    def _lease(self) -> Lease:
        return Lease(
            self.duty.name,
            self.tracker,
            self.platform,
            self.clock,
            self.new_id,
            self.reads,
        )

    def _log_idle(self, code: str, message: str) -> None:
        if code != self._idle_code:
            event(logger, "duty-idle", duty=self.duty.name, code=code, cause=message)
        self._idle_code = code
