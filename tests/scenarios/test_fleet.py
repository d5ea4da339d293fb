"""Fleet duties over separate processes: a killed holder, and a wave under load."""

from collections import Counter

import pytest
from pytest_bdd import parsers, scenarios, then, when

from tests.deployment import wait_until

scenarios("fleet.feature")


def holder_of(deployment, duty):
    row = deployment.platform_call("GET", f"/tables/leases/rows/{duty}")
    return row.json()["value"]["holder"].split("/")[0] if row.status == 200 else ""


@pytest.fixture
def frozen():
    return []


@when(parsers.parse('the holder of duty "{duty}" is frozen'))
def freeze_holder(deployment, duty, frozen):
    wait_until(lambda: holder_of(deployment, duty), 15, f"{duty} is held")
    frozen.append(holder_of(deployment, duty))
    deployment.entry_host_by_name[frozen[0]].freeze()


@when(parsers.parse('the other entry host begins the move of "{host}" to "{pool}"'))
def begin_move(deployment, frozen, host, pool):
    other = next(name for name in deployment.entry_host_by_name if name != frozen[0])
    answer = deployment.operate(other, "POST", f"/hosts/{host}/move", {"pool": pool})
    assert answer.status == 202, answer


@when(parsers.parse('the holder of duty "{duty}" is killed'))
def kill_holder(deployment, frozen, duty):
    assert drain_count(deployment, "h1") == 0
    deployment.entry_host_by_name[frozen[0]].kill()


@when(parsers.parse('the successor of duty "{duty}" has begun to drain "{host}"'))
def wait_for_successor(deployment, frozen, duty, host):
    def has_begun():
        holder = holder_of(deployment, duty)
        return holder not in ("", *frozen) and drain_count(deployment, host) == 1

    wait_until(has_begun, 30, f"a successor drains {host}")


@when(parsers.parse('the holder of duty "{duty}" is killed after its drain'))
def kill_successor(deployment, duty):
    deployment.entry_host_by_name[holder_of(deployment, duty)].kill()


@when("the frozen holder is resumed")
def resume_holder(deployment, frozen):
    deployment.entry_host_by_name[frozen[0]].resume()


@when(parsers.parse("the platform takes {delay_s:g} s for each call"))
def slow_platform(deployment, delay_s):
    deployment.set_platform(delay_s=delay_s)


def drain_count(deployment, host):
    lines = deployment.platform.log().splitlines()
    wanted = f"event=host-command host={host} action=drain"
    return sum(wanted in line for line in lines)


@then(parsers.parse('the platform was told to drain "{host}" {count:d} time'))
def check_drains(deployment, host, count):
    assert drain_count(deployment, host) == count


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


@then(parsers.parse("at no time more than {count:d} host was out of service"))
def check_budget(states, count):
    assert max(states) == count
