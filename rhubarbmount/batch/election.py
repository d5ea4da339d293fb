"""Timing rules of shard leases: takeover, validity and grants; free of I/O."""

import math

import attrs

from rhubarbmount.batch.clocks import LAPSE_MARGIN_S, RATE_MARGIN, ServerClock
from rhubarbmount.batch.records import LeaseRow

__all__ = [
    "LEASE_ROW",
    "LEASE_TTL_S",
    "RENEWAL_PERIOD_S",
    "TOKENS_PER_LEASE",
    "WEAK_HOST_WAIT_S",
    "LapseBound",
    "LeaseWatch",
    "ShardLease",
    "candidate_wait_s",
    "longest_grant_s",
    "longest_lease",
]

LEASE_TTL_S = 2.0
# Shorter than LEASE_TTL_S, so that a holder stops acting before another takes over.
LEASE_VALID_S = 1.6
RENEWAL_PERIOD_S = 0.5
# How many fencing tokens a lease comes with, up to the one in its row. Calls to backend
# servers use all of them, so that those for a later lifetime have a higher one.
TOKENS_PER_LEASE = 1000
NORMAL_GRANT_S = 4.0
# All grants have lapsed this long after the last renewal of the lease. If a holder is
# lost together with backend servers, their tasks have to run again within 10 s.
MAX_LAPSE_AFTER_RENEWAL_S = 9.75
# The longest grant as a fraction of the longest lease that the platform allows.
MAX_GRANT_FRACTION = 0.95
# A holder needs at least this much to schedule some hundred backend servers.
MIN_HOLDER_CORES = 1.0
MIN_HOLDER_LINK_MBPS = 50.0
WEAK_HOST_WAIT_S = 0.5
RENEWAL_OVERDUE_S = 1.0
# What tells when the grants of earlier holders have lapsed: their lease row or nothing.
LEASE_ROW = "lease-row"
LONGEST_LEASE = "longest-lease"


def candidate_wait_s(cores: float, link_mbps: float) -> float:
    """Return how long a host waits before it tries to take a lease.

    Hosts with few cores or a slow network link let better-equipped hosts go first.
    """
    shortfalls = (cores < MIN_HOLDER_CORES, link_mbps < MIN_HOLDER_LINK_MBPS)
    return sum(shortfalls) * WEAK_HOST_WAIT_S


def longest_grant_s(max_lease_s: float) -> float:
    """Return how long after the last renewal of its lease a holder's grants lapse."""
    return min(
        LEASE_VALID_S + max_lease_s * MAX_GRANT_FRACTION * RATE_MARGIN + LAPSE_MARGIN_S,
        MAX_LAPSE_AFTER_RENEWAL_S,
    )


@attrs.define
class LeaseWatch:
    """Another process's view of a shard's lease."""

    node_id: str
    lease: LeaseRow | None = None
    version: int = 0
    seen_at_s: float = 0.0
    # The version for which an outage of the store has restarted the wait.
    _restarted_version: int | None = None

    def note(self, lease: LeaseRow | None, version: int, now_s: float) -> None:
        """Record the lease row; only a new version of it restarts the wait."""
        if version != self.version or self.seen_at_s == 0.0:
            self.lease = lease
            self.version = version
            self.seen_at_s = now_s

    def restart(self, outage_s: float, now_s: float) -> None:
        """Restart the wait after a store outage: the holder could not renew either.

        Further outages without a renewal between them only suspend it, so that a store
        which keeps failing for moments leaves no shard without a holder.
        """
        if self._restarted_version == self.version:
            self.seen_at_s = min(now_s, self.seen_at_s + outage_s)
        else:
            self.seen_at_s = max(self.seen_at_s, now_s)
            self._restarted_version = self.version

    def may_take(self, now_s: float) -> bool:
        """Return whether the last holder must have stopped acting."""
        if self.lease is None or self.lease.is_released:
            return True
        if self.lease.holder == self.node_id:
            return True
        return now_s >= self.seen_at_s + LEASE_TTL_S


@attrs.frozen
class LapseBound:
    """A monotonic time by which earlier grants have lapsed, and what tells it."""

    at_s: float
    source: str


def longest_lease(taken_at_s: float, max_lease_s: float) -> LapseBound:
    """Return the bound for a previous holder that may have granted until the end."""
    last = ServerClock(read_at_s=taken_at_s, granted_ms=int(max_lease_s * 1000))
    return LapseBound(last.lapses_at_s(), LONGEST_LEASE)


@attrs.define
class ShardLease:
    """Held lease; times are monotonic and count from when the renewal was sent.

    ``earlier`` is when the grants of earlier holders have lapsed. All grants of this
    one lapse by ``grants_lapse_by_s``, which the lease row tells the next holder.
    """

    fencing_token: int
    renewed_at_s: float
    earlier: LapseBound = LapseBound(0.0, LONGEST_LEASE)
    grants_lapse_by_s: float = math.inf

    def server_token(self, number: int) -> int:
        """Return the token for calls to the so many-th lifetime of a server."""
        last = TOKENS_PER_LEASE - 1
        return self.fencing_token - last + min(number, last)

    @property
    def valid_until_s(self) -> float:
        """Return the time until which the holder may send commands to hosts."""
        return self.renewed_at_s + LEASE_VALID_S

    def is_valid(self, now_s: float) -> bool:
        """Return whether no other process can hold the lease."""
        return now_s < self.valid_until_s

    def is_overdue(self, now_s: float) -> bool:
        """Return whether renewals fail, so that the store may be away."""
        return now_s >= self.renewed_at_s + RENEWAL_OVERDUE_S

    def grants_end_soon(self, now_s: float) -> bool:
        """Return whether no grant can last as long as usual, as the store is away."""
        return now_s + NORMAL_GRANT_S >= self.grants_lapse_by_s

    def grant_until_s(
        self, now_s: float, max_lease_s: float, wants_longest: bool = False
    ) -> float:
        """Return until when runs may be granted.

        Grants extend past the end of the lease so that runs survive a store outage.
        The next holder cannot start before this lease has ended, and it waits for as
        long as they may last before it considers runs on unreachable servers ended.
        """
        limit_s = max_lease_s * MAX_GRANT_FRACTION
        lease_limit_s = self.valid_until_s + limit_s
        if not self.is_overdue(now_s) and not wants_longest:
            return min(now_s + NORMAL_GRANT_S, now_s + limit_s, lease_limit_s)
        return min(now_s + limit_s, lease_limit_s)
