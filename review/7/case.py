"""A worker goes down and up by turns, and harmless work is given up for it."""

import asyncio
import json
import time
from pathlib import Path

from world2 import Client, Machine, World, has_trouble, route, run_case, service

# As `srv_flap` of the site: a tenth of the workers, for 6.5 s, 1.4 s at a time.
FLAP_S = 6.5
GAP_S = 1.4
# The worker goes down for the first time so long after the work item has begun.
FIRST_RUN_S = 1.2
WORK_S = 4.0
FINISH_S = 14.0
# Time after its last run from which a work item that lasts has to run again, and for
# how long it may then be without a run.
LASTING_S = 6.0 + 3.0
JOB, LASTING_JOB = "5c0e7a21d94b36f8", "a1b2c3d4e5f60718"
STEP = {"count": 1, "cpu": 1000, "mem_mb": 512}
QUEUE = "/q/"


async def flap(world: World, machine: Machine) -> None:
    """Let the worker of a machine go down and up by turns."""
    if not has_trouble():
        await asyncio.sleep(FLAP_S)
        return
    until_s = time.monotonic() + FLAP_S
    while time.monotonic() < until_s:
        machine.worker.crash()
        await asyncio.sleep(min(GAP_S, until_s - time.monotonic()))
        await world.begin_life(machine)
        await asyncio.sleep(GAP_S)


async def await_start(world: World, job_id: str) -> None:
    """Wait until a work item of a job has begun."""
    while not any(task.startswith(job_id) for _, task, _, _ in world.starts):
        await asyncio.sleep(0.01)


async def is_given_up(world: World, client: Client, machine: Machine) -> bool:
    """Return whether a job that ends is shown as failed and no run has failed."""
    step = {**STEP, "required_label": machine.kind, "estimate_ms": WORK_S * 1000}
    address = world.hosts[0].callers
    await world.submit(client, address, QUEUE, JOB, [step], {"work_s": WORK_S})
    await await_start(world, JOB)
    await asyncio.sleep(FIRST_RUN_S)
    await flap(world, machine)
    until_s = time.monotonic() + FINISH_S
    while time.monotonic() < until_s:
        state = (await client.call(address, "GET", QUEUE + JOB))[1].get("state")
        if state in ("complete", "failed"):
            break
        await asyncio.sleep(1.0)
    failed = [
        end for end in world.ends if end[1].startswith(JOB) and end[3] == "failed"
    ]
    world.record.note(f"the job is {state}; runs that ended failed: {len(failed)}")
    return state == "failed" and not failed


async def is_left_alone(world: World, client: Client, machine: Machine) -> bool:
    """Return whether a work item that lasts runs no more once its worker is sound."""
    step = {**STEP, "required_label": machine.kind, "long_running": True}
    address = world.hosts[0].callers
    await world.submit(client, address, QUEUE, LASTING_JOB, [step], {})
    await await_start(world, LASTING_JOB)
    await asyncio.sleep(FIRST_RUN_S)
    await flap(world, machine)
    await asyncio.sleep(LASTING_S + FINISH_S)
    runs = list(machine.worker.runs)
    state = await client.call(address, "GET", QUEUE + LASTING_JOB)
    world.record.note(f"the job that lasts is {state}, on its worker run: {runs}")
    return not runs


async def play(world: World) -> bool:
    """Play both kinds of job, each with a worker of its own that flaps."""
    world.record.note(json.dumps({"flap_s": FLAP_S, "gap_s": GAP_S}))
    await world.open([route("q.example", QUEUE, "quotes")], [service("quotes")])
    for number in range(18):
        await world.add_machine(Machine(f"m{number}", "quotes"))
    first, second = Machine("m18", "quotes", "g"), Machine("m19", "quotes", "h")
    await world.add_machine(first)
    await world.add_machine(second)
    await world.add_hosts(2)
    client = Client(world.record, "q.example")
    given_up = await is_given_up(world, client, first)
    left_alone = await is_left_alone(world, client, second)
    return given_up or left_alone


run_case(Path(__file__).parent, play)
