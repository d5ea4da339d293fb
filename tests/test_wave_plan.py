"""Plans of waves with spares, compared with simulated runs of the waves."""

import attrs
import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from bench.wave_run import WAVE, Run, buffer_of
from bench.waves import make_fleet
from rhubarbmount.wave_bounds import spares_bound_s
from rhubarbmount.wave_plan import (
    SparesOffer,
    hosts_by_pool,
    plan_wave,
    plan_with_spares,
)
from tests.fleetkit import make_host, make_pool


def test_pools_that_share_spares_take_at_most_a_tenth_more_than_planned():
    fleet = make_fleet("large pools", 3, 40, 3, (5, 2), 0, seed=1)
    hosts = hosts_by_pool(fleet.hosts)
    plan = plan_with_spares(fleet.pools, hosts, 0.0, WAVE, spares=10)
    buffer, buffer_hosts = buffer_of(10)
    run = Run([*fleet.pools, buffer], [*fleet.hosts, *buffer_hosts], round_s=1.4)
    length_s, _ = trio.run(run.carry_out, "buffer", plan.spares_by_pool)
    assert length_s <= 1.1 * plan.roll_out_s
    assert run.moves <= 1.1 * plan.moves
    assert run.breaks == 0


def test_a_plan_counts_the_window_of_the_spares_pool():
    fleet = make_fleet("small pools", 3, 12, 3, (1, 1), 0, seed=1)
    buffer, buffer_hosts = buffer_of(6)
    buffer = attrs.evolve(buffer, window_start_hour=15, window_end_hour=13)
    run = Run([*fleet.pools, buffer], [*fleet.hosts, *buffer_hosts], round_s=1.4)
    offer = SparesOffer(buffer, serving=6, members=6)
    weights = {"hour_weight": 1000, "buffer_weight": 0.01, "move_weight": 0}
    time_weighted = attrs.evolve(WAVE, **weights)
    plan = plan_wave(fleet.pools, fleet.hosts, run.now_s, time_weighted, offer)
    length_s, _ = trio.run(run.carry_out, "buffer", plan.spares_by_pool)
    assert plan.moves > 0
    assert length_s <= 1.1 * plan.roll_out_s
    assert run.moves <= 1.1 * plan.moves


@pytest.mark.parametrize("spares", [1, 2])
def test_spares_that_shorten_nothing_move_no_host(spares):
    fleet = make_fleet("collective", 5, 6, 3, (1, 1), 0, seed=1)
    hosts = hosts_by_pool(fleet.hosts)
    in_place = plan_with_spares(fleet.pools, hosts, 0.0, WAVE)
    plan = plan_with_spares(fleet.pools, hosts, 0.0, WAVE, spares=spares)
    assert (plan.roll_out_s, plan.moves) == (in_place.roll_out_s, 0)


def test_only_pools_that_end_last_take_spares():
    pools = [make_pool("quotes", hosts_wanted=8), make_pool("parts", hosts_wanted=2)]
    due = [make_host(n) for n in range(8)] + [make_host(n, "parts") for n in range(2)]
    hosts = hosts_by_pool(due)
    plan = plan_with_spares(pools, hosts, 0.0, WAVE, spares=3)
    alone = plan_with_spares(pools[:1], hosts, 0.0, WAVE, spares=3)
    assert plan.roll_out_s == alone.roll_out_s
    assert set(plan.spares_by_pool) == {"quotes"}


@settings(derandomize=True, deadline=None, database=None, max_examples=100)
@given(
    sizes=st.lists(st.integers(1, 12), min_size=1, max_size=4),
    limits=st.lists(st.integers(0, 3), min_size=4, max_size=4),
)
def test_spares_by_hand_stay_within_their_limits_and_shorten_the_wave(sizes, limits):
    pools = [make_pool(f"{n}pool", hosts_wanted=s) for n, s in enumerate(sizes)]
    due = [make_host(k, f"{n}pool") for n, s in enumerate(sizes) for k in range(s)]
    limit_by_pool = {pool.name: limits[n] for n, pool in enumerate(pools)}
    count = sum(limit_by_pool.values())
    hosts = hosts_by_pool(due)
    in_place = plan_with_spares(pools, hosts, 0.0, WAVE)
    plan = plan_with_spares(
        pools, hosts, 0.0, WAVE, spares=count, limit_by_pool=limit_by_pool
    )
    assert sum(len(pool.hosts) for pool in plan.by_pool.values()) == len(due)
    assert plan.roll_out_s >= spares_bound_s(pools, due, 0.0, WAVE, count)
    for name, spares in plan.spares_by_pool.items():
        assert spares <= limit_by_pool[name]
    assert not plan.moves or plan.roll_out_s < in_place.roll_out_s
