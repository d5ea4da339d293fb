"""Usage of the hosts of all pools, and the hosts excluded from placement."""

from collections.abc import Iterator, Set

import attrs

from rhubarbmount.headroom import UrgentDemand
from rhubarbmount.host_usage import HostUsage, PoolUsage
from rhubarbmount.hosts import Host, HostState, Shape
from rhubarbmount.jobs import Task
from rhubarbmount.placement import PlacementPolicy, PoolPlacer
from rhubarbmount.preemption import Eviction, choose_eviction
from rhubarbmount.resources import Resources

__all__ = ["FleetUsage"]

NO_SHAPE = Shape(0.0, 0.0)


@attrs.define
class FleetUsage:
    """Assign each host to the placer of one pool, and each task to its host.

    A host that moves to another pool offers its capacity there once it has no tasks.
    """

    policy: PlacementPolicy
    placer_by_pool: dict[str, PoolPlacer] = attrs.field(factory=dict)
    _row_by_host: dict[str, Host] = attrs.field(factory=dict, init=False)
    _pool_by_host: dict[str, str] = attrs.field(factory=dict, init=False)
    _demand_by_pool: dict[str, UrgentDemand] = attrs.field(factory=dict, init=False)
    _clearing_by_pool: dict[str, set[str]] = attrs.field(factory=dict, init=False)
    _avoid_until_s: dict[str, float] = attrs.field(factory=dict, init=False)
    _not_live: set[str] = attrs.field(factory=set, init=False)
    _closed: set[str] = attrs.field(factory=set, init=False)

    def placer(self, pool: str) -> PoolPlacer:
        """Return the placer of a pool; create it if it is new."""
        if pool not in self.placer_by_pool:
            self.placer_by_pool[pool] = PoolPlacer(pool, self.policy)
        return self.placer_by_pool[pool]

    def placers(self) -> list[PoolPlacer]:
        """Return the placers, sorted by pool name."""
        return [self.placer_by_pool[pool] for pool in sorted(self.placer_by_pool)]

    def set_host(self, host: Host) -> bool:
        """Apply a host row; return whether the host has just returned to service."""
        before = self._row_by_host.get(host.host_id)
        if before is host or before == host:
            return False
        self._row_by_host[host.host_id] = host
        self._update_pool(host)
        in_service = HostState.IN_SERVICE
        if host.state is in_service:
            self._closed.discard(host.host_id)
        else:
            self._closed.add(host.host_id)
        if before is None or before.state is in_service or host.state != in_service:
            return False
        self._avoid_until_s.pop(host.host_id, None)
        self._update_avoided(host.host_id)
        return True

    def remove_hosts(self, kept: Set[str]) -> None:
        """Remove the hosts whose rows are gone, once they have no tasks left.

        Until then they count as leaving.
        """
        for host_id in self._row_by_host.keys() - kept:
            row = self._row_by_host[host_id]
            if row.state is not HostState.LEAVING:
                self.set_host(attrs.evolve(row, state=HostState.LEAVING))
            if not self._host_usage(host_id).task_by_id:
                self._remove_from_pool(host_id)
                del self._row_by_host[host_id]
                self._closed.discard(host_id)

    def state_of(self, host_id: str) -> HostState:
        """Return the state in a host's row."""
        return self._row_by_host[host_id].state

    def add_task(self, task: Task) -> None:
        """Add a task to its host, whatever the host's state.

        A host that has no row is added as a leaving host of no capacity.
        """
        if task.host_id not in self._pool_by_host:
            self.set_host(_unknown_host(task))
        self._pool_usage(task.host_id).add_task(task)

    def remove_task(self, task: Task) -> None:
        """Remove a task from its host."""
        self._pool_usage(task.host_id).remove_task(task.task_id)
        self._update_pool(self._row_by_host[task.host_id])

    def replace_task(self, task: Task) -> None:
        """Apply a change of a task."""
        self._pool_usage(task.host_id).replace_task(task)

    def tasks_on(self, host_id: str) -> list[Task]:
        """Return the tasks on a host."""
        return list(self._host_usage(host_id).task_by_id.values())

    def hosts_with_tasks(self) -> list[str]:
        """Return the ids of the hosts that have tasks, sorted."""
        hosts: set[str] = set()
        for placer in self.placer_by_pool.values():
            hosts.update(placer.pool_usage.host_by_task.values())
        return sorted(hosts)

    def closed_hosts(self) -> list[str]:
        """Return the ids of the hosts that are not in service, sorted."""
        return sorted(self._closed)

    def evictable_on(self, host_id: str) -> list[Task]:
        """Return the tasks of a host that can be checkpointed, so lose little work."""
        return [
            task
            for task in self.tasks_on(host_id)
            if task.can_checkpoint and task.command == "start"
        ]

    def set_live(self, live: set[str]) -> None:
        """Exclude from placement the hosts that the platform does not list as live."""
        not_live = self._row_by_host.keys() - live
        changed = not_live ^ self._not_live
        self._not_live = not_live
        for host_id in sorted(changed):
            self._update_avoided(host_id)

    def avoid(self, host_id: str, until_s: float) -> None:
        """Exclude a host from placement until a given time."""
        self._avoid_until_s[host_id] = until_s
        self._update_avoided(host_id)

    def end_avoidance(self, now_s: float) -> None:
        """Admit the hosts again whose time of exclusion has passed."""
        over = [
            host for host, until_s in self._avoid_until_s.items() if until_s <= now_s
        ]
        for host_id in over:
            del self._avoid_until_s[host_id]
            self._update_avoided(host_id)

    def observe_urgent(self, pool: str, need: Resources, now_s: float) -> None:
        """Count an urgent job towards the demand from which headroom is derived."""
        demand = self._demand_by_pool.setdefault(pool, UrgentDemand())
        demand.observe(need, now_s)

    def update_headroom(self, placer: PoolPlacer, now_s: float) -> bool:
        """Update a pool's headroom; return whether the number of hosts changed."""
        demand = self._demand_by_pool.get(placer.pool)
        if demand is None:
            return False
        previous_hosts = placer.headroom_hosts
        placer.headroom_hosts = demand.hosts_wanted(
            len(placer.pool_usage.usage_by_host_id), now_s
        )
        placer.pool_usage.set_headroom(demand.headroom_wanted())
        return placer.headroom_hosts != previous_hosts

    def restore_headroom(self, placer: PoolPlacer, now_s: float) -> Iterator[Eviction]:
        """Yield evictions until enough hosts have headroom or are being cleared."""
        pool_usage = placer.pool_usage
        clearing = self._clearing_by_pool.setdefault(placer.pool, set())
        for host_id in list(clearing):
            host_usage = pool_usage.usage_by_host_id.get(host_id)
            if (
                host_usage is None
                or host_id in pool_usage.hosts_with_headroom
                or not host_usage.has_ending_task
            ):
                clearing.discard(host_id)
        while (
            placer.policy.evicts
            and len(pool_usage.hosts_with_headroom) + len(clearing)
            < placer.headroom_hosts
        ):
            skipped = pool_usage.hosts_with_headroom | clearing
            found = choose_eviction(pool_usage, pool_usage.headroom, now_s, skipped)
            if found is None:
                return
            clearing.add(found.host_id)
            yield found

    def _update_pool(self, row: Host) -> None:
        pool = self._pool_by_host.get(row.host_id)
        if pool not in (None, row.pool):
            if self._host_usage(row.host_id).task_by_id:
                assert pool is not None
                old = attrs.evolve(row, pool=pool, state=HostState.DRAINING)
                self.placer(pool).pool_usage.set_host(old)
                return
            self._remove_from_pool(row.host_id)
        self._pool_by_host[row.host_id] = row.pool
        self.placer(row.pool).pool_usage.set_host(row)

    def _remove_from_pool(self, host_id: str) -> None:
        pool = self._pool_by_host.pop(host_id)
        self.placer(pool).pool_usage.remove_host(host_id)

    def _update_avoided(self, host_id: str) -> None:
        if host_id not in self._pool_by_host:
            return
        avoided = host_id in self._avoid_until_s or host_id in self._not_live
        self._pool_usage(host_id).set_avoided(host_id, avoided)

    def _pool_usage(self, host_id: str) -> PoolUsage:
        return self.placer(self._pool_by_host[host_id]).pool_usage

    def _host_usage(self, host_id: str) -> HostUsage:
        return self._pool_usage(host_id).usage_by_host_id[host_id]


def _unknown_host(task: Task) -> Host:
    return Host(
        host_id=task.host_id,
        pool=task.pool,
        data_centre="",
        rack="",
        address="",
        shape=NO_SHAPE,
        state=HostState.LEAVING,
    )
