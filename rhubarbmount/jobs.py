"""Jobs submitted by teams, and the tasks that run them on hosts."""

import sys
from collections.abc import Iterable, Mapping
from enum import StrEnum
from functools import lru_cache
from typing import Any

import attrs

from rhubarbmount.entries import Team, WorkClass
from rhubarbmount.errors import Finding
from rhubarbmount.hosts import Host, Shape
from rhubarbmount.shared_rows import SharedRow, new_converter
from rhubarbmount.statecharts import load_chart

__all__ = [
    "ENDED_STATES",
    "Job",
    "JobState",
    "Task",
    "check_submission",
    "describe",
    "dump_job",
    "dump_task",
    "fits",
    "largest_fitting_shape",
    "load_job",
    "load_task",
    "quota_shape",
]


SHAPE_CACHE_SIZE = 4096
NUMBER_CACHE_SIZE = 1024
INTERNED_STRING_FIELDS = ("team", "pool", "template", "kind", "host_id")
INTERNED_NUMBER_FIELDS = ("run_time_s", "lease_s", "progress_s")

_converter = new_converter()


class JobState(StrEnum):
    """The state of a job; its transitions are defined in statecharts/job.yaml."""

    WAITING = "waiting"
    STARTING = "starting"
    RUNNING = "running"
    EVICTING = "evicting"
    STOPPING = "stopping"
    HELD = "held"
    DONE = "done"
    CANCELLED = "cancelled"


ENDED_STATES = frozenset({JobState.DONE, JobState.CANCELLED})


@attrs.frozen(kw_only=True, weakref_slot=False)
class Job(SharedRow):
    """A job of a team.

    ``attempt`` counts its starts, and ``task_id`` is the task of the last one.
    ``progress_s`` is the run time preserved by its checkpoint. ``failed_hosts`` holds
    one host id per failed start, and ``lost_hosts`` one per host that was lost soon
    after a start. Times are in seconds since the epoch.
    """

    job_id: str
    team: str
    pool: str
    shape: Shape
    work_class: WorkClass = WorkClass.NORMAL
    template: str = ""
    run_time_s: float = 60.0
    can_checkpoint: bool = True
    state: JobState = JobState.WAITING
    attempt: int = 0
    task_id: str = ""
    progress_s: float = 0.0
    failed_hosts: tuple[str, ...] = ()
    lost_hosts: tuple[str, ...] = ()
    cause: str = ""
    submitted_s: float = 0.0
    since_s: float = 0.0

    @property
    def kind(self) -> str:
        """Return the kind of job, whose jobs are taken to be alike in size.

        It is the template's name, or the team's for a job without template.
        """
        return self.template or self.team

    def move(self, event: str, now_s: float, **changes: Any) -> "Job":
        """Return the job after an event; raise Refused if its state doesn't allow it.

        >>> job = Job(job_id="j", team="t", pool="p", shape=Shape(1, 1))
        >>> job.move("place", 5.0, attempt=1).state
        <JobState.STARTING: 'starting'>
        """
        target = load_chart("job").next_state(self.state.value, event)
        return attrs.evolve(self, state=JobState(target), since_s=now_s, **changes)


@attrs.frozen(kw_only=True, weakref_slot=False)
class Task(SharedRow):
    """One start of a job on a host, under a lease that the worker renews.

    ``token`` is the job's attempt, which distinguishes a later start from an earlier
    one. ``reserved`` is what the host reserves, which may differ from the declared
    shape. ``command`` is the last command for the task: start, checkpoint or stop.
    ``lost_hosts`` are those that the job had lost before.
    """

    task_id: str
    job_id: str
    team: str
    pool: str
    host_id: str
    reserved: Shape
    kind: str = ""
    work_class: WorkClass = WorkClass.NORMAL
    can_checkpoint: bool = True
    token: int = 1
    lease_s: float = 10.0
    run_time_s: float = 60.0
    command: str = "start"
    started_s: float = 0.0
    lost_hosts: tuple[str, ...] = ()


def load_job(values: Mapping[str, Any]) -> Job:
    """Build a job from the plain values of its row."""
    return _converter.structure(_with_interned_values(values), Job)


def dump_job(job: Job) -> dict[str, Any]:
    """Return the plain values of a job."""
    return _converter.unstructure(job)


def load_task(values: Mapping[str, Any]) -> Task:
    """Build a task from the plain values of its row."""
    return _converter.structure(_with_interned_values(values), Task)


