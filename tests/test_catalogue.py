"""Catalogue snapshots and the checks across entries."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbmount.catalogue import (
    Snapshot,
    build_entry,
    decode_snapshot,
    encode_snapshot,
)
from rhubarbmount.catalogue_checks import (
    FleetSummary,
    check_edit,
    dependents,
    find_faults,
)
from rhubarbmount.entries import JobTemplate, Pool, Service, Team
from rhubarbmount.errors import FindingsError


def collective() -> Snapshot:
    snapshot = Snapshot()
    team = Team(name="firm-a", owner="firm-a", processors_quota=8, memory_quota_gb=8)
    snapshot = snapshot.with_entry("team", team)
    pool = Pool(name="shared", owner="firm-a", hosts_wanted=6)
    snapshot = snapshot.with_entry("pool", pool)
    service = Service(name="filing", owner="firm-a", pool="shared")
    return snapshot.with_entry("service", service)


def codes(faults):
    return [(fault.place, fault.code) for fault in faults]


def test_a_snapshot_comes_back_whole_from_its_bytes():
    snapshot = collective()
    assert decode_snapshot(encode_snapshot(snapshot)) == snapshot


@given(st.integers(0, 10_000), st.integers(0, 255))
@settings(derandomize=True, deadline=None, database=None, max_examples=200)
def test_damaged_bytes_never_decode_to_another_catalogue(place, byte):
    body = bytearray(encode_snapshot(collective()))
    body[place % len(body)] = byte
    try:
        assert decode_snapshot(bytes(body)) == collective()
    except FindingsError as error:
        assert error.findings[0].code == "undecodable"


def test_truncated_bytes_are_refused():
    body = encode_snapshot(collective())
    for length in range(len(body)):
        with pytest.raises(FindingsError):
            decode_snapshot(body[:length])


def test_unknown_pools_and_teams_are_found_together():
    service = Service(name="quotes", owner="nobody", pool="nowhere")
    faults = find_faults(collective().with_entry("service", service))
    assert codes(faults) == [
        ("service/quotes:pool/nowhere", "unknown-pool"),
        ("service/quotes:team/nobody", "unknown-team"),
    ]


def test_values_out_of_range_are_found():
    pool = Pool(name="Bad", owner="firm-a", hosts_wanted=-1, window_start_hour=25)
    service = Service(name="s", owner="firm-a", pool="shared", retry_share=float("nan"))
    faults = find_faults(
        collective().with_entry("pool", pool).with_entry("service", service)
    )
    assert codes(faults) == [
        ("pool/Bad.name", "bad-name"),
        ("pool/Bad.hosts_wanted", "out-of-range"),
        ("pool/Bad.window_start_hour", "out-of-range"),
        ("pool/Bad.hosts_down_limit", "over-capacity"),
        ("service/s.retry_share", "out-of-range"),
    ]


def test_a_template_keeps_to_its_own_teams_quota():
    template = JobTemplate(
        name="t", owner="firm-a", team="firm-a", pool="shared", processors=9
    )
    after = collective().with_entry("job-template", template)
    assert codes(check_edit(collective(), after)) == [
        ("job-template/t.processors", "over-quota")
    ]


def test_a_template_cannot_spend_another_teams_quota():
    before = collective().with_entry("team", Team(name="firm-b", owner="firm-b"))
    template = JobTemplate(name="t", owner="firm-b", team="firm-a", pool="shared")
    after = before.with_entry("job-template", template)
    assert codes(check_edit(before, after)) == [
        ("job-template/t.team", "foreign-quota")
    ]


def test_pools_cannot_want_more_hosts_than_the_fleet_has():
    before = collective()
    pool = Pool(name="second", owner="firm-a", hosts_wanted=2, buffer_hosts=1)
    after = before.with_entry("pool", pool)
    assert check_edit(before, after, FleetSummary(1, {"shared": 9})) == []
    faults = check_edit(before, after, FleetSummary(1, {"shared": 8}))
    assert codes(faults) == [("pool", "over-fleet")]


def test_a_fault_that_stood_before_does_not_bar_an_edit():
    before = collective()
    smaller = Pool(name="shared", owner="firm-a", hosts_wanted=5)
    after = before.with_entry("pool", smaller)
    assert check_edit(before, after, FleetSummary(1, {"shared": 2})) == []


def test_dependents_of_a_pool_and_of_a_team_are_listed():
    assert dependents(collective(), "pool/shared") == ["service/filing"]
    assert dependents(collective(), "team/firm-a") == ["pool/shared", "service/filing"]
    assert dependents(collective(), "service/filing") == []


def test_a_pool_with_hosts_is_not_removed():
    before = collective().without_entry("service/filing")
    after = before.without_entry("pool/shared")
    faults = check_edit(before, after, FleetSummary(1, {"shared": 1}))
    assert codes(faults) == [("pool/shared", "pool-in-use")]


def test_malformed_values_are_reported_with_their_place():
    with pytest.raises(FindingsError) as caught:
        build_entry("pool", {"name": "p", "owner": "o", "hosts_wanted": "x", "c": 1})
    assert {finding.place for finding in caught.value.findings} == {"pool/p"}
