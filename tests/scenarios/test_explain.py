"""Explanations over separate processes: asked anywhere, through kills and outages."""

import threading
import urllib.parse

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from tests.deployment import wait_until
from tests.scenarios.steps import names
from tests.scenarios.steps.configuration import wait_for_status
from tests.scenarios.steps.duties import holder_of

scenarios("explain.feature")

given("the entry hosts know that their configuration is in force")(wait_for_status)


def explain(deployment, entry_host, kind, subject_id):
    subject = urllib.parse.quote(subject_id, safe="")
    return deployment.operate(entry_host, "GET", f"/explain/{kind}/{subject}")


def codes_of(answer):
    return [decision["code"] for decision in answer.json()["decisions"]]


@pytest.fixture
def told():
    """The answers of the last question, by entry host."""
    return {}


@pytest.fixture
def killed():
    """The entry hosts that a step killed."""
    return []


@when(parsers.parse('a caller waits for an answer of "{host}" through "{entry_host}"'))
def wait_at_backend(deployment, host, entry_host):
    def send():
        deployment.request(entry_host, "GET", "/lodgements/x")

    def reached():
        if deployment.backend_state(host)["in_flight"]:
            return True
        threading.Thread(target=send, daemon=True).start()
        return False

    wait_until(reached, 10, f"a request is in flight at {host}")


@when(parsers.parse('an operator begins the move of "{host}" to "{pool}" at "{at}"'))
def begin_move(deployment, host, pool, at):
    answer = deployment.operate(at, "POST", f"/hosts/{host}/move", {"pool": pool})
    assert answer.status == 202, answer


@when(
    parsers.parse(
        'an operator begins the move of "{host}" to "{pool}"'
        ' at the holder of duty "{duty}"'
    )
)
def begin_at_holder(deployment, host, pool, duty):
    wait_until(lambda: holder_of(deployment, duty), 15, f"{duty} is held")
    begin_move(deployment, host, pool, holder_of(deployment, duty))


@when(parsers.parse('the move of "{host}" to "{pool}" is over'))
def wait_moved(deployment, host, pool):
    def is_over():
        value = deployment.read_row("hosts", host)["value"]
        return (value["pool"], value["state"]) == (pool, "in-service")

    wait_until(is_over, 40, f"{host} is in {pool}")


@when(parsers.parse('the holder of duty "{duty}" ends by a kill'))
def kill_holder(deployment, killed, duty):
    killed.append(holder_of(deployment, duty))
    deployment.entry_host_by_name[killed[0]].kill()


@then(
    parsers.parse(
        'within {bound_s:g} s every entry host says of host "{host}" "{reason}"'
    )
)
def check_everywhere(deployment, bound_s, host, reason):
    def is_told(at):
        answer = explain(deployment, at, "host", host)
        return answer.status == 200 and answer.json()["reason"] == reason

    for at in deployment.entry_host_by_name:
        wait_until(lambda at=at: is_told(at), bound_s, f"{reason} at {at}")


@then(
    parsers.parse(
        'within {bound_s:g} s every entry host tells of host "{host}" the decisions'
    )
)
def check_decisions(deployment, bound_s, host, datatable):
    wanted = [row[0] for row in datatable[1:]]

    def in_order(at):
        seen = iter(codes_of(explain(deployment, at, "host", host)))
        return all(code in seen for code in wanted)

    for at in deployment.entry_host_by_name:
        wait_until(lambda at=at: in_order(at), bound_s, f"{wanted} at {at}")


@then(
    parsers.parse(
        'within {bound_s:g} s each other entry host says of host "{host}" "{reason}"'
    )
)
def check_others(deployment, told, killed, bound_s, host, reason):
    for at in deployment.entry_host_by_name.keys() - set(killed):
        told[at] = explain(deployment, at, "host", host)
        assert told[at].latency_s <= bound_s
        assert told[at].json()["reason"] == reason


@then(parsers.parse('its last decision comes from "{source}"'))
def check_source(told, source):
    for answer in told.values():
        assert answer.json()["decisions"][-1]["source"] == source


@then("the killed entry host is named silent")
def check_killed_silent(told, killed):
    assert [answer.json()["silent"] for answer in told.values()] == [killed, killed]


@then(parsers.parse('the answer at "{at}" about host "{host}" comes within {s:g} s'))
def check_in_time(deployment, told, at, host, s):
    told[at] = explain(deployment, at, "host", host)
    assert told[at].status == 200, told[at]
    assert told[at].latency_s <= s


@then(parsers.parse('it names "{name}" as silent'))
def check_silent_named(told, name):
    (answer,) = told.values()
    assert answer.json()["silent"] == [name]


@then("it says that the platform is silent")
def check_platform_silent(told):
    (answer,) = told.values()
    assert answer.json()["platform"] == "silent"


@then(parsers.parse('it tells "{code}" from "{source}"'))
def check_told_from(told, code, source):
    (answer,) = told.values()
    decisions = answer.json()["decisions"]
    assert source in [d["source"] for d in decisions if d["code"] == code]


@then(parsers.parse('"{at}" explains "{request_id}" by its id with "{codes}"'))
def check_by_id(deployment, answers, at, request_id, codes):
    given_id = answers[request_id].headers["rhubarbmount-request-id"]
    answer = explain(deployment, at, "request", given_id)
    assert codes_of(answer) == names(codes), answer


@then(parsers.parse('"{at}" explains "{request_id}" by its key with "{code}"'))
def check_by_key(deployment, at, request_id, code):
    key = f"lodgements/{request_id}"

    def is_told():
        answer = explain(deployment, at, "request", key)
        return answer.status == 200 and code in codes_of(answer)

    wait_until(is_told, 5, f"{code} at {at}")


@then(
    parsers.parse(
        'within {bound_s:g} s "{at}" says that entry "{key}"'
        ' is not in force at "{name}"'
    )
)
def check_not_in_force(deployment, edits, bound_s, at, key, name):
    assert edits[-1].status == 200, edits[-1]
    version = edits[-1].json()["version"]

    def is_told():
        last = explain(deployment, at, "entry", key).json()["decisions"][-1]
        late = last["code"] == "not-in-force" and last["catalogue_version"] == version
        return (
            late and last["reason"].startswith(f"{name} ") and ";" not in last["reason"]
        )

    wait_until(is_told, bound_s, f"{name} is late")


@then(parsers.parse('within {bound_s:g} s "{at}" says that entry "{key}" is in force'))
def check_entry_in_force(deployment, bound_s, at, key):
    def is_told():
        last = explain(deployment, at, "entry", key).json()["decisions"][-1]
        return (last["code"], last["reason"]) == ("in-force", "")

    wait_until(is_told, bound_s, f"{key} is in force")
