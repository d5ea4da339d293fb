"""Keeps track of lost servers and of the tasks that had runs there; free of I/O."""

from itertools import pairwise

import attrs

from rhubarbmount.batch.lifetimes import name_of
from rhubarbmount.batch.model import Task, TaskId
from rhubarbmount.batch.server_losses import (
    ServerEnd,
    ServerLoss,
    add_loss,
    have_equal_ages,
)
from rhubarbmount.batch.server_usage import ServerUsage

__all__ = ["LossTracker", "LostRun"]

# Servers that fall silent within this time of each other may share a cause.
SAME_TIME_S = 0.1
# Number of servers that have to fall silent at the same time to share a cause.
WIDESPREAD_SERVERS = 2
# Servers are calm once none has fallen silent for this long.
CALM_S = 2.0
# Time over which it is counted how often servers are lost, at most and at least.
LOSS_RATE_S = 10.0
LEAST_LOSS_RATE_S = 2.0
# How long it is remembered that a server fell silent; longer than any lease.
SILENCE_MEMORY_S = 60.0


@attrs.frozen
class LostRun:
    """Run that was lost with its server, for the log."""

    task: TaskId
    run: int
    loss: ServerLoss
    end: ServerEnd
    # Number of servers lost under the task, this one included.
    losses: int
    # Number of other runs that were lost with the server.
    beside: int


@attrs.frozen
class _Silence:
    """The server of a pool fell silent between two times."""

    pool: str
    since_s: float
    until_s: float
    # The tasks that were there.
    tasks: tuple[Task, ...]

    def is_explained(self, job_id: str) -> bool:
        """Return whether a task of a job, or another suspect, was there."""
        return any(task.id.job_id == job_id or task.is_suspect for task in self.tasks)

    def may_be_caused(self, job_id: str) -> bool:
        """Return whether a task of a job, or one that may be deadly, was there."""
        return any(
            task.id.job_id == job_id or have_equal_ages(task.losses)
            for task in self.tasks
        )

    def overlaps(self, other: "_Silence") -> bool:
        """Return whether two servers may have fallen silent at the same time."""
        return (
            self.since_s <= other.until_s + SAME_TIME_S
            and other.since_s <= self.until_s + SAME_TIME_S
        )


@attrs.define(eq=False)
class LossTracker:
    """Notes which servers fell silent, and the losses of tasks not yet certain."""

    # Since when losses have been noted.
    since_s: float = 0.0
    # Lost runs, and tasks given up or held for them, that have not been logged yet.
    lost_runs: list[LostRun] = attrs.field(factory=list)
    given_up: list[Task] = attrs.field(factory=list)
    held: list[Task] = attrs.field(factory=list)
    _silence_by_server_id: dict[str, _Silence] = attrs.field(factory=dict)
    _tasks_by_server_id: dict[str, list[Task]] = attrs.field(factory=dict)

    def note_silence(
        self, server_id: str, usage: ServerUsage, since_s: float, now_s: float
    ) -> None:
        """Record that a server fell silent between two times."""
        tasks = tuple(usage.task_by_id.values())
        silence = _Silence(usage.server.service, since_s, now_s, tasks)
        self._silence_by_server_id = {
            other_id: silence
            for other_id, silence in self._silence_by_server_id.items()
            if silence.since_s > now_s - SILENCE_MEMORY_S
        }
        self._silence_by_server_id.setdefault(server_id, silence)

    def is_widespread(self, server_id: str, job_id: str) -> bool:
        """Return whether servers without a job fell silent together with this one."""
        silence = self._silence_by_server_id.get(server_id)
        if silence is None:
            return False
        others = sum(
            not other.is_explained(job_id) and silence.overlaps(other)
            for other_id, other in self._silence_by_server_id.items()
            if other_id != server_id
        )
        return others + 1 >= WIDESPREAD_SERVERS

    def is_calm(self, now_s: float) -> bool:
        """Return whether no server has lately been lost for an unknown reason."""
        return all(
            silence.until_s < now_s - CALM_S or silence.is_explained("")
            for silence in self._silence_by_server_id.values()
        )

    def losses_per_server_s(
        self, pool: str, servers: int, job_id: str, now_s: float
    ) -> float:
        """Return how often a server of a pool has lately been lost without a job.

        ``servers`` is how many the pool has now. Those lost at one time count as one.
        """
        times_s = sorted(
            silence.since_s
            for silence in self._silence_by_server_id.values()
            if silence.pool == pool
            and silence.since_s > now_s - LOSS_RATE_S
            and not silence.may_be_caused(job_id)
        )
        repeated = sum(
            later_s - earlier_s <= SAME_TIME_S
            for earlier_s, later_s in pairwise(times_s)
        )
        noted_s = min(max(now_s - self.since_s, LEAST_LOSS_RATE_S), LOSS_RATE_S)
        return (len(times_s) - repeated) / (max(servers, 1) * noted_s)

    def add(self, task: Task, loss: ServerLoss) -> None:
        """Add a loss to a task."""
        task.losses = add_loss(task.losses, loss)
        self.watch(task)

    def silent_since_s(self, server_id: str, now_s: float) -> float:
        """Return since when a server has been silent, or ``now_s`` if it answered."""
        silence = self._silence_by_server_id.get(server_id)
        return now_s if silence is None else silence.since_s

    def watch(self, task: Task) -> None:
        """Expect news of the servers of uncertain losses."""
        for loss in task.losses:
            if not loss.is_certain:
                tasks = self._tasks_by_server_id.setdefault(loss.server_id, [])
                if task not in tasks:
                    tasks.append(task)

    def confirm(self, server_id: str) -> list[Task]:
        """Record that a server lifetime is over; return the tasks lost with it."""
        tasks = self._pop_watched(server_id)
        for task in tasks:
            task.losses = tuple(
                attrs.evolve(loss, is_certain=True)
                if loss.may_be_of(server_id)
                else loss
                for loss in task.losses
            )
        return tasks

    def retract(self, server_id: str) -> list[Task]:
        """Record that a server answers again; return the tasks not lost with it."""
        self._silence_by_server_id.pop(server_id, None)
        tasks = self._pop_watched(server_id)
        for task in tasks:
            task.losses = tuple(
                loss for loss in task.losses if not loss.may_be_of(server_id)
            )
        return tasks

    def _pop_watched(self, server_id: str) -> list[Task]:
        """Remove and return the tasks with an uncertain loss that may be of a lifetime.

        Older builds stored losses by the name of the server alone.
        """
        tasks = self._tasks_by_server_id.pop(server_id, [])
        if server_id != name_of(server_id):
            by_name = self._tasks_by_server_id.pop(name_of(server_id), [])
            tasks = [*tasks, *(task for task in by_name if task not in tasks)]
        return tasks
