"""Moves hosts between pools and maintains them, for the holder of a shard."""

import logging
from collections.abc import Callable

import attrs
import trio

from rhubarbmount import log
from rhubarbmount.batch.capacity import CapacityPlanner, Move
from rhubarbmount.batch.catalogue import Catalogue
from rhubarbmount.batch.clocks import monotonic_s
from rhubarbmount.batch.election import ShardLease
from rhubarbmount.batch.host_commands import HostCommands
from rhubarbmount.batch.metrics import BatchMetrics
from rhubarbmount.batch.model import Host, StopReason, Wave
from rhubarbmount.batch.placing import Placer, Shortage
from rhubarbmount.batch.server_losses import ServerEnd
from rhubarbmount.batch.server_usage import ServerUsage
from rhubarbmount.batch.shard import Shard
from rhubarbmount.batch.wave_progress import Maintenance, WaveProgress
from rhubarbmount.batch.wave_record import WaveRecord
from rhubarbmount.batch.waves import WavePlanner
from rhubarbmount.errors import OutcomeUnknown, PlatformUnavailable
from rhubarbmount.platform.hosts import HostClient, HostResult
from rhubarbmount.timers import TimerService

__all__ = ["FleetController"]

logger = logging.getLogger(__name__)

PLAN_PERIOD_S = 0.1
LIST_PERIOD_S = 0.4
IDLE_LIST_PERIOD_S = 4.0
SHORTAGE_LOG_PERIOD_S = 1.0
# Time after which an end is listed.
END_LISTED_S = 0.5


