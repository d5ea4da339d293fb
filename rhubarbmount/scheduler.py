"""Scheduler of jobs on hosts: its state and its decisions, without I/O."""

from collections.abc import Iterable, Iterator, Mapping

import attrs

from rhubarbmount.entries import Team
from rhubarbmount.fleet_usage import FleetUsage
from rhubarbmount.host_reservations import HostReservations
from rhubarbmount.hosts import Host
from rhubarbmount.job_changes import (
    USAGE_PREFIX,
    EndReport,
    JobChange,
    JobRequest,
)
from rhubarbmount.job_decisions import JobDecisions
from rhubarbmount.job_losses import missing_cause
from rhubarbmount.job_queue import TeamUsage
from rhubarbmount.job_records import JobRecords
from rhubarbmount.jobs import Job, JobState, Task
from rhubarbmount.placement import Placement, PoolPlacer, Wait
from rhubarbmount.resources import resources_needed
from rhubarbmount.scheduling_policy import Learned, SchedulingPolicy
from rhubarbmount.sizes import UsageReport
from rhubarbmount.starvation_guard import StarvationGuard
from rhubarbmount.store.interface import TaskCommand
from rhubarbmount.tables import REPORTS_TABLE, REQUESTS_TABLE

__all__ = ["Scheduler"]


