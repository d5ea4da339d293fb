"""Hosts of a wave that can't be emptied, and the tasks that need just these hosts."""

import attrs
import pytest
import trio
from trio.testing import MockClock

from rhubarbmount.batch.catalogue import Catalogue
from rhubarbmount.batch.host_drains import BLOCKED_S
from rhubarbmount.batch.model import Job, JobSpec, QueueName, Step, StopReason
from rhubarbmount.batch.placing import Placer
from rhubarbmount.batch.shard import Shard
from rhubarbmount.batch.waves import REST_S, WavePlanner
from rhubarbmount.standins.users_servers import TaskWork
from tests.batch.checkers import JobChecker
from tests.batch.test_days import submit
from tests.batch.test_waves import add_server, begun, hosts, progress
from tests.batch.world import catalogue, open_world, route

# Rules of the platform: a task that lasts runs again so long after its last run.
LASTING_S = 6.0 + 3.0
LIMIT = 2
LASTING_JOBS = ("5c0e7a21d94b36f8", "a1b2c3d4e5f60718")
SHORT_JOB = "1234567812345678"


@pytest.fixture
def autojump_clock():
    return MockClock(rate=0.0, autojump_threshold=0.0)


@pytest.fixture
def shard():
    return Shard(Catalogue(0, {}, {}))


def start_lasting(shard, count=1, limit=1, **fields):
    """Start a job of tasks that last, which are all at work."""
    step = Step(count, 500, 500, is_long_running=True, max_unavailable=limit, **fields)
    spec = JobSpec("j", QueueName("h", "/q/"), "one", "", (step,), 0.0)
    shard.add_job(Job(spec))
    for assignment in Placer(shard).place(0.0):
        shard.task(assignment.task).progress.percent = 100


def plan_until(planner, wave, listed, end_s, start_s=0.0):
    """Plan each 0.1 s; return the last actions."""
    for tick in range(int((end_s - start_s) * 10) + 1):
        actions = planner.plan([wave], listed, start_s + tick / 10)
    return actions


# Guards against a server that is closed for good, though its work can go nowhere.
def test_a_host_whose_tasks_fit_nowhere_else_stays_open(shard):
    add_server(shard, "a")
    start_lasting(shard)
    plan = plan_until(WavePlanner(shard), progress("a"), hosts("a"), 30.0)
    assert plan.closed_server_names == set()
    assert plan.wait_by_host == {"m-a": "no-place"}
    assert plan.short_pools == {"one"}


# Guards against a pool that gets far more servers than the wave empties at a time.
def test_of_the_servers_of_a_pool_that_wait_to_be_emptied_one_is_no_capacity(shard):
    for name in "ab":
        add_server(shard, name)
    start_lasting(shard, count=2, max_per_server=1)
    plan = plan_until(WavePlanner(shard), progress(*"ab"), hosts(*"ab"), 3.0)
    assert plan.wait_by_host == {"m-a": "no-place", "m-b": "no-place"}
    assert len(plan.placeless_server_names) == 1


# Guards against a wave that one host holds up.
def test_a_wave_goes_on_with_the_hosts_that_can_be_emptied(shard):
    add_server(shard, "a")
    start_lasting(shard)
    add_server(shard, "b").is_due = True
    plan = WavePlanner(shard).plan([progress("a", "b", limit=1)], hosts(*"ab"), 0.0)
    assert begun(plan) == ["m-b"]


# Guards against a host that is never looked at, as hosts of its pool that can't be
# emptied come first.
def test_a_host_behind_several_that_cant_be_emptied_has_its_turn(shard):
    usages = {name: add_server(shard, name) for name in "abcde"}
    usages["e"].server = attrs.evolve(usages["e"].server, memory_mb=4000)
    for name, memory_mb in zip("abcd", (5000, 5000, 5000, 2500), strict=True):
        step = Step(1, 500, memory_mb, is_long_running=True)
        spec = JobSpec(f"j-{name}", QueueName("h", "/q/"), "one", "", (step,), 0.0)
        shard.add_job(Job(spec))
        [task] = shard.waiting_by_step[f"j-{name}", 0, 0].values()
        shard.assign(task, usages[name], 0.0)
        task.progress.percent = 100
        usages[name].is_due = True
    wave, listed = progress(*"abcd", limit=4), hosts(*"abcde")
    evicted = []
    planner = WavePlanner(shard)
    for tick in range(10):
        evicted += planner.plan([wave], listed, tick / 10).evict
    assert {task.server_id for task in evicted} == {"d"}


