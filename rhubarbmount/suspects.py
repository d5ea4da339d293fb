"""Attribution of failed tasks to the job or to the host that it ran on."""

from collections import OrderedDict, deque

import attrs

__all__ = ["Blame", "Suspects", "TaskOutcome"]

OUTCOMES_PER_HOST = 32
MAX_TRACKED_JOBS = 8192
WINDOW_S = 900.0
HOST_JOBS_FAILED = 3
HOST_OWNERS_FAILED = 2
HOST_FAILED_SHARE = 0.5
FAILS_OTHERS_RATIO = 2
JOB_HOSTS_FAILED = 3
JOB_FAILURES_LIMIT = 6
BACKOFF_FAILURES = 2
BACKOFF_S = 5.0
MAX_BACKOFF_S = 300.0


@attrs.frozen
class TaskOutcome:
    """The outcome of one task of a job on a host."""

    job_id: str
    owner: str
    host_id: str
    failed: bool
    time_s: float


@attrs.frozen
class Blame:
    """A job to hold or a host to propose for quarantine, with the reason."""

    kind: str
    subject_id: str
    code: str
    reason: str


@attrs.define
class _JobRecord:
    failed_hosts: dict[str, None] = attrs.field(factory=dict)
    failures: int = 0


@attrs.define
class Suspects:
    """Recent task outcomes, by which failures are attributed to hosts or jobs.

    A failure counts against a host only if the job is not known to fail elsewhere,
    and against a job only if the host is not known to fail other jobs.
    """

    _outcomes_by_host: dict[str, deque[TaskOutcome]] = attrs.field(
        factory=dict, init=False
    )
    _record_by_job: OrderedDict[str, _JobRecord] = attrs.field(
        factory=OrderedDict, init=False
    )

    def observe(self, outcome: TaskOutcome) -> None:
        """Record the outcome of a task."""
        outcomes = self._outcomes_by_host.setdefault(
            outcome.host_id, deque(maxlen=OUTCOMES_PER_HOST)
        )
        outcomes.append(outcome)
        if not outcome.failed:
            self._record_by_job.pop(outcome.job_id, None)
            return
        record = self._record_by_job.setdefault(outcome.job_id, _JobRecord())
        record.failed_hosts[outcome.host_id] = None
        record.failures += 1
        while len(self._record_by_job) > MAX_TRACKED_JOBS:
            self._record_by_job.popitem(last=False)

    def judge_host(self, host_id: str, now_s: float) -> Blame | None:
        """Return the reason to quarantine a host, or None if there is none."""
        outcomes = self._recent(host_id, now_s)
        failures = [o for o in outcomes if o.failed and not self._fails_elsewhere(o)]
        jobs = {outcome.job_id for outcome in failures}
        owners = {outcome.owner for outcome in failures}
        succeeded = sum(not outcome.failed for outcome in outcomes)
        if len(jobs) < HOST_JOBS_FAILED or len(owners) < HOST_OWNERS_FAILED:
            return None
        if len(failures) < HOST_FAILED_SHARE * (len(failures) + succeeded):
            return None
        reason = f"failed {len(jobs)} jobs of {len(owners)} teams, ran {succeeded}"
        return Blame("host", host_id, "host-suspect", reason)

    def judge_job(self, job_id: str, now_s: float) -> Blame | None:
        """Return the reason to hold a job, or None if there is none."""
        record = self._record_by_job.get(job_id)
        if record is None:
            return None
        sound_hosts = [
            h for h in record.failed_hosts if not self._fails_others(h, job_id)
        ]
        if len(sound_hosts) >= JOB_HOSTS_FAILED:
            reason = f"failed on {', '.join(sorted(sound_hosts))}, which run other jobs"
            return Blame("job", job_id, "job-poison", reason)
        if record.failures >= JOB_FAILURES_LIMIT:
            reason = f"failed {record.failures} times"
            return Blame("job", job_id, "job-failures", reason)
        return None

    def avoid_until_s(self, host_id: str) -> float:
        """Return the time until which a host should get no new tasks; 0 for no limit.

        A host that fails every task it starts is always free, so without this backoff
        it would drain the whole queue before it is quarantined.
        """
        last_s, jobs = 0.0, set()
        for outcome in reversed(self._outcomes_by_host.get(host_id, ())):
            if not outcome.failed:
                break
            last_s = max(last_s, outcome.time_s)
            if not self._fails_elsewhere(outcome):
                jobs.add(outcome.job_id)
        if len(jobs) < BACKOFF_FAILURES:
            return 0.0
        doublings = min(len(jobs) - BACKOFF_FAILURES, 10)
        return last_s + min(BACKOFF_S * 2**doublings, MAX_BACKOFF_S)

    def forget_host(self, host_id: str) -> None:
        """Drop the recorded outcomes of a host that was repaired or has left."""
        self._outcomes_by_host.pop(host_id, None)

    def release_job(self, job_id: str) -> None:
        """Drop the recorded failures of a job that an operator lets run again."""
        self._record_by_job.pop(job_id, None)

    def _recent(self, host_id: str, now_s: float) -> list[TaskOutcome]:
        outcomes = self._outcomes_by_host.get(host_id, ())
        return [o for o in outcomes if now_s - o.time_s <= WINDOW_S]

    def _fails_elsewhere(self, outcome: TaskOutcome) -> bool:
        record = self._record_by_job.get(outcome.job_id)
        if record is None:
            return False
        others = (h for h in record.failed_hosts if h != outcome.host_id)
        return any(not self._fails_others(host, outcome.job_id) for host in others)

    def _fails_others(self, host_id: str, job_id: str) -> bool:
        outcomes = self._outcomes_by_host.get(host_id, ())
        others = [outcome for outcome in outcomes if outcome.job_id != job_id]
        failed = sum(outcome.failed for outcome in others)
        return failed > FAILS_OTHERS_RATIO * (len(others) - failed)
