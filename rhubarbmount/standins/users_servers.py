"""Stand-in of the users' backend servers, following their published protocol."""

import math
from collections.abc import Callable, Mapping
from typing import Any

import attrs
import trio

from rhubarbmount.platform.json_client import JsonResponse

__all__ = ["Run", "StandinServer", "TaskWork"]

MAX_RENEWAL_WAIT_S = 2.0
# Start-up time after which a long-running task reports that it is at work.
LONG_RUNNING_START_S = 0.5
# Time that a stop takes, during which the run still uses its resources.
STOP_S = 0.2
# How long after it has shrunk a capacity may be relied on: 3 s and one heartbeat.
RESIZE_NOTICE_S = 3.0 + 1.5
# A longer lease is shortened to this.
MAX_LEASE_S = 10.0
# So many ends are listed at a time.
MAX_LISTED_ENDS = 500


@attrs.frozen
class TaskWork:
    """Actual duration and resource needs of a task, and whether it fails.

    A run of a task with a finite ``crashes_after_s`` ends its server's lifetime.
    """

    work_s: float
    cpu_millicores: int
    memory_mb: int
    is_long_running: bool = False
    fails: bool = False
    crashes_after_s: float = math.inf

    @property
    def crashes_servers(self) -> bool:
        """Return whether each run of the task ends its server's lifetime."""
        return math.isfinite(self.crashes_after_s)


@attrs.define(eq=False)
class Run:
    """A run on a backend server; times are on the test's clock."""

    task: str
    run: int
    work: TaskWork
    started_s: float
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    stop_outcome: str = ""


