"""Metrics of the fleet, from its rows and from the counters of its duties."""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping

import attrs
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
    SummaryMetricFamily,
)

from rhubarbmount.budgets import SERVING_STATES
from rhubarbmount.entries import Pool
from rhubarbmount.fleet_counters import FleetCounters
from rhubarbmount.hosts import Host, HostState

__all__ = ["FleetCollector"]

HOSTS_DUTY = "hosts"
WAVES_DUTY = "waves"


@attrs.define(eq=False)
class FleetCollector:
    """Prometheus collector that computes the fleet's metrics from rows in memory.

    Values that are the same on all entry hosts are reported only by the holder of the
    duty, so that sums over entry hosts are correct.
    """

    counters: FleetCounters
    hosts: Callable[[], Iterable[Host]]
    pools: Callable[[], Iterable[Pool]]
    holds: Callable[[str], bool]
    buffer_pool: str = ""

    def collect(self) -> Iterator[Metric]:
        """Yield the current metrics."""
        yield from self._counter_metrics()
        if self.holds(WAVES_DUTY):
            yield self._open_waves()
        if self.holds(HOSTS_DUTY):
            yield from self._host_metrics()

    def _counter_metrics(self) -> Iterator[Metric]:
        counters = self.counters
        yield _counter(
            "rhubarbmount_host_moves",
            "Hosts that reached another pool.",
            "pool",
            counters.moves_by_pool,
        )
        yield _counter(
            "rhubarbmount_host_quarantines",
            "Hosts that failed and were taken out of service.",
            "pool",
            counters.quarantines_by_pool,
        )
        yield _counter(
            "rhubarbmount_repairs_held",
            "Repairs that could not begin, by reason.",
            "code",
            counters.held_by_code,
        )
        yield SummaryMetricFamily(
            "rhubarbmount_wave_plan_seconds",
            "Time to plan a maintenance wave.",
            count_value=counters.plans,
            sum_value=counters.plan_s,
        )

    def _open_waves(self) -> Metric:
        metric = GaugeMetricFamily(
            "rhubarbmount_open_waves",
            "Maintenance waves that are not over.",
            labels=["control"],
        )
        for control, count in sorted(self.counters.open_waves_by_control.items()):
            metric.add_metric([control], count)
        return metric

    def _host_metrics(self) -> Iterator[Metric]:
        counts = Counter((host.pool, host.state) for host in self.hosts())
        by_state = GaugeMetricFamily(
            "rhubarbmount_hosts", "Hosts by pool and state.", labels=["pool", "state"]
        )
        for (pool, state), count in sorted(counts.items()):
            by_state.add_metric([pool, state.value], count)
        yield by_state
        yield _budget_left(self.pools(), counts)
        if self.buffer_pool:
            yield GaugeMetricFamily(
                "rhubarbmount_buffer_hosts",
                "Hosts in service in the buffer.",
                value=counts[self.buffer_pool, HostState.IN_SERVICE],
            )


def _budget_left(
    pools: Iterable[Pool], counts: Mapping[tuple[str, HostState], int]
) -> Metric:
    """Return how many more hosts may be down, by the rows; negative if exceeded."""
    metric = GaugeMetricFamily(
        "rhubarbmount_budget_left_hosts",
        "Hosts of the pool that may still be taken out of service.",
        labels=["pool"],
    )
    members: Counter[str] = Counter()
    down: Counter[str] = Counter()
    for (pool_name, state), count in counts.items():
        members[pool_name] += count
        down[pool_name] += count if state not in SERVING_STATES else 0
    for pool in sorted(pools, key=lambda pool: pool.name):
        missing = max(0, pool.hosts_wanted - members[pool.name])
        left = pool.hosts_down_limit - down[pool.name] - missing
        metric.add_metric([pool.name], left)
    return metric


def _counter(name: str, text: str, label: str, values: Mapping[str, int]) -> Metric:
    metric = CounterMetricFamily(name, text, labels=[label])
    for key, count in sorted(values.items()):
        metric.add_metric([key], count)
    return metric
