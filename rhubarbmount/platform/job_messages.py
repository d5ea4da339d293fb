"""Bodies of callers' requests about jobs, and of the responses."""

import json
import re
from collections.abc import Mapping
from typing import Any

from rhubarbmount.batch.model import JobSpec, JobState, Queue, Step
from rhubarbmount.errors import UsageError

__all__ = [
    "DEADLINE_HEADER",
    "REQUEST_ID_HEADER",
    "decode_job",
    "is_job_id",
    "pending_body",
    "state_body",
]

DEADLINE_HEADER = b"x-deadline-ms"
REQUEST_ID_HEADER = b"request-id"
MAX_TASKS_PER_STEP = 10_000
MAX_STEPS = 1_000
# Over all steps and occurrences; the progress of more cannot be stored.
MAX_TASKS_PER_JOB = 50_000
# Integers up to this are exact in JSON; times in milliseconds are far below it.
MAX_NUMBER = 2**53
_JOB_ID = re.compile(r"[0-9a-f]{16}")
# A running job has the name "active".
NAME_BY_STATE = {state: state.value for state in JobState}


def is_job_id(text: str) -> bool:
    """Return whether a string has the format of a job ID.

    >>> is_job_id("5c0e7a21d94b36f8"), is_job_id("5C0E")
    (True, False)
    """
    return _JOB_ID.fullmatch(text) is not None


def state_body(state: JobState) -> dict[str, str]:
    """Return the response body for a job's state."""
    return {"state": NAME_BY_STATE[state]}


def pending_body(count: int) -> dict[str, int]:
    """Return the response body for the number of jobs of a queue not yet started."""
    return {"pending": count}


def decode_job(job_id: str, queue: Queue, body: bytes, accepted_s: float) -> JobSpec:
    """Decode the job that a caller submits. Raises UsageError."""
    try:
        values = json.loads(body)
    except (ValueError, RecursionError):
        raise UsageError("the body is not valid JSON") from None
    if not isinstance(values, dict) or not isinstance(values.get("phases"), list):
        raise UsageError("expected an object with a list of steps")
    payload = values.get("spec", "")
    if not isinstance(payload, str):
        raise UsageError("the payload is not a string")
    steps = tuple(
        _decode_step(item, index) for index, item in enumerate(values["phases"])
    )
    if not 0 < len(steps) <= MAX_STEPS:
        raise UsageError("the job has no steps or too many steps")
    repeats = int(_non_negative_number(values, "repeats"))
    if sum(step.count for step in steps) * max(1, repeats) > MAX_TASKS_PER_JOB:
        raise UsageError("the job has too many tasks")
    return JobSpec(
        job_id=job_id,
        queue=queue.name,
        service=queue.service,
        payload=payload,
        steps=steps,
        accepted_s=accepted_s,
        repeats=repeats,
        start_s=_non_negative_number(values, "start_ms") / 1000,
        period_s=_non_negative_number(values, "period_ms") / 1000,
        queue_settings=queue,
    )


def _non_negative_number(values: Mapping[str, Any], key: str) -> float:
    value = values.get(key) or 0
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not 0 <= value <= MAX_NUMBER:
        raise UsageError(f"{key!r} is not a number from 0 to {MAX_NUMBER}")
    return value


def _decode_step(values: Any, index: int) -> Step:
    if not isinstance(values, dict):
        raise UsageError("a step is not an object")
    after = values.get("after") or []
    if not isinstance(after, list):
        raise UsageError("'after' is not a list")
    if not all(isinstance(item, int) and 0 <= item < index for item in after):
        raise UsageError("a step depends on one that does not precede it")
    count = int(_non_negative_number(values, "count"))
    if not 0 < count <= MAX_TASKS_PER_STEP:
        raise UsageError("a step has too few or too many tasks")
    return Step(
        count=count,
        cpu_millicores=int(_non_negative_number(values, "cpu")),
        memory_mb=int(_non_negative_number(values, "mem_mb")),
        gpu=int(_non_negative_number(values, "gpu")),
        estimate_s=_non_negative_number(values, "estimate_ms") / 1000,
        after=tuple(after),
        has_checkpoints=bool(values.get("checkpointing")),
        is_gang=bool(values.get("gang")),
        needs_one_rack=bool(values.get("same_rack")),
        label=str(values.get("required_label") or ""),
        data_rack=str(values.get("affinity") or ""),
        max_per_server=int(_non_negative_number(values, "max_per_server")),
        is_speculative=bool(values.get("speculative")),
        is_long_running=bool(values.get("long_running")),
        goal_ms=_non_negative_number(values, "goal_ms"),
        fills=bool(values.get("fills")),
        max_unavailable=int(_non_negative_number(values, "max_unavailable")),
    )
