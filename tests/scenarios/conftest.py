"""The steps that scenarios are written in."""

import threading
import time
from collections import Counter

import pytest
from pytest_bdd import given, parsers, then, when

from tests.checkers import (
    cut_requests,
    is_own,
    misplaced_hosts,
    reverted_versions,
    violations,
)
from tests.deployment import BACKEND_PORT, Deployment, wait_until
from tests.load import Load
from tests.resend import Resenders
from tests.watch import Watch

QUICK_FLEET = {
    "work": {"view_s": 2, "drain_s": 5, "reboot_min_s": 1, "warm_s": 1},
    "lease": {"settle_s": 600},
}


def names(text):
    """Split a list of names."""
    return [name.strip() for name in text.split(",")]


@pytest.fixture
def deployment(tmp_path):
    with Deployment(tmp_path) as deployment:
        yield deployment


@pytest.fixture
def answers():
    """The answers that callers got, by request id."""
    return {}


@given(
    parsers.parse('service "{service}" with backend servers "{hosts}" in "{centre}"')
)
def start_service(deployment, service, hosts, centre):
    deployment.add_pool(service)
    deployment.add_service(service)
    for host in names(hosts):
        deployment.add_backend(host, service, centre)


@given("the platform")
def start_platform(deployment):
    deployment.start_platform()


@given(parsers.parse('entry hosts "{hosts}" in "{centre}"'))
def start_entry_hosts(deployment, hosts, centre):
    for host in names(hosts):
        deployment.start_entry_host(host, centre)


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


@given(parsers.parse('callers sending lodgements for "{service}" to "{hosts}"'))
def start_load(deployment, load, service, hosts):
    load.append(Load(deployment, service, names(hosts)))
    load[0].__enter__()
    wait_until(lambda: len(load[0].answer_by_id) > 20, 10, "20 answers")


@given(parsers.parse('callers reading from "{service}" at "{hosts}"'))
def start_readers(deployment, load, service, hosts):
    load.append(Load(deployment, service, names(hosts), method="GET"))
    load[0].__enter__()
    wait_until(lambda: len(load[0].answer_by_id) > 20, 10, "20 answers")


@pytest.fixture
def load(deployment):
    """The callers at work, if a step started them."""
    running = []
    yield running
    for item in running:
        item.stop()


@when(parsers.parse("{count:d} more answers have come"))
def wait_for_answers(load, count):
    wanted = len(load[0].answer_by_id) + count
    wait_until(lambda: len(load[0].answer_by_id) >= wanted, 20, f"{count} answers")


@when("the callers stop")
def stop_load(load):
    load[0].stop()


@then("no promise to the callers was broken")
def check_promises(deployment, load):
    load[0].stop()
    runs = deployment.runs_by_id()
    assert violations(load[0].answer_by_id, runs) == []


@then("no caller was refused")
def check_all_ran(load):
    load[0].stop()
    answers = load[0].answer_by_id.values()
    refusals = [answer.body for answer in answers if answer.outcome != "ran"]
    assert refusals == [], Counter(refusals)


@then("no caller was cut off")
def check_not_cut(load):
    assert cut_requests(load[0].answer_by_id) == []


@then(parsers.parse("at least {count:d} requests were answered with outcome {outcome}"))
def check_count(load, count, outcome):
    outcomes = [answer.outcome for answer in load[0].answer_by_id.values()]
    assert outcomes.count(outcome) >= count, Counter(outcomes)


@when(parsers.parse('backend server "{host}" {fault} the next {count:d} answers'))
def set_answer_fault(deployment, host, fault, count):
    switch = {
        "cuts": "cut_answers",
        "truncates": "truncate_answers",
        "adds a surplus to": "surplus_answers",
    }[fault]
    deployment.set_backend(host, **{switch: count})


@when(parsers.parse('backend server "{host}" takes {delay_s:g} s for each request'))
def set_delay(deployment, host, delay_s):
    deployment.set_backend(host, delay_s=delay_s)


@when(parsers.parse('the guard of backend server "{host}" refuses everything'))
def set_guard(deployment, host):
    deployment.set_backend(host, guard_full=True)


@when(parsers.parse('backend server "{name}" is killed'))
def kill_backend(deployment, name):
    deployment.backend_by_name[name].kill()


@then(parsers.parse('entry host "{name}" ends by itself within {timeout_s:g} s'))
def check_ended(deployment, name, timeout_s):
    process = deployment.entry_host_by_name[name].process
    assert process.wait(timeout_s) == 0
    assert "event=stopped cut=0" in deployment.entry_host_by_name[name].log()


