"""Steps about rows of hosts and work on hosts."""

from pytest_bdd import then, when

from tests.checkers import misplaced_hosts
from tests.deployment import wait_until


@when("host rows and versions are watched")
def start_watch(watch):
    wait_until(lambda: watch.looks, 5, "a first look")


@then("at no time a host was in two pools or in none")
def check_one_pool(deployment, watch):
    watch.stop()
    host_ids = [host["host_id"] for host in deployment.hosts]
    pools = [entry["name"] for entry in deployment.entries["pool"]]
    assert misplaced_hosts(watch.looks, host_ids, pools) == []
