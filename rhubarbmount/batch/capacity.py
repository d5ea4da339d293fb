"""Scales pools with their demand; performs no I/O."""

from collections.abc import Collection, Iterable, Mapping, Sequence
from itertools import chain

import attrs

from rhubarbmount.batch.catalogue import Catalogue
from rhubarbmount.batch.demand import DemandMeter
from rhubarbmount.batch.model import Host, HostState
from rhubarbmount.batch.placing import Shortage
from rhubarbmount.batch.server_usage import ServerUsage
from rhubarbmount.batch.starved_pools import StarvedPools

__all__ = ["CapacityPlanner", "Move", "PoolCapacity"]

IDLE_BEFORE_RETURN_S = 1.2
MOVE_TIMEOUT_S = 6.0
# Time from the move command until the host can run tasks.
MOVE_LEAD_S = 1.6
# Time within which a queue that remains when hosts arrive should be drained.
QUEUE_DRAIN_TARGET_S = 1.0


@attrs.frozen
class Move:
    """Decision to move a host to a pool, with the figures behind it."""

    host_id: str
    pool: str
    reason: str
    needed_millicores: int = 0
    available_millicores: int = 0
    idle_s: float = 0.0


@attrs.frozen
class _MoveCommand:
    pool: str
    sent_at_s: float


@attrs.define
class PoolCapacity:
    """Capacity that a pool needs, and has or will soon have, in millicores."""

    needed_millicores: int = 0
    available_millicores: int = 0
    long_running_millicores: int = 0
    used_millicores: int = 0
    # What hosts on their way to the pool add to its available capacity.
    arriving_millicores: int = 0
    missing_servers: int = 0
    # Servers without tasks, and how many of them the pool must keep.
    free_servers: int = 0
    min_free_servers: int = 0

    @property
    def is_short(self) -> bool:
        """Return whether the pool needs another host."""
        return (
            self.needed_millicores > self.available_millicores
            or self.missing_servers > 0
        )

    def can_spare(self, millicores: int) -> bool:
        """Return whether the pool can give up a host of this size."""
        if self.is_short or self.free_servers <= self.min_free_servers:
            return False
        return self.available_millicores - millicores >= self.needed_millicores

    def remove_free_host(self, millicores: int) -> None:
        """Subtract a free host that leaves the pool."""
        self.available_millicores -= millicores
        self.free_servers -= 1