@when(parsers.parse('entry host "{name}" is {act}'))
def act_on_entry_host(deployment, name, act):
    program = deployment.entry_host_by_name[name]
    {
        "killed": program.kill,
        "frozen": program.freeze,
        "resumed": program.resume,
        "started again": program.start,
        "told to stop": program.terminate,
    }[act]()


@when(parsers.parse('entry host "{name}" is {change} the platform'))
def cut_from_platform(deployment, name, change):
    relay = deployment.relay_by_name[f"{name}-platform"]
    {"cut off from": relay.cut, "joined again with": relay.heal}[change]()


@when(parsers.parse("the platform {change}"))
def change_platform(deployment, change):
    faults = {
        "goes down": {"down": True},
        "comes back": {"down": False},
        "loses the answer of the next write": {"lost_answers": 1},
    }[change]
    deployment.set_platform(**faults)


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


@pytest.fixture
def marked_s():
    """When hosts were marked as leaving, by name."""
    return {}


@when(parsers.parse('the row of backend server "{name}" says that it is leaving'))
def mark_leaving(deployment, marked_s, name):
    deployment.change_host(name, state="leaving", cause="test")
    marked_s[name] = time.time()


@when(parsers.parse('backend server "{name}" itself says that it is leaving'))
def say_leaving(deployment, marked_s, name):
    deployment.set_backend(name, leaving=True)
    marked_s[name] = time.time()


@when(parsers.re("(?P<seconds>[0-9.]+) s pass(?: under load)?"))
def let_pass(seconds):
    seconds = float(seconds)
    end_s = time.monotonic() + seconds
    wait_until(lambda: time.monotonic() > end_s, seconds + 5)


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


@when(
    parsers.parse(
        'operator "{operator}" sets "{field}" of {kind} "{name}" to {value:d}'
    )
)
def apply_entry(deployment, edits, operator, field, kind, name, value):
    edits.append(deployment.edit(operator, kind, name, field, value))


@pytest.fixture
def edits():
    """The answers to operators' edits, in order."""
    return []


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


@when(parsers.parse('backend servers "{hosts}" have used up their faults'))
def wait_for_faults(deployment, hosts):
    def used_up():
        states = [deployment.backend_state(host)["faults"] for host in names(hosts)]
        switches = ("cut_answers", "truncate_answers", "surplus_answers")
        return not any(state[switch] for state in states for switch in switches)

    wait_until(used_up, 30, f"faults of {hosts} are used up")


@given(parsers.parse('pool "{pool}" lets {count:d} hosts be down'))
def set_hosts_down_limit(deployment, pool, count):
    for entry in deployment.entries["pool"]:
        if entry["name"] == pool:
            entry["hosts_down_limit"] = count


def status_at(deployment, host):
    return deployment.operate(host, "GET", "/status").json()


@when("the entry hosts know that their configuration is in force")
def wait_for_status(deployment):
    hosts = sorted(deployment.entry_host_by_name)

    def known():
        statuses = [status_at(deployment, host) for host in hosts]
        return all(s["in_force"] and s["current"] == hosts for s in statuses)

    wait_until(known, 20, "all entry hosts know of each other")


@when(parsers.parse('one more entry host "{name}" starts in "{centre}"'))
def start_without_waiting(deployment, name, centre):
    deployment.start_entry_host(name, centre, ready=False)


@when(parsers.parse('entry hosts "{hosts}" are killed'))
def kill_entry_hosts(deployment, hosts):
    for host in names(hosts):
        deployment.entry_host_by_name[host].kill()


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


@then(parsers.parse('a lodgement sent to "{host}" reads a whole answer'))
def check_whole_answer(deployment, host):
    answer = deployment.request(host, "GET", "/lodgements/x")
    assert (answer.status, answer.outcome) == (200, "ran"), answer


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


@when("the platform's head is put back to the first catalogue")
def put_head_back(deployment):
    head = deployment.read_row("heads", "catalogue")
    value = {"version": head["value"]["version"] - 1, "object": "catalogue/seed"}
    write = {"table": "heads", "key": "catalogue", "value": value}
    transaction = {"operation_id": "put-back", "preconditions": [], "writes": [write]}
    answer = deployment.platform_call("POST", "/transactions", transaction)
    assert answer.json()["committed"], answer


