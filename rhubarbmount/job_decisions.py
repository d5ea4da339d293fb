"""Recording of decisions about jobs and their hosts."""

from typing import Any

import attrs

from rhubarbmount.decisions import Decision
from rhubarbmount.explain import DecisionMemory
from rhubarbmount.jobs import Job
from rhubarbmount.placement import Wait
from rhubarbmount.suspects import Blame

__all__ = ["JobDecisions"]


@attrs.define
class JobDecisions:
    """Record decisions with the catalogue version and time of the step."""

    memory: DecisionMemory
    catalogue_version: int = 0
    now_s: float = 0.0

    def record_job(self, job: Job, code: str, reason: str = "", **inputs: Any) -> None:
        """Record a decision about a job."""
        shown = {"pool": job.pool, "class": job.work_class.value} | inputs
        self._record("job", job.job_id, code, reason, shown)

    def record_wait(self, wait: Wait) -> None:
        """Record why a group waits, for those jobs that lack this reason."""
        group = wait.group
        changed = (group.code, group.reason) != (wait.code, wait.reason)
        jobs = group.jobs if changed else group.unexplained
        group.code, group.reason, group.unexplained = wait.code, wait.reason, []
        for waiting in jobs:
            self.record_job(waiting.job, wait.code, wait.reason)

    def record_host(self, blame: Blame) -> None:
        """Record why a host is suspected."""
        self._record(blame.kind, blame.subject_id, blame.code, blame.reason, {})

    def record_headroom(self, pool: str, hosts: int) -> None:
        """Record how many hosts of a pool must have headroom for urgent jobs."""
        self._record("pool", pool, "headroom", "urgent arrivals", {"hosts": hosts})

    def _record(
        self, kind: str, subject_id: str, code: str, reason: str, inputs: dict[str, Any]
    ) -> None:
        decision = Decision(
            kind=kind,
            subject_id=subject_id,
            code=code,
            reason=reason,
            inputs=inputs,
            catalogue_version=self.catalogue_version,
            time_s=self.now_s,
        )
        self.memory.record(decision)
