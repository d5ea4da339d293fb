"""Steps that bring about faults of the platform and of backend servers."""

from pytest_bdd import parsers, when

from tests.deployment import wait_until
from tests.scenarios.steps import names

PLATFORM_CHANGES = {
    "goes down": {"down": True},
    "comes back": {"down": False},
    "loses the answer of the next write": {"lost_answers": 1},
}


@when(
    parsers.re(
        'entry host "(?P<name>[^"]*)" is (?P<change>cut off from|joined again with)'
        " the platform"
    )
)
def cut_from_platform(deployment, name, change):
    relay = deployment.relay_by_name[f"{name}-platform"]
    {"cut off from": relay.cut, "joined again with": relay.heal}[change]()


@when(parsers.re(f"the platform (?P<change>{'|'.join(PLATFORM_CHANGES)})"))
def change_platform(deployment, change):
    deployment.set_platform(**PLATFORM_CHANGES[change])


@when("the platform's head is put back to the first catalogue")
def put_head_back(deployment):
    head = deployment.read_row("heads", "catalogue")
    value = {"version": head["value"]["version"] - 1, "object": "catalogue/seed"}
    write = {"table": "heads", "key": "catalogue", "value": value}
    transaction = {"operation_id": "put-back", "preconditions": [], "writes": [write]}
    answer = deployment.platform_call("POST", "/transactions", transaction)
    assert answer.json()["committed"], answer


@when(parsers.parse('backend server "{host}" {fault} the next {count:d} answers'))
def set_answer_fault(deployment, host, fault, count):
    switch = {
        "cuts": "cut_answers",
        "truncates": "truncate_answers",
        "adds a surplus to": "surplus_answers",
    }[fault]
    deployment.set_backend(host, **{switch: count})


@when(parsers.parse('backend servers "{hosts}" have used up their faults'))
def wait_for_faults(deployment, hosts):
    def used_up():
        states = [deployment.backend_state(host)["faults"] for host in names(hosts)]
        switches = ("cut_answers", "truncate_answers", "surplus_answers")
        return not any(state[switch] for state in states for switch in switches)

    wait_until(used_up, 30, f"faults of {hosts} are used up")


@when(parsers.parse('backend server "{host}" takes {delay_s:g} s for each request'))
def set_delay(deployment, host, delay_s):
    deployment.set_backend(host, delay_s=delay_s)


@when(parsers.parse('the guard of backend server "{host}" refuses everything'))
def set_guard(deployment, host):
    deployment.set_backend(host, guard_full=True)


@when(parsers.parse("the platform takes {delay_s:g} s for each call"))
def slow_platform(deployment, delay_s):
    deployment.set_platform(delay_s=delay_s)


@when(parsers.parse("the platform loses the answers of the next {count:d} writes"))
def lose_answers(deployment, count):
    deployment.set_platform(lost_answers=count)


@when(parsers.parse('the list of live hosts lacks "{hosts}"'))
def lose_from_list(deployment, hosts):
    deployment.set_platform(lost_hosts=names(hosts))


@when("the list of live hosts is whole again")
def make_list_whole(deployment):
    deployment.set_platform(lost_hosts=[])


@when(parsers.parse('backend server "{host}" answers everything with an error'))
def make_fail(deployment, host):
    deployment.set_backend(host, status=500)


@when(parsers.parse('backend server "{host}" answers without errors again'))
def make_succeed(deployment, host):
    deployment.set_backend(host, status=200)


@when(parsers.parse("the list of live hosts lags by {lag_s:g} s"))
def delay_list(deployment, lag_s):
    deployment.set_platform(host_list_lag_s=lag_s)
