"""Measure how soon a duty is taken up again, and what its lease costs the store."""

import itertools
import logging
import random
import statistics
from collections import Counter

import attrs
import defopt
import trio
import trio.testing

from rhubarbmount.duties import LeaseBounds
from rhubarbmount.duty_runner import DutyRunner
from rhubarbmount.platform.memory import MemoryPlatform
from rhubarbmount.timers import TimerService

STORE_DELAY_S = 0.005
MEMBERS_DELAY_S = 5.0
STEADY_S = 60.0


@attrs.define
class SlowStore:
    """The embedded platform with a delay before each call, counted."""

    inner: MemoryPlatform = attrs.field(factory=MemoryPlatform)
    calls: Counter = attrs.field(factory=Counter)

    async def read(self, table, key):
        self.calls["read"] += 1
        await trio.sleep(STORE_DELAY_S)
        return await self.inner.read(table, key)

    async def transact(self, transaction):
        self.calls["write"] += 1
        await trio.sleep(STORE_DELAY_S)
        return await self.inner.transact(transaction)


@attrs.define
class TimedRounds:
    """A duty that notes when rounds were done, and by which instance."""

    instance_id: str
    bench: "DutyBench"
    name: str = "waves"

    async def do_round(self, lease):
        self.bench.last_round = (self.instance_id, trio.current_time())

    def forget(self):
        return


@attrs.define
class DutyBench:
    """Instances that contend for one duty; the holder is stopped again and again."""

    instances: int
    seed: int
    store: SlowStore = attrs.field(factory=SlowStore)
    scopes: dict = attrs.field(factory=dict)
    members: list = attrs.field(factory=list)
    last_round: tuple = ("", 0.0)

    async def run(self, deaths):
        chooser = random.Random(self.seed)
        take_up_s = []
        async with trio.open_nursery() as nursery:
            timers = TimerService(nursery, self.seed)
            names = (f"i{number}" for number in itertools.count())
            for _ in range(self.instances):
                self.start(nursery, timers, next(names))
            await trio.sleep(20)
            self.store.calls.clear()
            await trio.sleep(STEADY_S)
            steady = Counter(self.store.calls)
            for _ in range(deaths):
                take_up_s.append(await self.kill_holder(nursery, chooser))
                self.start(nursery, timers, next(names))
                await trio.sleep(10 + 40 * chooser.random())
            nursery.cancel_scope.cancel()
        return steady, take_up_s

    def start(self, nursery, timers, name):
        numbers = itertools.count()
        scope = self.scopes[name] = trio.CancelScope()
        self.members.append(name)
        runner = DutyRunner(
            duty=TimedRounds(name, self),
            instance_id=name,
            platform=self.store,
            clock=trio.current_time,
            new_id=lambda: f"{name}-{next(numbers)}",
            members=lambda: self.members,
            bounds=LeaseBounds(),
        )

        async def live():
            with scope:
                await runner.run(timers.every(name, runner.bounds.poll_s))

        nursery.start_soon(live)

    async def kill_holder(self, nursery, chooser):
        await trio.sleep(chooser.random() * 2)
        holder, _ = self.last_round
        died_s = trio.current_time()
        self.scopes.pop(holder).cancel()

        async def forget_later():
            await trio.sleep(MEMBERS_DELAY_S)
            self.members.remove(holder)

        nursery.start_soon(forget_later)
        while self.last_round[0] == holder:
            await trio.sleep(0.05)
        return self.last_round[1] - died_s


def main(*, deaths: int = 20, seed: int = 1) -> None:
    """Print take-up times and store calls for several numbers of instances.

    :param deaths: how often the holder is stopped at each size
    :param seed: seed of the times of death and of the timers
    """
    logging.disable(logging.INFO)
    print("instances  take-up s p50    max  reads/s/duty  writes/s/duty")
    for instances in (3, 7, 28, 70):
        bench = DutyBench(instances, seed)
        clock = trio.testing.MockClock(autojump_threshold=0)
        steady, take_up_s = trio.run(bench.run, deaths, clock=clock)
        print(
            f"{instances:9}  {statistics.median(take_up_s):13.1f}"
            f"  {max(take_up_s):5.1f}  {steady['read'] / STEADY_S:12.2f}"
            f"  {steady['write'] / STEADY_S:13.2f}"
        )


if __name__ == "__main__":
    defopt.run(main)
