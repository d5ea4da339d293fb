"""A large job is accepted; then no job of any queue makes progress any more."""

import time
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

WORK = TaskWork(0.3, 1000, 500)
SMALL_JOB = [{"count": 2, "cpu": 1000, "mem_mb": 500, "estimate_ms": 300}]
LARGE_JOB = [{**SMALL_JOB[0], "count": 1}]
MACHINES = [(f"m{number}", "one" if number < 4 else "two") for number in range(8)]
# Occurrences of the scheduled job that are due when it is handed in.
LARGE, ORDINARY = 30_000, 40
SMALL_JOBS = 6
# A small job takes under 1 s; the rule allows 3 s with nothing running.
WAIT_S = 30.0


async def play(record: Record) -> bool:
    """Return whether the small jobs of the other queue go on."""
    started: dict[str, int] = {}

    def observe(kind: str, *event: object) -> None:
        if kind == "start":
            job_id = str(event[1]).partition(".")[0]
            started[job_id] = started.get(job_id, 0) + 1

    routes = [route("/one/", "one"), route("/two/", "two")]
    first = configuration(1, routes, ["one", "two"])
    async with deployment(record, first, MACHINES, lambda task: WORK, observe) as it:
        near = it.hosts[0]
        before = await it.submit(near, "/one/", SMALL_JOB)
        if not await it.wait_for_state(near, f"/one/{before}", "complete", 10.0):
            raise NotRun("a small job does not complete without trouble")
        count = LARGE if has_trouble() else ORDINARY
        record.note(f"a job with {count} occurrences that are due is handed in")
        schedule = {
            "repeats": count,
            "start_ms": int((time.time() - count) * 1000),
            "period_ms": 1000,
        }
        await it.submit(near, "/two/", LARGE_JOB, **schedule)
        job_ids = []
        for number in range(SMALL_JOBS):
            await trio.sleep(1.0)
            host = it.hosts[number % len(it.hosts)]
            job_ids.append(await it.submit(host, "/one/", SMALL_JOB))
        deadline_s = trio.current_time() + WAIT_S
        waiting = []
        for job_id in job_ids:
            left_s = max(1.0, deadline_s - trio.current_time())
            path = f"/one/{job_id}"
            if not await it.wait_for_state(near, path, "complete", left_s):
                waiting.append(job_id)
        for job_id in waiting:
            record.note(f"job {job_id} waits; starts: {started.get(job_id, 0)}")
        record.note(f"{len(waiting)} of {SMALL_JOBS} accepted jobs have not completed")
        return not any(started.get(job_id, 0) == 0 for job_id in waiting)


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
