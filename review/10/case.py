"""A new address in the settings file does not reach the machine that gives orders."""

import asyncio
import json
import signal
import time
from pathlib import Path

from world2 import (
    Client,
    EntryHost,
    Machine,
    Server,
    World,
    has_trouble,
    route,
    run_case,
    service,
)

ADVICE = {"decision_ms": 50, "per_worker_ms": 2, "valid_ms": 4000}
STEP = {"count": 2, "cpu": 1000, "mem_mb": 512, "estimate_ms": 500}
WORK = {"work_s": 0.5}
QUEUE = "/q/"
JOBS = ("5c0e7a21d94b36f8", "a1b2c3d4e5f60718")
SETTLE_S = 3.0
# `finish_s` after the end of the traffic, and for how long nothing may run then.
FINISH_S = 14.0 + 3.0


class Advice:
    """The advice service, which allows any worker to run any step."""

    def __init__(self, world: World) -> None:
        self._world = world
        self.server = Server(self._handle)

    async def _handle(
        self, method: str, target: str, headers: dict, body: bytes
    ) -> tuple[int, dict]:
        call = json.loads(body)
        self._world.record.note(f"advice at {self.server.address} is asked: {call}")
        workers = call["workers"]
        await asyncio.sleep(
            (ADVICE["decision_ms"] + ADVICE["per_worker_ms"] * len(workers)) / 1000
        )
        return 200, {"granted": [[worker, "ticket"] for worker in workers], **ADVICE}


def move_advice(world: World, earlier: Advice, later: Advice) -> None:
    """Write the new address into the settings; half of the machines get SIGHUP."""
    holder = world.holder()
    for host in world.hosts:
        host.write_settings(advice=later.server.address)
        world.record.note(f"the settings of {host.name} change")
    if isinstance(holder, EntryHost):
        holder.signal(signal.SIGHUP)
    earlier.server.stop()
    world.record.note(f"advice moves to {later.server.address}")


async def play(world: World) -> bool:
    """Move the advice service, and hand in a job."""
    earlier, later = Advice(world), Advice(world)
    await earlier.server.start()
    await later.server.start()
    queue = route("q.example", QUEUE, "quotes", advice=ADVICE)
    await world.open([queue], [service("quotes")])
    for number in range(3):
        await world.add_machine(Machine(f"m{number}", "quotes"))
    await world.add_hosts(2, advice=earlier.server.address)
    client = Client(world.record, "q.example")
    address = world.hosts[0].callers
    await world.submit(client, address, QUEUE, JOBS[0], [STEP], WORK)
    await asyncio.sleep(SETTLE_S)
    await client.call(address, "GET", QUEUE + JOBS[0])
    if has_trouble():
        move_advice(world, earlier, later)
    await asyncio.sleep(SETTLE_S)
    await world.submit(client, address, QUEUE, JOBS[1], [STEP], WORK)
    until_s = time.monotonic() + FINISH_S
    state = ""
    while time.monotonic() < until_s and state != "complete":
        await asyncio.sleep(1.0)
        state = (await client.call(address, "GET", QUEUE + JOBS[1]))[1].get("state")
    begun = [task for _, task, _, _ in world.starts if task.startswith(JOBS[1])]
    world.record.note(f"the second job is {state}, begun: {begun}")
    return state != "complete" and not begun


run_case(Path(__file__).parent, play)
