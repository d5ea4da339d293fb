import random
from collections import Counter

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbmount.backend_health import MAX_FAILURE_COOLDOWN_S, AttemptResult
from rhubarbmount.health import LEAVING_S
from rhubarbmount.hosts import Host, HostState, Shape
from rhubarbmount.route_decisions import RouteReason
from rhubarbmount.routing import TAKES_NEW_WORK, PoolView
from rhubarbmount.shares import EntryHosts
from rhubarbmount.strategies import strategies

exact = settings(derandomize=True, deadline=None, database=None)
SUCCESS, FAILURE = AttemptResult.SUCCESS, AttemptResult.FAILURE


def host(host_id, data_centre="dc1", **changes):
    return Host(
        **{
            "host_id": host_id,
            "pool": "quotes",
            "data_centre": data_centre,
            "rack": "r1",
            "address": f"{host_id}:80",
            "shape": Shape(processors=16, memory_gb=64),
            **changes,
        }
    )


def make_view(hosts, entry_hosts=None, strategy="two-choices", hosts_down_limit=1):
    view = PoolView(
        "quotes",
        entry_hosts or EntryHosts("e1", "dc1", {"e1": "dc1"}),
        hosts_down_limit=hosts_down_limit,
        generator=random.Random(5),
        strategy=strategy,
    )
    view.update_hosts(hosts, 0.0)
    return view


def update_row(view, row, now_s):
    """Pass the view all rows with one of them changed, as the program does."""
    rows = {host_id: known.host for host_id, known in view.backend_by_host_id.items()}
    rows[row.host_id] = row
    view.update_hosts(rows.values(), now_s)


def choose_until_full(view, now_s=0.0):
    """Choose until no slot is free; return the decisions and the last reason."""
    decisions = []
    while (decision := view.choose(now_s)).backend is not None:
        decisions.append(decision)
    return decisions, decision.reason


def finish(view, decision, now_s=0.0, result=SUCCESS, latency_s=0.05):
    return view.finish(
        decision.backend, result, now_s, service="quotes", latency_s=latency_s
    )


@pytest.mark.parametrize("strategy", list(strategies))
def test_every_strategy_fills_each_slot_once(strategy):
    view = make_view([host("w1"), host("w2", slots=3)], strategy=strategy)
    decisions, reason = choose_until_full(view)
    taken = Counter(decision.backend.host.host_id for decision in decisions)
    assert taken == {"w1": 8, "w2": 3}
    assert reason is RouteReason.ALL_FULL


@pytest.mark.parametrize("state", sorted(set(HostState) - TAKES_NEW_WORK))
def test_a_host_out_of_service_gets_no_new_work(state):
    view = make_view([host("w1"), host("w2")])
    update_row(view, host("w1", state=state), 1.0)
    decisions, _ = choose_until_full(view, 1.0)
    assert {decision.backend.host.host_id for decision in decisions} == {"w2"}


def test_a_host_on_the_leaving_list_gets_no_new_work():
    view = make_view([host("w1"), host("w2")])
    view.set_leaving({"w1"})
    update_row(view, host("w1"), 1.0)
    decisions, _ = choose_until_full(view, 1.0)
    assert {decision.backend.host.host_id for decision in decisions} == {"w2"}


def make_view_with_a_leaving_host(now_s):
    view = make_view([host("w1"), host("w2")])
    decision = view.choose(now_s)
    finish(view, decision, now_s, result=AttemptResult.LEAVING)
    return view, decision.backend.host


def choices_by_host(view, now_s):
    decisions, _ = choose_until_full(view, now_s)
    return Counter(decision.backend.host.host_id for decision in decisions)


def test_a_host_that_reports_leaving_gets_no_new_work_for_a_bounded_time():
    view, leaving_host = make_view_with_a_leaving_host(0.0)
    assert leaving_host.host_id not in choices_by_host(view, LEAVING_S - 0.1)
    assert choices_by_host(view, LEAVING_S) == {leaving_host.host_id: 1}


