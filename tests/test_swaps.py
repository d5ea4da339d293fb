"""Waves with spares: duration, moves, and the return of the spares."""

from collections import Counter

import attrs
import pytest

from rhubarbmount.duty_runner import DutyRunner
from rhubarbmount.fleet_counters import FleetCounters
from rhubarbmount.host_rows import HostChange, HostRow, HostRows, host_update
from rhubarbmount.host_work import Observation, WorkBounds
from rhubarbmount.hosts import HostState
from rhubarbmount.pool_plan import WaveSettings
from rhubarbmount.repair import RepairBounds
from rhubarbmount.store.interface import Transaction
from rhubarbmount.store.memory import MemoryPlatform
from rhubarbmount.swaps import swap_wanted
from rhubarbmount.wave_duty import WaveDuty
from rhubarbmount.wave_plan import (
    SparesOffer,
    plan_wave,
    plan_with_spares,
)
from rhubarbmount.waves import Control, Wave
from tests.fleetchecks import check_commit, hosts_of
from tests.fleetkit import fill, make_host, make_pool
from tests.interleave import World, run_now
from tests.wavekit import (
    QUICK,
    WAVE,
    add_holder,
    edit,
    is_done,
    is_quiet,
    operator_of,
    reboots_of,
)


def buffer_pool(racks_down_limit=3):
    limits = {"hosts_down_limit": 3, "racks_down_limit": racks_down_limit}
    return make_pool("buffer", hosts_wanted=0, **limits)


def make_swap_world(hosts, spares=1, racks_down_limit=3):
    world = World()
    pools = [make_pool(hosts_wanted=hosts), buffer_pool(racks_down_limit)]
    members = [make_host(n) for n in range(hosts)]
    members += [make_host(n, "buffer") for n in range(spares)]
    run_now(fill(world.inner, pools, members))
    world.check = check_commit
    return world


def members_of(world, pool="quotes"):
    hosts = hosts_of(world.inner.tables).values()
    return [host for host in hosts if host.pool == pool]


def run_swap_wave(spares_by_pool, racks_down_limit=3):
    world = make_swap_world(6, 3, racks_down_limit)
    moves = []

    def check(before, after, transaction):
        check_commit(before, after, transaction)
        for key, row in after["hosts"].items():
            if row.value["pool"] != before["hosts"][key].value["pool"]:
                moves.append(key)

    world.check = check
    bounds = WorkBounds(view_s=5, drain_s=30, reboot_min_s=600, warm_s=30)
    wave_id = run_now(operator_of(world).start((), "buffer", spares_by_pool))
    counters = FleetCounters()
    add_holder(world, "a", bounds=bounds, counters=counters)
    assert world.settle(lambda: is_done(world, wave_id), rounds=40_000)
    assert counters.moves_by_pool.total() == len(moves)
    world.stop()
    return world, moves


def planned_swap(spares):
    settings = WaveSettings(drain_s=35, reboot_s=600, warm_s=30)
    hosts = [make_host(n) for n in range(6)]
    pools = [make_pool(hosts_wanted=6)]
    return plan_with_spares(pools, {"quotes": hosts}, 1000.0, settings, spares=spares)


def test_spares_shorten_a_wave_and_every_pool_keeps_its_size():
    in_place, no_moves = run_swap_wave({})
    swapped, moves = run_swap_wave({"quotes": 3})
    assert no_moves == []
    assert len(moves) == planned_swap(3).moves < 2 * 6
    assert len(members_of(swapped)) == 6
    assert reboots_of(swapped) == sorted(hosts_of(swapped.inner.tables))
    assert swapped.now_s < in_place.now_s


def test_a_wave_with_spares_takes_at_most_a_tenth_more_than_planned():
    swapped, _ = run_swap_wave({"quotes": 3})
    assert swapped.now_s - 1000.0 <= 1.1 * (planned_swap(3).roll_out_s)


