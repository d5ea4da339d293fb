"""Measure the store's writes for each lodgement, and where the budget ends."""

import logging
from random import Random

import attrs
import defopt
import trio

from bench.claims_ways import ways
from bench.claims_world import REQUEST_TIMEOUT_S, Request, World, run_seeded

DURATION_S = 30.0
RATES_PER_S = (10, 50, 100, 150, 200, 250, 300, 400, 600)


@attrs.define(eq=False)
class Count:
    """What became of the lodgements sent at one rate."""

    sent: int = 0
    ran: int = 0
    waits_s: list[float] = attrs.field(factory=list)

    async def lodge(self, world: World, lodgement: str) -> None:
        """Send one lodgement once."""
        started_s = trio.current_time()
        host = world.pick_host(world.random.choice(world.data_centres))
        request = Request(lodgement, lodgement, started_s + REQUEST_TIMEOUT_S)
        self.sent += 1
        if await host.ask(request) == "ran":
            self.ran += 1
            self.waits_s.append(trio.current_time() - started_s)


async def measure(rate_per_s: float, hosts_per_data_centre: int, seed: int) -> str:
    """Return a line for one rate."""
    count = Count()
    arrivals = Random(seed)
    async with trio.open_nursery() as processes:
        world = World(
            processes,
            ways.get("refuse").handle,
            seed,
            hosts_per_data_centre=hosts_per_data_centre,
        )
        world.not_run_share = world.run_lost_share = 0.0
        await world.start()
        started_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            while trio.current_time() - started_s < DURATION_S:
                await trio.sleep(arrivals.expovariate(rate_per_s))
                nursery.start_soon(count.lodge, world, f"{count.sent}")
        line = _line(world, count, rate_per_s, trio.current_time() - started_s)
        processes.cancel_scope.cancel()
    return line


def _line(world: World, count: Count, rate_per_s: float, elapsed_s: float) -> str:
    batches = [host.claims.batches for host in world.hosts]
    records = [host.claims.records for host in world.hosts]
    transactions = sum(b.transactions for b in batches)
    claim_rows = sum(b.rows for b in batches)
    rows = sum(host.client.writes_acquired for host in world.hosts)
    waits_s = sorted(count.waits_s) or [float("nan")]
    return (
        f"{rate_per_s:6} {count.sent:6} {count.ran / count.sent:8.3f}"
        f" {rows / max(1, count.ran):13.2f} {rows / elapsed_s:7.0f}"
        f" {claim_rows / max(1, transactions):10.2f}"
        f" {sum(len(r) for r in records):10}"
        f" {waits_s[len(waits_s) // 2] * 1000:7.0f}"
        f" {waits_s[int(len(waits_s) * 0.99)] * 1000:7.0f}"
    )


def main(*, hosts_per_data_centre: int = 2, seed: int = 1) -> None:
    """Print a table with one line for each rate.

    :param hosts_per_data_centre: entry hosts in each of three data centres
    :param seed: seed of all choices
    """
    logging.disable(logging.CRITICAL)
    print(
        "rate/s   sent ran-part rows/lodgement  rows/s rows/batch unwritten"
        "  p50ms   p99ms"
    )
    for rate_per_s in RATES_PER_S:
        print(run_seeded(measure, rate_per_s, hosts_per_data_centre, seed), flush=True)


if __name__ == "__main__":
    defopt.run(main)