# Guards against a wave that is never done, though the tasks may be away for a moment.
def test_tasks_without_a_place_stop_for_the_maintenance_before_the_deadline(shard):
    usage = add_server(shard, "a")
    start_lasting(shard)
    planner = WavePlanner(shard)
    wave = progress("a", due_at_s=50.0)
    assert plan_until(planner, wave, hosts("a"), 40.0).evict == []
    plan = planner.plan([wave], hosts("a"), 45.0)
    assert [task.server_id for task in plan.evict] == ["a"]
    shard.stop_run(plan.evict[0], StopReason.WAVE)
    shard.release(plan.evict[0], 45.2)
    assert usage.is_idle
    assert begun(planner.plan([wave], hosts("a"), 45.2)) == ["m-a"]


# Guards against more tasks of a step away than may be, and a server closed for that.
def test_a_late_host_with_more_tasks_than_may_be_away_stays_open(shard):
    add_server(shard, "a")
    start_lasting(shard, count=2, limit=1)
    plan = plan_until(WavePlanner(shard), progress("a", due_at_s=0.0), hosts("a"), 30.0)
    assert (plan.evict, plan.closed_server_names) == ([], set())
    assert plan.wait_by_host == {"m-a": "no-place"}


# Guards against tasks that wait for good for the server of a host that can't begin.
def test_a_host_whose_maintenance_does_not_begin_is_opened_again(shard):
    add_server(shard, "a")
    planner = WavePlanner(shard)
    wave = progress("a")
    plan = plan_until(planner, wave, hosts("a"), BLOCKED_S - 0.1)
    assert plan.closed_server_names == {"a"}
    plan = plan_until(planner, wave, hosts("a"), BLOCKED_S + 0.2, BLOCKED_S)
    assert (begun(plan), plan.closed_server_names) == ([], set())
    assert plan.wait_by_host == {"m-a": "blocked"}
    again_s = BLOCKED_S + REST_S + 0.2
    assert begun(planner.plan([wave], hosts("a"), again_s)) == ["m-a"]


# The same while the commands to begin fail one after the other.
def test_a_host_whose_maintenance_fails_again_and_again_is_opened_again(shard):
    add_server(shard, "a")
    planner = WavePlanner(shard)
    wave = progress("a")
    assert begun(planner.plan([wave], hosts("a"), 0.0)) == ["m-a"]
    for now_s in (3.0, 6.0):
        wave.unavailable.add("m-a")
        plan = planner.plan([wave], hosts("a"), now_s - 1.0)
        assert (begun(plan), plan.closed_server_names) == ([], {"a"})
        wave.unavailable.clear()
        assert begun(planner.plan([wave], hosts("a"), now_s)) == ["m-a"]
    wave.unavailable.add("m-a")
    planner.plan([wave], hosts("a"), 7.0)
    wave.unavailable.clear()
    plan = planner.plan([wave], hosts("a"), 3.0 + BLOCKED_S)
    assert (begun(plan), plan.closed_server_names) == ([], set())


# Guards against a server that is closed before a task that lasts and needs it runs.
def test_a_host_that_a_waiting_task_needs_is_not_closed(shard):
    add_server(shard, "a")
    step = Step(1, 500, 500, is_long_running=True)
    spec = JobSpec("j", QueueName("h", "/q/"), "one", "", (step,), 0.0)
    shard.add_job(Job(spec))
    plan = WavePlanner(shard).plan([progress("a")], hosts("a"), 0.0)
    assert plan.closed_server_names == set()
    assert plan.wait_by_host == {"m-a": "needed"}


