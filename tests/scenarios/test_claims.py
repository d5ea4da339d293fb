"""Keyed lodgements over separate processes."""

import threading

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from tests.deployment import wait_until
from tests.scenarios.steps import names
from tests.scenarios.steps.requests import send_lodgement

scenarios("claims.feature", "issued_keys.feature")


@pytest.fixture
def begun():
    """The callers that wait for an answer, by lodgement."""
    return {}


@when(
    parsers.parse(
        'a caller begins to send lodgement "{key}" for "{service}" to "{host}"'
    )
)
def begin_to_send(deployment, begun, key, service, host):
    answers = {}
    arguments = (deployment, answers, key, service, host)
    thread = threading.Thread(target=send_lodgement, args=arguments)
    thread.start()
    begun[key] = (thread, answers)


@when(parsers.parse('the caller that began to send "{key}" has its answer'))
def wait_for_answer(answers, begun, key):
    thread, own_answers = begun[key]
    thread.join(15)
    answers[key] = own_answers[key]


@when(parsers.parse('lodgement "{key}" for "{service}" is sent to "{hosts}" at once'))
def send_to_all(deployment, answers, key, service, hosts):
    begun = {}
    for host in names(hosts):
        one = {}
        begin_to_send(deployment, one, key, service, host)
        begun[host] = one[key]
    answers[key] = []
    for thread, own_answers in begun.values():
        thread.join(15)
        answers[key].append(own_answers[key])


@then(parsers.parse('the answers to "{key}" are "{wanted}"'))
def check_answers(answers, key, wanted):
    found = sorted(f"{answer.status} {answer.outcome}" for answer in answers[key])
    assert found == names(wanted)


@given(parsers.parse('the owner of "{service}" chose "{choice}" for outages'))
def choose_for_outages(deployment, service, choice):
    for entry in deployment.entries["service"]:
        if entry["name"] == service:
            entry["outage_choice"] = choice


@pytest.fixture
def issued():
    """The last answer to a request for a key."""
    return {}


@when(parsers.parse('entry host "{host}" is asked for a key to "{service}"'))
def ask_for_key(deployment, issued, host, service):
    issued["answer"] = deployment.request(host, "POST", f"/-/keys/{service}")


@then(parsers.parse('it answers {status:d} with code "{code}"'))
def check_no_key(issued, status, code):
    answer = issued["answer"]
    assert (answer.status, answer.json()["code"]) == (status, code)


@when(parsers.parse('entry host "{host}" has issued a key to "{service}"'))
def wait_for_key(deployment, issued, host, service):
    def is_issued():
        ask_for_key(deployment, issued, host, service)
        return issued["answer"].status == 201

    wait_until(is_issued, 15, "a key is issued")


@when(parsers.parse('lodgement "{name}" is sent to "{host}" under the issued key'))
def send_under_key(deployment, issued, answers, name, host):
    key = issued["answer"].json()["key"]
    headers = {"request-id": name, "idempotency-key": key}
    answers[name] = deployment.request(
        host, "POST", "/lodgements/lodgements", headers, f"accounts of {name}"
    )


@when(parsers.parse('entry host "{host}" is ready again'))
def wait_ready_again(deployment, host):
    deployment.wait_ready(host)
