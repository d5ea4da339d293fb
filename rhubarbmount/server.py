"""The entry host process: its tasks, their shared state and graceful shutdown."""

import logging
import time
from contextlib import AsyncExitStack
from typing import Any

import attrs
import prometheus_client
import trio

from rhubarbmount import log
from rhubarbmount.backends import BackendConnections
from rhubarbmount.catalogue_writer import CatalogueWriter
from rhubarbmount.claim_guard import Claims
from rhubarbmount.configuration import Configuration
from rhubarbmount.edits import Authenticate
from rhubarbmount.explain import DecisionRecorder
from rhubarbmount.explain_operators import ExplainApi
from rhubarbmount.fleet_metrics import FleetCollector
from rhubarbmount.fleet_operators import FleetApi
from rhubarbmount.fleet_tasks import FleetTasks, wave_settings
from rhubarbmount.fleet_view import FleetView
from rhubarbmount.follower import run_followers
from rhubarbmount.forward import Forwarder
from rhubarbmount.head_reads import HeadReads
from rhubarbmount.instances import ConfigurationStatus, ProgramVersion, weigh_status
from rhubarbmount.issued_keys import KeyIssuer
from rhubarbmount.job_handlers import JobHandlers
from rhubarbmount.leaving_list import LeavingList
from rhubarbmount.listener import Listener
from rhubarbmount.local_view import LocalView
from rhubarbmount.membership import Membership, open_membership
from rhubarbmount.metrics import RequestMetrics
from rhubarbmount.operators import OperatorsApi, operators_from
from rhubarbmount.peer_explanations import InstanceMemory, PeerExplanations
from rhubarbmount.probes import Probes
from rhubarbmount.request_policy import RequestPolicy
from rhubarbmount.request_traces import RequestTraces
from rhubarbmount.settings import PlatformSettings, Settings
from rhubarbmount.shared_rows import FORMAT
from rhubarbmount.shares import EntryHosts
from rhubarbmount.store import http as _http_adapter  # noqa: F401
from rhubarbmount.store import memory as _memory_adapter  # noqa: F401
from rhubarbmount.store.client import PlatformClient, open_client
from rhubarbmount.store.interface import Platform, platforms
from rhubarbmount.store.rate_limiter import Priority
from rhubarbmount.sweep import Sweeper
from rhubarbmount.timers import TimerService

__all__ = ["EntryHost"]


logger = logging.getLogger(__name__)


def open_platform(settings: PlatformSettings) -> Platform:
    """Create the platform adapter selected in the settings."""
    adapter = platforms.get(settings.adapter)
    if settings.adapter == "memory":
        return adapter()
    return adapter(settings.address, settings.timeout_s)