def lasting_phase(count, **fields):
    return {
        "count": count,
        "cpu": 1300,
        "mem_mb": 6300,
        "long_running": True,
        "max_per_server": 1,
        "max_unavailable": 1,
        **fields,
    }


async def submit_lasting(world, checker, prefix, job_id, count):
    work = TaskWork(1.0, 1300, 6300, is_long_running=True)
    job = job_id, [lasting_phase(count)], [work]
    assert await submit(world, checker, prefix, job)


class Absences:
    """Measures for how long at most each task of the lasting jobs is without a run."""

    def __init__(self, world):
        self.longest_s = {}
        self._since_s = {}
        world.observers.append(self._observe)

    def _observe(self, what, *event):
        if len(event) < 2 or not isinstance(event[1], str):
            return
        if what == "start":
            since_s = self._since_s.pop(event[1], trio.current_time())
            self._note(event[1], since_s)
        elif what in ("failed", "stopped", "lapsed", "gone"):
            self._since_s.setdefault(event[1], trio.current_time())

    def _note(self, task, since_s):
        absent_s = trio.current_time() - since_s
        self.longest_s[task] = max(self.longest_s.get(task, 0.0), absent_s)

    def close(self):
        for task, since_s in self._since_s.items():
            self._note(task, since_s)


# Guards against LOST in a wave over all hosts of a service, whose tasks need each of
# them: a task that fails is not started again, and a job of the other never begins.
@pytest.mark.parametrize(
    ("machines", "limit", "deadline_s"),
    [
        (3, LIMIT, 25.0),
        (3, LIMIT, 60.0),
        (3, LIMIT, 8.0),
        (3, 1, 25.0),
        (3, 1, 60.0),
        (3, 1, 8.0),
        (2, LIMIT, 10.0),
        (2, 1, 25.0),
        (5, LIMIT, 10.0),
        (5, 1, 25.0),
    ],
)
async def test_work_that_needs_the_hosts_of_a_wave_goes_on(
    monkeypatch, autojump_clock, machines, limit, deadline_s
):
    async with open_world(monkeypatch, 0) as world:
        routes = [route("/q/", "quotes"), route("/w/", "shop"), route("/c/", "rest")]
        pools = ["quotes", "shop", "rest"]
        world.platform.put_catalogue(catalogue(1, routes, pools, "spare"))
        for pool, count in (("quotes", machines), ("shop", 1), ("rest", 5)):
            for number in range(count):
                name = f"{pool}-{number}"
                world.platform.add_machine(name, pool, "r", 16000, 64000)
        checker = JobChecker(world)
        absences = Absences(world)
        for name in "ab":
            world.start_node(name)
        await trio.sleep(1.0)
        for job_id in LASTING_JOBS:
            await submit_lasting(world, checker, "/q/", job_id, machines)
        await submit_lasting(world, checker, "/w/", "77aa77aa77aa77aa", 1)
        await submit_lasting(world, checker, "/c/", "0f1e2d3c4b5a6978", 5)
        await trio.sleep(4.0)
        due = [name for name in world.platform.machine_by_id if name[:4] != "rest"]
        world.platform.put_wave(1, due, limit, deadline_s)
        await trio.sleep(3.0)
        phase = {"count": 1, "cpu": 1100, "mem_mb": 2300, "estimate_ms": 640}
        short = SHORT_JOB, [phase], [TaskWork(0.64, 1100, 2300)]
        assert await submit(world, checker, "/w/", short)
        for number in range(machines):
            task = f"{LASTING_JOBS[0]}.0.0.{number}"
            for machine in world.platform.machine_by_id.values():
                run = machine.server and machine.server.run_by_task.get(task)
                if run:
                    machine.server._finish(run, "failed")
            await trio.sleep(3.0)
        await trio.sleep(max(30.0, deadline_s))
        absences.close()
        _, body = await world.call("GET", f"/w/{SHORT_JOB}")
        assert body == {"state": "complete"}
        assert max(absences.longest_s.values()) <= LASTING_S
        assert world.platform.wave_state(1) == "complete"
