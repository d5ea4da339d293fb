"""Observations of backend servers by one entry host: load and readiness."""

from collections.abc import Callable, Mapping

import attrs
import trio

from rhubarbmount.host_work import Observation
from rhubarbmount.hosts import Host, HostState
from rhubarbmount.routing import PoolView
from rhubarbmount.timers import TimerService

__all__ = ["HostProbe"]

PROBE_S = 1.0
CONNECT_TIMEOUT_S = 1.0
PROBED_STATES = (HostState.MAINTENANCE, HostState.RETURNING)


@attrs.define(eq=False)
class HostProbe:
    """Connection probes of returning hosts, combined with routing state.

    ``wanted`` returns whether anything uses the probes now. A mapping that ``hosts``
    returned must never be modified, as its identity shows whether it is current.
    """

    data_centre: str
    hosts: Callable[[], Mapping[str, Host]]
    view_by_pool: Mapping[str, PoolView]
    wanted: Callable[[], bool]
    _ready_by_host_id: dict[str, bool] = attrs.field(factory=dict)
    _last_hosts: Mapping[str, Host] = attrs.field(factory=dict)
    _probed_hosts: list[Host] = attrs.field(factory=list)

    async def run(self, timers: TimerService) -> None:
        """Probe every ``PROBE_S``."""
        async for _ in timers.every("host-probe", PROBE_S):
            await self.probe()

    async def probe(self) -> None:
        """Try one connection to each host that is in maintenance or returning."""
        hosts = self._hosts_to_probe() if self.wanted() else []
        probed_ids = {host.host_id for host in hosts}
        for host_id in self._ready_by_host_id.keys() - probed_ids:
            del self._ready_by_host_id[host_id]
        async with trio.open_nursery() as nursery:
            for host in hosts:
                nursery.start_soon(self._connect, host)

    def observe(self, host: Host) -> Observation:
        """Return a host's requests in flight and its readiness, as seen from here.

        A count of 0 requests is returned as unknown. A host in service is not ready
        while routing has taken it out of use and it is in this data centre; otherwise
        its readiness is unknown.
        """
        view = self.view_by_pool.get(host.pool)
        backend = view.backend_by_host_id.get(host.host_id) if view else None
        if backend is None:
            return Observation(ready=self._ready_by_host_id.get(host.host_id))
        in_flight = backend.own_in_flight + backend.peers_in_flight
        ready = self._ready_by_host_id.get(host.host_id)
        if host.state is HostState.IN_SERVICE:
            is_out = backend.health.out_until_s is not None or backend.health.probing
            ready = False if is_out and self.is_near(host) else None
        return Observation(in_flight=in_flight or None, ready=ready)

    def is_near(self, host: Host) -> bool:
        """Return whether the host is in the same data centre as this entry host.

        Only then may a failure seen here be the host's own; a host in another data
        centre may just be unreachable from this one.
        """
        return host.data_centre == self.data_centre

    def _hosts_to_probe(self) -> list[Host]:
        hosts = self.hosts()
        if hosts is not self._last_hosts:
            self._last_hosts = hosts
            self._probed_hosts = [
                host for host in hosts.values() if host.state in PROBED_STATES
            ]
        return self._probed_hosts

    async def _connect(self, host: Host) -> None:
        address, _, port = host.address.rpartition(":")
        ready = False
        with trio.move_on_after(CONNECT_TIMEOUT_S):
            try:
                stream = await trio.open_tcp_stream(address, int(port))
            except OSError:
                pass
            else:
                ready = True
                await stream.aclose()
        self._ready_by_host_id[host.host_id] = ready
