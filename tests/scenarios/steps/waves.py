"""Steps about waves and budgets."""

from collections import Counter

from pytest_bdd import parsers, then, when

from tests.checkers import broken_budgets
from tests.deployment import wait_until


@when("an operator starts a wave")
def start_wave(deployment, rebooter):
    """Start a wave; backend servers restart as soon as their hosts are maintained."""
    answer = deployment.operate("e1", "POST", "/waves", {})
    assert answer.status == 202, answer


@when("a host is being maintained")
def wait_for_maintenance(rebooter):
    wait_until(lambda: rebooter.host_ids, 30, "a host is rebooted")


@then(parsers.parse("every host is rebooted and the wave is done within {bound_s:g} s"))
def check_wave_done(deployment, rebooter, bound_s):
    def done():
        answer = deployment.operate("e1", "GET", "/waves")
        return answer.status == 200 and answer.json()["waves"][0]["state"] == "done"

    wait_until(done, bound_s, "the wave is done")
    assert sorted(rebooter.host_ids) == sorted(
        host["host_id"] for host in deployment.hosts
    )


@then(
    parsers.parse("every host is rebooted once and the wave is done within {limit:d} s")
)
def check_wave(deployment, rebooter, states, limit):
    """Count the hosts that are out of service until the wave is done."""

    def is_done():
        rows = [deployment.read_row("hosts", host["host_id"]) for host in hosts]
        out = [row for row in rows if row["value"]["state"] != "in-service"]
        states.append(len(out))
        waves = deployment.operate("e1", "GET", "/waves").json()["waves"]
        return waves[0]["state"] == "done"

    hosts = deployment.hosts
    wait_until(is_done, limit, "the wave is done")
    assert sorted(rebooter.host_ids) == sorted(host["host_id"] for host in hosts)


@when("another host is being maintained")
def wait_for_next_maintenance(rebooter):
    count = len(rebooter.host_ids)
    wait_until(lambda: len(rebooter.host_ids) > count, 30, "one more host is rebooted")


@when("the hosts that were maintained are in service again")
def wait_for_return(deployment, rebooter):
    def have_returned():
        rows = [deployment.read_row("hosts", name) for name in rebooter.host_ids]
        return all(row["value"]["state"] == "in-service" for row in rows)

    wait_until(have_returned, 40, "the maintained hosts are in service")


@then(parsers.parse('the budget of "{pool}" held'))
def check_budget(watch, pool):
    assert broken_budgets(watch.looks, pool) == []


@then(
    parsers.parse(
        'the budget of "{pool}" of {hosts:d} hosts in {racks:d} rack held so far'
    )
)
@then(parsers.parse('the budget of "{pool}" of {hosts:d} hosts in {racks:d} rack held'))
def check_wide_budget(watch, pool, hosts, racks):
    assert broken_budgets(watch.looks, pool, hosts, racks) == []


@then(parsers.parse("at no time more than {count:d} host was out of service"))
def check_states(states, count):
    assert max(states) == count


@when(parsers.parse("each request takes the backend servers {delay_s:g} s"))
def slow_down(deployment, delay_s):
    deployment.backend_delay_s = delay_s
    for name in deployment.backend_by_name:
        deployment.set_backend(name, delay_s=delay_s)


@then("no request was cut in flight")
def check_in_flight(load):
    load[0].stop()
    outcomes = Counter(answer.outcome for answer in load[0].answer_by_id.values())
    assert outcomes["unknown"] == 0 < outcomes["ran"], outcomes
