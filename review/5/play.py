"""A job is cancelled and said not to exist; then it is stored late and runs on."""

from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import trio
from deployment import (
    NotRun,
    Record,
    configuration,
    deployment,
    has_trouble,
    new_job_id,
    route,
    run_case,
)

from rhubarbmount.platform.json_client import JsonResponse
from rhubarbmount.standins.users_servers import TaskWork

WORK = TaskWork(1.5, 1000, 500)
STEP = {"count": 1, "cpu": 1000, "mem_mb": 500, "estimate_ms": 1500}
# One step after the other, so that work items start until long after the cancelling.
STEPS = [STEP, *({**STEP, "after": [number]} for number in range(7))]
MACHINES = [(f"m{number}", "one") for number in range(4)]
# The store does not answer for this long; the site's longest outage is 4.5 s.
OUTAGE_S = 4.0
# The first write of the outage is performed late, by 1 to 6 s.
LATE_S = 5.5
CANCEL_S = 3.0
CONTACT_S = 3.0
WATCH_S = 20.0


async def play(record: Record) -> bool:
    """Return whether no work item starts long after its job was cancelled."""
    starts: list[tuple[float, str]] = []

    def observe(kind: str, *event: object) -> None:
        if kind == "start":
            starts.append((trio.current_time(), str(event[1])))
            record.note(f"start of {event[1]} run {event[2]}")

    first = configuration(1, [route("/one/", "one")], ["one"])
    async with deployment(record, first, MACHINES, lambda task: WORK, observe) as it:
        near, far = it.hosts
        known = await it.submit(near, "/one/", [STEP])
        if not await it.wait_for_state(near, f"/one/{known}", "complete", 10.0):
            raise NotRun("a job does not complete without trouble")
        job_id = new_job_id()
        path = f"/one/{job_id}"
        until_s = trio.current_time() + OUTAGE_S
        has_late_write = False

        async def perform_late(proceed: Callable[[], Awaitable[JsonResponse]]) -> None:
            await trio.sleep(LATE_S)
            response = await proceed()
            record.note(f"the store performs the late write: {response.status}")

        async def hook(
            call: str, body: Any, proceed: Callable[[], Awaitable[JsonResponse]]
        ) -> JsonResponse:
            nonlocal has_late_write
            if trio.current_time() >= until_s:
                return await proceed()
            puts = body["puts"] if body else []
            if not has_late_write and any(put["key"] == job_id for put in puts):
                has_late_write = True
                it.nursery.start_soon(perform_late, proceed)
            await trio.sleep_forever()
            raise AssertionError

        if has_trouble():
            record.note(f"the store does not answer for {OUTAGE_S} s")
            it.store.hook = hook
        body = {"spec": "x", "phases": STEPS}
        await it.call(near, "POST", path, body)
        await trio.sleep_until(until_s + 0.7)
        status = 0
        while status not in (200, 410):
            status, _ = await it.call(far, "DELETE", path)
            await trio.sleep(0.1)
        cancelled_s = trio.current_time()
        record.note(f"the cancelling is acknowledged with {status}")
        await trio.sleep(WATCH_S)
        # Calm for long enough after the outage and the late write.
        from_s = max(cancelled_s + CANCEL_S, until_s + LATE_S - OUTAGE_S + CONTACT_S)
        late = [
            task
            for at_s, task in starts
            if task.startswith(job_id) and at_s > from_s + 0.1
        ]
        await it.state(near, path)
        record.note(f"work items started over {CANCEL_S} s after that: {len(late)}")
        return not late


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
