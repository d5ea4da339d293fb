"""Connections of a holder to backend servers that come and go."""

import pytest
import trio
from trio.testing import MockClock

from tests.batch.test_days import open_day, submit
from tests.batch.test_large_jobs import put_pools
from tests.batch.test_reborn_servers import short_job
from tests.batch.world import open_world


@pytest.fixture
def autojump_clock():
    return MockClock(rate=0.0, autojump_threshold=0.0)


# Guards against open files that grow with each server that moves or ends.
async def test_connections_follow_the_servers_that_there_are(
    monkeypatch, autojump_clock
):
    async with open_world(monkeypatch) as world:
        put_pools(world, "one")
        node = world.start_node("a")
        await trio.sleep(3.0)
        first = {
            machine.id: machine.server.address
            for machine in world.platform.machine_by_id.values()
        }
        # The next lifetime of one has another address, that of the other the same.
        world.platform.machine_by_id["m0"].address = "10.9.1.0:80"
        world.platform.crash("m0", 1.0)
        world.platform.crash("m1", 0.01)
        await trio.sleep(20.0)
        forgotten = node.client.forgotten
        assert first["m0"] in forgotten
        assert first["m2"] not in forgotten
        assert "10.9.1.0:80" not in forgotten


# Guards against connections to ended lifetimes that a host keeps after it has lost the
# lease, as it calls none of them again.
async def test_a_host_without_the_lease_keeps_no_connections_to_servers(
    monkeypatch, autojump_clock
):
    async with open_day(monkeypatch, 0, "ab") as (world, checker):
        assert await submit(world, checker, "/one/", short_job(world.generator))
        await trio.sleep(3.0)
        holder = world.holders()[0]
        client = world.node_by_id[holder].client
        assert client.idle_connections()
        world.faults.nodes_cut_from_store = {holder}
        await trio.sleep(4.0)
        world.faults.nodes_cut_from_store = set()
        await trio.sleep(2.0)
        assert holder not in world.holders()
        assert client.idle_connections() == []
