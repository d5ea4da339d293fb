"""Encoding of the rows of jobs' progress, in the project's own format."""

import enum
import json
from collections.abc import Sequence
from typing import Any

from rhubarbmount.batch.model import Job, JobSpec, JobState, Task, TaskId, TaskState
from rhubarbmount.batch.record_fields import (
    check_types,
    compress_if_large,
    decode_lifetime,
    encode_lifetime,
    load_object,
    raises_unreadable_record,
)
from rhubarbmount.batch.server_losses import ServerLoss

__all__ = [
    "Detail",
    "decode_piece",
    "decode_progress",
    "decode_state",
    "encode_piece",
    "encode_progress",
]


class Detail(enum.IntEnum):
    """How much of a task is stored; a row that is too large is stored with less."""

    FULL = 0
    # Runs begin anew when they are restarted.
    WITHOUT_CHECKPOINTS = 1
    # Servers that were lost with runs are not remembered either.
    WITHOUT_LOSSES = 2


def encode_progress(job: Job, detail: Detail = Detail.FULL) -> bytes:
    """Encode a job's progress; the tasks of a job in a final state are left out.

    So are those of a job with several pieces, which have rows of their own.
    """
    values: dict[str, Any] = {"state": job.state.value, "ended_s": job.ended_s}
    if job.state.is_final:
        values["tasks"] = {}
    elif job.layout.is_whole:
        values["tasks"] = {
            f"{occurrence}.{step}": _encode_tasks(tasks, detail)
            for (occurrence, step), tasks in job.tasks_by_step.items()
        }
    else:
        # Builds that know of no pieces find no tasks and leave the job alone.
        values["has_pieces"] = True
    return _dump(values)


def encode_piece(job: Job, piece: int, detail: Detail = Detail.FULL) -> bytes:
    """Encode the tasks of a piece whose steps have started."""
    rows = [
        [
            part.occurrence,
            part.step,
            part.first,
            _encode_tasks(tasks[part.first : part.end], detail),
        ]
        for part in job.layout.ranges_of(piece)
        if (tasks := job.tasks_by_step.get((part.occurrence, part.step)))
    ]
    return _dump({"ranges": rows})


def _dump(values: dict[str, Any]) -> bytes:
    value = json.dumps(values, separators=(",", ":")).encode("utf-8")
    return compress_if_large(value)


def _encode_tasks(tasks: Sequence[Task], detail: Detail) -> list[list[Any]]:
    return [_encode_task(task, detail) for task in tasks]


def _encode_task(task: Task, detail: Detail) -> list[Any]:
    if task.state is TaskState.DONE:
        return [int(TaskState.DONE)]
    name, *born = encode_lifetime(task.server_id)
    checkpoint = "" if detail >= Detail.WITHOUT_CHECKPOINTS else task.checkpoint
    losses = [] if detail >= Detail.WITHOUT_LOSSES else task.losses
    row = [int(task.state), task.run, name, task.failures, checkpoint]
    loss_rows = list(map(_encode_loss, losses))
    return [*row, loss_rows, *born] if loss_rows or born else row


def _encode_loss(loss: ServerLoss) -> list[Any]:
    flags = (loss.is_certain, loss.was_alone, loss.was_widespread)
    name, *born = encode_lifetime(loss.server_id)
    return [name, *map(int, flags), round(loss.age_s, 3), *born]


def _decode_loss(row: list[Any]) -> ServerLoss:
    name, is_certain, was_alone, was_widespread, age_s = row[:5]
    server_id = decode_lifetime(name, row[5:])
    flags = (bool(is_certain), bool(was_alone), bool(was_widespread))
    return ServerLoss(server_id, *flags, float(age_s))


@raises_unreadable_record
def decode_progress(value: bytes, job: Job) -> None:
    """Restore a job's state and tasks from its progress row.

    Raises UnreadableRecord and leaves the job as it was.
    """
    values, spec = load_object(value), job.spec
    state, ended_s = JobState(values["state"]), float(values["ended_s"])
    tasks_by_step = {}
    rows_by_name = {} if values.get("has_pieces") else values["tasks"]
    for name, rows in rows_by_name.items():
        occurrence, step = (int(part) for part in name.split("."))
        _check_step(spec, occurrence, step)
        if len(rows) != spec.steps[step].count:
            raise ValueError("a step has a wrong number of tasks")
        tasks_by_step[occurrence, step] = [
            _decode_task(TaskId(spec.job_id, occurrence, step, index), row)
            for index, row in enumerate(rows)
        ]
    job.state, job.ended_s = state, ended_s
    job.tasks_by_step.update(tasks_by_step)
    if tasks_by_step and not job.layout.is_whole:
        # An earlier build keeps all tasks in one row, which the next write shortens.
        job.changed_pieces.update(range(job.layout.piece_count))


@raises_unreadable_record
def decode_piece(value: bytes, job: Job) -> None:
    """Restore the tasks of a piece from its row. Raises UnreadableRecord.

    Tasks of the same steps that no piece holds have had no run.
    """
    spec = job.spec
    for occurrence, step, first, rows in load_object(value)["ranges"]:
        _check_step(spec, occurrence, step)
        if not 0 <= first <= first + len(rows) <= spec.steps[step].count:
            raise ValueError("a piece has tasks that do not exist")
        tasks = job.start_step(occurrence, step)
        tasks[first : first + len(rows)] = [
            _decode_task(TaskId(spec.job_id, occurrence, step, number), row)
            for number, row in enumerate(rows, first)
        ]


@raises_unreadable_record
def decode_state(value: bytes) -> JobState:
    """Decode only the job's state from its progress row. Raises UnreadableRecord."""
    return JobState(load_object(value)["state"])


def _check_step(spec: JobSpec, occurrence: int, step: int) -> None:
    is_known = step in range(len(spec.steps))
    if not is_known or occurrence not in range(spec.occurrence_count):
        raise ValueError("a task belongs to a step that does not exist")


def _decode_task(task_id: TaskId, row: list[Any]) -> Task:
    if row[0] == TaskState.DONE:
        return Task(task_id, TaskState.DONE)
    state, run, name, failures, checkpoint = row[:5]
    check_types((run, failures, checkpoint), (int, int, str))
    # Builds that kept no record of lost servers store none.
    losses = tuple(map(_decode_loss, row[5])) if len(row) > 5 else ()
    return Task(
        task_id,
        TaskState(state),
        run,
        decode_lifetime(name, row[6:]),
        failures,
        checkpoint,
        losses=losses,
    )
