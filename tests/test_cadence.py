"""Waves that are started automatically."""

import itertools

from rhubarbmount.cadence import CadenceDuty, overdue_pools
from rhubarbmount.duty_runner import DutyRunner
from rhubarbmount.store.memory import MemoryPlatform
from rhubarbmount.waves import Wave, read_waves
from tests.fleetkit import ManualClock, fill, make_host, make_pool

DAY_S = 24 * 3600
NOW_S = 100 * DAY_S
POOL = make_pool(cadence_days=28)


def hosts_of_age(*days):
    return [
        make_host(n, maintained_s=NOW_S - age * DAY_S) for n, age in enumerate(days)
    ]


def test_a_wave_begins_before_the_cadence_of_the_oldest_host_ends():
    assert overdue_pools([POOL], hosts_of_age(1, 20), [], NOW_S) == []
    assert overdue_pools([POOL], hosts_of_age(1, 21), [], NOW_S) == [
        ("quotes", NOW_S - 14 * DAY_S)
    ]


def test_no_second_wave_begins_over_a_pool():
    hosts = hosts_of_age(27)
    wave = Wave(wave_id="w", started_s=0.0, pools=("quotes",))
    done = Wave(wave_id="w", started_s=0.0, pools=("quotes",), state="done")
    assert overdue_pools([POOL], hosts, [wave], NOW_S) == []
    assert len(overdue_pools([POOL], hosts, [done], NOW_S)) == 1


async def test_the_duty_begins_one_wave_and_no_more():
    platform, clock = MemoryPlatform(), ManualClock(NOW_S)
    await fill(platform, [POOL], hosts_of_age(1, 22))
    ids = itertools.count()
    runner = DutyRunner(
        duty=CadenceDuty(platform, clock.read),
        instance_id="a",
        platform=platform,
        clock=clock.read,
        new_id=lambda: f"id{next(ids)}",
        members=lambda: ("a",),
    )
    for _ in range(200):
        clock.now_s += 1.0
        await runner.step()
    waves = await read_waves(platform)
    assert [row.wave.pools for row in waves] == [("quotes",)]
