"""Probes of returning hosts: which hosts are probed, and how often."""

import attrs

from rhubarbmount.host_probe import HostProbe
from rhubarbmount.hosts import HostState
from tests.fleetkit import make_host


class CountingHosts(dict):
    """Mapping of hosts by id that counts iterations over its values."""

    passes = 0

    def values(self):
        self.passes += 1
        return super().values()


async def test_hosts_are_iterated_only_when_the_view_has_changed(monkeypatch):
    host = make_host(1)
    views = [CountingHosts({"q1": host})]
    probe = HostProbe("dc1", lambda: views[-1], {}, lambda: True)
    connected = []

    async def connect(host):
        connected.append(host.host_id)

    monkeypatch.setattr(HostProbe, "_connect", lambda self, host: connect(host))
    for _ in range(5):
        await probe.probe()
    assert (views[0].passes, connected) == (1, [])
    views.append(CountingHosts({"q1": attrs.evolve(host, state=HostState.RETURNING)}))
    for _ in range(5):
        await probe.probe()
    assert (views[1].passes, connected) == (1, ["q1"] * 5)


def test_only_a_host_of_the_own_data_centre_is_near():
    probe = HostProbe("dc1", dict, {}, lambda: True)
    assert probe.is_near(make_host(1))
    assert not probe.is_near(make_host(1, data_centre="dc2"))
