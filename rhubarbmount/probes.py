"""Health, readiness and metrics endpoints for load balancers and monitoring."""

from collections.abc import Callable

import attrs
import prometheus_client

from rhubarbmount.http import HttpResponse
from rhubarbmount.problem import json_response, problem
from rhubarbmount.router import ApiRequest, Router

__all__ = ["Probes"]


@attrs.define(eq=False)
class Probes:
    """Handlers of the metrics listener."""

    instance: str
    is_ready: Callable[[], bool]
    registry: prometheus_client.CollectorRegistry

    def router(self) -> Router:
        """Create a router with these handlers."""
        router = Router()
        router.add("GET", "/healthz", self._healthz)
        router.add("GET", "/readyz", self._readyz)
        router.add("GET", "/metrics", self._metrics)
        return router

    async def _healthz(self, request: ApiRequest) -> HttpResponse:
        return json_response({"instance": self.instance})

    async def _readyz(self, request: ApiRequest) -> HttpResponse:
        if not self.is_ready():
            return problem(
                503, "not-ready", "no configuration applied yet, or shutting down"
            )
        return json_response({"ready": True})

    async def _metrics(self, request: ApiRequest) -> HttpResponse:
        body = prometheus_client.generate_latest(self.registry)
        content_type = prometheus_client.CONTENT_TYPE_LATEST.encode("ascii")
        return HttpResponse(200, [(b"content-type", content_type)], body)
