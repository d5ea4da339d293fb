"""Record of the lifetimes that had tasks, which a holder leaves for the next."""

import json

import pytest

from rhubarbmount.batch.record_fields import UnreadableRecord
from rhubarbmount.batch.unsettled_starts import MAX_AGE_S
from rhubarbmount.batch.used_lifetimes import UsedLifetimes

LOADED_AT_S = 100.0
NAMES = {"s", "t"}


def hand_on(*noted):
    """Return what the next holder loads after lifetimes were noted."""
    first_holder = UsedLifetimes()
    for server_id, is_certain in noted:
        first_holder.note(server_id, is_certain)
    next_holder = UsedLifetimes(is_complete=False, read_at_s=0.0)
    for value in first_holder.encode_changed(NAMES, 0.0).values():
        next_holder.load(value)
    next_holder.note_loaded(LOADED_AT_S)
    return next_holder


def lacks(record, server_id, now_s=LOADED_AT_S, has_tasks=False):
    return record.may_lack_ends(server_id, now_s, has_tasks)


# Guards against TWICE: what the last holder acknowledged to an earlier lifetime.
def test_another_lifetime_of_a_recorded_server_may_lack_ends():
    record = hand_on(("s@5", True))
    assert lacks(record, "s@9")
    assert lacks(record, "s@9", LOADED_AT_S + MAX_AGE_S)
    assert not lacks(record, "s@9", LOADED_AT_S + MAX_AGE_S + 0.1)


def test_the_recorded_lifetime_and_other_servers_lack_none():
    record = hand_on(("s@5", True))
    assert not lacks(record, "s@5")
    assert not lacks(record, "t@5")


# Guards against TWICE: the last holder had started a trial there, or none yet.
def test_a_recorded_lifetime_that_was_in_doubt_may_lack_ends():
    record = hand_on(("s@4", True), ("s@5", False))
    assert lacks(record, "s@5", LOADED_AT_S + MAX_AGE_S + 0.1)
    assert lacks(record, "s@5", has_tasks=True)
    assert not lacks(hand_on(("s@5", False), ("s@5", True)), "s@5")


# Guards against runs that are stopped after a takeover from an older build, which makes
# no record: what is recorded is of a holder before it.
def test_a_lifetime_with_tasks_that_is_not_recorded_lacks_none():
    record = hand_on(("s@5", True))
    assert not lacks(record, "s@9", has_tasks=True)


def test_without_the_record_only_lifetimes_with_tasks_lack_none():
    record = UsedLifetimes(is_complete=False, read_at_s=LOADED_AT_S)
    assert lacks(record, "s@5")
    assert not lacks(record, "s@5", has_tasks=True)
    # Guards against trials of each new server for as long as a row can't be read.
    assert not lacks(record, "s@9", LOADED_AT_S + MAX_AGE_S + 0.1)


# Guards against a holder that takes its own use of a lifetime for that of the last one.
def test_what_this_holder_notes_changes_no_doubt():
    record = hand_on(("s@5", True))
    record.note("s@9", True)
    assert lacks(record, "s@9")


def test_a_row_is_written_only_when_it_changes():
    record = UsedLifetimes()
    record.note("s@5", True)
    (value,) = record.encode_changed(NAMES, 0.0).values()
    assert json.loads(value) == {"s": [5, True]}
    record.note("s@5", True)
    assert record.encode_changed(NAMES, 0.0) == {}
    record.note("s@5", False)
    assert len(record.encode_changed(NAMES, 0.0)) == 1


def names_written(record, names_in_use, now_s):
    """Return the names in the rows of two servers, which are noted anew."""
    record.note("s@6", now_s % 2.0 < 1.0)
    record.note("t@6", now_s % 2.0 < 1.0)
    values = record.encode_changed(names_in_use, now_s).values()
    return {name for value in values for name in json.loads(value)}


# Guards against TWICE: the next lifetime of a server that has no row for a while is
# trusted by the next holder.
def test_servers_are_left_out_only_some_time_after_their_use():
    record = hand_on(("s@5", True), ("t@5", True))
    assert names_written(record, NAMES, 100.0) == {"s", "t"}
    assert names_written(record, {"t"}, 101.0) == {"s", "t"}
    assert names_written(record, {"t"}, 100.0 + MAX_AGE_S) == {"s", "t"}
    assert names_written(record, NAMES, 101.0 + MAX_AGE_S) == {"s", "t"}
    assert names_written(record, {"t"}, 102.0 + MAX_AGE_S) == {"s", "t"}
    assert names_written(record, {"t"}, 103.0 + 2 * MAX_AGE_S) == {"t"}


# A server that does not tell when it began has lifetimes that can't be told apart.
def test_a_lifetime_without_a_time_of_its_start_is_not_recorded():
    record = UsedLifetimes()
    record.note("s", True)
    assert record.encode_changed(NAMES, 0.0) == {}


def test_fields_of_a_newer_build_are_ignored():
    record = UsedLifetimes(is_complete=False)
    record.load(b'{"s":[5,false,"new"]}')
    assert lacks(record, "s@5", has_tasks=True)


@pytest.mark.parametrize(
    "value", [b"?", b"[]", b'{"s":7}', b'{"s":[5]}', b'{"s":["5",true]}']
)
def test_a_row_that_can_not_be_read_is_reported_and_changes_nothing(value):
    record = UsedLifetimes(is_complete=False)
    with pytest.raises(UnreadableRecord):
        record.load(value)
    assert record._earlier_by_name == {}
