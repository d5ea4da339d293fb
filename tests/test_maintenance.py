"""Host selection, and wave plans compared with the baseline and lower bound."""

import itertools
from pathlib import Path

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbmount.budgets import BudgetView
from rhubarbmount.fleet_tasks import wave_settings
from rhubarbmount.maintenance import next_start_s, select
from rhubarbmount.pool_plan import WaveSettings
from rhubarbmount.settings import load_settings
from rhubarbmount.wave_bounds import lower_bound_s, plan_one_at_a_time
from rhubarbmount.wave_plan import SparesOffer, plan_wave
from tests.fleetkit import make_host, make_pool

HOUR_S = 3600
EXAMPLES = Path(__file__).parent.parent / "examples"
TIME_LIMIT_OVER_BOUND = 1.1
SPARES_POOL = make_pool(
    "buffer", hosts_wanted=0, hosts_down_limit=8, racks_down_limit=8
)
OFFER = SparesOffer(SPARES_POOL, serving=8, members=8)


def view_of(pool, members, planned=(), failed=()):
    def racks(hosts):
        return {host.host_id: host.rack for host in hosts}

    return BudgetView(
        pool=pool,
        members=members,
        rack_by_planned=racks(planned),
        rack_by_failed=racks(failed),
    )


@settings(derandomize=True, deadline=None, database=None, max_examples=200)
@given(
    racks=st.lists(st.integers(0, 3), min_size=1, max_size=7),
    hosts_down_limit=st.integers(0, 4),
    racks_down_limit=st.integers(0, 3),
    failed=st.sets(st.integers(0, 6), max_size=3),
)
def test_the_chosen_set_is_the_largest_within_the_budget(
    racks, hosts_down_limit, racks_down_limit, failed
):
    hosts = [make_host(n, rack=f"r{rack}") for n, rack in enumerate(racks)]
    pool = make_pool(
        hosts_wanted=0,
        hosts_down_limit=hosts_down_limit,
        racks_down_limit=racks_down_limit,
    )
    down = [host for n, host in enumerate(hosts) if n in failed]
    up = [host for n, host in enumerate(hosts) if n not in failed]

    def fits(chosen):
        out = [*down, *chosen]
        return not chosen or (
            len(out) <= hosts_down_limit
            and len({host.rack for host in out}) <= racks_down_limit
        )

    largest = max(
        size
        for size in range(len(up) + 1)
        if any(fits(chosen) for chosen in itertools.combinations(up, size))
    )
    chosen = set(select(view_of(pool, len(hosts), failed=down), hosts))
    assert fits([host for host in up if host.host_id in chosen])
    assert len(chosen) == largest


@settings(derandomize=True, deadline=None, database=None, max_examples=100)
@given(
    sizes=st.lists(st.integers(1, 4), min_size=1, max_size=12),
    hosts_down_limit=st.integers(1, 6),
    racks_down_limit=st.integers(1, 3),
)
def test_a_plan_takes_each_host_once_within_the_budget(
    sizes, hosts_down_limit, racks_down_limit
):
    numbers = itertools.count()
    hosts = [
        make_host(next(numbers), rack=f"r{rack}")
        for rack, size in enumerate(sizes)
        for _ in range(size)
    ]
    pool = make_pool(
        hosts_down_limit=hosts_down_limit, racks_down_limit=racks_down_limit
    )
    plan = plan_wave([pool], hosts, 0.0, WaveSettings())
    turns = plan.by_pool["quotes"].hosts
    assert sorted(t.host_id for t in turns) == sorted(h.host_id for h in hosts)
    for turn in turns:
        at_once = [t for t in turns if t.start_s <= turn.start_s < t.end_s]
        assert len(at_once) <= hosts_down_limit
        assert len({t.rack for t in at_once}) <= racks_down_limit


@pytest.mark.parametrize(
    ("hosts", "limits"), [(6, (1, 1)), (8, (2, 1)), (24, (2, 2)), (104, (5, 2))]
)
def test_a_plan_is_near_the_lower_bound_and_beats_one_at_a_time(hosts, limits):
    pool = make_pool(hosts_down_limit=limits[0], racks_down_limit=limits[1])
    due = [make_host(n) for n in range(hosts)]
    wave = WaveSettings()
    plan = plan_wave([pool], due, 0.0, wave)
    bound_s = lower_bound_s([pool], due, 0.0, wave)
    single = plan_one_at_a_time([pool], due, 0.0, wave)
    assert bound_s <= plan.roll_out_s <= TIME_LIMIT_OVER_BOUND * bound_s
    assert plan.roll_out_s <= single.roll_out_s
    assert plan.moves == 0


def test_weights_choose_between_time_and_spares():
    pool = make_pool(hosts_down_limit=1)
    due = [make_host(n) for n in range(24)]
    time_weighted = WaveSettings(hour_weight=100, buffer_weight=1, move_weight=0.01)
    spares_weighted = WaveSettings(hour_weight=0.1, buffer_weight=10, move_weight=1)
    fast = plan_wave([pool], due, 0.0, time_weighted, spares=OFFER)
    slow = plan_wave([pool], due, 0.0, spares_weighted, spares=OFFER)
    assert slow.buffer_hosts == 0 == slow.moves
    assert fast.roll_out_s < slow.roll_out_s
    assert 0 < fast.buffer_hosts <= 8


def test_work_starts_only_if_it_ends_inside_the_window():
    pool = make_pool(window_start_hour=1, window_end_hour=5)
    assert next_start_s(pool, 4 * HOUR_S, HOUR_S) == 4 * HOUR_S
    assert next_start_s(pool, 4 * HOUR_S + 1, HOUR_S) == 25 * HOUR_S
    assert next_start_s(pool, 0.0, 5 * HOUR_S) is None


