"""An entry host on the users' platform: its long-running tasks and graceful stop."""

import logging
import os
import signal
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path

import attrs
import trio

from rhubarbmount import log
from rhubarbmount.batch.catalogue import Catalogue
from rhubarbmount.batch.catalogue_age import CatalogueAge
from rhubarbmount.batch.catalogue_source import CatalogueSource
from rhubarbmount.batch.committer import Committer
from rhubarbmount.batch.election import ShardLease, candidate_wait_s
from rhubarbmount.batch.holder import Holder
from rhubarbmount.batch.job_api import JobApi
from rhubarbmount.batch.lateness import Lateness
from rhubarbmount.batch.lease_manager import LeaseManager
from rhubarbmount.batch.metrics import BatchMetrics
from rhubarbmount.batch.model import Wave
from rhubarbmount.batch.table_follower import FEED_WAIT_S, TableFollower
from rhubarbmount.batch.tables import shard_of
from rhubarbmount.batch.tickets import TicketCache
from rhubarbmount.batch.unreadable_rows import UnreadableRows
from rhubarbmount.errors import LeaseLost, RhubarbmountError
from rhubarbmount.http import HttpRequest, HttpResponse
from rhubarbmount.listener import Listener
from rhubarbmount.platform.advice import AdviceClient
from rhubarbmount.platform.backend import BackendClient
from rhubarbmount.platform.hosts import HostClient
from rhubarbmount.platform.json_client import JsonClient, open_json_client
from rhubarbmount.platform.row_formats import (
    CATALOGUE_KEY,
    OPERATOR_TABLE,
    WAVE_PREFIX,
    UnreadableRow,
    decode_catalogue,
    decode_wave,
)
from rhubarbmount.platform.rows import Page, Row, RowStore
from rhubarbmount.platform.settings import (
    SETTINGS_PATH_VARIABLE,
    NodeSettings,
    read_settings,
)
from rhubarbmount.problem import json_response, problem
from rhubarbmount.timers import TimerService, open_timers

__all__ = ["Node", "serve"]

logger = logging.getLogger(__name__)

# The load balancer takes a host out of rotation after two failed readiness checks,
# which are 1 s apart.
LEAVE_ROTATION_S = 2.5
STOP_MARGIN_S = 0.8
RESTART_DELAY_S = 3.0
# A shorter time can't be told by polls.
MIN_CATALOGUE_AGE_S = 0.5
# How long the holder's polls of a large configuration wait, whose changes it passes on.
PUBLISHER_WAIT_S = 0.3
SETTINGS_POLL_S = 1.0
# Must match deploy/system.toml.
METRICS_PORT = 9464
METRICS_PATH = "/metrics"
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


