"""Hosts that busy pools give up to pools that have none; performs no I/O."""

from collections.abc import Collection, Iterable, Mapping, Sequence

import attrs

from rhubarbmount.batch.model import Host, HostState
from rhubarbmount.batch.server_usage import ServerUsage

__all__ = ["StarvedPools"]

# How long a pool without servers waits for a host that becomes free by itself.
STARVED_AFTER_S = 1.5
# How long a host that is given up may take to end its tasks, before another is chosen.
EMPTYING_S = 6.0
# How long that host then takes new tasks before it may be chosen again.
REST_S = 6.0
# A pool keeps one server when it gives up another.
MIN_SERVERS = 2


@attrs.frozen
class _Release:
    """A host that takes no new tasks until it is free and can be moved."""

    pool: str
    begun_at_s: float


@attrs.define(eq=False)
class StarvedPools:
    """Chooses a host for each pool that has tasks and no server.

    A pool whose tasks always take the next free place never has a free host to spare.
    Others would wait for as long as that lasts.
    """

    _starved_since_s: dict[str, float] = attrs.field(factory=dict)
    _release_by_host: dict[str, _Release] = attrs.field(factory=dict)
    # Until when hosts are left alone that could not be emptied or moved.
    _rests_until_s_by_host: dict[str, float] = attrs.field(factory=dict)

    @property
    def emptying_host_ids(self) -> Collection[str]:
        """Return the hosts that get no new tasks."""
        return self._release_by_host.keys()

    def pool_waiting_for(self, host_id: str) -> str | None:
        """Return the pool that a host is emptied for, or None."""
        release = self._release_by_host.get(host_id)
        return None if release is None else release.pool

    def plan(
        self,
        now_s: float,
        starved_pools: Collection[str],
        hosts: Iterable[Host],
        usages_by_server_name: Mapping[str, Sequence[ServerUsage]],
        blocked_host_ids: Collection[str],
    ) -> None:
        """Choose a host to empty for each pool that has waited for long."""
        self._starved_since_s = {
            pool: self._starved_since_s.get(pool, now_s) for pool in starved_pools
        }
        up = [host for host in hosts if host.state is HostState.UP]
        self._drop_releases(now_s, {host.id for host in up})
        served = {release.pool for release in self._release_by_host.values()}
        for pool, since_s in self._starved_since_s.items():
            if pool in served or now_s < since_s + STARVED_AFTER_S:
                continue
            resting = self._rests_until_s_by_host.keys()
            blocked = {*blocked_host_ids, *resting}
            host_id = self._choose(up, usages_by_server_name, blocked)
            if host_id is not None:
                self._release_by_host[host_id] = _Release(pool, now_s)

    def _drop_releases(self, now_s: float, host_ids: Collection[str]) -> None:
        """Stop emptying hosts that are no longer needed, or that take too long."""
        self._rests_until_s_by_host = {
            host_id: until_s
            for host_id, until_s in self._rests_until_s_by_host.items()
            if now_s < until_s
        }
        for host_id, release in self._release_by_host.items():
            if now_s >= release.begun_at_s + EMPTYING_S:
                self._rests_until_s_by_host[host_id] = now_s + REST_S
        self._release_by_host = {
            host_id: release
            for host_id, release in self._release_by_host.items()
            if release.pool in self._starved_since_s
            and host_id in host_ids
            and now_s < release.begun_at_s + EMPTYING_S
        }

    def _choose(
        self,
        hosts: Iterable[Host],
        usages_by_server_name: Mapping[str, Sequence[ServerUsage]],
        blocked_host_ids: Collection[str],
    ) -> str | None:
        """Return the host with the fewest tasks in the pool with the most servers."""
        usable: dict[str, list[tuple[int, str]]] = {}
        for host in hosts:
            usages = usages_by_server_name.get(host.server_name, ())
            if len(usages) == 1 and _may_be_emptied(usages[0]):
                tasks = len(usages[0].task_by_id)
                usable.setdefault(host.pool, []).append((tasks, host.id))
        largest = max(usable.values(), key=len, default=[])
        if len(largest) < MIN_SERVERS:
            return None
        candidates = (
            item
            for item in sorted(largest)
            if item[1] not in blocked_host_ids and item[1] not in self._release_by_host
        )
        return next((host_id for _, host_id in candidates), None)


def _may_be_emptied(usage: ServerUsage) -> bool:
    """Return whether a server only has tasks that end, and no other plan for it."""
    return (
        usage.is_reachable
        and not usage.is_closed
        and not usage.is_due
        and not usage.is_leaving
        and not usage.has_pending_command
        and not usage.has_long_running
        and not usage.has_runs_left_alone
        and not usage.server.is_draining
    )