@attrs.define
class Scheduler:
    """Decide which tasks to start, stop and checkpoint, one row change at a time.

    ``now_s`` is the time of the current step in seconds since the epoch; it is used
    to order jobs and to explain decisions. Lease durations are measured with
    ``clock_s``, a monotonic clock that is local to the process.
    """

    policy: SchedulingPolicy = SchedulingPolicy()
    learned: Learned = attrs.field(factory=Learned)
    clock_s: float = 0.0
    job_by_id: dict[str, Job] = attrs.field(factory=dict)
    task_by_id: dict[str, Task] = attrs.field(factory=dict)
    usage: TeamUsage = attrs.field(factory=TeamUsage)
    fleet: FleetUsage = attrs.field(init=False)
    host_reservations: HostReservations = attrs.field(init=False)
    starvation_guard: StarvationGuard = attrs.field(init=False)
    decisions: JobDecisions = attrs.field(init=False)
    records: JobRecords = attrs.field(init=False)
    _teams_version: int | None = attrs.field(default=None, init=False)
    _host_by_id: dict[str, Host] = attrs.field(factory=dict, init=False)
    _rotation: int = attrs.field(default=0, init=False)
    _missing_since_s: dict[str, float] = attrs.field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        self.fleet = FleetUsage(self.policy.placement)
        self.host_reservations = HostReservations(self.fleet, self.usage)
        self.starvation_guard = StarvationGuard(
            self.fleet, self.host_reservations, self.usage
        )
        self.decisions = JobDecisions(self.learned.memory)
        self.records = JobRecords(
            job_by_id=self.job_by_id,
            task_by_id=self.task_by_id,
            fleet=self.fleet,
            usage=self.usage,
            host_reservations=self.host_reservations,
            learned=self.learned,
            decisions=self.decisions,
            lease_s=self.policy.lease_s,
        )

    @property
    def now_s(self) -> float:
        """Return the time of the current step in seconds since the epoch."""
        return self.decisions.now_s

    @property
    def has_waiting_jobs(self) -> bool:
        """Return whether any job is queued, in any pool."""
        return any(len(placer.queue) for placer in self.fleet.placers())

    def set_time(self, now_s: float, clock_s: float) -> None:
        """Begin a step at an epoch time and a reading of the monotonic clock."""
        self.decisions.now_s = now_s
        self.clock_s = clock_s

    def load(
        self,
        jobs: Iterable[Job],
        tasks: Iterable[Task],
        intents: Iterable[TaskCommand],
    ) -> None:
        """Load the rows left by the previous lease holder; call ``set_hosts`` first."""
        open_stops = {i.task_id for i in intents if i.action == "stop"}
        for task in tasks:
            self.task_by_id[task.task_id] = task
            self.fleet.add_task(task)
            self.usage.acquire(task.team, resources_needed(task.reserved))
            if task.command == "stop" and task.task_id not in open_stops:
                self.records.stopped_s[task.task_id] = self.clock_s
        for job in jobs:
            self.job_by_id[job.job_id] = job
            if job.state is JobState.WAITING:
                self.records.enqueue(job)

    def set_teams(self, teams: Iterable[Team], version: int) -> None:
        """Apply the team quotas of a catalogue version."""
        self.decisions.catalogue_version = version
        if version == self._teams_version:
            return
        self._teams_version = version
        for team in teams:
            self.usage.set_team(team)

    def set_hosts(self, host_by_id: Mapping[str, Host]) -> list[JobChange]:
        """Apply the rows of all hosts; clear suspicion of those back in service."""
        back = []
        if host_by_id != self._host_by_id:
            back = [host for host in host_by_id.values() if self.fleet.set_host(host)]
            self._host_by_id = dict(host_by_id)
        self.fleet.remove_hosts(host_by_id.keys())
        for host in back:
            self.learned.suspects.forget_host(host.host_id)
        return [JobChange(cleared_host_id=host.host_id) for host in back]

    def take_request(self, request: JobRequest) -> JobChange:
        """Apply an operator's request."""
        consumed = ((REQUESTS_TABLE, request.key),)
        known = self.job_by_id.get(request.job_id)
        if request.action == "submit":
            job = request.job
            if known is None and job is not None:
                self.job_by_id[job.job_id] = job
                self.records.enqueue(job)
            return JobChange(consumed=consumed)
        if known is None:
            return JobChange(consumed=consumed)
        if request.action == "release" and known.state is JobState.HELD:
            self.learned.suspects.release_job(known.job_id)
            released = known.move(
                "release", self.now_s, failed_hosts=(), lost_hosts=(), cause=""
            )
            self.records.update_job(released)
            self.records.enqueue(released)
            return JobChange(job=released, consumed=consumed)
        if request.action == "cancel":
            return self.records.cancel(known, consumed)
        return JobChange(consumed=consumed)

    def take_usage(self, report: UsageReport) -> JobChange:
        """Update the size estimates from a usage report, however late it arrives."""
        self.learned.sizes.observe(report)
        return JobChange(consumed=((REPORTS_TABLE, USAGE_PREFIX + report.task_id),))

    def take_end(self, report: EndReport) -> JobChange:
        """Process the end of a task; a repeated report has no effect."""
        consumed = ((REPORTS_TABLE, report.key),)
        task = self.task_by_id.get(report.task_id)
        if task is None:
            return JobChange(consumed=consumed)
        change = self.records.end(task, report)
        return attrs.evolve(change, consumed=consumed)

    def take_delivery(self, command: TaskCommand) -> JobChange:
        """Record that the platform has accepted a command."""
        closed = JobChange(closed_intents=(command.intent_id,))
        task = self.task_by_id.get(command.task_id)
        if task is None:
            return closed
        if command.action == "stop":
            self.records.stopped_s[task.task_id] = self.clock_s
        job = self.job_by_id[task.job_id]
        if command.action != "start" or job.state is not JobState.STARTING:
            return closed
        job = job.move("started", self.now_s)
        self.records.update_job(job)
        return attrs.evolve(closed, job=job)

    def take_live_hosts(self, live: set[str]) -> Iterator[JobChange]:
        """Stop the tasks of hosts that have been missing from the list for too long."""
        self.fleet.set_live(live)
        for host_id in self.fleet.hosts_with_tasks():
            if host_id in live:
                self._missing_since_s.pop(host_id, None)
                continue
            since_s = self._missing_since_s.setdefault(host_id, self.clock_s)
            self.host_reservations.release_host(host_id)
            if self.clock_s - since_s <= self.policy.missing_after_s:
                continue
            cause = missing_cause(host_id, self._missing_since_s)
            for task in self.fleet.tasks_on(host_id):
                if task.command != "stop":
                    yield self.records.stop_on_missing_host(task, cause)

    def expire(self) -> Iterator[JobChange]:
        """End the tasks whose leases have expired since their stop was accepted."""
        for task_id, stopped_s in list(self.records.stopped_s.items()):
            if self.clock_s - stopped_s > self.policy.ended_after_s:
                lapse = EndReport(task_id=task_id, outcome="lapsed")
                yield self.records.end(self.task_by_id[task_id], lapse)

    def place(self, limit: int) -> Iterator[JobChange]:
        """Start all urgent jobs that can start now, then at most ``limit`` others.

        Finally evict batch tasks in pools that lack headroom.
        """
        yield from self._evict_from_closed_hosts()
        self.fleet.end_avoidance(self.now_s)
        for waiting, host_id in self.host_reservations.take_startable():
            yield self.records.start(waiting, host_id, "placed-as-promised")
        for placer in self.fleet.placers():
            if self.fleet.update_headroom(placer, self.now_s):
                self.decisions.record_headroom(placer.pool, placer.headroom_hosts)
            yield from self._plan(placer, len(placer.queue), urgent=True)
        for waiting, host_id in self.starvation_guard.reserve_hosts(self.now_s):
            reason = f"host {host_id} is reserved for it until enough tasks end"
            self.decisions.record_job(
                waiting.job, "wait-reserved", reason, host=host_id
            )
        for placer in self._rotated_placers():
            for change in self._plan(placer, limit, urgent=False):
                limit -= 1
                yield change
        for placer in self.fleet.placers():
            yield from self._restore_headroom(placer)

    def _rotated_placers(self) -> Iterable[PoolPlacer]:
        """Return the placers, starting with a different one at each call."""
        placers = self.fleet.placers()
        self._rotation = (self._rotation + 1) % max(len(placers), 1)
        return [*placers[self._rotation :], *placers[: self._rotation]]

    def _plan(
        self, placer: PoolPlacer, limit: int, urgent: bool
    ) -> Iterator[JobChange]:
        for decision in placer.plan(self.usage, self.now_s, limit, urgent):
            if isinstance(decision, Wait):
                self.decisions.record_wait(decision)
            else:
                yield from self._apply_placement(placer, decision)

    def _restore_headroom(self, placer: PoolPlacer) -> Iterator[JobChange]:
        for eviction in self.fleet.restore_headroom(placer, self.now_s):
            for task_id in eviction.task_ids:
                reason = f"pool {placer.pool} is restoring its headroom for urgent jobs"
                yield self.records.evict(
                    self.task_by_id[task_id], "evicted-headroom", reason
                )

    def _apply_placement(
        self, placer: PoolPlacer, found: Placement
    ) -> Iterator[JobChange]:
        job = found.waiting.job
        placer.queue.remove(job)
        if found.eviction is None:
            yield self.records.start(found.waiting, found.host_id, found.code)
            return
        self.host_reservations.reserve(found.waiting, found.host_id)
        reason = f"batch tasks are being evicted from host {found.host_id}"
        self.decisions.record_job(job, "wait-eviction", reason, host=found.host_id)
        for task_id in found.eviction.task_ids:
            victim = self.task_by_id[task_id]
            yield self.records.evict(
                victim, "evicted-urgent", f"evicted for urgent job {job.job_id}"
            )

    def _evict_from_closed_hosts(self) -> Iterator[JobChange]:
        for host_id in self.fleet.closed_hosts():
            self.host_reservations.release_host(host_id)
            for task in self.fleet.evictable_on(host_id):
                reason = f"host {host_id} is {self.fleet.state_of(host_id)}"
                yield self.records.evict(task, "evicted-draining", reason)
