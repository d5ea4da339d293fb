"""Data model of jobs, steps and tasks, and of the servers and hosts that run them."""

import enum
from typing import NamedTuple

import attrs

from rhubarbmount.batch.lifetimes import name_of
from rhubarbmount.batch.run_progress import RunProgress
from rhubarbmount.batch.server_losses import Losses, is_suspect
from rhubarbmount.batch.task_layout import TaskLayout

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
    "StopReason",
    "Task",
    "TaskId",
    "TaskState",
    "Wave",
]


class JobState(enum.Enum):
    """State of a job as reported to callers."""

    QUEUED = "queued"
    ACTIVE = "active"
    COMPLETE = "complete"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Return whether the job has ended."""
        return self in (JobState.COMPLETE, JobState.FAILED, JobState.CANCELLED)


class StopReason(enum.Enum):
    """Why a run is stopped, for the log."""

    JOB_COMPLETE = "job-complete"
    JOB_FAILED = "job-failed"
    JOB_CANCELLED = "job-cancelled"
    # An earlier run of the task has completed it.
    DONE_BEFORE = "done-before"
    # The run is slow or stalled, and begins again elsewhere.
    STRAGGLER = "straggler"
    # The server is drained.
    DRAINED = "drained"
    # The host is to be maintained.
    WAVE = "wave"
    # The run is to show whether its server lists the ends of runs.
    END_TRIAL = "end-trial"
    # A start had no answer, and none may be carried out late.
    UNANSWERED = "unanswered"
    # The server lists a run that is not the current one of its task.
    EARLIER_RUN = "earlier-run"
    # The server lists a run of a job that is not known.
    UNKNOWN_JOB = "unknown-job"
    # The run was being stopped before its server was known.
    STOPPED_BEFORE = "stopped-before"


class TaskState(enum.IntEnum):
    """State of a task; the numeric values are stored."""

    WAITING = 0
    ASSIGNED = 1
    DONE = 2


class TaskId(NamedTuple):
    """Identifier of a task: its job and its position in that job."""

    job_id: str
    occurrence: int
    step: int
    number: int

    @property
    def place(self) -> str:
        """Return the position in the job as a string, for logs.

        >>> TaskId("j", 0, 1, 2).place
        '0.1.2'
        """
        return f"{self.occurrence}.{self.step}.{self.number}"


class QueueName(NamedTuple):
    """Host name and path prefix that select a queue."""

    host: str
    prefix: str


@attrs.frozen
class Queue:
    """Settings for the jobs of a queue; a lower ``priority`` is scheduled first."""

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
    """Group of equal tasks; ``after`` holds the indexes of the steps it depends on.

    A ``max_unavailable`` of zero means no limit. Tasks of a step that ``fills`` run on
    CPU time that other tasks leave unused; none is reserved for them.
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
        """Return the number of cores that all tasks use together."""
        return self.count * self.cpu_millicores / 1000

    @property
    def counts_towards_demand(self) -> bool:
        """Return whether the tasks reserve CPU time and end on their own."""
        return not self.is_long_running and not self.fills


@attrs.frozen
class JobSpec:
    """Job as submitted by its caller; times are seconds since the epoch.

    ``queue_settings`` is its queue as it was when the job was accepted. It holds once
    the queue is removed; builds that do not store it leave it out.
    """

    job_id: str
    queue: QueueName
    service: str
    payload: str
    steps: tuple[Step, ...]
    accepted_s: float
    repeats: int = 0
    start_s: float = 0.0
    period_s: float = 0.0
    queue_settings: Queue | None = None

    @property
    def occurrence_count(self) -> int:
        """Return the number of times that the steps run."""
        return max(1, self.repeats)

    @property
    def is_timed(self) -> bool:
        """Return whether the job runs at scheduled times."""
        return self.repeats > 0

    @property
    def layout(self) -> TaskLayout:
        """Return how the tasks are divided into pieces."""
        counts = (step.count for step in self.steps)
        return TaskLayout.of(counts, self.occurrence_count)


