"""Adaptive timeout of writes to the store, and what its clock reads."""

import pytest

from rhubarbmount.platform.rows import (
    MAX_WRITE_TIMEOUT_S,
    MIN_WRITE_TIMEOUT_S,
    AdaptiveTimeout,
    ClockOffset,
)


def test_write_timeout_is_minimal_for_a_fast_store():
    write_timeout = AdaptiveTimeout()
    write_timeout.note_response(0.007)
    assert write_timeout.timeout_s == MIN_WRITE_TIMEOUT_S


def test_write_timeout_adapts_to_a_slow_store():
    write_timeout = AdaptiveTimeout()
    for _ in range(4):
        write_timeout.note_timeout()
    assert write_timeout.timeout_s == MAX_WRITE_TIMEOUT_S
    write_timeout.note_response(0.2)
    assert MIN_WRITE_TIMEOUT_S < write_timeout.timeout_s < MAX_WRITE_TIMEOUT_S
    write_timeout.note_response(0.007)
    assert write_timeout.timeout_s == MIN_WRITE_TIMEOUT_S


def test_clock_of_the_store_lies_between_the_bounds_of_all_responses():
    offset = ClockOffset()
    offset.note(50_000, sent_s=9.9, read_s=10.1)
    assert offset.least_s == pytest.approx(39.9)
    assert offset.most_s == pytest.approx(40.101)
    # A response that waited at the store says less.
    offset.note(51_000, sent_s=10.2, read_s=11.05)
    assert offset.least_s == pytest.approx(39.95)
    assert offset.most_s == pytest.approx(40.101)


def test_clock_that_has_drifted_is_read_anew():
    offset = ClockOffset()
    offset.note(50_000, sent_s=9.9, read_s=10.1)
    offset.note(1_052_000, sent_s=1010.0, read_s=1010.1)
    assert offset.least_s == pytest.approx(41.9)
    assert offset.most_s == pytest.approx(42.001)
