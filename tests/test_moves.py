"""Moves between pools, over interleavings of operators and duty holders."""

import attrs
import pytest

from rhubarbmount.duty_runner import DutyRunner
from rhubarbmount.errors import NotFound, RhubarbmountError
from rhubarbmount.host_duty import HostDuty
from rhubarbmount.host_work import Observation, WorkBounds
from rhubarbmount.hosts import HostState
from rhubarbmount.moves import HostMover
from rhubarbmount.store.interface import Transaction, Write
from rhubarbmount.store.memory import MemoryPlatform
from tests.fleetchecks import EffectCheck, check_commit, hosts_of
from tests.fleetkit import CountedPlatform, fill, make_host, make_pool, pool_row
from tests.interleave import World, pause, run_now, schedules

QUICK = WorkBounds(view_s=1, drain_s=1, drain_limit_s=5, reboot_min_s=1, warm_s=1)
POOLS = ("quotes", "parts")


def make_world(platform=None):
    world = World(inner=platform or MemoryPlatform())
    pools = [
        make_pool(name, hosts_wanted=2, hosts_down_limit=1, racks_down_limit=1)
        for name in POOLS
    ]
    hosts = [make_host(n, pool) for pool in POOLS for n in range(3)]
    run_now(fill(world.inner, pools, hosts))
    world.check = check_commit
    world.inner.on_host_command = EffectCheck(world.inner)
    return world


def add_holder(world, name, platform=None):
    duty = HostDuty(
        platform=platform or world.platform(),
        observe=lambda host: Observation(in_flight=0, ready=True),
        wall_clock=world.clock,
        bounds=QUICK,
    )
    runner = DutyRunner(
        duty=duty,
        instance_id=name,
        platform=duty.platform,
        clock=world.clock,
        new_id=world.new_id,
        members=lambda: ("a", "b"),
    )
    world.add_runners([runner])


def add_operator(world, requests):
    mover = HostMover(world.platform(), world.clock, world.new_id)

    async def work():
        number = 0
        while True:
            host_id, target = requests[number % len(requests)]
            number += 1
            try:
                if target:
                    await mover.begin(host_id, target)
                else:
                    await mover.cancel(host_id)
            except RhubarbmountError:
                continue

    world.actors.append(work())


def add_editor(world):
    """Add an actor that shrinks and restores one pool's budget."""
    platform = world.platform()

    async def work():
        version = 1
        while True:
            version += 1
            for _ in range(20):
                await pause()
            pool = make_pool("parts", hosts_wanted=2, hosts_down_limit=version % 2)
            write = Write("entries", "pool/parts", pool_row(pool, version))
            try:
                await platform.transact(Transaction(world.new_id(), (), (write,)))
            except RhubarbmountError:
                continue

    world.actors.append(work())


REQUESTS = (("q0", "parts"), ("q0", ""), ("p1", "quotes"), ("q1", "parts"))


@schedules(300)
def test_racing_operators_and_holders_keep_each_host_in_one_pool(schedule):
    world = make_world()
    add_holder(world, "a")
    add_holder(world, "b")
    add_operator(world, REQUESTS)
    add_operator(world, REQUESTS[::-1])
    add_editor(world)
    world.play(schedule)
    world.stop(2)
    assert world.settle(lambda: not world.inner.tables.get("intents"))
    for host in hosts_of(world.inner.tables).values():
        assert host.state is HostState.IN_SERVICE
    assert not any(
        row.value["permits"] for row in world.inner.tables.get("budgets", {}).values()
    )
    world.stop()


async def edit(world, name, pool):
    """Write a pool's entry, or delete it."""
    row = pool_row(pool, 2) if pool else None
    write = Write("entries", f"pool/{name}", row)
    await world.inner.transact(Transaction(world.new_id(), (), (write,)))


QUOTES, PARTS = (make_pool(name, hosts_wanted=2) for name in POOLS)


@pytest.mark.parametrize(
    ("name", "pool"),
    [
        ("parts", attrs.evolve(PARTS, owner="rival")),
        ("parts", None),
        ("quotes", attrs.evolve(QUOTES, hosts_wanted=3, hosts_down_limit=0)),
    ],
    ids=["target-changes-hands", "target-removed", "source-wants-the-host"],
)
def test_a_move_ends_in_its_old_pool_when_an_entry_no_longer_wants_it(name, pool):
    world = make_world()
    world.check = None
    mover = HostMover(world.inner, world.clock, world.new_id)
    run_now(mover.begin("q0", "parts"))
    run_now(edit(world, name, pool))
    add_holder(world, "a")
    assert world.settle(lambda: not world.inner.tables.get("intents"))
    host = hosts_of(world.inner.tables)["q0"]
    assert (host.pool, host.state) == ("quotes", HostState.IN_SERVICE)
    world.stop()


def test_a_move_from_a_pool_without_an_entry_is_refused():
    world = make_world()
    run_now(edit(world, "quotes", None))
    mover = HostMover(world.inner, world.clock, world.new_id)
    with pytest.raises(NotFound):
        run_now(mover.begin("q0", "parts"))


def test_a_move_requires_the_source_entry_as_it_was_when_the_host_moves():
    """An edit raises the source pool's ``hosts_wanted`` between read and commit."""
    world = make_world()
    world.check = None
    mover = HostMover(world.inner, world.clock, world.new_id)
    run_now(mover.begin("q0", "parts"))
    wanted = attrs.evolve(QUOTES, hosts_wanted=3, hosts_down_limit=0)
    platform = CountedPlatform(world.inner)

    async def edit_before_the_move(transaction):
        moved = [write for write in transaction.writes if write.table == "hosts"]
        if any(write.value["pool"] == "parts" for write in moved):
            platform.on_transact = None
            await edit(world, "quotes", wanted)
        return await world.inner.transact(transaction)

    platform.on_transact = edit_before_the_move
    add_holder(world, "a", platform)
    assert world.settle(lambda: not world.inner.tables.get("intents"))
    assert hosts_of(world.inner.tables)["q0"].pool == "quotes"
    world.stop()
