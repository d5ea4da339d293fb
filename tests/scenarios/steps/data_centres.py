"""Steps about data centres that are cut off, lost and joined again."""

import time

from pytest_bdd import given, parsers, then, when

from tests.deployment import BACKEND_PORT, wait_until
from tests.scenarios.steps import names
from tests.scenarios.steps.duties import DUTIES, holder_of
from tests.scenarios.steps.requests import send_lodgement

CUTS = {
    "is cut off from the others": {},
    "hears the others and is not heard by them": {"hears": True},
    "is heard by the others and doesn't hear them": {"is_heard": True},
}


@given(parsers.parse('more backend servers "{hosts}" for "{pool}" in "{centre}"'))
def add_backends(deployment, hosts, pool, centre):
    for host in names(hosts):
        deployment.add_backend(host, pool, centre, rack=f"{centre}-rack")


def entry_hosts_in(deployment, centre):
    return deployment.network.callers_in(centre)


def backends_in(deployment, centre):
    return [h["host_id"] for h in deployment.hosts if h["data_centre"] == centre]


@when(parsers.re(f'data centre "(?P<centre>[^"]*)" (?P<cut>{"|".join(CUTS)})'))
def cut_data_centre(deployment, centre, cut):
    deployment.network.cut(centre, **CUTS[cut])


@when("the connections over the cut end")
def end_connections(deployment):
    for relay in deployment.network.relays():
        relay.drop_connections()


@when(parsers.parse('data centre "{centre}" is joined again with the others'))
def join_data_centre(deployment, centre):
    deployment.network.heal(centre)


@when(parsers.parse('data centre "{centre}" is cut off from the platform'))
def cut_from_platform(deployment, centre):
    for name in entry_hosts_in(deployment, centre):
        deployment.relay_by_name[f"{name}-platform"].cut()


@when(parsers.parse('data centre "{centre}" is joined again with the platform'))
def join_with_platform(deployment, centre):
    for name in entry_hosts_in(deployment, centre):
        deployment.relay_by_name[f"{name}-platform"].heal()


@when(parsers.parse('the backend servers of data centre "{centre}" are killed'))
def kill_backends(deployment, centre):
    for name in backends_in(deployment, centre):
        kill_backend(deployment, name)


def kill_backend(deployment, name):
    """Kill a backend server, which answers nothing after its runs were noted."""
    state = deployment.set_backend(name, stall=True)
    deployment.earlier_runs.update(state["ran"])
    deployment.backend_by_name[name].kill()


def hosts_in_rack(deployment, rack):
    return [h["host_id"] for h in deployment.hosts if h["rack"] == rack]


@when(parsers.parse('rack "{rack}" is lost'))
def lose_rack(deployment, rebooter, rack):
    with rebooter.lock:
        for name in hosts_in_rack(deployment, rack):
            kill_backend(deployment, name)
    deployment.set_platform(lost_hosts=hosts_in_rack(deployment, rack))


@when(parsers.parse('rack "{rack}" comes back'))
def bring_rack_back(deployment, rack):
    for name in hosts_in_rack(deployment, rack):
        deployment.start_backend(name, deployment.backend_by_name[name].address)
    for name in hosts_in_rack(deployment, rack):
        deployment.wait_for_port(deployment.backend_by_name[name].address, BACKEND_PORT)
    deployment.set_platform(lost_hosts=[])


@when(parsers.parse('data centre "{centre}" is lost'))
def lose_data_centre(deployment, rebooter, centre):
    deployment.network.cut(centre)
    for name in entry_hosts_in(deployment, centre):
        deployment.entry_host_by_name[name].kill()
    with rebooter.lock:
        kill_backends(deployment, centre)
    deployment.set_platform(lost_hosts=backends_in(deployment, centre))


@when(parsers.parse('data centre "{centre}" comes back'))
def bring_back(deployment, centre):
    for name in backends_in(deployment, centre):
        deployment.start_backend(name, deployment.backend_by_name[name].address)
    for name in backends_in(deployment, centre):
        deployment.wait_for_port(deployment.backend_by_name[name].address, BACKEND_PORT)
    deployment.network.heal(centre)
    deployment.set_platform(lost_hosts=[])
    for name in entry_hosts_in(deployment, centre):
        deployment.entry_host_by_name[name].start()


