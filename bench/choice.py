"""Compare routing strategies on the same arrivals, in a simulation."""

import argparse
from collections.abc import Callable, Iterator

import attrs

from bench.simulation import CROWDING, SERVICE_MEAN_S, SLOTS, World
from rhubarbmount.entries import Service
from rhubarbmount.strategies import strategies

SEED = 11
WORKERS = 8
WARM_UP_S = 5.0
CUT_AT_S = 10.0
SLOWDOWN = 5.0
FULL_CROWDING = 1.0 + CROWDING * (SLOTS - 1) / SLOTS
CAPACITY_PER_S = WORKERS * SLOTS / (SERVICE_MEAN_S * FULL_CROWDING)


def quotes(concurrency: int = 512) -> Service:
    """Return the service under test."""
    return Service(
        name="quotes", owner="workshop", pool="quotes", concurrency=concurrency
    )


def even(world: World) -> None:
    """All eight workers are alike."""
    world.add_workers(WORKERS)


def seven(world: World) -> None:
    """Only seven workers; the bound for the cases with one bad worker."""
    world.add_workers(WORKERS - 1)


def slow(world: World) -> None:
    """One of eight takes five times as long."""
    world.add_workers(WORKERS)[0].slowdown = SLOWDOWN


def failing(world: World) -> None:
    """One of eight answers at once with an error."""
    world.add_workers(WORKERS)[0].failing = True


def wrong_slots(world: World) -> None:
    """Two of eight have three slots in place of the eight that they declare."""
    for worker in world.add_workers(WORKERS)[:2]:
        worker.slots = 3


def cut(world: World) -> None:
    """Two data centres, the busier one spilling over; then they are cut apart."""
    world.add_workers(WORKERS)
    world.add_workers(WORKERS, data_centre="dc2")
    world.clock.after(CUT_AT_S, world.set_cut)


@attrs.frozen
class Case:
    """A fault, with the load as a fraction of eight workers' capacity."""

    name: str
    prepare: Callable[[World], None]
    loads: tuple[float, ...] = (0.3, 0.7)
    hosts_down_limit: int = 2


CASES = (
    Case("even", even),
    Case("seven good", seven),
    Case("one slow", slow),
    Case("one slow, capped", slow, hosts_down_limit=0),
    Case("failing fast", failing),
    Case("failing, capped", failing, hosts_down_limit=0),
    Case("wrong slots", wrong_slots),
    Case("centre cut", cut, loads=(0.6, 0.95)),
)


def run(case: Case, load: float, strategy: str, length_s: float) -> World:
    """Simulate one case with one strategy."""
    world = World(SEED)
    world.warm_up_s = WARM_UP_S
    case.prepare(world)
    two_centres = case.prepare is cut
    places = ["dc1", "dc1", "dc2", "dc2"] if two_centres else ["dc1"] * 4
    world.open_entry_hosts(
        places,
        [quotes()],
        strategy=strategy,
        hosts_down_limit=case.hosts_down_limit,
    )
    rate_per_s = CAPACITY_PER_S * load
    if two_centres:
        world.arrive(rate_per_s, length_s, entries=[0, 1])
        world.arrive(rate_per_s * 0.5, length_s, entries=[2, 3])
    else:
        world.arrive(rate_per_s, length_s)
    world.clock.run(length_s + 10.0)
    return world


def row(world: World) -> str:
    """Return one line of figures."""
    totals = world.totals
    done = sum(map(len, totals.latencies_s.values()))
    refused, failed = totals.counts["refused"], totals.counts["failed"]
    sent = max(done + refused + failed, 1)
    ran = sorted(worker.ran for worker in world.workers.values())
    return (
        f"{totals.quantile_s(0.5) * 1000:>8.1f}{totals.quantile_s(0.99) * 1000:>8.1f}"
        f"{100 * refused / sent:>10.2f}{100 * failed / sent:>9.2f}"
        f"{totals.counts['retries'] / sent:>9.4f}"
        f"{ran[0] / sum(ran):>8.3f}{ran[-1] / sum(ran):>8.3f}"
    )


def main() -> None:
    """Print a table of the cases and strategies."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=30.0)
    arguments = parser.parse_args()
    print(
        f"{'case':<17} load  {'strategy':<21}  p50 ms  p99 ms refused % failed %"
        "  retries   least    most"
    )
    for case, load, strategy in rows():
        figures = row(run(case, load, strategy, arguments.seconds))
        print(f"{case.name:<17}{load:>5}  {strategy:<21}{figures}", flush=True)


def rows() -> Iterator[tuple[Case, float, str]]:
    """Return every case at each load with each strategy."""
    for case in CASES:
        for load in case.loads:
            for strategy in strategies:
                yield case, load, strategy


if __name__ == "__main__":
    main()