def test_a_probe_answered_with_leaving_withholds_work_again():
    view, leaving_host = make_view_with_a_leaving_host(0.0)
    choices_by_host(view, 0.0)
    probe = view.choose(LEAVING_S)
    assert probe.backend.host is leaving_host
    finish(view, probe, LEAVING_S, result=AttemptResult.LEAVING)
    assert view.choose(2 * LEAVING_S - 0.1).backend is None
    assert view.choose(2 * LEAVING_S).backend.host is leaving_host


def test_late_results_do_not_restore_a_host_that_reported_leaving():
    view = make_view([host("w1")])
    first, second, third = (view.choose(0.0) for _ in range(3))
    finish(view, first, 0.0, result=AttemptResult.UNREACHABLE)
    finish(view, second, 0.1, result=AttemptResult.LEAVING)
    finish(view, third, 0.2)
    assert view.choose(LEAVING_S).backend is None


def test_a_changed_row_overrides_a_leaving_report():
    view, leaving_host = make_view_with_a_leaving_host(0.0)
    view.update_hosts([host("w1"), host("w2")], 1.0)
    assert leaving_host.host_id not in choices_by_host(view, 1.0)
    update_row(view, attrs.evolve(leaving_host, cause="returned"), 2.0)
    assert choices_by_host(view, 2.0) == {leaving_host.host_id: 8}


def test_a_host_moved_to_another_pool_is_removed_from_the_view():
    view = make_view([host("w1")])
    decision = view.choose(0.0)
    update_row(view, host("w1", pool="parts"), 1.0)
    assert view.choose(1.0).reason is RouteReason.NO_BACKEND
    assert finish(view, decision, 2.0, AttemptResult.UNREACHABLE) is None
    assert view.health.absent == set()
    assert view.choose(2.0).reason is RouteReason.NO_BACKEND


def test_the_local_data_centre_is_preferred_and_spillover_is_bounded():
    data_centre_by_entry_host = {"e1": "dc1", "e2": "dc2"}
    hosts = [host("w1"), host("w2", "dc2")]
    view = make_view(hosts, EntryHosts("e1", "dc1", data_centre_by_entry_host))
    decisions, reason = choose_until_full(view)
    reasons = [decision.reason for decision in decisions]
    assert reasons == [RouteReason.LOCAL] * 6 + [RouteReason.SPILL_FULL] * 2
    assert reason is RouteReason.ALL_FULL


def test_requests_spill_over_when_no_local_host_is_in_service():
    data_centre_by_entry_host = {"e1": "dc1", "e2": "dc2"}
    hosts = [host("w1", state=HostState.MAINTENANCE), host("w2", "dc2")]
    view = make_view(hosts, EntryHosts("e1", "dc1", data_centre_by_entry_host))
    decision = view.choose(0.0)
    assert decision.backend.host.host_id == "w2"
    assert decision.reason is RouteReason.SPILL_ABSENT


def test_entry_hosts_with_the_same_membership_never_exceed_the_slots():
    data_centre_by_entry_host = {f"e{number}": f"dc{number % 3}" for number in range(7)}
    hosts = [host(f"w{number}", f"dc{number % 3}") for number in range(9)]
    total = Counter()
    for own_id, data_centre in data_centre_by_entry_host.items():
        view = make_view(
            hosts, EntryHosts(own_id, data_centre, data_centre_by_entry_host)
        )
        decisions, _ = choose_until_full(view)
        total.update(decision.backend.host.host_id for decision in decisions)
    assert total == {item.host_id: item.slots for item in hosts}


def test_the_slots_of_a_dead_entry_host_are_redistributed():
    view = make_view([host("w1")], EntryHosts("e1", "dc1", {"e1": "dc1", "e2": "dc1"}))
    assert view.slots() == 4
    view.set_entry_hosts(EntryHosts("e1", "dc1", {"e1": "dc1"}))
    assert view.slots() == 8


