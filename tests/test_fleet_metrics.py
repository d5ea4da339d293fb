"""Metrics of the fleet, as exposed to a scrape."""

import prometheus_client
import pytest

from rhubarbmount.fleet_counters import FleetCounters
from rhubarbmount.fleet_metrics import FleetCollector
from rhubarbmount.hosts import HostState
from rhubarbmount.repair import RepairDuty
from tests.fleetkit import ManualClock, make_host, make_pool

POOLS = [make_pool(hosts_wanted=4, hosts_down_limit=2), make_pool("buffer")]
HOSTS = [
    make_host(0),
    make_host(1, state=HostState.DRAINING),
    make_host(2, state=HostState.RETURNING),
    make_host(0, "buffer"),
]


def scrape(held=("hosts", "waves"), counters=None):
    """Return the values of all samples by name and label values."""
    registry = prometheus_client.CollectorRegistry()
    registry.register(
        FleetCollector(
            counters or FleetCounters(),
            lambda: HOSTS,
            lambda: POOLS,
            lambda duty: duty in held,
            "buffer",
        )
    )
    return {
        (sample.name, *sample.labels.values()): sample.value
        for family in registry.collect()
        for sample in family.samples
    }


def test_the_holder_reports_hosts_budgets_and_the_buffer():
    values = scrape()
    assert values["rhubarbmount_hosts", "quotes", "in-service"] == 1
    assert values["rhubarbmount_hosts", "quotes", "draining"] == 1
    assert values["rhubarbmount_budget_left_hosts", "quotes"] == 0
    assert values["rhubarbmount_buffer_hosts",] == 1


def test_an_exceeded_budget_is_negative():
    assert scrape()["rhubarbmount_budget_left_hosts", "buffer"] < 0


@pytest.mark.parametrize("held", [(), ("hosts",), ("waves",)])
def test_what_all_entry_hosts_see_is_reported_by_the_holder_only(held):
    counters = FleetCounters()
    counters.open_waves_by_control["running"] = 1
    names = {name for name, *_ in scrape(held, counters)}
    assert ("rhubarbmount_hosts" in names) == ("hosts" in held)
    assert ("rhubarbmount_open_waves" in names) == ("waves" in held)


def test_counters_and_planning_times_are_reported_by_every_entry_host():
    counters = FleetCounters()
    counters.moves_by_pool["quotes"] += 2
    counters.add_plan(0.5)
    counters.add_plan(0.25)
    values = scrape((), counters)
    assert values["rhubarbmount_host_moves_total", "quotes"] == 2
    assert values["rhubarbmount_wave_plan_seconds_count",] == 2
    assert values["rhubarbmount_wave_plan_seconds_sum",] == 0.75


def test_a_held_repair_is_counted_once_for_each_reason():
    duty = RepairDuty(None, None, ManualClock().read)
    for code in ("no-spare", "no-spare", "hosts-exhausted"):
        duty._hold(HOSTS[0], code, 0.0)
    assert duty.counters.held_by_code == {"no-spare": 1, "hosts-exhausted": 1}
