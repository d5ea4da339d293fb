"""Rows of jobs, in the project's own format."""

import json
from typing import Any

import attrs

from rhubarbmount.batch.model import (
    Job,
    JobSpec,
    JobState,
    QueueName,
    Step,
    Task,
    TaskId,
    TaskState,
)

__all__ = [
    "decode_head",
    "decode_lease",
    "decode_pending",
    "decode_progress",
    "decode_spec",
    "decode_state",
    "encode_head",
    "encode_lease",
    "encode_pending",
    "encode_progress",
    "encode_spec",
    "Head",
    "LeaseRow",
]

_STEP_DEFAULTS = {
    field.name: field.default
    for field in attrs.fields(Step)
    if field.default is not attrs.NOTHING
}


@attrs.frozen
class Head:
    """The row that every commit of a shard expects and changes."""

    fence: int
    writer: str
    sequence: int


@attrs.frozen
class LeaseRow:
    """Who holds a shard; ``incarnation`` tells one process from the next.

    A holder that hands over says when all that it granted to backend servers has
    lapsed, by the store's clock; 0 where it is not known.
    """

    holder: str
    incarnation: str
    fence: int
    is_released: bool = False
    grants_end_s: float = 0.0


def _dump(value: Any) -> bytes:
    return json.dumps(value, separators=(",", ":")).encode("utf-8")


def encode_head(head: Head) -> bytes:
    """Return the row's value."""
    return _dump(attrs.asdict(head))


def decode_head(value: bytes) -> Head:
    """Return the head in a row's value."""
    return Head(**json.loads(value))


def encode_lease(lease: LeaseRow) -> bytes:
    """Return the row's value."""
    return _dump(attrs.asdict(lease))


def decode_lease(value: bytes) -> LeaseRow:
    """Return the lease in a row's value."""
    return LeaseRow(**json.loads(value))


def encode_spec(spec: JobSpec) -> bytes:
    """Return the row's value; fields of steps at their defaults are left out.

    >>> spec = JobSpec("a1", QueueName("h", "/q/"), "s", "x", (Step(1, 2, 3),), 0.0)
    >>> decode_spec(encode_spec(spec)) == spec
    True
    """
    values = attrs.asdict(spec, recurse=False)
    values["queue"] = list(spec.queue)
    values["steps"] = [_encode_step(step) for step in spec.steps]
    return _dump(values)


def _encode_step(step: Step) -> dict[str, Any]:
    values = attrs.asdict(step, recurse=False)
    return {
        name: value
        for name, value in values.items()
        if name not in _STEP_DEFAULTS or value != _STEP_DEFAULTS[name]
    }


def decode_spec(value: bytes) -> JobSpec:
    """Return the job in a row's value."""
    values = json.loads(value)
    values["queue"] = QueueName(*values["queue"])
    values["steps"] = tuple(
        Step(**{**step, "after": tuple(step.get("after", ()))})
        for step in values["steps"]
    )
    return JobSpec(**values)


def encode_progress(job: Job) -> bytes:
    """Return the value of the row that tells how far a job is."""
    tasks = {}
    if not job.state.is_final:
        tasks = {
            f"{occurrence}.{step}": [_encode_task(task) for task in tasks]
            for (occurrence, step), tasks in job.tasks_by_step.items()
        }
    return _dump({"state": job.state.value, "ended_s": job.ended_s, "tasks": tasks})


def _encode_task(task: Task) -> list[Any]:
    if task.state is TaskState.DONE:
        return [int(TaskState.DONE)]
    return [
        int(task.state),
        task.run,
        task.server_id,
        task.failures,
        task.checkpoint,
    ]


def decode_progress(value: bytes, job: Job) -> None:
    """Bring a job to where its row says that it is."""
    values = json.loads(value)
    job.state = JobState(values["state"])
    job.ended_s = values["ended_s"]
    for name, rows in values["tasks"].items():
        occurrence, step = (int(part) for part in name.split("."))
        job.tasks_by_step[occurrence, step] = [
            _decode_task(TaskId(job.spec.job_id, occurrence, step, index), row)
            for index, row in enumerate(rows)
        ]


def decode_state(value: bytes) -> JobState:
    """Return only the job's state in the row of its progress."""
    return JobState(json.loads(value)["state"])


def _decode_task(task_id: TaskId, row: list[Any]) -> Task:
    if row[0] == TaskState.DONE:
        return Task(task_id, TaskState.DONE)
    state, run, server_id, failures, checkpoint = row
    return Task(task_id, TaskState(state), run, server_id, failures, checkpoint)


def encode_pending(count_by_queue: dict[QueueName, int]) -> bytes:
    """Return the value of the row that counts the jobs that have not begun."""
    return _dump([[*name, count] for name, count in count_by_queue.items()])


def decode_pending(value: bytes) -> dict[QueueName, int]:
    """Return the counts in a row's value."""
    return {QueueName(host, prefix): count for host, prefix, count in json.loads(value)}
