"""Scaling of pools with their demand."""

import math

import attrs
import pytest

from rhubarbmount.batch.capacity import (
    IDLE_BEFORE_RETURN_S,
    CapacityPlanner,
    Move,
)
from rhubarbmount.batch.catalogue import Catalogue, Pool
from rhubarbmount.batch.demand import DemandMeter
from rhubarbmount.batch.model import (
    Host,
    HostState,
    JobSpec,
    QueueName,
    Server,
    Step,
    Task,
    TaskId,
    TaskState,
)
from rhubarbmount.batch.placing import Shortage
from rhubarbmount.batch.server_usage import ServerUsage
from rhubarbmount.batch.shard import Shard

CPU = 8000
CATALOGUE = Catalogue(
    1, {}, {name: Pool(name, name == "rest") for name in ("one", "two", "rest")}
)


def host(name, pool, state=HostState.UP, server_id=""):
    return Host(name, pool, state, server_id, CPU, "a")


def usage(server_id, pool, idle_since_s=0.0):
    server = Server(
        server_id, pool, "10.0.0.1:1", "a", False, CPU, 64000, 0, frozenset(), "r", 1
    )
    return ServerUsage(server, idle_since_s, is_reachable=True)


@pytest.fixture
def planner():
    return CapacityPlanner()


def plan(planner, now_s, hosts, usages=(), shortage=None, demand=None):
    return planner.plan(
        now_s,
        CATALOGUE,
        hosts,
        {item.server.name: [item] for item in usages},
        shortage or {},
        demand or DemandMeter(),
    )


def test_short_pool_receives_as_many_hosts_as_it_lacks(planner):
    hosts = [host(f"m{n}", "rest") for n in range(4)]
    moves = plan(planner, 0.0, hosts, shortage={"one": Shortage(12000, 0, 12, 12.0)})
    assert [move.pool for move in moves] == ["one", "one"]


def test_queue_that_drains_before_a_host_arrives_adds_none(planner):
    hosts = [host("m0", "one", server_id="s0"), host("m1", "rest")]
    shortage = {"one": Shortage(6000, 0, 6, 6.0)}
    assert plan(planner, 0.0, hosts, [usage("s0", "one")], shortage) == []


# Guards against callers who wait in a wave: the capacity of a host that is to be
# emptied as soon as its tasks have another place was counted on until then.
def test_a_server_that_waits_to_be_emptied_is_no_capacity(planner):
    hosts = [host("m0", "one", server_id="s0"), host("m1", "rest")]
    shortage = {"one": Shortage(6000, 0, 6, 6.0)}
    leaving = usage("s0", "one")
    leaving.awaits_place = True
    assert [move.pool for move in plan(planner, 0.0, hosts, [leaving], shortage)] == [
        "one"
    ]


def test_hosts_in_transit_count_as_capacity(planner):
    hosts = [host(f"m{n}", "rest") for n in range(4)]
    shortage = {"one": Shortage(12000, 0, 12, 12.0)}
    for move in plan(planner, 0.0, hosts, shortage=shortage):
        planner.note_command(move, 0.0)
    assert plan(planner, 0.2, hosts, shortage=shortage) == []


# Guards against a turn served late (docs/incidents/short-turn.md): hosts on their way
# were taken to work on the queue meanwhile, so that too few followed them.
def test_hosts_in_transit_do_not_drain_a_queue_before_they_arrive(planner):
    hosts = [host(f"m{n}", "rest") for n in range(6)]
    for number in range(2):
        planner.note_command(Move(f"m{number}", "one", "shortage"), 0.0)
    shortage = {"one": Shortage(40000, 0, 40, 24.0)}
    moves = plan(planner, 0.1, hosts, shortage=shortage)
    assert [move.pool for move in moves] == ["one"] * 3


# Guards against a turn served late: while the list of hosts was behind, a host that had
# arrived counted twice, as a server and as on its way.
def test_a_host_that_has_arrived_counts_once(planner):
    hosts = [host(f"m{n}", "rest") for n in range(3)]
    planner.note_command(Move("m0", "one", "shortage"), 0.0)
    arrived = usage("s0", "one")
    arrived.server = attrs.evolve(arrived.server, host_id="m0")
    demand = DemandMeter()
    demand.note_step("one", Step(16, 1000, 0, estimate_s=9.0), 9.0, 0.0)
    moves = plan(planner, 1.6, hosts, [arrived], demand=demand)
    assert [move.pool for move in moves] == ["one"]


def test_host_back_in_standby_can_be_moved_again_at_once(planner):
    """Demand shifts between pools: a host just put in standby is needed elsewhere."""
    planner.note_command(Move("m0", "rest", "idle"), 0.0)
    moves = plan(
        planner,
        1.6,
        [host("m0", "rest")],
        shortage={"one": Shortage(1000, 0, 1, 1.0)},
    )
    assert [move.host_id for move in moves] == ["m0"]


def test_idle_host_of_a_pool_without_demand_moves_directly(planner):
    hosts = [host("m0", "two", server_id="s0")]
    moves = plan(
        planner,
        0.1,
        hosts,
        [usage("s0", "two")],
        shortage={"one": Shortage(1000, 0, 1, 1.0)},
    )
    assert [(move.host_id, move.pool) for move in moves] == [("m0", "one")]


def test_pool_keeps_hosts_needed_by_ready_tasks(planner):
    demand = DemandMeter()
    demand.note_step("two", Step(7, 1000, 0, estimate_s=1.0), 1.0, 0.0)
    hosts = [host("m0", "two", server_id="s0")]
    shortage = {"one": Shortage(1000, 0, 1, 1.0)}
    usages = [usage("s0", "two")]
    assert plan(planner, 0.1, hosts, usages, shortage, demand) == []


