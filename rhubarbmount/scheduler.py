"""The state of scheduling and its decisions; free of I/O."""

from collections.abc import Iterable, Iterator, Mapping
from typing import Any

import attrs

from rhubarbmount.entries import Team, WorkClass
from rhubarbmount.explain import Decision, DecisionMemory
from rhubarbmount.fleet_rooms import FleetRooms
from rhubarbmount.hosts import Host
from rhubarbmount.job_changes import (
    DUTY,
    REPORTS_TABLE,
    REQUESTS_TABLE,
    USAGE_PREFIX,
    EndReport,
    JobChange,
    JobRequest,
)
from rhubarbmount.job_queue import TeamUsage, WaitingJob
from rhubarbmount.jobs import ENDED_STATES, Job, JobState, Task
from rhubarbmount.placement import Placement, PlacementRule, PoolPlacer, Wait
from rhubarbmount.platform.interface import TaskCommand
from rhubarbmount.rooms import amount_needed
from rhubarbmount.sizes import SizeMemory, UsageReport
from rhubarbmount.suspects import Blame, Suspects, TaskOutcome

__all__ = ["Learned", "Scheduler", "SchedulingRule"]


ACTIONS = ("start", "checkpoint", "stop")


@attrs.frozen
class SchedulingRule:
    """Times and bounds of scheduling, in seconds.

    A task counts as gone once its host has been missing from the list of live hosts
    for the lease, the lag of that list and the margin together.
    """

    placement: PlacementRule = PlacementRule()
    lease_s: float = 10.0
    list_lag_s: float = 5.0
    margin_s: float = 2.0

    @property
    def gone_after_s(self) -> float:
        """Return how long a host must be missing before its tasks start elsewhere."""
        return self.lease_s + self.list_lag_s + self.margin_s


@attrs.define
class Learned:
    """What is learned from reports; losing it costs quality and no promise."""

    sizes: SizeMemory = attrs.field(factory=SizeMemory)
    suspects: Suspects = attrs.field(factory=Suspects)
    memory: DecisionMemory = attrs.field(factory=DecisionMemory)


