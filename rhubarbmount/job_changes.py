"""Rows of requests, reports and decisions of scheduling."""

from collections.abc import Iterable, Mapping
from typing import Any

import attrs

from rhubarbmount.jobs import ENDED_STATES, Job, Task, dump_job, dump_task
from rhubarbmount.shared_rows import new_converter
from rhubarbmount.sizes import UsageReport
from rhubarbmount.store.interface import TaskCommand, Write
from rhubarbmount.suspects import Blame
from rhubarbmount.tables import (
    HISTORY_TABLE,
    INTENTS_TABLE,
    JOBS_TABLE,
    REQUESTS_TABLE,
    SUSPECTS_TABLE,
    TASKS_TABLE,
)

__all__ = [
    "DUTY",
    "EndReport",
    "JobChange",
    "JobRequest",
    "dump_command",
    "load_command",
    "load_end",
    "load_request",
    "load_usage",
    "request_write",
    "writes_of",
]

DUTY = "scheduling"
ENDED_PREFIX = "ended/"
USAGE_PREFIX = "usage/"

_converter = new_converter()


@attrs.frozen
class JobRequest:
    """An operator's request to submit, cancel or release a job."""

    job_id: str
    action: str
    job: Job | None = None

    @property
    def key(self) -> str:
        """Return the key of the request's row."""
        return f"{self.job_id}/{self.action}"


@attrs.frozen(kw_only=True)
class EndReport:
    """How a task ended, as the platform reports it.

    ``outcome`` is succeeded, failed, stopped, checkpointed or lapsed.
    """

    task_id: str
    outcome: str
    progress_s: float = 0.0

    @property
    def key(self) -> str:
        """Return the key of the report's row."""
        return ENDED_PREFIX + self.task_id


@attrs.frozen(kw_only=True)
class JobChange:
    """Rows that change in one commit, and the command to send after it.

    ``task`` is the new value of a task's row; ``ended_task_id`` is a row to delete.
    ``closed_intents`` are the ids of commands that have been accepted or are no longer
    needed; ``consumed`` are the (table, key) pairs of requests and reports that have
    been processed. ``cleared_host_id`` is a host that is no longer suspected.
    """

    job: Job | None = None
    task: Task | None = None
    ended_task_id: str = ""
    command: TaskCommand | None = None
    closed_intents: tuple[str, ...] = ()
    consumed: tuple[tuple[str, str], ...] = ()
    blame: Blame | None = None
    cleared_host_id: str = ""


def request_write(request: JobRequest) -> Write:
    """Return the write that stores a request."""
    return Write(REQUESTS_TABLE, request.key, _converter.unstructure(request))


def load_request(values: Mapping[str, Any]) -> JobRequest:
    """Build a request from the plain values of its row."""
    return _converter.structure(values, JobRequest)


def load_end(values: Mapping[str, Any]) -> EndReport:
    """Build the report of a task's end from the plain values of its row."""
    return _converter.structure(values, EndReport)


def load_usage(values: Mapping[str, Any]) -> UsageReport:
    """Build a usage report from the plain values of its row."""
    return _converter.structure(values, UsageReport)


def dump_command(command: TaskCommand) -> dict[str, Any]:
    """Return the plain values of a command's row, as an open intent."""
    return {"duty": DUTY, "state": "open"} | attrs.asdict(command)


def load_command(values: Mapping[str, Any]) -> TaskCommand:
    """Build the command from the plain values of an open intent."""
    return _converter.structure(values, TaskCommand)


def writes_of(changes: Iterable[JobChange]) -> tuple[Write, ...]:
    """Return the writes of the changes; of several to one row, only the last."""
    value_by_key: dict[tuple[str, str], Mapping[str, Any] | None] = {}
    for change in changes:
        for write in _change_writes(change):
            value_by_key.pop((write.table, write.key), None)
            value_by_key[write.table, write.key] = write.value
    return tuple(Write(*key, value) for key, value in value_by_key.items())


def _change_writes(change: JobChange) -> Iterable[Write]:
    job, task, command = change.job, change.task, change.command
    if job is not None and job.state in ENDED_STATES:
        yield Write(JOBS_TABLE, job.job_id, None)
        yield Write(HISTORY_TABLE, f"job/{job.job_id}", dump_job(job))
    elif job is not None:
        yield Write(JOBS_TABLE, job.job_id, dump_job(job))
    if task is not None:
        yield Write(TASKS_TABLE, task.task_id, dump_task(task))
    if change.ended_task_id:
        yield Write(TASKS_TABLE, change.ended_task_id, None)
    if command is not None:
        yield Write(INTENTS_TABLE, command.intent_id, dump_command(command))
    for intent_id in change.closed_intents:
        yield Write(INTENTS_TABLE, intent_id, None)
    for table, key in change.consumed:
        yield Write(table, key, None)
    if change.cleared_host_id:
        yield Write(SUSPECTS_TABLE, change.cleared_host_id, None)
    if change.blame is not None:
        yield Write(SUSPECTS_TABLE, change.blame.subject_id, attrs.asdict(change.blame))