def send_plain(deployment, host):
    """Send a request without a key that is not idempotent."""
    return deployment.request(host, "POST", "/lodgements/plain", body="accounts")


def runs_in(deployment, answer, centre):
    return answer.outcome == "ran" and answer.json()["host"] in backends_in(
        deployment, centre
    )


@then(
    parsers.parse(
        'within {bound_s:g} s lodgements sent to "{host}" are refused with 503 as'
        " surely not run"
    )
)
def check_not_run(deployment, bound_s, host):
    def refused():
        answer = send_plain(deployment, host)
        return (answer.status, answer.outcome) == (503, "not-run")

    wait_until(refused, bound_s, "refused with outcome not-run")


@then(
    parsers.parse(
        'within {bound_s:g} s a request without a key to "{host}" runs in "{centre}"'
    )
)
def check_runs_elsewhere(deployment, bound_s, host, centre):
    def has_run():
        return runs_in(deployment, send_plain(deployment, host), centre)

    wait_until(has_run, bound_s, f"a request to {host} runs in {centre}")


@then(
    parsers.parse(
        'within {bound_s:g} s lodgements sent to "{host}" are refused with "{code}"'
    )
)
def check_keyed_refused(deployment, answers, bound_s, host, code):
    def refused():
        key = f"refused-{len(answers)}"
        send_lodgement(deployment, answers, key, "lodgements", host)
        answer = answers[key]
        return answer.status == 503 and answer.json()["code"] == code

    wait_until(refused, bound_s, f"refused with {code}")
    key, answer = answers.popitem()
    assert answer.outcome == "unknown", answer
    assert deployment.run_count(key) == 0


@then(parsers.parse('the answer to "{key}" is {status:d} and it did not run'))
def check_did_not_run(deployment, answers, key, status):
    assert answers[key].status == status, answers[key]
    assert answers[key].outcome in ("not-run", "unknown"), answers[key]
    assert deployment.run_count(key) == 0


@then(parsers.parse('an edit at "{host}" is refused with "{code}"'))
def check_edit_refused(deployment, host, code):
    entry = deployment.operate("e1", "GET", "/entries/service/lodgements").json()
    body = {"values": entry["values"], "expected_version": entry["version"]}
    answer = deployment.operate(host, "PUT", "/entries/service/lodgements", body)
    assert (answer.status, answer.json()["code"]) == (503, code), answer


@then(
    parsers.parse(
        'within {bound_s:g} s "{without}" holds no duty, and "{centre}" holds each'
    )
)
def check_duties(deployment, bound_s, without, centre):
    members = entry_hosts_in(deployment, centre)

    def moved():
        return all(holder_of(deployment, duty) in members for duty in DUTIES)

    wait_until(moved, bound_s, f"{centre} holds each duty")


@then(parsers.parse('within {bound_s:g} s each duty is held outside "{centre}"'))
def check_duties_elsewhere(deployment, bound_s, centre):
    others = deployment.entry_host_by_name.keys() - entry_hosts_in(deployment, centre)

    def moved():
        return all(holder_of(deployment, duty) in others for duty in DUTIES)

    wait_until(moved, bound_s, f"each duty is held outside {centre}")


@then(
    parsers.parse(
        'for {time_s:g} s requests without a key to "{hosts}" run in "{centre}" under'
        " the old version"
    )
)
def check_serves(deployment, edits, time_s, hosts, centre):
    accepted = edits[-1].json()["version"]
    deadline = time.monotonic() + time_s
    while time.monotonic() < deadline:
        for host in names(hosts):
            answer = send_plain(deployment, host)
            assert runs_in(deployment, answer, centre), answer
            assert 0 < deployment.version_at(host) < accepted


@then(parsers.parse('within {bound_s:g} s "{hosts}" run the version of "{other}"'))
def check_caught_up(deployment, bound_s, hosts, other):
    for host in names(hosts):
        deployment.wait_ready(host)
    wanted = deployment.version_at(other)

    def caught_up():
        return all(deployment.version_at(host) >= wanted for host in names(hosts))

    wait_until(caught_up, bound_s, f"{hosts} run version {wanted}")