@attrs.define(eq=False)
class EntryHost:
    """The server process of one entry host.

    It owns the listeners, the background tasks and the state that they share.
    """

    settings: Settings
    adapter: Platform
    stopping: trio.Event = attrs.field(factory=trio.Event)
    platform: PlatformClient = attrs.field(init=False)
    forwarder: Forwarder = attrs.field(init=False)
    configuration: Configuration = attrs.field(init=False)
    fleet_view: FleetView = attrs.field(init=False)
    recorder: DecisionRecorder = attrs.field(init=False)
    memory: InstanceMemory = attrs.field(init=False)
    fleet: FleetTasks = attrs.field(init=False)
    leaving: LeavingList = attrs.field(init=False)
    sweeper: Sweeper = attrs.field(init=False)
    membership: Membership | None = attrs.field(default=None, init=False)
    # True once the first fleet view has been applied to the routing policy.
    has_applied_fleet: bool = attrs.field(default=False, init=False)
    callers: Listener = attrs.field(init=False)
    operators: Listener = attrs.field(init=False)
    metrics: Listener = attrs.field(init=False)
    registry: prometheus_client.CollectorRegistry = attrs.field(
        factory=prometheus_client.CollectorRegistry
    )

    def __attrs_post_init__(self) -> None:
        settings = self.settings
        entry_hosts = EntryHosts(settings.instance, settings.data_centre, {})
        policy = RequestPolicy(entry_hosts, settings.max_in_flight)
        self.platform = open_client(
            self.adapter,
            live_entry_hosts=lambda: len(policy.entry_hosts.members()),
            deadline_s=settings.platform.timeout_s,
        )
        self.sweeper = Sweeper(self.platform, lambda: list(policy.service_by_name))
        self.recorder = DecisionRecorder(catalogue_version=self._version)
        self._create_callers_listener(policy)
        duty_platform = self.platform.with_priority(Priority.DUTY)
        self._create_operators_listener(policy, duty_platform)
        self.leaving = LeavingList(duty_platform, policy.set_leaving)
        probes = Probes(settings.instance, self.is_ready, self.registry)
        self.metrics = Listener("metrics", probes.router().handle, settings.http)

    def _create_callers_listener(self, policy: RequestPolicy) -> None:
        settings = self.settings
        self.forwarder = Forwarder(
            policy,
            RequestMetrics(self.registry),
            Claims(settings.instance, self.platform),
            BackendConnections(settings.http.body_bytes),
        )
        issuer = KeyIssuer(policy, self.forwarder.claims, self.forwarder.handle)
        traces = RequestTraces(settings.instance, issuer.handle, self._version)
        self.memory = InstanceMemory(settings.instance, self.recorder.memory, traces)
        self.callers = Listener(
            "callers", traces.handle, settings.http, settings.max_connections
        )

    def _create_operators_listener(
        self, policy: RequestPolicy, platform: PlatformClient
    ) -> None:
        settings = self.settings
        read_head = HeadReads(platform).read
        self.configuration = Configuration(platform=platform, read_head=read_head)
        self.fleet_view = FleetView(platform=platform, read_head=read_head)
        view = LocalView(self.configuration, self.fleet_view)
        self.fleet = FleetTasks(settings, policy, platform, view, self.recorder)
        entries = self._entries_api(platform)
        authenticate, router = entries.authenticate, entries.router
        jobs = JobHandlers(platform, view, self.recorder, authenticate, time.time)
        jobs.add_routes(router)
        self._fleet_api(authenticate, platform).add_routes(router)
        self._explain_api(authenticate, platform).add_routes(router)
        self.operators = Listener("operators", router.handle, settings.http)
        self.registry.register(self._fleet_collector(view))

    def _entries_api(self, platform: PlatformClient) -> OperatorsApi:
        catalogue_writer = CatalogueWriter(
            platform,
            time.time,
            self.fleet_view.summarise,
            self.configuration.offer,
            self._version,
            self._lowest_format,
            self.recorder,
        )
        return OperatorsApi(
            operators_from(self.settings.operators_by_name),
            catalogue_writer,
            self.configuration,
            platform,
            self._read_status,
        )

    def _fleet_api(
        self, authenticate: Authenticate, platform: PlatformClient
    ) -> FleetApi:
        settings = self.settings
        return FleetApi(
            authenticate,
            self.configuration,
            self.fleet_view,
            platform,
            wave_settings(settings.fleet, settings.weights),
            settings.fleet.buffer_pool,
            self.recorder,
            self.fleet.counters,
        )

    def _explain_api(
        self, authenticate: Authenticate, platform: PlatformClient
    ) -> ExplainApi:
        return ExplainApi(
            authenticate,
            self.memory,
            platform,
            self._status_of,
            self._entry_version,
            time.time,
            self._explain_from_peers,
        )

    def _fleet_collector(self, view: LocalView) -> FleetCollector:
        return FleetCollector(
            self.fleet.counters,
            lambda: view.hosts().values(),
            view.pools,
            self.fleet.duties.holds,
            self.settings.fleet.buffer_pool,
        )

    def is_ready(self) -> bool:
        """Return whether load balancers may send requests to this entry host."""
        if self.stopping.is_set():
            return False
        return self.configuration.ready and self.has_applied_fleet

    @property
    def peer_address(self) -> str:
        """Return the IP and port on which peers reach this host.

        The string is empty if peers are not configured.
        """
        return "" if self.membership is None else self.membership.address

    async def run(self, task_status: Any = trio.TASK_STATUS_IGNORED) -> int:
        """Serve until stopped.

        Returns the number of requests in flight that the shutdown aborted.
        """
        settings = self.settings
        async with trio.open_nursery() as nursery, AsyncExitStack() as stack:
            timers = TimerService()
            await self._join_peers(stack, timers)
            for name in ("metrics", "operators", "callers"):
                listener: Listener = getattr(self, name)
                endpoint = getattr(settings, name)
                await nursery.start(listener.run, endpoint.address, endpoint.port)
                log.event(logger, "listening", listener=name, port=listener.port)
            nursery.start_soon(self._apply_configuration)
            nursery.start_soon(self._apply_fleet)
            followers = (self.configuration, self.fleet_view)
            nursery.start_soon(run_followers, followers, timers)
            nursery.start_soon(self.leaving.run, timers)
            nursery.start_soon(self.forwarder.run, timers)
            nursery.start_soon(self.forwarder.claims.run)
            nursery.start_soon(self.sweeper.run, timers)
            nursery.start_soon(self.fleet.run, timers)
            task_status.started()
            await self.stopping.wait()
            cut_count = await self._stop()
            nursery.cancel_scope.cancel()
        return cut_count

    async def _join_peers(self, stack: AsyncExitStack, timers: TimerService) -> None:
        if self.settings.peers is None:
            return
        opened = open_membership(
            self.settings,
            self.settings.peers,
            self.platform,
            self.configuration,
            self.fleet_view,
            self.forwarder.policy,
            self.memory,
            timers,
        )
        self.membership = await stack.enter_async_context(opened)

    async def _stop(self) -> int:
        log.event(logger, "stopping", timeout_s=self.settings.stop_timeout_s)
        if self.membership is not None:
            self.membership.announce_draining()
        self.callers.retire_connections()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.fleet.duties.release)
            await trio.sleep(self.settings.stop_notice_s)
            cut_count = await self.callers.stop(self.settings.stop_timeout_s)
        await self.forwarder.claims.flush()
        await self.forwarder.connections.aclose()
        if self.membership is not None:
            await self.membership.rows.remove()
        log.event(logger, "stopped", cut=cut_count)
        return cut_count

    async def _apply_configuration(self) -> None:
        async for in_force in self.configuration.subscribe():
            snapshot = in_force.snapshot
            self.forwarder.policy.update_catalogue(
                snapshot.service_by_name, snapshot.pool_by_name
            )

    async def _apply_fleet(self) -> None:
        async for changed in self.fleet_view.subscribe():
            await self.leaving.refresh_briefly()
            self.forwarder.policy.update_changed(
                changed.host_by_id, changed.changed, trio.current_time()
            )
            self.has_applied_fleet = True

    async def _read_status(self) -> ConfigurationStatus:
        if self.membership is None:
            return self._status_of(self.configuration.version)
        return await self.membership.rows.read_status()

    def _status_of(self, version: int) -> ConfigurationStatus:
        if self.membership is None:
            own_version = {self.settings.instance: self.configuration.version}
            status = weigh_status(version, {}, own_version)
            own_program = {self.settings.instance: ProgramVersion()}
            return attrs.evolve(status, programs=own_program)
        return self.membership.rows.status_of(version)

    def _lowest_format(self) -> int:
        rows = self.membership.rows if self.membership else None
        return rows.lowest_format() if rows else FORMAT

    def _version(self) -> int:
        return self.configuration.version

    def _entry_version(self, key: str) -> int:
        snapshot = self.configuration.snapshot
        return 0 if snapshot is None else snapshot.entry_version(key)

    async def _explain_from_peers(self, kind: str, subject_id: str) -> PeerExplanations:
        if self.membership is None:
            return PeerExplanations()
        return await self.membership.explain_from_peers(kind, subject_id)
