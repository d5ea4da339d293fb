"""Jobs, their steps and tasks, and the backend servers that run them."""

import enum
from typing import NamedTuple

import attrs

__all__ = [
    "Assignment",
    "Job",
    "JobSpec",
    "JobState",
    "Host",
    "HostState",
    "Queue",
    "QueueName",
    "RunEnd",
    "RunReport",
    "Server",
    "Step",
    "Task",
    "TaskId",
    "TaskState",
    "Wave",
]


class JobState(enum.Enum):
    """What a caller is told of a job."""

    QUEUED = "queued"
    ACTIVE = "active"
    COMPLETE = "complete"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Tell whether the job has ended."""
        return self in (JobState.COMPLETE, JobState.FAILED, JobState.CANCELLED)


class TaskState(enum.IntEnum):
    """Where a task stands; the numbers are stored."""

    WAITING = 0
    ASSIGNED = 1
    DONE = 2


class TaskId(NamedTuple):
    """The place of a task in its job."""

    job_id: str
    occurrence: int
    step: int
    number: int

    @property
    def place(self) -> str:
        """Return the place as a text, for logs.

        >>> TaskId("j", 0, 1, 2).place
        '0.1.2'
        """
        return f"{self.occurrence}.{self.step}.{self.number}"


class QueueName(NamedTuple):
    """What selects a queue: a host name and a path prefix."""

    host: str
    prefix: str


@attrs.frozen
class Queue:
    """How jobs of one kind are run; a lower priority goes first."""

    name: QueueName
    service: str
    priority: int
    attempts: int
    slack_factor: float
    latency_objective_s: float
    has_advice: bool = False
    ticket_valid_s: float = 0.0


@attrs.frozen
class Step:
    """Tasks of one shape; ``after`` holds the steps that must be done first.

    ``max_unavailable`` of zero sets no limit. A step that ``fills`` takes processor
    time that others leave unused, and none is reserved for it.
    """

    count: int
    cpu_millicores: int
    memory_mb: int
    gpu: int = 0
    estimate_s: float = 0.0
    after: tuple[int, ...] = ()
    has_checkpoints: bool = False
    is_gang: bool = False
    needs_one_rack: bool = False
    label: str = ""
    data_rack: str = ""
    max_per_server: int = 0
    is_speculative: bool = False
    is_long_running: bool = False
    goal_ms: float = 0.0
    fills: bool = False
    max_unavailable: int = 0

    @property
    def cores(self) -> float:
        """Return how many cores all tasks use at once."""
        return self.count * self.cpu_millicores / 1000

    @property
    def counts_towards_demand(self) -> bool:
        """Tell whether the tasks take room for a while and then end."""
        return not self.is_long_running and not self.fills


@attrs.frozen
class JobSpec:
    """A job as its caller handed it in; times are seconds since the epoch."""

    job_id: str
    queue: QueueName
    service: str
    payload: str
    steps: tuple[Step, ...]
    accepted_s: float
    repeats: int = 0
    start_s: float = 0.0
    period_s: float = 0.0

    @property
    def occurrence_count(self) -> int:
        """Return how many times the steps run."""
        return max(1, self.repeats)

    @property
    def is_timed(self) -> bool:
        """Tell whether the job runs at set times."""
        return self.repeats > 0


@attrs.define(eq=False)
class Task:
    """One task; ``run`` numbers its starts and rises with each."""

    id: TaskId
    state: TaskState = TaskState.WAITING
    run: int = 0
    server_id: str = ""
    failures: int = 0
    checkpoint: str = ""
    failed_on: str = ""
    assigned_s: float = 0.0
    percent: int = 0
    # The share of its speed that its server has agreed to, in percent.
    pace: int = 100
    # When the percentage was last read, and when it last changed.
    percent_read_s: float = 0.0
    progressed_s: float = 0.0
    # When the backend server last answered an order about the run.
    acknowledged_s: float = 0.0
    is_stopping: bool = False


@attrs.define(eq=False)
class Job:
    """A job and the state of the tasks of its started steps."""

    spec: JobSpec
    state: JobState = JobState.QUEUED
    tasks_by_step: dict[tuple[int, int], list[Task]] = attrs.field(factory=dict)
    ended_s: float = 0.0

    def tasks(self) -> list[Task]:
        """Return the tasks of all started steps."""
        return [task for tasks in self.tasks_by_step.values() for task in tasks]


@attrs.frozen
class Server:
    """One lifetime of a backend server, as it reported itself."""

    id: str
    service: str
    address: str
    data_centre: str
    is_draining: bool
    cpu_millicores: int
    memory_mb: int
    gpu: int
    labels: frozenset[str]
    rack: str
    version: int


@attrs.frozen
class RunReport:
    """A run that a backend server lists; ``gauge`` is a tail in ms or a load."""

    task: TaskId
    run: int
    checkpoint: str
    percent: int
    gauge: float


@attrs.frozen
class RunEnd:
    """The end of a run; ``number`` rises in each lifetime of a backend server."""

    number: int
    task: TaskId
    run: int
    outcome: str
    checkpoint: str


@attrs.frozen
class Assignment:
    """A decision to run a task on a backend server."""

    task: TaskId
    run: int
    server_id: str


class HostState(enum.Enum):
    """What the platform says a host does."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "maintenance"
    DOWN = "down"


@attrs.frozen
class Host:
    """A host that backend servers run on; ``server_id`` may be empty."""

    id: str
    pool: str
    state: HostState
    server_id: str
    cpu_millicores: int
    data_centre: str


@attrs.frozen
class Wave:
    """A request to maintain hosts in time, at most ``limit`` at once."""

    number: int
    host_ids: tuple[str, ...]
    deadline_s: float
    limit: int
