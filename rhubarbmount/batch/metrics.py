"""Metrics of jobs and of the duties of a holder."""

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
    """Counters and histograms; label values are codes, so their number is bounded."""

    registry: prometheus_client.CollectorRegistry = attrs.field(factory=_registry)
    requests: prometheus_client.Counter = attrs.field(init=False)
    request_s: prometheus_client.Histogram = attrs.field(init=False)
    store_calls: prometheus_client.Counter = attrs.field(init=False)
    store_call_s: prometheus_client.Histogram = attrs.field(init=False)
    starts: prometheus_client.Counter = attrs.field(init=False)
    start_s: prometheus_client.Histogram = attrs.field(init=False)
    ends: prometheus_client.Counter = attrs.field(init=False)
    host_orders: prometheus_client.Counter = attrs.field(init=False)
    first_start_s: prometheus_client.Histogram = attrs.field(init=False)
    waiting_tasks: prometheus_client.Gauge = attrs.field(init=False)
    fencing_token: prometheus_client.Gauge = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.requests = self._counter(
            "requests", "Callers' requests by act and status.", ["act", "status"]
        )
        self.request_s = self._histogram(
            "request_seconds", "Time to answer a caller.", CALL_BUCKETS_S, ["act"]
        )
        self.store_calls = self._counter(
            "store_calls", "Calls to the store by outcome.", ["call", "outcome"]
        )
        self.store_call_s = self._histogram(
            "store_call_seconds",
            "Time of calls to the store.",
            CALL_BUCKETS_S,
            ["call"],
        )
        self.starts = self._counter(
            "starts", "Orders to start by outcome.", ["outcome"]
        )
        self.start_s = self._histogram(
            "start_seconds", "Time of orders to start.", CALL_BUCKETS_S
        )
        self.ends = self._counter("run_ends", "Ends of runs.", ["how"])
        self.host_orders = self._counter(
            "host_orders", "Orders to hosts.", ["act", "outcome"]
        )
        self.first_start_s = self._histogram(
            "first_start_seconds",
            "Time from a job's acceptance to its first start.",
            WAIT_BUCKETS_S,
        )
        self.waiting_tasks = prometheus_client.Gauge(
            "rhubarbmount_batch_waiting_tasks",
            "Tasks that wait for room at the holder.",
            registry=self.registry,
        )
        self.fencing_token = prometheus_client.Gauge(
            "rhubarbmount_batch_fence",
            "The fence that this host holds, or 0.",
            registry=self.registry,
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
        """Return all metrics in the text format."""
        return prometheus_client.generate_latest(self.registry)
