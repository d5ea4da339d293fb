"""The view of the fleet follows the host changes and knows its age."""

import random

import attrs
import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbmount.errors import FindingsError, PlatformUnavailable
from rhubarbmount.fleet_view import FleetView
from rhubarbmount.hosts import Host, HostState, Shape, dump_host
from rhubarbmount.peer_requests import PULL_ATTEMPTS
from rhubarbmount.store.interface import Transaction, Write
from rhubarbmount.store.memory import MemoryPlatform

CHANGES_KEPT = 4


def host(host_id, **fields):
    return Host(
        host_id=host_id,
        pool=fields.pop("pool", "shared"),
        data_centre="dc-a",
        rack="r1",
        address="127.0.0.1:1",
        shape=Shape(32, 64),
        **fields,
    )


async def write_hosts(platform, *hosts, gone=()):
    head = await platform.read("heads", "fleet")
    value = {"version": 0, "changes": []} if head is None else head.value
    version = value["version"] + 1
    host_ids = [each.host_id for each in hosts] + list(gone)
    changes = [*value["changes"], *([version, host_id] for host_id in host_ids)]
    writes = [Write("hosts", each.host_id, dump_host(each)) for each in hosts]
    writes += [Write("hosts", host_id, None) for host_id in gone]
    head_value = {"version": version, "changes": changes[-CHANGES_KEPT:]}
    writes.append(Write("heads", "fleet", head_value))
    await platform.transact(Transaction(f"w-{version}", (), tuple(writes)))


@attrs.define
class Counting:
    """A platform that counts reads and can be made unavailable."""

    platform: MemoryPlatform
    out: bool = False
    reads: int = 0
    scans: int = 0

    async def read(self, table, key):
        if self.out:
            raise PlatformUnavailable("out")
        self.reads += 1
        return await self.platform.read(table, key)

    async def scan(self, table, prefix=""):
        self.scans += 1
        return await self.platform.scan(table, prefix)


def pull_from(peer):
    async def pull(state, known_version):
        return peer.share(known_version)

    return pull


def pull_from_any(peers, chooser):
    async def pull(state, known_version):
        for peer in chooser.sample(peers, PULL_ATTEMPTS):
            copy = peer.share(known_version)
            if copy is not None and copy.version >= known_version:
                return copy
        return None

    return pull


async def test_only_changed_hosts_are_read(autojump_clock):
    platform = Counting(MemoryPlatform())
    await write_hosts(platform.platform, *(host(f"h{n}") for n in range(9)))
    view = FleetView(platform=platform)
    await view.refresh()
    assert platform.scans == 1
    changed = host("h3", state=HostState.DRAINING)
    await write_hosts(platform.platform, changed, gone=["h4"])
    platform.reads = 0
    changes = view.subscribe()
    changes.receive_nowait()
    await view.refresh()
    assert (platform.reads, platform.scans) == (3, 1)
    assert view.host_by_id["h3"] == changed
    assert "h4" not in view.host_by_id
    assert changes.receive_nowait().changed == {"h3", "h4"}


async def test_a_data_centre_that_leaves_at_once_is_scanned_by_few(autojump_clock):
    platform = Counting(MemoryPlatform())
    hosts = [host(f"h{n:03}") for n in range(300)]
    await write_hosts(platform.platform, *hosts)
    views = [FleetView(platform=platform) for _ in range(7)]
    chooser = random.Random(3)
    for view in views:
        view.pull = pull_from_any([v for v in views if v is not view], chooser)
        await view.refresh()
    left = [attrs.evolve(item, state=HostState.LEAVING) for item in hosts[:260]]
    for start in range(0, 260, 8):
        await write_hosts(platform.platform, *left[start : start + 8])
    platform.reads = platform.scans = 0
    for view in views:
        await view.refresh()
    assert (platform.reads, platform.scans <= 3) == (len(views), True)
    for view in views:
        assert set(view.host_by_id.values()) == {*left, *hosts[260:]}


