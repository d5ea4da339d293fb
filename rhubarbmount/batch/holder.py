"""Scheduling of one shard by the entry host that holds its lease."""

import logging
from collections.abc import Callable, Mapping

import attrs
import trio

from rhubarbmount import log
from rhubarbmount.batch.catalogue import Catalogue
from rhubarbmount.batch.catalogue_age import CatalogueAge
from rhubarbmount.batch.catalogue_publisher import CataloguePublisher
from rhubarbmount.batch.clocks import monotonic_s, wall_clock_s
from rhubarbmount.batch.committer import Committer
from rhubarbmount.batch.early_renewals import EarlyRenewals
from rhubarbmount.batch.election import ShardLease
from rhubarbmount.batch.fleet_controller import FleetController
from rhubarbmount.batch.handover_records import HandoverRecords
from rhubarbmount.batch.host_commands import HostCommands
from rhubarbmount.batch.job_remover import JobRemover
from rhubarbmount.batch.job_requests import JobRequests
from rhubarbmount.batch.job_rows import JobRows
from rhubarbmount.batch.lateness import Lateness
from rhubarbmount.batch.lifetimes import name_of
from rhubarbmount.batch.lost_run_log import report_losses
from rhubarbmount.batch.metrics import BatchMetrics
from rhubarbmount.batch.model import (
    Assignment,
    Wave,
)
from rhubarbmount.batch.placing import Placer
from rhubarbmount.batch.scheduling_meter import SchedulingMeter, SchedulingPass
from rhubarbmount.batch.server_commands import StartRequest, StopRequest
from rhubarbmount.batch.server_losses import ServerEnd
from rhubarbmount.batch.server_rows import ServerRows
from rhubarbmount.batch.server_session import ServerSession
from rhubarbmount.batch.server_sessions import ServerSessions
from rhubarbmount.batch.shard import Shard
from rhubarbmount.batch.shard_rows import JobReader, LoadedShard, ShardLoader
from rhubarbmount.batch.table_follower import TableFollower
from rhubarbmount.batch.tables import (
    host_orders_row,
    job_ids_of,
    server_records_row,
    silent_servers_row,
    used_lifetimes_row,
    wave_row,
)
from rhubarbmount.batch.tickets import TicketCache
from rhubarbmount.batch.unreadable_rows import UnreadableRows
from rhubarbmount.batch.wave_progress import WaveProgress
from rhubarbmount.batch.wave_record import WaveRecord
from rhubarbmount.batch.wave_status import WaveStatusWriter
from rhubarbmount.batch.write_batch import WriteBatch
from rhubarbmount.platform.backend import BackendClient
from rhubarbmount.platform.hosts import HostClient
from rhubarbmount.platform.row_formats import (
    SERVERS_TABLE,
)
from rhubarbmount.platform.rows import Page, RowName, RowStore
from rhubarbmount.platform.settings import Bounds
from rhubarbmount.timers import TimerService

__all__ = ["Holder"]

logger = logging.getLogger(__name__)

SCHEDULE_PERIOD_S = 0.25
LAG_PERIOD_S = 0.1
TICKET_PERIOD_S = 0.05
COMMIT_DELAY_S = 0.06
# How long a loaded shard waits for the record of the lifetimes that had tasks.
LIFETIMES_WAIT_S = 0.3
# Time left for a start to be sent once capacities are too old to be relied on.
CAPACITY_MARGIN_S = 0.25


