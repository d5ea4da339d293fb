"""Record of where backend servers are reached, which a holder leaves for the next."""

import json

import attrs
import pytest

from rhubarbmount.batch.catalogue import Catalogue
from rhubarbmount.batch.model import Server
from rhubarbmount.batch.record_fields import UnreadableRecord
from rhubarbmount.batch.server_records import ServerRecords
from rhubarbmount.batch.shard import Shard

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


# Guards against TWICE: a server was recorded under an id that no server has, so that an
# older build was told that it is over, and under which no later lifetime was found.
def test_the_lifetimes_of_a_server_have_one_record_under_its_name():
    first_holder = ServerRecords()
    first_holder.note(attrs.evolve(SERVER, id="s1@7"))
    first_holder.note(attrs.evolve(SERVER, id="s1@8", address="s:2"))
    values = first_holder.encode_changed({"s1"}).values()
    assert [json.loads(value) for value in values] == [{"s1": ["s:2", "m1"]}]
    next_holder = ServerRecords()
    for value in values:
        next_holder.load(value)
    found = next_holder.find("s1@7")
    assert (found.id, found.address) == ("s1@7", "s:2")
    assert [server.id for server in next_holder.all()] == ["s1"]


# Guards against a record that is dropped while tasks wait for an answer of its server:
# an older build stored it under the name, and the server is kept by its lifetime.
def test_a_record_stays_while_any_lifetime_of_its_server_is_in_use():
    shard = Shard(Catalogue(0, {}, {}))
    shard.put_server(attrs.evolve(SERVER, id="s1@7"), 0.0)
    records = ServerRecords()
    records.load(b'{"s1":["s:1","m1"]}')
    records.note(attrs.evolve(SERVER, id="s2@7"))
    records.encode_changed(shard.usages_by_server_name)
    assert records.find("s1@7") is not None
    assert records.find("s2@7") is None