async def test_a_burst_is_scanned_when_no_peer_has_it(autojump_clock):
    platform = Counting(MemoryPlatform())
    await write_hosts(platform.platform, *(host(f"h{n}") for n in range(40)))
    view, behind = FleetView(platform=platform), FleetView(platform=platform)
    await view.refresh()
    await behind.refresh()
    view.pull = pull_from(behind)
    platform.scans = 0
    gone = [f"h{n}" for n in range(40)]
    await write_hosts(platform.platform, host("new"), gone=gone)
    await view.refresh()
    assert (platform.scans, set(view.host_by_id)) == (1, {"new"})


async def test_changes_not_yet_received_are_merged(autojump_clock):
    platform = MemoryPlatform()
    view = FleetView(platform=platform)
    changes = view.subscribe()
    for name in ("a", "b"):
        await write_hosts(platform, host(name))
        await view.refresh()
    assert changes.receive_nowait().changed == {"a", "b"}


@given(
    st.lists(
        st.tuples(st.integers(0, 5), st.sampled_from(["put", "gone", "read"])),
        max_size=30,
    )
)
@settings(derandomize=True, deadline=None, database=None, max_examples=200)
def test_the_view_equals_the_table_however_far_it_fell_behind(steps):
    trio.run(follow, steps)


async def follow(steps):
    platform = MemoryPlatform()
    view = FleetView(platform=platform)
    for number, (name, step) in enumerate(steps):
        if step == "put":
            await write_hosts(platform, host(f"h{name}", cause=str(number)))
        elif step == "gone":
            await write_hosts(platform, gone=[f"h{name}"])
        else:
            await view.refresh()
    await view.refresh()
    rows = await platform.scan("hosts")
    held = {key: dump_host(value) for key, value in view.host_by_id.items()}
    assert held == {row.key: row.value for row in rows}


async def test_the_age_of_a_partitioned_view_grows(autojump_clock):
    platform = Counting(MemoryPlatform())
    view = FleetView(platform=platform)
    assert view.age_s() == float("inf")
    await view.refresh()
    assert view.age_s() == 0
    platform.out = True
    await trio.sleep(30)
    await view.refresh()
    assert view.age_s() == 30


async def test_a_peer_that_reaches_the_platform_keeps_the_view_fresh(
    autojump_clock,
):
    platform = MemoryPlatform()
    await write_hosts(platform, host("a"))
    peer = FleetView(platform=platform)
    cut_off = Counting(platform)
    view = FleetView(platform=cut_off, pull=pull_from(peer))
    await peer.refresh()
    await view.refresh()
    cut_off.out = True
    await trio.sleep(20)
    await write_hosts(platform, host("b"))
    await peer.refresh()
    await trio.sleep(2)
    await view.refresh()
    assert view.host_by_id.keys() == {"a", "b"}
    assert view.age_s() == 2


async def test_cut_off_peers_do_not_make_each_other_younger(autojump_clock):
    platform = Counting(MemoryPlatform())
    first = FleetView(platform=platform)
    second = FleetView(platform=platform, pull=pull_from(first))
    first.pull = pull_from(second)
    await first.refresh()
    await second.refresh()
    platform.out = True
    for _ in range(30):
        await trio.sleep(1)
        await first.refresh()
        await second.refresh()
    assert first.age_s() == second.age_s() == 30


async def test_a_started_view_is_taken_from_a_peer_without_a_scan(autojump_clock):
    platform = Counting(MemoryPlatform())
    await write_hosts(platform.platform, host("a"), host("b"))
    peer = FleetView(platform=platform.platform)
    await peer.refresh()
    view = FleetView(platform=platform, pull=pull_from(peer))
    await view.refresh()
    assert platform.scans == 0
    assert view.host_by_id == peer.host_by_id


async def test_the_summary_is_read_from_the_platform(autojump_clock):
    platform = Counting(MemoryPlatform())
    view = FleetView(platform=platform)
    await view.refresh()
    await write_hosts(platform.platform, host("a"), host("b", pool="other"))
    summary = await view.summarise()
    assert summary.hosts_by_pool == {"shared": 1, "other": 1}
    platform.out = True
    with pytest.raises(PlatformUnavailable):
        await view.summarise()


async def test_a_damaged_copy_is_refused(autojump_clock):
    view = FleetView(platform=MemoryPlatform())
    with pytest.raises(FindingsError):
        view._adopt_body(b"damaged")
