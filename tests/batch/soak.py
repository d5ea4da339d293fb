"""Random faults over processes on the users' platform, for a time, with checkers.

python -m tests.batch.soak --seconds 120 --seed 7
"""

import json
import random
import signal
import sys
import tempfile
from contextlib import suppress
from pathlib import Path

import attrs
import defopt
import trio

from rhubarbmount.http import NotSent, ResponseLost
from rhubarbmount.standins.users_platform import Rebirth, UsersPlatform
from rhubarbmount.standins.users_servers import TaskWork
from tests.batch.checkers import JobChecker
from tests.batch.test_process import PHASES, WORK, entry_hosts, is_ready, wait_until

HOSTS = 3
LONG_RUNNING_TASKS = 2
LONG_RUNNING = {
    "count": LONG_RUNNING_TASKS,
    "cpu": 500,
    "mem_mb": 500,
    "estimate_ms": 900,
    "long_running": True,
    "max_per_server": 1,
    "max_unavailable": 1,
}
LONG_RUNNING_WORK = TaskWork(0.9, 500, 500, is_long_running=True)
FAULT_S = (0.5, 6.0)
REBIRTH_S = 0.3
CUT_AFTER_S = (0.5, 2.5)
# A task that has nothing running for this long, and as long a calm before it, is lost.
LOST_AFTER_S = 3.0
CALM_BEFORE_S = 4.0
JOBS_PER_ROUND = 4
CALL_TIMEOUT_S = 3.0
SUBMISSIONS = 8
PAUSE_S = 0.3


@attrs.define(eq=False)
class Observed:
    """What backend servers report, to observers in the manner of a simulated world."""

    long_running: str
    observers: list = attrs.field(factory=list)
    # The soak looks for lost tasks itself, as its faults are not those of a world.
    nursery: None = None

    def work_of(self, task):
        is_long_running = task.startswith(self.long_running)
        return LONG_RUNNING_WORK if is_long_running else WORK

    def observe(self, *event):
        for observer in self.observers:
            observer(*event)


async def submit(hosts, generator, job_id, phases):
    """Send a job to one entry host after another until one accepts it."""
    body = {"spec": "x", "phases": phases}
    for _ in range(SUBMISSIONS):
        host = generator.choice(hosts)
        with trio.move_on_after(CALL_TIMEOUT_S), suppress(NotSent, ResponseLost):
            if (await host.call("POST", f"/one/{job_id}", body)).status == 200:
                return True
        await trio.sleep(PAUSE_S)
    return False


async def impair(host, kind, time_s):
    """Kill, stop or freeze an entry host for a time."""
    numbers = {"kill": signal.SIGKILL, "stop": signal.SIGTERM}
    host.process.send_signal(numbers.get(kind, signal.SIGSTOP))
    await trio.sleep(time_s)
    if kind == "freeze":
        host.process.send_signal(signal.SIGCONT)
    else:
        await host.process.wait()
        host.process = await host.restart()
    await wait_until(lambda: is_ready(host))


async def find_lost(checker, tasks):
    """Return the long-running tasks that have nothing running while all is calm."""
    await trio.sleep(CALM_BEFORE_S)
    idle = set(tasks)
    with trio.move_on_after(LOST_AFTER_S):
        while idle:
            idle = {task for task in idle if not checker.running.get(task)}
            await trio.sleep(0.05)
    return [f"LOST: {task}" for task in sorted(idle)]