def test_one_spare_shortens_a_wave():
    in_place, _ = run_swap_wave({})
    swapped, moves = run_swap_wave({"quotes": 1})
    assert swapped.now_s < in_place.now_s
    assert len(moves) < 2 * 6


@pytest.mark.parametrize("racks_down_limit", [1, 2, 3])
def test_a_plan_promises_no_more_than_the_budget_of_the_spares_pool_allows(
    racks_down_limit,
):
    plan = plan_wave(
        [make_pool(hosts_wanted=6)],
        [make_host(n) for n in range(6)],
        1000.0,
        WaveSettings(hour_weight=1000, buffer_weight=0, move_weight=0),
        spares=SparesOffer(buffer_pool(racks_down_limit), serving=3, members=3),
    )
    world, _ = run_swap_wave(plan.spares_by_pool, racks_down_limit)
    assert world.now_s - 1000.0 <= 1.1 * plan.roll_out_s


def test_a_wave_whose_spares_all_fail_goes_on_in_place():
    world = World()
    pools = [make_pool(hosts_wanted=2), make_pool("buffer", hosts_wanted=0)]
    hosts = [make_host(n) for n in range(2)]
    hosts.append(make_host(0, "buffer", state=HostState.QUARANTINED))
    run_now(fill(world.inner, pools, hosts))
    wave_id = run_now(operator_of(world).start((), "buffer", {"quotes": 1}))
    add_holder(world, "a")
    assert world.settle(lambda: is_done(world, wave_id))
    assert reboots_of(world) == ["q0", "q1"]
    world.stop()


def test_a_wave_goes_on_in_place_when_the_spares_pool_changes_hands():
    world = make_swap_world(3)
    wave_id = run_now(operator_of(world).start((), "buffer", {"quotes": 1}))
    run_now(edit(world, "buffer", attrs.evolve(buffer_pool(), owner="rival"), 2))
    add_holder(world, "a")
    assert world.settle(lambda: is_done(world, wave_id))
    assert reboots_of(world) == ["q0", "q1", "q2"]
    world.stop()


def test_a_wave_returns_its_spare_when_a_host_fails_in_the_middle_of_a_swap():
    world = make_swap_world(3)
    wave_id = run_now(operator_of(world).start((), "buffer", {"quotes": 1}))
    add_holder(world, "a")

    assert world.settle(lambda: len(members_of(world)) == 4)
    due = [host for host in members_of(world) if host.maintained_s < 1000.0]
    for host in due:
        row = world.inner.tables["hosts"][host.host_id]
        done = attrs.evolve(host, maintained_s=world.now_s, cause="reboot:warm")
        before = HostRow(host, row.version)
        head = world.inner.tables["heads"]["fleet"]
        transaction = host_update(head, [HostChange(before, done)])
        transaction = Transaction(
            world.new_id(), tuple(transaction.preconditions), tuple(transaction.writes)
        )
        assert run_now(world.inner.transact(transaction)).committed
    assert world.settle(lambda: is_done(world, wave_id))
    assert len(members_of(world)) == 3
    assert is_quiet(world)
    world.stop()


def test_a_cancelled_wave_returns_the_spare_that_has_arrived():
    world = make_swap_world(6)
    operator = operator_of(world)
    wave_id = run_now(operator.start((), "buffer", {"quotes": 1}))
    add_holder(world, "a")

    assert world.settle(lambda: len(members_of(world)) == 7)
    run_now(operator.control(wave_id, Control.CANCELLED))
    assert world.settle(lambda: is_done(world, wave_id))
    assert len(members_of(world)) == 6
    world.stop()


