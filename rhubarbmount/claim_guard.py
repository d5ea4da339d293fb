"""The guard around the dispatch of a keyed non-idempotent request."""

import logging
import math
import time
import uuid
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import attrs
import trio

from rhubarbmount import log
from rhubarbmount.claim_batches import ClaimBatches
from rhubarbmount.claim_records import ClaimRecords, Withdrawal
from rhubarbmount.claims import (
    HELD,
    UNAVAILABLE,
    Claim,
    ClaimRefused,
    ClaimResult,
    ClaimState,
    HeldClaim,
    evaluate,
    refusal,
    row_key,
)
from rhubarbmount.home_claims import HomeClaims, parse_home_key
from rhubarbmount.request_traces import note_claim, note_claim_refused
from rhubarbmount.store.client import PlatformClient
from rhubarbmount.store.rate_limiter import Priority

__all__ = ["Claims", "open_claims"]

FLUSH_TIMEOUT_S = 2.0

logger = logging.getLogger(__name__)


@attrs.define(eq=False)
class Claims:
    """Claim keys before dispatch and record the outcomes of their requests."""

    instance: str
    platform: PlatformClient
    wall_clock: Callable[[], float] = time.time
    batches: ClaimBatches = attrs.field(init=False)
    records: ClaimRecords = attrs.field(init=False)
    home: HomeClaims = attrs.field(init=False)
    _by_row_key: dict[str, Claim] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.home = HomeClaims(self.instance)
        claim_client = self.platform.with_priority(Priority.CLAIM)
        self.batches = ClaimBatches(claim_client, self._withdraw)
        self.records = ClaimRecords(
            self.platform.with_priority(Priority.DEFAULT), self._forget
        )

    @asynccontextmanager
    async def guard(
        self,
        service: str,
        idempotency_key: str,
        fingerprint: str,
        deadline_s: float = math.inf,
    ) -> AsyncIterator[HeldClaim]:
        """Hold the key's claim for the duration of the block. Raises ClaimRefused.

        The block dispatches the request at most once and reports its outcome. A claim
        that is not written by the deadline, on trio's clock, is withdrawn. A key that
        an entry host issued is claimed in its memory, any other in the claims table.
        """
        if parse_home_key(idempotency_key) is not None:
            with self.home.guard(service, idempotency_key, fingerprint) as held:
                yield held
            return
        claim = self._new_claim(service, idempotency_key, fingerprint)
        await self._acquire(claim, deadline_s)
        held = HeldClaim(claim)
        try:
            yield held
        finally:
            self._finish(held.claim)

    async def flush(self) -> None:
        """Write the queued records, giving up after ``FLUSH_TIMEOUT_S``."""
        with trio.move_on_after(FLUSH_TIMEOUT_S):
            await self.records.flush()

    async def run(self) -> None:
        """Write queued claims and records until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.batches.run)
            nursery.start_soon(self.records.run)

    def _new_claim(self, service: str, idempotency_key: str, fingerprint: str) -> Claim:
        return Claim(
            row_key=row_key(service, idempotency_key),
            claim_id=uuid.uuid4().hex,
            holder=self.instance,
            fingerprint=fingerprint,
            claimed_s=self.wall_clock(),
        )

    async def _acquire(self, claim: Claim, deadline_s: float) -> None:
        found = self._by_row_key.get(claim.row_key)
        if found is not None:
            raise self._refused(claim, _evaluate_local(claim, found))
        self._by_row_key[claim.row_key] = claim
        result = UNAVAILABLE
        try:
            with trio.move_on_at(deadline_s):
                result = await self.batches.claim(claim)
        finally:
            if result is not HELD:
                self._forget(claim)
        if result is not HELD:
            raise self._refused(claim, result)
        note_claim(claim)
        log.event(logger, "claimed", row=claim.row_key, claim=claim.claim_id)

    def _finish(self, claim: Claim) -> None:
        if claim.state is ClaimState.CLAIMED:
            claim = attrs.evolve(claim, state=ClaimState.UNKNOWN)
        self._by_row_key[claim.row_key] = claim
        self.records.add(claim)
        note_claim(claim)
        log.event(
            logger,
            "claim-finished",
            row=claim.row_key,
            claim=claim.claim_id,
            state=claim.state,
            status=claim.status,
        )

    def _withdraw(self, claim: Claim) -> None:
        self.records.add(Withdrawal(claim))

    def _forget(self, claim: Claim) -> None:
        found = self._by_row_key.get(claim.row_key)
        if found is not None and found.claim_id == claim.claim_id:
            del self._by_row_key[claim.row_key]

    def _refused(self, claim: Claim, result: ClaimResult) -> ClaimRefused:
        note_claim_refused(claim, result)
        log.event(
            logger,
            "claim-refused",
            row=claim.row_key,
            ruling=result.code,
            outcome=result.outcome,
        )
        return refusal(result)


def _evaluate_local(wanted: Claim, found: Claim) -> ClaimResult:
    """Evaluate against this host's memory; an unwritten release still holds the key."""
    if found.state is ClaimState.RELEASED:
        found = attrs.evolve(found, state=ClaimState.CLAIMED)
    return evaluate(wanted, found)


@asynccontextmanager
async def open_claims(
    instance: str,
    platform: PlatformClient,
    wall_clock: Callable[[], float] = time.time,
) -> AsyncIterator[Claims]:
    """Run the claims of one entry host and flush queued records on exit."""
    claims = Claims(instance, platform, wall_clock)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(claims.run)
        yield claims
        await claims.flush()
        nursery.cancel_scope.cancel()