def test_in_flight_requests_of_peers_affect_the_choice():
    view = make_view([host("w1"), host("w2")])
    view.set_peers_in_flight({"w1": 6})
    chosen = [view.choose(0.0).backend.host.host_id for _ in range(6)]
    assert chosen == ["w2"] * 6


def test_a_tried_backend_server_is_not_chosen_again():
    view = make_view([host("w1"), host("w2"), host("w3")])
    for _ in range(8):
        assert view.choose(0.0, ["w1", "w3"]).backend.host.host_id == "w2"
    assert view.choose(0.0, ["w1", "w3"]).reason is RouteReason.ALL_TRIED


def test_a_new_host_starts_slowly():
    hosts = [host(f"w{number}") for number in range(8)]
    view = make_view(hosts)
    view.update_hosts([*hosts, host("new")], 100.0)
    counts = [Counter(), Counter()]
    for count, now_s in zip(counts, (100.0, 120.0), strict=True):
        for _ in range(900):
            decision = view.choose(now_s)
            count[decision.backend.host.host_id] += 1
            finish(view, decision, now_s)
    assert counts[0]["new"] == 0
    assert 60 < counts[1]["new"] < 140


def test_a_host_back_from_maintenance_starts_slowly():
    view = make_view([host("w1", state=HostState.MAINTENANCE), host("w2")])
    update_row(view, host("w1"), 100.0)
    early = [view.choose(100.0).backend.host.host_id for _ in range(6)]
    late = [view.choose(120.0).backend.host.host_id for _ in range(6)]
    assert early == ["w2"] * 6
    assert late == ["w1"] * 6


def simulate(view, steps, fast, *, step_s=0.01, begin_s=0.0, rate=8, result=FAILURE):
    """Route ``rate`` requests in each step; return each host's part of them.

    The fast hosts return ``result`` at once, with a latency of 1 ms; the others
    succeed after 50 ms.
    """
    in_flight, count = [], Counter()
    for step in range(steps):
        now_s = begin_s + step * step_s
        for decision in [d for d, due_s in in_flight if due_s <= now_s]:
            finish(view, decision, now_s)
        in_flight = [(d, due_s) for d, due_s in in_flight if due_s > now_s]
        for _ in range(rate):
            decision = view.choose(now_s)
            if decision.backend is None:
                continue
            host_id = decision.backend.host.host_id
            count[host_id] += 1
            if host_id in fast:
                finish(view, decision, now_s, result, 0.001)
            else:
                in_flight.append((decision, now_s + 0.05))
    for decision, _ in in_flight:
        finish(view, decision, begin_s + steps * step_s)
    return {host_id: number / count.total() for host_id, number in count.items()}


def share_of_fast_host(strategy, result, hosts_down_limit=0):
    """Return the part of the requests that goes to a worker that answers in 1 ms."""
    view = make_view(
        [host(f"w{number}") for number in range(8)],
        strategy=strategy,
        hosts_down_limit=hosts_down_limit,
    )
    return simulate(view, 4000, {"w0"}, step_s=0.005, rate=1, result=result).get(
        "w0", 0.0
    )


def test_a_fast_worker_attracts_work_when_only_load_counts():
    assert share_of_fast_host("two-choices-load", SUCCESS) > 0.2


@pytest.mark.parametrize("hosts_down_limit", [0, 1])
@pytest.mark.parametrize("strategy", ["two-choices", "two-choices-load"])
def test_a_worker_that_fails_fast_attracts_no_work(strategy, hosts_down_limit):
    share = share_of_fast_host(strategy, FAILURE, hosts_down_limit)
    assert 0.0 < share < 0.02


def test_an_unreachable_pool_is_probed_and_recovers():
    view = make_view([host("w1")])
    finish(view, view.choose(0.0), 0.0, AttemptResult.UNREACHABLE, None)
    assert view.available_slots(0.1).free == 0
    assert view.choose(0.1).reason is RouteReason.ALL_OUT
    probe = view.choose(0.6)
    assert probe.backend is not None
    assert view.choose(0.6).backend is None
    finish(view, probe, 0.7)
    assert len(choose_until_full(view, 0.7)[0]) == 8


