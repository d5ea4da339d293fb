"""Racing operators: each race has one winner, and nothing in between is seen."""

import threading

import pytest
from pytest_bdd import parsers, scenarios, then, when

from tests.deployment import wait_until
from tests.scenarios.steps import names

scenarios("racing.feature")


def at_once(calls):
    """Make calls in threads that start together; return their answers."""
    answers = [None] * len(calls)
    barrier = threading.Barrier(len(calls))

    def run(number):
        barrier.wait()
        answers[number] = calls[number]()

    threads = [threading.Thread(target=run, args=(n,)) for n in range(len(calls))]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return answers


@pytest.fixture
def raced():
    return []


@when(parsers.parse('operators at once move "{moves}"'))
def move_at_once(deployment, watch, raced, moves):
    entry_hosts = sorted(deployment.entry_host_by_name)

    def move(number, host, pool):
        entry_host = entry_hosts[number % len(entry_hosts)]
        path = f"/hosts/{host}/move"
        return lambda: deployment.operate(entry_host, "POST", path, {"pool": pool})

    pairs = [item.split(" to ") for item in names(moves)]
    calls = [move(number, *pair) for number, pair in enumerate(pairs)]
    raced.extend(at_once(calls))


@then(parsers.parse("{count:d} of the moves was begun"))
def check_begun(raced, count):
    statuses = sorted(answer.status for answer in raced)
    assert statuses == [202] * count + [409] * (len(raced) - count), raced


@then(parsers.parse("every host is in service in one pool within {bound_s:g} s"))
def check_settled(watch, bound_s):
    def settled():
        if not watch.looks:
            return False
        states = [(value["state"], value["pool"]) for _, value in watch.looks[-1].rows]
        left = sum(pool != "lodgements" for _, pool in states)
        return left == 1 and all(state == "in-service" for state, _ in states)

    wait_until(settled, bound_s, "the begun move is done")


@then(parsers.parse('at no time more than {limit:d} host of "{pool}" had left service'))
def check_down(watch, limit, pool):
    for look in watch.looks:
        rows = look.rows
        gone = [v for _, v in rows if v["pool"] != pool or v["state"] != "in-service"]
        assert len(gone) <= limit


@when(parsers.parse('at "{hosts}" operators at once set "{field}" of {kind} "{name}"'))
def edit_at_once(deployment, raced, hosts, field, kind, name):
    path = f"/entries/{kind}/{name}"
    entry = deployment.operate(names(hosts)[0], "GET", path).json()

    def edit(entry_host, value):
        body = {
            "values": entry["values"] | {field: value},
            "expected_version": entry["version"],
        }
        return lambda: deployment.operate(entry_host, "PUT", path, body)

    calls = [edit(host, 20 + n) for n, host in enumerate(names(hosts))]
    raced.extend(at_once(calls))


@then(parsers.parse("{count:d} of the edits was accepted"))
def check_accepted_once(raced, count):
    statuses = sorted(answer.status for answer in raced)
    assert statuses == [200] * count + [409] * (len(raced) - count), raced


@then(parsers.parse('within {bound_s:g} s the accepted value is in force at "{hosts}"'))
def check_winner(deployment, raced, bound_s, hosts):
    winner = next(n for n, answer in enumerate(raced) if answer.status == 200)

    def in_force():
        path = "/entries/service/lodgements"
        entries = [deployment.operate(h, "GET", path).json() for h in names(hosts)]
        return {e["values"]["concurrency"] for e in entries} == {20 + winner}

    wait_until(in_force, bound_s, "the winner's value is in force")