@attrs.define(eq=False)
class StandinServer:
    """One lifetime of a backend server.

    ``observe`` is called for starts and ends of runs, as callers of the platform would
    see them, for ends that are acknowledged, and before for those of them that were in
    no list yet. An end up to the highest number that was ever acknowledged is forgotten
    as soon as it comes. ``crash`` ends the lifetime. Lifetimes one after another may
    have the same ``id``; ``born_ms`` tells them apart.
    """

    id: str
    machine_id: str
    service: str
    address: str
    cpu_millicores: int
    memory_mb: int
    work_of: Callable[[str], TaskWork]
    observe: Callable[..., None]
    nursery: trio.Nursery
    crash: Callable[[], None] = lambda: None
    # Unix time of the start.
    born_ms: int = 0
    clock_offset_ms: int = 100_000
    slowness: float = 1.0
    fails_all_runs: bool = False
    # Whether starts that do not fit are refused; otherwise they are carried out.
    guards_capacity: bool = True
    is_gone: bool = False
    fencing_token: int = 0
    expires_ms: int = 0
    highest_ended: dict[str, int] = attrs.field(factory=dict)
    run_by_task: dict[str, Run] = attrs.field(factory=dict)
    ended: list[list[Any]] = attrs.field(factory=list)
    row_sequence: int = 0
    _end_count: int = 0
    _listed_to: int = 0
    _acknowledged_to: int = 0
    _run_ended: trio.Event = attrs.field(factory=trio.Event)
    lapsed_at_s: float = -math.inf
    # Larger capacities of before, each with the time until which it still counts.
    _earlier_capacities: list[tuple[float, int, int]] = attrs.field(factory=list)
    _expiry_scope: trio.CancelScope | None = None

    def clock_ms(self) -> int:
        """Return the reading of the server's own clock."""
        return self.clock_offset_ms + int(trio.current_time() * 1000)

    async def handle(
        self, path: str, expected_id: str, body: Mapping[str, Any]
    ) -> JsonResponse:
        """Handle a command of the system under test."""
        if expected_id and expected_id != self.id:
            return JsonResponse(421, {})
        if body.get("fencing_token", 0) < self.fencing_token:
            return self._refusal("fence")
        self.fencing_token = body.get("fencing_token", 0)
        match path:
            case "/run-start":
                return self._start(body)
            case "/run-stop":
                return self._stop(body)
            case "/hold":
                return await self._renew(body)
            case "/pace":
                return JsonResponse(200, {"clock_ms": self.clock_ms()})
        return JsonResponse(404, {})

    def break_run(self, task: str) -> None:
        """End a run of a gang of which another member has ended."""
        run = self.run_by_task.get(task)
        if run is not None:
            self._finish(run, "broken")

    def end_all_runs(self) -> None:
        """End the lifetime and with it all runs."""
        self.is_gone = True
        for run in list(self.run_by_task.values()):
            self._finish(run, "gone")

    def _refusal(self, reason: str) -> JsonResponse:
        return JsonResponse(409, {"clock_ms": self.clock_ms(), "reason": reason})

    def _start(self, body: Mapping[str, Any]) -> JsonResponse:
        task, number = body["task_id"], body["run_id"]
        running = self.run_by_task.get(task)
        if running is not None and running.run == number:
            return JsonResponse(200, {"clock_ms": self.clock_ms()})
        if body["expires_ms"] <= self.clock_ms():
            return self._refusal("late")
        self._extend_lease(body["expires_ms"])
        if number <= self.highest_ended.get(task, 0) or running is not None:
            return self._refusal("old")
        work = self.work_of(task)
        if self.guards_capacity and not self.has_capacity(work):
            return self._refusal("room")
        run = Run(task, number, work, trio.current_time())
        self.observe("start", self, task, number)
        self.run_by_task[task] = run
        self.nursery.start_soon(self._work, run)
        return JsonResponse(200, {"clock_ms": self.clock_ms()})

    def resize(self, cpu_millicores: int, memory_mb: int) -> None:
        """Change the capacity; the earlier one may be relied on for a while."""
        self._earlier_capacities.append(
            (trio.current_time() + RESIZE_NOTICE_S, self.cpu_millicores, self.memory_mb)
        )
        self.cpu_millicores = cpu_millicores
        self.memory_mb = memory_mb

    def has_capacity(self, work: TaskWork) -> bool:
        """Return whether a task fits beside the current runs."""
        return self._fits(work, self.cpu_millicores, self.memory_mb)

    def had_capacity(self, work: TaskWork) -> bool:
        """Return whether a task fits by a capacity that may still be relied on."""
        now_s = trio.current_time()
        capacities = [
            (cpu, memory)
            for until_s, cpu, memory in self._earlier_capacities
            if now_s <= until_s
        ]
        capacities.append((self.cpu_millicores, self.memory_mb))
        return any(self._fits(work, cpu, memory) for cpu, memory in capacities)

    def _fits(self, work: TaskWork, cpu_millicores: int, memory_mb: int) -> bool:
        used = [run.work for run in self.run_by_task.values()]
        cpu = sum(item.cpu_millicores for item in used) + work.cpu_millicores
        memory = sum(item.memory_mb for item in used) + work.memory_mb
        return cpu <= cpu_millicores and memory <= memory_mb

    def _stop(self, body: Mapping[str, Any]) -> JsonResponse:
        task, number = body["task_id"], body["run_id"]
        self.highest_ended[task] = max(self.highest_ended.get(task, 0), number)
        run = self.run_by_task.get(task)
        if run is not None and run.run <= number:
            run.stop_outcome = "stopped"
            self.nursery.start_soon(self._end_stopped, run)
        return JsonResponse(200, {"clock_ms": self.clock_ms()})

    async def _end_stopped(self, run: Run) -> None:
        await trio.sleep(STOP_S)
        run.scope.cancel()

    async def _renew(self, body: Mapping[str, Any]) -> JsonResponse:
        self._acknowledge(body["ack_cursor"])
        if "expires_ms" in body:
            self._extend_lease(body["expires_ms"])
        wait_s = min(body.get("wait_ms", 0) / 1000, MAX_RENEWAL_WAIT_S)
        if not self.ended and wait_s:
            with trio.move_on_after(wait_s):
                await self._run_ended.wait()
        listed = self.ended[:MAX_LISTED_ENDS]
        self._listed_to = max([self._listed_to, *(end[0] for end in listed)])
        running = [
            [run.task, run.run, "", self._progress_percent(run), 0]
            for run in self.run_by_task.values()
        ]
        return JsonResponse(
            200,
            {
                "clock_ms": self.clock_ms(),
                "born": self.born_ms,
                "running": running,
                "finished": listed,
            },
        )

    def _acknowledge(self, number: int) -> None:
        self._acknowledged_to = max(self._acknowledged_to, number)
        self._forget_acknowledged_ends()

    def _forget_acknowledged_ends(self) -> None:
        for end in self.ended:
            if end[0] <= self._acknowledged_to:
                if end[0] > self._listed_to:
                    self.observe("unread", self, end[1], end[2], end[3])
                self.observe("acknowledged", self, end[1], end[2], end[3])
        self.ended = [end for end in self.ended if end[0] > self._acknowledged_to]

    def _progress_percent(self, run: Run) -> int:
        elapsed_s = trio.current_time() - run.started_s
        if run.work.is_long_running:
            return 100 if elapsed_s >= LONG_RUNNING_START_S else 0
        return int(min(99.0, elapsed_s / max(run.work.work_s, 0.001) * 100))

    def _extend_lease(self, expires_ms: int) -> None:
        longest_ms = self.clock_ms() + int(MAX_LEASE_S * 1000)
        self.expires_ms = max(self.expires_ms, min(expires_ms, longest_ms))
        if self._expiry_scope is None:
            self._expiry_scope = trio.CancelScope()
            self.nursery.start_soon(self._expire_lease)

    async def _expire_lease(self) -> None:
        while self.clock_ms() < self.expires_ms:
            await trio.sleep((self.expires_ms - self.clock_ms()) / 1000 + 0.001)
        self._expiry_scope = None
        self.lapsed_at_s = trio.current_time()
        for run in list(self.run_by_task.values()):
            run.stop_outcome = "lapsed"
            run.scope.cancel()

    async def _work(self, run: Run) -> None:
        with run.scope:
            await trio.sleep(min(self._work_s(run), run.work.crashes_after_s))
        if run.work.crashes_servers and not run.stop_outcome:
            if self.run_by_task.get(run.task) is run:
                self.crash()
            return
        if run.stop_outcome:
            outcome = run.stop_outcome
        else:
            outcome = "failed" if run.work.fails or self.fails_all_runs else "done"
        self._finish(run, outcome)

    def _work_s(self, run: Run) -> float:
        if run.work.is_long_running:
            return math.inf
        return run.work.work_s * self.slowness

    def _finish(self, run: Run, outcome: str) -> None:
        if self.run_by_task.get(run.task) is not run:
            return
        del self.run_by_task[run.task]
        run.scope.cancel()
        self.highest_ended[run.task] = max(self.highest_ended.get(run.task, 0), run.run)
        self._end_count += 1
        self.ended.append([self._end_count, run.task, run.run, outcome, ""])
        self.observe(outcome, self, run.task, run.run)
        if not self.is_gone:
            self._forget_acknowledged_ends()
        self._run_ended.set()
        self._run_ended = trio.Event()
