"""Maintenance waves: deadlines, concurrency limits and ``max_unavailable``."""

import pytest

from rhubarbmount.batch.catalogue import Catalogue
from rhubarbmount.batch.model import (
    Host,
    HostState,
    Job,
    JobSpec,
    QueueName,
    Server,
    Step,
    StopReason,
    Wave,
)
from rhubarbmount.batch.placing import Placer
from rhubarbmount.batch.shard import Shard
from rhubarbmount.batch.wave_progress import WaveProgress
from rhubarbmount.batch.waves import WavePlanner

LONG_RUNNING = Step(
    2, 500, 500, is_long_running=True, max_per_server=1, max_unavailable=1
)


@pytest.fixture
def shard():
    return Shard(Catalogue(0, {}, {}))


def add_server(shard, name):
    server = Server(
        name, "one", f"{name}:1", "a", False, 8000, 8000, 0, frozenset(), "r", 1
    )
    usage = shard.put_server(server, 0.0)
    usage.is_reachable = True
    return usage


def hosts(*names, state=HostState.UP):
    return {f"m-{n}": Host(f"m-{n}", "one", state, n, 8000, "a") for n in names}


def progress(*names, limit=2, due_at_s=100.0):
    wave = Wave(1, tuple(f"m-{n}" for n in names), 100.0, limit)
    return WaveProgress(wave, due_at_s)


def run_long_running(shard):
    """Start a job whose two tasks must not be unavailable at the same time."""
    spec = JobSpec("j", QueueName("h", "/q/"), "one", "", (LONG_RUNNING,), 0.0)
    shard.add_job(Job(spec))
    assignments = Placer(shard).place(0.0)
    for assignment in assignments:
        shard.task(assignment.task).progress.percent = 100
    return assignments


def begun(plan):
    return [item.host_id for item in plan.begin]


def test_idle_hosts_start_maintenance_at_once_up_to_the_limit(shard):
    for name in ("a", "b", "c"):
        add_server(shard, name)
    plan = WavePlanner(shard).plan([progress("a", "b", "c")], hosts(*"abc"), 0.0)
    assert begun(plan) == ["m-a", "m-b"]


def test_hosts_in_maintenance_count_towards_the_limit(shard):
    for name in ("a", "b", "c"):
        add_server(shard, name)
    planner = WavePlanner(shard)
    wave = progress("a", "b", "c")
    wave.unavailable.add("m-a")
    wave.begun.add("m-a")
    assert begun(planner.plan([wave], hosts(*"abc"), 0.0)) == ["m-b"]
    wave.note_listed(hosts(*"abc"), resolved_host_ids=())
    assert begun(planner.plan([wave], hosts(*"abc"), 0.0)) == ["m-b"]
    wave.note_listed(hosts(*"abc"), resolved_host_ids={"m-a"})
    assert begun(planner.plan([wave], hosts(*"abc"), 0.0)) == ["m-b", "m-c"]


# Guards against too many hosts in maintenance after a takeover.
def test_hosts_whose_maintenance_the_last_holder_began_count(shard):
    wave = progress(*"abcd")
    listed = hosts(*"cd") | hosts(*"ab", state=HostState.MAINTENANCE)
    wave.note_listed(listed, resolved_host_ids=())
    assert begun(WavePlanner(shard).plan([wave], listed, 0.0)) == []


# Guards against too many hosts in maintenance while decisions wait for the store.
def test_a_host_that_became_cheaper_does_not_take_the_slot_of_one_decided(shard):
    add_server(shard, "a")
    planner = WavePlanner(shard)
    wave = progress(*"abc")
    wave.unavailable.update(["m-b", "m-c"])
    shard.lose_server("a", 0.0)
    assert begun(planner.plan([wave], hosts(*"abc"), 0.0)) == []


def test_a_host_to_be_maintained_takes_no_tasks_and_no_second_slot(shard):
    for name in ("a", "b"):
        add_server(shard, name)
    wave = progress("a", "b")
    wave.unavailable.add("m-a")
    plan = WavePlanner(shard).plan([wave], hosts(*"ab"), 0.0)
    assert begun(plan) == ["m-b"]
    assert plan.closed_server_names == {"a", "b"}


