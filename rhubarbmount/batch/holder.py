"""What the holder of a shard does while its lease lasts."""

import logging
from collections.abc import Mapping

import attrs
import trio

from rhubarbmount import log
from rhubarbmount.batch.catalogue import Catalogue
from rhubarbmount.batch.clocks import boot_s, day_s
from rhubarbmount.batch.committer import MAX_ROWS_PER_COMMIT, Committer
from rhubarbmount.batch.demand import work_core_s
from rhubarbmount.batch.election import LeaseTerm
from rhubarbmount.batch.fleet_keeper import FleetKeeper, WaveRecord
from rhubarbmount.batch.follow import TableFollower, read_parts
from rhubarbmount.batch.host_orders import HostOrders
from rhubarbmount.batch.link import (
    BackendLink,
    LinkListener,
    StartRequest,
    StopRequest,
)
from rhubarbmount.batch.metrics import BatchMetrics
from rhubarbmount.batch.model import (
    Assignment,
    Job,
    QueueName,
    RunReport,
    Server,
    Task,
    TaskId,
    TaskState,
    Wave,
)
from rhubarbmount.batch.placing import Placer
from rhubarbmount.batch.records import (
    decode_progress,
    decode_spec,
    encode_pending,
    encode_progress,
)
from rhubarbmount.batch.rooms import ServerRoom
from rhubarbmount.batch.shard import Shard
from rhubarbmount.batch.stragglers import is_straggling, needs_watch
from rhubarbmount.batch.tables import (
    CANCEL_SUFFIX,
    HOST_ORDERS_TABLE,
    PROGRESS_TABLE,
    REQUESTS_TABLE,
    WAVES_TABLE,
    cancel_row,
    host_orders_row,
    pending_row,
    progress_row,
    request_parts,
    request_row,
    wave_row,
)
from rhubarbmount.batch.tickets import TicketDesk
from rhubarbmount.batch.wave_status import WaveStatusWriter
from rhubarbmount.batch.waves import WaveProgress
from rhubarbmount.errors import OutcomeUnknown, PlatformUnavailable
from rhubarbmount.platform.backend import BackendCalls, OrderResult, RenewalAnswer
from rhubarbmount.platform.directory import (
    SERVERS_TABLE,
    UnreadableRow,
    decode_server,
)
from rhubarbmount.platform.hosts import HostCalls
from rhubarbmount.platform.rows import Page, Row, RowName, RowStore
from rhubarbmount.platform.settings import Bounds
from rhubarbmount.timers import TimerService

__all__ = ["Holder"]

logger = logging.getLogger(__name__)

ROUND_PERIOD_S = 0.25
PENDING_PERIOD_S = 0.5
LOAD_RETRY_S = 0.1
FULL_PAUSE_S = 0.15
SLOW_PAUSE_S = 4.0
DOUBT_S = 2.0
FORGET_PERIOD_S = 10.0
FORGET_AFTER_S = 60.0
FORGET_AT_ONCE = 50
# A run that is stopped may be listed nowhere for a moment.
STOP_SETTLED_S = 0.5
LAZY_COMMIT_S = 0.06


