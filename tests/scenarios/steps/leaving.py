"""Steps about backend servers that are leaving."""

import time

from pytest_bdd import parsers, then, when

from tests.deployment import wait_until
from tests.scenarios.steps import names


@when(parsers.parse('the row of backend server "{name}" says that it is leaving'))
def mark_leaving(deployment, marked_s, name):
    deployment.change_host(name, state="leaving", cause="test")
    marked_s[name] = time.time()


@when(parsers.parse('backend server "{name}" itself says that it is leaving'))
def say_leaving(deployment, marked_s, name):
    deployment.set_backend(name, leaving=True)
    marked_s[name] = time.time()


@then(parsers.parse('backend server "{name}" got no new work later than {bound_s:g} s'))
def check_no_new_work(deployment, marked_s, name, bound_s):
    last_s = deployment.backend_state(name)["last_start_s"]
    assert last_s - marked_s[name] <= bound_s


@then(
    parsers.parse('backend server "{name}" was sent nothing later than {bound_s:g} s')
)
def check_nothing_sent(deployment, marked_s, name, bound_s):
    last_s = deployment.backend_state(name)["last_request_s"]
    assert last_s - marked_s[name] <= bound_s


@then(parsers.parse('backend server "{name}" still got work later than {bound_s:g} s'))
def check_new_work(deployment, marked_s, name, bound_s):
    (first_s,) = marked_s.values()
    assert deployment.backend_state(name)["last_start_s"] - first_s > bound_s


@when(parsers.parse('entry hosts "{entry_hosts}" have ejected "{host}"'))
def wait_for_ejection(deployment, entry_hosts, host):
    def have_ejected():
        logs = [deployment.entry_host_by_name[n].log() for n in names(entry_hosts)]
        return all(f"host_id={host} action=ejected" in log for log in logs)

    wait_until(have_ejected, 30, f"{host} is ejected at {entry_hosts}")


@when(parsers.parse('the list of live hosts says that "{name}" is leaving'))
def list_as_leaving(deployment, marked_s, name):
    deployment.set_platform(leaving_hosts=[name])
    marked_s[name] = time.time()


@when("the list of live hosts says that no host is leaving")
def list_none_as_leaving(deployment):
    deployment.set_platform(leaving_hosts=[])


@then(parsers.parse('within {bound_s:g} s backend server "{name}" gets new work'))
def check_work_again(deployment, bound_s, name):
    before = deployment.backend_state(name)["ran_count"]

    def gets_work():
        for entry_host in deployment.entry_host_by_name:
            deployment.request(entry_host, "GET", "/lodgements/x")
        return deployment.backend_state(name)["ran_count"] > before

    wait_until(gets_work, bound_s, f"{name} gets new work")