@attrs.define(eq=False)
class Task:
    """State of a task; ``run`` numbers its runs and increases with each assignment."""

    id: TaskId
    state: TaskState = TaskState.WAITING
    run: int = 0
    server_id: str = ""
    failures: int = 0
    checkpoint: str = ""
    failed_on: str = ""
    assigned_s: float = 0.0
    # Time when the last start command was sent that the server has carried out or may
    # have carried out, as it did not answer; 0 if there is none. One under way is none.
    sent_s: float = 0.0
    progress: RunProgress = attrs.field(factory=RunProgress)
    # Time that the completed run took, or 0 if it is not known.
    took_s: float = 0.0
    # How many runs were stopped as they stalled, and the longest time that a run which
    # was stopped as slow would have taken.
    stalls: int = 0
    longest_projected_s: float = 0.0
    # Share of full speed, in percent, that the backend server has acknowledged.
    pace: int = 100
    # Time when the backend server last acknowledged a command for the run.
    acknowledged_s: float = 0.0
    is_stopping: bool = False
    # Servers that were lost with a run of the task.
    losses: Losses = ()
    # Whether the task gets no more runs, as it crashes its servers.
    is_held: bool = False
    # Time since which the task has waited until no servers are lost, or 0.
    wants_calm_since_s: float = 0.0
    # Time since which the task has waited for a server of its own, or 0.
    wants_own_server_since_s: float = 0.0
    # Whether it has waited for that so long that it may share a server.
    may_share_server: bool = False

    @property
    def is_suspect(self) -> bool:
        """Return whether the task has to run alone, as it may crash its servers."""
        return bool(self.losses) and is_suspect(self.losses)


@attrs.define(eq=False)
class Job:
    """Job and the state of the tasks of its started steps."""

    spec: JobSpec
    state: JobState = JobState.QUEUED
    tasks_by_step: dict[tuple[int, int], list[Task]] = attrs.field(factory=dict)
    ended_s: float = 0.0
    layout: TaskLayout = attrs.field(
        init=False, default=attrs.Factory(lambda job: job.spec.layout, takes_self=True)
    )
    # How many occurrences have tasks; the others are not due or have to wait.
    opened_occurrences: int = 0
    # Tasks that are not done, by the occurrence and step that have started.
    undone_by_step: dict[tuple[int, int], int] = attrs.field(factory=dict)
    # Pieces of the layout with tasks that have changed since they were stored.
    changed_pieces: set[int] = attrs.field(factory=set)

    def start_step(self, occurrence: int, step: int) -> list[Task]:
        """Return the tasks of a step, which are created if it has not started."""
        tasks = self.tasks_by_step.get((occurrence, step))
        if tasks is None:
            tasks = self.tasks_by_step[occurrence, step] = [
                Task(TaskId(self.spec.job_id, occurrence, step, number))
                for number in range(self.spec.steps[step].count)
            ]
        return tasks

    def note_changed(self, task: Task) -> None:
        """Record that the stored state of a task is no longer the current one."""
        piece = self.layout.piece_of(task.id.occurrence, task.id.step, task.id.number)
        self.changed_pieces.add(piece)

    @property
    def stop_reason(self) -> StopReason:
        """Return why runs that the job does not need are stopped."""
        if self.state.is_final:
            return StopReason(f"job-{self.state.value}")
        return StopReason.EARLIER_RUN

    def tasks(self) -> list[Task]:
        """Return the tasks of all started steps."""
        return [task for tasks in self.tasks_by_step.values() for task in tasks]


@attrs.frozen
class Server:
    """One lifetime of a backend server, with the properties that it reported.

    ``id`` identifies the lifetime. ``host_id`` is empty if it did not report its host.
    """

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
    host_id: str = ""

    @property
    def name(self) -> str:
        """Return the name under which the server registers."""
        return name_of(self.id)


@attrs.frozen
class RunReport:
    """Run listed by a backend server; ``gauge`` is a tail latency in ms or a load."""

    task: TaskId
    run: int
    checkpoint: str
    percent: int
    gauge: float


@attrs.frozen
class RunEnd:
    """End of a run; ``number`` increases within each lifetime of a backend server."""

    number: int
    task: TaskId
    run: int
    outcome: str
    checkpoint: str


@attrs.frozen
class Assignment:
    """Decision to run a task on a backend server."""

    task: TaskId
    run: int
    server_id: str


class HostState(enum.Enum):
    """State of a host as reported by the platform."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "maintenance"
    DOWN = "down"


@attrs.frozen
class Host:
    """Host for backend servers; ``server_name`` is empty if none runs on it.

    The platform names the server and does not tell its lifetimes apart.
    """

    id: str
    pool: str
    state: HostState
    server_name: str
    cpu_millicores: int
    data_centre: str


@attrs.frozen
class Wave:
    """Request to maintain hosts by a deadline, at most ``limit`` at the same time."""

    number: int
    host_ids: tuple[str, ...]
    deadline_s: float
    limit: int
