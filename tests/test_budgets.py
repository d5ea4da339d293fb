"""Availability budgets: decisions, and the transactions that grant permits."""

from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbmount.budgets import (
    BudgetView,
    PermissionCode,
    decide,
    down_by_cause,
    read_pool_rows,
)
from rhubarbmount.host_rows import HostChange, HostRows, host_update
from rhubarbmount.hosts import HostState
from rhubarbmount.store.interface import LiveHost, Transaction, Write
from rhubarbmount.store.memory import MemoryPlatform
from tests.fleetkit import CountedPlatform, commit, fill, make_host, make_pool, pool_row


def make_view(pool, planned=(), failed=(), members=8):
    def racks(numbers):
        return {f"q{number}": f"qr{number // 4}" for number in numbers}

    return BudgetView(
        pool=pool,
        members=members,
        rack_by_planned=racks(planned),
        rack_by_failed=racks(failed),
    )


def code_of(view, number):
    return decide(view, f"q{number}", f"qr{number // 4}").code


def test_planned_failed_and_unknown_hosts_all_count():
    hosts = [make_host(0), make_host(1, state=HostState.QUARANTINED), make_host(2)]
    live = [LiveHost("q0"), LiveHost("q1"), LiveHost("q2", leaving=True)]
    planned, failed = down_by_cause(hosts, {"q0": "qr0"}, live)
    assert planned == {"q0": "qr0"}
    assert failed == {"q1": "qr0", "q2": "qr0"}


def test_hosts_and_racks_are_limited_separately():
    pool = make_pool(hosts_down_limit=3, racks_down_limit=1)
    view = make_view(pool, planned=[0])
    assert code_of(view, 1) is PermissionCode.ALLOWED
    assert code_of(view, 4) is PermissionCode.RACKS_EXHAUSTED
    full = make_view(pool, planned=[0, 1], failed=[2])
    assert code_of(full, 3) is PermissionCode.HOSTS_EXHAUSTED


def test_a_lost_rack_stops_planned_work_but_not_the_repair_of_its_hosts():
    pool = make_pool(hosts_down_limit=2, racks_down_limit=2)
    view = make_view(pool, failed=[0, 1, 2, 3])
    assert code_of(view, 4) is PermissionCode.FAILURES_FIRST
    assert code_of(view, 0) is PermissionCode.ALREADY_DOWN


def test_missing_hosts_count_against_the_budget():
    pool = make_pool(hosts_down_limit=2)
    assert code_of(make_view(pool, members=7), 0) is PermissionCode.ALLOWED
    assert code_of(make_view(pool, members=6), 0) is PermissionCode.SHORT_OF_HOSTS


listings = st.sampled_from(["live", "leaving", "absent"])


@settings(derandomize=True, deadline=None, database=None, max_examples=200)
@given(
    states=st.lists(st.sampled_from(list(HostState)), min_size=8, max_size=8),
    listed=st.lists(listings, min_size=8, max_size=8),
    permits=st.sets(st.integers(0, 7)),
    limits=st.tuples(st.integers(0, 5), st.integers(0, 2)),
)
def test_a_lagging_list_only_lowers_what_is_allowed(states, listed, permits, limits):
    pool = make_pool(hosts_down_limit=limits[0], racks_down_limit=limits[1])
    hosts = [make_host(n, state=state) for n, state in enumerate(states)]
    granted = {f"q{n}": f"qr{n // 4}" for n in permits}
    all_live = [LiveHost(host.host_id) for host in hosts]
    seen_live = [
        LiveHost(host.host_id, leaving=how == "leaving")
        for host, how in zip(hosts, listed, strict=True)
        if how != "absent"
    ]

    def allowed(live):
        planned, failed = down_by_cause(hosts, granted, live)
        view = BudgetView(
            pool=pool, members=8, rack_by_planned=planned, rack_by_failed=failed
        )
        return {
            host.host_id
            for host in hosts
            if decide(view, host.host_id, host.rack).code is PermissionCode.ALLOWED
        }

    assert allowed(seen_live) <= allowed(all_live)


async def test_two_planners_cannot_both_take_the_last_slot():
    platform = MemoryPlatform()
    await fill(platform, [make_pool()], [make_host(n) for n in range(8)])
    first = await read_pool_rows(platform, "quotes")
    second = await read_pool_rows(platform, "quotes")
    won = await commit(platform, "a", first.grant_update({"q0": "qr0"}))
    lost = await commit(platform, "b", second.grant_update({"q1": "qr0"}))
    assert won.committed
    assert lost.conflicts == (("budgets", "quotes"),)


async def test_an_entry_that_shrinks_meanwhile_voids_the_permission():
    platform = MemoryPlatform()
    await fill(platform, [make_pool(hosts_down_limit=2)], [make_host(0)])
    rows = await read_pool_rows(platform, "quotes")
    shrunk = Write("entries", "pool/quotes", pool_row(make_pool(hosts_down_limit=0)))
    await platform.transact(Transaction("shrink", (), (shrunk,)))
    late = await commit(platform, "late", rows.grant_update({"q0": "qr0"}))
    assert late.conflicts == (("entries", "pool/quotes"),)


async def test_a_view_reads_only_hosts_that_changed():
    platform = CountedPlatform()
    await fill(platform.inner, [make_pool()], [make_host(n) for n in range(8)])
    view = HostRows(platform)
    await view.refresh()
    changed = make_host(3, state=HostState.DRAINING)
    change = HostChange(view.row_by_host_id["q3"], changed)
    await commit(platform, "x", host_update(view.head, [change]))
    platform.calls.clear()
    await view.refresh()
    assert view.row_by_host_id["q3"].host == changed
    assert platform.calls == {("read", "heads"): 1, ("read", "hosts"): 1}
