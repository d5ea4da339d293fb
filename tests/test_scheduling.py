"""The scheduling duty: frozen holders, lost answers, outages and lost hosts."""

import itertools
import os

import attrs
import pytest
import trio
import trio.testing
from hypothesis import example, given, settings
from hypothesis import strategies as st

from rhubarbmount.entries import JobTemplate, Team, WorkClass
from rhubarbmount.errors import LeaseLost, OutcomeUnknown, PlatformUnavailable
from rhubarbmount.hosts import Host, HostState, Shape
from rhubarbmount.job_changes import JobRequest, request_write
from rhubarbmount.job_queue import TeamUsage
from rhubarbmount.jobs import Job, dump_job
from rhubarbmount.platform.interface import Precondition, Transaction, Write
from rhubarbmount.platform.memory import MemoryPlatform
from rhubarbmount.scheduling import SchedulingDuty
from tests.workers import Link, Workers

LEASE_S = 8.0
FIRST_COMMAND_CALL = 11
INTERLEAVINGS = int(os.environ.get("INTERLEAVINGS", "300"))
TEAMS = [
    Team(name=name, owner=name, processors_quota=10, memory_quota_gb=64)
    for name in ("a", "b")
]
NIGHTLY = JobTemplate(name="nightly", owner="a", team="a", pool="p", processors=2)
FAILURES = (LeaseLost, OutcomeUnknown, PlatformUnavailable)


@attrs.define
class View:
    """What an instance knows of the catalogue and of the hosts."""

    host_by_id: dict

    def catalogue_version(self):
        return 7

    def teams(self):
        return TEAMS

    def job_templates(self):
        return {"nightly": NIGHTLY}

    def hosts(self):
        return self.host_by_id


@attrs.define
class Lease:
    """A lease that an instance thinks it holds for a time after its take-over."""

    link: Link
    workers: Workers
    token: int = 0
    until_s: float = 0.0
    ids = itertools.count()

    async def confirm(self):
        if self.workers.now_s >= self.until_s:
            raise LeaseLost("lapsed")

    async def commit(self, terms):
        await self.confirm()
        fence = Precondition("leases", "scheduling", equals={"token": self.token})
        transaction = Transaction(
            f"o{next(self.ids)}", (fence, *terms.preconditions), terms.writes
        )
        return (await self.link.transact(transaction)).committed


@attrs.define
class Instance:
    """One entry host's duty, link and lease."""

    duty: SchedulingDuty
    link: Link
    lease: Lease
    busy: bool = False

    async def round(self):
        try:
            await self.duty.do_round(self.lease)
        except FAILURES:
            pass
        finally:
            self.busy = False


class World:
    """Two instances over one platform and a few workers."""

    def __init__(self, hosts=3, processors=4):
        self.platform = MemoryPlatform()
        self.hosts = {
            f"h{n}": Host(
                host_id=f"h{n}",
                pool="p",
                data_centre="d",
                rack=f"r{n % 2}",
                address="a",
                shape=Shape(processors, 16),
            )
            for n in range(hosts)
        }
        self.workers = Workers(self.platform, self.hosts)
        self.instances = [self._instance() for _ in range(2)]
        usage = TeamUsage()
        for team in TEAMS:
            usage.set_team(team)
        self.quotas = usage.quota_by_team
        self.token = 0
        self.jobs = 0

    def _instance(self):
        link = Link(self.platform)
        duty = SchedulingDuty(
            link, View(self.hosts), self.workers.clock, self.workers.clock
        )
        return Instance(duty, link, Lease(link, self.workers))

    async def write(self, *writes):
        await self.platform.transact(Transaction("w", (), writes))

    async def take_lease(self, number):
        """Give the lease to an instance once nobody's has time left."""
        taker = self.instances[number].lease
        if taker.until_s > self.workers.now_s and taker.token == self.token:
            taker.until_s = self.workers.now_s + LEASE_S
            return
        rest_s = max(i.lease.until_s for i in self.instances) - self.workers.now_s
        self.workers.advance(max(rest_s, 0.0))
        self.token += 1
        await self.write(Write("leases", "scheduling", {"token": self.token}))
        taker.token, taker.until_s = self.token, self.workers.now_s + LEASE_S
        if not self.instances[number].busy:
            self.instances[number].duty.forget()

    async def submit(self, **fields):
        self.jobs += 1
        fields = {
            "team": "a",
            "shape": Shape(2, 4),
            "submitted_s": self.workers.now_s,
        } | fields
        job = Job(job_id=f"j{self.jobs}", pool="p", **fields)
        await self.write(
            Write("jobs", job.job_id, dump_job(job)),
            request_write(JobRequest(job.job_id, "submit", job)),
        )
        return job.job_id

    async def cancel(self, job_id):
        await self.write(request_write(JobRequest(job_id, "cancel")))

    async def round(self, number=0):
        await self.take_lease(number)
        await self.instances[number].round()

    async def settle(self, rounds=4, seconds=1.0, number=0):
        for _ in range(rounds):
            self.workers.advance(seconds)
            await self.round(number)

    def state(self, job_id):
        row = self.platform._table("jobs").get(job_id)
        row = row or self.platform._table("history").get(f"job/{job_id}")
        return row.value["state"]

    def check(self):
        self.workers.check_rooms()
        self.workers.check_quota(self.quotas)
        assert self.workers.faults == []


