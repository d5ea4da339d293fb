"""Compare placement strategies: speed, urgent waits, evictions and fragmentation.

Run with ``python -m bench.placement [--seed N] [--seconds S]``.
"""

import argparse
import heapq
import itertools
import random
import time

import attrs

from rhubarbmount.entries import Team, WorkClass
from rhubarbmount.explain import DecisionMemory
from rhubarbmount.host_usage import HostUsage
from rhubarbmount.hosts import Host, Shape
from rhubarbmount.job_changes import EndReport, JobChange, JobRequest
from rhubarbmount.job_queue import TeamUsage, WaitingJob
from rhubarbmount.jobs import Job, JobState, Task
from rhubarbmount.placement import PlacementPolicy, PoolPlacer, Wait
from rhubarbmount.resources import resources_needed
from rhubarbmount.scheduler import Scheduler
from rhubarbmount.scheduling_policy import Learned, SchedulingPolicy

POOLS = 25
TEAMS = 220
HOSTS_PER_RACK = 4
SIZES = (260, 1000, 2600)
STEP_S = 0.25
COMMIT_AND_COMMAND_S = 0.1
PLACEMENTS_PER_STEP = 32
BATCH_PER_HOST = 9
TASK_START_S = 0.2
CHECKPOINT_S = (0.5, 2.0)
BATCH_SHAPES = (Shape(2, 4), Shape(4, 8), Shape(4, 16), Shape(8, 16))
URGENT_SHAPE = Shape(4, 8)
LARGE_SHAPE = Shape(8, 16)
HALF_HOST = Shape(16, 32)
FILL_SHARE = 0.75
BATCH_RUN_S = 300.0
URGENT_RUN_S = 30.0
URGENT_PER_POOL_S = 0.1
BURST_SIZE = 4
BURST_SHARE = 0.1
POLICIES = {
    "first fit": PlacementPolicy("first-fit", evicts=False),
    "best fit": PlacementPolicy("best-fit", evicts=False),
    "first fit, evicting": PlacementPolicy("first-fit"),
    "best fit, evicting": PlacementPolicy("best-fit"),
    "product": PlacementPolicy("spread"),
}


def make_hosts(count: int, pools: int) -> dict[str, Host]:
    """Return hosts over pools and racks; every fifth has four accelerators."""
    hosts = {}
    for number in range(count):
        host_id = f"h{number:04}"
        hosts[host_id] = Host(
            host_id=host_id,
            pool=f"p{number % pools:02}",
            data_centre=f"d{number % 10}",
            rack=f"r{number // (HOSTS_PER_RACK * pools)}-{number % pools}",
            address="",
            shape=Shape(32, 64, 4 if number % 5 == 0 else 0),
        )
    return hosts


def make_teams() -> list[Team]:
    """Return teams whose quotas leave placement to the room there is."""
    big = {"processors_quota": 10**6, "memory_quota_gb": 10**7}
    return [
        Team(name=f"t{n}", owner=f"t{n}", accelerators_quota=10**5, **big)
        for n in range(TEAMS)
    ]


