"""How long a write waits for its answer."""

from rhubarbmount.platform.rows import (
    MAX_WRITE_TIMEOUT_S,
    MIN_WRITE_TIMEOUT_S,
    AdaptiveTimeout,
)


def test_a_quick_store_is_not_waited_for_long():
    write_timeout = AdaptiveTimeout()
    write_timeout.note_answer(0.007)
    assert write_timeout.timeout_s == MIN_WRITE_TIMEOUT_S


def test_a_slow_store_gets_time():
    write_timeout = AdaptiveTimeout()
    for _ in range(4):
        write_timeout.note_timeout()
    assert write_timeout.timeout_s == MAX_WRITE_TIMEOUT_S
    write_timeout.note_answer(0.2)
    assert MIN_WRITE_TIMEOUT_S < write_timeout.timeout_s < MAX_WRITE_TIMEOUT_S
    write_timeout.note_answer(0.007)
    assert write_timeout.timeout_s == MIN_WRITE_TIMEOUT_S
