"""HTTP handlers with which operators submit, list and cancel jobs."""

import json

import pytest

from rhubarbmount.edits import Operator
from rhubarbmount.entries import dump_entry, load_entry
from rhubarbmount.errors import AccessDenied, ConflictError, FindingsError
from rhubarbmount.explain import DecisionRecorder
from rhubarbmount.hosts import Shape
from rhubarbmount.http import HttpRequest
from rhubarbmount.job_handlers import JobHandlers
from rhubarbmount.router import ApiRequest, Router
from tests import scheduling_world
from tests.scheduling_world import World

LARGE = Shape(4, 16)
SMALL = {"team": "a", "pool": "p", "processors": 1, "memory_gb": 2}


class Operated(World):
    """Scheduling world with the job handlers of its first instance."""

    def __init__(self):
        super().__init__()
        duty = self.instances[0].duty
        self.recorder = DecisionRecorder()
        self.handlers = JobHandlers(
            self.platform,
            duty.view,
            self.recorder,
            self.authenticate,
            self.workers.clock,
        )

    def authenticate(self, api_request):
        return Operator("ana", frozenset({"a"}))

    async def ask(self, handler, path, values=None, query=None):
        body = json.dumps(values or {}).encode()
        request = HttpRequest(method="POST", target=path, headers=[], body=body)
        api_request = ApiRequest(
            request, tuple(path.strip("/").split("/")), query or {}
        )
        response = await handler(api_request)
        return response.status, json.loads(response.body)


async def test_a_job_from_a_template_is_accepted_and_runs():
    world = Operated()
    values = {"job_id": "n1", "template": "nightly"}
    status, job = await world.ask(world.handlers.submit, "/jobs", values)
    assert (status, job["shape"]["processors"]) == (201, 2)
    await world.settle(1)
    assert world.state("n1") == "running"


async def test_a_job_from_a_template_of_a_newer_class_runs_and_keeps_it(monkeypatch):
    values = dump_entry(scheduling_world.NIGHTLY) | {"work_class": "frugal"}
    newer = load_entry("job-template", values)
    monkeypatch.setattr(scheduling_world, "NIGHTLY", newer)
    world = Operated()
    values = {"job_id": "n1", "template": "nightly"}
    await world.ask(world.handlers.submit, "/jobs", values)
    await world.settle(1)
    job = (await world.platform.read("jobs", "n1")).value
    assert (job["state"], job["work_class"]) == ("running", "frugal")
    with pytest.raises(FindingsError, match="frugal"):
        values = SMALL | {"job_id": "n2", "work_class": "frugal"}
        await world.ask(world.handlers.submit, "/jobs", values)


async def test_a_repeated_submission_is_one_job_even_after_it_ended():
    world = Operated()
    values = SMALL | {"job_id": "j"}
    assert (await world.ask(world.handlers.submit, "/jobs", values))[0] == 201
    await world.settle(1)
    assert (await world.ask(world.handlers.submit, "/jobs", values))[0] == 200
    world.workers.end("j/1", "succeeded")
    await world.settle(1)
    status, job = await world.ask(world.handlers.submit, "/jobs", values)
    await world.settle(2)
    assert (status, job["state"]) == (200, "done")
    assert world.workers.starts == ["j/1"]
    with pytest.raises(ConflictError):
        await world.ask(world.handlers.submit, "/jobs", values | {"processors": 2})


async def test_a_job_that_can_never_run_is_refused_with_every_reason():
    world = Operated()
    values = SMALL | {"job_id": "j", "processors": 50}
    with pytest.raises(FindingsError) as error:
        await world.ask(world.handlers.submit, "/jobs", values)
    codes = [finding.code for finding in error.value.findings]
    assert codes == ["quota-never-fits", "shape-never-fits"]
    with pytest.raises(FindingsError) as error:
        await world.ask(world.handlers.submit, "/jobs", {"job_id": "j", "size": 1})
    codes = {finding.code for finding in error.value.findings}
    assert codes == {"missing-key", "unknown-key"}
    assert not world.platform._table("jobs")


async def test_operators_may_not_act_on_another_teams_jobs():
    world = Operated()
    theirs = await world.submit(team="b")
    with pytest.raises(AccessDenied):
        await world.ask(world.handlers.cancel, f"/jobs/{theirs}")
    with pytest.raises(AccessDenied):
        values = SMALL | {"job_id": "j", "team": "b"}
        await world.ask(world.handlers.submit, "/jobs", values)


async def test_a_cancelled_job_stops_and_can_not_be_cancelled_again():
    world = Operated()
    job_id = await world.submit()
    await world.settle(1)
    status, _ = await world.ask(world.handlers.cancel, f"/jobs/{job_id}")
    assert status == 202
    await world.settle(2)
    _, shown = await world.ask(world.handlers.show, f"/jobs/{job_id}")
    assert shown["state"] == "cancelled"
    assert not world.workers.running_by_id
    with pytest.raises(ConflictError):
        await world.ask(world.handlers.cancel, f"/jobs/{job_id}")


async def test_jobs_are_listed_by_team():
    world = Operated()
    mine = await world.submit(team="a")
    await world.submit(team="b")
    _, response = await world.ask(
        world.handlers.list_jobs, "/jobs", query={"team": "a"}
    )
    assert [job["job_id"] for job in response["jobs"]] == [mine]


async def test_the_routes_reach_the_handlers():
    world = Operated()
    router = Router()
    world.handlers.add_routes(router)
    body = json.dumps(SMALL | {"job_id": "j"}).encode()
    request = HttpRequest(method="POST", target="/jobs", headers=[], body=body)
    assert (await router.handle(request)).status == 201
    request = HttpRequest(method="GET", target="/jobs/none", headers=[], body=b"")
    assert (await router.handle(request)).status == 404
