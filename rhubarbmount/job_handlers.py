"""HTTP handlers of operators' requests about jobs."""

import uuid
from collections.abc import Callable
from typing import Any

import attrs

from rhubarbmount.edits import Authenticate, Operator
from rhubarbmount.entries import JobTemplate, WorkClass
from rhubarbmount.errors import (
    AccessDenied,
    ConflictError,
    Finding,
    FindingsError,
    NotFound,
    RhubarbmountError,
    UsageError,
)
from rhubarbmount.explain import DecisionRecorder
from rhubarbmount.hosts import Shape
from rhubarbmount.http import HttpResponse
from rhubarbmount.job_changes import JobRequest, request_write
from rhubarbmount.jobs import Job, check_submission, dump_job, load_job
from rhubarbmount.problem import json_response
from rhubarbmount.router import ApiRequest, Router
from rhubarbmount.row_causes import read_job_row
from rhubarbmount.scheduling import SchedulingView
from rhubarbmount.store.interface import Platform, Precondition, Transaction, Write
from rhubarbmount.structure import structure
from rhubarbmount.tables import HISTORY_TABLE, JOBS_TABLE

__all__ = ["JobHandlers", "JobSubmission"]

TEMPLATE_KEYS = (
    "team",
    "pool",
    "work_class",
    "processors",
    "memory_gb",
    "accelerators",
    "run_time_s",
)


@attrs.frozen(kw_only=True)
class JobSubmission:
    """A job as submitted by an operator; omitted values come from its template.

    Submission is idempotent: the same job id with the same values gives the same job.
    """

    job_id: str
    team: str
    pool: str
    processors: float
    memory_gb: float
    accelerators: int = 0
    work_class: WorkClass = WorkClass.NORMAL
    run_time_s: float = 60.0
    can_checkpoint: bool = True
    template: str = ""

    def job(self, now_s: float) -> Job:
        """Return the job with ``now_s`` as its time of submission."""
        return Job(
            job_id=self.job_id,
            team=self.team,
            pool=self.pool,
            shape=Shape(self.processors, self.memory_gb, self.accelerators),
            work_class=self.work_class,
            template=self.template,
            run_time_s=self.run_time_s,
            can_checkpoint=self.can_checkpoint,
            submitted_s=now_s,
            since_s=now_s,
        )