async def test_a_submitted_job_runs_and_ends():
    world = World()
    job_id = await world.submit()
    await world.round()
    assert world.state(job_id) == "running"
    world.workers.end(f"{job_id}/1", "succeeded")
    await world.round()
    assert world.state(job_id) == "done"
    assert not world.platform._table("tasks")
    assert not world.platform._table("intents")
    assert not world.platform._table("task-reports")


async def test_a_start_whose_answer_was_lost_is_sent_again_not_twice():
    world = World()
    job_id = await world.submit()
    await world.settle(1)
    second = await world.submit()
    world.instances[0].link.lose_answers = 2
    await world.settle(4)
    assert world.state(second) == "running"
    assert sorted(world.workers.starts) == [f"{job_id}/1", f"{second}/1"]
    world.check()


async def test_a_new_holder_sends_the_open_start_before_anything_else():
    world = World()
    job_id = await world.submit()
    first = world.instances[0]
    await world.take_lease(0)
    first.link.stalled = trio.Event()
    async with trio.open_nursery() as nursery:
        first.link.stall_at_call = FIRST_COMMAND_CALL
        nursery.start_soon(first.round)
        await trio.testing.wait_all_tasks_blocked()
        assert world.state(job_id) == "starting" and not world.workers.starts
        await world.round(1)
        assert world.workers.starts == [f"{job_id}/1"]
        first.link.stalled.set()
    assert world.workers.starts == [f"{job_id}/1"]
    world.check()


async def test_a_commit_that_lands_late_changes_nothing_decided_since():
    world = World(hosts=2)
    job_id = await world.submit(shape=Shape(4, 4))
    link = world.instances[0].link
    await world.round()
    world.workers.end(f"{job_id}/1", "succeeded")
    second = await world.submit(shape=Shape(4, 4))
    link.delays_next = True
    await world.round()
    await world.cancel(second)
    await world.settle(1)
    assert world.state(second) == "cancelled"
    await link.land()
    await world.settle(3)
    assert world.workers.starts == [f"{job_id}/1"]
    assert not world.platform._table("jobs")


async def test_a_start_not_yet_accepted_is_not_given_up():
    world = World()
    job_id = await world.submit()
    for instance in world.instances:
        instance.link.commands_down = True
    await world.round()
    (row,) = world.platform._table("tasks").values()
    world.workers.cut(row.value["host_id"])
    await world.settle(30)
    assert list(world.platform._table("tasks")) == [f"{job_id}/1"]
    world.instances[0].link.commands_down = False
    await world.settle(30)
    assert world.workers.starts == [f"{job_id}/2"]
    world.check()


async def test_a_lost_hosts_task_starts_elsewhere_only_after_its_lease():
    world = World()
    job_id = await world.submit()
    await world.round()
    (task,) = world.workers.running_by_id.values()
    world.workers.cut(task.host_id)
    gone_s = None
    for _ in range(100):
        await world.settle(1, 0.5)
        if task.task_id not in world.workers.running_by_id and gone_s is None:
            gone_s = world.workers.now_s
        if f"{job_id}/2" in world.workers.running_by_id:
            break
    assert gone_s is not None and world.workers.now_s > gone_s
    assert f"{job_id}/2" in world.workers.running_by_id
    world.check()


