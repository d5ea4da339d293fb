"""Jobs over separate processes."""

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from tests.deployment import wait_until
from tests.scenarios.steps import names

scenarios("jobs.feature")

RUN_TIME_S = 1.0
BATCH_RUN_TIME_S = 300.0
SHAPE = {"processors": 32, "memory_gb": 64}


def job_values(job_id, processors):
    return {
        "job_id": job_id,
        "team": "firm",
        "pool": "night",
        "processors": processors,
        "memory_gb": 4,
        "run_time_s": RUN_TIME_S,
    }


@pytest.fixture
def submitted():
    """The ids of the jobs, with the answers."""
    return {}


@given(parsers.parse('pool "{pool}" with {count:d} hosts and a team that may use them'))
def add_pool(deployment, pool, count):
    deployment.add_pool(pool)
    for team in deployment.entries["team"]:
        team.update(processors_quota=1000, memory_quota_gb=1000)
    for number in range(count):
        deployment.add_backend(f"{pool}-{number}", pool, "dc-a", start=False)


@given(parsers.parse('worker "{host}" fails everything'))
def set_failing(deployment, host):
    deployment.set_platform(failing_hosts=[host])


@given(parsers.parse("the platform will lose {count:d} answers"))
def lose_answers(deployment, count):
    deployment.set_platform(lost_answers=count)


@when(parsers.parse('{count:d} jobs "{name}" are submitted to "{host}"'))
def submit(deployment, submitted, name, count, host):
    for number in range(count):
        submit_one(deployment, submitted, f"{name}-{number}", host, 4)


@when(parsers.parse('{count:d} batch jobs "{name}" fill the pool through "{host}"'))
def fill_pool(deployment, submitted, name, count, host):
    batch = {"work_class": "batch", "run_time_s": BATCH_RUN_TIME_S}
    for number in range(count):
        submit_one(deployment, submitted, f"{name}-{number}", host, 4, batch)

    def all_started():
        return sum(deployment.set_platform()["starts_by_job"].values()) == count

    wait_until(all_started, 60, "all batch started")


@then(
    parsers.parse('urgent jobs "{names}" through "{host}" start within {bound_s:g} s')
)
def check_urgent(deployment, submitted, names, host, bound_s):
    for job_id in names.split(", "):
        urgent = {"work_class": "urgent"}
        submit_one(deployment, submitted, job_id, host, 4, urgent)

        def started(job_id=job_id):
            return job_id in deployment.set_platform()["starts_by_job"]

        wait_until(started, bound_s, f"urgent job {job_id} started")


@when(
    parsers.parse(
        'job "{job_id}" of {processors:d} processors is submitted to "{host}"'
    )
)
def submit_one(deployment, submitted, job_id, host, processors, more=None):
    job = job_values(job_id, processors) | (more or {})

    def answered():
        answer = deployment.operate(host, "POST", "/jobs", job)
        submitted[job_id] = answer
        return answer.status in (200, 201, 422)

    wait_until(answered, 20, f"an answer about {job_id}")


@when(parsers.parse('the entry host that holds duty "{duty}" is killed'))
def kill_holder(deployment, duty):
    row = wait_until(lambda: deployment.read_row("leases", duty), 10, "a lease")
    name = row["value"]["holder"].split("/")[0]
    deployment.entry_host_by_name[name].kill()


@given("the platform takes no task commands")
def refuse_commands(deployment):
    deployment.set_platform(refuses_task_commands=True)


@when("the platform takes task commands again")
def take_commands(deployment):
    deployment.set_platform(refuses_task_commands=False)


@when("the starts of all submitted jobs are open intents")
def check_open(deployment, submitted):
    def are_open():
        keys = [f"scheduling/{job_id}/1/start" for job_id in submitted]
        return all("value" in deployment.read_row("intents", key) for key in keys)

    wait_until(are_open, 20, "open intents")


@then(parsers.parse("all submitted jobs are done within {timeout_s:g} s"))
def check_done(deployment, submitted, timeout_s):
    def done():
        rows = [deployment.read_row("history", f"job/{key}") for key in submitted]
        return all(row.get("value", {}).get("state") == "done" for row in rows)

    wait_until(done, timeout_s, "all jobs are done")


@then(parsers.parse("each submitted job was started {count:d} time"))
def check_starts(deployment, submitted, count):
    state = deployment.set_platform()
    assert state["starts_by_job"] == dict.fromkeys(submitted, count)
    assert state["most_at_once"] == 1


@then(parsers.parse('it is refused with "{code}"'))
def check_refused(submitted, code):
    (answer,) = submitted.values()
    assert answer.status == 422
    assert code in [finding["code"] for finding in answer.json()["findings"]]


@pytest.fixture
def refused():
    """The ids of the jobs whose submission was refused."""
    return []


@then(
    parsers.parse(
        'at "{hosts}" all calls about job "{job_id}" are refused with "{code}"'
    )
)
def check_unavailable(deployment, refused, hosts, job_id, code):
    for host in names(hosts):
        refused.append(f"refused-at-{host}")
        calls = (
            ("POST", "/jobs", job_values(refused[-1], 4)),
            ("DELETE", f"/jobs/{job_id}", None),
            ("POST", f"/jobs/{job_id}/release", {}),
            ("GET", "/jobs", None),
        )
        for method, path, body in calls:
            answer = deployment.operate(host, method, path, body)
            assert (answer.status, answer.json().get("code")) == (503, code), answer


@then("nothing is known of the refused submissions")
def check_unknown(deployment, refused):
    assert refused
    for job_id in refused:
        assert deployment.operate("e1", "GET", f"/jobs/{job_id}").status == 404
        assert job_id not in deployment.set_platform()["starts_by_job"]
