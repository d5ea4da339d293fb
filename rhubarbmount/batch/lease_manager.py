"""Acquires, renews and releases the lease of a shard."""

import logging
import random
import uuid

import attrs
import trio

from rhubarbmount import log
from rhubarbmount.batch.clocks import monotonic_s
from rhubarbmount.batch.election import (
    RENEWAL_PERIOD_S,
    TOKENS_PER_LEASE,
    LeaseWatch,
    ShardLease,
)
from rhubarbmount.batch.grants_end import GrantsEnd, StoreClock
from rhubarbmount.batch.metrics import BatchMetrics
from rhubarbmount.batch.record_fields import UnreadableRecord
from rhubarbmount.batch.records import (
    LeaseRow,
    decode_lease,
    encode_lease,
)
from rhubarbmount.batch.table_follower import TableFollower
from rhubarbmount.batch.tables import LEASE_TABLE, lease_row
from rhubarbmount.batch.unreadable_rows import UnreadableRows
from rhubarbmount.errors import LeaseLost, OutcomeUnknown, PlatformUnavailable
from rhubarbmount.platform.rows import Page, Row, RowConflict, RowStore

__all__ = ["LeaseManager"]

logger = logging.getLogger(__name__)

CHECK_PERIOD_S = 0.2
# Longer than a renewal takes, yet short enough to notice an unresponsive store within
# the time-to-live of a lease.
FEED_WAIT_S = 0.8
RETRY_S = 0.15
OUTCOME_WAIT_S = 1.5
RENEWAL_TIMEOUT_S = 0.9
# No host has this name.
UNKNOWN_HOLDER = ""


