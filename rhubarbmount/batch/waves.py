"""Plans maintenance waves by deadline and concurrency limit; performs no I/O."""

from collections import Counter
from collections.abc import Collection, Iterable, Mapping

import attrs

from rhubarbmount.batch.model import Host, HostState, Task, Wave
from rhubarbmount.batch.server_usage import ServerUsage
from rhubarbmount.batch.shard import Shard

__all__ = ["Maintenance", "WaveActions", "WavePlanner", "WaveProgress"]


# Time from the command to maintain one host of a wave until the next may follow.
ROUND_DURATION_S = 3.5
DEADLINE_MARGIN_S = 5.0


@attrs.define(eq=False)
class WaveProgress:
    """Progress of a wave.

    ``begun`` holds the hosts whose maintenance has begun. ``unavailable`` holds those
    that count towards the limit: from the decision to maintain them, before any command
    is sent, until the platform lists them as up again. ``has_whole_list`` tells whether
    the list of hosts was requested after the wave was put and lacks no entry.
    """

    wave: Wave
    due_at_s: float
    begun: set[str] = attrs.field(factory=set)
    unavailable: set[str] = attrs.field(factory=set)
    is_complete: bool = False
    has_whole_list: bool = False

    @property
    def needs_list(self) -> bool:
        """Return whether the wave can't complete by the list of hosts at hand."""
        return not self.is_complete and not self.has_whole_list

    @property
    def free_slots(self) -> int:
        """Return how many more hosts may be in maintenance."""
        return self.wave.limit - len(self.unavailable)

    def note_listed(
        self, hosts: Mapping[str, Host], resolved_host_ids: Collection[str]
    ) -> None:
        """Count the hosts that the platform lists as in maintenance, whoever began it.

        Hosts that it lists as up, or no longer lists, count no more; nor do those that
        are down before their maintenance began. A list says nothing about hosts to
        which a command may have been under way when it was requested;
        ``resolved_host_ids`` are the others.
        """
        for host_id in self.wave.host_ids:
            host = hosts.get(host_id)
            if host is not None and host.state is HostState.MAINTENANCE:
                self.unavailable.add(host_id)
            elif host_id in resolved_host_ids and self._is_available(host):
                self.unavailable.discard(host_id)

    def _is_available(self, host: Host | None) -> bool:
        if host is None or host.state is HostState.UP:
            return True
        return host.id not in self.begun


@attrs.frozen
class Maintenance:
    """Decision to start the maintenance of a host now."""

    host_id: str
    wave: int


@attrs.define
class WaveActions:
    """Actions to take now for the open waves."""

    begin: list[Maintenance] = attrs.field(factory=list)
    evict: list[Task] = attrs.field(factory=list)
    closed_server_names: set[str] = attrs.field(factory=set)
    due_server_names: set[str] = attrs.field(factory=set)
    # Pools that need another server, and pools that must keep a free one.
    short_pools: set[str] = attrs.field(factory=set)
    holding_pools: set[str] = attrs.field(factory=set)
    completed: list[WaveProgress] = attrs.field(factory=list)
    # Why hosts that are next in a wave have not begun maintenance.
    wait_by_host: dict[str, str] = attrs.field(factory=dict)