def test_ready_tasks_add_hosts_before_a_queue_builds_up(planner):
    demand = DemandMeter()
    demand.note_step("one", Step(12, 1000, 0, estimate_s=1.0), 1.0, 0.0)
    hosts = [host(f"m{n}", "rest") for n in range(4)]
    wanted = math.ceil(12000 / CPU)
    assert len(plan(planner, 0.0, hosts, demand=demand)) == wanted


def test_large_job_adds_hosts_only_for_tasks_that_can_run_now(planner):
    """Large jobs come one at a time, and their later steps reuse the same hosts."""
    demand = DemandMeter()
    steps = tuple(Step(8, 1000, 0, estimate_s=3.0) for _ in range(4))
    spec = JobSpec("j", QueueName("h", "/q/"), "one", "", steps, 0.0)
    demand.note_job("one", spec, [3.0] * 4, 0.0)
    demand.note_step("one", steps[0], 3.0, 0.0)
    hosts = [host(f"m{n}", "rest") for n in range(8)]
    shortage = {"one": Shortage(8000, 0, 8, 24.0)}
    assert len(plan(planner, 0.0, hosts, shortage=shortage, demand=demand)) == 1


def test_growing_arrival_rate_adds_hosts_for_expected_jobs(planner):
    """Demand starts slowly, but grows in less time than a host takes to arrive."""
    demand = DemandMeter()
    step = Step(1, 1000, 0, estimate_s=1.0)
    spec = JobSpec("j", QueueName("h", "/q/"), "one", "", (step,), 0.0)
    arrivals_s = [0.5, *(1.0 + n * 0.06 for n in range(16))]
    for at_s in arrivals_s:
        demand.note_job("one", spec, [1.0], at_s)
        demand.note_step("one", step, 1.0, at_s)
    hosts = [host(f"m{n}", "rest") for n in range(8)]
    ready_alone = math.ceil(demand.ready_cores("one", 2.0) * 1000 / CPU)
    assert len(plan(planner, 2.0, hosts, demand=demand)) > ready_alone


def test_idle_host_is_moved_before_one_in_standby(planner):
    """Demand shifts between pools: hosts that one no longer needs serve the next."""
    hosts = [host("m0", "rest"), host("m1", "two", server_id="s1"), host("m2", "rest")]
    shortage = {"one": Shortage(1000, 0, 1, 1.0)}
    moves = plan(planner, 0.1, hosts, [usage("s1", "two")], shortage)
    assert [(move.host_id, move.pool) for move in moves] == [("m1", "one")]


def test_idle_host_returns_to_standby_after_the_idle_period(planner):
    hosts = [host("m0", "one", server_id="s0")]
    before_s = IDLE_BEFORE_RETURN_S - 0.1
    assert plan(planner, before_s, hosts, [usage("s0", "one")]) == []
    moves = plan(planner, before_s + 0.2, hosts, [usage("s0", "one")])
    assert [(move.pool, move.reason) for move in moves] == [("rest", "idle")]


def test_pool_draining_a_host_keeps_a_free_host_for_its_tasks(planner):
    hosts = [host("m0", "one", server_id="s0")]
    usages = {"s0": [usage("s0", "one")]}
    moves = planner.plan(9.0, CATALOGUE, hosts, usages, {}, DemandMeter(), {"one"})
    assert moves == []


def test_pool_draining_a_host_gives_up_its_other_free_hosts(planner):
    """Demand rises in another pool while a maintenance wave is under way."""
    names = [f"s{n}" for n in range(4)]
    hosts = [host(f"m-{name}", "one", server_id=name) for name in names]
    usages = {name: [usage(name, "one")] for name in names}
    shortage = {"two": Shortage(99000, 0, 99, 99.0)}
    moves = planner.plan(
        0.1, CATALOGUE, hosts, usages, shortage, DemandMeter(), {"one"}
    )
    assert [move.pool for move in moves] == ["two"] * 3


def test_host_of_a_closed_server_is_not_moved(planner):
    hosts = [host("m0", "one", server_id="s0")]
    closed = usage("s0", "one")
    closed.is_closed = True
    assert plan(planner, 9.0, hosts, [closed]) == []


# Guards against moving a host whose server runs tasks: the host is listed by the name
# of the server, which is kept by its lifetime.
@pytest.mark.parametrize("busy_id", ["s0@7", "s0@8"])
def test_a_host_is_free_only_if_no_lifetime_of_its_server_has_tasks(planner, busy_id):
    shard = Shard(CATALOGUE)
    for server_id in ("s0@7", "s0@8"):
        shard.put_server(usage(server_id, "two").server, 0.0).is_reachable = True
    hosts = [host("m0", "two", server_id="s0")]
    shortage = {"one": Shortage(4000, 0, 1, 4.0)}

    def moves():
        usages = shard.usages_by_server_name
        return planner.plan(0.0, CATALOGUE, hosts, usages, shortage, DemandMeter())

    step = Step(1, 100, 100)
    task = Task(TaskId("j", 0, 0, 0), TaskState.ASSIGNED, 1, busy_id)
    shard.usage_by_server_id[busy_id].add(task, step)
    assert moves() == []
    shard.usage_by_server_id[busy_id].remove(task.id, 0.0)
    assert [move.host_id for move in moves()] == ["m0"]


# Guards against hosts that are never returned: their servers were looked up by the name
# alone and not found.
def test_an_idle_host_is_returned_whichever_lifetime_its_server_has(planner):
    usages = [usage("s0@7", "one")]
    hosts = [host("m0", "one", server_id="s0")]
    moves = plan(planner, IDLE_BEFORE_RETURN_S, hosts, usages)
    assert [move.pool for move in moves] == ["rest"]