@attrs.define(eq=False)
class CapacityPlanner:
    """Moves idle hosts to pools short of capacity, and the others to standby."""

    starved: StarvedPools = attrs.field(factory=StarvedPools)
    # As of the last plan: capacity with the hosts that it moves, and hosts left free.
    capacity_by_pool: dict[str, PoolCapacity] = attrs.field(factory=dict)
    free_hosts_left: int = 0
    _command_by_host: dict[str, _MoveCommand] = attrs.field(factory=dict)

    def plan(
        self,
        now_s: float,
        catalogue: Catalogue,
        hosts: Iterable[Host],
        usages_by_server_name: Mapping[str, Sequence[ServerUsage]],
        shortage_by_pool: Mapping[str, Shortage],
        demand: DemandMeter,
        holding_pools: Collection[str] = (),
        blocked_host_ids: Collection[str] = (),
        stranded_by_pool: Mapping[str, int] | None = None,
    ) -> list[Move]:
        """Return the moves to make now; ``holding_pools`` keep one free host each.

        Pools keep one more for each of their servers in ``stranded_by_pool``, whose
        tasks will soon need another one.
        Hosts in ``blocked_host_ids`` may not be commanded now.
        """
        host_list = list(hosts)
        self._drop_finished_commands(catalogue, host_list, usages_by_server_name, now_s)
        free_hosts = [
            host
            for host in self._free_hosts(host_list, usages_by_server_name)
            if host.id not in blocked_host_ids
        ]
        capacities = self._pool_capacities(
            now_s, catalogue, host_list, usages_by_server_name, shortage_by_pool, demand
        )
        for name in holding_pools:
            if name in capacities:
                capacities[name].min_free_servers = 1
        for name, count in (stranded_by_pool or {}).items():
            if name in capacities:
                capacities[name].min_free_servers += count
        useless_host_ids = {
            host.id
            for host in free_hosts
            if any(map(_is_useless, usages_by_server_name.get(host.server_name, ())))
        }
        for host in free_hosts:
            if host.pool in capacities and host.id not in useless_host_ids:
                capacities[host.pool].free_servers += 1
        moves = self._move_emptied(free_hosts, capacities)
        moves.extend(
            self._scale_up(catalogue, free_hosts, capacities, useless_host_ids)
        )
        self.starved.plan(
            now_s,
            _starved_pools(capacities, usages_by_server_name),
            host_list,
            usages_by_server_name,
            {*blocked_host_ids, *self._command_by_host},
        )
        moves.extend(
            self._scale_down(
                now_s,
                catalogue,
                free_hosts,
                usages_by_server_name,
                capacities,
                {move.host_id for move in moves},
                useless_host_ids,
            )
        )
        self.capacity_by_pool = capacities
        self.free_hosts_left = len(free_hosts) - len(moves)
        return moves

    def note_command(self, move: Move, now_s: float) -> None:
        """Count a host as in transit to its new pool."""
        self._command_by_host[move.host_id] = _MoveCommand(move.pool, now_s)

    def drop_command(self, host_id: str) -> None:
        """Stop counting a host as in transit."""
        self._command_by_host.pop(host_id, None)

    def _drop_finished_commands(
        self,
        catalogue: Catalogue,
        hosts: list[Host],
        usages_by_server_name: Mapping[str, Sequence[ServerUsage]],
        now_s: float,
    ) -> None:
        for host in hosts:
            command = self._command_by_host.get(host.id)
            if command is None:
                continue
            is_in_pool = host.pool == command.pool and host.state is HostState.UP
            # Hosts in a standby pool are powered off and register no server.
            has_server = host.server_name in usages_by_server_name
            has_arrived = is_in_pool and (has_server or catalogue.is_standby(host.pool))
            if has_arrived or now_s > command.sent_at_s + MOVE_TIMEOUT_S:
                del self._command_by_host[host.id]

    def _free_hosts(
        self,
        hosts: list[Host],
        usages_by_server_name: Mapping[str, Sequence[ServerUsage]],
    ) -> list[Host]:
        return [
            host
            for host in hosts
            if host.state is HostState.UP
            and host.id not in self._command_by_host
            and all(map(_is_free, usages_by_server_name.get(host.server_name, ())))
        ]

    def _pool_capacities(
        self,
        now_s: float,
        catalogue: Catalogue,
        hosts: list[Host],
        usages_by_server_name: Mapping[str, Sequence[ServerUsage]],
        shortage_by_pool: Mapping[str, Shortage],
        demand: DemandMeter,
    ) -> dict[str, PoolCapacity]:
        capacities = {
            pool.name: PoolCapacity()
            for pool in catalogue.pool_by_name.values()
            if not pool.is_standby
        }
        for usage in chain.from_iterable(usages_by_server_name.values()):
            pool = capacities.get(usage.server.service)
            is_available = usage.is_open(now_s) and not usage.awaits_place
            if pool is not None and is_available and not _is_useless(usage):
                pool.available_millicores += usage.server.cpu_millicores
                pool.long_running_millicores += usage.long_running_cpu_millicores
                pool.used_millicores += usage.used_cpu_millicores
        cpu_by_host = {host.id: host.cpu_millicores for host in hosts}
        arrived = self._arrived_hosts(now_s, usages_by_server_name)
        for host_id, command in self._command_by_host.items():
            if command.pool in capacities and host_id not in arrived:
                cpu = cpu_by_host.get(host_id, 0)
                capacities[command.pool].available_millicores += cpu
                capacities[command.pool].arriving_millicores += cpu
                capacities[command.pool].missing_servers -= 1
        for name, pool in capacities.items():
            shortage = shortage_by_pool.get(name, Shortage())
            pool.needed_millicores = _needed_millicores(
                pool,
                shortage,
                demand.ready_cores(name, now_s),
                demand.growth_cores(name, MOVE_LEAD_S, now_s),
            )
            pool.missing_servers += shortage.servers
        return capacities

    def _arrived_hosts(
        self,
        now_s: float,
        usages_by_server_name: Mapping[str, Sequence[ServerUsage]],
    ) -> set[str]:
        """Return the hosts whose servers take tasks, while the list is behind."""
        arrived = set()
        for usage in chain.from_iterable(usages_by_server_name.values()):
            command = self._command_by_host.get(usage.server.host_id)
            is_in_pool = command is not None and command.pool == usage.server.service
            if is_in_pool and usage.is_open(now_s):
                arrived.add(usage.server.host_id)
        return arrived

    def _move_emptied(
        self, free_hosts: list[Host], capacities: Mapping[str, PoolCapacity]
    ) -> list[Move]:
        """Move the free hosts that were emptied for a pool without servers."""
        moves = []
        for host in list(free_hosts):
            pool = self.starved.pool_waiting_for(host.id)
            if pool is None or pool not in capacities:
                continue
            capacity = capacities[pool]
            if capacity.is_short and not capacity.available_millicores:
                free_hosts.remove(host)
                needed = capacity.needed_millicores
                moves.append(Move(host.id, pool, "starved", needed))
                capacity.available_millicores += host.cpu_millicores
                capacity.missing_servers -= 1
        return moves

    def _scale_up(
        self,
        catalogue: Catalogue,
        free_hosts: list[Host],
        capacities: Mapping[str, PoolCapacity],
        useless_host_ids: Collection[str],
    ) -> list[Move]:
        moves: list[Move] = []
        # Idle hosts of other pools are taken before standby hosts: moved directly, a
        # host moves once; by way of the standby pool it would move twice.
        candidates = sorted(
            free_hosts,
            key=lambda host: (catalogue.is_standby(host.pool), host.id),
            reverse=True,
        )
        # The pool with the largest shortage relative to its need is served first.
        short_pools = sorted(
            (name for name in capacities if capacities[name].is_short),
            key=lambda name: (
                capacities[name].available_millicores
                / max(1, capacities[name].needed_millicores)
            ),
        )
        for name in short_pools:
            capacity = capacities[name]
            while capacity.is_short:
                host = self._pop_candidate(
                    candidates, name, capacities, useless_host_ids
                )
                if host is None:
                    break
                needed, available = (
                    capacity.needed_millicores,
                    capacity.available_millicores,
                )
                moves.append(Move(host.id, name, "shortage", needed, available))
                capacity.available_millicores += host.cpu_millicores
                capacity.missing_servers -= 1
        return moves

    @staticmethod
    def _pop_candidate(
        candidates: list[Host],
        pool: str,
        capacities: Mapping[str, PoolCapacity],
        useless_host_ids: Collection[str],
    ) -> Host | None:
        for index in range(len(candidates) - 1, -1, -1):
            host = candidates[index]
            if host.pool == pool:
                continue
            if host.id in useless_host_ids:
                return candidates.pop(index)
            source_pool = capacities.get(host.pool)
            if source_pool is None or source_pool.can_spare(host.cpu_millicores):
                if source_pool is not None:
                    source_pool.remove_free_host(host.cpu_millicores)
                return candidates.pop(index)
        return None

    def _scale_down(
        self,
        now_s: float,
        catalogue: Catalogue,
        free_hosts: list[Host],
        usages_by_server_name: Mapping[str, Sequence[ServerUsage]],
        capacities: Mapping[str, PoolCapacity],
        moving_host_ids: Collection[str],
        useless_host_ids: Collection[str],
    ) -> list[Move]:
        """Move idle hosts to standby, and those whose servers forget ends of runs.

        The next lifetime of such a server lists them.
        """
        standby_pools = [
            p.name for p in catalogue.pool_by_name.values() if p.is_standby
        ]
        moves = []
        for host in free_hosts if standby_pools else ():
            usages = usages_by_server_name.get(host.server_name)
            pool = capacities.get(host.pool)
            if host.id in moving_host_ids or not usages or pool is None:
                continue
            is_useless = host.id in useless_host_ids
            idle_s = now_s - max(usage.idle_since_s for usage in usages)
            if idle_s < IDLE_BEFORE_RETURN_S and not is_useless:
                continue
            needed, available = pool.needed_millicores, pool.available_millicores
            if is_useless:
                reason = "forgets-ends"
            elif pool.can_spare(host.cpu_millicores):
                reason = "idle"
                pool.remove_free_host(host.cpu_millicores)
            else:
                continue
            moves.append(
                Move(host.id, standby_pools[0], reason, needed, available, idle_s)
            )
        return moves


