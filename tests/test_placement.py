"""Placement: hosts and order of jobs, evictions, and headroom for urgent jobs."""

import itertools

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbmount.entries import Team, WorkClass
from rhubarbmount.fleet_usage import FleetUsage
from rhubarbmount.headroom import HeadroomPolicy, UrgentDemand
from rhubarbmount.host_usage import PoolUsage
from rhubarbmount.hosts import Host, HostState, Shape
from rhubarbmount.job_queue import TeamUsage, WaitingJob
from rhubarbmount.jobs import Job, Task
from rhubarbmount.placement import PlacementPolicy, PoolPlacer, Wait, strategies
from rhubarbmount.preemption import choose_eviction
from rhubarbmount.resources import Resources, resources_needed

NOW_S = 1000.0
URGENT, NORMAL, BATCH = WorkClass.URGENT, WorkClass.NORMAL, WorkClass.BATCH


def make_host(number, shape=None, rack=None, **fields):
    return Host(
        host_id=f"h{number}",
        pool="p",
        data_centre="d",
        rack=rack or f"r{number // 2}",
        address="a",
        shape=shape or Shape(8, 32),
        **fields,
    )


def make_task(task_id, host_id, shape=None, work_class=BATCH, **fields):
    return Task(
        task_id=task_id,
        job_id=task_id,
        team="a",
        pool="p",
        host_id=host_id,
        reserved=shape or Shape(4, 8),
        work_class=work_class,
        **fields,
    )


def make_pool_usage(hosts=4, **fields):
    pool_usage = PoolUsage()
    for number in range(hosts):
        pool_usage.set_host(make_host(number, **fields))
    return pool_usage


def make_waiting_job(job_id="j", shape=None, work_class=NORMAL, team="a", **fields):
    shape = shape or Shape(2, 4)
    job = Job(
        job_id=job_id, team=team, pool="p", shape=shape, work_class=work_class, **fields
    )
    return WaitingJob(job, resources_needed(shape))


def make_team_usage(**processors_by_team):
    found = TeamUsage()
    for name, processors in processors_by_team.items():
        team = Team(
            name=name, owner=name, processors_quota=processors, memory_quota_gb=10_000
        )
        found.set_team(team)
    return found


def plan(placer, team_usage):
    """Apply all decisions of a plan; return (job, host) pairs and the waits."""
    placed, waits = [], []
    decisions = itertools.chain(
        placer.plan(team_usage, NOW_S, 1000, urgent=True),
        placer.plan(team_usage, NOW_S, 1000, urgent=False),
    )
    for decision in decisions:
        if isinstance(decision, Wait):
            waits.append((decision.group.first.job.job_id, decision.code))
            continue
        job = decision.waiting.job
        placer.queue.remove(job)
        task = make_task(
            job.job_id, decision.host_id, job.shape, job.work_class, kind=job.kind
        )
        placer.pool_usage.add_task(task)
        team_usage.acquire(job.team, decision.waiting.need)
        placed.append((job.job_id, decision.host_id))
    return placed, waits


SHAPES = st.builds(
    Shape, st.integers(1, 9), st.integers(1, 40), st.sampled_from([0, 0, 1, 4])
)


@settings(max_examples=300, derandomize=True, deadline=None, database=None)
@given(st.lists(SHAPES, max_size=12), SHAPES, st.sampled_from(["", "r0", "r9"]))
def test_a_search_yields_exactly_the_hosts_that_fit_smallest_first(shapes, need, rack):
    pool_usage = PoolUsage()
    for number, shape in enumerate(shapes):
        pool_usage.set_host(make_host(number, shape))
    required = resources_needed(need)
    found = list(pool_usage.free.search(required, rack))
    fitting = [
        h
        for h, host_usage in pool_usage.usage_by_host_id.items()
        if required.fits(host_usage.free)
    ]
    assert sorted(found) == fitting
    frees = [pool_usage.usage_by_host_id[host_id].free for host_id in found]
    assert frees == sorted(frees)


