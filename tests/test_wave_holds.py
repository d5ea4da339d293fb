"""Reasons why a wave begins no maintenance in a pool."""

import pytest

from rhubarbmount.budgets import PoolRows
from rhubarbmount.host_rows import HostRow
from rhubarbmount.hosts import HostState
from rhubarbmount.store.interface import LiveHost
from rhubarbmount.wave_holds import hold_reason
from tests.fleetkit import make_host, make_pool

MEMBERS = [HostRow(make_host(number), 1) for number in range(8)]
LIVE = [LiveHost(row.host.host_id) for row in MEMBERS]


def pool_rows(permits=None, **limits):
    return PoolRows("quotes", make_pool(**limits), 1, permits or {}, 1)


@pytest.mark.parametrize(
    ("rows", "live", "reason"),
    [
        (PoolRows("quotes", None, 0, {}, 0), LIVE, "the pool has no entry"),
        (pool_rows({"q7": "qr1"}), LIVE, "racks-exhausted"),
        (pool_rows({"q3": "qr0"}), LIVE, "hosts-exhausted"),
        (pool_rows({"q3": "qr0"}, racks_down_limit=2), LIVE, "hosts-exhausted"),
        (pool_rows({"q7": "qr1"}, hosts_down_limit=4), LIVE, "racks-exhausted"),
        (pool_rows(hosts_down_limit=2), LIVE[:4], "failures-first"),
        (pool_rows(), LIVE[4:], "all hosts that are due are out of service"),
        (pool_rows(hosts_wanted=9), LIVE, "short-of-hosts"),
        (pool_rows(), LIVE, "the wave waits for spares"),
    ],
)
def test_the_budget_that_holds_is_named(rows, live, reason):
    assert hold_reason(rows, MEMBERS, live, MEMBERS[:2], True) == reason


def test_the_due_host_closest_to_permission_determines_the_reason():
    rows = pool_rows({"q3": "qr0"}, racks_down_limit=1)
    assert hold_reason(rows, MEMBERS, LIVE, MEMBERS[::-1], True) == "hosts-exhausted"


def test_a_closed_window_and_hosts_out_of_service_are_reported():
    assert hold_reason(pool_rows(), MEMBERS, LIVE, MEMBERS, False) == (
        "outside the pool's maintenance window"
    )
    down = [HostRow(make_host(0, state=HostState.DRAINING), 1)]
    assert hold_reason(pool_rows(), down, LIVE, [], True) == (
        "all hosts that are due are out of service"
    )
