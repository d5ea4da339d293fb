"""What follows the end of a task: the job's next state and blame for a failure."""

import attrs

from rhubarbmount.job_changes import EndReport
from rhubarbmount.job_decisions import JobDecisions
from rhubarbmount.job_losses import blame_for_losses, note_end
from rhubarbmount.jobs import Job, Task
from rhubarbmount.suspects import Blame, Suspects, TaskOutcome

__all__ = ["job_after_end", "observe_outcome"]

MAX_FAILED_HOSTS = 8


def observe_outcome(
    suspects: Suspects, task: Task, report: EndReport, now_s: float
) -> Blame | None:
    """Record a task's outcome; return why its host is now suspected, or None."""
    if report.outcome not in ("succeeded", "failed"):
        return None
    failed = report.outcome == "failed"
    suspects.observe(TaskOutcome(task.job_id, task.team, task.host_id, failed, now_s))
    return suspects.judge_host(task.host_id, now_s) if failed else None


def job_after_end(
    job: Job, task: Task, report: EndReport, suspects: Suspects, decisions: JobDecisions
) -> Job:
    """Return the job after the end of its task: done, held, cancelled or waiting."""
    now_s = decisions.now_s
    if report.outcome == "succeeded":
        decisions.record_job(job, "done", host=task.host_id)
        return job.move("succeed", now_s, cause="")
    job = note_end(job, task, report.outcome, now_s)
    progress_s = max(job.progress_s, report.progress_s)
    job = attrs.evolve(job, progress_s=progress_s, cause=report.outcome)
    blame = blame_for_losses(job)
    if report.outcome == "failed":
        failed_hosts = (*job.failed_hosts, task.host_id)[-MAX_FAILED_HOSTS:]
        job = attrs.evolve(job, failed_hosts=failed_hosts)
        blame = suspects.judge_job(job.job_id, now_s) or blame
    if blame is not None:
        decisions.record_job(job, blame.code, blame.reason, host=task.host_id)
        return job.move("hold", now_s, cause=blame.reason)
    decisions.record_job(job, f"task-{report.outcome}", host=task.host_id)
    return job.move("requeue", now_s)
