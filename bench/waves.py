"""Compare plans of maintenance waves with one at a time and the lower bound."""

import itertools
import random
import time
import tracemalloc

import attrs
import defopt

from rhubarbmount.entries import Pool
from rhubarbmount.hosts import Host, Shape
from rhubarbmount.pool_plan import WaveSettings
from rhubarbmount.wave_bounds import lower_bound_s, plan_one_at_a_time
from rhubarbmount.wave_plan import SparesOffer, plan_wave

HOUR_S = 3600
MB = 1024 * 1024
TIME_FIRST = WaveSettings(hour_weight=20, buffer_weight=0.5, move_weight=0.02)
TIME_ALONE = WaveSettings(hour_weight=1000, buffer_weight=0.1, move_weight=0.02)
COST_FIRST = WaveSettings(hour_weight=0.5, buffer_weight=20, move_weight=0.5)


@attrs.frozen
class Fleet:
    """Pools and hosts of one size, with the spares that could be had."""

    name: str
    pools: list
    hosts: list
    spares: int


def make_fleet(name, pools, workers, data_centres, limits, spares, seed):
    """Return a fleet of equal pools, four workers to a rack."""
    chooser = random.Random(seed)
    entries, hosts = [], []
    numbers = itertools.count()
    for pool_number in range(pools):
        pool = f"pool{pool_number:02}"
        entries.append(
            Pool(
                name=pool,
                owner="bench",
                hosts_wanted=workers,
                hosts_down_limit=limits[0],
                racks_down_limit=limits[1],
            )
        )
        for worker in range(workers):
            number = next(numbers)
            hosts.append(
                Host(
                    host_id=f"h{number:04}",
                    pool=pool,
                    data_centre=f"dc{worker * data_centres // workers}",
                    rack=f"{pool}-r{worker // 4}",
                    address="127.0.0.1:1",
                    shape=Shape(32, 64),
                )
            )
    chooser.shuffle(hosts)
    return Fleet(name, entries, hosts, spares)


def fleets(seed):
    """Yield the users' fleets and the large one."""
    yield make_fleet("collective 5x6", 5, 6, 3, (1, 1), 15, seed)
    yield make_fleet("collective 5x6, 2 down", 5, 6, 3, (2, 1), 15, seed)
    yield make_fleet("workshop 5x8", 5, 8, 4, (1, 1), 15, seed)
    yield make_fleet("workshop 5x8, 2 down", 5, 8, 4, (2, 1), 15, seed)
    yield make_fleet("2,600 in 25, 5 down", 25, 104, 10, (5, 2), 250, seed)
    yield make_fleet("2,600 in 25, 6 down", 25, 104, 10, (6, 3), 250, seed)


def report(fleet, way, plan, bound_s, spent_s, peak_mb):
    """Print one line of the table."""
    print(
        f"{fleet.name:23} {way:19} {plan.roll_out_s / HOUR_S:8.2f}"
        f" {plan.roll_out_s / bound_s:8.3f} {plan.buffer_hosts:6} {plan.moves:6}"
        f" {spent_s:8.3f} {peak_mb:7.1f}"
    )


def spares_offer(count):
    """Return the offer of a buffer whose budget lets all its hosts be away."""
    pool = Pool(
        name="buffer",
        owner="bench",
        hosts_wanted=0,
        hosts_down_limit=count,
        racks_down_limit=count,
    )
    return SparesOffer(pool, serving=count, members=count)


def measure(function, *args, **kwargs):
    """Return the result, its processor seconds, and its peak memory in MB."""
    start_s = time.process_time()
    result = function(*args, **kwargs)
    spent_s = time.process_time() - start_s
    tracemalloc.start()
    function(*args, **kwargs)
    peak_mb = tracemalloc.get_traced_memory()[1] / MB
    tracemalloc.stop()
    return result, spent_s, peak_mb


def main(*, seed: int = 1) -> None:
    """Print roll-out time, buffer hosts, moves, planning time and memory of waves.

    :param seed: seed of the order in which hosts are given to the planner
    """
    print(
        "fleet                   way                  hours    /bound buffer  moves"
        "    cpu s      MB"
    )
    for fleet in fleets(seed):
        for way, function, wave, spares in (
            ("one at a time", plan_one_at_a_time, WaveSettings(), None),
            ("in place", plan_wave, WaveSettings(), 0),
            ("time first, spares", plan_wave, TIME_FIRST, fleet.spares),
            ("time alone, spares", plan_wave, TIME_ALONE, fleet.spares),
            ("cost first, spares", plan_wave, COST_FIRST, fleet.spares),
        ):
            extra = {} if spares is None else {"spares": spares_offer(spares)}
            args = (fleet.pools, fleet.hosts, 0.0, wave)
            plan, spent_s, peak_mb = measure(function, *args, **extra)
            bound_s = lower_bound_s(fleet.pools, fleet.hosts, 0.0, wave)
            report(fleet, way, plan, bound_s, spent_s, peak_mb)
        print(f"{fleet.name:23} lower bound         {bound_s / HOUR_S:9.2f}    1.000")


if __name__ == "__main__":
    defopt.run(main)
