"""Tests of the peer table, load reports and message encoding."""

from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbmount.peer_loads import LoadReporter, PeerLoads, host_hash
from rhubarbmount.peer_messages import (
    Heartbeat,
    MemberReport,
    PeerIdentity,
    Summary,
    decode_identity,
    decode_message,
    encode_identity,
    encode_message,
)
from rhubarbmount.peer_table import (
    HEARTBEAT_TIMEOUT_S,
    SUMMARY_LIFETIME_S,
    PeerTable,
    rank,
)


def identity(name, data_centre="dc-a", address=None, incarnation=None):
    return PeerIdentity(
        name, data_centre, address or f"{name}:1", incarnation or f"{name}-1"
    )


def beat(sequence=0, version=1, loads=b"", draining=False):
    return Heartbeat(sequence, version, draining, loads)


def loads(**counts):
    return LoadReporter().report(counts)


OWN_IDENTITY = identity("me")


def test_silent_peer_and_its_loads_expire():
    table = PeerTable(OWN_IDENTITY)
    table.record_heartbeat(identity("p"), beat(loads=loads(h1=5)), 0.0)
    assert table.in_flight(["h1"], HEARTBEAT_TIMEOUT_S) == {"h1": 5}
    assert table.in_flight(["h1"], HEARTBEAT_TIMEOUT_S + 0.1) == {}
    assert table.live(HEARTBEAT_TIMEOUT_S + 0.1) == []
    assert table.reports(HEARTBEAT_TIMEOUT_S + 0.1) == {}


def test_resumed_peer_is_live_with_latest_loads():
    table = PeerTable(OWN_IDENTITY)
    table.record_heartbeat(identity("p"), beat(0, loads=loads(h1=5)), 0.0)
    table.record_heartbeat(identity("p"), beat(1, loads=loads(h1=2)), 60.0)
    assert table.in_flight(["h1"], 60.0) == {"h1": 2}


def test_heartbeats_of_replaced_instance_are_ignored():
    table = PeerTable(OWN_IDENTITY)
    old = identity("old", address="10.0.0.1:1")
    new = identity("new", address="10.0.0.1:1")
    table.record_heartbeat(old, beat(loads=loads(h1=5)), 0.0)
    assert table.record_heartbeat(new, beat(), 1.0)
    assert table.in_flight(["h1"], 1.0) == {}
    assert not table.record_heartbeat(old, beat(1, loads=loads(h1=5)), 1.1)
    assert [record.identity for record in table.live(1.1)] == [new]


def test_restarted_instance_restarts_its_sequence():
    table = PeerTable(OWN_IDENTITY)
    table.record_heartbeat(identity("p"), beat(500, version=9), 0.0)
    restarted = identity("p", incarnation="p-2")
    assert table.record_heartbeat(restarted, beat(0, version=3), 1.0)
    assert table.reports(1.0)["p"].configuration_version == 3
    assert not table.record_heartbeat(identity("p"), beat(501, version=9), 1.1)


def test_out_of_order_heartbeat_is_ignored():
    table = PeerTable(OWN_IDENTITY)
    table.record_heartbeat(identity("p"), beat(5, version=2), 0.0)
    assert not table.record_heartbeat(identity("p"), beat(4, version=1), 3.0)
    assert table.reports(0.0)["p"].configuration_version == 2
    assert table.live(HEARTBEAT_TIMEOUT_S + 0.1) == []


def summary_of(data_centre, *names, version=1):
    members = [
        MemberReport(identity(name, data_centre), version, False) for name in names
    ]
    return Summary(data_centre, 1, tuple(members))


def test_unchanged_summary_is_relayed_only_periodically():
    table = PeerTable(OWN_IDENTITY)
    assert table.hear_summary(summary_of("dc-b", "b1"), 0.0)
    assert not table.hear_summary(summary_of("dc-b", "b1"), 2.0)
    assert table.hear_summary(summary_of("dc-b", "b1", version=2), 3.0)
    assert table.hear_summary(summary_of("dc-b", "b1", version=2), 33.0)
    assert table.reports(33.0)["b1"].configuration_version == 2
    assert table.reports(33.0 + SUMMARY_LIFETIME_S + 0.1) == {}


def test_summary_is_relayed_again_for_new_peer():
    table = PeerTable(OWN_IDENTITY)
    assert table.hear_summary(summary_of("dc-b", "b1"), 0.0)
    table.record_heartbeat(identity("p"), beat(), 1.0)
    assert table.hear_summary(summary_of("dc-b", "b1"), 2.0)
    assert not table.hear_summary(summary_of("dc-b", "b1"), 3.0)


