"""Prometheus metrics of the request path."""

import prometheus_client

__all__ = ["RequestMetrics"]

LATENCY_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)


class RequestMetrics:
    """Request, routing, retry and health metrics in a collector registry.

    Label values are codes of this program and names of catalogue entries, which
    bounds the number of time series.
    """

    def __init__(self, registry: prometheus_client.CollectorRegistry) -> None:
        self._requests = prometheus_client.Counter(
            "rhubarbmount_requests",
            "Callers' requests by outcome and code.",
            ["service", "outcome", "code"],
            registry=registry,
        )
        self._routes = prometheus_client.Counter(
            "rhubarbmount_routes",
            "Routing decisions by reason.",
            ["service", "reason"],
            registry=registry,
        )
        self._retries = prometheus_client.Counter(
            "rhubarbmount_retries",
            "Decisions on another attempt, by whether it was allowed and why.",
            ["service", "allowed", "reason"],
            registry=registry,
        )
        self._health = prometheus_client.Counter(
            "rhubarbmount_health_changes",
            "Changes of backend servers' standing.",
            ["pool", "action"],
            registry=registry,
        )
        self._latency_s = prometheus_client.Histogram(
            "rhubarbmount_request_seconds",
            "Time from a request's arrival to its answer.",
            ["service"],
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self._request_by_labels: dict[
            tuple[str, str, str], prometheus_client.Counter
        ] = {}
        self._route_by_labels: dict[tuple[str, str], prometheus_client.Counter] = {}
        self._latency_by_service: dict[str, prometheus_client.Histogram] = {}

    def count_request(
        self, service: str, outcome: str, code: str, latency_s: float
    ) -> None:
        """Count a completed request and record its latency."""
        labels = service, outcome, code
        counter = self._request_by_labels.get(labels)
        if counter is None:
            counter = self._request_by_labels[labels] = self._requests.labels(*labels)
        counter.inc()
        histogram = self._latency_by_service.get(service)
        if histogram is None:
            histogram = self._latency_s.labels(service)
            self._latency_by_service[service] = histogram
        histogram.observe(latency_s)

    def count_route(self, service: str, reason: str) -> None:
        """Count a routing decision."""
        labels = service, reason
        counter = self._route_by_labels.get(labels)
        if counter is None:
            counter = self._route_by_labels[labels] = self._routes.labels(*labels)
        counter.inc()

    def count_retry(self, service: str, allowed: bool, reason: str) -> None:
        """Count a retry decision."""
        self._retries.labels(service, str(allowed).lower(), reason).inc()

    def count_health_change(self, pool: str, action: str) -> None:
        """Count a change of a backend server's health state."""
        self._health.labels(pool, action).inc()