async def test_a_host_that_comes_and_goes_between_two_looks_is_not_taken_for_gone():
    world = World()
    world.workers.list_lag_s = 0.0
    world.instances[0].duty.list_period_s = 5.0
    await world.submit()
    await world.round()
    (task,) = world.workers.running_by_id.values()
    for _ in range(8):
        world.workers.cut(task.host_id)
        await world.settle(9, 0.5)
        world.workers.join(task.host_id)
        world.workers.advance(0.5)
    await world.settle(10)
    assert len(world.workers.starts) == 2
    world.check()


async def test_a_new_holder_counts_a_lost_hosts_lease_from_its_own_first_look():
    world = World()
    await world.submit()
    await world.round()
    (task,) = world.workers.running_by_id.values()
    world.workers.cut(task.host_id)
    await world.settle(10)
    await world.round(1)
    assert len(world.workers.starts) == 1
    await world.settle(35, number=1)
    assert len(world.workers.starts) == 2
    world.check()


async def test_a_new_holder_does_not_take_an_open_stop_for_accepted():
    world = World()
    job_id = await world.submit()
    await world.round()
    for instance in world.instances:
        instance.link.commands_down = True
    await world.cancel(job_id)
    await world.settle(2)
    await world.settle(30, number=1)
    assert world.state(job_id) == "stopping"
    world.instances[1].link.commands_down = False
    await world.settle(2, number=1)
    assert world.state(job_id) == "cancelled"
    assert not world.workers.running_by_id


async def test_an_hour_without_the_platform_starts_and_loses_nothing():
    world = World()
    running, waiting = await world.submit(), None
    await world.round()
    waiting = await world.submit()
    world.instances[0].link.down = True
    for _ in range(60):
        world.workers.advance(60)
        await world.round()
    assert world.workers.starts == [f"{running}/1"]
    world.instances[0].link.down = False
    await world.settle(2)
    assert world.state(waiting) == "running"
    world.check()


async def test_a_wave_of_cancellations_is_taken_in_before_anything_starts():
    world = World()
    running = await world.submit()
    await world.round()
    wave = [await world.submit() for _ in range(200)]
    for job_id in [running, *wave]:
        await world.cancel(job_id)
    before = world.instances[0].link.calls
    await world.settle(2)
    assert {world.state(job_id) for job_id in [running, *wave]} == {"cancelled"}
    assert world.workers.starts == [f"{running}/1"]
    assert world.instances[0].link.calls - before < 30


async def test_urgent_work_starts_on_a_pool_full_of_batch():
    world = World()
    for _ in range(6):
        await world.submit(work_class=WorkClass.BATCH, team="a" if _ % 2 else "b")
    await world.settle(2)
    assert len(world.workers.running_by_id) == 6
    urgent = await world.submit(work_class=WorkClass.URGENT, team="b")
    await world.settle(2, 0.5)
    assert world.state(urgent) == "running"
    explained = world.instances[0].duty.learned.memory.explain("job", urgent)
    codes = [decision.code for decision in explained.decisions]
    assert codes == ["wait-eviction", "placed-as-promised"]
    world.check()


async def test_a_waiting_job_says_why():
    world = World(hosts=1)
    for _ in range(2):
        await world.submit()
    waiting = await world.submit()
    await world.settle(2)
    memory = world.instances[0].duty.learned.memory
    reason = memory.explain("job", waiting).reason
    assert reason == "no host of pool p has 2 processors, 4 GB free"


async def test_a_job_over_its_teams_quota_says_so():
    world = World(hosts=4)
    jobs = [await world.submit(team="b") for _ in range(6)]
    await world.settle(2)
    memory = world.instances[0].duty.learned.memory
    assert len(world.workers.running_by_id) == 5
    assert memory.explain("job", jobs[-1]).reason == "team b is at its quota"
    world.check()


async def test_smaller_jobs_do_not_pass_a_large_one_for_ever():
    world = World(hosts=2)
    for _ in range(6):
        await world.submit(team="b")
    await world.settle(1)
    large = await world.submit(shape=Shape(4, 4))
    for _ in range(100):
        await world.settle(1)
        oldest = min(
            world.workers.running_by_id, key=lambda i: int(i[1:].split("/")[0])
        )
        if oldest.startswith(f"{large}/"):
            break
        world.workers.end(oldest, "succeeded")
        await world.submit(team="b")
        await world.submit(team="b")
    assert world.state(large) == "running"
    explained = world.instances[0].duty.learned.memory.explain("job", large)
    codes = [decision.code for decision in explained.decisions]
    assert codes == ["wait-room", "wait-reserved", "placed-as-promised"]
    world.check()


