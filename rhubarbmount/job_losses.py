"""What the repeated loss of its hosts says about a job; free of I/O."""

from collections.abc import Mapping

import attrs

from rhubarbmount.jobs import Job, Task
from rhubarbmount.suspects import Blame

__all__ = [
    "MAX_LOST_HOSTS",
    "blame_for_losses",
    "missing_cause",
    "note_end",
]

# Cause of the end of a task whose host is missing, alone or together with others.
HOST_MISSING = "host-missing"
HOSTS_MISSING = "hosts-missing"
# Hosts that go missing within this time of each other may share a cause.
SHARED_LOSS_S = 5.0
# Hosts lost one after the other by which a job is held.
MAX_LOST_HOSTS = 3
# A host that is lost after a run as long as this was not lost for the job.
HARMLESS_RUN_S = 900.0


def missing_cause(host_id: str, missing_since_s: Mapping[str, float]) -> str:
    """Return the cause to note for the tasks of a host that has gone missing."""
    since_s = missing_since_s[host_id]
    is_shared = any(
        other_id != host_id and abs(other_s - since_s) <= SHARED_LOSS_S
        for other_id, other_s in missing_since_s.items()
    )
    return HOSTS_MISSING if is_shared else HOST_MISSING


def note_end(job: Job, task: Task, outcome: str, now_s: float) -> Job:
    """Return a job with the hosts that it has lost after the end of its task."""
    if now_s - task.started_s >= HARMLESS_RUN_S:
        return attrs.evolve(job, lost_hosts=())
    if outcome != "lapsed" or job.cause != HOST_MISSING:
        return job
    lost_hosts = (*job.lost_hosts, task.host_id)[-MAX_LOST_HOSTS:]
    return attrs.evolve(job, lost_hosts=lost_hosts)


def blame_for_losses(job: Job) -> Blame | None:
    """Return the reason to hold a job that has lost its hosts, or None."""
    if len(job.lost_hosts) < MAX_LOST_HOSTS:
        return None
    reason = f"hosts lost soon after its starts: {', '.join(job.lost_hosts)}"
    return Blame("job", job.job_id, "job-losses", reason)
