"""The cached view of host rows, after bursts of changes."""

import attrs

from rhubarbmount.host_rows import CHANGES_KEPT, HostChange, HostRows, host_update
from rhubarbmount.hosts import HostState
from rhubarbmount.store.memory import MemoryPlatform
from tests.fleetkit import commit, fill, make_host, make_pool


async def change(platform, name, rows):
    """Change these hosts in one transaction, as a concurrent writer would."""
    writer = HostRows(platform)
    await writer.refresh()
    changes = [
        HostChange(writer.row_by_host_id[key], attrs.evolve(row.host, cause=name))
        for key, row in writer.row_by_host_id.items()
        if key in rows
    ]
    assert (await commit(platform, name, host_update(writer.head, changes))).committed


async def test_no_change_is_missed_when_the_kept_ones_begin_within_a_transaction():
    platform = MemoryPlatform()
    hosts = [make_host(n) for n in range(CHANGES_KEPT + 8)]
    await fill(platform, [make_pool()], hosts)
    view = HostRows(platform)
    await view.refresh()
    ids = sorted(view.row_by_host_id)
    await change(platform, "first", ids[:8])
    await change(platform, "second", ids[8 : CHANGES_KEPT + 4])
    await view.refresh()
    rescanned = HostRows(platform)
    await rescanned.refresh()
    assert view.row_by_host_id == rescanned.row_by_host_id


async def test_hosts_out_of_service_are_found_by_their_cause():
    platform = MemoryPlatform()
    hosts = [make_host(n) for n in range(3)]
    hosts[1] = attrs.evolve(hosts[1], state=HostState.DRAINING)
    hosts[2] = attrs.evolve(hosts[2], state=HostState.DRAINING)
    await fill(platform, [make_pool()], hosts)
    view = HostRows(platform)
    await view.refresh()
    await change(platform, "first", ["q0", "q1", "q2"])
    await view.refresh()
    await change(platform, "second", ["q2"])
    await view.refresh()
    assert [row.host.host_id for row in view.of_cause("first")] == ["q1"]
    assert [row.host.host_id for row in view.of_cause("second")] == ["q2"]
    assert view.of_cause("") == []
