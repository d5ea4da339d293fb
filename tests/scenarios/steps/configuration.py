"""Steps about entries and the version in force."""

import time

from pytest_bdd import parsers, then, when

from tests.checkers import reverted_versions
from tests.deployment import wait_until
from tests.scenarios.steps import names


@when(
    parsers.parse(
        'operator "{operator}" sets "{field}" of {kind} "{name}" to {value:d}'
    )
)
def apply_entry(deployment, edits, operator, field, kind, name, value):
    edits.append(deployment.edit(operator, kind, name, field, value))


@then(parsers.parse("the edit is accepted"))
def check_accepted(edits):
    assert edits[-1].status == 200, edits[-1]


@then(parsers.parse('the edit is refused with "{code}"'))
def check_refused(edits, code):
    assert edits[-1].json()["code"] == code


@then(parsers.parse('within {bound_s:g} s it is in force at "{hosts}"'))
def check_in_force(deployment, edits, bound_s, hosts):
    version = edits[-1].json()["version"]

    def in_force():
        versions = [deployment.version_at(host) for host in names(hosts)]
        return min(versions) >= version

    wait_until(in_force, bound_s, f"version {version} at {hosts}")


def status_at(deployment, host):
    return deployment.operate(host, "GET", "/status").json()


@when("the entry hosts know that their configuration is in force")
def wait_for_status(deployment):
    hosts = sorted(deployment.entry_host_by_name)

    def known():
        statuses = [status_at(deployment, host) for host in hosts]
        return all(s["in_force"] and s["current"] == hosts for s in statuses)

    wait_until(known, 20, "all entry hosts know of each other")


@then(
    parsers.parse(
        'within {bound_s:g} s the status at "{host}" names "{name}" as silent'
    )
)
def check_silent(deployment, bound_s, host, name):
    wait_until(
        lambda: list(status_at(deployment, host)["silent"]) == [name],
        bound_s,
        f"{name} is named",
    )


@then(parsers.parse('within {bound_s:g} s the status at "{host}" says in force'))
def check_status_in_force(deployment, bound_s, host):
    wait_until(lambda: status_at(deployment, host)["in_force"], bound_s, "in force")


@then(parsers.parse('for {time_s:g} s the version at "{hosts}" does not fall'))
def check_no_revert(deployment, time_s, hosts):
    before = {host: deployment.version_at(host) for host in names(hosts)}
    deadline = time.monotonic() + time_s
    while time.monotonic() < deadline:
        for host in names(hosts):
            assert deployment.version_at(host) >= before[host]
        time.sleep(0.2)


@then("no version fell")
def check_versions(watch):
    watch.stop()
    assert all(watch.versions_by_host.values()), watch.versions_by_host
    assert reverted_versions(watch.versions_by_host) == []
