import random
from collections import Counter

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbmount.backend_health import FAILING_REST_LIMIT_S, AttemptResult
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


def open_view(hosts, entry_hosts=None, strategy="two-choices", hosts_down_limit=1):
    view = PoolView(
        "quotes",
        entry_hosts or EntryHosts("e1", "dc1", {"e1": "dc1"}),
        hosts_down_limit=hosts_down_limit,
        generator=random.Random(5),
        strategy=strategy,
    )
    view.update_hosts(hosts, 0.0)
    return view


def change_row(view, row, now_s):
    """Give the view all rows anew, one of them changed, as the program does."""
    rows = {host_id: known.host for host_id, known in view.backend_by_host_id.items()}
    rows[row.host_id] = row
    view.update_hosts(rows.values(), now_s)


def take_all(view, now_s=0.0):
    """Choose until nothing has room; return the decisions with a backend server."""
    decisions = []
    while (decision := view.choose(now_s)).backend is not None:
        decisions.append(decision)
    return decisions, decision.reason


def answer(view, decision, now_s=0.0, result=SUCCESS, latency_s=0.05):
    return view.finish(
        decision.backend, result, now_s, service="quotes", latency_s=latency_s
    )


@pytest.mark.parametrize("strategy", list(strategies))
def test_every_strategy_fills_every_slot_once(strategy):
    view = open_view([host("w1"), host("w2", slots=3)], strategy=strategy)
    decisions, reason = take_all(view)
    taken = Counter(decision.backend.host.host_id for decision in decisions)
    assert taken == {"w1": 8, "w2": 3}
    assert reason is RouteReason.ALL_FULL


@pytest.mark.parametrize("state", sorted(set(HostState) - TAKES_NEW_WORK))
def test_a_host_out_of_service_gets_no_new_work(state):
    view = open_view([host("w1"), host("w2")])
    change_row(view, host("w1", state=state), 1.0)
    decisions, _ = take_all(view, 1.0)
    assert {decision.backend.host.host_id for decision in decisions} == {"w2"}


def test_a_host_said_to_leave_by_another_source_gets_no_new_work():
    view = open_view([host("w1"), host("w2")])
    view.set_leaving({"w1"})
    change_row(view, host("w1"), 1.0)
    decisions, _ = take_all(view, 1.0)
    assert {decision.backend.host.host_id for decision in decisions} == {"w2"}


def view_with_one_leaving(now_s):
    view = open_view([host("w1"), host("w2")])
    decision = view.choose(now_s)
    answer(view, decision, now_s, result=AttemptResult.LEAVING)
    return view, decision.backend.host


def hosts_chosen(view, now_s):
    decisions, _ = take_all(view, now_s)
    return Counter(decision.backend.host.host_id for decision in decisions)


def test_a_host_that_says_it_is_leaving_gets_no_new_work_for_a_bounded_time():
    view, gone = view_with_one_leaving(0.0)
    assert gone.host_id not in hosts_chosen(view, LEAVING_S - 0.1)
    assert hosts_chosen(view, LEAVING_S) == {gone.host_id: 1}


def test_a_probe_told_again_that_the_host_is_leaving_withholds_work_again():
    view, gone = view_with_one_leaving(0.0)
    hosts_chosen(view, 0.0)
    probe = view.choose(LEAVING_S)
    assert probe.backend.host is gone
    answer(view, probe, LEAVING_S, result=AttemptResult.LEAVING)
    assert view.choose(2 * LEAVING_S - 0.1).backend is None
    assert view.choose(2 * LEAVING_S).backend.host is gone


def test_late_results_do_not_bring_back_a_host_that_says_it_is_leaving():
    view = open_view([host("w1")])
    first, second, third = (view.choose(0.0) for _ in range(3))
    answer(view, first, 0.0, result=AttemptResult.UNREACHABLE)
    answer(view, second, 0.1, result=AttemptResult.LEAVING)
    answer(view, third, 0.2)
    assert view.choose(LEAVING_S).backend is None


def test_a_changed_row_replaces_the_word_of_a_host_that_said_it_was_leaving():
    view, gone = view_with_one_leaving(0.0)
    view.update_hosts([host("w1"), host("w2")], 1.0)
    assert gone.host_id not in hosts_chosen(view, 1.0)
    change_row(view, attrs.evolve(gone, cause="returned"), 2.0)
    assert hosts_chosen(view, 2.0) == {gone.host_id: 8}


