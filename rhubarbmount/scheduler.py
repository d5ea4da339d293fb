"""The state of scheduling and its decisions; free of I/O."""

from collections.abc import Iterable, Iterator, Mapping

import attrs

from rhubarbmount.amounts import amount_needed
from rhubarbmount.entries import Team, WorkClass
from rhubarbmount.fleet_rooms import FleetRooms
from rhubarbmount.hosts import Host
from rhubarbmount.job_changes import (
    DUTY,
    USAGE_PREFIX,
    EndReport,
    JobChange,
    JobRequest,
)
from rhubarbmount.job_decisions import JobDecisions
from rhubarbmount.job_ends import job_after, observe_outcome
from rhubarbmount.job_queue import TeamUsage, WaitingJob
from rhubarbmount.jobs import ENDED_STATES, Job, JobState, Task
from rhubarbmount.placement import Placement, PoolPlacer, Wait
from rhubarbmount.platform.interface import TaskCommand
from rhubarbmount.promises import Promises
from rhubarbmount.reservations import Reservations
from rhubarbmount.scheduling_rule import Learned, SchedulingRule
from rhubarbmount.sizes import UsageReport
from rhubarbmount.tables import REPORTS_TABLE, REQUESTS_TABLE

__all__ = ["Scheduler"]


ACTIONS = ("start", "checkpoint", "stop")


