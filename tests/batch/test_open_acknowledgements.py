"""Acknowledgements without an answer, which a later lifetime may carry out."""

from rhubarbmount.batch.open_acknowledgements import OpenAcknowledgements
from rhubarbmount.batch.unsettled_starts import MAX_AGE_S

EARLIER, LATER, LAST = "s@1", "s@2", "s@3"


# Guards against TWICE: a lifetime is trusted that an acknowledgement may reach.
def test_a_call_without_an_answer_may_reach_each_other_lifetime_of_the_name():
    calls = OpenAcknowledgements()
    calls.note(EARLIER, 100.0)
    assert calls.may_reach(LATER, 100.0)
    assert calls.may_reach(LAST, 100.0 + MAX_AGE_S)
    assert not calls.may_reach(LAST, 100.1 + MAX_AGE_S)


def test_a_call_reaches_neither_its_lifetime_as_another_nor_other_names():
    calls = OpenAcknowledgements()
    calls.note(EARLIER, 100.0)
    assert not calls.may_reach(EARLIER, 100.0)
    assert not calls.may_reach("t@2", 100.0)


# Guards against servers that are tried for nothing.
def test_a_call_that_its_lifetime_answered_reaches_no_other():
    calls = OpenAcknowledgements()
    first, second = calls.note(EARLIER, 100.0), calls.note(EARLIER, 100.5)
    calls.settle(EARLIER, second)
    assert calls.may_reach(LATER, 101.0)
    calls.settle(EARLIER, first)
    assert not calls.may_reach(LATER, 101.0)


# Guards against a lifetime that is trusted as only the one before it had open calls.
def test_calls_for_each_earlier_lifetime_count():
    calls = OpenAcknowledgements()
    calls.settle(EARLIER, calls.note(EARLIER, 100.0))
    calls.note(LATER, 101.0)
    assert calls.may_reach(LAST, 102.0)


# Guards against memory that grows with the calls, or with names that are gone.
def test_old_calls_are_forgotten():
    calls = OpenAcknowledgements()
    for number in range(100):
        calls.note(f"s{number}@1", 100.0)
    calls.note("t@1", 100.1 + MAX_AGE_S)
    assert list(calls._call_by_number_by_name) == ["t"]
    assert len(calls._sent) == 1
