"""A job that takes longer than its rough estimate is stopped again and again."""

import asyncio
import time
from pathlib import Path

from world2 import Client, Machine, World, has_trouble, route, run_case, service

JOB = "5c0e7a21d94b36f8"
# One job in twenty takes three times as long as the others, which is `poison`, `long`
# with the share and the 3 s of the site.
OTHER_JOBS = 19
GAP_S = 0.15
WORK_S = 2.0
LONG_FACTOR = 3.0
# From the end of the traffic.
FINISH_S = 14.0
WATCH_S = 30.0
IDLE_S = 3.0


def longest_pause_s(world: World, from_s: float, to_s: float) -> float:
    """Return for how long at most nothing ran between two times."""
    begun = [at_s for at_s, _, _, _ in world.starts]
    ended = [at_s for at_s, _, _, _ in world.ends]
    edges = sorted([(at_s, 1) for at_s in begun] + [(at_s, -1) for at_s in ended])
    pause_s, idle_since_s, running = 0.0, from_s, 0
    for at_s, change in [*edges, (to_s, 0)]:
        if not running and at_s > from_s:
            pause_s = max(pause_s, min(at_s, to_s) - max(idle_since_s, from_s))
        running += change
        if not running:
            idle_since_s = at_s
    return pause_s


async def play(world: World) -> bool:
    """Hand in jobs of which the last one takes long, and watch their worker."""
    await world.open([route("q.example", "/q/", "quotes")], [service("quotes")])
    await world.add_machine(Machine("m0", "quotes"))
    await world.add_hosts(2)
    client = Client(world.record, "q.example")
    step = {"count": 1, "cpu": 1000, "mem_mb": 512, "estimate_ms": WORK_S * 1000}
    address = world.hosts[0].callers
    work = {"work_s": WORK_S}
    for number in range(OTHER_JOBS):
        job_id = f"{number:016x}"
        await world.submit(client, address, "/q/", job_id, [step], work)
        await asyncio.sleep(GAP_S)
    work = {"work_s": WORK_S * (LONG_FACTOR if has_trouble() else 1.0)}
    await world.submit(client, address, "/q/", JOB, [step], work)
    await asyncio.sleep(FINISH_S)
    from_s = time.monotonic()
    await asyncio.sleep(WATCH_S)
    state = (await client.call(address, "GET", "/q/" + JOB))[1].get("state")
    pause_s = longest_pause_s(world, from_s, time.monotonic())
    runs = sum(task.startswith(JOB) for _, task, _, _ in world.starts)
    world.record.note(f"{state} after {runs} runs; nothing ran for {pause_s:.3f} s")
    return state != "complete" and pause_s >= IDLE_S


run_case(Path(__file__).parent, play)
