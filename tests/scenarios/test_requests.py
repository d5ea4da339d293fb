"""Where requests go, and what one service's flood does to another."""

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from tests.deployment import wait_until
from tests.flood import Flood
from tests.load import MeasuredLoad
from tests.scenarios.steps import names

scenarios("requests.feature")


@pytest.fixture
def flood():
    """The callers that flood a service."""
    loads = []
    yield loads
    for load in loads:
        load.stop()


@given(parsers.parse("entry hosts that run at most {count:d} requests at once"))
def limit_requests(deployment, count):
    deployment.extra_settings = {"max_in_flight": count}


@given(parsers.parse('measured callers sending lodgements to "{hosts}"'))
def start_measured_load(deployment, load, hosts):
    load.append(MeasuredLoad(deployment, "lodgements", names(hosts)))
    load[0].__enter__()
    wait_until(lambda: len(load[0].answer_by_id) > 20, 10, "20 answers")


@when(parsers.parse('{count:d} callers flood "{service}" at "{host}"'))
def start_flood(deployment, flood, count, service, host):
    address = deployment.entry_host_by_name[host].address
    flood.append(Flood(address, service, count))
    flood[0].wait_refused(20)


@then(parsers.parse("at most {count:d} requests were answered with an error"))
def check_errors(load, count):
    # Callers go on meanwhile; a list is made at once.
    answers = list(load[0].answer_by_id.values())
    statuses = [answer.status for answer in answers]
    assert 0 < statuses.count(500) <= count


@then(
    parsers.parse(
        "every lodgement ran and took the entry host at most {bound_s:g} s beside the "
        "time that it had no processor"
    )
)
def check_served(load, bound_s):
    load[0].stop()
    for request_id, answer in load[0].answer_by_id.items():
        assert (answer.status, answer.outcome) == (200, "ran"), answer
        own_s = load[0].own_latency_s(request_id)
        assert own_s <= bound_s, (own_s, answer)


@then(parsers.parse("every lodgement was answered within {bound_s:g} s"))
def check_answered(load, bound_s):
    for answer in load[0].answer_by_id.values():
        assert answer.latency_s <= bound_s, answer


@then(parsers.parse('every refused request of "{service}" surely did not run'))
def check_refused(deployment, flood, service):
    flood[0].stop()
    runs = deployment.runs_by_id()
    for request_id, answer in flood[0].answer_by_id.items():
        if answer.status == 503:
            assert int(answer.headers["retry-after"]) >= 1
            assert answer.outcome in ("not-run", "unknown")
            assert runs[request_id] == 0, answer
