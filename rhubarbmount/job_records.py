"""Records of jobs and tasks, and the changes of them, without I/O."""

import attrs

from rhubarbmount.entries import WorkClass
from rhubarbmount.fleet_usage import FleetUsage
from rhubarbmount.host_reservations import HostReservations
from rhubarbmount.job_changes import DUTY, EndReport, JobChange
from rhubarbmount.job_decisions import JobDecisions
from rhubarbmount.job_ends import job_after_end, observe_outcome
from rhubarbmount.job_queue import TeamUsage, WaitingJob
from rhubarbmount.jobs import ENDED_STATES, Job, JobState, Task
from rhubarbmount.resources import resources_needed
from rhubarbmount.scheduling_policy import Learned
from rhubarbmount.store.interface import TaskCommand

__all__ = ["JobRecords"]

ACTIONS = ("start", "checkpoint", "stop")


@attrs.define(kw_only=True)
class JobRecords:
    """Keep jobs consistent with their tasks, host usage and team usage.

    ``stopped_s`` holds by task when its stop was accepted, on the monotonic clock.
    """

    job_by_id: dict[str, Job]
    task_by_id: dict[str, Task]
    fleet: FleetUsage
    usage: TeamUsage
    host_reservations: HostReservations
    learned: Learned
    decisions: JobDecisions
    lease_s: float
    stopped_s: dict[str, float] = attrs.field(factory=dict, init=False)

    def start(self, waiting: WaitingJob, host_id: str, code: str) -> JobChange:
        """Start a waiting job on a host."""
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
            lease_s=self.lease_s,
            run_time_s=job.run_time_s,
            started_s=self.decisions.now_s,
            lost_hosts=job.lost_hosts,
        )
        job = job.move(
            "place", self.decisions.now_s, attempt=attempt, task_id=task.task_id
        )
        self.update_job(job)
        self.task_by_id[task.task_id] = task
        self.fleet.add_task(task)
        self.usage.acquire(job.team, waiting.need)
        self.decisions.record_job(
            job, code, host=host_id, reserved=waiting.need.describe()
        )
        return JobChange(job=job, task=task, command=self.command(task))

    def evict(self, task: Task, code: str, reason: str) -> JobChange:
        """Evict a task, with a checkpoint if it can make one."""
        action = "checkpoint" if task.can_checkpoint else "stop"
        task = attrs.evolve(task, command=action)
        self.task_by_id[task.task_id] = task
        self.fleet.replace_task(task)
        job = self.job_by_id[task.job_id].move(
            "evict", self.decisions.now_s, cause=code
        )
        self.update_job(job)
        self.decisions.record_job(job, code, reason, host=task.host_id)
        return JobChange(job=job, task=task, command=self.command(task))

    def stop_on_missing_host(self, task: Task, cause: str) -> JobChange:
        """Stop a task whose host is missing, alone or together with others."""
        job = self.job_by_id[task.job_id]
        reason = f"host {task.host_id} is missing from the list of live hosts"
        self.decisions.record_job(job, "task-given-up", reason, host=task.host_id)
        if job.state is not JobState.EVICTING:
            job = job.move("evict", self.decisions.now_s, cause=cause)
            self.update_job(job)
        task = attrs.evolve(task, command="stop")
        self.task_by_id[task.task_id] = task
        self.fleet.replace_task(task)
        return JobChange(job=job, task=task, command=self.command(task))

    def cancel(self, job: Job, consumed: tuple[tuple[str, str], ...]) -> JobChange:
        """Cancel a job at an operator's request; stop its task, if there is one."""
        if job.state is JobState.STOPPING:
            return JobChange(consumed=consumed)
        self._dequeue(job)
        job = job.move("cancel", self.decisions.now_s, cause="cancelled")
        self.update_job(job)
        self.decisions.record_job(job, "cancelled", "cancelled by an operator")
        if job.state in ENDED_STATES:
            return JobChange(job=job, consumed=consumed)
        task = attrs.evolve(self.task_by_id[job.task_id], command="stop")
        self.task_by_id[task.task_id] = task
        self.fleet.replace_task(task)
        command = self.command(task)
        return JobChange(job=job, task=task, command=command, consumed=consumed)

    def end(self, task: Task, report: EndReport) -> JobChange:
        """Remove an ended task from its host and move its job to the next state."""
        del self.task_by_id[task.task_id]
        self.stopped_s.pop(task.task_id, None)
        self.fleet.remove_task(task)
        self.usage.release(task.team, resources_needed(task.reserved))
        job = self.job_by_id[task.job_id]
        suspects = self.learned.suspects
        blame = observe_outcome(suspects, task, report, self.decisions.now_s)
        if blame is not None:
            self.decisions.record_host(blame)
        avoid_until_s = suspects.avoid_until_s(task.host_id)
        if avoid_until_s > self.decisions.now_s:
            self.fleet.avoid(task.host_id, avoid_until_s)
        job = job_after_end(job, task, report, suspects, self.decisions)
        self.update_job(job)
        if job.state is JobState.WAITING:
            self.enqueue(job)
        return JobChange(
            job=job,
            ended_task_id=task.task_id,
            closed_intents=tuple(_intent_id(task, action) for action in ACTIONS),
            blame=blame,
        )

    def enqueue(self, job: Job) -> None:
        """Queue a job with its estimated size.

        The declared size is used if the estimate exceeds the team's quota.
        """
        placer = self.fleet.placer(job.pool)
        estimate = self.learned.sizes.estimate(job, placer.pool_usage.hosts_by_shape)
        need = resources_needed(estimate.shape)
        quota = self.usage.quota_by_team.get(job.team)
        if quota is not None and not need.fits(quota):
            need = resources_needed(job.shape)
        if estimate.is_misdeclared:
            reason = f"{estimate.reports} reports of {job.kind} give another size"
            self.decisions.record_job(
                job, "size-learned", reason, reserved=need.describe()
            )
        if job.work_class is WorkClass.URGENT:
            self.fleet.observe_urgent(job.pool, need, self.decisions.now_s)
        placer.queue.add(WaitingJob(job, need))

    def update_job(self, job: Job) -> None:
        """Apply a change of a job; drop the job once it has ended."""
        if job.state in ENDED_STATES:
            self.job_by_id.pop(job.job_id, None)
        else:
            self.job_by_id[job.job_id] = job

    def command(self, task: Task) -> TaskCommand:
        """Return the last command for a task."""
        return TaskCommand(
            intent_id=_intent_id(task, task.command),
            host_id=task.host_id,
            task_id=task.task_id,
            action=task.command,
            lease_s=task.lease_s,
        )

    def _dequeue(self, job: Job) -> None:
        self.fleet.placer(job.pool).queue.remove(job)
        self.host_reservations.release(job.job_id)


def _intent_id(task: Task, action: str) -> str:
    return f"{DUTY}/{task.task_id}/{action}"
