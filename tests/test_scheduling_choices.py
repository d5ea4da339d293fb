"""Scheduling duty: which tasks it starts, evicts or delays, and on which hosts."""

import attrs
import pytest

from rhubarbmount.entries import WorkClass
from rhubarbmount.hosts import HostState, Shape
from rhubarbmount.job_changes import JobRequest, request_write
from tests.scheduling_world import World


async def test_an_urgent_job_starts_in_a_pool_full_of_batch_tasks():
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


async def test_a_waiting_job_has_a_recorded_reason():
    world = World(hosts=1)
    for _ in range(2):
        await world.submit()
    waiting = await world.submit()
    await world.settle(2)
    memory = world.instances[0].duty.learned.memory
    reason = memory.explain("job", waiting).reason
    assert reason == "no host of pool p has 2 processors, 4 GB free"


async def test_a_job_over_its_teams_quota_waits_with_that_reason():
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


async def test_a_draining_host_gets_no_task_and_its_tasks_are_checkpointed():
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


async def test_a_job_does_not_start_on_its_reserved_host_once_that_drains():
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


async def test_a_host_that_fails_every_task_is_suspected_and_avoided():
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
