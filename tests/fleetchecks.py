"""What must hold of the fleet's rows after every commit."""

from rhubarbmount.hosts import HostState, load_host

SERVING = (HostState.IN_SERVICE, HostState.RETURNING)


def hosts_of(tables):
    return {key: load_host(dict(row.value)) for key, row in tables["hosts"].items()}


def down_in(tables, pool):
    """Return the racks of hosts down by their row or by a permit."""
    row = tables.get("budgets", {}).get(pool)
    down = dict(row.value["permits"]) if row else {}
    for host_id, host in tables["hosts"].items():
        if host.value["pool"] == pool and host.value["state"] not in SERVING:
            down[host_id] = host.value["rack"]
    return down


def check_commit(before, after, transaction, unlisted=frozenset()):
    """Raise if a commit lost or doubled a host, or broke a budget by itself.

    Hosts that the platform does not list were down before.
    """
    if {write.table for write in transaction.writes} == {"leases"}:
        return
    for host_id in before["hosts"].keys() - after["hosts"].keys():
        assert before["hosts"][host_id].value["state"] == HostState.LEAVING
    for host_id, row in after["hosts"].items():
        host = row.value
        assert f"pool/{host['pool']}" in after["entries"], f"{host_id} is in no pool"
        old = before["hosts"][host_id].value if host_id in before["hosts"] else host
        if old["pool"] != host["pool"]:
            assert old["state"] == HostState.DRAINED, f"{host_id} moved undrained"
    for key in after["entries"]:
        check_budget(before, after, key.removeprefix("pool/"), unlisted)


def check_budget(before, after, pool, unlisted):
    old, new = down_in(before, pool), down_in(after, pool)
    if new.keys() <= old.keys() | unlisted:
        return
    limits = after["entries"][f"pool/{pool}"].value["values"]
    assert len(new) <= limits["hosts_down_limit"], f"budget of {pool} by host"
    assert len(set(new.values())) <= limits["racks_down_limit"], f"{pool} by rack"


class EffectCheck:
    """Check that an effect first happens while its own intent is open."""

    def __init__(self, platform):
        self.platform = platform

    def __call__(self, command):
        row = self.platform.tables["intents"].get(f"host/{command.host_id}")
        assert row is not None, f"{command.action} without an open intent"
        assert command.intent_id.startswith(row.value["intent_id"] + "/")
