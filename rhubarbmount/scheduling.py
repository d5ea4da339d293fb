"""Scheduling duty: commits the scheduler's decisions and sends its commands."""

import logging
from collections.abc import Callable, Iterable, Mapping
from typing import Any, Protocol

import attrs
import trio

from rhubarbmount.entries import JobTemplate, Team
from rhubarbmount.errors import LeaseLost, OutcomeUnknown, PlatformUnavailable
from rhubarbmount.host_rows import TransactionBuilder
from rhubarbmount.hosts import Host
from rhubarbmount.job_changes import (
    DUTY,
    ENDED_PREFIX,
    USAGE_PREFIX,
    JobChange,
    load_command,
    load_end,
    load_request,
    load_usage,
    writes_of,
)
from rhubarbmount.jobs import load_job, load_task
from rhubarbmount.log import event
from rhubarbmount.scheduler import Scheduler
from rhubarbmount.scheduling_policy import Learned, SchedulingPolicy
from rhubarbmount.store.interface import (
    Platform,
    Precondition,
    Row,
    TaskCommand,
    Write,
)
from rhubarbmount.tables import (
    INTENTS_TABLE,
    JOBS_TABLE,
    REPORTS_TABLE,
    REQUESTS_TABLE,
    SCHEDULING_TABLE,
    TASKS_TABLE,
)

__all__ = ["HeldLease", "SchedulingDuty", "SchedulingView"]

logger = logging.getLogger(__name__)

MAX_CHANGES_PER_COMMIT = 64
HEAD = "head"
MAX_CONCURRENT_COMMANDS = 32
WRITES_PER_START = 5
PLACE_PERIOD_S = 1.0
DEFAULT_WRITES_PER_ROUND = 1000


class HeldLease(Protocol):
    """The part of a duty lease that this duty uses."""

    async def confirm(self) -> None:
        """Raise LeaseLost unless the lease is certain to be held now."""

    async def commit(self, builder: TransactionBuilder) -> bool:
        """Commit the transaction, fenced by the lease's token; return its success."""


class SchedulingView(Protocol):
    """An entry host's view of the catalogue and of the hosts."""

    def catalogue_version(self) -> int:
        """Return the version of the catalogue in force."""

    def teams(self) -> Iterable[Team]:
        """Return the teams of that version."""

    def job_templates(self) -> Mapping[str, JobTemplate]:
        """Return the job templates of that version by name."""

    def hosts(self) -> Mapping[str, Host]:
        """Return the rows of all hosts by id."""


