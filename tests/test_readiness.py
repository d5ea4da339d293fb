"""An entry host says that it is ready only once it can route."""

import trio

from rhubarbmount.catalogue import Snapshot
from rhubarbmount.entries import Pool, Service, Team
from rhubarbmount.hosts import Host, Shape
from rhubarbmount.leaving_list import LeavingList
from rhubarbmount.server import EntryHost
from rhubarbmount.settings import Endpoint, Settings
from rhubarbmount.standins.seed import Seed, write_seed
from rhubarbmount.store.memory import MemoryPlatform
from tests.addresses import AddressBlock


def seed():
    snapshot = Snapshot()
    for kind, entry in (
        ("team", Team(name="t", owner="t")),
        ("pool", Pool(name="p", owner="t", hosts_wanted=1)),
        ("service", Service(name="s", owner="t", pool="p")),
    ):
        snapshot = snapshot.with_entry(kind, entry)
    host = Host(
        host_id="h",
        pool="p",
        data_centre="a",
        rack="r",
        address="127.0.0.1:1",
        shape=Shape(processors=1, memory_gb=1),
        slots=1,
    )
    return Seed((host,), snapshot)


async def test_a_host_is_not_ready_before_its_routing_knows_the_fleet(monkeypatch):
    """The list of leaving hosts is slow beside load: callers would be refused."""
    is_read = trio.Event()
    monkeypatch.setattr(LeavingList, "refresh_briefly", lambda self: is_read.wait())
    platform = MemoryPlatform()
    await write_seed(platform, seed())
    block = AddressBlock()
    address = block.new_address()
    settings = Settings(
        instance="e",
        data_centre="a",
        callers=Endpoint(address=address, port=0),
        operators=Endpoint(address=address, port=0),
        metrics=Endpoint(address=address, port=0),
    )
    host = EntryHost(settings, platform)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(host.run)
        with trio.fail_after(10):
            while not (host.configuration.ready and host.fleet_view.ready):
                await trio.sleep(0.01)
            assert not host.is_ready()
            is_read.set()
            while not host.is_ready():
                await trio.sleep(0.01)
        nursery.cancel_scope.cancel()
    block.close()
