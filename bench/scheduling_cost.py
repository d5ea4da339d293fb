"""Print what scheduling costs a holder per start, without any I/O of its own.

Many small jobs wait for the servers of one pool; in each pass runs end, tasks are
placed and the rows of the changed jobs are encoded for the commit.
"""

import cProfile
import random
import time
from collections import Counter
from collections.abc import Iterator, Mapping

import attrs
import defopt
import trio

from bench.command_cost import print_profile
from rhubarbmount.batch.catalogue import Catalogue, Pool
from rhubarbmount.batch.job_rows import JobRows
from rhubarbmount.batch.model import (
    Job,
    JobSpec,
    Queue,
    QueueName,
    RunEnd,
    Server,
    Step,
)
from rhubarbmount.batch.placing import Placer
from rhubarbmount.batch.shard import Shard
from rhubarbmount.batch.write_batch import WriteBatch
from rhubarbmount.platform.rows import RowName

QUEUE = Queue(QueueName("h", "/q/"), "a", 0, 3, 1.6, 0.6)
PASS_S = 0.014


@attrs.define
class CountingCommitter:
    """Counts the rows and bytes of commits in place of a store."""

    rows: Counter[str] = attrs.field(factory=Counter)
    sizes: Counter[str] = attrs.field(factory=Counter)
    commits: int = 0

    async def commit(
        self, puts: Mapping[RowName, bytes], removes: tuple[RowName, ...] = ()
    ) -> None:
        """Count the rows."""
        self.commits += 1
        for name, value in puts.items():
            self.rows[name.table] += 1
            self.sizes[name.table] += len(value)


@attrs.define(eq=False)
class World:
    """A shard with servers and waiting jobs, and the time spent on each part."""

    servers: int
    width: int
    rng: random.Random
    now_s: float = 0.0
    starts: int = 0
    spent_s: Counter[str] = attrs.field(factory=Counter)
    committer: CountingCommitter = attrs.field(factory=CountingCommitter)
    shard: Shard = attrs.field(init=False)
    placer: Placer = attrs.field(init=False)
    rows: JobRows = attrs.field(init=False)
    _jobs: int = 0
    _ends: int = 0

    def __attrs_post_init__(self) -> None:
        pools = {"a": Pool("a", False)}
        self.shard = Shard(Catalogue(1, {QUEUE.name: QUEUE}, pools))
        self.placer = Placer(self.shard, {})
        batch = WriteBatch(self.committer)  # type: ignore[arg-type]
        self.rows = JobRows("s0", self.shard, batch)
        for n in range(self.servers):
            server = Server(
                f"m{n:04}-1",
                "a",
                "h:1",
                "z",
                False,
                32000,
                131072,
                0,
                frozenset(),
                "r",
                1,
            )
            self.shard.put_server(server, 0.0).is_reachable = True

    def add_jobs(self, waiting: int) -> None:
        """Add jobs until this many tasks wait."""
        while sum(map(len, self.shard.waiting_by_step.values())) < waiting:
            self._jobs += 1
            steps = tuple(
                Step(
                    self.width,
                    self.rng.randint(1500, 5000),
                    6300,
                    estimate_s=0.8,
                    after=after,
                )
                for after in ((), (0,))
            )
            spec = JobSpec(
                f"5c0e6b{self._jobs:06x}", QUEUE.name, "a", "x" * 60, steps, self.now_s
            )
            self.shard.add_job(Job(spec))

    def end_runs(self, share: float) -> None:
        """End this share of the runs."""
        for server_id, usage in self.shard.usage_by_server_id.items():
            for task in list(usage.task_by_id.values()):
                if self.rng.random() < share:
                    self._ends += 1
                    end = RunEnd(self._ends, task.id, task.run, "done", "")
                    with self.timed("ends"):
                        self.shard.end_run(server_id, end, self.now_s, 1000)

    def timed(self, part: str) -> "Timed":
        """Count the processor time of a block."""
        return Timed(self, part)

    async def play(self, passes: int, waiting: int, share: float) -> None:
        """Make this many passes."""
        for _ in range(passes):
            self.now_s += PASS_S
            self.shard.set_time(self.now_s, self.now_s)
            self.end_runs(share)
            self.add_jobs(waiting)
            with self.timed("placing"):
                self.starts += len(self.placer.place(self.now_s))
            with self.timed("rows"):
                self.rows.put_changed()
            await self.rows.write_batch.commit()


@attrs.define
class Timed:
    """Counts the processor time of a block towards a part."""

    world: World
    part: str
    begin_s: float = 0.0

    def __enter__(self) -> None:
        self.begin_s = time.thread_time()

    def __exit__(self, *_: object) -> None:
        self.world.spent_s[self.part] += time.thread_time() - self.begin_s


def worlds(widths: list[int], servers: int) -> Iterator[World]:
    """Yield a world for each width of a step."""
    for width in widths:
        yield World(servers, width, random.Random(1))


def main(
    *,
    widths: list[int] = [8, 32, 200],  # noqa: B006
    servers: int = 77,
    waiting: int = 800,
    passes: int = 150,
    share: float = 0.03,
    profile: bool = False,
) -> None:
    """Print the processor time and the rows of a start.

    :param widths: tasks of a step; a job has two steps
    :param servers: backend servers of the pool
    :param waiting: tasks that wait
    :param passes: scheduling passes
    :param share: share of the runs that end between two passes
    :param profile: print also where it is spent, under a profiler
    """
    print("width starts  us/start: placing ends rows  rows/start B/start B/commit")
    for world in worlds(widths, servers):
        profiler = cProfile.Profile(time.thread_time)
        if profile:
            profiler.enable()
        trio.run(world.play, passes, waiting, share)
        profiler.disable()
        spent = [
            world.spent_s[p] / world.starts * 1e6 for p in ("placing", "ends", "rows")
        ]
        rows, size = world.committer.rows, sum(world.committer.sizes.values())
        print(
            f"{world.width:5} {world.starts:6} {spent[0]:18.1f} {spent[1]:4.1f}"
            f" {spent[2]:4.1f} {rows['progress'] / world.starts:11.2f}"
            f" {size / world.starts:7.0f} {size / world.committer.commits:8.0f}"
        )
        if profile:
            print_profile(profiler, world.starts)


if __name__ == "__main__":
    defopt.run(main)
