"""Choice of a backend server for each request."""

import heapq
import logging
import random
from collections.abc import Collection, Iterable, Mapping

import attrs

from rhubarbmount import log
from rhubarbmount.backend_health import (
    AttemptResult,
    BackendHealth,
    HealthAction,
    HealthChange,
)
from rhubarbmount.health import PoolHealth
from rhubarbmount.hosts import Host, HostState
from rhubarbmount.latency import ServiceLatencies
from rhubarbmount.route_decisions import RouteDecision, RouteReason
from rhubarbmount.service_limits import PoolSlots
from rhubarbmount.shares import EntryHosts, SlotShares
from rhubarbmount.strategies import Backend, strategies
from rhubarbmount.zones import Zone

__all__ = ["PoolView", "TAKES_NEW_WORK", "log_health"]

TAKES_NEW_WORK = frozenset({HostState.IN_SERVICE, HostState.RETURNING})
DEFAULT_STRATEGY = "two-choices"
DEFAULT_SPILL_SHARE = 0.25
SPILL_PENALTY_THRESHOLD = 16.0
UNAVAILABLE_ACTIONS = frozenset(
    {HealthAction.LEAVING, HealthAction.UNREACHABLE, HealthAction.REFUSING}
)

logger = logging.getLogger(__name__)


def log_health(pool: str, change: HealthChange) -> None:
    """Log a change in a backend server's health status."""
    log.event(logger, "health", pool=pool, **attrs.asdict(change))