@settings(max_examples=200, derandomize=True, deadline=None, database=None)
@given(
    st.lists(st.tuples(SHAPES, st.booleans()), max_size=30),
    st.sampled_from(list(strategies)),
)
def test_no_strategy_overfills_a_host_and_removal_restores_capacity(steps, strategy):
    placer = PoolPlacer("p", PlacementPolicy(strategy), make_pool_usage())
    empty = {
        host_id: host_usage.free
        for host_id, host_usage in placer.pool_usage.usage_by_host_id.items()
    }
    for number, (shape, ends) in enumerate(steps):
        placer.queue.add(make_waiting_job(f"j{number}", shape, BATCH))
        plan(placer, make_team_usage(a=1000))
        for host_usage in placer.pool_usage.usage_by_host_id.values():
            assert min(host_usage.free) >= 0
        if ends and placer.pool_usage.host_by_task:
            placer.pool_usage.remove_task(min(placer.pool_usage.host_by_task))
    for task_id in list(placer.pool_usage.host_by_task):
        placer.pool_usage.remove_task(task_id)
    usages = placer.pool_usage.usage_by_host_id.items()
    assert {host_id: host_usage.free for host_id, host_usage in usages} == empty
    assert not placer.pool_usage.evictable_tasks


def test_tasks_of_one_kind_spread_over_racks_where_best_fit_packs_them():
    racks = {}
    for strategy in ("best-fit", "spread"):
        placer = PoolPlacer("p", PlacementPolicy(strategy), make_pool_usage(8))
        for number in range(4):
            placer.queue.add(make_waiting_job(f"j{number}", template="quote"))
        placed, _ = plan(placer, make_team_usage(a=1000))
        racks[strategy] = {
            placer.pool_usage.usage_by_host_id[h].host.rack for _, h in placed
        }
    assert len(racks["best-fit"]) == 1
    assert len(racks["spread"]) == 4


def test_hosts_with_accelerators_are_left_to_jobs_that_need_them():
    pool_usage = PoolUsage()
    pool_usage.set_host(make_host(0, Shape(8, 32, 4)))
    pool_usage.set_host(make_host(1))
    placer = PoolPlacer("p", pool_usage=pool_usage)
    placer.queue.add(make_waiting_job("plain"))
    placer.queue.add(make_waiting_job("accelerated", Shape(2, 4, 1)))
    placed, _ = plan(placer, make_team_usage(a=100))
    assert ("plain", "h1") in placed
    team_usage = make_team_usage(a=100)
    team_usage.quota_by_team["a"] = Resources(4, 1000, 10_000)
    assert plan(placer, team_usage)[0] == [("accelerated", "h0")]


def test_a_host_not_in_service_or_avoided_gets_no_task():
    pool_usage = PoolUsage()
    pool_usage.set_host(make_host(0, state=HostState.DRAINING))
    pool_usage.set_host(make_host(1))
    pool_usage.set_avoided("h1", True)
    placer = PoolPlacer("p", pool_usage=pool_usage)
    placer.queue.add(make_waiting_job())
    assert plan(placer, make_team_usage(a=100)) == ([], [("j", "wait-room")])
    pool_usage.set_avoided("h1", False)
    assert plan(placer, make_team_usage(a=100))[0] == [("j", "h1")]


def test_a_job_avoids_hosts_where_it_failed_while_others_fit():
    placer = PoolPlacer("p", pool_usage=make_pool_usage(3))
    placer.queue.add(make_waiting_job(failed_hosts=("h0", "h2")))
    assert plan(placer, make_team_usage(a=100))[0] == [("j", "h1")]


def test_jobs_are_ordered_by_class_and_by_their_teams_quota_share():
    placer = PoolPlacer("p", pool_usage=make_pool_usage(1))
    team_usage = make_team_usage(a=100, b=100)
    team_usage.acquire("a", Resources(0, 40, 40))
    for job_id, work_class, team in (
        ("batch", BATCH, "b"),
        ("rich", NORMAL, "a"),
        ("poor", NORMAL, "b"),
        ("urgent", URGENT, "a"),
    ):
        placer.queue.add(make_waiting_job(job_id, work_class=work_class, team=team))
    placed, _ = plan(placer, team_usage)
    assert [job_id for job_id, _ in placed] == ["urgent", "poor", "rich", "batch"]


def test_a_team_at_its_quota_does_not_block_other_teams():
    placer = PoolPlacer("p", pool_usage=make_pool_usage(1))
    placer.queue.add(make_waiting_job("over", team="a"))
    placer.queue.add(make_waiting_job("within", team="b"))
    placed, waits = plan(placer, make_team_usage(a=1, b=100))
    assert placed == [("within", "h0")]
    assert waits == [("over", "wait-quota")]


