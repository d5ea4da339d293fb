"""When the leases that earlier holders granted have lapsed."""

import json

import pytest

from rhubarbmount.batch.clocks import RATE_MARGIN
from rhubarbmount.batch.earlier_grants import EarlierGrants
from rhubarbmount.batch.election import (
    LapseBound,
    ShardLease,
    longest_grant_s,
    longest_lease,
)
from rhubarbmount.batch.lifetimes import lifetime_id
from rhubarbmount.batch.server_lease import MIN_START_LEASE_S, ServerLease
from rhubarbmount.batch.silent_servers import (
    MAX_SERVERS,
    SilentServers,
)
from tests.batch.checkers import LOST_AFTER_FAULT_S

MAX_LEASE_S = 10.0


def make_lease(recorded_lapse_s, taken_at_s=100.0):
    lease = ServerLease(
        ShardLease(2, taken_at_s), MAX_LEASE_S, longest_lease(taken_at_s, MAX_LEASE_S)
    )
    lease.recorded_lapse_s = recorded_lapse_s
    lease.clock.note(50_000, taken_at_s)
    lease.record_response()
    return lease


# Guards against TWICE: a holder that is cut off from the store grants on for a while,
# to servers whose clock it may have read long ago.
@pytest.mark.parametrize("max_lease_s", [3.0, 6.0, 10.0, 30.0])
@pytest.mark.parametrize("is_late", [False, True])
@pytest.mark.parametrize("reading_age_s", [0.0, 1.0, 15.0])
def test_no_grant_lasts_longer_after_a_renewal_than_the_next_holder_is_told(
    max_lease_s, is_late, reading_age_s
):
    renewed_at_s = 100.0
    told_s = renewed_at_s + longest_grant_s(max_lease_s)
    for tenth in range(300):
        now_s = renewed_at_s + tenth / 10
        lease = make_lease(None, renewed_at_s)
        lease.max_lease_s = max_lease_s
        lease.shard_lease.grants_lapse_by_s = told_s
        lease.clock.read_at_s = now_s - reading_age_s
        expires_ms = lease.renewal_expiry_ms(now_s, is_late)
        if expires_ms is None:
            continue
        left_on_server_s = (expires_ms - lease.clock.read_ms) / 1000
        assert lease.clock.read_at_s + left_on_server_s / 0.98 <= told_s


def test_tasks_can_run_again_in_time_after_the_last_renewal():
    assert longest_grant_s(MAX_LEASE_S) < LOST_AFTER_FAULT_S


def test_bound_of_a_server_is_its_record_if_that_is_earlier():
    silent = SilentServers(*[lambda: 1000.0] * 2)
    silent.note("early", lapses_in_s=3.0)
    silent.note("late", lapses_in_s=30.0)
    grants = EarlierGrants(LapseBound(110.0, "longest-lease"), silent, lambda: 100.0)
    assert grants.bound_of("early").at_s == pytest.approx(103)
    assert grants.bound_of("early").source == "recorded"
    assert grants.bound_of("late").at_s == 110.0
    assert grants.bound_of("unknown").at_s == 110.0


# Guards against TWICE: the next holder takes all leases for lapsed at that time.
def test_nothing_is_granted_beyond_the_record_of_a_server():
    lease = make_lease(recorded_lapse_s=103.0)
    expires_ms = lease.renewal_expiry_ms(101.0)
    assert expires_ms is not None
    # The server's clock, which read 50 s at 100 s, may be slow.
    assert 100.0 + (expires_ms / 1000 - 50.0) * RATE_MARGIN < 103.0
    assert lease.lapses_at_s() > 103.0
    assert lease.renewal_expiry_ms(102.95) is None
    lease.recorded_lapse_s = None
    assert lease.renewal_expiry_ms(102.95) > 50_000 + 5_000


def test_start_waits_for_the_record_to_go_if_the_lease_would_be_short():
    lease = make_lease(recorded_lapse_s=110.0)
    assert lease.may_start(101.0)
    assert not lease.may_start(110.0 - MIN_START_LEASE_S)
    lease.recorded_lapse_s = None
    assert lease.may_start(110.0)


def test_repeated_note_keeps_the_earlier_time():
    silent = SilentServers(*[lambda: 1000.0] * 2)
    silent.note("s", lapses_in_s=3.0)
    silent.note("s", lapses_in_s=9.0)
    assert silent.limit_in_s("s") == pytest.approx(3.0)


# A server that does not fit has no record, so that nothing limits its leases and the
# next holder waits for the longest one.
def test_record_fits_into_a_row():
    silent = SilentServers(*[lambda: 1_785_455_249.0] * 2)
    for number in range(MAX_SERVERS + 10):
        server_id = lifetime_id(f"i-{number:010x}", 1_785_455_249_123)
        silent.note(server_id, lapses_in_s=10.0 + number / 1000)
    assert len(silent.encode()) < 65_536
    assert not silent.has(lifetime_id(f"i-{MAX_SERVERS:010x}", 1_785_455_249_123))


def make_silent(value=b"{}"):
    silent = SilentServers(*[lambda: 1000.0] * 2)
    silent.load(value)
    return silent


# Guards against TWICE: a later lifetime was taken for one on which all has lapsed.
def test_the_record_of_a_lifetime_says_nothing_of_a_later_one():
    first_holder = make_silent()
    first_holder.note("s@7", lapses_in_s=3.0)
    silent = make_silent(first_holder.encode())
    assert silent.lapses_in_s("s@7") == pytest.approx(3.0)
    assert silent.lapses_in_s("s@8") is None
    assert not silent.has("s@8")
    silent.drop("s@8")
    assert silent.has("s@7")


# Guards against LOST and TWICE: tasks of a server that an older build had recorded by
# name waited for the longest lease, and the server was granted more than recorded.
def test_the_record_of_a_name_holds_for_every_lifetime():
    silent = make_silent(b'{"s": 1002.0}')
    grants = EarlierGrants(LapseBound(110.0, "longest-lease"), silent, lambda: 100.0)
    assert grants.bound_of("s@7").at_s == pytest.approx(103.0)
    assert silent.limit_in_s("s@7") == pytest.approx(3.0)
    silent.note("s@7", lapses_in_s=9.0)
    assert silent.limit_in_s("s@7") == pytest.approx(3.0)
    silent.drop("s@7")
    assert not silent.has("s@7")
    assert not silent.has("s")


def write_anew_as_older_builds(value, now_s):
    """Return a record as builds write it that take a name for one lifetime."""
    numbers = json.loads(value)
    return json.dumps({key: at for key, at in numbers.items() if at > now_s - 30.0})


# Guards against TWICE: an older build passes a record of a lifetime on, and grants more
# under the name of the server.
def test_a_lifetime_is_not_recorded_once_an_older_build_has_held_the_shard():
    first_holder = make_silent()
    first_holder.note("s@7", lapses_in_s=3.0)
    first_holder.note("t", lapses_in_s=3.0)
    passed_on = write_anew_as_older_builds(first_holder.encode(), 1000.0)
    silent = make_silent(passed_on.encode())
    assert not silent.has("s@7")
    assert silent.has("t")


# Guards against a record that can't be stored, since lifetimes have longer ids, as long
# as the clock of a store that has run for three years.
def test_the_record_of_lifetimes_fits_into_a_row():
    silent = SilentServers(*[lambda: 100_000_000.0] * 2)
    for number in range(MAX_SERVERS):
        server_id = f"i-{number:010x}@1785455249123"
        silent.note(server_id, lapses_in_s=10.0 + number / 1000)
    assert len(silent.encode()) < 65_536