def _with_interned_values(values: Mapping[str, Any]) -> dict[str, Any]:
    """Return the values with those that many rows share interned.

    This saves memory: equal values of different rows are one object.
    """
    shared = dict(values)
    for name in INTERNED_STRING_FIELDS:
        if type(shared.get(name)) is str:
            shared[name] = sys.intern(shared[name])
    for name in INTERNED_NUMBER_FIELDS:
        if name in shared:
            shared[name] = _interned_number(float(shared[name]))
    return shared


@lru_cache(NUMBER_CACHE_SIZE)
def _interned_number(number: float) -> float:
    return number


@lru_cache(SHAPE_CACHE_SIZE)
def _interned_shape(processors: float, memory_gb: float, accelerators: int) -> Shape:
    return Shape(processors, memory_gb, accelerators)


def _load_shape(values: Mapping[str, Any], _kind: Any) -> Shape:
    return _interned_shape(
        float(values["processors"]),
        float(values["memory_gb"]),
        int(values.get("accelerators", 0)),
    )


_converter.register_structure_hook(Shape, _load_shape)


def dump_task(task: Task) -> dict[str, Any]:
    """Return the plain values of a task."""
    return _converter.unstructure(task)


def fits(need: Shape, capacity: Shape) -> bool:
    """Return whether the capacity is enough in every dimension.

    >>> fits(Shape(4, 8), Shape(4, 8, 1)), fits(Shape(4, 8, 2), Shape(32, 64, 1))
    (True, False)
    """
    return (
        need.processors <= capacity.processors
        and need.memory_gb <= capacity.memory_gb
        and need.accelerators <= capacity.accelerators
    )


def largest_fitting_shape(need: Shape, host_shapes: Iterable[Shape]) -> Shape | None:
    """Return the largest part of the need that fits one of the host shapes.

    >>> largest_fitting_shape(Shape(64, 32), [Shape(8, 256), Shape(32, 64)])
    Shape(processors=32, memory_gb=32, accelerators=0)
    """
    return max(
        (_overlap(need, capacity) for capacity in host_shapes),
        key=lambda part: _share(part, need),
        default=None,
    )


def check_submission(
    job: Job, team: Team | None, hosts: Iterable[Host]
) -> list[Finding]:
    """Return the reasons why a job could never run: its shape, pool or team's quota.

    Hosts of the job's pool count whatever their state, as they may return to service.
    """
    place = f"job/{job.job_id}"
    shape = job.shape
    if min(shape.processors, shape.memory_gb, job.run_time_s) <= 0 or (
        shape.accelerators < 0
    ):
        message = "processors, memory and run time must be positive"
        return [Finding(f"{place}.shape", "shape-empty", message)]
    findings = _check_quota(place, job, team)
    host_shapes = {host.shape for host in hosts if host.pool == job.pool}
    if any(fits(job.shape, capacity) for capacity in host_shapes):
        return findings
    largest = largest_fitting_shape(job.shape, sorted(host_shapes, key=attrs.astuple))
    if largest is None:
        findings.append(
            Finding(f"{place}.pool", "pool-empty", f"pool {job.pool} has no hosts")
        )
        return findings
    message = f"no host of pool {job.pool} is large enough; largest shape that fits: "
    findings.append(
        Finding(f"{place}.shape", "shape-never-fits", message + describe(largest))
    )
    return findings


def describe(shape: Shape) -> str:
    """Return a readable description of a shape.

    >>> describe(Shape(1.5, 8, 2))
    '1.5 processors, 8 GB, 2 accelerators'
    """
    words = f"{shape.processors:g} processors, {shape.memory_gb:g} GB"
    if shape.accelerators:
        words += f", {shape.accelerators} accelerators"
    return words


def _check_quota(place: str, job: Job, team: Team | None) -> list[Finding]:
    if team is None:
        return [Finding(f"{place}.team", "team-unknown", f"unknown team {job.team!r}")]
    quota = quota_shape(team)
    if fits(job.shape, quota):
        return []
    message = f"team {team.name} may hold at most {describe(quota)}"
    return [Finding(f"{place}.team", "quota-never-fits", message)]


def quota_shape(team: Team) -> Shape:
    """Return the most that a team may hold at once in all pools together."""
    return Shape(team.processors_quota, team.memory_quota_gb, team.accelerators_quota)


def _overlap(need: Shape, capacity: Shape) -> Shape:
    return Shape(
        min(need.processors, capacity.processors),
        min(need.memory_gb, capacity.memory_gb),
        min(need.accelerators, capacity.accelerators),
    )


def _share(part: Shape, need: Shape) -> float:
    accelerators = part.accelerators / need.accelerators if need.accelerators else 1.0
    return (
        part.processors / need.processors + part.memory_gb / need.memory_gb
    ) / 2 + accelerators
