"""Takeover of leases and how long a holder may act."""

import pytest

from rhubarbmount.batch.clocks import RATE_MARGIN, ServerClock
from rhubarbmount.batch.election import (
    LEASE_TTL_S,
    NORMAL_GRANT_S,
    WEAK_HOST_WAIT_S,
    LeaseWatch,
    ShardLease,
    candidate_wait_s,
)
from rhubarbmount.batch.records import LeaseRow

LEASE = LeaseRow("b", "1", 4)


@pytest.mark.parametrize(
    ("cores", "link_mbps", "wait_count"),
    [(1.07, 1000.0, 0), (0.52, 1000.0, 1), (2.15, 5.0, 1), (0.52, 5.0, 2)],
)
def test_hosts_with_few_cores_or_a_slow_link_delay_their_candidacy(
    cores, link_mbps, wait_count
):
    """Hosts differ in size; any of them can be the holder if no better one is up."""
    assert candidate_wait_s(cores, link_mbps) == wait_count * WEAK_HOST_WAIT_S


def test_lease_without_a_holder_may_be_taken():
    watch = LeaseWatch("a")
    watch.note(None, 0, 1.0)
    assert watch.may_take(1.0)


def test_lease_may_be_taken_only_after_its_ttl_without_renewal():
    watch = LeaseWatch("a")
    watch.note(LEASE, 7, 1.0)
    watch.note(LEASE, 7, 2.0)
    assert not watch.may_take(1.0 + LEASE_TTL_S - 0.01)
    assert watch.may_take(1.0 + LEASE_TTL_S)
    watch.note(LEASE, 8, 3.0)
    assert not watch.may_take(3.1)


def test_released_or_own_lease_may_be_taken_at_once():
    watch = LeaseWatch("a")
    watch.note(LeaseRow("b", "1", 4, True), 7, 1.0)
    assert watch.may_take(1.0)
    watch.note(LeaseRow("a", "0", 5), 8, 1.0)
    assert watch.may_take(1.0)


def test_store_outage_does_not_count_towards_the_ttl():
    watch = LeaseWatch("a")
    watch.note(LEASE, 7, 1.0)
    watch.restart(7.5, 9.0)
    assert not watch.may_take(9.5)
    assert watch.may_take(9.0 + LEASE_TTL_S)


# Guards against a shard without a holder while the store keeps failing for moments.
def test_further_outages_without_a_renewal_only_suspend_the_wait():
    watch = LeaseWatch("a")
    watch.note(LEASE, 7, 1.0)
    watch.restart(7.5, 9.0)
    watch.restart(0.5, 10.5)
    assert not watch.may_take(9.5 + LEASE_TTL_S - 0.01)
    assert watch.may_take(9.5 + LEASE_TTL_S)
    watch.note(LEASE, 8, 12.0)
    watch.restart(0.5, 13.0)
    assert not watch.may_take(13.0 + LEASE_TTL_S - 0.01)


def test_lease_is_invalid_before_another_host_may_take_it():
    shard_lease = ShardLease(1, 10.0)
    assert shard_lease.is_valid(11.5)
    assert not shard_lease.is_valid(10.0 + LEASE_TTL_S)


@pytest.mark.parametrize("wants_longest", [False, True])
def test_grants_expire_before_the_next_holder_assumes_so(wants_longest):
    """The next holder starts no earlier than the lease ends and waits for the limit."""
    shard_lease, max_lease_s, limit_s = ShardLease(1, 10.0), 10.0, 9.5
    next_holder_assumes_expired_s = 10.0 + LEASE_TTL_S + 10.0 * RATE_MARGIN
    for now_s in (10.0, 11.0, 12.0, 15.0, 21.0):
        granted_until_s = shard_lease.grant_until_s(now_s, max_lease_s, wants_longest)
        assert granted_until_s <= now_s + limit_s
        assert (
            granted_until_s - now_s
        ) * RATE_MARGIN + now_s < next_holder_assumes_expired_s


def test_a_late_host_grants_the_longest_lease():
    shard_lease = ShardLease(1, 10.0)
    for max_lease_s in (6.0, 10.0):
        assert shard_lease.grant_until_s(10.2, max_lease_s) == 10.2 + NORMAL_GRANT_S
    assert shard_lease.grant_until_s(10.2, 6.0, wants_longest=True) == 10.2 + 5.7
    assert shard_lease.grant_until_s(10.2, 10.0, wants_longest=True) == 10.2 + 9.5


def test_lease_expiry_allows_for_a_slow_server_clock():
    clock = ServerClock()
    clock.note(50_000, 100.0)
    assert clock.grant(104.0, 100.0) == 54_000
    assert clock.lapses_at_s() > 104.0 / 1.0 + 0.02 * 4
    clock.note(51_000, 101.0)
    assert clock.lapses_at_s() > 101.0 + 3.0 * 1.02


def test_older_clock_reading_is_ignored():
    clock = ServerClock()
    clock.note(50_000, 100.0)
    clock.note(49_000, 101.0)
    assert (clock.read_ms, clock.read_at_s) == (50_000, 100.0)