def test_a_host_moved_to_another_pool_leaves_the_view():
    view = open_view([host("w1")])
    decision = view.choose(0.0)
    change_row(view, host("w1", pool="parts"), 1.0)
    assert view.choose(1.0).reason is RouteReason.NO_BACKEND
    assert answer(view, decision, 2.0, AttemptResult.UNREACHABLE) is None
    assert view.health.absent == set()
    assert view.choose(2.0).reason is RouteReason.NO_BACKEND


def test_the_own_data_centre_comes_first_and_spill_over_is_bounded():
    places = {"e1": "dc1", "e2": "dc2"}
    hosts = [host("w1"), host("w2", "dc2")]
    view = open_view(hosts, EntryHosts("e1", "dc1", places))
    decisions, reason = take_all(view)
    reasons = [decision.reason for decision in decisions]
    assert reasons == [RouteReason.LOCAL] * 6 + [RouteReason.SPILL_FULL] * 2
    assert reason is RouteReason.ALL_FULL


def test_requests_spill_over_when_no_local_host_serves():
    places = {"e1": "dc1", "e2": "dc2"}
    hosts = [host("w1", state=HostState.MAINTENANCE), host("w2", "dc2")]
    view = open_view(hosts, EntryHosts("e1", "dc1", places))
    decision = view.choose(0.0)
    assert decision.backend.host.host_id == "w2"
    assert decision.reason is RouteReason.SPILL_ABSENT


def test_entry_hosts_that_agree_never_exceed_the_slots_together():
    places = {f"e{number}": f"dc{number % 3}" for number in range(7)}
    hosts = [host(f"w{number}", f"dc{number % 3}") for number in range(9)]
    total = Counter()
    for own_id, place in places.items():
        view = open_view(hosts, EntryHosts(own_id, place, places))
        decisions, _ = take_all(view)
        total.update(decision.backend.host.host_id for decision in decisions)
    assert total == {item.host_id: item.slots for item in hosts}


def test_the_slots_of_a_dead_entry_host_pass_to_the_live_ones():
    view = open_view([host("w1")], EntryHosts("e1", "dc1", {"e1": "dc1", "e2": "dc1"}))
    assert view.slots() == 4
    view.set_entry_hosts(EntryHosts("e1", "dc1", {"e1": "dc1"}))
    assert view.slots() == 8


def test_requests_of_peers_steer_the_choice():
    view = open_view([host("w1"), host("w2")])
    view.set_peers_in_flight({"w1": 6})
    chosen = [view.choose(0.0).backend.host.host_id for _ in range(6)]
    assert chosen == ["w2"] * 6


def test_a_tried_backend_server_is_not_chosen_again():
    view = open_view([host("w1"), host("w2"), host("w3")])
    for _ in range(8):
        assert view.choose(0.0, ["w1", "w3"]).backend.host.host_id == "w2"
    assert view.choose(0.0, ["w1", "w3"]).reason is RouteReason.ALL_TRIED


def test_a_new_host_starts_slowly():
    hosts = [host(f"w{number}") for number in range(8)]
    view = open_view(hosts)
    view.update_hosts([*hosts, host("new")], 100.0)
    counts = [Counter(), Counter()]
    for count, now_s in zip(counts, (100.0, 120.0), strict=True):
        for _ in range(900):
            decision = view.choose(now_s)
            count[decision.backend.host.host_id] += 1
            answer(view, decision, now_s)
    assert counts[0]["new"] == 0
    assert 60 < counts[1]["new"] < 140


def test_a_host_back_from_maintenance_starts_slowly():
    view = open_view([host("w1", state=HostState.MAINTENANCE), host("w2")])
    change_row(view, host("w1"), 100.0)
    early = [view.choose(100.0).backend.host.host_id for _ in range(6)]
    late = [view.choose(120.0).backend.host.host_id for _ in range(6)]
    assert early == ["w2"] * 6
    assert late == ["w1"] * 6