@attrs.define(eq=False)
class Node:
    """Serves callers, and schedules the shard while this host holds its lease."""

    settings: NodeSettings
    client: JsonClient
    timers: TimerService
    metrics: BatchMetrics = attrs.field(factory=BatchMetrics)
    store: RowStore = attrs.field(init=False)
    catalogue_age: CatalogueAge = attrs.field(init=False)
    job_api: JobApi = attrs.field(init=False)
    lease_manager: LeaseManager = attrs.field(init=False)
    operator_rows: TableFollower = attrs.field(init=False)
    catalogue_source: CatalogueSource = attrs.field(init=False)
    unreadable_rows: UnreadableRows = attrs.field(init=False)
    is_stopping: bool = False
    _wave_by_number: dict[int, Wave] = attrs.field(factory=dict)
    _holder: Holder | None = None
    _shard_lease: ShardLease | None = None
    _duty_scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    _duty_ended: trio.Event = attrs.field(factory=trio.Event)

    def __attrs_post_init__(self) -> None:
        self.unreadable_rows = UnreadableRows(self.metrics)
        self.store = RowStore(
            self.client,
            self.settings.store_address,
            self._observe_store_call,
            row_bytes=self.settings.row_bytes,
        )
        self.catalogue_age = CatalogueAge(
            self.store, max(MIN_CATALOGUE_AGE_S, self.settings.bounds.config_apply_s)
        )
        self.job_api = JobApi(
            self.store,
            self.metrics,
            on_stored=self._note_stored_request,
            unreadable_rows=self.unreadable_rows,
            visible_s=self.settings.bounds.visible_s,
            catalogue_age=self.catalogue_age,
        )
        shard = shard_of("", "", "")
        wait_s = candidate_wait_s(self.settings.cores, self.settings.link_mbps)
        self.lease_manager = LeaseManager(
            self.store,
            shard,
            self.settings.node_id,
            self.settings.bounds.max_lease_s,
            wait_s,
            self.unreadable_rows,
        )
        self.operator_rows = TableFollower(
            self.store,
            OPERATOR_TABLE,
            ("",),
            self._apply_operator_rows,
            wait_s=self._operator_wait_s(),
            wants_newest=True,
            on_known=self.catalogue_age.note_known,
        )
        self.catalogue_source = CatalogueSource(
            store=self.store,
            shard=shard,
            age=self.catalogue_age,
            operator_rows=self.operator_rows,
            unreadable_rows=self.unreadable_rows,
            find_catalogue=lambda: self.job_api.catalogue,
            set_catalogue=self._set_catalogue,
            is_holder=lambda: self.is_holder,
        )

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then stop gracefully.

        Further signals end nothing, so that none cuts a request.
        """
        with trio.open_signal_receiver(*STOP_SIGNALS, signal.SIGHUP) as signals:
            await self._run(signals)

    async def _run(self, signals: AsyncIterator[int]) -> None:
        settings = self.settings
        callers = Listener("callers", self.job_api.handle)
        ready = Listener("ready", self._handle_ready)
        metrics = Listener("metrics", self._handle_metrics)
        async with trio.open_nursery() as nursery:
            await nursery.start(ready.run, *_split_address(settings.ready_address))
            await nursery.start(metrics.run, settings.ip, METRICS_PORT)
            await nursery.start(callers.run, *_split_address(settings.callers_address))
            nursery.start_soon(self.run_duties)
            nursery.start_soon(_keep_running, "settings", self._watch_settings)
            log.event(
                logger,
                "started",
                node=settings.node_id,
                incarnation=self.lease_manager.incarnation,
                data_centre=settings.data_centre,
                store=settings.store_address,
            )
            await self._wait_for_stop(signals)
            nursery.start_soon(_pass_over, signals)
            await self._stop(callers)
            nursery.cancel_scope.cancel()

    @property
    def is_holder(self) -> bool:
        """Tell whether this host currently holds the shard."""
        return self._holder is not None

    def _note_stored_request(self, version: int) -> None:
        if self._holder is not None:
            self._holder.note_stored_request(version)

    def _observe_store_call(self, call: str, outcome: str, took_s: float) -> None:
        self.metrics.store_calls.labels(call, outcome).inc()
        self.metrics.store_call_s.labels(call).observe(took_s)

    async def _handle_metrics(self, request: HttpRequest) -> HttpResponse:
        if request.target != METRICS_PATH:
            return problem(404, "not-found", f"nothing at {request.target}")
        headers = [(b"content-type", b"text/plain; version=0.0.4")]
        return HttpResponse(200, headers, self.metrics.text())

    # Rows written by the operator.

    def _operator_wait_s(self) -> float:
        """Return how long a poll of the operator's rows may wait for a change.

        They are known to be as they were before that gets too old, at hosts that follow
        what this one writes of them, too.
        """
        catalogue = self.job_api.catalogue
        if self.is_holder and catalogue is not None and catalogue.is_large:
            return PUBLISHER_WAIT_S
        return min(FEED_WAIT_S, self.catalogue_age.limit_s / 2)

    def _apply_operator_rows(self, page: Page, is_whole: bool) -> None:
        for row in page.rows:
            if not row.version:
                continue
            try:
                self._apply_operator_row(row)
            except UnreadableRow as error:
                log.event(
                    logger,
                    "operator-row-unreadable",
                    logging.WARNING,
                    key=row.name.key,
                    version=row.version,
                    reason=error.message,
                )
        self.operator_rows.wait_s = self._operator_wait_s()
        self.catalogue_source.note_read(page)

    def _apply_operator_row(self, row: Row) -> None:
        if row.name.key == CATALOGUE_KEY:
            self._set_catalogue(decode_catalogue(row))
        elif row.name.key.startswith(WAVE_PREFIX):
            wave = decode_wave(row)
            self._wave_by_number[wave.number] = wave
            if self._holder is not None:
                self._holder.put_wave(wave)

    def _set_catalogue(self, catalogue: Catalogue) -> None:
        current = self.job_api.catalogue
        if current is not None and not catalogue.is_after(current):
            return
        self.job_api.catalogue = catalogue
        log.event(
            logger,
            "catalogue",
            version=catalogue.version,
            row_version=catalogue.row_version,
            queues=len(catalogue.queue_by_name),
        )
        if self._holder is not None:
            self._holder.set_catalogue(catalogue)

    # Holding the shard.

    async def run_duties(self) -> None:
        """Follow the store, and hold the shard whenever its lease can be acquired."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_keep_running, "operator-rows", self.operator_rows.run)
            nursery.start_soon(_keep_running, "catalogue", self.catalogue_source.run)
            nursery.start_soon(_keep_running, "leases", self.lease_manager.follower.run)
            await self._hold_shard()

    async def _hold_shard(self) -> None:
        try:
            with self._duty_scope:
                while True:
                    await self._hold_lease_once()
        finally:
            self._duty_ended.set()

    async def _hold_lease_once(self) -> None:
        while self.job_api.catalogue is None:
            await trio.sleep(0.02)
        shard_lease = await self.lease_manager.acquire()
        previous_lease = self.lease_manager.watch.lease
        self._shard_lease = shard_lease
        self._holder = self._make_holder(shard_lease)
        self.operator_rows.wait_s = self._operator_wait_s()
        self.metrics.fencing_token.set(shard_lease.fencing_token)
        log.event(
            logger,
            "duty-begun",
            fence=shard_lease.fencing_token,
            last_holder=previous_lease.holder if previous_lease else "-",
        )
        try:
            await self._run_holder(self._holder, shard_lease)
        except* LeaseLost as lost:
            reasons = {error.message for error in _lease_losses(lost)}
            log.event(
                logger,
                "duty-lost",
                fence=shard_lease.fencing_token,
                reason="; ".join(reasons),
            )
        except* Exception:
            # A bug in the scheduler must not stop the host, which also serves callers.
            logger.exception("event=duty-failed fence=%s", shard_lease.fencing_token)
            grants_end_s = self._holder.grants_end_s()
            await self.lease_manager.release(shard_lease, grants_end_s)
            await trio.sleep(RESTART_DELAY_S)
        finally:
            self._holder = None
            self.operator_rows.wait_s = self._operator_wait_s()
            self.metrics.fencing_token.set(0)
            self.metrics.is_late.set(0)

    async def _run_holder(self, holder: Holder, shard_lease: ShardLease) -> None:
        assert self.job_api.catalogue is not None
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.lease_manager.renew_until_lost, shard_lease)
                await holder.run(self.job_api.catalogue, self._wave_by_number)
        finally:
            with trio.CancelScope(shield=True):
                await self.client.forget_peers()

    def _make_holder(self, shard_lease: ShardLease) -> Holder:
        settings = self.settings
        lateness = Lateness(self.metrics)
        committer = Committer(
            self.store,
            self.lease_manager.shard,
            shard_lease.fencing_token,
            self.lease_manager.incarnation,
            shard_lease,
            self.unreadable_rows,
        )
        return Holder(
            store=self.store,
            name=self.lease_manager.shard,
            shard_lease=shard_lease,
            committer=committer,
            backend_client=BackendClient(self.client, lateness),
            lateness=lateness,
            host_client=HostClient(
                self.client, settings.hosts_address, settings.node_id
            ),
            tickets=TicketCache(AdviceClient(self.client, settings.advice_address)),
            timers=self.timers,
            bounds=settings.bounds,
            link_mbps=settings.link_mbps,
            metrics=self.metrics,
            unreadable_rows=self.unreadable_rows,
            on_recorded=self.lease_manager.extend_grants,
            catalogue_age=self.catalogue_age,
        )

    # Readiness and shutdown.

    async def _handle_ready(self, request: HttpRequest) -> HttpResponse:
        if self.is_stopping:
            return problem(503, "stopping", "the host stops")
        if self.job_api.catalogue is None or self.store.health.is_out_of_reach():
            return problem(503, "no-store", "the store is out of reach")
        if self.catalogue_age.is_old:
            return problem(503, "catalogue-old", "the configuration may have changed")
        return json_response({})

    async def _wait_for_stop(self, signals: AsyncIterator[int]) -> None:
        """Reload the settings at each SIGHUP until a signal asks for a stop."""
        async for number in signals:
            if number in STOP_SIGNALS:
                return
            self._reload()

    async def _watch_settings(self) -> None:
        """Reload the settings when their file changes, even without SIGHUP."""
        seen = _settings_mtime()
        async for _ in self.timers.every("settings", SETTINGS_POLL_S):
            mtime = _settings_mtime()
            if mtime != seen:
                seen = mtime
                self._reload()

    def _reload(self) -> None:
        try:
            settings = read_settings(settings_path())
        except RhubarbmountError as error:
            log.event(logger, "reload-refused", logging.ERROR, reason=error.message)
            return
        self.store.address = settings.store_address
        self.settings = settings
        log.event(logger, "reloaded", store=settings.store_address)

    async def hand_over(self) -> None:
        """Stop scheduling and release the lease, so that another host can take it."""
        holder, shard_lease = self._holder, self._shard_lease
        self._duty_scope.cancel()
        await self._duty_ended.wait()
        if holder is not None and shard_lease is not None:
            await self.lease_manager.release(shard_lease, holder.grants_end_s())

    async def _stop(self, callers: Listener) -> None:
        """Release the lease, leave the load balancer's rotation and finish requests."""
        log.event(logger, "stopping", node=self.settings.node_id)
        self.is_stopping = True
        begun_s = trio.current_time()
        await self.hand_over()
        callers.retire_connections()
        await trio.sleep_until(begun_s + LEAVE_ROTATION_S)
        left_s = self.settings.bounds.grace_s - LEAVE_ROTATION_S - STOP_MARGIN_S
        cut_count = await callers.stop(max(0.1, left_s))
        log.event(logger, "stopped", cut=cut_count)
        log.flush()


