"""Running a duty: hold its lease, and do its rounds while the lease is held."""

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
    """Fleet work that one instance does at a time."""

    name: str

    async def do_round(self, lease: "Lease") -> None:
        """Do a small part of the work, checking the lease before each effect."""

    def forget(self) -> None:
        """Drop what was remembered, as another instance may have acted since."""


@attrs.define
class Lease:
    """A held lease: the only way for a duty to change or command anything."""

    duty: str
    tracker: LeaseTracker
    platform: Platform
    clock: Callable[[], float]
    new_id: Callable[[], str]
    reads: LeaseReads

    async def confirm(self) -> None:
        """Read the lease after a pause. Raises LeaseLost unless it is surely held."""
        if self.tracker.may_act(self.clock()):
            return
        if self.tracker.must_read:
            row = await self.reads.read(self.duty)
            self.tracker.observe(row, self.clock())
        if not self.tracker.may_act(self.clock()):
            raise LeaseLost(f"the lease on {self.duty} is not surely held")

    async def commit(self, builder: TransactionBuilder) -> bool:
        """Commit the transaction if the lease's token is still the newest."""
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
        """Send the command to the platform."""
        await self.confirm()
        await self.platform.command_host(command)


@attrs.define
class DutyRunner:
    """Contend for one duty and do its rounds; one task owns a runner.

    ``instance_id`` is new at each start of the program, so that it never takes an
    older lease for its own. ``member_id`` is the name by which ``members``, the
    instances thought to be live, lists this one. ``reads`` and ``renewals`` are
    shared by the runners of one entry host; by default they are the runner's own.
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
        """Settle the lease and, while it is held, do one round of the duty."""
        if await self.maintain_lease():
            await self.run_round()

    async def maintain_lease(self) -> bool:
        """Take, renew, watch or hand back the lease; return whether it is held."""
        if not await self._attempt(self._maintain_lease):
            return False
        return self.tracker.may_act(self.clock())

    async def run_round(self) -> None:
        """Do one round of the duty if the lease is surely held."""
        if self.tracker.may_act(self.clock()):
            await self._attempt(self._do_round)

    async def release(self) -> None:
        """Free the duty for another instance, as a planned stop does."""
        if not self.tracker.is_own:
            return
        try:
            await self._write(Action.RELEASE)
        except (OutcomeUnknown, PlatformUnavailable) as error:
            self._log_idle(error.code, error.message)

    async def _attempt(self, operation: Callable[[], Awaitable[None]]) -> bool:
        """Return whether a part of a step went through; log why not."""
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
