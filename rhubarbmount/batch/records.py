"""Encoding of spec, lease and head rows, in the project's own format."""

import json
from collections.abc import Iterable
from typing import Any

import attrs

from rhubarbmount.batch.model import JobSpec, Queue, QueueName, RunEnd, Step, TaskId
from rhubarbmount.batch.record_fields import (
    build_record,
    check_types,
    compress_if_large,
    decode_lifetime,
    encode_lifetime,
    load_object,
    raises_unreadable_record,
)
from rhubarbmount.batch.unreadable_jobs import KeptEnd

__all__ = [
    "decode_ends",
    "decode_head",
    "decode_lease",
    "decode_pending",
    "decode_spec",
    "encode_ends",
    "encode_head",
    "encode_lease",
    "encode_pending",
    "encode_spec",
    "Head",
    "LeaseRow",
    "PendingCounts",
]

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
    values["queue_settings"] = _encode_queue(spec.queue_settings)
    return compress_if_large(_dump(values))


def _encode_queue(queue: Queue | None) -> dict[str, Any] | None:
    if queue is None:
        return None
    values = attrs.asdict(queue, recurse=False)
    # It is that of the job.
    del values["name"]
    return values


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
    check_types((host, prefix), (str, str))
    values["queue"] = QueueName(host, prefix)
    values["steps"] = tuple(
        _decode_step(step, len(values["steps"])) for step in values["steps"]
    )
    settings = values.get("queue_settings")
    if settings is not None:
        values["queue_settings"] = build_record(
            Queue, {**settings, "name": values["queue"]}
        )
    return build_record(JobSpec, values)


def _decode_step(values: dict[str, Any], step_count: int) -> Step:
    after = tuple(values.get("after", ()))
    if any(dependency not in range(step_count) for dependency in after):
        raise ValueError("a step depends on one that does not exist")
    return build_record(Step, {**values, "after": after})


def encode_ends(ends: Iterable[KeptEnd]) -> bytes:
    """Encode the kept ends of a job's runs."""
    return compress_if_large(_dump({"ends": list(map(_encode_end, ends))}))


def _encode_end(kept: KeptEnd) -> list[Any]:
    name, *born = encode_lifetime(kept.server_id)
    end = kept.end
    place = end.task[1:]
    return [name, end.number, *place, end.run, end.outcome, end.checkpoint, *born]


@raises_unreadable_record
def decode_ends(value: bytes, job_id: str) -> list[KeptEnd]:
    """Decode the kept ends of a job's runs. Raises UnreadableRecord."""
    return [_decode_end(row, job_id) for row in load_object(value)["ends"]]


def _decode_end(row: list[Any], job_id: str) -> KeptEnd:
    name, number, occurrence, step, index, run, outcome, checkpoint = row[:8]
    check_types((outcome, checkpoint), (str, str))
    check_types((number, occurrence, step, index, run), (int, int, int, int, int))
    task_id = TaskId(job_id, occurrence, step, index)
    server_id = decode_lifetime(name, row[8:])
    return KeptEnd(server_id, RunEnd(number, task_id, run, outcome, checkpoint))


def encode_pending(pending: PendingCounts) -> bytes:
    """Encode the counts of jobs that have not begun."""
    counts = [[*name, count] for name, count in pending.count_by_queue.items()]
    return compress_if_large(
        _dump({"counted_at_s": pending.counted_at_s, "counts": counts})
    )


@raises_unreadable_record
def decode_pending(value: bytes) -> PendingCounts:
    """Decode the counts of jobs that have not begun. Raises UnreadableRecord."""
    values = load_object(value)
    counts = {}
    for row in values["counts"]:
        host, prefix, count = row[:3]
        check_types((host, prefix, count), (str, str, int))
        counts[QueueName(host, prefix)] = count
    return PendingCounts(float(values["counted_at_s"]), counts)