async def test_a_draining_host_gets_no_task_and_loses_those_that_can_checkpoint():
    world = World(hosts=2)
    jobs = [await world.submit() for _ in range(2)]
    await world.round()
    host_id = world.workers.running_by_id[f"{jobs[0]}/1"].host_id
    world.hosts[host_id] = attrs.evolve(world.hosts[host_id], state=HostState.DRAINING)
    await world.settle(3)
    hosts = [task.host_id for task in world.workers.running_by_id.values()]
    assert len(hosts) == 2 and host_id not in hosts
    world.check()


@pytest.mark.parametrize(
    "state", [state for state in HostState if state is not HostState.IN_SERVICE]
)
async def test_nothing_starts_on_a_host_out_of_service(state):
    world = World(hosts=1)
    world.hosts["h0"] = attrs.evolve(world.hosts["h0"], state=state)
    jobs = [await world.submit(work_class=kind) for kind in WorkClass]
    await world.settle(5)
    assert not world.workers.starts
    world.hosts["h0"] = attrs.evolve(
        world.hosts["h0"], state=HostState.IN_SERVICE, shape=Shape(16, 64)
    )
    await world.settle(2)
    assert {world.state(job_id) for job_id in jobs} == {"running"}


async def test_a_job_promised_a_host_does_not_start_there_once_it_drains():
    world = World(hosts=1)
    held = await world.submit(shape=Shape(3, 4), can_checkpoint=False)
    batch = await world.submit(
        shape=Shape(1, 4), can_checkpoint=False, work_class=WorkClass.BATCH
    )
    await world.settle(2)
    urgent = await world.submit(
        shape=Shape(1, 4), work_class=WorkClass.URGENT, team="b"
    )
    await world.round()
    decisions = world.instances[0].duty.learned.memory.explain("job", urgent).decisions
    assert decisions[-1].code == "wait-eviction"
    world.hosts["h0"] = attrs.evolve(world.hosts["h0"], state=HostState.DRAINING)
    await world.settle(2)
    for task_id in list(world.workers.running_by_id):
        world.workers.end(task_id, "succeeded")
    await world.settle(20)
    assert sorted(world.workers.starts) == [f"{held}/1", f"{batch}/1"]
    assert world.state(urgent) == "waiting"


async def test_a_worker_that_fails_everything_is_proposed_and_avoided():
    world = World(hosts=4)
    world.workers.failing_hosts = {"h0"}
    for number in range(8):
        await world.submit(team="ab"[number % 2], shape=Shape(1, 1))
    await world.settle(10)
    assert len(world.workers.running_by_id) == 8
    assert "h0" in world.platform._table("host-suspects")
    assert {world.state(f"j{n + 1}") for n in range(8)} == {"running"}
    for state in (HostState.QUARANTINED, HostState.IN_SERVICE):
        world.hosts["h0"] = attrs.evolve(world.hosts["h0"], state=state)
        await world.settle(2)
    assert not world.platform._table("host-suspects")
    world.check()


async def test_a_poison_job_is_held_and_released_by_its_operator():
    world = World(hosts=4)
    for _ in range(8):
        await world.submit(team="b", shape=Shape(1, 1))
    poison = await world.submit(shape=Shape(1, 1))
    for number in range(20):
        await world.settle(1)
        for task_id in list(world.workers.running_by_id):
            if task_id.startswith(f"{poison}/"):
                world.workers.end(task_id, "failed")
            elif number % 3 == 0:
                world.workers.end(task_id, "succeeded")
                await world.submit(team="b", shape=Shape(1, 1))
    assert world.state(poison) == "held"
    assert not world.platform._table("host-suspects")
    await world.write(request_write(JobRequest(poison, "release")))
    await world.settle(1)
    assert world.state(poison) == "running"


OPERATIONS = st.one_of(
    st.tuples(st.just("round"), st.integers(0, 1)),
    st.tuples(st.just("freeze"), st.integers(0, 1), st.integers(1, 14)),
    st.tuples(st.just("thaw"), st.integers(0, 1)),
    st.tuples(st.just("advance"), st.sampled_from([0.5, 2.0, 9.0, 18.0])),
    st.tuples(st.just("submit"), st.sampled_from(WorkClass), st.sampled_from("ab")),
    st.tuples(st.just("cancel"), st.integers(1, 8)),
    st.tuples(st.just("end"), st.sampled_from(["succeeded", "failed"])),
    st.tuples(st.just("cut"), st.integers(0, 2)),
    st.tuples(st.just("join"), st.integers(0, 2)),
    st.tuples(st.just("lose"), st.integers(0, 1), st.integers(1, 3)),
    st.tuples(st.just("down"), st.integers(0, 1), st.booleans()),
    st.tuples(st.just("commands_down"), st.integers(0, 1), st.booleans()),
    st.tuples(st.just("delay"), st.integers(0, 1)),
    st.tuples(st.just("land"), st.integers(0, 1)),
)


