"""Starting of waves by operators, and pool entries edited during a wave."""

import attrs
import pytest

from rhubarbmount.errors import AccessDenied, ConflictError, NotFound, Refused
from rhubarbmount.waves import WaveOperator
from tests.fleetkit import CountedPlatform, make_pool
from tests.interleave import run_now
from tests.wavekit import (
    add_holder,
    count_maintained,
    edit,
    is_done,
    is_quiet,
    make_world,
    operator_of,
)


def test_two_open_waves_never_cover_one_pool():
    world = make_world()
    run_now(operator_of(world).start(["quotes"]))
    with pytest.raises(Refused):
        run_now(operator_of(world).start())


def test_two_operators_cannot_start_waves_over_one_pool_at_once():
    world = make_world()
    platform = CountedPlatform(world.inner)
    late_operator = WaveOperator(platform, world.clock, world.new_id)

    async def commit_after_another_start(transaction):
        platform.on_transact = None
        await operator_of(world).start(["quotes"])
        return await world.inner.transact(transaction)

    platform.on_transact = commit_after_another_start
    with pytest.raises(ConflictError):
        run_now(late_operator.start())


def test_a_wave_stops_in_a_pool_that_another_team_takes_over():
    world = make_world()
    wave_id = run_now(operator_of(world).start(["quotes"]))
    add_holder(world, "a")
    assert world.settle(lambda: count_maintained(world) >= 2)
    other_owner = attrs.evolve(make_pool(hosts_down_limit=2), owner="rival")
    run_now(edit(world, "quotes", other_owner, 2))
    begun = len(world.inner.tables["intents"]) + count_maintained(world)
    assert world.settle(lambda: is_done(world, wave_id))
    assert count_maintained(world) <= begun < 8
    assert is_quiet(world)
    run_now(operator_of(world).start(["quotes"], owners={"rival"}))
    world.stop()


def test_a_wave_ends_when_its_pool_is_removed():
    world = make_world()
    world.check = None
    wave_id = run_now(operator_of(world).start(["quotes"]))
    add_holder(world, "a")
    assert world.settle(lambda: count_maintained(world) >= 2)
    run_now(edit(world, "quotes", None, 2))
    assert world.settle(lambda: is_done(world, wave_id))
    assert count_maintained(world) < 8
    world.stop()


def test_a_wave_keeps_to_a_budget_that_shrinks_meanwhile():
    world = make_world()
    wave_id = run_now(operator_of(world).start(["quotes"]))
    add_holder(world, "a")
    assert world.settle(lambda: count_maintained(world) >= 2)
    run_now(edit(world, "quotes", make_pool(hosts_down_limit=0), 2))
    assert world.settle(lambda: is_quiet(world))
    maintained = count_maintained(world)
    assert not world.settle(lambda: not is_quiet(world), rounds=400)
    run_now(edit(world, "quotes", make_pool(hosts_down_limit=1), 3))
    assert world.settle(lambda: is_done(world, wave_id))
    assert maintained < count_maintained(world) == 8
    world.stop()


def test_a_wave_starts_only_over_pools_of_its_owners():
    world = make_world()
    with pytest.raises(AccessDenied):
        run_now(operator_of(world).start(["quotes"], owners={"rival"}))
    with pytest.raises(NotFound):
        run_now(operator_of(world).start(["nowhere"]))