@attrs.define
class Scheduler:
    """Decide what to start, stop and checkpoint, one change of rows at a time.

    ``now_s`` is the time of the current step in seconds since the epoch; it orders
    and explains. Durations of leases are measured with ``clock_s``, which is
    monotonic and not shared.
    """

    rule: SchedulingRule = SchedulingRule()
    learned: Learned = attrs.field(factory=Learned)
    clock_s: float = 0.0
    job_by_id: dict[str, Job] = attrs.field(factory=dict)
    task_by_id: dict[str, Task] = attrs.field(factory=dict)
    usage: TeamUsage = attrs.field(factory=TeamUsage)
    fleet: FleetRooms = attrs.field(init=False)
    promises: Promises = attrs.field(init=False)
    reservations: Reservations = attrs.field(init=False)
    decisions: JobDecisions = attrs.field(init=False)
    _teams_version: int | None = attrs.field(default=None, init=False)
    _host_by_id: dict[str, Host] = attrs.field(factory=dict, init=False)
    _turn: int = attrs.field(default=0, init=False)
    _stopped_s: dict[str, float] = attrs.field(factory=dict, init=False)
    _missing_since_s: dict[str, float] = attrs.field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        self.fleet = FleetRooms(self.rule.placement)
        self.promises = Promises(self.fleet, self.usage)
        self.reservations = Reservations(self.fleet, self.promises, self.usage)
        self.decisions = JobDecisions(self.learned.memory)

    @property
    def now_s(self) -> float:
        """Return the time of the current step in seconds since the epoch."""
        return self.decisions.now_s

    @property
    def has_waiting(self) -> bool:
        """Tell whether any job waits for room."""
        return any(len(placer.queue) for placer in self.fleet.placers())

    def set_time(self, now_s: float, clock_s: float) -> None:
        """Begin a step at a time since the epoch and a reading of the own clock."""
        self.decisions.now_s = now_s
        self.clock_s = clock_s

    def load(
        self,
        jobs: Iterable[Job],
        tasks: Iterable[Task],
        intents: Iterable[TaskCommand],
    ) -> None:
        """Take in the rows that the last holder left, after the hosts."""
        open_stops = {i.task_id for i in intents if i.action == "stop"}
        for task in tasks:
            self.task_by_id[task.task_id] = task
            self.fleet.add_task(task)
            self.usage.take(task.team, amount_needed(task.reserved))
            if task.command == "stop" and task.task_id not in open_stops:
                self._stopped_s[task.task_id] = self.clock_s
        for job in jobs:
            self.job_by_id[job.job_id] = job
            if job.state is JobState.WAITING:
                self._enqueue(job)

    def set_teams(self, teams: Iterable[Team], version: int) -> None:
        """Take in the quotas of a catalogue version."""
        self.decisions.catalogue_version = version
        if version == self._teams_version:
            return
        self._teams_version = version
        for team in teams:
            self.usage.set_team(team)

    def set_hosts(self, host_by_id: Mapping[str, Host]) -> list[JobChange]:
        """Take in the rows of all hosts; clear those back in service of suspicion."""
        back = []
        if host_by_id != self._host_by_id:
            back = [host for host in host_by_id.values() if self.fleet.set_host(host)]
            self._host_by_id = dict(host_by_id)
        self.fleet.remove_hosts(host_by_id.keys())
        for host in back:
            self.learned.suspects.forget_host(host.host_id)
        return [JobChange(cleared_host_id=host.host_id) for host in back]

    def take_request(self, request: JobRequest) -> JobChange:
        """Act on an operator's request."""
        consumed = ((REQUESTS_TABLE, request.key),)
        known = self.job_by_id.get(request.job_id)
        if request.action == "submit":
            job = request.job
            if known is None and job is not None:
                self.job_by_id[job.job_id] = job
                self._enqueue(job)
            return JobChange(consumed=consumed)
        if known is None:
            return JobChange(consumed=consumed)
        if request.action == "release" and known.state is JobState.HELD:
            self.learned.suspects.release_job(known.job_id)
            released = known.move("release", self.now_s, failed_hosts=(), cause="")
            self._keep(released)
            self._enqueue(released)
            return JobChange(job=released, consumed=consumed)
        if request.action == "cancel":
            return self._cancel(known, consumed)
        return JobChange(consumed=consumed)

    def take_usage(self, report: UsageReport) -> JobChange:
        """Learn from a report of usage, however late it comes."""
        self.learned.sizes.observe(report)
        return JobChange(consumed=((REPORTS_TABLE, USAGE_PREFIX + report.task_id),))

    def take_end(self, report: EndReport) -> JobChange:
        """Act on the end of a task; a repeated report changes nothing."""
        consumed = ((REPORTS_TABLE, report.key),)
        task = self.task_by_id.get(report.task_id)
        if task is None:
            return JobChange(consumed=consumed)
        change = self._end(task, report)
        return attrs.evolve(change, consumed=consumed)

    def take_delivery(self, command: TaskCommand) -> JobChange:
        """Note that the platform has accepted a command."""
        closed = JobChange(closed_intents=(command.intent_id,))
        task = self.task_by_id.get(command.task_id)
        if task is None:
            return closed
        if command.action == "stop":
            self._stopped_s[task.task_id] = self.clock_s
        job = self.job_by_id[task.job_id]
        if command.action != "start" or job.state is not JobState.STARTING:
            return closed
        job = job.move("started", self.now_s)
        self._keep(job)
        return attrs.evolve(closed, job=job)

    def take_live_hosts(self, live: set[str]) -> Iterator[JobChange]:
        """Stop the tasks of hosts that are missing for too long."""
        self.fleet.set_live(live)
        for host_id in self.fleet.hosts_with_tasks():
            if host_id in live:
                self._missing_since_s.pop(host_id, None)
                continue
            since_s = self._missing_since_s.setdefault(host_id, self.clock_s)
            self.promises.break_on(host_id)
            if self.clock_s - since_s <= self.rule.missing_after_s:
                continue
            for task in self.fleet.tasks_on(host_id):
                if task.command != "stop":
                    yield self._give_up(task)

    def expire(self) -> Iterator[JobChange]:
        """End the tasks whose leases have lapsed since their stop was accepted."""
        for task_id, stopped_s in list(self._stopped_s.items()):
            if self.clock_s - stopped_s > self.rule.over_after_s:
                lapse = EndReport(task_id=task_id, outcome="lapsed")
                yield self._end(self.task_by_id[task_id], lapse)

    def place(self, limit: int) -> Iterator[JobChange]:
        """Start all urgent jobs that can start now, then at most ``limit`` others.

        Then clear batch away where a pool lacks headroom.
        """
        yield from self._clear_closed_hosts()
        self.fleet.end_avoidance(self.now_s)
        for waiting, host_id in self.promises.redeem():
            yield self._start(waiting, host_id, "placed-as-promised")
        for placer in self.fleet.placers():
            if self.fleet.keep_headroom(placer, self.now_s):
                self.decisions.of_headroom(placer.pool, placer.kept)
            yield from self._plan(placer, len(placer.queue), urgent=True)
        for waiting, host_id in self.reservations.make(self.now_s):
            reason = f"host {host_id} is kept for it until enough tasks end"
            self.decisions.of_job(waiting.job, "wait-reserved", reason, host=host_id)
        for placer in self._in_turn():
            for change in self._plan(placer, limit, urgent=False):
                limit -= 1
                yield change
        for placer in self.fleet.placers():
            yield from self._refill(placer)

    def _in_turn(self) -> Iterable[PoolPlacer]:
        """Return the placers, beginning with another one each time."""
        placers = self.fleet.placers()
        self._turn = (self._turn + 1) % max(len(placers), 1)
        return [*placers[self._turn :], *placers[: self._turn]]

    def _plan(
        self, placer: PoolPlacer, limit: int, urgent: bool
    ) -> Iterator[JobChange]:
        for decision in placer.plan(self.usage, self.now_s, limit, urgent):
            if isinstance(decision, Wait):
                self.decisions.of_wait(decision)
            else:
                yield from self._carry_out(placer, decision)

    def _refill(self, placer: PoolPlacer) -> Iterator[JobChange]:
        for eviction in self.fleet.refill(placer, self.now_s):
            for task_id in eviction.task_ids:
                reason = f"pool {placer.pool} keeps room for urgent jobs"
                yield self._evict(self.task_by_id[task_id], "evicted-headroom", reason)

    def _carry_out(self, placer: PoolPlacer, found: Placement) -> Iterator[JobChange]:
        job = found.waiting.job
        placer.queue.remove(job)
        if found.eviction is None:
            yield self._start(found.waiting, found.host_id, found.code)
            return
        self.promises.make(found.waiting, found.host_id)
        reason = f"host {found.host_id} is being cleared of batch"
        self.decisions.of_job(job, "wait-eviction", reason, host=found.host_id)
        for task_id in found.eviction.task_ids:
            victim = self.task_by_id[task_id]
            yield self._evict(victim, "evicted-urgent", f"urgent job {job.job_id}")

    def _clear_closed_hosts(self) -> Iterator[JobChange]:
        for host_id in self.fleet.closed_hosts():
            self.promises.break_on(host_id)
            for task in self.fleet.evictable_on(host_id):
                reason = f"host {host_id} is {self.fleet.state_of(host_id)}"
                yield self._evict(task, "evicted-draining", reason)

    def _start(self, waiting: WaitingJob, host_id: str, code: str) -> JobChange:
        job = waiting.job
        attempt = job.attempt + 1
        task = Task(
            task_id=f"{job.job_id}/{attempt}",
            job_id=job.job_id,
            team=job.team,
            pool=job.pool,
            host_id=host_id,
            reserved=waiting.need.shape(),
            kind=job.kind,
            work_class=job.work_class,
            can_checkpoint=job.can_checkpoint,
            token=attempt,
            lease_s=self.rule.lease_s,
            run_time_s=job.run_time_s,
            started_s=self.now_s,
        )
        job = job.move("place", self.now_s, attempt=attempt, task_id=task.task_id)
        self._keep(job)
        self.task_by_id[task.task_id] = task
        self.fleet.add_task(task)
        self.usage.take(job.team, waiting.need)
        self.decisions.of_job(job, code, host=host_id, reserved=waiting.need.describe())
        return JobChange(job=job, task=task, command=self._command(task))

    def _evict(self, task: Task, code: str, reason: str) -> JobChange:
        action = "checkpoint" if task.can_checkpoint else "stop"
        task = attrs.evolve(task, command=action)
        self.task_by_id[task.task_id] = task
        self.fleet.replace_task(task)
        job = self.job_by_id[task.job_id].move("evict", self.now_s, cause=code)
        self._keep(job)
        self.decisions.of_job(job, code, reason, host=task.host_id)
        return JobChange(job=job, task=task, command=self._command(task))

    def _give_up(self, task: Task) -> JobChange:
        job = self.job_by_id[task.job_id]
        reason = f"host {task.host_id} is missing from the list of live hosts"
        self.decisions.of_job(job, "task-given-up", reason, host=task.host_id)
        if job.state is not JobState.EVICTING:
            job = job.move("evict", self.now_s, cause="host-missing")
            self._keep(job)
        task = attrs.evolve(task, command="stop")
        self.task_by_id[task.task_id] = task
        self.fleet.replace_task(task)
        return JobChange(job=job, task=task, command=self._command(task))

    def _cancel(self, job: Job, consumed: tuple[tuple[str, str], ...]) -> JobChange:
        if job.state is JobState.STOPPING:
            return JobChange(consumed=consumed)
        self._dequeue(job)
        job = job.move("cancel", self.now_s, cause="cancelled")
        self._keep(job)
        self.decisions.of_job(job, "cancelled", "an operator cancelled it")
        if job.state in ENDED_STATES:
            return JobChange(job=job, consumed=consumed)
        task = attrs.evolve(self.task_by_id[job.task_id], command="stop")
        self.task_by_id[task.task_id] = task
        self.fleet.replace_task(task)
        command = self._command(task)
        return JobChange(job=job, task=task, command=command, consumed=consumed)

    def _end(self, task: Task, report: EndReport) -> JobChange:
        del self.task_by_id[task.task_id]
        self._stopped_s.pop(task.task_id, None)
        self.fleet.remove_task(task)
        self.usage.give_back(task.team, amount_needed(task.reserved))
        job = self.job_by_id[task.job_id]
        suspects = self.learned.suspects
        blame = observe_outcome(suspects, task, report, self.now_s)
        if blame is not None:
            self.decisions.of_host(blame)
        avoid_until_s = suspects.avoid_until_s(task.host_id)
        if avoid_until_s > self.now_s:
            self.fleet.avoid(task.host_id, avoid_until_s)
        job = job_after(job, task, report, suspects, self.decisions)
        self._keep(job)
        if job.state is JobState.WAITING:
            self._enqueue(job)
        return JobChange(
            job=job,
            ended_task_id=task.task_id,
            closed_intents=tuple(_intent_id(task, action) for action in ACTIONS),
            blame=blame,
        )

    def _enqueue(self, job: Job) -> None:
        placer = self.fleet.placer(job.pool)
        estimate = self.learned.sizes.estimate(job, placer.rooms.hosts_by_shape)
        need = amount_needed(estimate.shape)
        quota = self.usage.quota_by_team.get(job.team)
        if quota is not None and not need.fits(quota):
            need = amount_needed(job.shape)
        if estimate.far_off:
            reason = f"{estimate.reports} reports of {job.kind} tell of another size"
            self.decisions.of_job(job, "size-learned", reason, reserved=need.describe())
        if job.work_class is WorkClass.URGENT:
            self.fleet.observe_urgent(job.pool, need, self.now_s)
        placer.queue.add(WaitingJob(job, need))

    def _dequeue(self, job: Job) -> None:
        self.fleet.placer(job.pool).queue.remove(job)
        self.promises.withdraw(job.job_id)

    def _keep(self, job: Job) -> None:
        if job.state in ENDED_STATES:
            self.job_by_id.pop(job.job_id, None)
        else:
            self.job_by_id[job.job_id] = job

    def _command(self, task: Task) -> TaskCommand:
        return TaskCommand(
            intent_id=_intent_id(task, task.command),
            host_id=task.host_id,
            task_id=task.task_id,
            action=task.command,
            lease_s=task.lease_s,
        )


def _intent_id(task: Task, action: str) -> str:
    return f"{DUTY}/{task.task_id}/{action}"
