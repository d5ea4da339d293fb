"""Writes claims in batches: one transaction carries all that are queued."""

import uuid
from collections.abc import Callable

import attrs
import trio

from rhubarbmount.claims import (
    HELD,
    UNAVAILABLE,
    Claim,
    ClaimResult,
    ClaimResultCode,
    ClaimState,
    evaluate,
    load_claim,
)
from rhubarbmount.errors import OutcomeUnknown, PlatformUnavailable
from rhubarbmount.store.client import PlatformClient
from rhubarbmount.store.interface import Precondition, Transaction, Write
from rhubarbmount.tables import CLAIMS_TABLE

__all__ = ["ClaimBatches", "ClaimRequest"]

BATCH_ROWS = 64
MAX_QUEUED_CLAIMS = 256
WRITER_TASKS = 2
MAX_WRITE_ATTEMPTS = 4


@attrs.define(eq=False)
class ClaimRequest:
    """A claim to write, and its result once it is known."""

    claim: Claim
    result: ClaimResult | None = None
    abandoned: bool = False
    completed: trio.Event = attrs.field(factory=trio.Event)

    def complete(self, result: ClaimResult) -> None:
        """Set the result and wake the waiting task."""
        self.result = result
        self.completed.set()


@attrs.define
class _Candidate:
    """A request whose claim is not yet written, and the row version it replaces."""

    request: ClaimRequest
    replaces: int = 0


@attrs.define(eq=False)
class ClaimBatches:
    """Queue of claims; ``withdraw`` receives those whose requests will not be sent.

    A claim passed to ``withdraw`` may or may not have been written.
    """

    platform: PlatformClient
    withdraw: Callable[[Claim], None]
    transactions: int = 0
    rows: int = 0
    _send: trio.MemorySendChannel[ClaimRequest] = attrs.field(init=False)
    _receive: trio.MemoryReceiveChannel[ClaimRequest] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._send, self._receive = trio.open_memory_channel(MAX_QUEUED_CLAIMS)

    async def claim(self, claim: Claim) -> ClaimResult:
        """Wait until the claim is written, refused or found to be unavailable."""
        request = ClaimRequest(claim)
        try:
            self._send.send_nowait(request)
        except trio.WouldBlock:
            return UNAVAILABLE
        try:
            await request.completed.wait()
        except trio.Cancelled:
            self._abandon(request)
            raise
        assert request.result is not None
        return request.result

    async def run(self) -> None:
        """Write batches of claims until cancelled."""
        async with trio.open_nursery() as nursery:
            for _ in range(WRITER_TASKS):
                nursery.start_soon(self._write_batches)

    def _abandon(self, request: ClaimRequest) -> None:
        request.abandoned = True
        if request.result is HELD:
            self.withdraw(request.claim)

    async def _write_batches(self) -> None:
        async for first in self._receive:
            batch = self._drain(first)
            if batch:
                await self._write_batch(batch)

    def _drain(self, first: ClaimRequest) -> list[ClaimRequest]:
        batch = [first]
        limit = min(BATCH_ROWS, self.platform.max_burst_writes())
        while len(batch) < limit:
            try:
                batch.append(self._receive.receive_nowait())
            except trio.WouldBlock:
                break
        return [request for request in batch if not request.abandoned]

    async def _write_batch(self, batch: list[ClaimRequest]) -> None:
        candidate_by_row_key = {r.claim.row_key: _Candidate(r) for r in batch}
        may_be_written = False
        for _ in range(MAX_WRITE_ATTEMPTS):
            try:
                await self._attempt_write(candidate_by_row_key)
            except OutcomeUnknown:
                may_be_written = True
            except PlatformUnavailable:
                break
            if not candidate_by_row_key:
                return
        for candidate in candidate_by_row_key.values():
            candidate.request.complete(UNAVAILABLE)
            if may_be_written:
                self.withdraw(candidate.request.claim)

    async def _attempt_write(self, candidate_by_row_key: dict[str, _Candidate]) -> None:
        """Try to write all candidates and remove those that have a result.

        A retry after a lost response is safe: a claim replaces only the version that
        was read, and the writer's own claim is recognised by its id.
        """
        self.transactions += 1
        self.rows += len(candidate_by_row_key)
        result = await self.platform.transact(
            _claim_transaction(candidate_by_row_key), resolve_outcome=False
        )
        if result.committed:
            for candidate in candidate_by_row_key.values():
                self._complete(candidate.request, HELD)
            candidate_by_row_key.clear()
            return
        for _, key in result.conflicts:
            await self._resolve_conflict(candidate_by_row_key, key)

    async def _resolve_conflict(
        self, candidate_by_row_key: dict[str, _Candidate], key: str
    ) -> None:
        candidate = candidate_by_row_key[key]
        row = await self.platform.read(CLAIMS_TABLE, key)
        found = None if row is None else load_claim(row)
        result = evaluate(candidate.request.claim, found)
        if result.code is ClaimResultCode.VACANT:
            candidate.replaces = 0 if row is None else row.version
            return
        del candidate_by_row_key[key]
        self._complete(candidate.request, result)

    def _complete(self, request: ClaimRequest, result: ClaimResult) -> None:
        request.complete(result)
        if request.abandoned and result is HELD:
            self.withdraw(request.claim)


def _claim_transaction(candidate_by_row_key: dict[str, _Candidate]) -> Transaction:
    preconditions = []
    writes = []
    for key, candidate in candidate_by_row_key.items():
        claim = candidate.request.claim
        assert claim.state is ClaimState.CLAIMED
        preconditions.append(Precondition(CLAIMS_TABLE, key, candidate.replaces))
        writes.append(Write(CLAIMS_TABLE, key, claim.values()))
    return Transaction(uuid.uuid4().hex, tuple(preconditions), tuple(writes))