results = st.sampled_from(AttemptResult)
steps = st.lists(
    st.one_of(
        st.tuples(st.just("choose"), st.floats(0, 0.5), st.sets(st.integers(0, 5))),
        st.tuples(st.just("finish"), results, st.integers(0, 50)),
        st.tuples(st.just("host"), st.integers(0, 5), st.sampled_from(HostState)),
        st.tuples(st.just("members"), st.integers(1, 4), st.none()),
        st.tuples(st.just("leaving"), st.sets(st.integers(0, 5)), st.none()),
    ),
    max_size=60,
)


@exact
@given(steps, st.sampled_from(list(strategies)))
def test_the_view_stays_consistent(steps, strategy):
    hosts = {f"w{n}": host(f"w{n}", f"dc{n % 2}", slots=3) for n in range(6)}
    view = make_view(hosts.values(), strategy=strategy, hosts_down_limit=2)
    in_flight, leaving, now_s = [], set(), 0.0
    for kind, first, second in steps:
        if kind == "choose":
            now_s += first
            tried = {f"w{n}" for n in second}
            backend = view.choose(now_s, tried).backend
            if backend is not None:
                in_flight.append(backend)
                row = hosts[backend.host.host_id]
                assert row.state in TAKES_NEW_WORK
                assert row.host_id not in tried | leaving
                assert backend.own_in_flight <= backend.share <= row.slots
        elif kind == "finish" and in_flight:
            backend = in_flight.pop(second % len(in_flight))
            view.finish(backend, first, now_s, service="quotes", latency_s=0.05)
        elif kind == "host":
            host_id = f"w{first}"
            hosts[host_id] = attrs.evolve(hosts[host_id], state=second)
            update_row(view, hosts[host_id], now_s)
        elif kind == "members":
            data_centre_by_entry_host = {
                f"e{n}": f"dc{n % 2}" for n in range(1, first + 1)
            }
            view.set_entry_hosts(EntryHosts("e1", "dc1", data_centre_by_entry_host))
        elif kind == "leaving":
            leaving = {f"w{n}" for n in first}
            view.set_leaving(leaving)
        check_view(view, in_flight)


def check_view(view, in_flight):
    listed = view._local.available + view._remote.available
    for zone in (view._local, view._remote):
        for position, backend in enumerate(zone.available):
            assert backend.position == position
    for backend in view.backend_by_host_id.values():
        assert (backend in listed) == (backend.own_in_flight < backend.limit)
        assert backend.own_in_flight == in_flight.count(backend)
    serving = sum(backend.limit > 0 for backend in view.backend_by_host_id.values())
    assert serving == view._local.serving + view._remote.serving


def fill_and_finish_all(view, now_s, slow_id):
    """Fill and finish all slots; the slow host takes five times as long."""
    for decision in choose_until_full(view, now_s)[0]:
        slow = decision.backend.host.host_id == slow_id
        finish(view, decision, now_s, SUCCESS, 0.25 if slow else 0.05)


def make_view_with_a_slow_host():
    hosts = [host("w1", slots=2), host("w2", slots=2)]
    view = make_view(hosts, hosts_down_limit=0)
    for step in range(40):
        fill_and_finish_all(view, step * 0.1, "w1")
    return view


def test_a_slow_host_cools_down_while_another_is_serving():
    view = make_view_with_a_slow_host()
    chosen = {
        decision.backend.host.host_id for decision in choose_until_full(view, 3.9)[0]
    }
    assert chosen == {"w2"}


def test_the_only_serving_host_gets_work_however_slow_it_is():
    view = make_view_with_a_slow_host()
    update_row(view, host("w2", state=HostState.DRAINING), 4.0)
    for step in range(20):
        now_s = 7.0 + step * 0.1
        finish(view, view.choose(now_s), now_s, SUCCESS, 0.25)


