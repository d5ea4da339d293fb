"""Encoding of job, lease and head rows, in the project's own format."""

import json
import zlib
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
from rhubarbmount.batch.record_fields import (
    build_record,
    load_object,
    raises_unreadable_record,
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

# Progress above this size is compressed, as the store limits the size of a row.
COMPRESS_ABOVE_BYTES = 16_384

_STEP_DEFAULTS = {
    field.name: field.default
    for field in attrs.fields(Step)
    if field.default is not attrs.NOTHING
}


@attrs.frozen
class Head:
    """The head row of a shard, which every commit expects and changes."""

    fence: int
    writer: str
    sequence: int


@attrs.frozen
class LeaseRow:
    """The lease row of a shard, which names its holder.

    ``incarnation`` distinguishes successive processes of the same holder.
    ``grants_end_s`` is written by a holder that hands over: the time on the store's
    clock by which all its grants to backend servers have lapsed, 0 if unknown.
    """

    holder: str
    incarnation: str
    fence: int
    is_released: bool = False
    grants_end_s: float = 0.0


def _dump(value: Any) -> bytes:
    return json.dumps(value, separators=(",", ":")).encode("utf-8")


def encode_head(head: Head) -> bytes:
    """Encode a head row."""
    return _dump(attrs.asdict(head))


@raises_unreadable_record
def decode_head(value: bytes) -> Head:
    """Decode a head row. Raises UnreadableRecord."""
    return build_record(Head, load_object(value))


def encode_lease(lease: LeaseRow) -> bytes:
    """Encode a lease row."""
    return _dump(attrs.asdict(lease))


@raises_unreadable_record
def decode_lease(value: bytes) -> LeaseRow:
    """Decode a lease row. Raises UnreadableRecord."""
    return build_record(LeaseRow, load_object(value))


def encode_spec(spec: JobSpec) -> bytes:
    """Encode a job's spec; fields of steps at their defaults are left out.

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
    """Decode the spec of a job."""
    values = json.loads(value)
    values["queue"] = QueueName(*values["queue"])
    values["steps"] = tuple(
        Step(**{**step, "after": tuple(step.get("after", ()))})
        for step in values["steps"]
    )
    return JobSpec(**values)


def encode_progress(job: Job) -> bytes:
    """Encode a job's progress; the tasks of a job in a final state are left out."""
    tasks = {}
    if not job.state.is_final:
        tasks = {
            f"{occurrence}.{step}": [_encode_task(task) for task in tasks]
            for (occurrence, step), tasks in job.tasks_by_step.items()
        }
    value = _dump({"state": job.state.value, "ended_s": job.ended_s, "tasks": tasks})
    return zlib.compress(value) if len(value) > COMPRESS_ABOVE_BYTES else value


def _load_progress(value: bytes) -> dict[str, Any]:
    return json.loads(value if value.startswith(b"{") else zlib.decompress(value))


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
    """Restore a job's state and tasks from its progress row."""
    values = _load_progress(value)
    job.state = JobState(values["state"])
    job.ended_s = values["ended_s"]
    for name, rows in values["tasks"].items():
        occurrence, step = (int(part) for part in name.split("."))
        job.tasks_by_step[occurrence, step] = [
            _decode_task(TaskId(job.spec.job_id, occurrence, step, index), row)
            for index, row in enumerate(rows)
        ]


def decode_state(value: bytes) -> JobState:
    """Decode only the job's state from its progress row."""
    return JobState(_load_progress(value)["state"])


def _decode_task(task_id: TaskId, row: list[Any]) -> Task:
    if row[0] == TaskState.DONE:
        return Task(task_id, TaskState.DONE)
    state, run, server_id, failures, checkpoint = row
    return Task(task_id, TaskState(state), run, server_id, failures, checkpoint)


def encode_pending(count_by_queue: dict[QueueName, int]) -> bytes:
    """Encode the counts of jobs that have not begun, by queue."""
    return _dump([[*name, count] for name, count in count_by_queue.items()])


def decode_pending(value: bytes) -> dict[QueueName, int]:
    """Decode the counts of jobs that have not begun, by queue."""
    return {QueueName(host, prefix): count for host, prefix, count in json.loads(value)}
