"""The holder is killed while many runs end on one worker; some are begun again."""

from pathlib import Path

import attrs
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

ITEMS = 700
WORK_S = 5.0
# Before the first run ends.
KILL_AFTER_S = 4.7
WORK = TaskWork(WORK_S, 10, 20)
STEPS = [{"count": ITEMS, "cpu": 10, "mem_mb": 20, "estimate_ms": int(WORK_S * 1000)}]
MACHINES = [("m0", "one"), ("m1", "one")]
WAIT_S = 40.0


@attrs.define
class Runs:
    """What the workers saw of the runs of each work item."""

    record: Record
    starts: int = 0
    done_by_task: dict[str, int] = attrs.field(factory=dict)
    noted: set[tuple[str, int]] = attrs.field(factory=set)
    # Starts after a run of the same work item had ended as done.
    repeated: dict[str, int] = attrs.field(factory=dict)

    def observe(self, kind: str, *event: object) -> None:
        """Take in an event of a worker."""
        if kind == "start":
            self._note_start(event)
        elif kind == "done":
            self.done_by_task[str(event[1])] = int(str(event[2]))
        elif kind == "acknowledged" and event[3] == "done":
            self._note_acknowledged(event)

    def _note_acknowledged(self, event: tuple[object, ...]) -> None:
        worker, task, run, _ = event
        # An end doesn't count if the worker's lease has lapsed before.
        if getattr(worker, "lapsed_at_s", 0.0) < 0.0:
            self.noted.add((str(task), int(str(run))))

    def _note_start(self, event: tuple[object, ...]) -> None:
        self.starts += 1
        worker, task, run = event
        done_run = self.done_by_task.get(str(task))
        if done_run is not None:
            self.repeated[str(task)] = done_run
            name = getattr(worker, "id", "")
            self.record.note(f"start of {task} run {run} at {name}, done as {done_run}")

    def broken(self) -> list[str]:
        """Return the work items started after an end that was taken note of."""
        return [
            task for task, run in self.repeated.items() if (task, run) in self.noted
        ]


async def play(record: Record) -> bool:
    """Return whether no work item runs again after it was done."""
    runs = Runs(record)
    first = configuration(1, [route("/one/", "one")], ["one"])
    async with deployment(
        record, first, MACHINES, lambda task: WORK, runs.observe
    ) as it:
        near = it.hosts[0]
        job_id = await it.submit(near, "/one/", STEPS)
        with trio.move_on_after(KILL_AFTER_S):
            while not runs.starts:
                await trio.sleep(0.005)
        started_s = trio.current_time()
        await trio.sleep_until(started_s + KILL_AFTER_S)
        record.note(f"{runs.starts} runs have started, {len(runs.done_by_task)} ended")
        if runs.starts < ITEMS or runs.done_by_task:
            raise NotRun("not all runs are under way")
        holder = it.holder()
        if has_trouble():
            record.note(f"SIGKILL to {holder.name}, which holds the lease")
            holder.end()
        other = next(host for host in it.hosts if host is not holder)
        path = f"/one/{job_id}"
        is_complete = await it.wait_for_state(other, path, "complete", WAIT_S)
        await trio.sleep(3.0)
        broken = runs.broken()
        record.note(
            f"complete: {is_complete}; starts: {runs.starts}; "
            f"started again after done: {len(runs.repeated)}, "
            f"of which the end was taken note of: {len(broken)}"
        )
        return not broken


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