def test_pools_share_spares_within_the_bound_of_the_wave():
    world = World()
    pools = [make_pool(hosts_wanted=4), make_pool("parts", hosts_wanted=4)]
    pools.append(buffer_pool())
    hosts = [make_host(n, name) for name in ("quotes", "parts") for n in range(4)]
    hosts += [make_host(n, "buffer") for n in range(3)]
    run_now(fill(world.inner, pools, hosts))
    largest_surplus = 0

    def check(before, after, transaction):
        nonlocal largest_surplus
        check_commit(before, after, transaction)
        rows = [row.value for row in after["hosts"].values()]
        out = ("move:drain:", "move:empty:")
        incoming = sum(
            row["pool"] == "buffer" and row["cause"].startswith(out) for row in rows
        )
        in_pools = sum(row["pool"] != "buffer" for row in rows)
        largest_surplus = max(largest_surplus, in_pools - 8 + incoming)

    world.check = check
    spares = {"quotes": 1, "parts": 1}
    start = operator_of(world).start((), "buffer", spares, spares_at_once=1)
    wave_id = run_now(start)
    add_holder(world, "a")
    assert world.settle(lambda: is_done(world, wave_id), rounds=40_000)
    sizes = Counter(host.pool for host in hosts_of(world.inner.tables).values())
    assert sizes == {"quotes": 4, "parts": 4, "buffer": 3}
    assert largest_surplus == 1
    world.stop()


@pytest.mark.parametrize(("since_s", "is_kept"), [(990.0, True), (900.0, False)])
async def test_slots_are_kept_while_a_swapped_host_drains_but_not_for_long(
    since_s, is_kept
):
    platform = MemoryPlatform()
    out = {"state": HostState.DRAINING, "cause": "move:drain:buffer"}
    hosts = [make_host(n) for n in range(5)]
    hosts.append(make_host(5, since_s=since_s, **out))
    await fill(platform, [make_pool(hosts_wanted=6)], hosts)
    view = HostRows(platform)
    await view.refresh()
    spares = {"spares_by_pool": {"quotes": 1}, "home_by_pool": {"quotes": 6}}
    wave = Wave(wave_id="w", started_s=800.0, spares_pool="buffer", **spares)
    swap = swap_wanted(wave, make_pool(hosts_wanted=6), view, drained_s=930.0)
    assert swap.is_expecting == is_kept


def test_pools_get_spares_in_turn():
    names = ("quotes", "parts", "clinics")
    pools = [make_pool(name, hosts_wanted=6) for name in names]
    pools.append(
        make_pool("buffer", hosts_wanted=0, hosts_down_limit=4, racks_down_limit=4)
    )
    hosts = [make_host(n, name) for name in names for n in range(6)]
    hosts += [make_host(n, "buffer", maintained_s=5000.0) for n in range(4)]
    world = World()
    run_now(fill(world.inner, pools, hosts))
    run_now(operator_of(world).start((), "buffer", dict.fromkeys(names, 3)))
    duty = WaveDuty(world.inner, world.clock, WAVE)
    runner = DutyRunner(
        duty, "a", world.inner, world.clock, world.new_id, lambda: ("a",)
    )
    for _ in range(4):
        run_now(runner.step())
        world.now_s += 1.0
    incoming = Counter(
        host.cause.rpartition(":")[2]
        for host in hosts_of(world.inner.tables).values()
        if host.pool == "buffer" and host.cause
    )
    assert sorted(incoming.values()) == [1, 1, 2]


def test_a_spare_that_has_arrived_replaces_a_host_that_fails_for_good():
    world = make_swap_world(4)
    wave_id = run_now(operator_of(world).start((), "buffer", {"quotes": 1}))
    failing = set()

    def observe(host):
        return Observation(in_flight=0, ready=host.host_id not in failing)

    def in_quotes():
        return {host.host_id for host in members_of(world)}

    bounds = attrs.evolve(QUICK, reboot_limit_s=5)
    repair = RepairBounds(failing_s=2)
    add_holder(world, "a", bounds=bounds, observe=observe, repair=repair)
    assert world.settle(lambda: "b0" in in_quotes())
    failing.add("q1")
    assert world.settle(lambda: is_done(world, wave_id))
    assert in_quotes() == {"q0", "q2", "q3", "b0"}
    world.stop()
