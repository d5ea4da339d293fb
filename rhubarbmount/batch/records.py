"""Encoding of job, lease and head rows, in the project's own format."""

import json
import zlib
from collections.abc import Iterable
from typing import Any

import attrs

from rhubarbmount.batch.lifetimes import born_ms_of, lifetime_id, name_of
from rhubarbmount.batch.model import (
    Job,
    JobSpec,
    JobState,
    QueueName,
    RunEnd,
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
from rhubarbmount.batch.server_losses import ServerLoss
from rhubarbmount.batch.unreadable_jobs import KeptEnd

__all__ = [
    "decode_ends",
    "decode_head",
    "decode_lease",
    "decode_pending",
    "decode_progress",
    "decode_spec",
    "decode_state",
    "encode_ends",
    "encode_head",
    "encode_lease",
    "encode_pending",
    "encode_progress",
    "encode_spec",
    "Head",
    "LeaseRow",
    "PendingCounts",
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
    ``grants_end_s`` is the time on the store's clock by which all grants to backend
    servers will have lapsed, of this holder and earlier ones; 0 if unknown.
    """

    holder: str
    incarnation: str
    fence: int
    is_released: bool = False
    grants_end_s: float = 0.0


@attrs.frozen
class PendingCounts:
    """Jobs of each queue that had not begun at a time on the store's clock."""

    counted_at_s: float
    count_by_queue: dict[QueueName, int]


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


@raises_unreadable_record
def decode_spec(value: bytes) -> JobSpec:
    """Decode the spec of a job. Raises UnreadableRecord."""
    values = load_object(value)
    host, prefix = values["queue"]
    _check_types((host, prefix), (str, str))
    values["queue"] = QueueName(host, prefix)
    values["steps"] = tuple(
        _decode_step(step, len(values["steps"])) for step in values["steps"]
    )
    return build_record(JobSpec, values)


def _decode_step(values: dict[str, Any], step_count: int) -> Step:
    after = tuple(values.get("after", ()))
    if any(dependency not in range(step_count) for dependency in after):
        raise ValueError("a step depends on one that does not exist")
    return build_record(Step, {**values, "after": after})


def _check_types(values: tuple[Any, ...], types: tuple[type, ...]) -> None:
    if tuple(map(type, values)) != types:
        raise TypeError(f"{values!r} does not have the types {types!r}")


def encode_progress(job: Job) -> bytes:
    """Encode a job's progress; the tasks of a job in a final state are left out."""
    tasks = {}
    if not job.state.is_final:
        tasks = {
            f"{occurrence}.{step}": [_encode_task(task) for task in tasks]
            for (occurrence, step), tasks in job.tasks_by_step.items()
        }
    value = _dump({"state": job.state.value, "ended_s": job.ended_s, "tasks": tasks})
    return _compress(value)


def _compress(value: bytes) -> bytes:
    return zlib.compress(value) if len(value) > COMPRESS_ABOVE_BYTES else value


def _load_compressed(value: bytes) -> dict[str, Any]:
    return load_object(value if value.startswith(b"{") else zlib.decompress(value))


def _encode_task(task: Task) -> list[Any]:
    if task.state is TaskState.DONE:
        return [int(TaskState.DONE)]
    name, *born = _encode_lifetime(task.server_id)
    row = [int(task.state), task.run, name, task.failures, task.checkpoint]
    losses = list(map(_encode_loss, task.losses))
    return [*row, losses, *born] if losses or born else row


def _encode_lifetime(server_id: str) -> list[Any]:
    """Return the name of a server and, if it is known, when its lifetime began.

    The start is the last field of each row. Older builds, which take a name for one
    lifetime, pass over it and find the server that they know by that name.
    """
    born_ms = born_ms_of(server_id)
    return [name_of(server_id), born_ms] if born_ms else [server_id]


def _decode_lifetime(name: str, rest: list[Any]) -> str:
    """Return the identifier of a lifetime from a row's name and its last field."""
    born_ms = rest[0] if rest else 0
    _check_types((name, born_ms), (str, int))
    return lifetime_id(name, born_ms)


def _encode_loss(loss: ServerLoss) -> list[Any]:
    flags = (loss.is_certain, loss.was_alone, loss.was_widespread)
    name, *born = _encode_lifetime(loss.server_id)
    return [name, *map(int, flags), round(loss.age_s, 3), *born]


def _decode_loss(row: list[Any]) -> ServerLoss:
    name, is_certain, was_alone, was_widespread, age_s = row[:5]
    server_id = _decode_lifetime(name, row[5:])
    flags = (bool(is_certain), bool(was_alone), bool(was_widespread))
    return ServerLoss(server_id, *flags, float(age_s))


@raises_unreadable_record
def decode_progress(value: bytes, job: Job) -> None:
    """Restore a job's state and tasks from its progress row.

    Raises UnreadableRecord and leaves the job as it was.
    """
    values, spec = _load_compressed(value), job.spec
    state, ended_s = JobState(values["state"]), float(values["ended_s"])
    tasks_by_step = {}
    for name, rows in values["tasks"].items():
        occurrence, step = (int(part) for part in name.split("."))
        _check_step(spec, occurrence, step, len(rows))
        tasks_by_step[occurrence, step] = [
            _decode_task(TaskId(spec.job_id, occurrence, step, index), row)
            for index, row in enumerate(rows)
        ]
    job.state, job.ended_s = state, ended_s
    job.tasks_by_step.update(tasks_by_step)


@raises_unreadable_record
def decode_state(value: bytes) -> JobState:
    """Decode only the job's state from its progress row. Raises UnreadableRecord."""
    return JobState(_load_compressed(value)["state"])


def _check_step(spec: JobSpec, occurrence: int, step: int, count: int) -> None:
    is_known = step in range(len(spec.steps))
    if not is_known or occurrence not in range(spec.occurrence_count):
        raise ValueError("a task belongs to a step that does not exist")
    if count != spec.steps[step].count:
        raise ValueError("a step has a wrong number of tasks")


def _decode_task(task_id: TaskId, row: list[Any]) -> Task:
    if row[0] == TaskState.DONE:
        return Task(task_id, TaskState.DONE)
    state, run, name, failures, checkpoint = row[:5]
    _check_types((run, failures, checkpoint), (int, int, str))
    # Builds that kept no record of lost servers store none.
    losses = tuple(map(_decode_loss, row[5])) if len(row) > 5 else ()
    return Task(
        task_id,
        TaskState(state),
        run,
        _decode_lifetime(name, row[6:]),
        failures,
        checkpoint,
        losses=losses,
    )


def encode_ends(ends: Iterable[KeptEnd]) -> bytes:
    """Encode the kept ends of a job's runs."""
    return _compress(_dump({"ends": list(map(_encode_end, ends))}))


def _encode_end(kept: KeptEnd) -> list[Any]:
    name, *born = _encode_lifetime(kept.server_id)
    end = kept.end
    place = end.task[1:]
    return [name, end.number, *place, end.run, end.outcome, end.checkpoint, *born]


@raises_unreadable_record
def decode_ends(value: bytes, job_id: str) -> list[KeptEnd]:
    """Decode the kept ends of a job's runs. Raises UnreadableRecord."""
    return [_decode_end(row, job_id) for row in _load_compressed(value)["ends"]]


def _decode_end(row: list[Any], job_id: str) -> KeptEnd:
    name, number, occurrence, step, index, run, outcome, checkpoint = row[:8]
    _check_types((outcome, checkpoint), (str, str))
    _check_types((number, occurrence, step, index, run), (int, int, int, int, int))
    task_id = TaskId(job_id, occurrence, step, index)
    server_id = _decode_lifetime(name, row[8:])
    return KeptEnd(server_id, RunEnd(number, task_id, run, outcome, checkpoint))


def encode_pending(pending: PendingCounts) -> bytes:
    """Encode the counts of jobs that have not begun."""
    counts = [[*name, count] for name, count in pending.count_by_queue.items()]
    return _dump({"counted_at_s": pending.counted_at_s, "counts": counts})


@raises_unreadable_record
def decode_pending(value: bytes) -> PendingCounts:
    """Decode the counts of jobs that have not begun. Raises UnreadableRecord."""
    values = load_object(value)
    counts = {}
    for row in values["counts"]:
        host, prefix, count = row[:3]
        _check_types((host, prefix, count), (str, str, int))
        counts[QueueName(host, prefix)] = count
    return PendingCounts(float(values["counted_at_s"]), counts)
