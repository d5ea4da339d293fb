"""Plans maintenance waves by deadline and concurrency limit; performs no I/O."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence

import attrs

from rhubarbmount.batch.eviction_places import EvictionPlaces
from rhubarbmount.batch.host_drains import HostDrain, HostDrains
from rhubarbmount.batch.model import Host, HostState, Task
from rhubarbmount.batch.server_usage import ServerUsage
from rhubarbmount.batch.shard import Shard
from rhubarbmount.batch.wave_progress import Maintenance, WaveActions, WaveProgress

__all__ = ["WavePlanner"]

# Time from the command to maintain one host of a wave until the next may follow.
ROUND_DURATION_S = 3.5
DEADLINE_MARGIN_S = 5.0
# How long tasks that fit nowhere else wait for another server, even late in a wave.
PLACE_WAIT_S = 4.0
# How long a host is opened again that could not be emptied.
REST_S = 6.0
# How long a host whose tasks fit nowhere else is not looked at again.
NO_PLACE_REST_S = 1.0
# Hosts with long-running tasks of one pool that are looked at in one pass.
MAX_LOOKS_PER_POOL = 3
# Why a host of a wave is left open: its tasks fit nowhere else, tasks wait for it, or
# it was closed and could not be emptied.
NO_PLACE = "no-place"
NEEDED = "needed"
BLOCKED = "blocked"


@attrs.frozen
class _Pass:
    """What one pass decides for a wave; ``is_pressing`` as its deadline nears."""

    progress: WaveProgress
    actions: WaveActions
    now_s: float
    is_pressing: bool

    def is_late(self, drain: HostDrain) -> bool:
        """Return whether tasks without another place on a host may wait no longer."""
        since_s = drain.no_place_since_s
        return (
            self.is_pressing
            and since_s is not None
            and self.now_s >= since_s + PLACE_WAIT_S
        )


@attrs.define(eq=False)
class WavePlanner:
    """Drains as many hosts as may be in maintenance at once, cheapest first.

    A host is closed to new tasks only if everything on it can end or go elsewhere, and
    is opened again if that does not come true. First come the limits on unavailable
    tasks, then that all work goes on, and then the deadline: when it nears, tasks that
    fit nowhere else are stopped for the time of the maintenance, as far as the limits
    allow.

    Until ``evicts_from_s`` tasks that count as at work may have been told to stop by an
    earlier holder.
    """

    shard: Shard
    evicts_from_s: float = 0.0
    _knows_stops: bool = True
    _drains: HostDrains = attrs.field(factory=HostDrains)
    _places: EvictionPlaces = attrs.field(
        init=False,
        default=attrs.Factory(lambda self: EvictionPlaces(self.shard), takes_self=True),
    )

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
        self._places.start_pass()
        actions = WaveActions()
        chosen_host_ids: set[str] = set()
        remaining_host_ids: set[str] = set()
        commanded_host_ids: set[str] = set()
        for progress in sorted(waves, key=lambda item: item.due_at_s):
            if progress.is_complete:
                continue
            remaining = self._remaining_hosts(progress, hosts)
            if not remaining:
                if progress.has_whole_list:
                    actions.completed.append(progress)
                continue
            remaining_host_ids.update(host.id for host in remaining)
            commanded_host_ids |= progress.unavailable
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
            this_pass = _Pass(progress, actions, now_s, now_s >= latest_start_s)
            self._prepare_hosts(this_pass, candidates, chosen_host_ids)
        self._drains.forget_others(remaining_host_ids)
        self._drains.close_only(chosen_host_ids | commanded_host_ids)
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
        self, this_pass: _Pass, candidates: list[Host], chosen_host_ids: set[str]
    ) -> None:
        """Prepare cheap hosts first, and per pool one with long-running tasks."""
        draining_pools: set[str] = set()
        looks_by_pool: Counter[str] = Counter()
        free_slots = this_pass.progress.free_slots
        for host in sorted(candidates, key=self._drain_cost):
            if free_slots <= 0:
                return
            has_long_running = self._has_long_running(host)
            if has_long_running:
                if host.pool in draining_pools:
                    continue
                if looks_by_pool[host.pool] >= MAX_LOOKS_PER_POOL:
                    continue
            drain = self._drains.of(host.id)
            if this_pass.now_s < drain.rests_until_s:
                self._note_wait(this_pass, host, drain.wait_reason)
                continue
            if has_long_running:
                looks_by_pool[host.pool] += 1
            reason = self._reason_to_wait(this_pass, host, drain)
            if reason:
                self._note_wait(this_pass, host, reason)
                continue
            if has_long_running:
                draining_pools.add(host.pool)
            free_slots -= 1
            chosen_host_ids.add(host.id)
            self._prepare_host(this_pass, host, drain)

    @staticmethod
    def _note_wait(this_pass: _Pass, host: Host, reason: str) -> None:
        """Record why a host stays open, and what its pool lacks."""
        this_pass.actions.wait_by_host[host.id] = reason
        if reason == NO_PLACE:
            if host.pool not in this_pass.actions.short_pools:
                this_pass.actions.placeless_server_names.add(host.server_name)
            this_pass.actions.short_pools.add(host.pool)
            this_pass.actions.holding_pools.add(host.pool)

    def _drain_cost(self, host: Host) -> tuple[bool, bool, bool, int, str]:
        """Return a sort key: hosts that are being emptied come first."""
        usages = self.shard.usages_on(host)
        return (
            not self._drains.is_closed(host.id),
            any(usage.has_long_running for usage in usages),
            any(not usage.is_closed for usage in usages),
            sum(len(usage.task_by_id) for usage in usages),
            host.id,
        )

    def _reason_to_wait(self, this_pass: _Pass, host: Host, drain: HostDrain) -> str:
        """Return why a host is not to be closed now, or an empty string."""
        usages = self.shard.usages_on(host)
        now_s = this_pass.now_s
        drain.note_place(all(map(self._has_places, usages)), now_s)
        if drain.is_closed:
            is_stuck = self._is_stuck(usages) or self._places.is_needed(
                usages, this_pass.actions.closed_server_names, now_s
            )
            if drain.check_blocked(_task_count(usages), is_stuck, now_s):
                drain.rest(BLOCKED, now_s + REST_S)
                return BLOCKED
            return ""
        if drain.no_place_since_s is not None and not (
            this_pass.is_late(drain) and all(map(self._may_empty_late, usages))
        ):
            drain.rest(NO_PLACE, now_s + NO_PLACE_REST_S)
            return NO_PLACE
        if self._places.is_needed(
            usages,
            this_pass.actions.closed_server_names,
            now_s,
            by_long_running=True,
        ):
            return NEEDED
        return ""

    def _has_places(self, usage: ServerUsage, allow_due: bool = False) -> bool:
        """Return whether each long-running task of a server fits on another one."""
        return not usage.has_long_running or all(
            self._places.fits_elsewhere(task, usage, allow_due)
            for task in usage.task_by_id.values()
            if usage.step_by_task[task.id].is_long_running
        )

    def _may_empty_late(self, usage: ServerUsage) -> bool:
        """Return whether a server can be emptied with a deadline that nears."""
        return self._has_places(usage, allow_due=True) or self._places.may_stop_all(
            usage
        )

    @staticmethod
    def _is_stuck(usages: Sequence[ServerUsage]) -> bool:
        """Return whether no task is left that ends by itself or is being stopped."""
        return not any(
            task.is_stopping or not usage.step_by_task[task.id].is_long_running
            for usage in usages
            for task in usage.task_by_id.values()
        )

    def _prepare_host(self, this_pass: _Pass, host: Host, drain: HostDrain) -> None:
        """Close a host, and begin its maintenance once nothing runs there."""
        usages = self.shard.usages_on(host)
        actions = this_pass.actions
        drain.close(_task_count(usages))
        actions.closed_server_names.update(usage.server.name for usage in usages)
        if all(usage.is_idle for usage in usages):
            maintenance = Maintenance(host.id, this_pass.progress.wave.number)
            actions.begin.append(maintenance)
        for usage in usages:
            if not usage.is_idle:
                actions.wait_by_host[host.id] = self._choose_evictions(
                    usage, actions, this_pass.is_late(drain)
                )

    def _choose_evictions(
        self, usage: ServerUsage, actions: WaveActions, is_late: bool
    ) -> str:
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
            has_place = self._places.fits_elsewhere(task, usage, allow_due=is_late)
            if not has_place:
                actions.short_pools.add(usage.server.service)
            if not has_place and not (is_late and self._may_stop_in_place(usage)):
                wait_reason = NO_PLACE
            elif self._may_evict(task, usage):
                actions.evict.append(task)
                wait_reason = "evicted"
            else:
                wait_reason = "budget" if self._knows_stops else "takeover"
        return wait_reason

    def _may_stop_in_place(self, usage: ServerUsage) -> bool:
        """Return whether a server's long-running tasks may wait for its maintenance.

        They are stopped last, so that they wait no longer than it takes.
        """
        has_only_long_running = all(
            usage.step_by_task[task.id].is_long_running
            for task in usage.task_by_id.values()
        )
        return has_only_long_running and self._places.may_stop_all(usage)

    def _may_evict(self, task: Task, usage: ServerUsage) -> bool:
        """Return whether the step's ``max_unavailable`` allows one more eviction."""
        limit = usage.step_by_task[task.id].max_unavailable
        if not limit:
            return True
        others = self.shard.unavailable_count(task.id[:3], besides=task)
        return self._knows_stops and others < limit


def _task_count(usages: Sequence[ServerUsage]) -> int:
    return sum(len(usage.task_by_id) for usage in usages)


def _latest_start_s(progress: WaveProgress, rounds: int) -> float:
    """Return when a wave must proceed, even in a shortage, to meet its deadline."""
    return progress.due_at_s - rounds * ROUND_DURATION_S - DEADLINE_MARGIN_S