@attrs.define(eq=False)
class LeaseManager:
    """Follows the lease of a shard for one process, and acquires and renews it."""

    store: RowStore
    shard: str
    node_id: str
    max_lease_s: float
    # How long this host lets others try to acquire the lease first.
    take_delay_s: float = 0.0
    unreadable_rows: UnreadableRows = attrs.field(
        factory=lambda: UnreadableRows(BatchMetrics())
    )
    incarnation: str = attrs.field(factory=lambda: uuid.uuid4().hex[:12])
    watch: LeaseWatch = attrs.field(init=False)
    follower: TableFollower = attrs.field(init=False)
    _version: int = 0
    _grants_end: GrantsEnd = attrs.field(init=False)
    # The version of the row that this host last tried to replace, and since when.
    _tried_version: int = -1
    _tried_since_s: float = 0.0
    _renew_now: trio.Event = attrs.field(factory=trio.Event)
    _changed: trio.Event = attrs.field(factory=trio.Event)
    _is_loaded: bool = False
    _is_failing: bool = False

    def __attrs_post_init__(self) -> None:
        self.watch = LeaseWatch(self.node_id)
        self._grants_end = GrantsEnd(self.max_lease_s)
        self.follower = TableFollower(
            self.store,
            LEASE_TABLE,
            (lease_row(self.shard).part,),
            self._apply,
            wait_s=FEED_WAIT_S,
            on_regained=lambda lost_s: self.watch.restart(lost_s, monotonic_s()),
        )

    def _apply(self, page: Page, is_whole: bool) -> None:
        name = lease_row(self.shard)
        row = next((row for row in page.rows if row.name == name), None)
        if row is not None:
            self._note_row(row)
        elif is_whole:
            self.watch.note(None, 0, monotonic_s())
        self._is_loaded = True
        self._changed.set()
        self._changed = trio.Event()

    def _note_row(self, row: Row) -> None:
        lease = self._decode(row) if row.version else None
        self.watch.note(lease, row.version, monotonic_s())

    def _decode(self, row: Row) -> LeaseRow:
        """Return the lease in a row; one that can't be read is held by someone else.

        Each token is at most so many above that of an earlier version of the row, so
        that no lease has a higher one than so many for each version.
        """
        try:
            return decode_lease(row.value)
        except UnreadableRecord as error:
            self.unreadable_rows.report(row, error)
            fence = row.version * TOKENS_PER_LEASE
            return LeaseRow(UNKNOWN_HOLDER, "", fence=fence)

    async def acquire(self) -> ShardLease:
        """Wait until the lease can be acquired, and return it."""
        while True:
            if self._is_loaded and self.watch.may_take(monotonic_s()):
                shard_lease = await self._take_after_delay()
                if shard_lease is not None:
                    return shard_lease
            with trio.move_on_after(CHECK_PERIOD_S):
                await self._changed.wait()

    async def _take_after_delay(self) -> ShardLease | None:
        """Try to take the lease after a delay, unless another host takes it first.

        The delay has a random part as concurrent writes queue in the store: each host
        would wait for as long as the store needs for all of them.
        """
        delay_s = self.take_delay_s
        if self.watch.lease is not None:
            delay_s += random.uniform(0.0, self.store.write_timeout.timeout_s)
        await trio.sleep(delay_s)
        if not self.watch.may_take(monotonic_s()):
            return None
        return await self._try_take()

    async def _try_take(self) -> ShardLease | None:
        seen = self.watch.lease
        fencing_token = TOKENS_PER_LEASE + (0 if seen is None else seen.fence)
        clock = self._store_clock()
        earlier = self._grants_end.begin(seen, clock)
        lease = self._make_row(fencing_token, clock)
        if self._tried_version != self.watch.version:
            self._tried_version, self._tried_since_s = self.watch.version, clock.now_s
        # Any of the tries may be the one that the store has carried out.
        taken = ShardLease(fencing_token, self._tried_since_s, earlier, 0.0)
        try:
            version = await self.store.commit(
                {lease_row(self.shard): self.watch.version},
                {lease_row(self.shard): encode_lease(lease)},
            )
        except RowConflict as error:
            return self._resolve_conflict(error, lease, taken)
        except (PlatformUnavailable, OutcomeUnknown) as error:
            self._note_failure("lease-not-taken", error.code)
            return await self._await_outcome(lease, taken)
        return self._note_acquired(taken, lease, version)

    def _store_clock(self) -> StoreClock:
        # One reading, as the host may be paused between two.
        now_s = monotonic_s()
        least_s = self.store.clock_s(now_s)
        return StoreClock(now_s, least_s, self.store.latest_clock_s(now_s))

    def extend_grants(self) -> None:
        """Let grants last longer than those of earlier holders, and renew the lease.

        The record of servers that are silent since the takeover must be stored.
        """
        self._grants_end.extend()
        self._renew_now.set()

    def _make_row(self, fencing_token: int, clock: StoreClock) -> LeaseRow:
        end_s = self._grants_end.next_s(clock)
        return LeaseRow(self.node_id, self.incarnation, fencing_token, False, end_s)

    async def _await_outcome(
        self, wanted: LeaseRow, taken: ShardLease
    ) -> ShardLease | None:
        """Wait for an unanswered write to appear in the change feed, if applied."""
        with trio.move_on_after(OUTCOME_WAIT_S):
            while True:
                changed = self._changed
                if self.watch.lease == wanted:
                    return self._note_acquired(taken, wanted, self.watch.version)
                if not self.watch.may_take(monotonic_s()):
                    return None
                await changed.wait()
        return None

    def _resolve_conflict(
        self, error: RowConflict, wanted: LeaseRow, taken: ShardLease
    ) -> ShardLease | None:
        """Return the lease if the conflicting row is our own, else None.

        The row may come from an earlier attempt of the call whose answer was lost.
        """
        for row in error.rows:
            if row.name != lease_row(self.shard):
                continue
            self._note_row(row)
            if row.version and self._decode(row) == wanted:
                return self._note_acquired(taken, wanted, row.version)
        return None

    def _note_failure(self, event: str, code: str) -> None:
        """Log the first of several consecutive failures."""
        if not self._is_failing:
            self._is_failing = True
            log.event(logger, event, logging.WARNING, shard=self.shard, code=code)

    def _note_acquired(
        self, taken: ShardLease, lease: LeaseRow, version: int
    ) -> ShardLease:
        self._version = version
        self._is_failing = False
        taken.grants_lapse_by_s = self._grants_end.note_stored(lease.grants_end_s)
        log.event(
            logger,
            "lease-won",
            shard=self.shard,
            fence=taken.fencing_token,
            version=version,
            earlier_lapse_in_s=taken.earlier.at_s - monotonic_s(),
            bound=taken.earlier.source,
        )
        return taken

    async def renew_until_lost(self, shard_lease: ShardLease) -> None:
        """Renew the lease until another process takes it, then raise LeaseLost.

        The lease counts from the first attempt since the last success, as any of the
        attempts may be the one that the store carried out.
        """
        first_sent_s: float | None = None
        while True:
            clock = self._store_clock()
            first_sent_s = clock.now_s if first_sent_s is None else first_sent_s
            row = self._make_row(shard_lease.fencing_token, clock)
            stored = await self._renew(row)
            if stored is None:
                await trio.sleep(RETRY_S)
                continue
            self._apply_renewal(shard_lease, stored, first_sent_s)
            first_sent_s = None
            with trio.move_on_after(RENEWAL_PERIOD_S):
                await self._renew_now.wait()
            self._renew_now = trio.Event()

    def _apply_renewal(
        self, shard_lease: ShardLease, stored: LeaseRow, sent_s: float
    ) -> None:
        """Count the lease from ``sent_s``, and its grants as the stored row says."""
        shard_lease.renewed_at_s = sent_s
        lapse_by_s = self._grants_end.note_stored(stored.grants_end_s)
        shard_lease.grants_lapse_by_s = max(shard_lease.grants_lapse_by_s, lapse_by_s)

    async def _renew(self, lease: LeaseRow) -> LeaseRow | None:
        """Return the lease as it is stored now, or None if that is not known."""
        name = lease_row(self.shard)
        try:
            self._version = await self.store.commit(
                {name: self._version},
                {name: encode_lease(lease)},
                timeout_s=RENEWAL_TIMEOUT_S,
            )
        except RowConflict as error:
            lease = self._resolve_renewal_conflict(error, lease)
        except (PlatformUnavailable, OutcomeUnknown) as error:
            self._note_failure("lease-not-renewed", error.code)
            return None
        self._is_failing = False
        return lease

    def _resolve_renewal_conflict(
        self, error: RowConflict, lease: LeaseRow
    ) -> LeaseRow:
        """Return the row that an earlier attempt has stored. Raises LeaseLost."""
        for row in error.rows:
            if row.name != lease_row(self.shard) or not row.version:
                continue
            found = self._decode(row)
            if attrs.evolve(found, grants_end_s=lease.grants_end_s) == lease:
                self._version = row.version
                return found
        log.event(logger, "lease-lost", logging.WARNING, shard=self.shard)
        raise LeaseLost(f"lease of {self.shard} was taken by another process")

    async def release(self, shard_lease: ShardLease, grants_end_s: float = 0.0) -> None:
        """Release the lease, so that the next holder need not wait for it to expire.

        If ``grants_end_s`` is 0, the row goes on saying when all grants end.
        """
        grants_end_s = grants_end_s or self._grants_end.latest_s
        name = lease_row(self.shard)
        lease = LeaseRow(
            self.node_id,
            self.incarnation,
            shard_lease.fencing_token,
            True,
            grants_end_s,
        )
        try:
            await self.store.commit({name: self._version}, {name: encode_lease(lease)})
        except (RowConflict, PlatformUnavailable, OutcomeUnknown) as error:
            log.event(logger, "lease-not-released", shard=self.shard, code=error.code)
            return
        log.event(
            logger, "lease-released", shard=self.shard, fence=shard_lease.fencing_token
        )