@attrs.define
class Fleet:
    """Workers that obey commands with delays, in simulated time."""

    scheduler: Scheduler
    seed: int
    hosts: dict[str, Host]
    pools: int
    batch_run_s: float
    events: list[tuple[float, int, str, str]] = attrs.field(factory=list)
    count: itertools.count = attrs.field(factory=itertools.count)
    submitted_s: dict[str, float] = attrs.field(factory=dict)
    urgent_waits_s: list[float] = attrs.field(factory=list)
    evictions: int = 0
    restarts: int = 0
    decisions: int = 0
    lost_processor_s: float = 0.0
    spent_s: float = 0.0
    filled: bool = False
    running: set[str] = attrs.field(factory=set)
    arrivals: random.Random = attrs.field(init=False)
    rng: random.Random = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.arrivals = random.Random(self.seed)
        self.rng = random.Random(self.seed + 1)

    def run(self, seconds: float) -> None:
        """Fill the pools with batch, then let urgent jobs arrive."""
        self.scheduler.set_teams(make_teams(), 1)
        self.scheduler.set_hosts(self.hosts)
        self.scheduler.fleet.set_live(set(self.hosts))
        for pool in range(self.pools):
            self._keep_batch_waiting(pool)
        for step in range(int(seconds / STEP_S)):
            now_s = step * STEP_S
            self.scheduler.set_time(now_s, now_s)
            self._pass_events(now_s)
            if step > 8:
                self._arrive(now_s)
            limit = PLACEMENTS_PER_STEP if self.filled else len(self.hosts) * 16
            self.filled = True
            began_s = time.perf_counter()
            changes = list(self.scheduler.place(limit))
            if step:
                self.spent_s += time.perf_counter() - began_s
            self._obey(changes, now_s)
            for pool in range(self.pools):
                self._keep_batch_waiting(pool)

    def _keep_batch_waiting(self, pool: int) -> None:
        queue = self.scheduler.fleet.placer(f"p{pool:02}").queue
        hosts = len(self.hosts) // self.pools
        wanted = hosts if self.filled else BATCH_PER_HOST * hosts
        for _ in range(wanted - len(queue)):
            shape = self.rng.choice(BATCH_SHAPES)
            self._submit(pool, shape, WorkClass.BATCH, self.batch_run_s)

    def _arrive(self, now_s: float) -> None:
        for pool in range(self.pools):
            if self.arrivals.random() >= URGENT_PER_POOL_S * STEP_S:
                continue
            burst = self.arrivals.random() < BURST_SHARE
            for _ in range(BURST_SIZE if burst else 1):
                self._submit(pool, URGENT_SHAPE, WorkClass.URGENT, URGENT_RUN_S)

    def _submit(
        self, pool: int, shape: Shape, work_class: WorkClass, run_s: float
    ) -> None:
        job_id = f"j{next(self.count)}"
        now_s = self.scheduler.now_s
        job = Job(
            job_id=job_id,
            team=f"t{self.rng.randrange(TEAMS)}",
            pool=f"p{pool:02}",
            shape=shape,
            work_class=work_class,
            run_time_s=run_s,
            submitted_s=now_s,
        )
        # A request is read half a step after it was written, in the mean.
        self.submitted_s[job_id] = now_s - self.rng.random() * STEP_S
        self.scheduler.take_request(JobRequest(job_id, "submit", job))

    def _obey(self, changes: list[JobChange], now_s: float) -> None:
        for change in changes:
            command = change.command
            if command is None:
                continue
            self.decisions += 1
            if command.action == "start":
                self._start(change.task, now_s)
            else:
                self.evictions += 1
                wait_s = COMMIT_AND_COMMAND_S + self.rng.uniform(*CHECKPOINT_S)
                self._push(now_s + wait_s, "checkpointed", command.task_id)

    def _start(self, task: Task, now_s: float) -> None:
        started_s = now_s + COMMIT_AND_COMMAND_S + TASK_START_S
        self.scheduler.take_delivery(self.scheduler.records.command(task))
        self.running.add(task.task_id)
        self.restarts += task.token > 1
        if task.work_class is WorkClass.URGENT:
            self.urgent_waits_s.append(started_s - self.submitted_s[task.job_id])
        run_s = self.rng.expovariate(1 / task.run_time_s)
        self._push(started_s + run_s, "succeeded", task.task_id)

    def _push(self, at_s: float, outcome: str, task_id: str) -> None:
        heapq.heappush(self.events, (at_s, next(self.count), outcome, task_id))

    def _pass_events(self, now_s: float) -> None:
        while self.events and self.events[0][0] <= now_s:
            _, _, outcome, task_id = heapq.heappop(self.events)
            if task_id in self.running:
                self.running.discard(task_id)
                self.scheduler.take_end(EndReport(task_id=task_id, outcome=outcome))

    def waiting_urgent_s(self) -> list[float]:
        """Return how long the urgent jobs that never started have waited."""
        now_s = self.scheduler.now_s
        jobs = self.scheduler.job_by_id.values()
        return [
            now_s - self.submitted_s[job.job_id]
            for job in jobs
            if job.work_class is WorkClass.URGENT and job.state is JobState.WAITING
        ]

    def free_shares(self) -> tuple[float, float]:
        """Return the free share of memory, and what of it no large job can use."""
        offered = free = usable = 0
        need = resources_needed(LARGE_SHAPE)
        for placer in self.scheduler.fleet.placers():
            for host_usage in placer.pool_usage.usage_by_host_id.values():
                offered += host_usage.offered[2]
                free += host_usage.unused[2]
                fitting = min(
                    have // want
                    for have, want in zip(host_usage.unused[1:], need[1:], strict=True)
                )
                usable += fitting * need[2]
        return free / offered, 1 - usable / free if free else 0.0


def percentile(values: list[float], share: float) -> float:
    """Return a percentile, or nan of nothing."""
    ordered = sorted(values)
    return ordered[int((len(ordered) - 1) * share)] if ordered else float("nan")


def measure_policy(seed: int, seconds: float, batch_run_s: float) -> None:
    """Print how urgent jobs fare on full pools, by strategy."""
    print(
        f"\n2,600 workers, {POOLS} pools full of batch of {batch_run_s:g} s in the mean"
    )
    print(f"{seconds:g} s, seed {seed}")
    print(
        f"{'strategy':22}{'urgent':>8}{'p50 s':>8}{'p99 s':>8}{'max s':>8}"
        f"{'evicted':>9}{'moves':>7}{'free %':>8}{'frag %':>8}{'step ms':>9}"
    )
    for name, policy in POLICIES.items():
        learned = Learned(memory=DecisionMemory())
        scheduler = Scheduler(
            policy=SchedulingPolicy(placement=policy), learned=learned
        )
        hosts = make_hosts(2600, POOLS)
        fleet = Fleet(scheduler, seed, hosts, POOLS, batch_run_s)
        fleet.run(seconds)
        waits = fleet.urgent_waits_s + fleet.waiting_urgent_s()
        free, fragmented = fleet.free_shares()
        step_ms = fleet.spent_s / (seconds / STEP_S) * 1000
        print(
            f"{name:22}{len(waits):8}{percentile(waits, 0.5):8.2f}"
            f"{percentile(waits, 0.99):8.2f}{max(waits):8.2f}{fleet.evictions:9}"
            f"{fleet.restarts:7}{free * 100:8.2f}{fragmented * 100:8.1f}{step_ms:9.1f}"
        )


