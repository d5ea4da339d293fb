"""Takes a caller's request to a backend server and brings its answer back."""

import logging
import random
from collections.abc import Mapping

import attrs
import trio

from rhubarbmount import log
from rhubarbmount.backends import ATTEMPT_HEADER, BackendConnections
from rhubarbmount.entries import Service
from rhubarbmount.hosts import Host, HostState
from rhubarbmount.http import (
    AnswerLost,
    Headers,
    HttpRequest,
    HttpResponse,
    NotSent,
)
from rhubarbmount.problem import OUTCOME_HEADER, Outcome, problem

__all__ = ["Forwarder", "service_name"]

HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    }
)

logger = logging.getLogger(__name__)


def service_name(target: str) -> str:
    """Return the service that a request's target names.

    >>> service_name("/quotes/17?full=1")
    'quotes'
    """
    path = target.split("?", 1)[0]
    return path.lstrip("/").split("/", 1)[0]


def _end_to_end(headers: Headers) -> list[tuple[bytes, bytes]]:
    return [pair for pair in headers if pair[0] not in HOP_BY_HOP_HEADERS]


@attrs.define(eq=False)
class Forwarder:
    """Serves callers' requests from the services and hosts in force."""

    data_centre: str
    connections: BackendConnections = attrs.field(factory=BackendConnections)
    service_by_name: Mapping[str, Service] = attrs.field(factory=dict)
    hosts_by_pool: Mapping[str, list[Host]] = attrs.field(factory=dict)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request within the service's timeout."""
        service = self.service_by_name.get(service_name(request.target))
        if service is None:
            return problem(404, "no-service", "no such service", Outcome.NOT_RUN)
        host = self._choose(service)
        if host is None:
            message = "no backend server is in service"
            return problem(503, "no-backend", message, Outcome.NOT_RUN, 1)
        log.event(logger, "route", service=service.name, host=host.host_id)
        return await self._attempt(service, host, request)

    def _choose(self, service: Service) -> Host | None:
        hosts = [
            host
            for host in self.hosts_by_pool.get(service.pool, ())
            if host.state is HostState.IN_SERVICE
        ]
        near = [host for host in hosts if host.data_centre == self.data_centre]
        candidates = near or hosts
        return random.choice(candidates) if candidates else None

    async def _attempt(
        self, service: Service, host: Host, request: HttpRequest
    ) -> HttpResponse:
        outgoing = attrs.evolve(request, headers=_end_to_end(request.headers))
        try:
            with trio.fail_after(service.request_timeout_ms / 1000):
                answer = await self.connections.exchange(host.address, outgoing)
        except NotSent as error:
            return problem(502, error.code, error.message, Outcome.NOT_RUN, 1)
        except AnswerLost as error:
            return problem(502, error.code, error.message, Outcome.UNKNOWN)
        except trio.TooSlowError:
            return problem(504, "timeout", "no answer in time", Outcome.UNKNOWN)
        headers = [
            pair for pair in _end_to_end(answer.headers) if pair[0] != ATTEMPT_HEADER
        ]
        headers.append((OUTCOME_HEADER, Outcome.RAN.value.encode("ascii")))
        return attrs.evolve(answer, headers=headers)
