"""Connections of a holder to backend servers that come and go."""

import pytest
import trio
from trio.testing import MockClock

from tests.batch.test_large_jobs import put_pools
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
