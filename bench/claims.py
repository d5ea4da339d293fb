"""Measure runs, doubled runs and false denials of keyed requests under faults."""

import logging
from random import Random

import attrs
import defopt
import trio

from bench.claims_ways import Way, ways
from bench.claims_world import (
    REQUEST_TIMEOUT_S,
    EntryHost,
    Request,
    World,
    run_seeded,
)

REQUESTS = 12000
DURATION_S = 600.0
ATTEMPTS = 12
OUTAGES_S = ((60.0, 180.0), (420.0, 440.0))
CUTS_S = ((240.0, 300.0), (330.0, 360.0))


@attrs.define
class Result:
    """What one way did with all the lodgements."""

    way: str
    requests: int
    told_ran: int
    ran: int
    doubled: int
    falsely_denied: int
    outage_requests: int
    outage_told_ran: int
    cut_requests: int
    cut_told_ran: int
    prompt_outage: int


@attrs.define(eq=False)
class Caller:
    """Send each lodgement, and send it again until its outcome is known."""

    world: World
    way: Way
    prompt: set[str] = attrs.field(factory=set)

    async def lodge(self, lodgement: str, data_centre: str) -> None:
        """Send one lodgement until it ran or the attempts are used up."""
        started_s = trio.current_time()
        host, key = await self._key(lodgement, data_centre)
        for attempt in range(ATTEMPTS):
            if attempt:
                host = self.world.pick_host(data_centre)
            deadline_s = trio.current_time() + REQUEST_TIMEOUT_S
            outcome = await host.ask(Request(lodgement, key, deadline_s))
            self.world.ledger.tell(lodgement, outcome)
            if outcome == "ran":
                if trio.current_time() - started_s < 2 * REQUEST_TIMEOUT_S:
                    self.prompt.add(lodgement)
                return
            await trio.sleep(min(60.0, 0.5 * 2**attempt))

    async def _key(self, lodgement: str, data_centre: str) -> tuple[EntryHost, str]:
        """Return a key and the host at the other end of the connection."""
        while True:
            host = self.world.pick_host(data_centre)
            with trio.move_on_after(REQUEST_TIMEOUT_S):
                return host, await self.way.make_key(host, lodgement)


async def inject_faults(world: World) -> None:
    """Cut, pause and replace hosts and take the platform away, at random times."""
    async with trio.open_nursery() as nursery:
        for begin_s, end_s in OUTAGES_S:
            nursery.start_soon(_take_platform, world, begin_s, end_s)
        for number, (begin_s, end_s) in enumerate(CUTS_S):
            name = world.data_centres[number]
            nursery.start_soon(_cut, world, name, begin_s, end_s)
        nursery.start_soon(_pause_hosts, world)
        nursery.start_soon(_replace_hosts, world)
        await trio.sleep(DURATION_S)
        nursery.cancel_scope.cancel()
    for host in world.hosts:
        host.resume()


async def _take_platform(world: World, begin_s: float, end_s: float) -> None:
    await trio.sleep(begin_s)
    world.platform_is_out = True
    world.apply_outage()
    await trio.sleep(end_s - begin_s)
    world.platform_is_out = False
    world.apply_outage()


async def _cut(world: World, name: str, begin_s: float, end_s: float) -> None:
    await trio.sleep(begin_s)
    world.cut_off.add(name)
    world.apply_outage()
    await trio.sleep(end_s - begin_s)
    world.cut_off.discard(name)
    world.apply_outage()


async def _pause_hosts(world: World) -> None:
    while True:
        await trio.sleep(world.random.expovariate(1 / 10.0))
        host = world.random.choice(world.hosts)
        host.pause()
        await trio.sleep(world.random.uniform(0.5, 6.0))
        host.resume()


async def _replace_hosts(world: World) -> None:
    while True:
        await trio.sleep(world.random.expovariate(1 / 15.0))
        host: EntryHost = world.random.choice(world.hosts)
        host.kill()
        await world.add_host(host.data_centre)


async def run_way(name: str, requests: int, seed: int) -> Result:
    """Send the lodgements through one way and count."""
    way = ways.get(name)
    sent_s: dict[str, float] = {}
    arrivals = Random(seed)
    async with trio.open_nursery() as processes:
        world = World(processes, way.handle, seed)
        await world.start()
        _spoil_answers(world)
        caller = Caller(world, way)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(inject_faults, world)
            for number in range(requests):
                await trio.sleep(arrivals.expovariate(requests / DURATION_S))
                lodgement = f"{name}-{number}"
                sent_s[lodgement] = trio.current_time()
                data_centre = arrivals.choice(world.data_centres)
                nursery.start_soon(caller.lodge, lodgement, data_centre)
        processes.cancel_scope.cancel()
    return _count(name, caller, sent_s)


def _spoil_answers(world: World) -> None:
    world.lost_answer_share = 0.01
    world.lost_call_share = 0.01
    world.late_effect_share = 0.01
    world.apply_outage()


def _count(name: str, caller: Caller, sent_s: dict[str, float]) -> Result:
    ledger = caller.world.ledger
    told_ran = {key for key, outcome in ledger.told.items() if outcome == "ran"}
    outage = {key for key, at_s in sent_s.items() if _within(OUTAGES_S, at_s)}
    cut = {key for key, at_s in sent_s.items() if _within(CUTS_S, at_s)}
    return Result(
        name,
        len(sent_s),
        len(told_ran),
        len(ledger.runs),
        ledger.doubled,
        len(ledger.falsely_denied),
        len(outage),
        len(outage & told_ran),
        len(cut),
        len(cut & told_ran),
        len(outage & caller.prompt),
    )


def _within(spans: tuple[tuple[float, float], ...], at_s: float) -> bool:
    return any(begin_s <= at_s < end_s for begin_s, end_s in spans)


def main(*, requests: int = REQUESTS, seed: int = 1, way: str = "") -> None:
    """Print a table with one line for each way.

    :param requests: lodgements for each way
    :param seed: seed of all faults and choices
    :param way: the only way to measure
    """
    logging.disable(logging.CRITICAL)
    print(
        f"{'way':<16} requests told-ran   ran doubled false-not-run"
        "  outage: sent told-ran within-4s  cut: sent told-ran"
    )
    for name in [way] if way else ways:
        result = run_seeded(run_way, name, requests, seed)
        print(
            f"{name:<16} {result.requests:8} {result.told_ran:8} {result.ran:5}"
            f" {result.doubled:7} {result.falsely_denied:13}"
            f" {result.outage_requests:13} {result.outage_told_ran:8}"
            f" {result.prompt_outage:9} {result.cut_requests:10}"
            f" {result.cut_told_ran:8}",
            flush=True,
        )


if __name__ == "__main__":
    defopt.run(main)