@attrs.define(eq=False)
class Holder:
    """Schedules the jobs of one shard; all its state comes from rows of the store."""

    store: RowStore
    name: str
    shard_lease: ShardLease
    committer: Committer
    backend_client: BackendClient
    lateness: Lateness
    host_client: HostClient
    tickets: TicketCache
    timers: TimerService
    bounds: Bounds
    link_mbps: float
    metrics: BatchMetrics
    unreadable_rows: UnreadableRows
    # Called once the record of servers that were silent at the takeover is stored.
    on_recorded: Callable[[], None]
    catalogue_age: CatalogueAge
    records: HandoverRecords = attrs.field(init=False)
    shard: Shard = attrs.field(init=False)
    placer: Placer = attrs.field(init=False)
    fleet_controller: FleetController = attrs.field(init=False)
    wave_status: WaveStatusWriter = attrs.field(init=False)
    sessions: ServerSessions = attrs.field(init=False)
    servers: ServerRows = attrs.field(init=False)
    requests: JobRequests = attrs.field(init=False)
    meter: SchedulingMeter = attrs.field(init=False)
    _started_at_s: float = attrs.field(factory=monotonic_s)
    _wake: trio.Event = attrs.field(factory=trio.Event)
    _write_batch: WriteBatch = attrs.field(init=False)
    _catalogue_publisher: CataloguePublisher = attrs.field(init=False)
    _job_rows: JobRows = attrs.field(init=False)
    _is_loaded: bool = False
    _started_jobs: set[str] = attrs.field(factory=set)
    _loader: ShardLoader = attrs.field(init=False)
    _job_reader: JobReader = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.shard = Shard(
            Catalogue(0, {}, {}), wall_clock_s=wall_clock_s(), now_s=monotonic_s()
        )
        self._write_batch = WriteBatch(self.committer)
        self._loader = ShardLoader(self.store, self.name, self.link_mbps)
        self._job_reader = JobReader(self.shard, self.unreadable_rows)
        self.requests = JobRequests(
            self.store,
            self.name,
            self.shard,
            self._loader,
            self._job_reader,
            self.wake,
        )
        self._job_rows = JobRows(
            self.name,
            self.shard,
            self._write_batch,
            self.requests.known_until_s,
            self.store.row_bytes,
        )
        self._catalogue_publisher = CataloguePublisher(
            self.name, self._write_batch, self.catalogue_age
        )
        self.meter = SchedulingMeter(self.metrics)
        self.records = HandoverRecords(
            store=self.store,
            name=self.name,
            shard_lease=self.shard_lease,
            committer=self.committer,
            loader=self._loader,
            bounds=self.bounds,
            unreadable_rows=self.unreadable_rows,
        )
        self.placer = Placer(self.shard, self.tickets.tickets_by_step)
        self.wave_status = WaveStatusWriter(self.store)
        self.fleet_controller = FleetController(
            shard=self.shard,
            placer=self.placer,
            shard_lease=self.shard_lease,
            client=self.host_client,
            commands=HostCommands(
                self.host_client,
                self.shard_lease,
                self.records.command_times,
                self._save_command_times,
            ),
            timers=self.timers,
            metrics=self.metrics,
            store_clock_s=self.store.clock_s,
            save_wave=self._save_wave,
            wake_scheduler=self.wake,
            stop_s=self.bounds.stop_s,
        )

    # Lifecycle.

    async def run(self, catalogue: Catalogue, waves: Mapping[int, Wave]) -> None:
        """Load the shard and schedule it until cancelled.

        Raises LeaseLost when another process has taken the lease.
        """
        self.shard.set_catalogue(catalogue)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._measure_lag)
            self._open_sessions(nursery)
            await self.committer.begin()
            loaded = await self._load()
            self._is_loaded = True
            for wave in waves.values():
                self.put_wave(wave)
            nursery.start_soon(self._store_first_record)
            nursery.start_soon(self.sessions.keep_record)
            nursery.start_soon(self.requests.follow(loaded.version).run)
            nursery.start_soon(self._find_unlisted_servers)
            nursery.start_soon(self._load_lifetimes)
            nursery.start_soon(self._load_requests)
            nursery.start_soon(self._server_follower(loaded.servers.version).run)
            nursery.start_soon(self.fleet_controller.run)
            nursery.start_soon(self.wave_status.run)
            nursery.start_soon(self._wake_regularly)
            nursery.start_soon(self._poll_tickets)
            await self._schedule()

    def _open_sessions(self, nursery: trio.Nursery) -> None:
        self.sessions = ServerSessions(
            shard=self.shard,
            client=self.backend_client,
            shard_lease=self.shard_lease,
            max_lease_s=self.bounds.max_lease_s,
            earlier_grants=self.records.earlier_grants,
            metrics=self.metrics,
            lateness=self.lateness,
            tickets=self.tickets,
            nursery=nursery,
            wake=self.wake,
            want_host_list=self.fleet_controller.request_list,
            silent=self.records.silent_servers,
            used_lifetimes=self.records.used_lifetimes,
            save_silent=self._save_silent_servers,
        )
        self.servers = ServerRows(
            self.shard,
            self.sessions,
            self.bounds.drain_s,
            self.bounds.contact_s - CAPACITY_MARGIN_S,
        )

    def _remover(self) -> JobRemover:
        return JobRemover(
            self.store,
            self.name,
            self.shard,
            self.timers,
            self.bounds.status_s,
            self._remove_job_rows,
            self.requests.removed_jobs,
            self.requests.barred_jobs,
        )

    def grants_end_s(self) -> float:
        """Return when all leases granted to servers have expired, by the store's clock.

        The value is 0, for unknown, until the shard is loaded, since leases granted by
        the previous holder may still be in force, and while a job that can't be read
        may have runs, as it is not known where.
        """
        if not self._is_loaded or self.shard.unreadable_jobs.may_have_runs:
            return 0.0
        left_s = self.sessions.lapses_at_s() - monotonic_s()
        return self.store.latest_clock_s() + left_s

    def set_catalogue(self, catalogue: Catalogue) -> None:
        """Apply a new version of the configuration."""
        self.shard.set_catalogue(catalogue)
        self.wake()

    def note_stored_request(self, version: int) -> None:
        """Expect a request that this host has stored at ``version`` of the store."""
        self.requests.expect(version)

    def put_wave(self, wave: Wave) -> None:
        """Add a maintenance wave requested by the operator."""
        if wave.number in self.records.unreadable_waves:
            return
        record = self.records.wave_by_number.get(wave.number)
        self.fleet_controller.put_wave(wave, record)
        if record is not None:
            self.wave_status.put(wave.number, record.is_complete)

    def wake(self) -> None:
        """Wake the scheduler."""
        self._wake.set()

    async def _wake_regularly(self) -> None:
        async for _ in self.timers.every("schedule", SCHEDULE_PERIOD_S):
            self.wake()

    async def _measure_lag(self) -> None:
        async for tick in self.timers.every("lag", LAG_PERIOD_S):
            self.lateness.record_lag(max(0.0, trio.current_time() - tick.due_s))

    async def _load(self) -> LoadedShard:
        read_from_s = monotonic_s()
        early = self._make_early_renewals()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(early.run)
            nursery.start_soon(self._load_lifetimes)
            loaded = await self._loader.load()
            await early.stop()
            with trio.move_on_after(LIFETIMES_WAIT_S):
                await self.records.has_loaded_lifetimes.wait()
            nursery.cancel_scope.cancel()
        self.sessions.early_lease_by_server_id = early.lease_by_server_id
        requests: list[Page] = []
        if loaded.progress_without_spec_by_id:
            # An earlier build stored no specs. Its jobs have to be known before any
            # server lists its runs.
            await self.requests.load(requests.append)
        await self.records.load(loaded, has_silent_servers=early.has_record)
        loaded.add_jobs(self._job_reader)
        servers_with_tasks = set(self.shard.unknown_servers())
        self.records.note_silent(servers_with_tasks - early.heard_server_ids)
        self.servers.apply(loaded.servers, True)
        self.servers.note_read(read_from_s)
        self._restore_other_lifetimes()
        self._job_rows.stored_spec_ids.update(self.shard.job_by_id)
        self._job_rows.restore_pieces(loaded.progress_pieces.rows)
        self.requests.progress_without_spec_by_id = loaded.progress_without_spec_by_id
        for page in requests:
            self.requests.apply(page, False)
        for job_id in self._job_reader.apply_ends(monotonic_s()):
            self._job_rows.remove_kept_ends(job_id)
        log.event(
            logger,
            "shard-loaded",
            shard=self.name,
            fence=self.shard_lease.fencing_token,
            jobs=len(self.shard.job_by_id),
            servers=len(self.shard.usage_by_server_id),
            version=loaded.progress.version,
            took_ms=int((monotonic_s() - self._started_at_s) * 1000),
        )
        return loaded

    def _restore_other_lifetimes(self) -> None:
        """Ask for lifetimes with tasks whose servers are listed with another one.

        Rows of older builds do not tell which lifetime has the tasks. Until an answer
        does, the host of the server counts as in use.
        """
        for server_id in self.shard.unknown_servers():
            usages = self.shard.usages_by_server_name.get(name_of(server_id))
            if usages:
                server = usages[-1].server
                self.servers.restore(attrs.evolve(server, id=server_id))

    async def _find_unlisted_servers(self) -> None:
        """Ask the unlisted servers with tasks where the last holder reached them."""
        await self.records.load_servers()
        self.records.has_loaded_servers = True
        for server_id in self.shard.unknown_servers():
            server = self.records.servers.find(server_id)
            if server is not None:
                self.servers.restore(server)
            else:
                self.sessions.nursery.start_soon(self._lose_unlisted_server, server_id)

    async def _load_lifetimes(self) -> None:
        """Load on which lifetimes tasks were started, unless that is done."""
        if not self.records.has_loaded_lifetimes.is_set():
            await self.records.load_lifetimes()

    def _make_early_renewals(self) -> EarlyRenewals:
        return EarlyRenewals(
            client=self.backend_client,
            read_servers=self.records.read_servers_to_renew,
            store_record=self.records.store_silent,
            on_recorded=self.on_recorded,
            make_lease=self.sessions.make_lease,
        )

    async def _store_first_record(self) -> None:
        """Store the record of silent servers; then grants may last longer than it."""
        await self._save_silent_servers()
        self.on_recorded()

    async def _load_requests(self) -> None:
        """Add the jobs that no holder has seen yet, then begin to remove old ones.

        Jobs with runs are known without them. A part that can't be read thus delays
        its own new jobs only. Rows are removed after all of them have been read, as a
        job whose request is read after its removal would begin again.
        """
        await self.requests.load()
        self._job_rows.has_all_jobs = True
        log.event(
            logger,
            "requests-loaded",
            shard=self.name,
            jobs=len(self.shard.job_by_id),
            took_ms=int((monotonic_s() - self._started_at_s) * 1000),
        )
        await self._remover().run()

    async def _lose_unlisted_server(self, server_id: str) -> None:
        """Release the tasks of an unlisted server once its leases must have expired."""
        bound = self.records.earlier_grants.bound_of(server_id)
        lapses_in_s = max(0.0, bound.at_s - monotonic_s())
        log.event(
            logger,
            "server-not-listed",
            logging.WARNING,
            server=server_id,
            lapses_in_s=lapses_in_s,
            bound=bound.source,
        )
        await trio.sleep(lapses_in_s)
        if server_id not in self.shard.usage_by_server_id:
            tasks = self.shard.lose_server(server_id, monotonic_s(), ServerEnd.SILENT)
            self.metrics.lapsed_tasks.labels(bound.source).inc(tasks)
            log.event(
                logger,
                "server-ended",
                server=server_id,
                reason="not-listed",
                tasks=tasks,
            )
            self.wake()

    # Rows written by other processes.

    def _server_follower(self, version: int) -> TableFollower:
        return TableFollower(
            self.store,
            SERVERS_TABLE,
            ("",),
            self.servers.apply,
            version,
            on_known=self._note_servers_known,
        )

    def _note_servers_known(self, known_until_s: float) -> None:
        self.servers.note_read(self.store.earliest_local_s(known_until_s))

    # Scheduling.

    async def _schedule(self) -> None:
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            self.shard.set_time(monotonic_s(), wall_clock_s())
            self.shard.open_due()
            assignments = self._place()
            self.sessions.close_lost()
            if not assignments and not self._is_urgent():
                await self._await_more_changes()
                assignments = self._place()
            committing_since_s = monotonic_s()
            await self._commit_and_send(assignments)
            self._record_pass(monotonic_s() - committing_since_s, len(assignments))

    def _place(self) -> list[Assignment]:
        started_s = monotonic_s()
        self.sessions.open_covered()
        assignments = self.placer.place(started_s)
        self.meter.record_placing(monotonic_s() - started_s)
        return assignments

    def _record_pass(self, committing_s: float, starts: int) -> None:
        waiting_by_step = self.shard.waiting_by_step
        waiting_tasks = sum(map(len, waiting_by_step.values()))
        self.metrics.waiting_tasks.set(waiting_tasks)
        requests_age_s = self.store.clock_s() - self.requests.known_until_s()
        self.metrics.requests_age_s.set(max(0.0, requests_age_s))
        done = SchedulingPass(
            starts=starts,
            late_starts=self.placer.late_starts,
            waiting_steps=len(waiting_by_step),
            waiting_tasks=waiting_tasks,
            dispatch_delay_s=self.shard.dispatch_delay.expected_s,
        )
        self.meter.record_pass(committing_s, done)

    def _is_urgent(self) -> bool:
        """Tell whether a caller or a backend server is waiting for the next commit."""
        if self.shard.stops or self._write_batch or not self.shard.dirty:
            return True
        return any(
            self.shard.job_by_id[job_id].state.is_final
            for job_id in self.shard.dirty
            if job_id in self.shard.job_by_id
        )

    async def _await_more_changes(self) -> None:
        """Delay a commit that is not urgent, so that it can include more changes."""
        with trio.move_on_after(COMMIT_DELAY_S):
            while True:
                await self._wake.wait()
                self._wake = trio.Event()
                if self._is_urgent() or self.shard.waiting_by_step:
                    return

    async def _commit_and_send(self, assignments: list[Assignment]) -> None:
        """Commit the changes, then send the commands that depend on them."""
        report_losses(self.shard.losses, self.metrics)
        self._put_server_records(assignments)
        self._job_rows.put_changed()
        self._catalogue_publisher.put_changed(self.shard.catalogue)
        stops, self.shard.stops = self.shard.stops, []
        listed_by_session = {session: session.listed_to for session in self.sessions}
        starts = self._start_requests(assignments)
        refused = await self._write_batch.commit()
        unstored_job_ids = job_ids_of(refused)
        for session, request in starts:
            # What isn't stored would begin again at a takeover.
            if request.task.id.job_id not in unstored_job_ids:
                session.send(request)
        for stop in stops:
            stop_session = self.sessions.find(stop.server_id)
            if stop_session is not None:
                stop_session.send(StopRequest(stop.task, stop.run, stop.reason))
        for session, number in listed_by_session.items():
            if number > session.committed:
                session.committed = number
                session.wake()

    def _put_server_records(self, assignments: list[Assignment]) -> None:
        """Record the servers of assignments, no later than these are stored."""
        usage_by_id = self.shard.usage_by_server_id
        for assignment in assignments:
            usage = usage_by_id.get(assignment.server_id)
            if usage is not None:
                self.records.servers.note(usage.server)
                is_certain = usage.ends.are_certain
                self.records.used_lifetimes.note(usage.server.id, is_certain)
        names_in_use = self.shard.usages_by_server_name
        if self.records.has_loaded_servers:
            servers = self.records.servers.encode_changed(names_in_use)
            for key, value in servers.items():
                self._write_batch.put(server_records_row(self.name, key), value)
        if self.records.has_loaded_lifetimes.is_set():
            lifetimes = self.records.used_lifetimes.encode_changed(
                names_in_use, monotonic_s()
            )
            for key, value in lifetimes.items():
                self._write_batch.put(used_lifetimes_row(self.name, key), value)

    def _start_requests(
        self, assignments: list[Assignment]
    ) -> list[tuple[ServerSession, StartRequest]]:
        starts = []
        for assignment in assignments:
            task = self.shard.task(assignment.task)
            session = self.sessions.find(assignment.server_id)
            if task is None or session is None:
                continue
            spec = self.shard.job_by_id[task.id.job_id].spec
            if spec.job_id not in self._started_jobs and task.run == 1:
                self._started_jobs.add(spec.job_id)
                self.metrics.first_start_s.observe(
                    max(0.0, self.shard.wall_clock_s - spec.accepted_s)
                )
            ticket = self.tickets.find(task.id[:3], assignment.server_id)
            is_trial = self.shard.is_end_trial(task)
            request = StartRequest(
                task, assignment.run, spec.payload, ticket, is_trial=is_trial
            )
            starts.append((session, request))
        return starts

    async def _save_command_times(self) -> None:
        await self._save(
            host_orders_row(self.name), self.records.command_times.encode()
        )

    async def _save_silent_servers(self) -> None:
        await self._save(
            silent_servers_row(self.name), self.records.silent_servers.encode()
        )

    async def _save(self, name: RowName, value: bytes) -> None:
        """Write a row with the next commit and wait until it is stored."""
        saved = self._write_batch.put_awaited(name, value)
        self.wake()
        await saved.wait()

    def _save_wave(self, progress: WaveProgress) -> None:
        due_s = self.store.clock_s() + progress.due_at_s - monotonic_s()
        record = WaveRecord(
            tuple(sorted(progress.begun)),
            progress.is_complete,
            due_s,
            tuple(sorted(progress.unavailable)),
        )
        self._write_batch.put(
            wave_row(self.name, progress.wave.number), record.encode()
        )
        self.wave_status.put(progress.wave.number, progress.is_complete)
        self.wake()

    # Tickets from the advice service.

    async def _poll_tickets(self) -> None:
        async for _ in self.timers.every("tickets", TICKET_PERIOD_S):
            if await self.tickets.ask(self.shard, monotonic_s()):
                self.wake()

    def _remove_job_rows(self, job_id: str) -> None:
        self._started_jobs.discard(job_id)
        self._job_rows.remove(job_id)
