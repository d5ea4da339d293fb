"""Prometheus metrics of job requests and of scheduling by the holder."""

from collections.abc import Sequence

import attrs
import prometheus_client

__all__ = ["BatchMetrics"]

CALL_BUCKETS_S = (0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5)
WAIT_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0)


def _registry() -> prometheus_client.CollectorRegistry:
    return prometheus_client.CollectorRegistry()


@attrs.define(eq=False)
class BatchMetrics:
    """The metrics of one entry host.

    Label values are codes from fixed sets, which bounds the number of time series.
    """

    registry: prometheus_client.CollectorRegistry = attrs.field(factory=_registry)
    requests: prometheus_client.Counter = attrs.field(init=False)
    request_s: prometheus_client.Histogram = attrs.field(init=False)
    store_calls: prometheus_client.Counter = attrs.field(init=False)
    store_call_s: prometheus_client.Histogram = attrs.field(init=False)
    starts: prometheus_client.Counter = attrs.field(init=False)
    start_s: prometheus_client.Histogram = attrs.field(init=False)
    ends: prometheus_client.Counter = attrs.field(init=False)
    stragglers: prometheus_client.Counter = attrs.field(init=False)
    discarded_core_s: prometheus_client.Counter = attrs.field(init=False)
    lapsed_tasks: prometheus_client.Counter = attrs.field(init=False)
    lost_runs: prometheus_client.Counter = attrs.field(init=False)
    given_up_tasks: prometheus_client.Counter = attrs.field(init=False)
    held_tasks: prometheus_client.Counter = attrs.field(init=False)
    pending_age_s: prometheus_client.Histogram = attrs.field(init=False)
    requests_age_s: prometheus_client.Gauge = attrs.field(init=False)
    catalogue_age_s: prometheus_client.Histogram = attrs.field(init=False)
    host_orders: prometheus_client.Counter = attrs.field(init=False)
    first_start_s: prometheus_client.Histogram = attrs.field(init=False)
    placing_s: prometheus_client.Histogram = attrs.field(init=False)
    committing_s: prometheus_client.Histogram = attrs.field(init=False)
    waiting_tasks: prometheus_client.Gauge = attrs.field(init=False)
    loop_lag_s: prometheus_client.Histogram = attrs.field(init=False)
    is_late: prometheus_client.Gauge = attrs.field(init=False)
    fencing_token: prometheus_client.Gauge = attrs.field(init=False)
    unreadable_rows: prometheus_client.Counter = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.requests = self._counter(
            "requests",
            "Requests of callers by HTTP method and status code.",
            ["act", "status"],
        )
        self.request_s = self._histogram(
            "request_seconds",
            "Time to respond to a request of a caller.",
            CALL_BUCKETS_S,
            ["act"],
        )
        self.store_calls = self._counter(
            "store_calls",
            "Calls to the store by call and outcome.",
            ["call", "outcome"],
        )
        self.store_call_s = self._histogram(
            "store_call_seconds",
            "Duration of calls to the store.",
            CALL_BUCKETS_S,
            ["call"],
        )
        self.starts = self._counter(
            "starts", "Start commands to backend servers by outcome.", ["outcome"]
        )
        self.start_s = self._histogram(
            "start_seconds",
            "Duration of start commands to backend servers.",
            CALL_BUCKETS_S,
        )
        self.ends = self._counter("run_ends", "Ended runs by outcome.", ["how"])
        self.stragglers = self._counter(
            "stragglers", "Runs stopped to begin again elsewhere.", ["reason"]
        )
        self.discarded_core_s = self._counter(
            "discarded_core_seconds",
            "Work of runs stopped to begin again elsewhere, checkpoints not deducted.",
            ["reason"],
        )
        self.lapsed_tasks = self._counter(
            "lapsed_tasks",
            "Tasks released as every lease on their silent server has lapsed, by what "
            "told when those of earlier holders have.",
            ["bound"],
        )
        self.lost_runs = self._counter(
            "lost_runs", "Runs lost with their server, by how it ended.", ["end"]
        )
        self.given_up_tasks = prometheus_client.Counter(
            "rhubarbmount_batch_given_up_tasks",
            "Tasks given up because they crash their servers; their jobs failed.",
            registry=self.registry,
        )
        self.held_tasks = prometheus_client.Counter(
            "rhubarbmount_batch_held_tasks",
            "Tasks that last and get no more runs as they crash their servers.",
            registry=self.registry,
        )
        self.pending_age_s = self._histogram(
            "pending_age_seconds",
            "Age of the counts of waiting jobs when they were read for a caller.",
            WAIT_BUCKETS_S,
        )
        self.host_orders = self._counter(
            "host_orders",
            "Move and maintenance commands to hosts by outcome.",
            ["act", "outcome"],
        )
        self.first_start_s = self._histogram(
            "first_start_seconds",
            "Time from the acceptance of a job to the start of its first task.",
            WAIT_BUCKETS_S,
        )
        self.placing_s = self._histogram(
            "placing_seconds",
            "Duration of the placement of waiting tasks, per scheduling pass.",
            CALL_BUCKETS_S,
        )
        self.committing_s = self._histogram(
            "committing_seconds",
            "Time until the changes of a scheduling pass are stored.",
            CALL_BUCKETS_S,
        )
        self.requests_age_s = prometheus_client.Gauge(
            "rhubarbmount_batch_requests_age_seconds",
            "Time since which the holder may not have heard of all requests.",
            registry=self.registry,
        )
        self.catalogue_age_s = self._histogram(
            "catalogue_age_seconds",
            "Time since which a host may not have heard of all changes of the "
            "configuration, when it used that for a caller.",
            WAIT_BUCKETS_S,
        )
        self.waiting_tasks = prometheus_client.Gauge(
            "rhubarbmount_batch_waiting_tasks",
            "Tasks of the shard that wait for capacity, at the holder.",
            registry=self.registry,
        )
        self.loop_lag_s = self._histogram(
            "loop_lag_seconds",
            "How much later than due the timers of the holder fired.",
            CALL_BUCKETS_S,
        )
        self.is_late = prometheus_client.Gauge(
            "rhubarbmount_batch_late",
            "Whether this host reads the responses of most backend servers late.",
            registry=self.registry,
        )
        self.fencing_token = prometheus_client.Gauge(
            "rhubarbmount_batch_fence",
            "Fencing token of the lease that this host holds, or 0.",
            registry=self.registry,
        )
        self.unreadable_rows = self._counter(
            "unreadable_rows",
            "Rows of the project's own that could not be read, by table.",
            ["table"],
        )

    def _counter(
        self, name: str, text: str, labels: list[str]
    ) -> prometheus_client.Counter:
        return prometheus_client.Counter(
            f"rhubarbmount_batch_{name}", text, labels, registry=self.registry
        )

    def _histogram(
        self,
        name: str,
        text: str,
        buckets: tuple[float, ...],
        labels: Sequence[str] = (),
    ) -> prometheus_client.Histogram:
        return prometheus_client.Histogram(
            f"rhubarbmount_batch_{name}",
            text,
            labels,
            buckets=buckets,
            registry=self.registry,
        )

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)