def play(view, steps, fast, *, step_s=0.01, begin_s=0.0, rate=8, result=FAILURE):
    """Offer requests at a rate for each step; return each host's part of them.

    The fast hosts answer with the result at once, the others succeed in 50 ms.
    """
    held, count = [], Counter()
    for step in range(steps):
        now_s = begin_s + step * step_s
        for decision in [d for d, due_s in held if due_s <= now_s]:
            answer(view, decision, now_s)
        held = [(d, due_s) for d, due_s in held if due_s > now_s]
        for _ in range(rate):
            decision = view.choose(now_s)
            if decision.backend is None:
                continue
            host_id = decision.backend.host.host_id
            count[host_id] += 1
            if host_id in fast:
                answer(view, decision, now_s, result, 0.001)
            else:
                held.append((decision, now_s + 0.05))
    for decision, _ in held:
        answer(view, decision, begin_s + steps * step_s)
    return {host_id: number / count.total() for host_id, number in count.items()}


def share_of_fast(strategy, result, hosts_down_limit=0):
    """Return the part of requests that a worker answering at once attracts."""
    view = open_view(
        [host(f"w{number}") for number in range(8)],
        strategy=strategy,
        hosts_down_limit=hosts_down_limit,
    )
    return play(view, 4000, {"w0"}, step_s=0.005, rate=1, result=result).get("w0", 0.0)


def test_a_worker_that_answers_fast_attracts_work_by_load_alone():
    assert share_of_fast("two-choices-load", SUCCESS) > 0.2


@pytest.mark.parametrize("hosts_down_limit", [0, 1])
@pytest.mark.parametrize("strategy", ["two-choices", "two-choices-load"])
def test_a_worker_that_fails_fast_attracts_no_work(strategy, hosts_down_limit):
    share = share_of_fast(strategy, FAILURE, hosts_down_limit)
    assert 0.0 < share < 0.02


def test_a_pool_out_of_reach_is_probed_and_comes_back():
    view = open_view([host("w1")])
    answer(view, view.choose(0.0), 0.0, AttemptResult.UNREACHABLE, None)
    assert view.available_slots(0.1).free == 0
    assert view.choose(0.1).reason is RouteReason.ALL_OUT
    probe = view.choose(0.6)
    assert probe.backend is not None
    assert view.choose(0.6).backend is None
    answer(view, probe, 0.7)
    assert len(take_all(view, 0.7)[0]) == 8


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
    view = open_view(hosts.values(), strategy=strategy, hosts_down_limit=2)
    held, leaving, now_s = [], set(), 0.0
    for kind, first, second in steps:
        if kind == "choose":
            now_s += first
            tried = {f"w{n}" for n in second}
            backend = view.choose(now_s, tried).backend
            if backend is not None:
                held.append(backend)
                row = hosts[backend.host.host_id]
                assert row.state in TAKES_NEW_WORK
                assert row.host_id not in tried | leaving
                assert backend.own_in_flight <= backend.share <= row.slots
        elif kind == "finish" and held:
            backend = held.pop(second % len(held))
            view.finish(backend, first, now_s, service="quotes", latency_s=0.05)
        elif kind == "host":
            host_id = f"w{first}"
            hosts[host_id] = attrs.evolve(hosts[host_id], state=second)
            change_row(view, hosts[host_id], now_s)
        elif kind == "members":
            places = {f"e{n}": f"dc{n % 2}" for n in range(1, first + 1)}
            view.set_entry_hosts(EntryHosts("e1", "dc1", places))
        elif kind == "leaving":
            leaving = {f"w{n}" for n in first}
            view.set_leaving(leaving)
        check(view, held)


def check(view, held):
    listed = view._local.available + view._remote.available
    for zone in (view._local, view._remote):
        for position, backend in enumerate(zone.available):
            assert backend.position == position
    for backend in view.backend_by_host_id.values():
        assert (backend in listed) == (backend.own_in_flight < backend.limit)
        assert backend.own_in_flight == held.count(backend)
    serving = sum(backend.limit > 0 for backend in view.backend_by_host_id.values())
    assert serving == view._local.serving + view._remote.serving


def answer_all(view, now_s, slow_id):
    """Fill all slots and answer: the slow host takes five times as long."""
    for decision in take_all(view, now_s)[0]:
        slow = decision.backend.host.host_id == slow_id
        answer(view, decision, now_s, SUCCESS, 0.25 if slow else 0.05)


def open_view_with_a_slow_host():
    hosts = [host("w1", slots=2), host("w2", slots=2)]
    view = open_view(hosts, hosts_down_limit=0)
    for step in range(40):
        answer_all(view, step * 0.1, "w1")
    return view


