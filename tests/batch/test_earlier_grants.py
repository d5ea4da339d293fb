"""When the leases that earlier holders granted have lapsed."""

import pytest

from rhubarbmount.batch.clocks import RATE_MARGIN
from rhubarbmount.batch.earlier_grants import (
    CARRIED_OVER,
    EarlierGrants,
    LapseBound,
    Takeover,
    carried_over,
    decode_takeover,
    longest_lease,
)
from rhubarbmount.batch.election import ShardLease, longest_grant_s
from rhubarbmount.batch.record_fields import UnreadableRecord
from rhubarbmount.batch.server_lease import MIN_START_LEASE_S, ServerLease
from rhubarbmount.batch.silent_servers import (
    MAX_SERVERS,
    READING_MARGIN_S,
    SilentServers,
)
from tests.batch.checkers import LOST_AFTER_FAULT_S

MAX_LEASE_S = 10.0


def takeovers(*recorded, **lapses_at_s_by_token):
    return {
        int(token.removeprefix("t")): Takeover(at_s, 9.0, token in recorded)
        for token, at_s in lapses_at_s_by_token.items()
    }


def make_lease(recorded_lapse_s, taken_at_s=100.0):
    lease = ServerLease(
        ShardLease(2, taken_at_s), MAX_LEASE_S, longest_lease(taken_at_s, MAX_LEASE_S)
    )
    lease.recorded_lapse_s = recorded_lapse_s
    lease.clock.note(50_000, taken_at_s)
    lease.record_response()
    return lease


def test_chain_of_takeovers_carries_the_earliest_time_over():
    assert carried_over({}, 4) is None
    assert carried_over(takeovers(t4=20.0), 4) == 20.0
    assert carried_over(takeovers(t3=18.0, t4=20.0), 4) == 18.0
    assert carried_over(takeovers(t3=22.0, t4=20.0), 4) == 20.0


# Guards against TWICE: the holder in between may have granted leases that last longer.
def test_holder_without_a_row_ends_the_chain():
    assert carried_over(takeovers(t2=15.0, t4=20.0), 4) == 20.0
    assert carried_over(takeovers(t3=18.0), 4) is None


# Guards against TWICE: once its record is stored, a holder grants more elsewhere.
def test_holder_whose_record_is_stored_ends_the_chain():
    assert carried_over(takeovers("t4", t4=20.0), 4) is None
    assert carried_over(takeovers("t3", t3=18.0, t4=20.0), 4) == 20.0


def test_takeover_is_read_back():
    takeover = Takeover(20.0, 9.0)
    assert decode_takeover("7", takeover.encode()) == (7, takeover)


@pytest.mark.parametrize(
    ("token", "value"),
    [
        ("7", b""),
        ("7", b"[]"),
        ("7", b"{}"),
        ("7", b'{"lapses_at_s": "x", "longest_grant_s": 9.0}'),
        ("7", b"\xff"),
        ("x", Takeover(20.0, 9.0).encode()),
    ],
)
def test_takeover_that_cannot_be_read_is_told(token, value):
    with pytest.raises(UnreadableRecord):
        decode_takeover(token, value)


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
        lease.clock.read_at_s = now_s - reading_age_s
        expires_ms = lease.renewal_expiry_ms(now_s, is_late)
        left_on_server_s = (expires_ms - lease.clock.read_ms) / 1000
        assert lease.clock.read_at_s + left_on_server_s / 0.98 <= max(told_s, now_s)


def test_tasks_can_run_again_in_time_after_the_last_renewal():
    assert longest_grant_s(MAX_LEASE_S) < LOST_AFTER_FAULT_S


def test_bound_of_a_server_is_its_record_if_that_is_earlier():
    silent = SilentServers(lambda: 1000.0)
    silent.note("early", lapses_in_s=3.0)
    silent.note("late", lapses_in_s=30.0)
    grants = EarlierGrants(LapseBound(110.0, "longest-lease"), silent)
    assert grants.bound_of("early", 100.0).at_s == pytest.approx(103 + READING_MARGIN_S)
    assert grants.bound_of("early", 100.0).source == "recorded"
    assert grants.bound_of("late", 100.0).at_s == 110.0
    assert grants.bound_of("unknown", 100.0).at_s == 110.0


def test_bound_only_becomes_earlier():
    grants = EarlierGrants(LapseBound(110.0, "longest-lease"), SilentServers(float))
    grants.tighten(112.0, CARRIED_OVER)
    assert grants.bound.at_s == 110.0
    grants.tighten(105.0, CARRIED_OVER)
    assert grants.bound == LapseBound(105.0, CARRIED_OVER)


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
    silent = SilentServers(lambda: 1000.0)
    silent.note("s", lapses_in_s=3.0)
    silent.note("s", lapses_in_s=9.0)
    assert silent.limit_in_s("s") == pytest.approx(3.0 - READING_MARGIN_S)


# A server that does not fit has no record, so that nothing limits its leases and the
# next holder waits for the longest one.
def test_record_fits_into_a_row():
    silent = SilentServers(lambda: 100_000.0)
    for number in range(MAX_SERVERS + 10):
        silent.note(f"i-{number:010x}", lapses_in_s=10.0 + number / 1000)
    assert len(silent.encode()) < 65_536
    assert not silent.has(f"i-{MAX_SERVERS:010x}")