@attrs.define(eq=False)
class Soak:
    """Rounds of one or two faults that overlap, while jobs are sent."""

    platform: UsersPlatform
    hosts: list
    checker: JobChecker
    # Chooses the faults; those of callers depend on the answers that they get.
    generator: random.Random
    callers: random.Random
    long_running: str
    overlap: bool = False
    accepted: list = attrs.field(factory=list)
    found: list = attrs.field(factory=list)

    async def start(self):
        """Submit the long-running job, and wait until all its tasks run."""
        self.checker.add_job(self.long_running, [LONG_RUNNING])
        job = (self.long_running, [LONG_RUNNING])
        assert await submit(self.hosts, self.callers, *job)
        await wait_until(self._run_all)

    @property
    def tasks(self):
        """The ids of the long-running tasks."""
        return [f"{self.long_running}.0.0.{n}" for n in range(LONG_RUNNING_TASKS)]

    async def run_round(self, number):
        """Bring about faults, and look for lost tasks after them.

        The holder has one in each second round, or in each one if faults overlap, and
        backend servers in the others.
        """
        with_crash = self.overlap or number % 2 == 1
        with_holder = self.overlap or number % 2 == 0
        holder = self._find_holder()
        others = [host for host in self.hosts if host is not holder]
        faulty = self.generator.sample(others, self.generator.randint(0, 1))
        faulty = [holder, *faulty] if with_holder else faulty
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._submit_jobs)
            for host in faulty:
                kind = self.generator.choice(["kill", "stop", "freeze"])
                time_s = self.generator.uniform(*FAULT_S)
                print(f"   {kind} {host.ip} for {time_s:.2f} s", flush=True)
                nursery.start_soon(impair, host, kind, time_s)
            if with_crash:
                nursery.start_soon(self._crash, self.generator.uniform(*FAULT_S))
        self.found += await find_lost(self.checker, self.tasks)

    def _find_holder(self):
        """Return the host that took the lease last, by the logs."""

        def taken_at(host):
            lines = host.log_path.read_text().splitlines()
            return max((line for line in lines if "lease-won" in line), default="")

        return max(self.hosts, key=taken_at)

    async def _crash(self, down_s):
        """Crash a machine with a long-running task; nothing runs there then.

        In half of the cases its server starts again soon under its id, and is cut off.
        """
        cut_s = self.generator.choice([0.0, down_s])
        rebirth = Rebirth(keeps_row=self.generator.random() < 0.5) if cut_s else None
        down_s = REBIRTH_S if cut_s else down_s
        for machine in self.platform.machine_by_id.values():
            if machine.server and self.tasks[0] in machine.server.run_by_task:
                address = machine.server.address
                print(f"   crash {machine.id} for {down_s:.2f} s", flush=True)
                self.platform.crash(machine.id, down_s, rebirth=rebirth)
                await trio.sleep(down_s)
                if cut_s:
                    await self._cut(address, cut_s)
                return

    async def _cut(self, address, time_s):
        """Cut a server off soon, for a time."""
        await trio.sleep(self.generator.uniform(*CUT_AFTER_S))
        print(f"   cut {address} for {time_s:.2f} s", flush=True)
        self.platform.cut_addresses.add(address)
        await trio.sleep(time_s)
        self.platform.cut_addresses.discard(address)

    async def finish(self):
        """Wait for the accepted jobs; return what was broken."""
        with trio.move_on_after(30.0):
            while self.accepted:
                await self._check(self.accepted[-1])
        self.found += [f"LOST: {job_id}" for job_id in self.accepted]
        return self.found + self.checker.breaches

    async def _submit_jobs(self):
        for _ in range(JOBS_PER_ROUND):
            job_id = f"{self.callers.getrandbits(64):016x}"
            self.checker.add_job(job_id, PHASES)
            if await submit(self.hosts, self.callers, job_id, PHASES):
                self.accepted.append(job_id)
            await trio.sleep(PAUSE_S)

    async def _check(self, job_id):
        response = await self.hosts[0].call("GET", f"/one/{job_id}")
        if json.loads(response.body).get("state") == "complete":
            self.checker.check_complete(job_id)
            self.accepted.remove(job_id)
        await trio.sleep(0.1)

    async def _run_all(self):
        return all(self.checker.running.get(task) for task in self.tasks)


async def run_soak(folder, seconds, seed, overlap=False):
    """Run rounds until the time is over; return what was broken, and the starts."""
    generator = random.Random(seed)
    observed = Observed(f"{generator.getrandbits(64):016x}")
    checker = JobChecker(observed)
    started = entry_hosts(folder, HOSTS, observed.work_of, observed.observe)
    async with started as (platform, hosts):
        callers = random.Random(seed + 1)
        job_id = observed.long_running
        soak = Soak(platform, hosts, checker, generator, callers, job_id, overlap)
        await soak.start()
        end_s = trio.current_time() + seconds
        number = 0
        while trio.current_time() < end_s and not soak.found:
            await soak.run_round(number)
            number += 1
        return await soak.finish(), len(checker.starts)


def main(
    *, seconds: float = 120.0, seed: int | None = None, overlap: bool = False
) -> None:
    """Run rounds of random faults until the time is over.

    :param seconds: begin no further round after this time
    :param seed: repeats the choices of an earlier run, which printed it
    :param overlap: backend servers crash while the holder changes
    """
    seed = random.randrange(2**32) if seed is None else seed
    print(f"seed={seed}", flush=True)
    with tempfile.TemporaryDirectory() as folder:
        found, starts = trio.run(run_soak, Path(folder), seconds, seed, overlap)
    print(f"seed={seed} starts={starts} broken={len(found)}")
    sys.exit("\n".join(found) or 0)


if __name__ == "__main__":
    defopt.run(main)
