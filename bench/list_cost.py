"""Print what a holder spends on the list of runs in a response, without I/O."""

import random
import time
from collections.abc import Callable

import attrs
import defopt
import trio

from bench.scheduling_cost import World
from rhubarbmount.batch.clocks import monotonic_s
from rhubarbmount.batch.election import ShardLease
from rhubarbmount.batch.lateness import Lateness
from rhubarbmount.batch.metrics import BatchMetrics
from rhubarbmount.batch.server_session import ServerSession
from rhubarbmount.batch.server_sessions import ServerSessions
from rhubarbmount.batch.silent_servers import SilentServers
from rhubarbmount.platform.backend import BackendClient, format_task
from rhubarbmount.platform.json_client import JsonResponse


class SilentBackend:
    """Answers no renewal."""

    async def renew(self, *args: object) -> None:
        """Wait until cancelled."""
        await trio.sleep_forever()


@attrs.define(eq=False)
class ListedServer:
    """Answers renewals with a list of runs."""

    session: ServerSession
    response: JsonResponse

    async def call(self, *args: object) -> JsonResponse:
        """Return the list."""
        return self.response

    async def renew(self, sessions: ServerSessions) -> None:
        """Decode the list and apply it."""
        client = BackendClient(self, sessions.lateness)  # type: ignore[arg-type]
        response = await client.renew(self.session.server, 1, 0, None, 0.0)
        sessions.on_list(self.session, response, monotonic_s())


def sessions_of(world: World, nursery: trio.Nursery) -> ServerSessions:
    """Return sessions whose own renewals are never answered."""
    sessions = ServerSessions(
        shard=world.shard,
        client=SilentBackend(),  # type: ignore[arg-type]
        shard_lease=ShardLease(1, monotonic_s()),
        max_lease_s=10.0,
        last_grants_lapse_in_s=None,
        metrics=BatchMetrics(),
        lateness=Lateness(BatchMetrics()),
        tickets=None,  # type: ignore[arg-type]
        nursery=nursery,
        wake=lambda: None,
        want_host_list=lambda: None,
        silent=SilentServers(lambda: 0.0),
        save_silent=trio.sleep_forever,
    )
    for usage in world.shard.usage_by_server_id.values():
        sessions.open(usage)
    return sessions


def listed(world: World, sessions: ServerSessions) -> list[ListedServer]:
    """Return the servers, whose runs have done 40% of their work."""
    servers = []
    for usage in world.shard.usage_by_server_id.values():
        session = sessions.find(usage.server.id)
        assert session is not None
        session.is_established = True
        for task in usage.task_by_id.values():
            task.acknowledged_s = world.now_s
            task.progress.start(1000)
        rows = [[format_task(t), 1, "", 40, 0] for t in usage.task_by_id]
        body = {"clock_ms": 1400, "running": rows, "finished": []}
        servers.append(ListedServer(session, JsonResponse(200, body)))
    return servers


async def measure(world: World, rounds: int, show: Callable[[str], None]) -> None:
    """Print the lowest processor time of a list over the rounds."""
    lowest_s = 1.0
    async with trio.open_nursery() as nursery:
        sessions = sessions_of(world, nursery)
        servers = listed(world, sessions)
        for _ in range(rounds):
            begin_s = time.thread_time()
            for server in servers:
                await server.renew(sessions)
            lowest_s = min(lowest_s, (time.thread_time() - begin_s) / len(servers))
        nursery.cancel_scope.cancel()
    runs = sum(len(server.response.body["running"]) for server in servers)
    show(f"{runs / len(servers):.1f} runs listed: {lowest_s * 1e6:.1f} us")


def main(*, servers: int = 77, width: int = 8, rounds: int = 400) -> None:
    """Print the processor time of a list.

    :param servers: backend servers
    :param width: tasks of a step
    :param rounds: lists of each server
    """
    world = World(servers, width, random.Random(1))
    world.now_s = monotonic_s()
    world.shard.set_time(world.now_s, world.now_s)
    world.add_jobs(2000)
    world.placer.place(world.now_s)
    trio.run(measure, world, rounds, print)


if __name__ == "__main__":
    defopt.run(main)
