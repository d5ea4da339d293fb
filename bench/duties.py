"""Measure how soon duties are taken up again, and what their leases cost the store."""

import itertools
import logging
import random
import statistics
from collections import Counter

import attrs
import defopt
import trio
import trio.testing

from rhubarbmount.fleet_duties import FleetDuties
from rhubarbmount.store.memory import MemoryPlatform
from rhubarbmount.timers import TimerService

STORE_DELAY_S = 0.005
MEMBERS_DELAY_S = 5.0
STEADY_S = 60.0
DUTIES = ("hosts", "repair", "waves", "cadence", "scheduling")


@attrs.define
class SlowStore:
    """The embedded platform with a delay before each call, counted."""

    inner: MemoryPlatform = attrs.field(factory=MemoryPlatform)
    calls: Counter = attrs.field(factory=Counter)

    async def read(self, table, key):
        self.calls["read"] += 1
        await trio.sleep(STORE_DELAY_S)
        return await self.inner.read(table, key)

    async def scan(self, table, prefix=""):
        self.calls["read"] += 1
        await trio.sleep(STORE_DELAY_S)
        return await self.inner.scan(table, prefix)

    async def transact(self, transaction):
        self.calls["write"] += 1
        await trio.sleep(STORE_DELAY_S)
        return await self.inner.transact(transaction)


@attrs.define
class TimedRounds:
    """A duty that notes which instance does its rounds, and since when."""

    instance_id: str
    bench: "DutyBench"
    name: str

    async def do_round(self, lease):
        holder, _ = self.bench.held_since.get(self.name, ("", 0.0))
        if holder != self.instance_id:
            now_s = trio.current_time()
            self.bench.held_since[self.name] = (self.instance_id, now_s)

    def forget(self):
        return


@attrs.define
class DutyBench:
    """Instances that contend for all duties; a holder is stopped again and again."""

    instances: int
    seed: int
    store: SlowStore = attrs.field(factory=SlowStore)
    scope_by_name: dict = attrs.field(factory=dict)
    members: list = attrs.field(factory=list)
    held_since: dict = attrs.field(factory=dict)

    async def run(self, deaths):
        chooser = random.Random(self.seed)
        take_up_s = []
        async with trio.open_nursery() as nursery:
            timers = TimerService(self.seed)
            names = (f"i{number}" for number in itertools.count())
            for _ in range(self.instances):
                self.start(nursery, timers, next(names))
            await trio.sleep(20)
            self.store.calls.clear()
            await trio.sleep(STEADY_S)
            steady = Counter(self.store.calls)
            for _ in range(deaths):
                take_up_s += await self.kill_holder(nursery, chooser)
                self.start(nursery, timers, next(names))
                await trio.sleep(10 + 40 * chooser.random())
            nursery.cancel_scope.cancel()
        return steady, take_up_s

    def start(self, nursery, timers, name):
        self.members.append(name)
        duties = FleetDuties(name, self.store, lambda: self.members)
        for duty in DUTIES:
            duties.add(TimedRounds(name, self, duty), duties.bounds.poll_s)
        scope = self.scope_by_name[name] = trio.CancelScope()
        nursery.start_soon(self.live, duties, timers, scope)

    async def live(self, duties, timers, scope):
        with scope:
            await duties.run(timers)

    async def kill_holder(self, nursery, chooser):
        await trio.sleep(chooser.random() * 2)
        holder, _ = self.held_since[chooser.choice(DUTIES)]
        held = [duty for duty in DUTIES if self.held_since[duty][0] == holder]
        died_s = trio.current_time()
        self.scope_by_name.pop(holder).cancel()

        async def forget_later():
            await trio.sleep(MEMBERS_DELAY_S)
            self.members.remove(holder)

        nursery.start_soon(forget_later)
        while any(self.held_since[duty][0] == holder for duty in held):
            await trio.sleep(0.05)
        return [self.held_since[duty][1] - died_s for duty in held]


def main(*, deaths: int = 20, seed: int = 1) -> None:
    """Print take-up times and store calls for several numbers of instances.

    :param deaths: how often the holder is stopped at each size
    :param seed: seed of the times of death and of the timers
    """
    logging.disable(logging.INFO)
    print("instances  take-up s p50    max  reads/s  writes/s")
    for instances in (3, 7, 28, 70):
        bench = DutyBench(instances, seed)
        clock = trio.testing.MockClock(autojump_threshold=0)
        steady, take_up_s = trio.run(bench.run, deaths, clock=clock)
        print(
            f"{instances:9}  {statistics.median(take_up_s):13.1f}"
            f"  {max(take_up_s):5.1f}  {steady['read'] / STEADY_S:7.2f}"
            f"  {steady['write'] / STEADY_S:8.2f}"
        )


if __name__ == "__main__":
    defopt.run(main)