class PoolView:
    """One entry host's view of a pool's backend servers, by which it routes requests.

    A choice takes constant time in the size of the pool, except with the strategy
    ``least-own-in-flight``. All times are seconds on one monotonic clock.
    """

    def __init__(
        self,
        pool: str,
        entry_hosts: EntryHosts,
        *,
        hosts_down_limit: int,
        generator: random.Random,
        strategy: str = DEFAULT_STRATEGY,
        spill_share: float = DEFAULT_SPILL_SHARE,
    ) -> None:
        self.pool = pool
        self.entry_hosts = entry_hosts
        self._shares = SlotShares(entry_hosts, spill_share)
        self.health = PoolHealth(hosts_down_limit)
        self.backend_by_host_id: dict[str, Backend] = {}
        self._latencies = ServiceLatencies()
        make_strategy = strategies.get(strategy)
        self._local = Zone(make_strategy(generator), generator)
        self._remote = Zone(make_strategy(generator), generator)
        self._leaving: frozenset[str] = frozenset()
        self._wake_heap: list[tuple[float, str]] = []
        self.started = False
        self.own_in_flight = 0
        self._slots = 0

    def update_hosts(self, hosts: Iterable[Host], now_s: float) -> None:
        """Apply the pool's rows and remove the backend servers that have none."""
        rows = {host.host_id: host for host in hosts if host.pool == self.pool}
        for host_id in self.backend_by_host_id.keys() - rows.keys():
            self._remove(host_id)
        for host in rows.values():
            self._update_host(host, now_s)
        self._update_hosts_down()
        self.started = True

    def set_leaving(self, host_ids: Collection[str]) -> None:
        """Withhold new work from hosts reported as leaving other than by their rows."""
        self._leaving = frozenset(host_ids)
        self._update_shares()
        self._update_hosts_down()

    def set_entry_hosts(self, entry_hosts: EntryHosts) -> None:
        """Redistribute the slots among the live entry hosts."""
        self.entry_hosts = entry_hosts
        self._shares = SlotShares(entry_hosts, self._shares.spill_share)
        self._update_shares()

    def set_peers_in_flight(self, by_host_id: Mapping[str, int]) -> None:
        """Set how many requests the other entry hosts together have in flight."""
        for host_id, backend in self.backend_by_host_id.items():
            backend.peers_in_flight = by_host_id.get(host_id, 0)

    def available_slots(self, now_s: float) -> PoolSlots:
        """Return how many slots this entry host may use now, and how many are free."""
        self._wake_due(now_s)
        if not self._local.available and not self._remote.available:
            return PoolSlots(self._slots, 0)
        return PoolSlots(self._slots, max(1, self._slots - self.own_in_flight))

    def in_service(self) -> int:
        """Return the number of hosts that take new work by row and leaving list."""
        return len(self.backend_by_host_id) - self.health.hosts_down

    def slots(self) -> int:
        """Return this entry host's share of the slots, whether in use or free."""
        return self._slots

    def choose(self, now_s: float, tried: Collection[str] = ()) -> RouteDecision:
        """Choose a backend server and count the request as in flight on it."""
        self._wake_due(now_s)
        available = len(self._local.available) + len(self._remote.available)
        backend, reason = self._choose(now_s, tried)
        if backend is not None:
            backend.own_in_flight += 1
            self.own_in_flight += 1
            if backend.own_in_flight >= backend.limit:
                self._zone(backend).remove(backend)
        return RouteDecision(backend, reason, available)

    def finish(
        self,
        backend: Backend,
        result: AttemptResult,
        now_s: float,
        *,
        service: str,
        latency_s: float | None = None,
    ) -> HealthChange | None:
        """Record the end of a request and update the backend server's health.

        Pass ``latency_s`` for attempts that got a response or timed out.
        """
        backend.own_in_flight -= 1
        self.own_in_flight -= 1
        if self.backend_by_host_id.get(backend.host.host_id) is not backend:
            return None
        change = self.health.record(
            backend.health,
            result,
            now_s,
            slowness=self._latencies.slowness(service, result, latency_s, now_s),
            others_in_flight=backend.own_in_flight,
        )
        if latency_s is not None:
            self._cool_down_if_needed(backend, result, now_s, service, latency_s)
        self._schedule_wake(backend)
        self._apply_limit(backend)
        if change is not None and change.action in UNAVAILABLE_ACTIONS:
            self._readmit()
        return change

    def _cool_down_if_needed(
        self,
        backend: Backend,
        result: AttemptResult,
        now_s: float,
        service: str,
        latency_s: float,
    ) -> None:
        health = backend.health
        success = self.health.success_beside_others(health)
        others_serve = self._local.serving + self._remote.serving > 1
        if success == 1.0 or not others_serve:
            health.failing = False
        if not backend.share or not others_serve:
            return
        if result is AttemptResult.FAILURE and success < 1.0:
            mean_s = self._latencies.mean_s(service) or latency_s
            health.cool_down_after_failure(now_s, success, mean_s, backend.share)
        else:
            health.rest(now_s, latency_s, backend.share)

    def _choose(
        self, now_s: float, tried: Collection[str]
    ) -> tuple[Backend | None, RouteReason]:
        local = self._local.pick(tried, now_s)
        if local is None:
            remote = self._remote.pick(tried, now_s)
            return remote, self._reason_without_local(remote)
        if local.health.penalty(now_s) > SPILL_PENALTY_THRESHOLD:
            remote = self._remote.pick(tried, now_s)
            if remote is not None:
                return remote, RouteReason.SPILL_UNSOUND
        return local, RouteReason.LOCAL

    def _reason_without_local(self, remote: Backend | None) -> RouteReason:
        if remote is not None:
            full = self._local.serving > 0
            return RouteReason.SPILL_FULL if full else RouteReason.SPILL_ABSENT
        if self._local.available or self._remote.available:
            return RouteReason.ALL_TRIED
        if self._local.serving or self._remote.serving:
            return RouteReason.ALL_FULL
        return (
            RouteReason.ALL_OUT if self.backend_by_host_id else RouteReason.NO_BACKEND
        )

    def _update_host(self, host: Host, now_s: float) -> None:
        backend = self.backend_by_host_id.get(host.host_id)
        if backend is not None and backend.host is host:
            return
        if backend is None or _has_moved(backend.host, host):
            self._remove(host.host_id)
            backend = self._add(host, now_s)
        elif host.state in TAKES_NEW_WORK and not self._takes_new_work(backend):
            backend.health.start_slowly(now_s)
        if backend.host != host:
            self.health.change_row(backend.health, now_s)
        backend.host = host
        self._update_share(backend)

    def _add(self, host: Host, now_s: float) -> Backend:
        health: BackendHealth = self.health.add(host.host_id)
        if self.started:
            health.start_slowly(now_s)
        backend = Backend(host, health)
        self.backend_by_host_id[host.host_id] = backend
        return backend

    def _remove(self, host_id: str) -> None:
        backend = self.backend_by_host_id.pop(host_id, None)
        if backend is not None:
            backend.share = 0
            self._apply_limit(backend)
            self.health.remove(host_id)

    def _zone(self, backend: Backend) -> Zone:
        is_local = backend.host.data_centre == self.entry_hosts.data_centre
        return self._local if is_local else self._remote

    def _takes_new_work(self, backend: Backend) -> bool:
        host = backend.host
        return host.state in TAKES_NEW_WORK and host.host_id not in self._leaving

    def _update_shares(self) -> None:
        for backend in self.backend_by_host_id.values():
            self._update_share(backend)

    def _update_share(self, backend: Backend) -> None:
        serves = self._takes_new_work(backend)
        backend.share = self._shares.slots_of(backend.host) if serves else 0
        self._apply_limit(backend)

    def _apply_limit(self, backend: Backend) -> None:
        zone = self._zone(backend)
        limit = backend.health.cap(backend.share)
        zone.serving += (limit > 0) - (backend.limit > 0)
        self._slots += limit - backend.limit
        backend.limit = limit
        zone.update(backend)

    def _update_hosts_down(self) -> None:
        serving = sum(map(self._takes_new_work, self.backend_by_host_id.values()))
        self.health.hosts_down = len(self.backend_by_host_id) - serving
        self._readmit()

    def _readmit(self) -> None:
        for change in self.health.readmit():
            log_health(self.pool, change)
            self._apply_limit(self.backend_by_host_id[change.host_id])
        if not self._local.serving and not self._remote.serving:
            self._end_cooldowns()

    def _end_cooldowns(self) -> None:
        for backend in self.backend_by_host_id.values():
            if backend.health.rest_until_s is not None:
                backend.health.rest_until_s = None
                self._apply_limit(backend)

    def _schedule_wake(self, backend: Backend) -> None:
        due_s = backend.health.due_s()
        if due_s is not None and not backend.wake_scheduled:
            backend.wake_scheduled = True
            heapq.heappush(self._wake_heap, (due_s, backend.host.host_id))

    def _wake_due(self, now_s: float) -> None:
        while self._wake_heap and self._wake_heap[0][0] <= now_s:
            _, host_id = heapq.heappop(self._wake_heap)
            backend = self.backend_by_host_id.get(host_id)
            if backend is not None:
                backend.wake_scheduled = False
                backend.health.wake(now_s, backend.share)
                self._apply_limit(backend)
                self._schedule_wake(backend)


def _has_moved(before: Host, after: Host) -> bool:
    location = (before.address, before.data_centre)
    return location != (after.address, after.data_centre)
