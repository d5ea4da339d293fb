"""Telling a host's own lateness from the silence of backend servers."""

import pytest

from rhubarbmount.batch import clocks
from rhubarbmount.batch.lateness import MAX_TIMEOUT_S, Lateness
from rhubarbmount.batch.metrics import BatchMetrics

TIMEOUT_S = 0.35


class Clock:
    now_s = 100.0


@pytest.fixture
def clock(monkeypatch):
    monkeypatch.setattr(clocks.source, "monotonic_s", lambda: Clock.now_s)
    return Clock()


@pytest.fixture
def lateness(clock):
    return Lateness(BatchMetrics())


def answer_all(lateness, clock, servers, took_s):
    for number in range(servers):
        Clock.now_s += 0.02
        lateness.record_response(f"s{number}", took_s)
    Clock.now_s += 0.2
    lateness.record_lag(0.0)


def test_quick_answers_leave_timeouts_as_they_are(lateness, clock):
    answer_all(lateness, clock, 10, 0.01)
    assert not lateness.is_late
    assert lateness.stretch_timeout_s(TIMEOUT_S) == TIMEOUT_S


# A host with little bandwidth reads each answer 200 ms late.
def test_a_host_that_reads_all_answers_late_waits_longer(lateness, clock):
    answer_all(lateness, clock, 10, 0.2)
    assert lateness.is_late
    assert lateness.stretch_timeout_s(TIMEOUT_S) >= 3 * 0.2
    answer_all(lateness, clock, 10, 0.01)
    assert not lateness.is_late


def test_a_host_to_which_no_server_answers_is_late(lateness, clock):
    for number in range(10):
        Clock.now_s += 0.02
        lateness.record_silence(f"s{number}")
    assert lateness.is_late
    assert lateness.stretch_timeout_s(TIMEOUT_S) == MAX_TIMEOUT_S


# Most servers are cut off, the others answer at once.
def test_silent_servers_are_not_taken_for_lateness(lateness, clock):
    for _ in range(5):
        answer_all(lateness, clock, 4, 0.01)
        for number in range(10, 40):
            lateness.record_silence(f"s{number}")
    assert not lateness.is_late


def test_few_servers_do_not_make_a_host_late(lateness, clock):
    answer_all(lateness, clock, 2, 0.3)
    assert not lateness.is_late


def test_a_late_event_loop_makes_a_host_late_for_a_while(lateness, clock):
    lateness.record_lag(0.5)
    assert lateness.is_late
    assert lateness.stretch_timeout_s(TIMEOUT_S) >= 0.5
    for _ in range(20):
        lateness.record_lag(0.0)
    assert not lateness.is_late
    assert lateness.stretch_timeout_s(TIMEOUT_S) == TIMEOUT_S
