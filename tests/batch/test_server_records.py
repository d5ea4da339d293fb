"""Record of where backend servers are reached, which a holder leaves for the next."""

import attrs
import pytest

from rhubarbmount.batch.model import Server
from rhubarbmount.batch.record_fields import UnreadableRecord
from rhubarbmount.batch.server_records import ServerRecords

SERVER = Server(
    "s1", "one", "s:1", "a", False, 8000, 1, 0, frozenset(), "r", 1, host_id="m1"
)


def test_the_next_holder_learns_address_and_host():
    first_holder = ServerRecords()
    first_holder.note(SERVER)
    next_holder = ServerRecords()
    for value in first_holder.encode_changed({"s1"}).values():
        next_holder.load(value)
    found = next_holder.find("s1")
    assert (found.id, found.address, found.host_id) == ("s1", "s:1", "m1")
    assert next_holder.find("s2") is None


def test_a_row_is_written_only_when_it_changes():
    records = ServerRecords()
    records.note(SERVER)
    assert len(records.encode_changed({"s1"})) == 1
    records.note(SERVER)
    assert records.encode_changed({"s1"}) == {}
    records.note(attrs.evolve(SERVER, host_id="m2"))
    assert len(records.encode_changed({"s1"})) == 1


# Guards against a server that is in use again and whose record has been dropped.
def test_a_server_that_was_out_of_use_is_recorded_again():
    records = ServerRecords()
    records.note(SERVER)
    records.encode_changed({"s1"})
    records.note(attrs.evolve(SERVER, id="s2"))
    records.encode_changed({"s2"})
    assert records.find("s1") is None
    records.note(SERVER)
    assert b"s1" in b"".join(records.encode_changed({"s1", "s2"}).values())


@pytest.mark.parametrize(
    "value", [b"?", b"[]", b'{"s1":7}', b'{"s1":["nowhere","m"]}', b'{"s1":["s:1",7]}']
)
def test_a_row_that_can_not_be_read_is_reported_and_changes_nothing(value):
    records = ServerRecords()
    with pytest.raises(UnreadableRecord):
        records.load(value)
    assert records.find("s1") is None
