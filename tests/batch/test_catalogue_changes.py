"""Tests of changes of the configuration, and of their rows."""

import random

import pytest

from rhubarbmount.batch.catalogue import Catalogue, Pool
from rhubarbmount.batch.catalogue_changes import (
    MAX_CHANGE_BYTES,
    KnownCatalogue,
    advance,
    decode_changes,
    decode_known,
    encode_known,
    encode_newest,
    find_change,
)
from rhubarbmount.batch.model import Queue, QueueName
from rhubarbmount.batch.record_fields import UnreadableRecord

POOLS = {"one": Pool("one", False, True), "rest": Pool("rest", True)}


def make_catalogue(version, prefixes, attempts=3, pools=POOLS):
    names = [QueueName("a.example", prefix) for prefix in prefixes]
    queues = {name: Queue(name, "one", 0, attempts, 1.6, 0.6) for name in names}
    return Catalogue(version, queues, pools, row_version=version * 10)


def random_versions(generator, count):
    prefixes = [f"/{number}/" for number in range(20)]
    for version in range(1, count + 1):
        kept = generator.sample(prefixes, generator.randint(0, 20))
        pools = POOLS if generator.random() < 0.7 else {"one": POOLS["one"]}
        yield make_catalogue(version, kept, generator.randint(1, 3), pools)


@pytest.mark.parametrize("seed", range(20))
def test_changes_lead_from_any_version_to_the_newest(seed):
    versions = list(random_versions(random.Random(seed), 8))
    changes = [find_change(*pair) for pair in zip(versions, versions[1:], strict=False)]
    value, kept = encode_newest(changes)
    assert list(kept) == changes
    for catalogue in versions:
        found = advance(catalogue, decode_changes(value))
        assert found == versions[-1]


def test_changes_that_do_not_follow_change_nothing():
    first, second, third = (make_catalogue(at, ["/x/"] * at) for at in (1, 2, 3))
    assert advance(first, [find_change(second, third)]) == first


def test_the_oldest_changes_are_left_out_where_they_do_not_fit():
    generator = random.Random(1)
    versions = [make_catalogue(1, ["/x/"])]
    for version in range(2, 60):
        prefixes = [f"/{generator.getrandbits(64):x}/" for _ in range(40)]
        versions.append(make_catalogue(version, prefixes))
    changes = [find_change(*pair) for pair in zip(versions, versions[1:], strict=False)]
    value, kept = encode_newest(changes)
    assert 1 < len(kept) < len(changes)
    assert list(kept) == changes[-len(kept) :]
    assert advance(versions[-2], decode_changes(value)) == versions[-1]
    assert advance(versions[0], decode_changes(value)) == versions[0]


def test_a_change_that_is_too_large_is_left_out():
    generator = random.Random(1)
    prefixes = [f"/{generator.getrandbits(128):x}/" for _ in range(5000)]
    change = find_change(make_catalogue(1, []), make_catalogue(2, prefixes))
    value, kept = encode_newest([change])
    assert (list(kept), decode_changes(value)) == ([], [])
    assert len(value) < MAX_CHANGE_BYTES


def test_what_is_known_is_read_as_it_was_written():
    known = KnownCatalogue(17, 3.5)
    assert decode_known(encode_known(known)) == known


@pytest.mark.parametrize("value", [b"", b"odd", b"{}", b"[1]", b"null"])
def test_rows_that_can_not_be_read_are_refused(value):
    with pytest.raises(UnreadableRecord):
        decode_changes(value)
    with pytest.raises(UnreadableRecord):
        decode_known(value)
