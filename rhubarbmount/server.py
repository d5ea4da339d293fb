"""One entry host: its tasks, what they share, and its graceful stop."""

import logging
import signal
from typing import Any

import attrs
import prometheus_client
import trio

from rhubarbmount import log
from rhubarbmount.backends import BackendConnections
from rhubarbmount.catalogue import decode_snapshot
from rhubarbmount.claim_guard import Claims
from rhubarbmount.errors import RhubarbmountError
from rhubarbmount.forward import Forwarder
from rhubarbmount.hosts import HOSTS_TABLE, load_host
from rhubarbmount.http import HttpResponse
from rhubarbmount.listener import Listener
from rhubarbmount.metrics import RequestMetrics
from rhubarbmount.platform import http as _http_adapter  # noqa: F401
from rhubarbmount.platform import memory as _memory_adapter  # noqa: F401
from rhubarbmount.platform.client import PlatformClient, open_client
from rhubarbmount.platform.interface import Platform, platforms
from rhubarbmount.problem import json_response, problem
from rhubarbmount.request_policy import RequestPolicy
from rhubarbmount.router import Call, Router
from rhubarbmount.settings import PlatformSettings, Settings
from rhubarbmount.shares import EntryHosts
from rhubarbmount.timers import TimerService

__all__ = ["EntryHost"]

CONFIGURATION_PERIOD_S = 1.0

logger = logging.getLogger(__name__)


def open_platform(settings: PlatformSettings) -> Platform:
    """Return the adapter that the settings name."""
    adapter = platforms.get(settings.adapter)
    if settings.adapter == "memory":
        return adapter()
    return adapter(settings.address, settings.timeout_s)


@attrs.define(eq=False)
class EntryHost:
    """The tasks of one entry host."""

    settings: Settings
    adapter: Platform
    ready: bool = False
    stopping: trio.Event = attrs.field(factory=trio.Event)
    platform: PlatformClient = attrs.field(init=False)
    forwarder: Forwarder = attrs.field(init=False)
    callers: Listener = attrs.field(init=False)
    operators: Listener = attrs.field(init=False)
    metrics: Listener = attrs.field(init=False)
    registry: prometheus_client.CollectorRegistry = attrs.field(
        factory=prometheus_client.CollectorRegistry
    )

    def __attrs_post_init__(self) -> None:
        settings = self.settings
        own_place = EntryHosts(settings.instance, settings.data_centre, {})
        policy = RequestPolicy(own_place, settings.max_in_flight)
        self.platform = open_client(
            self.adapter,
            live_entry_hosts=lambda: len(policy.entry_hosts.members()),
            deadline_s=settings.platform.timeout_s,
        )
        self.forwarder = Forwarder(
            policy,
            RequestMetrics(self.registry),
            Claims(settings.instance, self.platform),
            BackendConnections(settings.http.body_bytes),
        )
        self.callers = Listener(
            "callers", self.forwarder.handle, settings.http, settings.max_connections
        )
        self.operators = Listener("operators", Router().handle, settings.http)
        self.metrics = Listener("metrics", self._metrics_router().handle, settings.http)

    async def run(self, task_status: Any = trio.TASK_STATUS_IGNORED) -> int:
        """Serve until stopped; return the number of requests that the stop cut."""
        settings = self.settings
        async with trio.open_nursery() as nursery:
            timers = TimerService(nursery)
            for name in ("metrics", "operators", "callers"):
                listener: Listener = getattr(self, name)
                endpoint = getattr(settings, name)
                await nursery.start(listener.run, endpoint.address, endpoint.port)
                log.event(logger, "listening", listener=name, port=listener.port)
            nursery.start_soon(self._follow_configuration, timers)
            nursery.start_soon(self.forwarder.run, timers)
            nursery.start_soon(self.forwarder.claims.run)
            task_status.started()
            await self.stopping.wait()
            cut_count = await self._stop()
            nursery.cancel_scope.cancel()
        return cut_count

    async def _stop(self) -> int:
        self.ready = False
        log.event(logger, "stopping", timeout_s=self.settings.stop_timeout_s)
        cut_count = await self.callers.stop(self.settings.stop_timeout_s)
        await self.forwarder.claims.flush()
        await self.forwarder.connections.aclose()
        log.event(logger, "stopped", cut=cut_count)
        return cut_count

    async def _follow_configuration(self, timers: TimerService) -> None:
        ticks = timers.every("configuration", CONFIGURATION_PERIOD_S)
        await self._load_configuration()
        async for _tick in ticks:
            await self._load_configuration()

    async def _load_configuration(self) -> None:
        try:
            head = await self.platform.read("heads", "catalogue")
            if head is None:
                return
            body = await self.platform.get_object(head.value["object"])
            rows = await self.platform.scan(HOSTS_TABLE)
        except RhubarbmountError as error:
            log.event(logger, "configuration-failed", logging.WARNING, code=error.code)
            return
        if body is None:
            return
        snapshot = decode_snapshot(body)
        hosts = [load_host(dict(row.value)) for row in rows]
        policy = self.forwarder.policy
        policy.update_catalogue(snapshot.services_by_name, snapshot.pools_by_name)
        policy.update_hosts(hosts, trio.current_time())
        self.ready = True

    def _metrics_router(self) -> Router:
        router = Router()
        router.add("GET", "/healthz", self._healthz)
        router.add("GET", "/readyz", self._readyz)
        router.add("GET", "/metrics", self._metrics)
        return router

    async def _healthz(self, call: Call) -> HttpResponse:
        return json_response({"instance": self.settings.instance})

    async def _readyz(self, call: Call) -> HttpResponse:
        if not self.ready:
            return problem(503, "not-ready", "no configuration yet, or stopping")
        return json_response({"ready": True})

    async def _metrics(self, call: Call) -> HttpResponse:
        body = prometheus_client.generate_latest(self.registry)
        content_type = prometheus_client.CONTENT_TYPE_LATEST.encode("ascii")
        return HttpResponse(200, [(b"content-type", content_type)], body)


async def serve_until_signalled(host: EntryHost) -> int:
    """Run an entry host until SIGTERM or SIGINT arrives."""
    cut_counts = []

    async def run() -> None:
        cut_counts.append(await host.run())

    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(run)
            nursery.start_soon(_stop_on_signal, signals, host, nursery)
            await host.stopping.wait()
    return cut_counts[0] if cut_counts else 0


async def _stop_on_signal(signals: Any, host: EntryHost, nursery: trio.Nursery) -> None:
    async for _number in signals:
        host.stopping.set()
        return
