"""The steps that scenarios are written in."""

import pytest
from pytest_bdd import given, parsers, then, when

from tests.deployment import Deployment


def names(text):
    """Split a list of names."""
    return [name.strip() for name in text.split(",")]


@pytest.fixture
def deployment(tmp_path):
    with Deployment(tmp_path) as deployment:
        yield deployment


@pytest.fixture
def answers():
    """The answers that callers got, by request id."""
    return {}


@given(
    parsers.parse('service "{service}" with backend servers "{hosts}" in "{centre}"')
)
def start_service(deployment, service, hosts, centre):
    deployment.add_pool(service)
    deployment.add_service(service)
    for host in names(hosts):
        deployment.add_backend(host, service, centre)


@given("the platform")
def start_platform(deployment):
    deployment.start_platform()


@given(parsers.parse('entry hosts "{hosts}" in "{centre}"'))
def start_entry_hosts(deployment, hosts, centre):
    for host in names(hosts):
        deployment.start_entry_host(host, centre)


@when(
    parsers.parse('a caller sends lodgement "{request_id}" for "{service}" to "{host}"')
)
def send_lodgement(deployment, answers, request_id, service, host):
    headers = {"request-id": request_id, "idempotency-key": request_id}
    body = f"accounts of {request_id}"
    answers[request_id] = deployment.request(
        host, "POST", f"/{service}/lodgements", headers, body
    )


@then(
    parsers.parse('the answer to "{request_id}" is {status:d} with outcome "{outcome}"')
)
def check_answer(answers, request_id, status, outcome):
    answer = answers[request_id]
    assert (answer.status, answer.outcome) == (status, outcome), answer


@then(parsers.parse('the answer to "{request_id}" is its own'))
def check_own_answer(answers, request_id):
    assert answers[request_id].json()["request_id"] == request_id


@then(parsers.parse('the backend servers ran "{request_id}" {count:d} time'))
@then(parsers.parse('the backend servers ran "{request_id}" {count:d} times'))
def check_runs(deployment, request_id, count):
    assert deployment.run_count(request_id) == count
