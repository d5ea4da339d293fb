"""When a shard may be taken over, and how long a holder may act; free of I/O."""

import attrs

from rhubarbmount.batch.records import LeaseRow

__all__ = [
    "LEASE_TTL_S",
    "RENEWAL_PERIOD_S",
    "WEAK_HOST_WAIT_S",
    "ShardLease",
    "LeaseWatch",
    "candidate_wait_s",
]

LEASE_TTL_S = 2.0
# What a holder acts on is shorter than what others wait for.
LEASE_VALID_S = 1.6
RENEWAL_PERIOD_S = 0.5
NORMAL_GRANT_S = 4.0
# What a holder needs to schedule some hundred backend servers.
MIN_HOLDER_CORES = 1.0
MIN_HOLDER_LINK_MBPS = 50.0
WEAK_HOST_WAIT_S = 0.5
RENEWAL_OVERDUE_S = 1.0


def candidate_wait_s(cores: float, link_mbps: float) -> float:
    """Return how long a host lets others try first to become a holder."""
    shortfalls = (cores < MIN_HOLDER_CORES, link_mbps < MIN_HOLDER_LINK_MBPS)
    return sum(shortfalls) * WEAK_HOST_WAIT_S


@attrs.define
class LeaseWatch:
    """What another process has seen of a shard's lease."""

    node_id: str
    lease: LeaseRow | None = None
    version: int = 0
    seen_at_s: float = 0.0

    def note(self, lease: LeaseRow | None, version: int, now_s: float) -> None:
        """Take in the lease row; only a change of it starts the wait again."""
        if version != self.version or self.seen_at_s == 0.0:
            self.lease = lease
            self.version = version
            self.seen_at_s = now_s

    def restart(self, now_s: float) -> None:
        """Wait anew after an outage, in which the holder could not renew either."""
        self.seen_at_s = max(self.seen_at_s, now_s)

    def may_take(self, now_s: float) -> bool:
        """Tell whether the last holder has surely stopped to act."""
        if self.lease is None or self.lease.is_released:
            return True
        if self.lease.holder == self.node_id:
            return True
        return now_s >= self.seen_at_s + LEASE_TTL_S


@attrs.define
class ShardLease:
    """A lease that is held; times are steady and count from the sending.

    ``last_grants_end_s`` is when the last holder's grants have lapsed, by the store's
    clock, or 0 where that holder did not say.
    """

    fencing_token: int
    renewed_at_s: float
    last_grants_end_s: float = 0.0

    @property
    def valid_until_s(self) -> float:
        """Return until when its holder may give orders to hosts."""
        return self.renewed_at_s + LEASE_VALID_S

    def is_valid(self, now_s: float) -> bool:
        """Tell whether nobody else can hold the lease."""
        return now_s < self.valid_until_s

    def grant_until_s(self, now_s: float, limit_s: float) -> float:
        """Return until when runs may be granted, which is ``limit_s`` from now at most.

        Runs outlast an outage of the store. Another holder, which can't begin before
        this lease has ended, waits longer than the limit until it takes what it can't
        reach for ended.
        """
        lease_limit_s = self.valid_until_s + limit_s
        if now_s < self.renewed_at_s + RENEWAL_OVERDUE_S:
            return min(now_s + NORMAL_GRANT_S, now_s + limit_s, lease_limit_s)
        return min(now_s + limit_s, lease_limit_s)
