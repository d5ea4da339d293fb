"""Print what asking peers for copies costs a node that the platform doesn't answer."""

import itertools
import random
from contextlib import AsyncExitStack

import attrs
import trio

from bench.peers import (
    HOSTS_PER_DATA_CENTRE,
    WARM_UP_S,
    NoPlatform,
    loads,
    measure_nodes,
    resident_bytes,
)
from rhubarbmount.catalogue import Snapshot
from rhubarbmount.configuration import Configuration
from rhubarbmount.fleet_view import FleetView
from rhubarbmount.follower import Follower
from rhubarbmount.peers import Peers, new_identity, open_peers
from rhubarbmount.store.memory import MemoryPlatform
from rhubarbmount.timers import TimerService, open_timers
from rhubarbmount.zmqtrio import CurveKeys

DATA_CENTRES = (2, 5, 10)
FIRST_PORT = 22000


@attrs.define
class Deployment:
    """Entry hosts of several data centres, the first ``cut_off`` without a platform."""

    data_centres: int
    cut_off: int
    stack: AsyncExitStack
    timers: TimerService
    nodes: list[Peers] = attrs.field(factory=list)
    followers: list[Follower] = attrs.field(factory=list)

    async def start(self) -> None:
        """Start every entry host."""
        keys = CurveKeys.generate()
        platform = MemoryPlatform()
        rng = random.Random(7)
        ports = itertools.count(FIRST_PORT)
        identities = [
            new_identity(f"dc{dc}-entry-{n}", f"dc{dc}", f"127.0.0.1:{next(ports)}")
            for dc in range(self.data_centres)
            for n in range(HOSTS_PER_DATA_CENTRE)
        ]
        addresses = {each.address: each.data_centre for each in identities}
        for number, identity in enumerate(identities):
            is_cut_off = number < self.cut_off * HOSTS_PER_DATA_CENTRE
            followers = new_followers(NoPlatform() if is_cut_off else platform)
            opened = open_peers(
                identity, keys, addresses, followers, self.timers, lambda: loads(rng)
            )
            peers = await self.stack.enter_async_context(opened)
            self.nodes.append(peers)
            for follower in followers.values():
                follower.pull = peers.pull
                self.followers.append(follower)


def new_followers(platform) -> dict[str, Follower]:
    """Return the states that an entry host follows; it has copies already."""
    configuration = Configuration(platform=platform)
    configuration.offer(Snapshot())
    return {"catalogue": configuration, "fleet": FleetView(platform=platform)}


async def measure(data_centres: int, cut_off: int) -> tuple[float, ...]:
    """Run a deployment and return its costs for each node."""
    before = resident_bytes()
    async with open_timers(seed=1) as timers, AsyncExitStack() as stack:
        deployment = Deployment(data_centres, cut_off, stack, timers)
        await deployment.start()
        async with trio.open_nursery() as nursery:
            for follower in deployment.followers:
                nursery.start_soon(follower.run, timers)
            await trio.sleep(WARM_UP_S)
            costs = await measure_nodes(deployment.nodes, before)
            nursery.cancel_scope.cancel()
    return costs


def main() -> None:
    """Print sums over all nodes, and what each node without the platform adds."""
    print("nodes  without platform  sent B/s  received B/s  msgs/s  core % (all nodes)")
    for data_centres in DATA_CENTRES:
        total = data_centres * HOSTS_PER_DATA_CENTRE
        base: tuple[float, ...] = ()
        for cut_off in (0, 1, data_centres):
            sums = [total * cost for cost in trio.run(measure, data_centres, cut_off)]
            without = cut_off * HOSTS_PER_DATA_CENTRE
            print(
                f"{total:5d}  {without:16d}  {sums[0]:8.0f}  {sums[1]:12.0f}"
                f"  {sums[2]:6.0f}  {sums[3]:6.1f}",
                flush=True,
            )
            base = base or tuple(sums)
            if without:
                pairs = zip(sums, base, strict=True)
                each = [(now - then) / without for now, then in pairs]
                print(
                    f"       each of them adds {each[0]:.0f} sent and {each[1]:.0f}"
                    f" received B/s in all, {each[2]:.2f} msgs/s, {each[3]:.2f} %",
                    flush=True,
                )


if __name__ == "__main__":
    main()