def test_a_host_that_is_down_before_its_maintenance_keeps_no_slot():
    wave = progress(*"ab")
    wave.unavailable.update(["m-a", "m-b"])
    wave.begun.add("m-b")
    wave.note_listed(hosts(*"ab", state=HostState.DOWN), {"m-a", "m-b"})
    assert wave.unavailable == {"m-b"}


def test_wave_waits_during_a_shortage_until_its_latest_start(shard):
    add_server(shard, "a")
    planner = WavePlanner(shard)
    wave = progress("a")
    assert begun(planner.plan([wave], hosts("a"), 0.0, True)) == []
    assert begun(planner.plan([wave], hosts("a"), 95.0, True)) == ["m-a"]


def test_host_with_tasks_is_closed_and_not_maintained(shard):
    add_server(shard, "a")
    spec = JobSpec("j", QueueName("h", "/q/"), "one", "", (Step(1, 500, 500),), 0.0)
    shard.add_job(Job(spec))
    Placer(shard).place(0.0)
    plan = WavePlanner(shard).plan([progress("a")], hosts("a"), 0.0)
    assert begun(plan) == []
    assert plan.closed_server_names == {"a"}
    assert plan.evict == []


def test_tasks_of_one_step_are_evicted_one_at_a_time(shard):
    for name in ("a", "b"):
        add_server(shard, name)
    run_long_running(shard)
    add_server(shard, "c")
    planner = WavePlanner(shard)
    plan = planner.plan([progress("a", "b")], hosts(*"abc"), 0.0)
    assert len(plan.evict) == 1
    shard.stop_run(plan.evict[0], StopReason.WAVE)
    again = planner.plan([progress("a", "b")], hosts(*"abc"), 0.1)
    assert again.evict == []


def test_no_eviction_while_another_task_may_be_unavailable(shard):
    usages = {name: add_server(shard, name) for name in ("a", "b")}
    run_long_running(shard)
    add_server(shard, "c")
    usages["b"].is_reachable = False
    plan = WavePlanner(shard).plan([progress("a")], hosts(*"abc"), 0.0)
    assert plan.evict == []
    assert plan.wait_by_host == {"m-a": "budget"}


def test_pool_without_capacity_for_evicted_tasks_is_short(shard):
    for name in ("a", "b"):
        add_server(shard, name)
    run_long_running(shard)
    plan = WavePlanner(shard).plan([progress("a")], hosts(*"ab"), 0.0)
    assert plan.evict == []
    assert plan.short_pools == {"one"}


def test_host_due_for_maintenance_takes_no_evicted_tasks(shard):
    usages = {name: add_server(shard, name) for name in ("a", "b")}
    run_long_running(shard)
    add_server(shard, "c").is_due = True
    assert not usages["a"].is_idle
    plan = WavePlanner(shard).plan([progress("a")], hosts(*"abc"), 0.0)
    assert plan.short_pools == {"one"}


def test_wave_completes_when_no_listed_host_remains(shard):
    add_server(shard, "a")
    wave = progress("a", "gone")
    wave.begun.add("m-a")
    wave.has_whole_list = True
    plan = WavePlanner(shard).plan([wave], hosts("a"), 0.0)
    assert plan.completed == [wave]


# Guards against LOST and an outage over the limit: a host whose server had a known
# start counted as without a server, and was maintained while tasks ran there.
def test_a_host_waits_for_the_tasks_of_every_lifetime_of_its_server(shard):
    for name in ("a@7", "b@7"):
        add_server(shard, name)
    busy = run_long_running(shard)[0].server_id
    add_server(shard, "c@7")
    plan = WavePlanner(shard).plan([progress("a", "b")], hosts("a", "b"), 0.0)
    assert begun(plan) == []
    assert busy.partition("@")[0] in plan.closed_server_names
    assert plan.due_server_names == {"a", "b"}


# Guards against a wave that is complete while a host of it is not in the list yet.
def test_wave_does_not_complete_by_a_list_that_may_lack_its_hosts(shard):
    wave = progress("a", "joining")
    wave.begun.add("m-a")
    plan = WavePlanner(shard).plan([wave], hosts("a"), 0.0)
    assert plan.completed == []