def test_a_plan_keeps_to_the_windows_of_several_days():
    pool = make_pool(window_start_hour=1, window_end_hour=3)
    due = [make_host(n) for n in range(24)]
    plan = plan_wave([pool], due, 0.0, WaveSettings())
    for turn in plan.by_pool["quotes"].hosts:
        assert turn.start_s % (24 * HOUR_S) >= HOUR_S
        assert turn.end_s % (24 * HOUR_S) <= 3 * HOUR_S
    assert plan.roll_out_s == lower_bound_s([pool], due, 0.0, WaveSettings())


def test_a_pool_that_can_never_be_done_is_a_finding():
    pools = [make_pool(hosts_down_limit=0), make_pool("parts")]
    due = [make_host(0), make_host(0, "parts")]
    plan = plan_wave(pools, due, 0.0, WaveSettings())
    assert [finding.place for finding in plan.findings] == ["pool/quotes"]
    assert set(plan.by_pool) == {"parts"}


@pytest.mark.parametrize(
    ("serving", "limits", "usable"),
    [
        (8, {"hosts_wanted": 0}, 6),
        (8, {"hosts_wanted": 3}, 5),
        (8, {"hosts_wanted": 9}, 0),
        (8, {"hosts_wanted": 0, "racks_down_limit": 2}, 2),
        (3, {"hosts_wanted": 3}, 0),
    ],
)
def test_spares_stay_within_the_budget_and_the_reserve_of_their_pool(
    serving, limits, usable
):
    limits = {"hosts_down_limit": 6, "racks_down_limit": 6, **limits}
    offer = SparesOffer(make_pool("buffer", **limits), serving, members=8)
    assert offer.usable == usable


@settings(derandomize=True, deadline=None, database=None, max_examples=100)
@given(
    sizes=st.lists(st.integers(1, 4), min_size=2, max_size=8),
    hosts_down_limit=st.integers(1, 4),
    racks_down_limit=st.integers(1, 3),
    spares=st.integers(0, 8),
)
def test_a_plan_with_spares_keeps_to_every_budget_and_is_not_slower(
    sizes, hosts_down_limit, racks_down_limit, spares
):
    wave = WaveSettings(hour_weight=1, buffer_weight=0, move_weight=0)
    limits = {
        "hosts_down_limit": hosts_down_limit,
        "racks_down_limit": racks_down_limit,
    }
    pools = [make_pool(**limits), make_pool("parts", **limits)]
    due = [
        make_host(10 * rack + n, pool, rack=f"{pool}{rack}")
        for pool in ("quotes", "parts")
        for rack, size in enumerate(sizes)
        for n in range(size)
    ]
    plan = plan_wave(pools, due, 0.0, wave, attrs.evolve(OFFER, serving=spares))
    in_place = plan_wave(pools, due, 0.0, wave)
    turns = [turn for pool in plan.by_pool.values() for turn in pool.hosts]
    assert sorted(turn.host_id for turn in turns) == sorted(h.host_id for h in due)
    assert plan.roll_out_s <= in_place.roll_out_s
    assert plan.roll_out_s >= lower_bound_s(pools, due, 0.0, wave, with_spares=True)
    swapped = [turn for turn in turns if is_swapped(turn, wave)]
    for turn in swapped:
        away = [t for t in swapped if t.start_s <= turn.start_s < t.end_s]
        assert len(away) <= plan.buffer_hosts <= spares
    for pool in plan.by_pool.values():
        for turn in pool.hosts:
            down = [t for t in pool.hosts if is_down(t, turn.start_s, wave)]
            assert len(down) <= hosts_down_limit
            assert len({t.rack for t in down}) <= racks_down_limit


def test_spares_that_no_window_lets_be_maintained_are_not_planned():
    buffer = make_pool("buffer", hosts_wanted=0, hosts_down_limit=3, racks_down_limit=3)
    buffer = attrs.evolve(buffer, window_start_hour=1, window_end_hour=2)
    offer = SparesOffer(buffer, serving=3, members=3)
    hosts = [make_host(n) for n in range(6)]
    slow = WaveSettings(reboot_s=7200, hour_weight=1000, buffer_weight=0)
    plan = plan_wave([make_pool(hosts_wanted=6)], hosts, 0.0, slow, offer)
    assert plan.moves == 0
    assert len(plan.by_pool["quotes"].hosts) == 6


def is_down(turn, now_s, wave):
    """Return whether a host occupies a slot of its pool.

    A swapped host frees its slot after the drain.
    """
    end_s = turn.start_s + wave.drain_s if is_swapped(turn, wave) else turn.end_s
    return turn.start_s <= now_s < end_s


def is_swapped(turn, wave):
    """Return whether a host is moved to the spares' pool and maintained there."""
    return turn.end_s - turn.start_s == wave.arrival_s + wave.host_s


@pytest.mark.parametrize(
    ("user", "takes_spares"), [("collective", True), ("workshop", False)]
)
def test_the_weights_of_the_examples_take_spares_for_the_collective_only(
    user, takes_spares
):
    loaded = load_settings(str(EXAMPLES / user / "entry-host.yaml"))
    wave = wave_settings(loaded.fleet, loaded.weights)
    pools = [make_pool(f"pool{n}", hosts_wanted=6) for n in range(5)]
    due = [
        make_host(10 * n + i, f"pool{n}", rack=f"p{n}r{i // 4}")
        for n in range(5)
        for i in range(6)
    ]
    plan = plan_wave(pools, due, 0.0, wave, OFFER)
    assert (plan.buffer_hosts > 0) == takes_spares