@attrs.define(eq=False)
class FleetController:
    """Plans moves and maintenance waves periodically and commands the hosts.

    ``save_wave`` stores the progress of a wave with the next commit.
    """

    shard: Shard
    placer: Placer
    shard_lease: ShardLease
    client: HostClient
    commands: HostCommands
    timers: TimerService
    metrics: BatchMetrics
    store_clock_s: Callable[[], float]
    save_wave: Callable[[WaveProgress], None]
    wake_scheduler: Callable[[], None]
    # How long a run may go on that the last holder has told to stop.
    stop_s: float
    host_by_id: dict[str, Host] = attrs.field(factory=dict)
    wave_by_number: dict[int, WaveProgress] = attrs.field(factory=dict)
    capacity: CapacityPlanner = attrs.field(factory=CapacityPlanner)
    waves: WavePlanner = attrs.field(init=False)
    # When the last read of the list began, and when the last one that succeeded did.
    _read_at_s: float = 0.0
    _listed_at_s: float = 0.0
    _left_out: int = 0
    _is_list_requested: bool = True
    _pools_short_for_waves: set[str] = attrs.field(factory=set)
    _pools_keeping_servers: set[str] = attrs.field(factory=set)
    _wait_reason_by_host: dict[str, str] = attrs.field(factory=dict)
    _shortages_logged_at_s: float = 0.0
    _nursery: trio.Nursery | None = None

    def __attrs_post_init__(self) -> None:
        evicts_from_s = monotonic_s() + self.stop_s + END_LISTED_S
        self.waves = WavePlanner(self.shard, evicts_from_s)

    def put_wave(self, wave: Wave, record: WaveRecord | None) -> None:
        """Add a wave requested by the operator, with its stored progress if any."""
        if wave.number in self.wave_by_number:
            return
        progress = WaveProgress(wave, monotonic_s() + wave.deadline_s)
        if record is not None:
            if record.due_s:
                left_s = record.due_s - self.store_clock_s()
                progress.due_at_s = monotonic_s() + left_s
            progress.begun.update(record.begun)
            progress.unavailable.update(record.unavailable)
            progress.is_complete = record.is_complete
        self.wave_by_number[wave.number] = progress
        log.event(
            logger,
            "wave",
            wave=wave.number,
            hosts=len(wave.host_ids),
            limit=wave.limit,
            deadline_s=wave.deadline_s,
            begun=len(progress.begun),
        )
        if record is None:
            self.save_wave(progress)

    def request_list(self) -> None:
        """Have the list of hosts read again soon."""
        self._is_list_requested = True

    async def run(self) -> None:
        """Plan and command hosts until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            async for _ in self.timers.every("fleet", PLAN_PERIOD_S):
                await self._round()

    async def _round(self) -> None:
        now_s = monotonic_s()
        if self._is_list_due(now_s):
            await self._read_list()
        if not self.host_by_id or not self.shard_lease.is_valid(monotonic_s()):
            return
        self._plan_waves()
        self._plan_moves()

    def _is_list_due(self, now_s: float) -> bool:
        age_s = now_s - self._read_at_s
        is_waiting = self._is_list_requested or bool(self.commands)
        is_waiting = is_waiting or any(
            progress.unavailable or progress.needs_list
            for progress in self.wave_by_number.values()
        )
        return age_s >= (LIST_PERIOD_S if is_waiting else IDLE_LIST_PERIOD_S)

    async def _read_list(self) -> None:
        self._read_at_s = monotonic_s()
        earlier_waves = tuple(self.wave_by_number.values())
        resolved_host_ids = {
            host_id
            for progress in self.wave_by_number.values()
            for host_id in progress.unavailable
            if self.commands.may_command(host_id)
        }
        try:
            host_list = await self.client.list()
        except (PlatformUnavailable, OutcomeUnknown) as error:
            log.event(logger, "hosts-not-listed", logging.WARNING, code=error.code)
            return
        self._listed_at_s = self._read_at_s
        self._note_left_out(host_list.left_out)
        for progress in earlier_waves:
            progress.has_whole_list = not host_list.left_out
        hosts = host_list.hosts
        self.host_by_id = {host.id: host for host in hosts}
        for progress in self.wave_by_number.values():
            progress.note_listed(self.host_by_id, resolved_host_ids)
        listed = {host.server_name for host in hosts}
        self._is_list_requested = any(
            name not in listed for name in self.shard.usages_by_server_name
        )

    def _note_left_out(self, left_out: int) -> None:
        """Log when the number of entries that could not be decoded has changed."""
        if left_out != self._left_out:
            log.event(logger, "hosts-left-out", logging.WARNING, entries=left_out)
        self._left_out = left_out

    # Waves.

    def _plan_waves(self) -> None:
        self._pools_short_for_waves = set()
        self._pools_keeping_servers = set()
        if all(item.is_complete for item in self.wave_by_number.values()):
            return
        plan = self.waves.plan(
            self.wave_by_number.values(),
            self.host_by_id,
            monotonic_s(),
            is_room_short=bool(self.placer.shortage_by_pool),
        )
        for usage in self.shard.usage_by_server_id.values():
            usage.is_closed = usage.server.name in plan.closed_server_names
            usage.is_due = usage.server.name in plan.due_server_names
            usage.awaits_place = usage.server.name in plan.placeless_server_names
        self._pools_short_for_waves = plan.short_pools
        self._pools_keeping_servers = plan.holding_pools
        self._log_waits(plan.wait_by_host)
        for task in plan.evict:
            log.event(
                logger,
                "evict",
                job=task.id.job_id,
                task=task.id.place,
                server=task.server_id,
            )
            self.shard.stop_run(task, StopReason.WAVE)
            self.wake_scheduler()
        for maintenance in plan.begin:
            self._start_maintenance(maintenance)
        for progress in plan.completed:
            progress.is_complete = True
            log.event(logger, "wave-complete", wave=progress.wave.number)
            self.save_wave(progress)

    def _start_maintenance(self, maintenance: Maintenance) -> None:
        if not self._start_command(maintenance.host_id, self._maintain, maintenance):
            return
        progress = self.wave_by_number[maintenance.wave]
        log.event(
            logger,
            "maintenance-decided",
            host=maintenance.host_id,
            wave=maintenance.wave,
            unavailable=len(progress.unavailable),
            limit=progress.wave.limit,
            list_age_s=monotonic_s() - self._listed_at_s,
        )
        progress.unavailable.add(maintenance.host_id)
        self.save_wave(progress)

    def _log_waits(self, wait_by_host: dict[str, str]) -> None:
        for host_id, reason in wait_by_host.items():
            if self._wait_reason_by_host.get(host_id) != reason:
                log.event(logger, "wave-waits", host=host_id, reason=reason)
        self._wait_reason_by_host = wait_by_host

    async def _maintain(
        self, maintenance: Maintenance, may_begin: Callable[[], bool]
    ) -> bool:
        """Maintain a host; return whether this has ended its server."""
        progress = self.wave_by_number[maintenance.wave]
        result = await self.commands.maintain(
            maintenance.host_id, maintenance.wave, may_begin
        )
        self.metrics.host_orders.labels("maintain", result.value).inc()
        log.event(
            logger,
            "maintain",
            host=maintenance.host_id,
            wave=maintenance.wave,
            outcome=result.value,
            list_age_s=monotonic_s() - self._listed_at_s,
        )
        if result is HostResult.DONE:
            progress.begun.add(maintenance.host_id)
            self.save_wave(progress)
        elif result is HostResult.NOT_IN_WAVE or result is HostResult.REFUSED:
            progress.begun.add(maintenance.host_id)
        else:
            progress.unavailable.discard(maintenance.host_id)
        return result is HostResult.DONE

    # Moves.

    def _plan_moves(self) -> None:
        moves = self.capacity.plan(
            monotonic_s(),
            self.catalogue,
            self.host_by_id.values(),
            self.shard.usages_by_server_name,
            self._shortages(),
            self.shard.demand,
            self._pools_keeping_servers,
            {name for name in self.host_by_id if not self.commands.may_command(name)},
            self.shard.count_stranded(),
        )
        self._log_shortages()
        self._mark_emptying()
        for move in moves:
            self.capacity.note_command(move, monotonic_s())
            self._start_command(move.host_id, self._move, move)

    def _mark_emptying(self) -> None:
        """Keep new tasks from the hosts that are emptied for pools without servers."""
        names = set()
        for host_id in self.capacity.starved.emptying_host_ids:
            host = self.host_by_id[host_id]
            names.add(host.server_name)
            for usage in self.shard.usages_on(host):
                if not usage.is_emptying:
                    log.event(
                        logger,
                        "host-emptying",
                        host=host_id,
                        server=usage.server.id,
                        pool=self.capacity.starved.pool_waiting_for(host_id),
                        tasks=len(usage.task_by_id),
                    )
        for usage in self.shard.usage_by_server_id.values():
            usage.is_emptying = usage.server.name in names

    def _log_shortages(self) -> None:
        """Log at most once a second which pools lack capacity for waiting tasks.

        What every pool has is logged beside it, as others may hold the hosts that lack.
        """
        now_s = monotonic_s()
        if now_s < self._shortages_logged_at_s + SHORTAGE_LOG_PERIOD_S:
            return
        for pool, shortage in self.placer.shortage_by_pool.items():
            self._shortages_logged_at_s = now_s
            log.event(
                logger,
                "pool-short",
                pool=pool,
                tasks=shortage.tasks,
                cpu=shortage.cpu_millicores,
                work_core_s=shortage.work_core_s,
                ready_cores=self.shard.demand.ready_cores(pool, now_s),
                free_hosts=self.capacity.free_hosts_left,
                list_age_s=now_s - self._listed_at_s,
            )
        if self.placer.shortage_by_pool:
            self._log_capacities()

    def _log_capacities(self) -> None:
        for pool, capacity in self.capacity.capacity_by_pool.items():
            log.event(
                logger,
                "pool-capacity",
                pool=pool,
                needed=capacity.needed_millicores,
                had=capacity.available_millicores,
                used=capacity.used_millicores,
                long_running=capacity.long_running_millicores,
                arriving=capacity.arriving_millicores,
                free_servers=capacity.free_servers,
            )

    def _shortages(self) -> dict[str, Shortage]:
        """Return what pools lack, including a server for tasks evicted by a wave."""
        shortages = dict(self.placer.shortage_by_pool)
        for pool in self._pools_short_for_waves:
            shortage = shortages.get(pool, Shortage())
            shortages[pool] = attrs.evolve(shortage, servers=max(1, shortage.servers))
        return shortages

    @property
    def catalogue(self) -> Catalogue:
        """Return the current configuration."""
        return self.shard.catalogue

    async def _move(self, move: Move, may_begin: Callable[[], bool]) -> bool:
        """Move a host; return whether this has ended its server."""
        decided_at_s = monotonic_s()
        result = await self.commands.move(move.host_id, move.pool, may_begin)
        self.metrics.host_orders.labels("move", result.value).inc()
        log.event(
            logger,
            "move",
            host=move.host_id,
            pool=move.pool,
            reason=move.reason,
            needed=move.needed_millicores,
            had=move.available_millicores,
            idle_s=move.idle_s,
            outcome=result.value,
            held_s=monotonic_s() - decided_at_s,
        )
        if result is not HostResult.DONE:
            self.capacity.drop_command(move.host_id)
        return result is HostResult.DONE

    # Commands to hosts.

    def _start_command(self, host_id: str, action: Callable, decision: object) -> bool:
        """Start a command if the host may be sent one; return whether it was started.

        Nothing is sent before the caller's next checkpoint.
        """
        if not self.commands.may_command(host_id) or self._nursery is None:
            return False
        self.commands.reserve(host_id)
        host = self.host_by_id[host_id]
        known = list(self.shard.usages_on(host))
        for usage in known:
            usage.has_pending_command = True
        self._nursery.start_soon(self._run_command, host, known, action, decision)
        return True

    def _may_begin(self, host: Host, known: list[ServerUsage]) -> bool:
        """Return whether a command would end no tasks of a server that has appeared.

        Those that were known when the command was decided have been closed since.
        """
        for usage in self.shard.usages_of_host(host):
            if usage not in known and not usage.is_idle:
                return False
        self.shard.begin_host_command(host)
        return True

    async def _run_command(
        self,
        host: Host,
        known: list[ServerUsage],
        action: Callable,
        decision: object,
    ) -> None:
        """Command a host on which lifetimes ran when the command was decided.

        A later lifetime under the same name may have followed the command.
        """
        try:
            if await action(decision, lambda: self._may_begin(host, known)):
                for usage in known:
                    self._end_commanded(host.id, usage.server.id)
                self.wake_scheduler()
        finally:
            self.commands.release(host.id)
            self._is_list_requested = True
            self.shard.end_host_command(host)
            for usage in known:
                usage.has_pending_command = False

    def _end_commanded(self, host_id: str, server_id: str) -> None:
        tasks = self.shard.lose_server(server_id, monotonic_s(), ServerEnd.PLANNED)
        log.event(
            logger,
            "server-ended",
            server=server_id,
            reason="commanded",
            by="",
            tasks=tasks,
            host=host_id,
        )