class Interleaving:
    """Apply one operation after another; rounds may stay frozen in a call."""

    def __init__(self, nursery):
        self.world = World()
        self.nursery = nursery

    async def apply(self, name, *arguments):
        await getattr(self, name)(*arguments)
        self.world.check()

    async def round(self, number):
        instance = self.world.instances[number]
        if instance.busy:
            return
        await self.world.take_lease(number)
        instance.link.stall_at_call = 0
        await instance.round()

    async def freeze(self, number, call):
        instance = self.world.instances[number]
        if instance.busy:
            return
        await self.world.take_lease(number)
        instance.busy = True
        instance.link.stalled = trio.Event()
        instance.link.stall_at_call = instance.link.calls + call
        self.nursery.start_soon(instance.round)
        await trio.testing.wait_all_tasks_blocked()

    async def thaw(self, number):
        instance = self.world.instances[number]
        if instance.link.stalled is not None:
            instance.link.stalled.set()
            await trio.testing.wait_all_tasks_blocked()

    async def advance(self, seconds):
        self.world.workers.advance(seconds)

    async def submit(self, work_class, team):
        await self.world.submit(work_class=work_class, team=team)

    async def cancel(self, number):
        if number <= self.world.jobs:
            await self.world.cancel(f"j{number}")

    async def end(self, outcome):
        for task_id in sorted(self.world.workers.running_by_id)[:1]:
            self.world.workers.end(task_id, outcome)

    async def cut(self, number):
        self.world.workers.cut(f"h{number}")

    async def join(self, number):
        self.world.workers.join(f"h{number}")

    async def lose(self, number, answers):
        self.world.instances[number].link.lose_answers = answers

    async def down(self, number, down):
        self.world.instances[number].link.down = down

    async def commands_down(self, number, down):
        self.world.instances[number].link.commands_down = down

    async def delay(self, number):
        self.world.instances[number].link.delays_next = True

    async def land(self, number):
        await self.world.instances[number].link.land()

    async def finish(self):
        """End every fault and see all jobs started or ended."""
        for number in range(3):
            await self.join(number)
        for number in range(2):
            await self.lose(number, 0)
            await self.down(number, False)
            await self.commands_down(number, False)
            self.world.instances[number].link.delays_next = False
            await self.land(number)
            await self.thaw(number)
        for _ in range(30):
            await self.advance(2.0)
            await self.round(0)
            await self.end("succeeded")
            self.world.check()
        states = {
            row.value["state"] for row in self.world.platform._table("jobs").values()
        }
        assert states <= {"held", "running"}


async def interleave(operations):
    """Run one interleaving."""
    async with trio.open_nursery() as nursery:
        interleaving = Interleaving(nursery)
        for operation in operations:
            await interleaving.apply(*operation)
        await interleaving.finish()
        nursery.cancel_scope.cancel()


SUBMIT = ("submit", WorkClass.URGENT, "a")
END = ("end", "succeeded")


@example([SUBMIT, ("freeze", 0, 3), ("round", 1), END])
@example([("freeze", 0, 3), SUBMIT, ("round", 1), ("round", 0)])
@example([("round", 0), ("freeze", 0, 1), SUBMIT, ("lose", 1, 1), ("round", 1)])
@settings(max_examples=INTERLEAVINGS, derandomize=True, deadline=None, database=None)
@given(st.lists(OPERATIONS, min_size=10, max_size=40))
def test_no_interleaving_runs_a_job_twice_or_overfills_a_host_or_quota(operations):
    try:
        trio.run(interleave, operations)
    except* AssertionError as group:
        pytest.fail(str(group.exceptions[0]))


async def test_only_a_round_without_work_and_without_waiting_jobs_is_idle():
    world = World(hosts=1)
    duty = world.instances[0].duty
    await world.settle(2)
    assert duty.is_idle
    for _ in range(3):
        await world.submit()
    await world.settle(3)
    assert world.state("j3") == "waiting"
    assert not duty.is_idle
    await world.cancel("j3")
    await world.settle(3)
    assert duty.is_idle
