"""Jobs with a row that can't be read, and ends of their runs; free of I/O."""

import attrs

from rhubarbmount.batch.model import JobSpec, RunEnd, Step, TaskId

__all__ = ["KeptEnd", "UnreadableJobs"]


@attrs.frozen
class KeptEnd:
    """End of a run on a backend server, kept until the job can be read."""

    server_id: str
    end: RunEnd

    def is_same_run(self, other: "KeptEnd") -> bool:
        """Return whether two ends are of one run."""
        return (self.server_id, self.end.task, self.end.run) == (
            other.server_id,
            other.end.task,
            other.end.run,
        )


@attrs.define(eq=False)
class UnreadableJobs:
    """Jobs that are left alone: nothing of them is started, written or shown.

    Their runs go on unless the job is cancelled. A backend server forgets an end once
    it is acknowledged, so that ends are stored for a holder that can read the job.
    ``dirty`` holds the jobs with ends that are not stored yet.
    """

    dirty: set[str] = attrs.field(factory=set)
    # Whether any of the jobs may have runs.
    may_have_runs: bool = False
    _spec_by_id: dict[str, JobSpec | None] = attrs.field(factory=dict)
    _cancelled_ids: set[str] = attrs.field(factory=set)
    _ends_by_id: dict[str, list[KeptEnd]] = attrs.field(factory=dict)

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._spec_by_id

    def add(self, job_id: str, spec: JobSpec | None, may_have_runs: bool) -> None:
        """Leave a job alone; ``spec`` is None if it can't be read either."""
        self.may_have_runs = self.may_have_runs or may_have_runs
        self._spec_by_id[job_id] = spec or self._spec_by_id.get(job_id)

    def cancel(self, job_id: str) -> None:
        """Note that the caller of a job has cancelled it."""
        if job_id in self:
            self._cancelled_ids.add(job_id)

    def may_run(self, job_id: str) -> bool:
        """Return whether listed runs of a job are left to go on."""
        return job_id in self and job_id not in self._cancelled_ids

    def find_step(self, task_id: TaskId) -> Step | None:
        """Return the step that a listed run belongs to, or None if it is unknown."""
        spec = self._spec_by_id.get(task_id.job_id)
        if spec is None or not 0 <= task_id.step < len(spec.steps):
            return None
        return spec.steps[task_id.step]

    def restore_ends(self, job_id: str, ends: list[KeptEnd]) -> None:
        """Add the ends that an earlier holder stored."""
        self._ends_by_id[job_id] = ends

    def keep_end(self, server_id: str, end: RunEnd) -> bool:
        """Keep the end of a run; return whether it was not known before."""
        kept = KeptEnd(server_id, end)
        ends = self._ends_by_id.setdefault(end.task.job_id, [])
        if any(kept.is_same_run(other) for other in ends):
            return False
        ends.append(kept)
        self.dirty.add(end.task.job_id)
        return True

    def ends_of(self, job_id: str) -> list[KeptEnd]:
        """Return the ends kept for a job."""
        return self._ends_by_id.get(job_id, [])
