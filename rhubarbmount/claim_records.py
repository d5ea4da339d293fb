"""Records the outcomes of claimed requests once the platform accepts the writes."""

import uuid
from collections import OrderedDict
from collections.abc import Callable
from itertools import islice

import attrs
import trio

from rhubarbmount.claims import Claim, ClaimState, load_claim
from rhubarbmount.errors import OutcomeUnknown, PlatformUnavailable
from rhubarbmount.store.client import PlatformClient
from rhubarbmount.store.interface import Precondition, Row, Transaction, Write
from rhubarbmount.tables import CLAIMS_TABLE

__all__ = ["ClaimRecords", "Withdrawal"]

BATCH_ROWS = 64
MAX_QUEUED_RECORDS = 5000
RETRY_DELAY_S = 0.5
RATE_LIMIT_SHARE = 0.25


@attrs.frozen
class Withdrawal:
    """A claim whose request will not be sent; it may or may not have been written."""

    claim: Claim


Record = Claim | Withdrawal


@attrs.define(eq=False)
class ClaimRecords:
    """Queue of finished claims to write; on overflow the oldest is dropped.

    Dropping a record never breaks the at-most-once guarantee: a later request with the
    key is only told that the outcome is unknown. ``forget`` receives each claim that
    leaves the queue.
    """

    platform: PlatformClient
    forget: Callable[[Claim], None]
    dropped: int = 0
    rows: int = 0
    _by_claim_id: OrderedDict[str, Record] = attrs.field(factory=OrderedDict)
    _added: trio.Event = attrs.field(factory=trio.Event)
    _written: trio.Event = attrs.field(factory=trio.Event)

    def add(self, record: Record) -> None:
        """Queue a record, dropping the oldest if the queue is full."""
        claim = _claim(record)
        self._by_claim_id[claim.claim_id] = record
        if len(self._by_claim_id) > MAX_QUEUED_RECORDS:
            _, oldest = self._by_claim_id.popitem(last=False)
            self.dropped += 1
            self.forget(_claim(oldest))
        self._added.set()

    def __len__(self) -> int:
        return len(self._by_claim_id)

    async def flush(self) -> None:
        """Wait until the queue is empty."""
        while self._by_claim_id:
            await self._written.wait()

    async def run(self) -> None:
        """Write queued records until cancelled."""
        while True:
            await self._added.wait()
            if not self._by_claim_id:
                self._added = trio.Event()
                continue
            try:
                await self._write_batch()
            except (OutcomeUnknown, PlatformUnavailable):
                await trio.sleep(RETRY_DELAY_S)

    async def _write_batch(self) -> None:
        limit = max(1, int(self.platform.max_burst_writes() * RATE_LIMIT_SHARE))
        batch = list(islice(self._by_claim_id.values(), min(BATCH_ROWS, limit)))
        transaction = await self._transaction(batch)
        if not transaction.writes:
            self._remove(batch)
            return
        self.rows += len(transaction.writes)
        result = await self.platform.transact(transaction, resolve_outcome=False)
        if result.committed:
            self._remove(batch)
            return
        conflicting_keys = {key for _, key in result.conflicts}
        self._remove([r for r in batch if _is_superseded(r, conflicting_keys)])

    async def _transaction(self, batch: list[Record]) -> Transaction:
        preconditions = []
        writes = []
        for record in batch:
            claim = _claim(record)
            precondition: Precondition | None = _unfinished_precondition(claim)
            if isinstance(record, Withdrawal):
                row = await self.platform.read(CLAIMS_TABLE, claim.row_key)
                precondition = _withdrawal_precondition(claim, row)
                claim = attrs.evolve(claim, state=ClaimState.RELEASED)
            if precondition is not None:
                preconditions.append(precondition)
                writes.append(Write(CLAIMS_TABLE, claim.row_key, claim.values()))
        return Transaction(uuid.uuid4().hex, tuple(preconditions), tuple(writes))

    def _remove(self, records: list[Record]) -> None:
        for record in records:
            claim = _claim(record)
            if self._by_claim_id.get(claim.claim_id) is record:
                del self._by_claim_id[claim.claim_id]
                self.forget(claim)
        self._written.set()
        self._written = trio.Event()


def _claim(record: Record) -> Claim:
    return record.claim if isinstance(record, Withdrawal) else record


def _is_superseded(record: Record, conflicting_keys: set[str]) -> bool:
    """Return whether the record was already written, or another claim holds the row."""
    return isinstance(record, Claim) and record.row_key in conflicting_keys


def _unfinished_precondition(claim: Claim) -> Precondition:
    own = {"claim_id": claim.claim_id, "state": ClaimState.CLAIMED.value}
    return Precondition(CLAIMS_TABLE, claim.row_key, equals=own)


def _withdrawal_precondition(claim: Claim, row: Row | None) -> Precondition | None:
    """Return the precondition of a withdrawal, or None if no write is needed.

    A missing or released row is written again, so that a delayed write of the claim
    fails its precondition.
    """
    if row is None:
        return Precondition(CLAIMS_TABLE, claim.row_key, version=0)
    found = load_claim(row)
    is_own = found.claim_id == claim.claim_id
    may_be_replaced = ClaimState.CLAIMED if is_own else ClaimState.RELEASED
    if found.state is not may_be_replaced:
        return None
    return Precondition(CLAIMS_TABLE, claim.row_key, version=row.version)