def _needed_millicores(
    pool: PoolCapacity, shortage: Shortage, ready_cores: float, growth_cores: float
) -> int:
    """Return the capacity a pool needs to keep up and to drain its queue soon.

    A queue that the pool can drain before another host would arrive adds nothing, and
    no queue needs more than all of its tasks can use at once. Hosts on their way drain
    nothing before they arrive.
    """
    available_cores = (pool.available_millicores - pool.long_running_millicores) / 1000
    present_cores = available_cores - pool.arriving_millicores / 1000
    drained_core_s = max(0.0, present_cores - ready_cores) * MOVE_LEAD_S
    remaining_core_s = max(0.0, shortage.work_core_s - drained_core_s)
    cores = ready_cores + growth_cores
    if remaining_core_s > 0:
        used_cores = (pool.used_millicores - pool.long_running_millicores) / 1000
        max_cores = used_cores + shortage.cpu_millicores / 1000 + growth_cores
        cores = max(
            cores,
            min(available_cores + remaining_core_s / QUEUE_DRAIN_TARGET_S, max_cores),
        )
    return pool.long_running_millicores + int(cores * 1000)


def _starved_pools(
    capacities: Mapping[str, PoolCapacity],
    usages_by_server_name: Mapping[str, Sequence[ServerUsage]],
) -> list[str]:
    """Return the pools that are short, and have no server and none on its way.

    A server that takes no tasks for a while, as it is slow, is one all the same; one
    that forgets the ends of runs is not.
    """
    pools_with_servers = {
        usage.server.service
        for usage in chain.from_iterable(usages_by_server_name.values())
        if usage.is_reachable and not usage.is_leaving and not _is_useless(usage)
    }
    return [
        name
        for name, capacity in capacities.items()
        if capacity.is_short
        and capacity.available_millicores <= 0
        and name not in pools_with_servers
    ]


def _is_useless(usage: ServerUsage) -> bool:
    """Return whether a server takes no tasks but those that last, until it ends."""
    return usage.ends.are_forgotten


def _is_free(usage: ServerUsage) -> bool:
    is_unavailable = (
        usage.is_closed
        or usage.has_pending_command
        or usage.has_runs_left_alone
        or usage.server.is_draining
    )
    return usage.is_idle and not is_unavailable