@attrs.define(eq=False)
class WavePlanner:
    """Drains as many hosts as may be in maintenance at once, cheapest first.

    Until ``evicts_from_s`` tasks that count as at work may have been told to stop by an
    earlier holder.
    """

    shard: Shard
    evicts_from_s: float = 0.0
    _knows_stops: bool = True

    def plan(
        self,
        waves: Iterable[WaveProgress],
        hosts: Mapping[str, Host],
        now_s: float,
        is_room_short: bool = False,
    ) -> WaveActions:
        """Return the actions to take now.

        During a capacity shortage, a wave that has time left waits, except for hosts
        with long-running tasks.
        """
        self._knows_stops = now_s >= self.evicts_from_s
        actions = WaveActions()
        chosen_host_ids: set[str] = set()
        for progress in sorted(waves, key=lambda item: item.due_at_s):
            if progress.is_complete:
                continue
            remaining = self._remaining_hosts(progress, hosts)
            if not remaining:
                if progress.has_whole_list:
                    actions.completed.append(progress)
                continue
            actions.due_server_names.update(host.server_name for host in remaining)
            latest_start_s = _latest_start_s(
                progress, self._sequential_rounds(progress, remaining)
            )
            is_urgent = not is_room_short or now_s >= latest_start_s
            candidates = [
                host
                for host in remaining
                if host.state is HostState.UP
                and host.id not in chosen_host_ids
                and host.id not in progress.unavailable
                and (is_urgent or self._has_long_running(host))
            ]
            for host in remaining:
                if host.state is not HostState.UP:
                    actions.wait_by_host[host.id] = host.state.value
                elif host.id in progress.unavailable:
                    actions.closed_server_names.add(host.server_name)
            self._prepare_hosts(progress, candidates, actions, chosen_host_ids)
        return actions

    @staticmethod
    def _remaining_hosts(
        progress: WaveProgress, hosts: Mapping[str, Host]
    ) -> list[Host]:
        return [
            hosts[host_id]
            for host_id in progress.wave.host_ids
            if host_id in hosts and host_id not in progress.begun
        ]

    def _sequential_rounds(self, progress: WaveProgress, remaining: list[Host]) -> int:
        """Return how many maintenance rounds must follow each other.

        Hosts of one pool that run long-running tasks are drained one after the other.
        """
        usages = [usage for host in remaining for usage in self.shard.usages_on(host)]
        count_by_pool = Counter(
            usage.server.service for usage in usages if usage.has_long_running
        )
        batch_count = -(-len(remaining) // progress.wave.limit)
        return max([batch_count, *count_by_pool.values()])

    def _has_long_running(self, host: Host) -> bool:
        return any(usage.has_long_running for usage in self.shard.usages_on(host))

    def _prepare_hosts(
        self,
        progress: WaveProgress,
        candidates: list[Host],
        actions: WaveActions,
        chosen_host_ids: set[str],
    ) -> None:
        """Prepare cheap hosts first, and per pool one with long-running tasks."""
        draining_pools: set[str] = set()
        free_slots = progress.free_slots
        for host in sorted(candidates, key=self._drain_cost):
            if free_slots <= 0:
                return
            if self._has_long_running(host):
                if host.pool in draining_pools:
                    continue
                draining_pools.add(host.pool)
            free_slots -= 1
            chosen_host_ids.add(host.id)
            self._prepare_host(progress, host, actions)

    def _drain_cost(self, host: Host) -> tuple[bool, bool, int, str]:
        usages = self.shard.usages_on(host)
        return (
            any(usage.has_long_running for usage in usages),
            any(not usage.is_closed for usage in usages),
            sum(len(usage.task_by_id) for usage in usages),
            host.id,
        )

    def _prepare_host(
        self, progress: WaveProgress, host: Host, actions: WaveActions
    ) -> None:
        usages = self.shard.usages_on(host)
        actions.closed_server_names.update(usage.server.name for usage in usages)
        if all(usage.is_idle for usage in usages):
            actions.begin.append(Maintenance(host.id, progress.wave.number))
        for usage in usages:
            if not usage.is_idle:
                actions.wait_by_host[host.id] = self._choose_evictions(usage, actions)

    def _choose_evictions(self, usage: ServerUsage, actions: WaveActions) -> str:
        """Choose the long-running tasks to evict now, at most one of each step.

        Return the reason why the host still waits.
        """
        wait_reason = "tasks"
        if usage.has_long_running:
            actions.holding_pools.add(usage.server.service)
        for task in usage.task_by_id.values():
            step = usage.step_by_task[task.id]
            if not step.is_long_running or task.is_stopping:
                continue
            step_key = task.id[:3]
            if any(other.id[:3] == step_key for other in actions.evict):
                continue
            if not self._fits_elsewhere(task, usage):
                actions.short_pools.add(usage.server.service)
                wait_reason = "no-place"
            elif self._may_evict(task, usage):
                actions.evict.append(task)
                wait_reason = "evicted"
            else:
                wait_reason = "budget" if self._knows_stops else "takeover"
        return wait_reason

    def _may_evict(self, task: Task, usage: ServerUsage) -> bool:
        """Return whether the step's ``max_unavailable`` allows one more eviction."""
        limit = usage.step_by_task[task.id].max_unavailable
        if not limit:
            return True
        others = self.shard.unavailable_count(task.id[:3], besides=task)
        return self._knows_stops and others < limit

    def _fits_elsewhere(self, task: Task, usage: ServerUsage) -> bool:
        """Return whether another server has capacity once its short tasks end."""
        step = usage.step_by_task[task.id]
        for other in self.shard.usage_by_server_id.values():
            if other is usage or other.server.service != usage.server.service:
                continue
            if other.is_closed or other.is_due or other.server.is_draining:
                continue
            if not other.is_reachable:
                continue
            is_below_max_per_server = not step.max_per_server or (
                other.count_of(task.id) < step.max_per_server
            )
            if is_below_max_per_server and other.fits_among_long_running(step):
                return True
        return False


def _latest_start_s(progress: WaveProgress, rounds: int) -> float:
    """Return when a wave must proceed, even in a shortage, to meet its deadline."""
    return progress.due_at_s - rounds * ROUND_DURATION_S - DEADLINE_MARGIN_S