@attrs.define
class Scheduler:
    """Decide what to start, stop and checkpoint, one change of rows at a time.

    ``now_s`` is the time of the current step in seconds since the epoch; it orders
    and explains. Durations of leases are measured with ``clock_s``, which is
    monotonic and not shared.
    """

    rule: SchedulingRule = SchedulingRule()
    learned: Learned = attrs.field(factory=Learned)
    catalogue_version: int = 0
    now_s: float = 0.0
    clock_s: float = 0.0
    job_by_id: dict[str, Job] = attrs.field(factory=dict)
    task_by_id: dict[str, Task] = attrs.field(factory=dict)
    usage: TeamUsage = attrs.field(factory=TeamUsage)
    fleet: FleetRooms = attrs.field(init=False)
    _turn: int = attrs.field(default=0, init=False)
    _promised: dict[str, tuple[WaitingJob, str]] = attrs.field(factory=dict, init=False)
    _undelivered_starts: set[str] = attrs.field(factory=set, init=False)
    _delivered_s: dict[str, float] = attrs.field(factory=dict, init=False)
    _missing_since_s: dict[str, float] = attrs.field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        self.fleet = FleetRooms(self.rule.placement)

    def load(
        self,
        jobs: Iterable[Job],
        tasks: Iterable[Task],
        intents: Iterable[TaskCommand],
    ) -> None:
        """Take in the rows that the last holder left, after the hosts."""
        self._undelivered_starts = {i.task_id for i in intents if i.action == "start"}
        for task in tasks:
            self.task_by_id[task.task_id] = task
            self.fleet.add_task(task)
            self.usage.take(task.team, amount_needed(task.reserved))
            if task.task_id not in self._undelivered_starts:
                self._delivered_s[task.task_id] = self.clock_s
        for job in jobs:
            self.job_by_id[job.job_id] = job
            if job.state is JobState.WAITING:
                self._enqueue(job)

    def set_teams(self, teams: Iterable[Team], version: int) -> None:
        """Take in the quotas of a catalogue version."""
        self.catalogue_version = version
        for team in teams:
            self.usage.set_team(team)

    def set_hosts(self, host_by_id: Mapping[str, Host]) -> None:
        """Take in the rows of all hosts."""
        for host in host_by_id.values():
            if self.fleet.set_host(host):
                self.learned.suspects.forget_host(host.host_id)
        self.fleet.remove_hosts(set(host_by_id))

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
        if command.action != "start":
            return closed
        self._undelivered_starts.discard(command.task_id)
        task = self.task_by_id.get(command.task_id)
        if task is None:
            return closed
        self._delivered_s[task.task_id] = self.clock_s
        job = self.job_by_id[task.job_id]
        if job.state is not JobState.STARTING:
            return closed
        job = job.move("started", self.now_s)
        self._keep(job)
        return attrs.evolve(closed, job=job)

    def take_live_hosts(self, live: set[str]) -> Iterator[JobChange]:
        """Give up tasks whose hosts are missing so long that their leases lapsed."""
        self.fleet.set_live(live)
        for host_id in self.fleet.hosts_with_tasks():
            if host_id in live:
                self._missing_since_s.pop(host_id, None)
                continue
            since_s = self._missing_since_s.setdefault(host_id, self.clock_s)
            self._break_promises(host_id)
            for task in self.fleet.tasks_on(host_id):
                if self._has_lapsed(task, since_s):
                    lapse = EndReport(task_id=task.task_id, outcome="lapsed")
                    yield self._end(task, lapse)

    def place(self, limit: int) -> Iterator[JobChange]:
        """Start all urgent jobs that can start now, then at most ``limit`` others.

        Then clear batch away where a pool lacks headroom.
        """
        yield from self._clear_closed_hosts()
        self.fleet.end_avoidance(self.now_s)
        yield from self._start_promised()
        for placer in self.fleet.placers():
            self.fleet.keep_headroom(placer, self.now_s)
            yield from self._plan(placer, len(placer.queue), urgent=True)
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
                self._explain_wait(decision)
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
        need = found.waiting.need
        placer.rooms.promise(job.job_id, found.host_id, need)
        self._promised[job.job_id] = found.waiting, found.host_id
        self.usage.take(job.team, need)
        reason = f"host {found.host_id} is being cleared of batch"
        self._explain(job, "wait-eviction", reason, host=found.host_id)
        for task_id in found.eviction.task_ids:
            victim = self.task_by_id[task_id]
            yield self._evict(victim, "evicted-urgent", f"urgent job {job.job_id}")

    def _clear_closed_hosts(self) -> Iterator[JobChange]:
        for host_id in self.fleet.closed_hosts():
            self._break_promises(host_id)
            for task in self.fleet.evictable_on(host_id):
                reason = f"host {host_id} is {self.fleet.state_of(host_id)}"
                yield self._evict(task, "evicted-draining", reason)

    def _start_promised(self) -> Iterator[JobChange]:
        for job_id, (waiting, host_id) in list(self._promised.items()):
            placer = self.fleet.placer(waiting.job.pool)
            found = placer.room_now(waiting, host_id)
            if found is None:
                continue
            self._withdraw(job_id)
            yield self._start(waiting, found, "placed-by-eviction")

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
        self._undelivered_starts.add(task.task_id)
        self._explain(job, code, host=host_id, reserved=waiting.need.describe())
        return JobChange(job=job, task=task, command=self._command(task))

    def _evict(self, task: Task, code: str, reason: str) -> JobChange:
        action = "checkpoint" if task.can_checkpoint else "stop"
        task = attrs.evolve(task, command=action)
        self.task_by_id[task.task_id] = task
        self.fleet.replace_task(task)
        job = self.job_by_id[task.job_id].move("evict", self.now_s, cause=code)
        self._keep(job)
        self._explain(job, code, reason, host=task.host_id)
        return JobChange(job=job, task=task, command=self._command(task))

    def _cancel(self, job: Job, consumed: tuple[tuple[str, str], ...]) -> JobChange:
        if job.state is JobState.STOPPING:
            return JobChange(consumed=consumed)
        self._dequeue(job)
        job = job.move("cancel", self.now_s, cause="cancelled")
        self._keep(job)
        self._explain(job, "cancelled", f"an operator cancelled job {job.job_id}")
        if job.state in ENDED_STATES:
            return JobChange(job=job, consumed=consumed)
        task = attrs.evolve(self.task_by_id[job.task_id], command="stop")
        self.task_by_id[task.task_id] = task
        self.fleet.replace_task(task)
        command = self._command(task)
        return JobChange(job=job, task=task, command=command, consumed=consumed)

    def _end(self, task: Task, report: EndReport) -> JobChange:
        del self.task_by_id[task.task_id]
        self._delivered_s.pop(task.task_id, None)
        self._undelivered_starts.discard(task.task_id)
        self.fleet.remove_task(task)
        self.usage.give_back(task.team, amount_needed(task.reserved))
        job = self.job_by_id[task.job_id]
        blame = None
        if report.outcome in ("succeeded", "failed"):
            blame = self._observe_outcome(task, report.outcome == "failed")
        job = self._after_end(job, task, report)
        self._keep(job)
        if job.state is JobState.WAITING:
            self._enqueue(job)
        return JobChange(
            job=job,
            ended_task_id=task.task_id,
            closed_intents=tuple(_intent_id(task, action) for action in ACTIONS),
            blame=blame,
        )

    def _after_end(self, job: Job, task: Task, report: EndReport) -> Job:
        if report.outcome == "succeeded":
            self._explain(job, "done", host=task.host_id)
            return job.move("succeed", self.now_s, cause="")
        progress_s = max(job.progress_s, report.progress_s)
        failed_hosts = job.failed_hosts
        blame = None
        if report.outcome == "failed":
            failed_hosts = (*failed_hosts, task.host_id)[-8:]
            blame = self.learned.suspects.judge_job(job.job_id, self.now_s)
        changes: dict[str, Any] = {
            "progress_s": progress_s,
            "failed_hosts": failed_hosts,
            "cause": report.outcome,
        }
        if blame is not None:
            self._explain(job, blame.code, blame.reason, host=task.host_id)
            return job.move("hold", self.now_s, **changes | {"cause": blame.reason})
        self._explain(job, f"task-{report.outcome}", host=task.host_id)
        return job.move("requeue", self.now_s, **changes)

    def _observe_outcome(self, task: Task, failed: bool) -> Blame | None:
        suspects = self.learned.suspects
        suspects.observe(
            TaskOutcome(task.job_id, task.team, task.host_id, failed, self.now_s)
        )
        if not failed:
            return None
        self.fleet.avoid(task.host_id, suspects.avoid_until_s(task.host_id))
        blame = suspects.judge_host(task.host_id, self.now_s)
        if blame is not None:
            decision = Decision(
                kind="host",
                subject_id=task.host_id,
                code=blame.code,
                reason=blame.reason,
                catalogue_version=self.catalogue_version,
                time_s=self.now_s,
            )
            self.learned.memory.record(decision)
        return blame

    def _has_lapsed(self, task: Task, missing_since_s: float) -> bool:
        delivered_s = self._delivered_s.get(task.task_id)
        if delivered_s is None:
            return False
        return self.clock_s - max(delivered_s, missing_since_s) > self.rule.gone_after_s

    def _enqueue(self, job: Job) -> None:
        placer = self.fleet.placer(job.pool)
        estimate = self.learned.sizes.estimate(job, placer.rooms.hosts_by_shape)
        need = amount_needed(estimate.shape)
        quota = self.usage.quota_by_team.get(job.team)
        if quota is not None and not need.fits(quota):
            need = amount_needed(job.shape)
        if estimate.far_off:
            reason = f"{estimate.reports} reports of {job.kind} tell of another size"
            self._explain(job, "size-learned", reason, reserved=need.describe())
        if job.work_class is WorkClass.URGENT:
            self.fleet.observe_urgent(job.pool, need, self.now_s)
        placer.queue.add(WaitingJob(job, need))

    def _dequeue(self, job: Job) -> None:
        self.fleet.placer(job.pool).queue.remove(job)
        if job.job_id in self._promised:
            self._withdraw(job.job_id)

    def _withdraw(self, job_id: str) -> None:
        waiting, host_id = self._promised.pop(job_id)
        self.fleet.placer(waiting.job.pool).rooms.withdraw(job_id, host_id)
        self.usage.give_back(waiting.job.team, waiting.need)

    def _break_promises(self, host_id: str) -> None:
        for job_id, (waiting, promised_id) in list(self._promised.items()):
            if promised_id == host_id:
                self._withdraw(job_id)
                self.fleet.placer(waiting.job.pool).queue.add(waiting)

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

    def _explain_wait(self, wait: Wait) -> None:
        group = wait.group
        changed = (group.code, group.reason) != (wait.code, wait.reason)
        jobs = list(group.job_by_order.values()) if changed else group.unexplained
        group.code, group.reason, group.unexplained = wait.code, wait.reason, []
        for waiting in jobs:
            self._explain(waiting.job, wait.code, wait.reason)

    def _explain(self, job: Job, code: str, reason: str = "", **inputs: Any) -> None:
        decision = Decision(
            kind="job",
            subject_id=job.job_id,
            code=code,
            reason=reason,
            inputs={"pool": job.pool, "class": job.work_class.value} | inputs,
            catalogue_version=self.catalogue_version,
            time_s=self.now_s,
        )
        self.learned.memory.record(decision)


def _intent_id(task: Task, action: str) -> str:
    return f"{DUTY}/{task.task_id}/{action}"