def measure_speed(seed: int, decisions: int = 4000) -> None:
    """Print decisions a second in one pool that is full and turns over."""
    print(f"\none pool, full, one job ends and one starts; {decisions} decisions")
    print(
        f"{'strategy':12}" + "".join(f"{size:>14}" for size in SIZES) + "   cost ratio"
    )
    for strategy in ("first-fit", "best-fit", "spread"):
        rates = [churn(strategy, size, seed, decisions) for size in SIZES]
        shown = "".join(f"{rate:>12.0f}/s" for rate in rates)
        print(f"{strategy:12}{shown}   {rates[0] / rates[-1]:.2f} at 10 x the hosts")


def churn(strategy: str, size: int, seed: int, decisions: int) -> float:
    """Return decisions a second, ending a random task before each."""
    rng = random.Random(seed)
    placer = PoolPlacer("p00", PlacementPolicy(strategy))
    for host in make_hosts(size, 1).values():
        placer.pool_usage.set_host(host)
    usage = TeamUsage()
    for team in make_teams():
        usage.set_team(team)
    numbers = itertools.count()
    while _place_one(placer, usage, rng, next(numbers)):
        pass
    tasks = list(placer.pool_usage.host_by_task)
    began_s = time.perf_counter()
    for _ in range(decisions):
        position = rng.randrange(len(tasks))
        host_usage = placer.pool_usage.remove_task(tasks[position])
        assert host_usage is not None
        found = _place_one(placer, usage, rng, next(numbers))
        if found:
            tasks[position] = found
        else:
            tasks[position] = tasks[-1]
            tasks.pop()
    return decisions / (time.perf_counter() - began_s)


def measure_fragmentation(seed: int, size: int = 260, changes: int = 8000) -> None:
    """Print how much free memory large jobs can use after many changes."""
    print(f"\none pool of {size} hosts, {FILL_SHARE:.0%} full, after {changes} changes")
    print(f"{'strategy':12}{'free %':>8}{'usable by 16 processors, 32 GB %':>36}")
    for strategy in ("first-fit", "best-fit", "spread"):
        rng = random.Random(seed)
        placer = PoolPlacer("p00", PlacementPolicy(strategy))
        for host in make_hosts(size, 1).values():
            placer.pool_usage.set_host(host)
        usage = TeamUsage()
        for team in make_teams():
            usage.set_team(team)
        offered = sum(
            host_usage.offered[2]
            for host_usage in placer.pool_usage.usage_by_host_id.values()
        )
        tasks: list[str] = []
        for number in range(changes):
            while tasks and _used(placer) > FILL_SHARE * offered:
                position = rng.randrange(len(tasks))
                tasks[position], tasks[-1] = tasks[-1], tasks[position]
                placer.pool_usage.remove_task(tasks.pop())
            tasks.append(_place_one(placer, usage, rng, number))
        free = offered - _used(placer)
        usable = sum(
            _large_fits(host_usage)
            for host_usage in placer.pool_usage.usage_by_host_id.values()
        )
        share = usable * resources_needed(HALF_HOST)[2] / free
        print(f"{strategy:12}{free / offered * 100:8.1f}{share * 100:36.1f}")


def _used(placer: PoolPlacer) -> int:
    return sum(
        host_usage.used[2] for host_usage in placer.pool_usage.usage_by_host_id.values()
    )


def _large_fits(host_usage: HostUsage) -> int:
    need = resources_needed(HALF_HOST)
    return min(
        have // want for have, want in zip(host_usage.free[1:], need[1:], strict=True)
    )


def _place_one(
    placer: PoolPlacer, usage: TeamUsage, rng: random.Random, number: int
) -> str:
    shape = rng.choice(BATCH_SHAPES)
    team = f"t{rng.randrange(TEAMS)}"
    job = Job(
        job_id=f"j{number}",
        team=team,
        pool="p00",
        shape=shape,
        work_class=WorkClass.BATCH,
    )
    placer.queue.add(WaitingJob(job, resources_needed(shape)))
    for decision in placer.plan(usage, 0.0, 1, urgent=False):
        placer.queue.remove(job)
        if isinstance(decision, Wait):
            return ""
        task = Task(
            task_id=job.job_id,
            job_id=job.job_id,
            team=team,
            pool="p00",
            host_id=decision.host_id,
            reserved=shape,
            kind=team,
            work_class=WorkClass.BATCH,
        )
        placer.pool_usage.add_task(task)
        return task.task_id
    return ""


def main() -> None:
    """Run both measurements with one seed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=7)
    parser.add_argument("--seconds", type=float, default=120.0)
    parser.add_argument("--batch-run-s", type=float, default=BATCH_RUN_S)
    options = parser.parse_args()
    measure_speed(options.seed)
    measure_fragmentation(options.seed)
    measure_policy(options.seed, options.seconds, options.batch_run_s)


if __name__ == "__main__":
    main()
