"""How long a write waits for its answer."""

from rhubarbmount.platform.rows import MAX_PATIENCE_S, MIN_PATIENCE_S, Patience


def test_a_quick_store_is_not_waited_for_long():
    patience = Patience()
    patience.note_answer(0.007)
    assert patience.timeout_s == MIN_PATIENCE_S


def test_a_slow_store_gets_time():
    patience = Patience()
    for _ in range(4):
        patience.note_silence()
    assert patience.timeout_s == MAX_PATIENCE_S
    patience.note_answer(0.2)
    assert MIN_PATIENCE_S < patience.timeout_s < MAX_PATIENCE_S
    patience.note_answer(0.007)
    assert patience.timeout_s == MIN_PATIENCE_S