def test_one_delegate_per_remote_data_centre():
    names = [f"e{n}" for n in range(7)]
    tables = [PeerTable(identity(name)) for name in names]
    for table in tables:
        for name in names:
            table.record_heartbeat(identity(name), beat(), 0.0)
    for remote in ("dc-b", "dc-c", "dc-d"):
        assert sum(table.is_delegate(remote, 0.0) for table in tables) == 1
    delegate = next(t for t in tables if t.is_delegate("dc-b", 0.0))
    others = [t for t in tables if t is not delegate]
    for table in others:
        for name in names:
            if name != delegate.own_identity.instance:
                table.record_heartbeat(identity(name), beat(1), 5.0)
    assert sum(table.is_delegate("dc-b", 5.0) for table in others) == 1


def take_due_addresses(table, now_s, sent=True):
    due = table.due_summaries(now_s)
    for data_centre, _ in due:
        table.record_summary_attempt(data_centre, sent, now_s)
    return [address for _, address in due]


def test_unresponsive_address_is_skipped():
    table = PeerTable(OWN_IDENTITY)
    table.hear_summary(summary_of("dc-b", "b1", "b2", "b3"), 0.0)
    attempted = [take_due_addresses(table, float(now)) for now in range(4, 28, 4)]
    order = rank(["b1:1", "b2:1", "b3:1"], "dc-a")
    assert attempted == [[order[n // 2]] for n in range(6)]
    table.hear_summary(summary_of("dc-b", "b1", "b2", "b3"), 28.0)
    assert take_due_addresses(table, 32.0) == [order[0]]


def test_unsent_summary_stays_due():
    table = PeerTable(OWN_IDENTITY)
    table.hear_summary(summary_of("dc-b", "b1"), 0.0)
    assert take_due_addresses(table, 4.0, sent=False) == ["b1:1"]
    assert take_due_addresses(table, 5.0) == ["b1:1"]
    assert take_due_addresses(table, 6.0) == []


def test_new_version_makes_summary_due_immediately():
    table = PeerTable(identity("me", "dc-z"))
    table.hear_summary(summary_of("dc-b", "b1"), 0.0)
    assert take_due_addresses(table, 1.0) == []
    table.request_summaries(1.0)
    assert take_due_addresses(table, 1.0) == ["b1:1"]
    assert take_due_addresses(table, 2.0) == []


def test_second_data_centre_initiates_only_without_summaries():
    table = PeerTable(identity("me", "dc-z"))
    table.hear_summary(summary_of("dc-b", "b1"), 0.0)
    assert table.due_summaries(12.0) == []
    assert table.due_summaries(12.1) == [("dc-b", "b1:1")]


@given(st.lists(st.dictionaries(st.integers(0, 40), st.integers(0, 300)), max_size=9))
@settings(derandomize=True, deadline=None, database=None)
def test_reports_converge_to_actual_loads(steps):
    reporter = LoadReporter()
    merged_loads = PeerLoads()
    final = {}
    for number, counts in enumerate(steps):
        final = {f"h{n}": count for n, count in counts.items()}
        merged_loads.take(reporter.report(final), float(number))
    for extra in range(24):
        merged_loads.take(reporter.report(final), float(len(steps) + extra))
    expected = {host_hash(h): min(c, 255) for h, c in final.items() if c}
    assert dict(merged_loads.items(float(len(steps)))) == expected


def test_refreshes_compensate_for_lost_reports():
    reporter = LoadReporter()
    merged_loads = PeerLoads()
    counts = {f"h{n}": 3 for n in range(20)}
    for _ in range(4):
        reporter.report(counts)
    for second in range(10):
        merged_loads.take(reporter.report(counts), float(second))
    assert len(dict(merged_loads.items(10.0))) == 20


def test_report_size_is_bounded_for_large_fleet():
    reporter = LoadReporter()
    sizes = [
        len(reporter.report({f"h{n}": (n * step) % 256 for n in range(2600)}))
        for step in range(20)
    ]
    assert max(sizes) <= 32


@given(st.binary(max_size=64))
@settings(derandomize=True, deadline=None, database=None, max_examples=500)
def test_arbitrary_bytes_are_decoded_without_error(body):
    decode_message(body)
    decode_identity(body)
    PeerLoads().take(body, 0.0)


def test_messages_and_identities_round_trip():
    summary = summary_of("dc-b", "b1", "b2")
    assert decode_message(encode_message(summary)) == summary
    assert decode_identity(encode_identity(OWN_IDENTITY)) == OWN_IDENTITY