async def _pass_over(signals: AsyncIterator[int]) -> None:
    """Log signals that come while the host stops."""
    async for number in signals:
        name = signal.Signals(number).name
        log.event(logger, "signal-passed-over", signal=name)


async def _keep_running(name: str, run: Callable[[], Awaitable[None]]) -> None:
    """Run a task again after an unexpected error, which must not stop the host."""
    while True:
        try:
            await run()
        except Exception:
            logger.exception("event=task-failed task=%s", name)
            await trio.sleep(RESTART_DELAY_S)
        else:
            return


def _split_address(address: str) -> tuple[str, int]:
    host, port = address.rsplit(":", 1)
    return host, int(port)


def _settings_mtime() -> float:
    try:
        return settings_path().stat().st_mtime
    except OSError:
        return 0.0


def _lease_losses(group: BaseExceptionGroup) -> list[LeaseLost]:
    found: list[LeaseLost] = []
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            found.extend(_lease_losses(error))
        elif isinstance(error, LeaseLost):
            found.append(error)
    return found


def settings_path() -> Path:
    """Return the path of the settings file that the platform wrote."""
    return Path(os.environ[SETTINGS_PATH_VARIABLE])


@asynccontextmanager
async def open_node(settings: NodeSettings) -> AsyncIterator[Node]:
    """Open a node whose timers and connections are closed at the end of the block."""
    async with open_timers() as timers, open_json_client() as client:
        yield Node(settings, client, timers)


async def _serve(settings: NodeSettings) -> None:
    async with open_node(settings) as node:
        await node.run()


def serve() -> int:
    """Run the entry host described by the platform's settings file."""
    log.configure("info", log.STDOUT)
    trio.run(_serve, read_settings(settings_path()))
    return 0
