"""Workers of the stand-in platform: they run tasks under leases, and fail."""

import logging
from collections import Counter
from collections.abc import Callable

import attrs
import trio

from rhubarbmount import log
from rhubarbmount.job_changes import ENDED_PREFIX, USAGE_PREFIX
from rhubarbmount.jobs import Task, load_task
from rhubarbmount.store.interface import TaskCommand, Transaction, Write
from rhubarbmount.store.memory import MemoryPlatform
from rhubarbmount.tables import REPORTS_TABLE, TASKS_TABLE

__all__ = ["WorkerFaults", "Workers"]

logger = logging.getLogger(__name__)


@attrs.define
class WorkerFaults:
    """What the workers do wrong; each switch stays until it is set again.

    ``dead_hosts`` drop their tasks unreported, ``failing_hosts`` fail each task they
    start, and usage is reported ``usage_lag_s`` after a task's end.
    ``run_time_factor`` is the true run time of a task by the one it declares.
    """

    dead_hosts: list[str] = attrs.field(factory=list)
    failing_hosts: list[str] = attrs.field(factory=list)
    usage_lag_s: float = 1.0
    checkpoint_s: float = 0.2
    run_time_factor: float = 1.0


@attrs.define(eq=False)
class RunningTask:
    """A task on a worker, and what makes it end early."""

    task: Task
    started_s: float
    stopped: trio.Event = attrs.field(factory=trio.Event)
    outcome: str = "succeeded"


@attrs.define(eq=False)
class Workers:
    """Run the tasks that the platform is told to start; count starts by job.

    ``most_at_once`` is the largest number of tasks of one job that ran together.
    """

    memory: MemoryPlatform
    faults: Callable[[], WorkerFaults]
    nursery: trio.Nursery | None = None
    starts_by_job: Counter[str] = attrs.field(factory=Counter)
    most_at_once: int = 0
    _running_by_id: dict[str, RunningTask] = attrs.field(factory=dict)

    def take_command(self, command: TaskCommand) -> None:
        """Act on a command that came for the first time."""
        log.event(
            logger,
            "task-command",
            task=command.task_id,
            host=command.host_id,
            action=command.action,
        )
        if self.nursery is None:
            return
        if command.action == "start":
            self.nursery.start_soon(self._run, command)
            return
        running = self._running_by_id.get(command.task_id)
        if running is not None:
            outcomes = {"checkpoint": "checkpointed", "stop": "stopped"}
            running.outcome = outcomes.get(command.action, running.outcome)
            running.stopped.set()

    async def _run(self, command: TaskCommand) -> None:
        row = await self.memory.read(TASKS_TABLE, command.task_id)
        if row is None or command.host_id in self.faults().dead_hosts:
            return
        running = RunningTask(load_task(row.value), trio.current_time())
        self._note_start(running)
        with trio.move_on_after(self._run_time_s(running.task)):
            await running.stopped.wait()
        if running.outcome == "checkpointed":
            await trio.sleep(self.faults().checkpoint_s)
        del self._running_by_id[command.task_id]
        if command.host_id in self.faults().dead_hosts:
            return
        await self._report(running)

    def _note_start(self, running: RunningTask) -> None:
        job_id = running.task.job_id
        self.starts_by_job[job_id] += 1
        self._running_by_id[running.task.task_id] = running
        at_once = sum(r.task.job_id == job_id for r in self._running_by_id.values())
        self.most_at_once = max(self.most_at_once, at_once)
        if running.task.host_id in self.faults().failing_hosts:
            running.outcome = "failed"
            running.stopped.set()

    def _run_time_s(self, task: Task) -> float:
        return task.run_time_s * self.faults().run_time_factor

    async def _report(self, running: RunningTask) -> None:
        task = running.task
        run_time_s = trio.current_time() - running.started_s
        end = {"task_id": task.task_id, "outcome": running.outcome}
        await self._write(ENDED_PREFIX + task.task_id, end | {"progress_s": run_time_s})
        if running.outcome != "succeeded":
            return
        await trio.sleep(self.faults().usage_lag_s)
        usage = {
            "task_id": task.task_id,
            "kind": task.kind,
            "processors": task.reserved.processors,
            "memory_gb": task.reserved.memory_gb,
            "run_time_s": run_time_s,
        }
        await self._write(USAGE_PREFIX + task.task_id, usage)

    async def _write(self, key: str, value: dict[str, object]) -> None:
        write = Write(REPORTS_TABLE, key, value)
        await self.memory.transact(Transaction(f"report/{key}", (), (write,)))
