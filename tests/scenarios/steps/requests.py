"""Steps about single requests and what became of them."""

import threading

from pytest_bdd import parsers, then, when

from tests.checkers import is_own
from tests.deployment import wait_until


@when(
    parsers.re(
        'a caller sends lodgement "(?P<request_id>[^"]*)" for "(?P<service>[^"]*)"'
        ' to "(?P<host>[^"]*)"'
    )
)
def send_lodgement(deployment, answers, request_id, service, host):
    headers = {"request-id": request_id, "idempotency-key": request_id}
    body = f"accounts of {request_id}"
    answers[request_id] = deployment.request(
        host, "POST", f"/{service}/lodgements", headers, body
    )


@when(
    parsers.parse(
        'a caller sends lodgement "{key}" for "{service}" to "{host}" until it is told'
        ' "{outcome}"'
    )
)
def send_until(deployment, answers, key, service, host, outcome):
    def is_told():
        send_lodgement(deployment, answers, key, service, host)
        return answers[key].outcome == outcome

    wait_until(is_told, 10, f"{key} is told {outcome}")


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


@then(parsers.parse('a lodgement sent to "{host}" reads a whole answer'))
def check_whole_answer(deployment, host):
    answer = deployment.request(host, "GET", "/lodgements/x")
    assert (answer.status, answer.outcome) == (200, "ran"), answer


@when(parsers.parse('{count:d} callers at once send lodgements to "{host}"'))
def send_at_once(deployment, answers, count, host):
    def send(number):
        request_id = f"at-once-{number}"
        headers = {"request-id": request_id, "idempotency-key": request_id}
        answers[request_id] = deployment.request(
            host, "POST", "/lodgements/x", headers, "accounts"
        )

    threads = [threading.Thread(target=send, args=(n,)) for n in range(count)]
    answers["threads"] = threads
    for thread in threads:
        thread.start()


@then(parsers.parse("the {count:d} callers got their own whole answers"))
def check_at_once(answers, count):
    for thread in answers.pop("threads"):
        thread.join()
    wanted = [f"at-once-{number}" for number in range(count)]
    assert [key for key in wanted if not is_own(key, answers[key])] == []


@when(parsers.parse("{count:d} requests are in flight at the backend servers"))
def wait_in_flight(deployment, count):
    def in_flight():
        states = map(deployment.backend_state, deployment.backend_by_name)
        return sum(state["in_flight"] for state in states) >= count

    wait_until(in_flight, 5, f"{count} requests in flight")
