"""Grants to a backend server and the time by which they have lapsed; no I/O."""

import math

import attrs

from rhubarbmount.batch.clocks import ServerClock
from rhubarbmount.batch.election import LapseBound, ShardLease, longest_lease

__all__ = [
    "ServerLease",
]

# Consecutive failed calls after which a server counts as unreachable. A single failure
# may just be a lost response.
LOST_AFTER_FAILURES = 2
# Consecutive failed calls after which the silence is recorded for the next holder.
SILENT_AFTER_FAILURES = 3
LAPSE_CHECK_MARGIN_S = 0.01
# The least time that a lease granted with a start must have left.
MIN_START_LEASE_S = 2.0
# What tells when leases have lapsed that were granted on another clock.
OTHER_CLOCK = "other-clock"


@attrs.define(eq=False)
class ServerLease:
    """The lease of everything that runs on one lifetime of a backend server.

    Times are on the monotonic clock. While ``recorded_lapse_s`` is set, the store holds
    or may hold a record for the next holder that all leases will have lapsed then, so
    nothing may be granted that lapses later. ``earlier`` is when the grants of earlier
    holders have lapsed, and what calls meant for earlier lifetimes may have granted.
    """

    shard_lease: ShardLease
    max_lease_s: float
    earlier: LapseBound
    clock: ServerClock = attrs.field(factory=ServerClock)
    is_reachable: bool = False
    recorded_lapse_s: float | None = None
    has_lapsed: bool = False
    consecutive_failures: int = 0
    # Whether an answer showed another clock since the lifetime was last heard of.
    has_other_clock: bool = False
    # The lifetimes of a server are numbered; calls to a later one have higher tokens.
    token_number: int = 0
    _obeyed_token: int = 0

    @property
    def fencing_token(self) -> int:
        """Return the token for calls to the lifetime."""
        return self.shard_lease.server_token(self.token_number)

    @property
    def has_obeyed_token(self) -> bool:
        """Return whether the lifetime has answered a call with its current token."""
        return self._obeyed_token >= self.fencing_token

    def note_obeyed(self, token: int, now_s: float) -> None:
        """Record that the lifetime has answered a call with a token.

        From then on it obeys no call for earlier lifetimes. Until then such calls may
        have granted it the longest lease.
        """
        if token > self._obeyed_token:
            self._obeyed_token = token
            if self.token_number:
                self.expect_longest(now_s)

    def renewal_expiry_ms(self, now_s: float, is_late: bool = False) -> int | None:
        """Return the expiry to renew to, on the server's clock, or None not to renew.

        A host that is late itself grants the longest lease.
        Nothing is granted after a failed call: if each unanswered retry extended the
        lease, it could never be known to have lapsed.
        """
        if not self.clock.is_known or self.consecutive_failures:
            return None
        until_s = self.shard_lease.grant_until_s(now_s, self.max_lease_s, is_late)
        lapse_by_s = self.shard_lease.grants_lapse_by_s
        if self.recorded_lapse_s is not None:
            lapse_by_s = min(lapse_by_s, self.recorded_lapse_s)
        until_s = min(until_s, self.clock.latest_grant_s(lapse_by_s))
        if until_s <= now_s:
            return None
        self.has_lapsed = False
        return self.clock.grant(until_s, now_s)

    def start_expiry_ms(self, now_s: float, is_late: bool = False) -> int:
        """Return the expiry of a start command; a silent server gets no later one."""
        return self.renewal_expiry_ms(now_s, is_late) or self.clock.granted_ms

    def note_reading(self, clock_ms: int, sent_s: float, now_s: float) -> None:
        """Record a reading of the clock from an answer of this lifetime.

        If the clock has started anew all the same, what was granted on the earlier one
        may lie far ahead on it.
        """
        if not self.clock.may_read(clock_ms, sent_s, now_s):
            self.expect_longest(now_s)
            self.clock = ServerClock()
        self.clock.note(clock_ms, now_s, sent_s)

    def note_command_reading(self, clock_ms: int, sent_s: float, now_s: float) -> bool:
        """Record a reading from an answer that names no lifetime.

        Returns whether it may be of this one. If not, a later lifetime has answered.
        """
        if not self.clock.is_known:
            return True
        if self.clock.may_read(clock_ms, sent_s, now_s):
            self.clock.note(clock_ms, now_s, sent_s)
            return True
        self.has_other_clock = True
        self.expect_longest(now_s)
        return False

    def expect_longest(self, now_s: float) -> None:
        """Expect the longest lease, granted until now by a call for another lifetime.

        Its expiry is a time on the clock of that one and may lie far ahead.
        """
        longest = longest_lease(now_s, self.max_lease_s)
        if longest.at_s > self.earlier.at_s:
            self.earlier = LapseBound(longest.at_s, OTHER_CLOCK)

    @property
    def outlasts_row(self) -> bool:
        """Return whether a call for another lifetime may have granted too long a lease.

        The next holder would not wait for it, as the lease row does not tell it yet.
        """
        if self.earlier.source != OTHER_CLOCK:
            return False
        return self.earlier.at_s > self.shard_lease.grants_lapse_by_s

    @property
    def is_recorded_silent(self) -> bool:
        """Return whether a record limits what may be granted."""
        return self.recorded_lapse_s is not None

    def may_start(self, now_s: float) -> bool:
        """Return whether a start command may be sent now."""
        if not self.clock.is_known or not self.is_reachable:
            return self.clock.is_known
        if self.has_other_clock or self.outlasts_row:
            return False
        limit_s = self.shard_lease.grants_lapse_by_s
        if self.recorded_lapse_s is not None:
            limit_s = min(limit_s, self.recorded_lapse_s)
        return now_s + MIN_START_LEASE_S < limit_s

    def lapses_at_s(self) -> float:
        """Return the time by which nothing started on the server can still run."""
        return max(self.clock.lapses_at_s(), self.earlier.at_s)

    def until_lapse_s(self, now_s: float) -> float:
        """Return the time left until the lease has lapsed, or infinity if it has."""
        left_s = self.lapses_at_s() - now_s
        return left_s + LAPSE_CHECK_MARGIN_S if left_s > 0 else math.inf

    def record_response(self) -> bool:
        """Record a response; return whether the server was unreachable before."""
        was_reachable = self.is_reachable
        self.is_reachable = True
        self.has_lapsed = False
        self.has_other_clock = False
        self.consecutive_failures = 0
        return not was_reachable

    def record_failure(self) -> bool:
        """Record a failed call; return whether the server becomes unreachable by it."""
        self.consecutive_failures += 1
        is_lost = self.is_reachable and self.consecutive_failures >= LOST_AFTER_FAILURES
        if is_lost:
            self.is_reachable = False
        return is_lost

    @property
    def is_never_reached(self) -> bool:
        """Return whether a server counts from now on as never reached."""
        return (
            not self.clock.is_known
            and self.consecutive_failures == SILENT_AFTER_FAILURES
        )

    @property
    def must_record_silence(self) -> bool:
        """Return whether the silence must now be recorded for the next holder."""
        return (
            not self.is_recorded_silent
            and self.consecutive_failures >= SILENT_AFTER_FAILURES
        )

    def check_lapse(self, now_s: float) -> bool:
        """Record a lapse; return whether the lease has lapsed since the last call."""
        if self.has_lapsed or now_s < self.lapses_at_s():
            return False
        self.has_lapsed = True
        return True