def make_view_of_small_hosts(count=8):
    hosts = [host(f"w{number}", slots=4) for number in range(count)]
    return make_view(hosts, hosts_down_limit=0)


def test_a_worker_that_fails_fast_attracts_no_work_while_the_others_are_full():
    assert simulate(make_view_of_small_hosts(), 4000, {"w0"})["w0"] < 0.002


def test_a_pool_whose_workers_all_fail_still_gets_requests():
    ids = {f"w{number}" for number in range(8)}
    view = make_view_of_small_hosts()
    parts = simulate(view, 500, ids)
    assert parts.keys() == ids
    assert choices_by_host(view, 5.0) == dict.fromkeys(ids, 4)


def test_a_failing_worker_does_not_cool_down_when_no_other_is_serving():
    view = make_view_of_small_hosts(2)
    simulate(view, 200, {"w0"})
    view.set_leaving({"w1"})
    now_s = 2.0 + MAX_FAILURE_COOLDOWN_S
    for step in range(20):
        decision = view.choose(now_s + step * 0.01)
        finish(view, decision, now_s + step * 0.01, FAILURE, 0.001)
    assert len(choose_until_full(view, now_s + 0.2)[0]) == 4


def test_a_recovered_worker_regains_its_share_within_15_s():
    view = make_view_of_small_hosts()
    simulate(view, 1000, {"w0"})
    simulate(view, 1500, set(), begin_s=10.0)
    assert 0.11 < simulate(view, 500, set(), begin_s=25.0)["w0"] < 0.14


UNAVAILABLE_RESULTS = (
    AttemptResult.LEAVING,
    AttemptResult.UNREACHABLE,
    AttemptResult.GUARD_REFUSAL,
)


@pytest.mark.parametrize("source", ["row", "list", *UNAVAILABLE_RESULTS])
def test_an_ejected_host_serves_again_when_the_others_leave(source):
    view = make_view([host("w1"), host("w2")])
    for now_s in range(12):
        fill_and_finish_all(view, float(now_s), slow_id="w2")
    (last, *others), _ = choose_until_full(view, 12.0)
    assert {item.backend.host.host_id for item in (last, *others)} == {"w1"}
    for decision in others:
        finish(view, decision, 12.0)
    if source == "row":
        view.update_hosts([host("w1", state=HostState.LEAVING), host("w2")], 12.0)
    elif source == "list":
        view.set_leaving({"w1"})
    else:
        finish(view, last, 12.0, source)
    assert set(choices_by_host(view, 12.0)) == {"w2"}


def test_a_host_stays_ejected_while_a_leaving_host_is_within_the_limit():
    hosts = [host(f"w{number}") for number in range(1, 4)]
    view = make_view(hosts, hosts_down_limit=2)
    for now_s in range(12):
        fill_and_finish_all(view, float(now_s), slow_id="w2")
    view.set_leaving({"w1"})
    assert set(choices_by_host(view, 12.0)) == {"w3"}


def test_a_host_in_cooldown_serves_when_the_others_leave():
    view = make_view_with_a_slow_host()
    assert set(choices_by_host(view, 3.9)) == {"w2"}
    draining = host("w2", slots=2, state=HostState.DRAINING)
    view.update_hosts([host("w1", slots=2), draining], 3.9)
    assert set(choices_by_host(view, 3.9)) == {"w1"}


def test_an_ejected_host_in_cooldown_serves_when_the_others_are_unreachable():
    view = make_view([host("w1", slots=2), host("w2", slots=2)])
    for step in range(40):
        fill_and_finish_all(view, step * 0.1, "w2")
    (last, *others), _ = choose_until_full(view, 4.0)
    assert last.backend.host.host_id == "w1"
    for decision in others:
        finish(view, decision, 4.0)
    finish(view, last, 4.0, AttemptResult.UNREACHABLE)
    assert set(choices_by_host(view, 4.0)) == {"w2"}