def test_a_slow_host_rests_while_another_serves():
    view = open_view_with_a_slow_host()
    chosen = {decision.backend.host.host_id for decision in take_all(view, 3.9)[0]}
    assert chosen == {"w2"}


def test_the_only_host_that_serves_gets_work_however_slow_it_is():
    view = open_view_with_a_slow_host()
    change_row(view, host("w2", state=HostState.DRAINING), 4.0)
    for step in range(20):
        now_s = 7.0 + step * 0.1
        answer(view, view.choose(now_s), now_s, SUCCESS, 0.25)


def open_full_view(count=8):
    hosts = [host(f"w{number}", slots=4) for number in range(count)]
    return open_view(hosts, hosts_down_limit=0)


def test_a_worker_that_fails_fast_attracts_no_work_while_the_others_are_full():
    assert play(open_full_view(), 4000, {"w0"})["w0"] < 0.002


def test_a_pool_whose_every_worker_fails_goes_on_being_tried():
    ids = {f"w{number}" for number in range(8)}
    view = open_full_view()
    parts = play(view, 500, ids)
    assert parts.keys() == ids
    assert hosts_chosen(view, 5.0) == dict.fromkeys(ids, 4)


def test_a_failing_worker_does_not_rest_when_nothing_else_serves():
    view = open_full_view(2)
    play(view, 200, {"w0"})
    view.set_leaving({"w1"})
    now_s = 2.0 + FAILING_REST_LIMIT_S
    for step in range(20):
        decision = view.choose(now_s + step * 0.01)
        answer(view, decision, now_s + step * 0.01, FAILURE, 0.001)
    assert len(take_all(view, now_s + 0.2)[0]) == 4


def test_a_mended_worker_has_its_part_again_within_15_s():
    view = open_full_view()
    play(view, 1000, {"w0"})
    play(view, 1500, set(), begin_s=10.0)
    assert 0.11 < play(view, 500, set(), begin_s=25.0)["w0"] < 0.14


GONE_RESULTS = (
    AttemptResult.LEAVING,
    AttemptResult.UNREACHABLE,
    AttemptResult.GUARD_REFUSAL,
)


@pytest.mark.parametrize("source", ["row", "list", *GONE_RESULTS])
def test_an_ejected_host_serves_again_when_the_others_leave(source):
    view = open_view([host("w1"), host("w2")])
    for now_s in range(12):
        answer_all(view, float(now_s), slow_id="w2")
    (last, *others), _ = take_all(view, 12.0)
    assert {item.backend.host.host_id for item in (last, *others)} == {"w1"}
    for decision in others:
        answer(view, decision, 12.0)
    if source == "row":
        view.update_hosts([host("w1", state=HostState.LEAVING), host("w2")], 12.0)
    elif source == "list":
        view.set_leaving({"w1"})
    else:
        answer(view, last, 12.0, source)
    assert set(hosts_chosen(view, 12.0)) == {"w2"}


def test_a_host_stays_ejected_while_another_that_leaves_is_within_the_limit():
    hosts = [host(f"w{number}") for number in range(1, 4)]
    view = open_view(hosts, hosts_down_limit=2)
    for now_s in range(12):
        answer_all(view, float(now_s), slow_id="w2")
    view.set_leaving({"w1"})
    assert set(hosts_chosen(view, 12.0)) == {"w3"}


def test_a_host_that_rests_serves_when_the_others_leave():
    view = open_view_with_a_slow_host()
    assert set(hosts_chosen(view, 3.9)) == {"w2"}
    draining = host("w2", slots=2, state=HostState.DRAINING)
    view.update_hosts([host("w1", slots=2), draining], 3.9)
    assert set(hosts_chosen(view, 3.9)) == {"w1"}


def test_an_ejected_host_that_rests_serves_when_the_others_are_out_of_reach():
    view = open_view([host("w1", slots=2), host("w2", slots=2)])
    for step in range(40):
        answer_all(view, step * 0.1, "w2")
    (last, *others), _ = take_all(view, 4.0)
    assert last.backend.host.host_id == "w1"
    for decision in others:
        answer(view, decision, 4.0)
    answer(view, last, 4.0, AttemptResult.UNREACHABLE)
    assert set(hosts_chosen(view, 4.0)) == {"w2"}
