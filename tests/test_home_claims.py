"""Issued keys: only the issuing process may claim them, and it knows their outcomes."""

import pytest

from rhubarbmount.claims import ClaimRefused
from rhubarbmount.home_claims import KEY_LIFETIME_S, MAX_CLAIMS, HomeClaims


class Clock:
    def __init__(self):
        self.now_s = 100.0

    def __call__(self):
        return self.now_s


@pytest.fixture
def clock():
    return Clock()


def send(home, key, request="r", status=201):
    try:
        with home.guard("quotes", key, request) as held:
            held.not_run() if status is None else held.ran(status)
    except ClaimRefused as error:
        return error.outcome, error.code
    return ("not-run", None) if status is None else ("ran", None)


def test_an_issued_key_runs_once(clock):
    home = HomeClaims("a", clock)
    key = home.issue("quotes")
    assert send(home, key, status=None) == ("not-run", None)
    assert send(home, key) == ("ran", None)
    assert send(home, key) == ("ran", "request-already-ran")
    assert send(home, key, "other") == ("ran", "idempotency-key-reused")


def test_a_run_without_an_outcome_stays_unknown(clock):
    home = HomeClaims("a", clock)
    key = home.issue("quotes")
    with pytest.raises(ValueError):
        with home.guard("quotes", key, "r"):
            assert send(home, key) == ("unknown", "request-unfinished")
            raise ValueError
    assert send(home, key) == ("unknown", "request-outcome-unknown")


def test_no_other_process_claims_the_key_even_under_the_same_name(clock):
    key = HomeClaims("a", clock).issue("quotes")
    for other in (HomeClaims("a", clock), HomeClaims("b", clock)):
        assert send(other, key) == ("unknown", "claims-unavailable")


def test_a_key_is_bound_to_its_service_and_its_issue_time(clock):
    home = HomeClaims("a", clock)
    key = home.issue("quotes")
    with pytest.raises(ClaimRefused):
        with home.guard("parts", key, "r"):
            pass
    newer = key.replace(".100000.", ".900000.")
    assert newer != key
    assert send(home, newer) == ("unknown", "claims-unavailable")


def test_claims_are_forgotten_only_after_their_keys_have_expired(clock):
    home = HomeClaims("a", clock)
    old = home.issue("quotes")
    send(home, old)
    clock.now_s += KEY_LIFETIME_S - 1.0
    assert send(home, old) == ("ran", "request-already-ran")
    clock.now_s += 1.0
    assert send(home, old) == ("unknown", "request-outcome-unknown")
    assert len(home._claims) == 0


def test_memory_is_bounded_and_a_full_host_reports_not_run(clock):
    home = HomeClaims("a", clock)
    for _ in range(MAX_CLAIMS):
        send(home, home.issue("quotes"))
    assert send(home, home.issue("quotes")) == ("not-run", "claims-unavailable")
    clock.now_s += KEY_LIFETIME_S
    assert send(home, home.issue("quotes")) == ("ran", None)