def test_a_waiting_large_job_does_not_block_smaller_ones():
    placer = PoolPlacer("p", pool_usage=make_pool_usage(1))
    placer.queue.add(make_waiting_job("large", Shape(16, 4)))
    placer.queue.add(make_waiting_job("small", submitted_s=1.0))
    placed, waits = plan(placer, make_team_usage(a=100))
    assert placed == [("small", "h0")] and waits == [("large", "wait-room")]


def test_only_urgent_jobs_use_the_last_hosts_with_headroom():
    placer = PoolPlacer("p", pool_usage=make_pool_usage(2), headroom_hosts=1)
    placer.pool_usage.set_headroom(resources_needed(Shape(8, 8)))
    for number in range(4):
        placer.queue.add(make_waiting_job(f"b{number}", Shape(4, 4), BATCH))
    placed, waits = plan(placer, make_team_usage(a=100))
    assert len(placed) == 2 and len({host for _, host in placed}) == 1
    assert waits == [("b2", "wait-headroom")]
    placer.queue.add(make_waiting_job("urgent", Shape(8, 8), URGENT))
    assert plan(placer, make_team_usage(a=100))[0][0][0] == "urgent"


def test_an_eviction_loses_the_least_work_and_no_task_needlessly():
    pool_usage = make_pool_usage(2)
    pool_usage.add_task(make_task("old", "h0", started_s=0.0, can_checkpoint=False))
    pool_usage.add_task(make_task("new", "h0", started_s=990.0, can_checkpoint=False))
    pool_usage.add_task(make_task("safe", "h1", started_s=0.0))
    pool_usage.add_task(make_task("fixed", "h1", work_class=NORMAL))
    found = choose_eviction(pool_usage, resources_needed(Shape(4, 4)), NOW_S)
    assert found.task_ids == ("safe",)
    found = choose_eviction(pool_usage, resources_needed(Shape(8, 4)), NOW_S)
    assert sorted(found.task_ids) == ["new", "old"]
    assert choose_eviction(pool_usage, resources_needed(Shape(9, 4)), NOW_S) is None


def test_a_task_told_to_end_is_not_evicted_again():
    pool_usage = make_pool_usage(1)
    pool_usage.add_task(make_task("t", "h0", command="checkpoint"))
    assert choose_eviction(pool_usage, resources_needed(Shape(8, 4)), NOW_S) is None


def test_reserved_capacity_goes_to_no_other_job():
    pool_usage = make_pool_usage(1)
    pool_usage.reserve("urgent", "h0", resources_needed(Shape(8, 32)))
    placer = PoolPlacer("p", pool_usage=pool_usage)
    placer.queue.add(make_waiting_job())
    assert plan(placer, make_team_usage(a=100)) == ([], [("j", "wait-room")])


def test_headroom_follows_the_arrivals_of_urgent_jobs():
    demand = UrgentDemand(HeadroomPolicy(refill_s=1.0, max_spans=100))
    assert demand.hosts_wanted(100, 0.0) == 0
    for second in range(100):
        for _ in range(5 if second % 10 == 0 else 1):
            demand.observe(Resources(0, 8, 16), float(second))
    assert demand.hosts_wanted(100, 100.0) == 5
    assert demand.hosts_wanted(20, 100.0) == 2
    assert demand.hosts_wanted(100, 1000.0) == 1


def test_a_moved_host_offers_capacity_to_its_new_pool_only_once_empty():
    fleet = FleetUsage(PlacementPolicy())
    fleet.set_host(make_host(0))
    task = make_task("t", "h0")
    fleet.add_task(task)
    moved = attrs.evolve(make_host(0), pool="q")
    fleet.set_host(moved)
    need = resources_needed(Shape(1, 1))
    assert not list(fleet.placer("p").pool_usage.free.search(need))
    assert not list(fleet.placer("q").pool_usage.free.search(need))
    fleet.remove_task(task)
    assert list(fleet.placer("q").pool_usage.free.search(need)) == ["h0"]
    assert not fleet.placer("p").pool_usage.usage_by_host_id
