"""Adaptive timeout of writes to the store."""

from rhubarbmount.platform.rows import (
    MAX_WRITE_TIMEOUT_S,
    MIN_WRITE_TIMEOUT_S,
    AdaptiveTimeout,
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
