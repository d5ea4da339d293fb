"""Steps about the holders of duties."""

from pytest_bdd import parsers, then, when

from tests.deployment import wait_until
from tests.scenarios.steps import names

DUTIES = ("hosts", "waves", "repair", "scheduling")


def holder_of(deployment, duty):
    row = deployment.platform_call("GET", f"/tables/leases/rows/{duty}")
    return row.json()["value"]["holder"].split("/")[0] if row.status == 200 else ""


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


@then(parsers.parse('host "{host}" is in service in pool "{pool}" within {limit:d} s'))
def check_moved(deployment, host, pool, limit):
    def has_moved():
        value = deployment.read_row("hosts", host)["value"]
        return (value["pool"], value["state"]) == (pool, "in-service")

    wait_until(has_moved, limit, f"{host} is in {pool}")


def command_count(deployment, action, host):
    lines = deployment.platform.log().splitlines()
    wanted = f"event=host-command host={host} action={action}"
    return sum(wanted in line for line in lines)


def drain_count(deployment, host):
    return command_count(deployment, "drain", host)


@when(parsers.parse('the platform is told to {action} "{host}"'))
def wait_for_command(deployment, action, host):
    def is_told():
        return command_count(deployment, action, host)

    wait_until(is_told, 30, f"the platform is told to {action} {host}")


@then(parsers.parse('the platform was told to {action} "{hosts}" {count:d} time'))
def check_commands(deployment, action, hosts, count):
    counts = [command_count(deployment, action, host) for host in names(hosts)]
    assert counts == [count] * len(counts)


@when(parsers.parse('operator "admin" moves "{host}" to "{pool}" at "{entry_host}"'))
def move_host(deployment, host, pool, entry_host):
    path = f"/hosts/{host}/move"
    answer = deployment.operate(entry_host, "POST", path, {"pool": pool})
    assert answer.status == 202, answer


@when(parsers.parse('host "{host}" is "{state}"'))
def wait_for_state(deployment, host, state):
    def is_in_state():
        return deployment.read_row("hosts", host)["value"]["state"] == state

    wait_until(is_in_state, 30, f"{host} is {state}")


@then(parsers.parse('moves and waves are refused with "{code}" at "{hosts}"'))
def check_work_refused(deployment, code, hosts):
    calls = [("/hosts/h1/move", {"pool": "lodgements"}), ("/waves", {})]
    calls.append(("/waves/w/control", {"control": "paused"}))
    for entry_host in names(hosts):
        for path, body in calls:
            answer = deployment.operate(entry_host, "POST", path, body)
            assert (answer.status, answer.json().get("code")) == (503, code), answer


@then(parsers.parse("within {bound_s:g} s each duty is held again"))
def check_held_again(deployment, bound_s):
    def leases():
        return [deployment.read_row("leases", duty).get("value") for duty in DUTIES]

    before = leases()

    def changed():
        pairs = zip(before, leases(), strict=True)
        return all(new and new["holder"] and new != old for old, new in pairs)

    wait_until(changed, bound_s, "each lease is renewed or taken")


@then(parsers.parse('the move of "{host}" to "{pool}" at "{where}" is refused: {code}'))
def check_move_refused(deployment, host, pool, where, code):
    path = f"/hosts/{host}/move"
    answer = deployment.operate(where, "POST", path, {"pool": pool})
    assert (answer.status, answer.json().get("code")) == (409, code), answer