@attrs.define
class SchedulingDuty:
    """Run the scheduler while the lease is held; a duty is owned by a single task.

    Rows are written before commands are sent: a command is sent only after its intent
    has been committed, and is resent under the same id until the platform has
    accepted it. Every commit also advances the sequence in the row
    ``scheduling/head``, so that it fails if the rows have changed since the decision
    was made. Urgent jobs start at once; other jobs start only as far as the write
    rate limit allows. ``is_idle`` is true if the last round had nothing to do and no
    job waits.
    """

    platform: Platform
    view: SchedulingView
    clock: Callable[[], float]
    epoch_clock: Callable[[], float]
    policy: SchedulingPolicy = SchedulingPolicy()
    learned: Learned = attrs.field(factory=Learned)
    max_burst_writes: Callable[[], int] = lambda: DEFAULT_WRITES_PER_ROUND
    list_period_s: float = 5.0
    name: str = DUTY
    is_idle: bool = False
    scheduler: Scheduler | None = None
    _head: dict[str, Any] = attrs.field(factory=lambda: {"sequence": 0}, init=False)
    _open_intents: dict[str, TaskCommand] = attrs.field(factory=dict, init=False)
    _changes: list[JobChange] = attrs.field(factory=list, init=False)
    _listed_s: float | None = None
    _placed_s: float | None = None

    def forget(self) -> None:
        """Discard the state loaded from rows; what was learned from reports is kept."""
        self.scheduler = None

    async def do_round(self, lease: HeldLease) -> None:
        """Process requests and reports, decide, commit, and send commands."""
        await lease.confirm()
        try:
            if self.scheduler is None:
                await self._load()
            await self._process_inputs()
            await self._commit_changes(lease)
            await self._send_commands(lease)
            self.is_idle = self.is_idle and not self._open_intents
        except BaseException:
            self.forget()
            raise

    async def _load(self) -> None:
        head = await self.platform.read(SCHEDULING_TABLE, HEAD)
        jobs = await self.platform.scan(JOBS_TABLE)
        tasks = await self.platform.scan(TASKS_TABLE)
        intents = await self.platform.scan(INTENTS_TABLE, f"{DUTY}/")
        commands = [load_command(_command_values(row.value)) for row in intents]
        after = await self.platform.read(SCHEDULING_TABLE, HEAD)
        if (after and after.value) != (head and head.value):
            raise LeaseLost("rows changed while they were read")
        scheduler = Scheduler(policy=self.policy, learned=self.learned)
        self._set_time(scheduler)
        scheduler.set_teams(self.view.teams(), self.view.catalogue_version())
        scheduler.set_hosts(self.view.hosts())
        scheduler.load(
            [load_job(row.value) for row in jobs],
            [load_task(row.value) for row in tasks],
            commands,
        )
        self._head = dict(head.value) if head else {"sequence": 0}
        self._open_intents = {command.intent_id: command for command in commands}
        self._changes = []
        self._listed_s = self._placed_s = None
        self.scheduler = scheduler
        event(logger, "scheduling-loaded", jobs=len(jobs), open=len(commands))

    async def _process_inputs(self) -> None:
        scheduler = self._loaded_scheduler()
        ended = await self._read_ended(scheduler)
        rows = await self.platform.scan(REQUESTS_TABLE)
        requests = [load_request(row.value) for row in rows]
        usage, live = await self._read_periodic()
        self._set_time(scheduler)
        self._changes += [scheduler.take_usage(load_usage(row.value)) for row in usage]
        self._changes += [scheduler.take_end(load_end(row.value)) for row in ended]
        requests.sort(key=lambda request: request.action != "submit")
        self._changes += [scheduler.take_request(request) for request in requests]
        self._changes += scheduler.expire()
        if live is not None:
            self._changes += scheduler.take_live_hosts(live)
        is_due = self._is_placement_due()
        if is_due:
            scheduler.set_teams(self.view.teams(), self.view.catalogue_version())
            self._changes += scheduler.set_hosts(self.view.hosts())
        if self._changes or is_due:
            limit = max(1, self.max_burst_writes() // WRITES_PER_START)
            self._changes += scheduler.place(limit)
        self.is_idle = not self._changes and not scheduler.has_waiting_jobs

    def _is_placement_due(self) -> bool:
        """Return whether placement is due although nothing has changed."""
        now_s = self.clock()
        if self._placed_s is not None and now_s - self._placed_s < PLACE_PERIOD_S:
            return False
        self._placed_s = now_s
        return True

    async def _read_ended(self, scheduler: Scheduler) -> list[Row]:
        """Return the reports of ended tasks.

        While there are no tasks, only late reports can arrive, so the table is scanned
        no more often than the list of hosts is read.
        """
        if not scheduler.task_by_id and not self._is_list_due():
            return []
        return await self.platform.scan(REPORTS_TABLE, ENDED_PREFIX)

    def _is_list_due(self) -> bool:
        since_s = self._listed_s
        return since_s is None or self.clock() - since_s >= self.list_period_s

    async def _read_periodic(self) -> tuple[list[Row], set[str] | None]:
        """Return the usage reports and the ids of live hosts, if they are due.

        Both lag behind, so they are read once per ``list_period_s``; otherwise the
        result is an empty list and None.
        """
        if not self._is_list_due():
            return [], None
        now_s = self.clock()
        usage = await self.platform.scan(REPORTS_TABLE, USAGE_PREFIX)
        listed = await self.platform.live_hosts()
        self._listed_s = now_s
        return usage, {host.host_id for host in listed if not host.leaving}

    async def _commit_changes(self, lease: HeldLease) -> None:
        while self._changes:
            batch = self._without_unknown_intents(
                self._changes[:MAX_CHANGES_PER_COMMIT]
            )
            await self._commit(lease, batch)
            del self._changes[: len(batch)]
            for change in batch:
                for intent_id in change.closed_intents:
                    self._open_intents.pop(intent_id, None)
                if change.command is not None:
                    self._open_intents[change.command.intent_id] = change.command

    def _without_unknown_intents(self, batch: list[JobChange]) -> list[JobChange]:
        """Return the changes without the closed intents that have no row."""
        known = self._open_intents.keys() | {
            c.command.intent_id for c in batch if c.command
        }
        return [
            attrs.evolve(
                change,
                closed_intents=tuple(i for i in change.closed_intents if i in known),
            )
            for change in batch
        ]

    async def _commit(self, lease: HeldLease, batch: list[JobChange]) -> None:
        head = self._head | {"sequence": self._head["sequence"] + 1}
        builder = TransactionBuilder(
            [self._head_condition()],
            [Write(SCHEDULING_TABLE, HEAD, head), *writes_of(batch)],
        )
        if not await lease.commit(builder):
            raise LeaseLost("rows changed since they were read")
        self._head = head

    def _head_condition(self) -> Precondition:
        sequence = self._head["sequence"]
        if sequence == 0:
            return Precondition(SCHEDULING_TABLE, HEAD, version=0)
        return Precondition(SCHEDULING_TABLE, HEAD, equals={"sequence": sequence})

    async def _send_commands(self, lease: HeldLease) -> None:
        commands_by_task: dict[str, list[TaskCommand]] = {}
        for command in self._open_intents.values():
            commands_by_task.setdefault(command.task_id, []).append(command)
        accepted: list[TaskCommand] = []
        limiter = trio.CapacityLimiter(MAX_CONCURRENT_COMMANDS)
        async with trio.open_nursery() as nursery:
            for commands in commands_by_task.values():
                nursery.start_soon(
                    self._send_task_commands, lease, commands, accepted, limiter
                )
        scheduler = self._loaded_scheduler()
        self._set_time(scheduler)
        self._changes += [scheduler.take_delivery(command) for command in accepted]
        await self._commit_changes(lease)

    async def _send_task_commands(
        self,
        lease: HeldLease,
        commands: list[TaskCommand],
        accepted: list[TaskCommand],
        limiter: trio.CapacityLimiter,
    ) -> None:
        async with limiter:
            for command in commands:
                try:
                    await lease.confirm()
                    await self.platform.command_task(command)
                except (LeaseLost, OutcomeUnknown, PlatformUnavailable) as error:
                    event(
                        logger,
                        "command-open",
                        intent=command.intent_id,
                        code=error.code,
                    )
                    return
                accepted.append(command)

    def _set_time(self, scheduler: Scheduler) -> None:
        scheduler.set_time(self.epoch_clock(), self.clock())

    def _loaded_scheduler(self) -> Scheduler:
        assert self.scheduler is not None
        return self.scheduler


def _command_values(values: Mapping[str, object]) -> dict[str, object]:
    return {key: values[key] for key in values if key not in ("duty", "state")}