@attrs.define(eq=False)
class Holder(LinkListener):
    """Schedules the jobs of one shard; everything it knows came from rows."""

    store: RowStore
    name: str
    term: LeaseTerm
    committer: Committer
    backend_calls: BackendCalls
    host_calls: HostCalls
    tickets: TicketDesk
    timers: TimerService
    bounds: Bounds
    metrics: BatchMetrics
    orders: HostOrders = attrs.field(init=False)
    shard: Shard = attrs.field(init=False)
    placer: Placer = attrs.field(init=False)
    fleet: FleetKeeper = attrs.field(init=False)
    wave_status: WaveStatusWriter = attrs.field(init=False)
    _started_at_s: float = attrs.field(factory=boot_s)
    _link_by_server: dict[str, BackendLink] = attrs.field(factory=dict)
    _ended_servers: set[str] = attrs.field(factory=set)
    _wake: trio.Event = attrs.field(factory=trio.Event)
    _puts: dict[RowName, bytes] = attrs.field(factory=dict)
    _removes: list[RowName] = attrs.field(factory=list)
    _waiting_for_commit: list[trio.Event] = attrs.field(factory=list)
    _wave_records: dict[int, WaveRecord] = attrs.field(factory=dict)
    _pending: dict[QueueName, int] = attrs.field(factory=dict)
    _pending_at_s: float = 0.0
    _doubtful_until_s: float = 0.0
    _request_parts: frozenset[str] = attrs.field(init=False)
    _begun_jobs: set[str] = attrs.field(factory=set)
    _stops_sent: dict[tuple[str, TaskId, int], float] = attrs.field(factory=dict)
    _nursery: trio.Nursery | None = None

    def __attrs_post_init__(self) -> None:
        self.shard = Shard(Catalogue(0, {}, {}), day_s=day_s())
        self._request_parts = frozenset(request_parts(self.name))
        self.placer = Placer(self.shard, self.tickets.by_step)
        self.wave_status = WaveStatusWriter(self.store)
        self.orders = HostOrders(self.store.clock_s, self.bounds.lease_s)
        self.fleet = FleetKeeper(
            shard=self.shard,
            placer=self.placer,
            term=self.term,
            calls=self.host_calls,
            timers=self.timers,
            metrics=self.metrics,
            orders=self.orders,
            save_wave=self._save_wave,
            save_orders=self._save_orders,
            wake_scheduler=self.wake,
        )

    # Life.

    async def run(self, catalogue: Catalogue, waves: Mapping[int, Wave]) -> None:
        """Load the shard and schedule it until cancelled. Raises LeaseLost."""
        self.shard.catalogue = catalogue
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await self.committer.begin()
            requests_version, servers_version = await self._load()
            for wave in waves.values():
                self.put_wave(wave)
            nursery.start_soon(self._follow(REQUESTS_TABLE, requests_version).run)
            nursery.start_soon(self._follow(SERVERS_TABLE, servers_version).run)
            nursery.start_soon(self.fleet.run)
            nursery.start_soon(self.wave_status.run)
            nursery.start_soon(self._wake_regularly)
            nursery.start_soon(self._forget_regularly)
            nursery.start_soon(self._ask_for_tickets)
            await self._schedule()

    def set_catalogue(self, catalogue: Catalogue) -> None:
        """Go on under another configuration."""
        self.shard.catalogue = catalogue
        self.wake()

    def put_wave(self, wave: Wave) -> None:
        """Take in a wave that the operator asks for."""
        record = self._wave_records.get(wave.number)
        self.fleet.put_wave(wave, record)
        if record is not None:
            self.wave_status.put(wave.number, record.is_complete)

    def wake(self) -> None:
        """Let the scheduler run soon."""
        self._wake.set()

    async def _wake_regularly(self) -> None:
        async for _ in self.timers.every("schedule", ROUND_PERIOD_S):
            self.wake()

    async def _load(self) -> tuple[int, int]:
        requests = await self._read_all(REQUESTS_TABLE, *request_parts(self.name))
        progress = await self._read_all(PROGRESS_TABLE, self.name)
        waves = await self._read_all(WAVES_TABLE, self.name)
        orders = await self._read_all(HOST_ORDERS_TABLE, self.name)
        servers = await self._read_all(SERVERS_TABLE, "")
        for row in orders.rows:
            self.orders.load(row.value)
        for row in waves.rows:
            self._wave_records[int(row.name.key)] = WaveRecord.decode(row.value)
        for row in servers.rows:
            self._put_server(row)
        self._load_jobs(requests, progress)
        log.event(
            logger,
            "shard-loaded",
            shard=self.name,
            fence=self.term.fence,
            jobs=len(self.shard.job_by_id),
            servers=len(self.shard.room_by_server),
            version=progress.version,
            took_ms=int((boot_s() - self._started_at_s) * 1000),
        )
        return requests.version, servers.version

    async def _read_all(self, table: str, *parts: str) -> Page:
        while True:
            try:
                return await read_parts(self.store, table, parts)
            except (PlatformUnavailable, OutcomeUnknown) as error:
                log.event(
                    logger, "load-failed", logging.WARNING, table=table, code=error.code
                )
                await trio.sleep(LOAD_RETRY_S)

    def _load_jobs(self, requests: Page, progress: Page) -> None:
        progress_by_id = {row.name.key: row.value for row in progress.rows}
        cancelled = []
        for row in requests.rows:
            if row.name.key.endswith(CANCEL_SUFFIX):
                cancelled.append(row.name.key.removesuffix(CANCEL_SUFFIX))
                continue
            job = Job(decode_spec(row.value))
            if row.name.key in progress_by_id:
                decode_progress(progress_by_id[row.name.key], job)
            self.shard.add_job(job)
        for job_id in cancelled:
            self.shard.cancel(job_id)
        for server_id in self.shard.unknown_servers():
            self._watch_unknown(server_id)

    def _watch_unknown(self, server_id: str) -> None:
        """Wait until nothing can run on a server that is not listed any more."""
        if self._nursery is not None:
            self._nursery.start_soon(self._lose_later, server_id)

    async def _lose_later(self, server_id: str) -> None:
        await trio.sleep(self.bounds.max_lease_s * 1.0205 + 0.2)
        if server_id not in self.shard.room_by_server:
            self.shard.lose_server(server_id, boot_s())
            self.wake()

    # Rows of others.

    def _follow(self, table: str, version: int) -> TableFollower:
        apply = self._apply_requests if table == REQUESTS_TABLE else self._apply_servers
        parts = tuple(request_parts(self.name)) if table == REQUESTS_TABLE else ("",)
        return TableFollower(self.store, table, parts, apply, version)

    def _apply_requests(self, page: Page, is_whole: bool) -> None:
        self.shard.day_s = day_s()
        for row in page.rows:
            if row.name.part not in self._request_parts or not row.version:
                continue
            if row.name.key.endswith(CANCEL_SUFFIX):
                self.shard.cancel(row.name.key.removesuffix(CANCEL_SUFFIX))
            elif row.name.key not in self.shard.job_by_id:
                spec = decode_spec(row.value)
                self.shard.add_job(Job(spec))
                pool = self.shard.pool_of(spec)
                self.shard.demand.note(pool, work_core_s(spec), boot_s())
                log.frequent_event(
                    logger, "job-seen", job=row.name.key, version=row.version
                )
        self.wake()

    def _apply_servers(self, page: Page, is_whole: bool) -> None:
        if is_whole:
            listed = {row.name.key for row in page.rows}
            for server_id in list(self.shard.room_by_server):
                if server_id not in listed:
                    self._unlist(server_id)
        for row in page.rows:
            self._put_server(row)
        self.wake()

    def _put_server(self, row: Row) -> None:
        server_id = row.name.key
        if not row.version:
            self._unlist(server_id)
            return
        if server_id in self._ended_servers:
            return
        try:
            server = decode_server(row)
        except UnreadableRow as error:
            log.event(
                logger,
                "server-unreadable",
                logging.WARNING,
                server=server_id,
                version=row.version,
                reason=error.message,
            )
            self._unlist(server_id)
            return
        self._end_earlier_lifetime(server)
        was_draining = self._is_draining(server_id)
        room = self.shard.put_server(server, boot_s())
        self._open_link(room)
        if server.is_draining and not was_draining:
            self._leave_draining(room)

    def _is_draining(self, server_id: str) -> bool:
        room = self.shard.room_by_server.get(server_id)
        return room is not None and room.server.is_draining

    def _end_earlier_lifetime(self, server: Server) -> None:
        for room in list(self.shard.room_by_server.values()):
            other = room.server
            is_same_place = other.address == server.address and other.id != server.id
            if is_same_place and other.version < server.version:
                self._lose(other.id, "address-reused")

    def _unlist(self, server_id: str) -> None:
        room = self.shard.room_by_server.get(server_id)
        if room is None:
            return
        room.is_listed = False
        log.event(logger, "server-unlisted", server=server_id)
        if room.is_idle:
            self._lose(server_id, "unlisted")

    def _leave_draining(self, room: ServerRoom) -> None:
        """Move what would not end before the server leaves."""
        log.event(logger, "server-draining", server=room.server.id)
        now_s = boot_s()
        for task in list(room.task_by_id.values()):
            step = room.step_by_task[task.id]
            left_s = step.estimate_s - (now_s - task.assigned_s)
            if step.is_long_running or left_s > self.bounds.drain_s:
                self.shard.stop_run(task)

    def _lose(self, server_id: str, reason: str) -> None:
        room = self.shard.room_by_server.get(server_id)
        log.event(
            logger,
            "server-ended",
            server=server_id,
            reason=reason,
            tasks=len(room.task_by_id) if room else 0,
        )
        self._ended_servers.add(server_id)
        self.shard.lose_server(server_id, boot_s())
        self.wake()

    # Links.

    def _open_link(self, room: ServerRoom) -> None:
        if room.server.id in self._link_by_server or self._nursery is None:
            link = self._link_by_server.get(room.server.id)
            if link is not None:
                link.server = room.server
            return
        link = BackendLink(
            server=room.server,
            calls=self.backend_calls,
            term=self.term,
            listener=self,
            max_lease_s=self.bounds.max_lease_s,
            taken_at_s=self._started_at_s,
            metrics=self.metrics,
            has_work=lambda: not room.is_idle,
            is_watchful=lambda: needs_watch(room, boot_s()),
        )
        self._link_by_server[room.server.id] = link
        self._nursery.start_soon(link.run)
        self.fleet.want_list()

    def _close_links(self) -> None:
        for server_id, link in list(self._link_by_server.items()):
            if server_id not in self.shard.room_by_server:
                link.close()
                del self._link_by_server[server_id]

    def listed(self, link: BackendLink, answer: RenewalAnswer, sent_s: float) -> None:
        """Take in what a backend server lists."""
        room = self.shard.room_by_server.get(link.server.id)
        if room is None:
            return
        now_s = boot_s()
        self.shard.day_s = day_s()
        for end in answer.ended:
            if end.number > link.listed_to:
                is_news = self.shard.end_run(link.server.id, end, now_s)
                self.metrics.ends.labels(end.how).inc()
                log.frequent_event(
                    logger,
                    "run-ended",
                    job=end.task.job_id,
                    task=end.task.place,
                    run=end.run,
                    server=link.server.id,
                    how=end.how,
                    is_news=is_news,
                )
        running = {(item.task, item.run): item for item in answer.running}
        for item in answer.running:
            task = self.shard.task(item.task)
            if task is None or not _is_run_of(task, item.run, link.server.id):
                self._stop_stray(link, item.task, item.run)
            else:
                self._note_progress(room, task, item, now_s)
        for task in list(room.task_by_id.values()):
            if (task.id, task.run) not in running:
                self._settle_missing(link, task, sent_s, now_s)
        self.wake()

    def _note_progress(
        self, room: ServerRoom, task: Task, report: RunReport, now_s: float
    ) -> None:
        if report.checkpoint:
            task.checkpoint = report.checkpoint
        if task.assigned_s == 0.0:
            # The run of an earlier holder is judged from when it was first seen.
            task.assigned_s = task.progressed_s = task.settled_s = now_s
        if task.percent != report.percent:
            task.percent = report.percent
            task.progressed_s = now_s
        task.looked_s = now_s
        straggler = is_straggling(task, room.step_by_task[task.id], now_s)
        if straggler is None:
            return
        log.event(
            logger,
            "straggler",
            job=task.id.job_id,
            task=task.id.place,
            run=task.run,
            server=room.server.id,
            reason=straggler.reason,
            percent=task.percent,
            left_s=straggler.left_s,
        )
        task.failed_on = room.server.id
        room.slow_until_s = now_s + SLOW_PAUSE_S
        self.shard.stop_run(task)

    def _stop_stray(self, link: BackendLink, task_id: TaskId, run: int) -> None:
        key = (link.server.id, task_id, run)
        if boot_s() - self._stops_sent.get(key, -10.0) > 1.0:
            self._stops_sent[key] = boot_s()
            link.send(StopRequest(task_id, run))

    def _settle_missing(
        self, link: BackendLink, task: Task, sent_s: float, now_s: float
    ) -> None:
        """Decide on a run that should be there and isn't listed."""
        is_of_last_holder = task.assigned_s == 0.0
        if is_of_last_holder:
            if not link.is_greeted:
                self.shard.release(task, now_s)
        elif 0.0 < task.settled_s < sent_s:
            log.event(
                logger,
                "run-vanished",
                logging.WARNING,
                job=task.id.job_id,
                task=task.id.place,
                run=task.run,
                server=link.server.id,
            )
            self.shard.release(task, now_s)

    def not_started(
        self, link: BackendLink, request: StartRequest, result: OrderResult
    ) -> None:
        """Let a task wait again whose run surely did not start."""
        room = self.shard.room_by_server.get(link.server.id)
        now_s = boot_s()
        if room is not None:
            room.full_until_s = now_s + FULL_PAUSE_S
            if result is OrderResult.NOT_DONE:
                room.failures_in_a_row += 1
                room.failed_at_s = now_s
        if result is OrderResult.NO_TICKET:
            self.tickets.drop(request.task.id[:3], link.server.id)
        if request.is_wanted(link.server.id):
            self.shard.release(request.task, now_s)
        self.wake()

    def stopped(self, link: BackendLink, request: StopRequest) -> None:
        """Take in that a run has been forbidden for good."""
        room = self.shard.room_by_server.get(link.server.id)
        task = room.task_by_id.get(request.task) if room is not None else None
        if task is not None and task.run == request.run:
            task.settled_s = boot_s() + STOP_SETTLED_S
            if request.then_release:
                self.shard.release(task, boot_s())
                self.wake()

    def ended(self, link: BackendLink) -> None:
        """Take in that the lifetime is surely over."""
        self._lose(link.server.id, "other-lifetime")

    def lapsed(self, link: BackendLink) -> None:
        """Take in that every lease granted there has surely ended."""
        room = self.shard.room_by_server.get(link.server.id)
        log.event(
            logger,
            "leases-lapsed",
            logging.WARNING,
            server=link.server.id,
            tasks=len(room.task_by_id) if room else 0,
        )
        if room is not None and not room.is_listed:
            self._lose(link.server.id, "lapsed")
        else:
            self.shard.lapse_runs(link.server.id, boot_s())
        self.wake()

    def reached(self, link: BackendLink, is_reached: bool) -> None:
        """Take in whether the backend server answers."""
        room = self.shard.room_by_server.get(link.server.id)
        if room is not None:
            room.is_reachable = is_reached
        self.wake()

    def unanswered(self) -> None:
        """Take in that an order to any backend server was not answered."""
        self._doubtful_until_s = boot_s() + DOUBT_S

    def is_doubtful(self) -> bool:
        """Tell whether answers got lost lately, so that long waits cost much."""
        return boot_s() < self._doubtful_until_s

    # Scheduling.

    async def _schedule(self) -> None:
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            self.shard.day_s = day_s()
            self.shard.open_due()
            assignments = self.placer.place(boot_s())
            self._close_links()
            waiting = sum(map(len, self.shard.waiting_by_step.values()))
            self.metrics.waiting_tasks.set(waiting)
            if not assignments and not self._is_urgent():
                await self._await_more()
                assignments = self.placer.place(boot_s())
            await self._carry_out(assignments)

    def _is_urgent(self) -> bool:
        """Tell whether a caller or a backend server waits for the next commit."""
        if self.shard.stops or self._puts or not self.shard.dirty:
            return True
        return any(
            self.shard.job_by_id[job_id].state.is_final
            for job_id in self.shard.dirty
            if job_id in self.shard.job_by_id
        )

    async def _await_more(self) -> None:
        """Wait a little for more changes that one commit can hold."""
        with trio.move_on_after(LAZY_COMMIT_S):
            while True:
                await self._wake.wait()
                self._wake = trio.Event()
                if self._is_urgent() or self.shard.waiting_by_step:
                    return

    async def _carry_out(self, assignments: list[Assignment]) -> None:
        """Commit what changed, then let it take effect."""
        puts = self._take_puts()
        removes, self._removes = self._removes, []
        waiting, self._waiting_for_commit = self._waiting_for_commit, []
        stops, self.shard.stops = self.shard.stops, []
        listed_by_link = {
            link: link.listed_to for link in self._link_by_server.values()
        }
        starts = self._start_requests(assignments)
        names = list(puts)
        for at in range(0, len(names), MAX_ROWS_PER_COMMIT):
            chunk = names[at : at + MAX_ROWS_PER_COMMIT]
            await self.committer.commit({name: puts[name] for name in chunk})
        if removes:
            await self.committer.commit({}, tuple(removes))
        for saved in waiting:
            saved.set()
        for link, request in starts:
            link.send(request)
        for stop in stops:
            stopped_at = self._link_by_server.get(stop.server_id)
            if stopped_at is not None:
                stopped_at.send(StopRequest(stop.task, stop.run))
        for link, number in listed_by_link.items():
            if number > link.committed:
                link.committed = number
                link.wake()

    def _take_puts(self) -> dict[RowName, bytes]:
        puts, self._puts = self._puts, {}
        dirty, self.shard.dirty = self.shard.dirty, set()
        for job_id in dirty:
            job = self.shard.job_by_id.get(job_id)
            if job is not None:
                if job.state.is_final:
                    self._log_job_end(job)
                puts[progress_row(self.name, job_id)] = encode_progress(job)
        self._add_pending(puts)
        return puts

    def _log_job_end(self, job: Job) -> None:
        spec = job.spec
        tasks = job.tasks()
        log.frequent_event(
            logger,
            "job-ended",
            job=spec.job_id,
            queue=spec.queue.prefix,
            state=job.state.value,
            took_s=self.shard.day_s - spec.accepted_s,
            runs=sum(task.run for task in tasks),
            failures=sum(task.failures for task in tasks),
            catalogue=self.shard.catalogue.version,
        )

    def _add_pending(self, puts: dict[RowName, bytes]) -> None:
        now_s = boot_s()
        if now_s < self._pending_at_s + PENDING_PERIOD_S:
            return
        pending = self.shard.count_pending()
        if pending != self._pending or not self._pending_at_s:
            self._pending = pending
            self._pending_at_s = now_s
            puts[pending_row(self.name)] = encode_pending(pending)

    def _start_requests(
        self, assignments: list[Assignment]
    ) -> list[tuple[BackendLink, StartRequest]]:
        starts = []
        for assignment in assignments:
            task = self.shard.task(assignment.task)
            link = self._link_by_server.get(assignment.server_id)
            if task is None or link is None:
                continue
            spec = self.shard.job_by_id[task.id.job_id].spec
            if spec.job_id not in self._begun_jobs and task.run == 1:
                self._begun_jobs.add(spec.job_id)
                self.metrics.first_start_s.observe(
                    max(0.0, self.shard.day_s - spec.accepted_s)
                )
            ticket = self.tickets.find(task.id[:3], assignment.server_id)
            request = StartRequest(task, assignment.run, spec.payload, ticket)
            starts.append((link, request))
        return starts

    async def _save_orders(self) -> None:
        self._puts[host_orders_row(self.name)] = self.orders.encode()
        saved = trio.Event()
        self._waiting_for_commit.append(saved)
        self.wake()
        await saved.wait()

    def _save_wave(self, progress: WaveProgress) -> None:
        record = WaveRecord(tuple(sorted(progress.begun)), progress.is_complete)
        self._puts[wave_row(self.name, progress.wave.number)] = record.encode()
        self.wave_status.put(progress.wave.number, progress.is_complete)
        self.wake()

    # Advice.

    async def _ask_for_tickets(self) -> None:
        async for _ in self.timers.every("tickets", 0.05):
            if await self.tickets.ask(self.shard, boot_s()):
                self.wake()

    # Jobs that ended long ago.

    async def _forget_regularly(self) -> None:
        async for _ in self.timers.every("forget", FORGET_PERIOD_S):
            await self._forget(day_s() - self.bounds.status_s - FORGET_AFTER_S)

    async def _forget(self, before_s: float) -> None:
        old = [
            job_id
            for job_id, job in self.shard.job_by_id.items()
            if job.state.is_final and job.ended_s < before_s
        ]
        for job_id in old[:FORGET_AT_ONCE]:
            await self._forget_job(job_id)

    async def _forget_job(self, job_id: str) -> None:
        """Remove a job's rows; one without progress would seem to be new."""
        names = (request_row(self.name, job_id), cancel_row(self.name, job_id))
        try:
            await self.store.commit({}, {}, names)
        except (PlatformUnavailable, OutcomeUnknown) as error:
            log.event(logger, "job-not-forgotten", job=job_id, code=error.code)
            return
        self.shard.forget(job_id)
        self._begun_jobs.discard(job_id)
        self._removes.append(progress_row(self.name, job_id))


def _is_run_of(task: Task | None, run: int, server_id: str) -> bool:
    return (
        task is not None
        and task.state is TaskState.ASSIGNED
        and task.run == run
        and task.server_id == server_id
    )
