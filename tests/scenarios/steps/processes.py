"""Steps that start, stop and signal processes."""

import time

from pytest_bdd import given, parsers, then, when

from tests.deployment import Program, wait_until
from tests.scenarios.steps import names

QUICK_FLEET = {
    "work": {"view_s": 2, "drain_s": 5, "reboot_min_s": 3, "warm_s": 1},
    "lease": {"settle_s": 600},
}
ACTS = {
    "killed": Program.kill,
    "frozen": Program.freeze,
    "resumed": Program.resume,
    "started again": Program.start,
    "told to stop": Program.terminate,
}


@given(
    parsers.parse('service "{service}" with backend servers "{hosts}" in "{centre}"')
)
def start_service(deployment, service, hosts, centre):
    deployment.add_pool(service)
    deployment.add_service(service)
    for host in names(hosts):
        deployment.add_backend(host, service, centre)


@given(parsers.parse('more backend servers "{hosts}" for "{pool}" in rack "{rack}"'))
def add_rack(deployment, hosts, pool, rack):
    for host in names(hosts):
        deployment.add_backend(host, pool, "dc-a", rack=rack)


@given(parsers.parse('pool "{name}" beside it'))
def add_pool(deployment, name):
    deployment.add_pool(name, buffer_hosts=1)


@given(parsers.parse('pool "{pool}" lets {count:d} hosts be down'))
def set_hosts_down_limit(deployment, pool, count):
    for entry in deployment.entries["pool"]:
        if entry["name"] == pool:
            entry["hosts_down_limit"] = count


@given("quick fleet duties")
def set_quick_duties(deployment):
    deployment.extra_settings["fleet"] = QUICK_FLEET


@given(parsers.parse("leases of {lease_s:g} s"))
def set_lease(deployment, lease_s):
    lease = {"lease_s": lease_s, "margin_s": lease_s / 4, "renewal_s": lease_s / 4}
    fleet = deployment.extra_settings["fleet"]
    fleet = fleet | {"lease": fleet["lease"] | lease}
    deployment.extra_settings["fleet"] = fleet


@given(parsers.parse("drains of {drain_s:g} s where requests can't be counted"))
def set_drain(deployment, drain_s):
    fleet = deployment.extra_settings["fleet"]
    work = fleet["work"] | {"drain_s": drain_s}
    deployment.extra_settings["fleet"] = fleet | {"work": work}


@given(parsers.parse("repair of hosts that are not listed for {unlisted_s:g} s"))
def set_repair(deployment, unlisted_s):
    fleet = deployment.extra_settings["fleet"]
    deployment.extra_settings["fleet"] = fleet | {"repair": {"unlisted_s": unlisted_s}}


@given("the platform")
def start_platform(deployment):
    deployment.start_platform()


@given(parsers.parse('entry hosts "{hosts}" in "{centre}"'))
def start_entry_hosts(deployment, hosts, centre):
    for host in names(hosts):
        deployment.start_entry_host(host, centre)


@when(parsers.parse('one more entry host "{name}" starts in "{centre}"'))
def start_without_waiting(deployment, name, centre):
    deployment.start_entry_host(name, centre, ready=False)


@when(parsers.parse('entry hosts "{hosts}" are killed'))
def kill_entry_hosts(deployment, hosts):
    for host in names(hosts):
        deployment.entry_host_by_name[host].kill()


@when(parsers.re(f'entry host "(?P<name>[^"]*)" is (?P<act>{"|".join(ACTS)})'))
def act_on_entry_host(deployment, name, act):
    ACTS[act](deployment.entry_host_by_name[name])


@when(parsers.parse('backend server "{name}" is killed'))
def kill_backend(deployment, name):
    deployment.backend_by_name[name].kill()


@then(parsers.parse('within {bound_s:g} s entry host "{name}" is ready'))
def check_ready(deployment, bound_s, name):
    wait_until(lambda: deployment.is_ready(name), bound_s, f"{name} is ready")


@then(parsers.parse('entry host "{name}" is not ready for {time_s:g} s'))
def check_not_ready(deployment, name, time_s):
    wait_until(lambda: deployment.answers_health(name), 15, f"{name} runs")
    deadline = time.monotonic() + time_s
    while time.monotonic() < deadline:
        assert not deployment.is_ready(name)
        time.sleep(0.2)


@then(parsers.parse('entry host "{name}" ends by itself within {timeout_s:g} s'))
def check_ended(deployment, name, timeout_s):
    process = deployment.entry_host_by_name[name].process
    assert process.wait(timeout_s) == 0
    assert "event=stopped cut=0" in deployment.entry_host_by_name[name].log()


@when(parsers.re("(?P<seconds>[0-9.]+) s pass(?: under load)?"))
def let_pass(seconds):
    seconds = float(seconds)
    end_s = time.monotonic() + seconds
    wait_until(lambda: time.monotonic() > end_s, seconds + 5)
