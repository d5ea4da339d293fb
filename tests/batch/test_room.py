"""Room for tasks that last, among short ones and in pools that are too small."""

import attrs
import pytest

from rhubarbmount.batch.capacity import CapacityPlanner
from rhubarbmount.batch.catalogue import Catalogue, Pool
from rhubarbmount.batch.model import (
    Host,
    HostState,
    Job,
    JobSpec,
    Queue,
    QueueName,
    RunEnd,
    Server,
    Step,
    Task,
    TaskId,
)
from rhubarbmount.batch.placing import Placer
from rhubarbmount.batch.server_usage import ServerUsage
from rhubarbmount.batch.shard import Shard

NAME = QueueName("h", "/q/")
QUEUE = Queue(NAME, "one", 0, 3, 1.6, 0.6)
CATALOGUE = Catalogue(
    1, {NAME: QUEUE}, {name: Pool(name, name == "rest") for name in ("one", "rest")}
)
SERVER = Server("s", "one", "a:1", "z", False, 8000, 8000, 0, frozenset(), "r", 1)
RESERVE = [Host(f"m{n}", "rest", HostState.UP, "", 8000, "z") for n in range(3)]
LASTING = Step(1, 3000, 100, estimate_s=0.9, is_long_running=True)
SHORT = Step(1, 1000, 100, estimate_s=1.0)


def make_shard(servers):
    shard = Shard(CATALOGUE, wall_clock_s=100.0)
    for number in range(servers):
        server = attrs.evolve(SERVER, id=f"s{number}")
        shard.put_server(server, 0.0).is_reachable = True
    return shard


def add(shard, *steps):
    """Add a job of one step for each of ``steps``, and place what can be placed."""
    for step in steps:
        job_id = f"j{len(shard.job_by_id):04}"
        shard.add_job(Job(JobSpec(job_id, NAME, "one", "", (step,), 100.0)))
    return Placer(shard).place(0.0)


def plan_moves(shard, hosts=RESERVE):
    """Return the pools to which hosts move for the tasks that wait."""
    placer = Placer(shard)
    placer.place(0.0)
    moves = CapacityPlanner().plan(
        0.0,
        CATALOGUE,
        hosts,
        shard.usages_by_server_name,
        placer.shortage_by_pool,
        shard.demand,
    )
    return [move.pool for move in moves]


# Guards against a task that lasts and waits for ever, as the free pieces of servers
# seem to be able to do its work before a host arrives.
@pytest.mark.parametrize("servers", [1, 4])
def test_a_lasting_task_that_fits_on_no_server_gets_a_host(servers):
    shard = make_shard(servers)
    assert len(add(shard, *[attrs.evolve(LASTING, cpu_millicores=6000)] * servers)) == (
        servers
    )
    assert add(shard, LASTING) == []
    assert plan_moves(shard) == ["one"]


# Guards against tasks that wait for ever as they reserve no processor time.
@pytest.mark.parametrize("is_long_running", [False, True])
def test_tasks_that_fill_get_a_host_in_an_empty_pool(is_long_running):
    shard = make_shard(0)
    add(shard, Step(1, 1000, 100, fills=True, is_long_running=is_long_running))
    assert plan_moves(shard) == ["one"]


@pytest.mark.parametrize("step", [SHORT, LASTING])
def test_a_task_gets_a_host_in_an_empty_pool(step):
    shard = make_shard(0)
    add(shard, step)
    assert plan_moves(shard) == ["one"]


# Guards against moving one host after the other for a task that no host can take.
def test_a_task_too_large_for_an_empty_server_gets_no_further_host():
    shard = make_shard(1)
    add(shard, attrs.evolve(LASTING, memory_mb=9000))
    assert plan_moves(shard) == []


def test_a_lasting_task_that_waits_for_short_ones_lacks_no_server():
    shard = make_shard(1)
    add(shard, *[SHORT] * 8)
    shard.add_job(Job(JobSpec("j", NAME, "one", "", (LASTING,), 100.0)))
    placer = Placer(shard)
    assert placer.place(0.0) == []
    assert placer.shortage_by_pool["one"].servers == 0


# Guards against a wave that evicts a task which no other server can run.
def test_a_lasting_task_fits_among_others_only_with_its_accelerators():
    usage = ServerUsage(attrs.evolve(SERVER, gpu=1), 0.0)
    step = attrs.evolve(LASTING, gpu=1)
    assert usage.fits_among_long_running(step)
    usage.add(Task(TaskId("j", 0, 0, 0)), step)
    assert not usage.fits_among_long_running(step)
    assert usage.fits_among_long_running(LASTING)


# Guards against a task that lasts and never starts, as each piece that a short task
# leaves goes to the next short one.
def test_short_tasks_leave_room_for_a_lasting_one():
    shard = make_shard(2)
    running = add(shard, *[SHORT] * 40)
    assert len(running) == 16
    add(shard, LASTING)
    started = []
    for number in range(12):
        # One of each server in turn ends.
        ended = running.pop(number % 2 and len(running) // 2)
        end = RunEnd(number, ended.task, ended.run, "done", "")
        shard.end_run(ended.server_id, end, 1.0)
        started += Placer(shard).place(1.0)
    lasting = [item for item in started if item.task.job_id == "j0040"]
    assert len(lasting) == 1
    # The other server goes on as before.
    others = {item.server_id for item in started[: started.index(lasting[0])]}
    assert others == {"s0", "s1"} - {lasting[0].server_id}


# Guards against servers that are kept free for a task which they may not run.
@pytest.mark.parametrize("fields", [{"label": "x"}, {"memory_mb": 9000}])
def test_no_room_is_left_for_a_lasting_task_that_no_server_can_run(fields):
    shard = make_shard(2)
    running = add(shard, *[SHORT] * 40)
    add(shard, attrs.evolve(LASTING, **fields))
    end = RunEnd(1, running[0].task, running[0].run, "done", "")
    shard.end_run(running[0].server_id, end, 1.0)
    assert len(Placer(shard).place(1.0)) == 1


# Guards against hosts that leave a pool while tasks that lost their servers there wait
# for the leases to lapse, so that they wait for a host afterwards.
@pytest.mark.parametrize("is_listed", [False, True])
def test_a_pool_keeps_free_hosts_for_the_tasks_of_silent_servers(is_listed):
    shard = make_shard(1)
    add(shard, LASTING)
    job = shard.job_by_id["j0000"]
    next_shard = Shard(CATALOGUE, wall_clock_s=100.0)
    if is_listed:
        next_shard.put_server(attrs.evolve(SERVER, id="s0"), 0.0)
    next_shard.add_job(job)
    for number in (1, 2):
        server = attrs.evolve(SERVER, id=f"s{number}")
        next_shard.put_server(server, 0.0).is_reachable = True
    hosts = [Host(f"m{n}", "one", HostState.UP, f"s{n}", 8000, "z") for n in (1, 2)]
    moves = CapacityPlanner().plan(
        9.0,
        CATALOGUE,
        hosts,
        next_shard.usages_by_server_name,
        {},
        next_shard.demand,
        stranded_by_pool=next_shard.count_stranded(),
    )
    assert [move.pool for move in moves] == ["rest"]
