"""What is granted to a backend server, and when it has ended; free of I/O."""

import math

import attrs

from rhubarbmount.batch.clocks import ServerClock
from rhubarbmount.batch.election import ShardLease

__all__ = ["ServerLease"]

# Answers that fail to come in a row: one may just be lost.
LOST_AFTER_FAILURES = 2
SILENT_AFTER_FAILURES = 3
# The longest grant, as a share of what the platform allows.
MAX_GRANT_FRACTION = 0.95
LAPSE_CHECK_MARGIN_S = 0.01


@attrs.define(eq=False)
class ServerLease:
    """The lease of everything that runs on one lifetime of a backend server.

    Times are steady. ``is_recorded_silent`` says that its silence is or may be
    recorded for a next holder, so that nothing may be granted.
    ``last_holder_lapses_at_s`` is when the last holder's grants have ended, if that
    holder has recorded it.
    """

    shard_lease: ShardLease
    max_lease_s: float
    taken_at_s: float
    clock: ServerClock = attrs.field(factory=ServerClock)
    is_reachable: bool = False
    is_recorded_silent: bool = False
    has_lapsed: bool = False
    last_holder_lapses_at_s: float | None = None
    consecutive_failures: int = 0

    def renewal_expiry_ms(self, now_s: float) -> int | None:
        """Return until when to prolong, on the server's clock, or None not to.

        A lease that grew with each unanswered try would never be sure to have ended.
        """
        if (
            not self.clock.is_known
            or self.consecutive_failures
            or self.is_recorded_silent
        ):
            return None
        until_s = self.shard_lease.grant_until_s(
            now_s, self.max_lease_s * MAX_GRANT_FRACTION
        )
        return self.clock.grant(until_s, now_s)

    def start_expiry_ms(self, now_s: float) -> int:
        """Return the expiry of an order to start; a silent server gets no later one."""
        return self.renewal_expiry_ms(now_s) or self.clock.granted_ms

    @property
    def may_start(self) -> bool:
        """Tell whether an order to start can be sent now."""
        return self.clock.is_known and not (
            self.is_reachable and self.is_recorded_silent
        )

    def lapses_at_s(self) -> float:
        """Return the time by which nothing started there can still run."""
        if self.last_holder_lapses_at_s is not None:
            return max(self.clock.lapses_at_s(), self.last_holder_lapses_at_s)
        last_holder = ServerClock(read_at_s=self.taken_at_s)
        last_holder.granted_ms = int(self.max_lease_s * 1000)
        return max(self.clock.lapses_at_s(), last_holder.lapses_at_s())

    def until_lapse_s(self, now_s: float) -> float:
        """Return the time until the lease has lapsed, infinity if it has."""
        left_s = self.lapses_at_s() - now_s
        return left_s + LAPSE_CHECK_MARGIN_S if left_s > 0 else math.inf

    def record_response(self) -> bool:
        """Take in an answer; return whether the server was not reached before."""
        was_reachable = self.is_reachable
        self.is_reachable = True
        self.has_lapsed = False
        self.consecutive_failures = 0
        return not was_reachable

    def record_failure(self) -> bool:
        """Take in that no answer came; return whether the server is lost by that."""
        self.consecutive_failures += 1
        is_lost = self.is_reachable and self.consecutive_failures >= LOST_AFTER_FAILURES
        if is_lost:
            self.is_reachable = False
        return is_lost

    @property
    def must_record_silence(self) -> bool:
        """Tell whether a next holder should hear of the silence."""
        return (
            not self.is_recorded_silent
            and self.consecutive_failures >= SILENT_AFTER_FAILURES
        )

    def check_lapse(self, now_s: float) -> bool:
        """Return whether the lease has lapsed since this was last asked."""
        if self.has_lapsed or now_s < self.lapses_at_s():
            return False
        self.has_lapsed = True
        return True
