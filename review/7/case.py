"""Work that lasts runs no more once a wave waits for the worker that it needs."""

import asyncio
import json
import time
from pathlib import Path

from world2 import Client, Machine, World, has_trouble, route, run_case, service

# Of two services whose machines are due for upkeep, and of one whose are not.
MACHINES, SINGLE_MACHINES, OTHER_MACHINES = 3, 1, 5
# Two jobs, each with one work item on each machine of the first service; one job of
# each of the others; and one that doesn't last, of the second service.
JOBS = ("5c0e7a21d94b36f8", "a1b2c3d4e5f60718")
SINGLE_JOB, OTHER_JOB = "77aa77aa77aa77aa", "0f1e2d3c4b5a6978"
SHORT_JOB = "1234567812345678"
SHORT_STEP = {"count": 1, "cpu": 1100, "mem_mb": 2300, "estimate_ms": 640}
STEP = {
    "count": MACHINES,
    "cpu": 1300,
    "mem_mb": 6300,
    "long_running": True,
    "max_per_server": 1,
    "max_unavailable": 1,
}
QUEUE, SINGLE_QUEUE, OTHER_QUEUE = "/q/", "/w/", "/c/"
WAVE = {"wave": 1, "deadline_s": 25.0, "cap": 2}
SETTLE_S = 3.0
# Time after its last run from which a work item that lasts has to run again, and for
# how long it may then be without a run.
LASTING_S = 6.0 + 3.0
WATCH_S = 30.0


def running(world: World, job_id: str) -> dict[str, str]:
    """Return the work items of a job that run, and the machine of each."""
    return {
        task: machine.id
        for machine in world.machines.values()
        for task in (machine.worker.runs if machine.worker else ())
        if task.startswith(job_id)
    }


async def await_running(world: World) -> None:
    """Wait until all work items of both jobs are at work."""
    while any(len(running(world, job_id)) < MACHINES for job_id in JOBS):
        await asyncio.sleep(0.1)
    await asyncio.sleep(SETTLE_S)


async def fail_each_once(world: World) -> None:
    """Let each work item of the first job fail once, one after the other."""
    for task, machine_id in sorted(running(world, JOBS[0]).items()):
        worker = world.machines[machine_id].worker
        if task in worker.runs:
            worker.fail(task)
        await asyncio.sleep(SETTLE_S)


async def set_up(world: World) -> None:
    """Start three services and two entry hosts."""
    await world.open(
        [
            route("q.example", QUEUE, "quotes"),
            route("q.example", SINGLE_QUEUE, "workshop"),
            route("q.example", OTHER_QUEUE, "clinics"),
        ],
        [service("quotes"), service("workshop"), service("clinics")],
    )
    for name, pool, count in (
        ("m", "quotes", MACHINES),
        ("s", "workshop", SINGLE_MACHINES),
        ("n", "clinics", OTHER_MACHINES),
    ):
        for number in range(count):
            await world.add_machine(Machine(f"{name}{number}", pool))
    await world.add_hosts(2)


async def hand_in_lasting_jobs(world: World, client: Client, address: str) -> None:
    """Hand in the jobs that last and wait until they are at work."""
    for path, job_id, count in (
        *((QUEUE, job_id, MACHINES) for job_id in JOBS),
        (SINGLE_QUEUE, SINGLE_JOB, SINGLE_MACHINES),
        (OTHER_QUEUE, OTHER_JOB, OTHER_MACHINES),
    ):
        step = {**STEP, "count": count}
        await world.submit(client, address, path, job_id, [step], {})
    await await_running(world)


def ask_for_upkeep(world: World) -> None:
    """Write the wave."""
    due = [machine.id for machine in world.machines.values() if machine.id[0] != "n"]
    wave = {**WAVE, "machines": due}
    world.store.put("op", "wave/1", wave)
    world.record.note(f"operator writes op/wave/1 {json.dumps(wave)}")


async def longest_absence_s(world: World) -> float:
    """Watch the work items of the first job; return the longest time without a run."""
    tasks = [f"{JOBS[0]}.0.0.{number}" for number in range(MACHINES)]
    begun_s = time.monotonic()
    absent_since_s = dict.fromkeys(tasks, begun_s)
    absent_s = dict.fromkeys(tasks, 0.0)
    while time.monotonic() < begun_s + WATCH_S:
        runs = running(world, JOBS[0])
        for task in tasks:
            if task in runs:
                absent_since_s[task] = time.monotonic()
            pause_s = time.monotonic() - absent_since_s[task]
            absent_s[task] = max(absent_s[task], pause_s)
        await asyncio.sleep(0.1)
    for task, pause_s in absent_s.items():
        world.record.note(f"{task} was without a run for {pause_s:.1f} s")
    for machine in world.machines.values():
        runs_there = list(machine.worker.runs)
        world.record.note(f"{machine.id} is {machine.state} and runs {runs_there}")
    return max(absent_s.values())


async def play(world: World) -> bool:
    """Ask for upkeep, hand in a job that doesn't last, and let work items fail."""
    await set_up(world)
    client = Client(world.record, "q.example")
    address = world.hosts[0].callers
    await hand_in_lasting_jobs(world, client, address)
    if has_trouble():
        ask_for_upkeep(world)
    await asyncio.sleep(SETTLE_S)
    work = {"work_s": 0.64}
    await world.submit(client, address, SINGLE_QUEUE, SHORT_JOB, [SHORT_STEP], work)
    await fail_each_once(world)
    absent_s = await longest_absence_s(world)
    await client.call(address, "GET", QUEUE + JOBS[0])
    state = await client.call(address, "GET", SINGLE_QUEUE + SHORT_JOB)
    is_left = not any(task.startswith(SHORT_JOB) for _, task, _, _ in world.starts)
    world.record.note(f"the job that doesn't last is {state}, not begun: {is_left}")
    return is_left or absent_s > LASTING_S


run_case(Path(__file__).parent, play)
