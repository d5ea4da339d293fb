"""A route is removed and added again; a job fails by its first failed run meanwhile."""

from pathlib import Path

import trio
from deployment import (
    NotRun,
    Record,
    configuration,
    deployment,
    has_trouble,
    route,
    run_case,
)

from rhubarbmount.standins.users_servers import TaskWork

ATTEMPTS = 4
FIRST_RUN_S, NEXT_RUN_S = 4.0, 0.5
STEPS = [{"count": 1, "cpu": 1000, "mem_mb": 500, "estimate_ms": 4000}]
MACHINES = [(f"m{number}", "one") for number in range(4)]
REMOVED_AT_S, ADDED_AT_S = 1.0, 7.0
# The longest time in which a configuration has to be in force, with a margin.
IN_FORCE_S = 3.0
WAIT_S = 15.0
FINAL = ("complete", "failed", "cancelled")


async def play(record: Record) -> bool:
    """Return whether the job has the attempts that its queue gives it."""
    starts = 0
    ends: list[str] = []

    def work_of(task: str) -> TaskWork:
        nonlocal starts
        starts += 1
        if starts == 1:
            return TaskWork(FIRST_RUN_S, 1000, 500, fails=True)
        return TaskWork(NEXT_RUN_S, 1000, 500)

    def observe(kind: str, *event: object) -> None:
        if kind in ("done", "failed", "stopped", "lapsed"):
            ends.append(kind)
            record.note(f"run {event[2]} of {event[1]} ended {kind}")

    one, two = route("/one/", "one", attempts=ATTEMPTS), route("/two/", "one")
    first = configuration(1, [one, two], ["one"])
    async with deployment(record, first, MACHINES, work_of, observe) as it:
        near = it.hosts[0]
        job_id = await it.submit(near, "/one/", STEPS)
        begun_s = trio.current_time()
        await trio.sleep(REMOVED_AT_S)
        if starts != 1:
            raise NotRun("the first run has not begun")
        kept = [two] if has_trouble() else [one, {**two, "timeout_ms": 2000}]
        record.note(f"configuration 5: {[item['prefix'] for item in kept]}")
        it.platform.put_catalogue(configuration(5, kept, ["one"]))
        await trio.sleep_until(begun_s + ADDED_AT_S)
        record.note("configuration 9: both routes as before")
        it.platform.put_catalogue(configuration(9, [one, two], ["one"]))
        await trio.sleep(IN_FORCE_S)
        state = ""
        with trio.move_on_after(WAIT_S):
            while state not in FINAL:
                state = await it.state(near, f"/one/{job_id}")
                await trio.sleep(0.25)
        failed = ends.count("failed")
        record.note(f"state: {state}; runs that ended failed: {failed} of {ATTEMPTS}")
        return not (state == "failed" and failed < ATTEMPTS)


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
