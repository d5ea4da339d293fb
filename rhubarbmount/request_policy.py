"""Limits, pool views and retry budgets by which an entry host decides on requests."""

import random
from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping

import attrs

from rhubarbmount.entries import Pool, Service
from rhubarbmount.hosts import Host
from rhubarbmount.limits import Limiter
from rhubarbmount.retries import RetryBudget
from rhubarbmount.routing import PoolView
from rhubarbmount.service_limits import PoolSlots
from rhubarbmount.shares import EntryHosts

__all__ = ["RequestPolicy"]

NO_SLOTS = PoolSlots(0, 0)


@attrs.define(eq=False)
class RequestPolicy:
    """Admission and routing state, updated from the catalogue, the fleet and the peers.

    ``max_in_flight`` is the maximum number of requests that the entry host runs at
    once. All times are seconds on one monotonic clock.
    """

    entry_hosts: EntryHosts
    max_in_flight: int = 512
    generator: random.Random = attrs.field(factory=random.Random)
    service_by_name: Mapping[str, Service] = attrs.field(factory=dict, init=False)
    view_by_pool: dict[str, PoolView] = attrs.field(factory=dict, init=False)
    budget_by_service: dict[str, RetryBudget] = attrs.field(factory=dict, init=False)
    limiter: Limiter = attrs.field(init=False)
    _leaving: frozenset[str] = attrs.field(default=frozenset(), init=False)

    def __attrs_post_init__(self) -> None:
        self.limiter = Limiter(
            self.max_in_flight, generator=self.generator, pool_slots=self._pool_slots
        )

    def update_catalogue(
        self,
        service_by_name: Mapping[str, Service],
        pool_by_name: Mapping[str, Pool],
    ) -> None:
        """Apply the services and pools in force."""
        self.service_by_name = service_by_name
        self._update_limits()
        for name in self.budget_by_service.keys() - service_by_name.keys():
            del self.budget_by_service[name]
        for service in service_by_name.values():
            new_budget = RetryBudget(service.retry_share)
            budget = self.budget_by_service.setdefault(service.name, new_budget)
            budget.share = service.retry_share
        for pool in pool_by_name.values():
            self._view_of_pool(
                pool.name
            ).health.hosts_down_limit = pool.hosts_down_limit

    def update_hosts(self, hosts: Iterable[Host], now_s: float) -> None:
        """Apply all host rows."""
        hosts_by_pool: dict[str, list[Host]] = defaultdict(list)
        for host in hosts:
            hosts_by_pool[host.pool].append(host)
        for pool in self.view_by_pool.keys() | hosts_by_pool.keys():
            self._view_of_pool(pool).update_hosts(hosts_by_pool[pool], now_s)
        self.limiter.admit_waiting(now_s)

    def update_changed(
        self, host_by_id: Mapping[str, Host], changed: Collection[str], now_s: float
    ) -> None:
        """Apply the rows of the pools that the changed hosts left or joined."""
        pools = {
            host_by_id[host_id].pool for host_id in changed if host_id in host_by_id
        }
        for view in self.view_by_pool.values():
            if not view.started or not view.backend_by_host_id.keys().isdisjoint(
                changed
            ):
                pools.add(view.pool)
        hosts_by_pool: dict[str, list[Host]] = {pool: [] for pool in pools}
        for host in host_by_id.values():
            if host.pool in pools:
                hosts_by_pool[host.pool].append(host)
        for pool, hosts in hosts_by_pool.items():
            self._view_of_pool(pool).update_hosts(hosts, now_s)
        self.limiter.admit_waiting(now_s)

    def set_leaving(self, host_ids: Collection[str]) -> None:
        """Withhold new work from hosts reported as leaving other than by their rows."""
        self._leaving = frozenset(host_ids)
        for view in self.view_by_pool.values():
            view.set_leaving(host_ids)

    def set_entry_hosts(self, entry_hosts: EntryHosts) -> None:
        """Redistribute slots and limits among the live entry hosts."""
        self.entry_hosts = entry_hosts
        self._update_limits()
        for view in self.view_by_pool.values():
            view.set_entry_hosts(entry_hosts)

    def set_peers_in_flight(self, by_host_id: Mapping[str, int]) -> None:
        """Set how many requests the other entry hosts together have in flight."""
        for view in self.view_by_pool.values():
            view.set_peers_in_flight(by_host_id)

    def own_in_flight(self) -> dict[str, int]:
        """Return this entry host's requests in flight by host, where there are any."""
        return {
            host_id: backend.own_in_flight
            for view in self.view_by_pool.values()
            if view.own_in_flight
            for host_id, backend in view.backend_by_host_id.items()
            if backend.own_in_flight
        }

    def serving_addresses(self) -> set[str]:
        """Return the addresses of the backend servers that may get new requests."""
        return {
            backend.host.address
            for view in self.view_by_pool.values()
            for backend in view.backend_by_host_id.values()
            if backend.share
        }

    def view_of(self, service: Service) -> PoolView:
        """Return the view of the service's pool."""
        return self._view_of_pool(service.pool)

    def budget_of(self, service: Service) -> RetryBudget:
        """Return the service's retry budget.

        The last requests of a removed service get an empty one.
        """
        budget = self.budget_by_service.get(service.name)
        return RetryBudget(0.0, tokens=0.0) if budget is None else budget

    def _view_of_pool(self, pool: str) -> PoolView:
        view = self.view_by_pool.get(pool)
        if view is None:
            view = PoolView(
                pool, self.entry_hosts, hosts_down_limit=1, generator=self.generator
            )
            view.set_leaving(self._leaving)
            self.view_by_pool[pool] = view
        return view

    def _update_limits(self) -> None:
        services = list(self.service_by_name.values())
        members = self.entry_hosts.members()
        self.limiter.update_services(services, members, self.entry_hosts.own_id)

    def _pool_slots(self, service_name: str, now_s: float) -> PoolSlots:
        service = self.service_by_name.get(service_name)
        if service is None:
            return NO_SLOTS
        return self._view_of_pool(service.pool).available_slots(now_s)
