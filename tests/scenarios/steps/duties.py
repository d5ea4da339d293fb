"""Steps about the holders of duties."""

from pytest_bdd import parsers, then, when

from tests.deployment import wait_until


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


def drain_count(deployment, host):
    lines = deployment.platform.log().splitlines()
    wanted = f"event=host-command host={host} action=drain"
    return sum(wanted in line for line in lines)


@then(parsers.parse('the platform was told to drain "{host}" {count:d} time'))
def check_drains(deployment, host, count):
    assert drain_count(deployment, host) == count