@attrs.define
class JobHandlers:
    """Handle operators' requests about jobs."""

    platform: Platform
    view: SchedulingView
    recorder: DecisionRecorder
    authenticate: Authenticate
    epoch_clock: Callable[[], float]

    def add_routes(self, router: Router) -> None:
        """Register the handlers with a router."""
        router.add("POST", "/jobs", self.submit)
        router.add("GET", "/jobs", self.list_jobs)
        router.add("GET", "/jobs/*", self.show)
        router.add("DELETE", "/jobs/*", self.cancel)
        router.add("POST", "/jobs/*/release", self.release)

    async def submit(self, request: ApiRequest) -> HttpResponse:
        """Accept a job, or refuse one that could never run."""
        operator = self.authenticate(request)
        job = self._build(request.json()).job(self.epoch_clock())
        try:
            return await self._submit(operator, job)
        except RhubarbmountError as error:
            self._record(job.job_id, "submission-refused", operator, error)
            raise

    async def _submit(self, operator: Operator, job: Job) -> HttpResponse:
        teams = {team.name: team for team in self.view.teams()}
        team = teams.get(job.team)
        if team is not None:
            self._check_owner(operator, job.team)
        findings = check_submission(job, team, self.view.hosts().values())
        if findings:
            raise FindingsError(findings)
        committed = await self._commit(
            f"submit/{job.job_id}",
            (
                Precondition(JOBS_TABLE, job.job_id, version=0),
                Precondition(HISTORY_TABLE, f"job/{job.job_id}", version=0),
            ),
            (
                Write(JOBS_TABLE, job.job_id, dump_job(job)),
                request_write(JobRequest(job.job_id, "submit", job)),
            ),
        )
        if committed:
            self._record(job.job_id, "submitted", operator)
            return json_response(dump_job(job), 201)
        return json_response(dump_job(await self._matching_job(job)))

    async def list_jobs(self, request: ApiRequest) -> HttpResponse:
        """Return the jobs that have not ended, filtered by team and pool on request."""
        self.authenticate(request)
        wanted = {
            key: request.query[key] for key in ("team", "pool") if key in request.query
        }
        rows = await self.platform.scan(JOBS_TABLE)
        jobs = [dict(row.value) for row in rows if wanted.items() <= row.value.items()]
        return json_response({"jobs": jobs})

    async def show(self, request: ApiRequest) -> HttpResponse:
        """Return one job, ended or not."""
        self.authenticate(request)
        return json_response(dump_job(await self._read(request.parts[1])))

    async def cancel(self, request: ApiRequest) -> HttpResponse:
        """Request that a job does not run, or that it stops."""
        return await self._request(request, "cancel")

    async def release(self, request: ApiRequest) -> HttpResponse:
        """Request that a held job may run again."""
        return await self._request(request, "release")

    def _build(self, values: Any) -> JobSubmission:
        if not isinstance(values, dict):
            raise UsageError("a job must be a JSON object")
        merged = self._template_values(values.get("template")) | values
        submission, faults = structure(merged, JobSubmission, ("job",))
        if faults:
            raise FindingsError(
                [
                    Finding(".".join(map(str, fault.path)), fault.code, fault.message)
                    for fault in faults
                ]
            )
        return submission

    def _template_values(self, name: Any) -> dict[str, Any]:
        if not name:
            return {}
        template = self.view.job_templates().get(str(name))
        if template is None:
            message = f"unknown job template {name!r}"
            raise FindingsError([Finding("job.template", "unknown-template", message)])
        return _template_defaults(template)

    def _record(
        self,
        job_id: str,
        code: str,
        operator: Operator,
        error: RhubarbmountError | None = None,
    ) -> None:
        reason = "" if error is None else error.message
        self.recorder.record("job", job_id, code, reason, operator=operator.name)

    def _check_owner(self, operator: Operator, team_name: str) -> None:
        for team in self.view.teams():
            if team.name == team_name and team.owner in operator.owners:
                return
        raise AccessDenied(f"{operator.name} may not act for team {team_name!r}")

    async def _request(self, request: ApiRequest, action: str) -> HttpResponse:
        operator = self.authenticate(request)
        job = await self._read(request.parts[1])
        self._check_owner(operator, job.team)
        committed = await self._commit(
            f"{action}/{job.job_id}",
            (Precondition(JOBS_TABLE, job.job_id, equals={"job_id": job.job_id}),),
            (request_write(JobRequest(job.job_id, action)),),
        )
        if not committed:
            raise ConflictError(f"job {job.job_id} has already ended", code="job-ended")
        self._record(job.job_id, f"{action}-requested", operator)
        return json_response({"job_id": job.job_id, "requested": action}, 202)

    async def _matching_job(self, job: Job) -> Job:
        known = await self._read(job.job_id)
        if _declared_values(known) != _declared_values(job):
            message = f"job {job.job_id} already exists with different values"
            raise ConflictError(message, code="job-exists")
        return known

    async def _read(self, job_id: str) -> Job:
        row = await read_job_row(self.platform, job_id)
        if row is None:
            raise NotFound(f"unknown job {job_id!r}")
        return load_job(row.value)

    async def _commit(
        self,
        name: str,
        preconditions: tuple[Precondition, ...],
        writes: tuple[Write, ...],
    ) -> bool:
        operation_id = f"{name}/{uuid.uuid4().hex}"
        result = await self.platform.transact(
            Transaction(operation_id, preconditions, writes)
        )
        return result.committed


def _template_defaults(template: JobTemplate) -> dict[str, Any]:
    return {key: getattr(template, key) for key in TEMPLATE_KEYS}


def _declared_values(job: Job) -> tuple[Any, ...]:
    shape = job.shape
    return job.team, job.pool, shape, job.work_class, job.run_time_s, job.template