@then(parsers.parse('for {time_s:g} s the version at "{hosts}" does not fall'))
def check_no_revert(deployment, time_s, hosts):
    before = {host: deployment.version_at(host) for host in names(hosts)}
    deadline = time.monotonic() + time_s
    while time.monotonic() < deadline:
        for host in names(hosts):
            assert deployment.version_at(host) >= before[host]
        time.sleep(0.2)


@given(parsers.parse('pool "{name}" beside it'))
def add_pool(deployment, name):
    deployment.add_pool(name, buffer_hosts=1)


@given("quick fleet duties")
def set_quick_duties(deployment):
    deployment.extra_settings["fleet"] = QUICK_FLEET


@pytest.fixture
def watch(deployment):
    """Look at the rows and versions from the first step that asks for it."""
    watch = Watch(deployment)
    yield watch
    watch.stop()


@when("host rows and versions are watched")
def start_watch(watch):
    wait_until(lambda: watch.looks, 5, "a first look")


@then("at no time a host was in two pools or in none")
def check_one_pool(deployment, watch):
    watch.stop()
    host_ids = [host["host_id"] for host in deployment.hosts]
    pools = [entry["name"] for entry in deployment.entries["pool"]]
    assert misplaced_hosts(watch.looks, host_ids, pools) == []


@then("no version fell")
def check_versions(watch):
    watch.stop()
    assert all(watch.versions_by_host.values()), watch.versions_by_host
    assert reverted_versions(watch.versions_by_host) == []


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


@pytest.fixture
def resenders():
    """The callers at work, if a step started them."""
    started = []
    yield started
    for item in started:
        item.join()


@when(
    parsers.parse(
        'callers send {count:d} lodgements for "{service}" to "{hosts}" until they have'
        " run"
    )
)
def start_resenders(deployment, resenders, count, service, hosts):
    resenders.append(Resenders(deployment, service, names(hosts), count))


@when(parsers.parse("{count:d} lodgements were told to have run"))
def wait_for_runs(resenders, count):
    what = f"{count} lodgements told to have run"
    wait_until(lambda: len(resenders[0].told_ran()) >= count, 30, what)


@when("the callers have given up or were told that all has run")
def join_resenders(resenders):
    resenders[0].join()


@then("no lodgement ran twice and none was falsely told to have run")
def check_runs_of_all(deployment, resenders):
    assert resenders[0].violations(deployment.runs_by_id()) == []


@then(parsers.parse("at least {count:d} lodgements were told to have run in the end"))
def check_told_ran(resenders, count):
    assert len(resenders[0].told_ran()) >= count


@when("an operator starts a wave")
def start_wave(deployment):
    answer = deployment.operate("e1", "POST", "/waves", {})
    assert answer.status == 202, answer


@pytest.fixture
def states():
    """The numbers of hosts that were seen out of service."""
    return []


@then(parsers.parse('host "{host}" is in service in pool "{pool}" within {limit:d} s'))
def check_moved(deployment, host, pool, limit):
    def has_moved():
        value = deployment.read_row("hosts", host)["value"]
        return (value["pool"], value["state"]) == (pool, "in-service")

    wait_until(has_moved, limit, f"{host} is in {pool}")


@then(
    parsers.parse("every host is rebooted once and the wave is done within {limit:d} s")
)
def check_wave(deployment, states, limit):
    """Restart each backend server while its row says that it is maintained."""
    rebooted = []

    def is_done():
        rows = [deployment.read_row("hosts", host["host_id"]) for host in hosts]
        values = [row["value"] for row in rows]
        states.append(sum(value["state"] != "in-service" for value in values))
        for value in values:
            host_id = value["host_id"]
            if value["state"] == "maintenance" and host_id not in rebooted:
                rebooted.append(host_id)
                restart(deployment, host_id)
        waves = deployment.operate("e1", "GET", "/waves").json()["waves"]
        return waves[0]["state"] == "done"

    hosts = deployment.hosts
    wait_until(is_done, limit, "the wave is done")
    assert sorted(rebooted) == sorted(host["host_id"] for host in hosts)


def restart(deployment, host_id):
    program = deployment.backend_by_name[host_id]
    ran = deployment.backend_state(host_id)["ran"]
    deployment.earlier_runs.update(ran)
    program.kill()
    deployment.start_backend(host_id, program.address)
    deployment.wait_for_port(program.address, BACKEND_PORT)
    deployment.set_backend(host_id, delay_s=deployment.backend_delay_s)
