"""Scheduling duty: stalled lease holders, lost responses, outages, lost hosts."""

import trio
import trio.testing

from rhubarbmount.hosts import Shape
from tests.scheduling_world import World

FIRST_COMMAND_CALL = 11


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


async def test_a_start_whose_response_was_lost_is_resent_but_runs_once():
    world = World()
    job_id = await world.submit()
    await world.settle(1)
    second = await world.submit()
    world.instances[0].link.lose_answers = 2
    await world.settle(4)
    assert world.state(second) == "running"
    assert sorted(world.workers.starts) == [f"{job_id}/1", f"{second}/1"]
    world.check()


async def test_a_new_lease_holder_sends_open_start_commands_first():
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


async def test_a_lost_hosts_task_restarts_elsewhere_only_after_its_lease_expires():
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


async def test_a_new_lease_holder_times_a_lost_host_from_its_own_first_listing():
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


async def test_an_hour_without_the_platform_starts_and_loses_no_job():
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


async def test_many_cancellations_are_processed_before_any_job_starts():
    world = World()
    running = await world.submit()
    await world.round()
    cancelled = [await world.submit() for _ in range(200)]
    for job_id in [running, *cancelled]:
        await world.cancel(job_id)
    before = world.instances[0].link.calls
    await world.settle(2)
    assert {world.state(job_id) for job_id in [running, *cancelled]} == {"cancelled"}
    assert world.workers.starts == [f"{running}/1"]
    assert world.instances[0].link.calls - before < 30


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


class ScanRecorder:
    """Link that records the scans made through it."""

    def __init__(self, link):
        self.link = link
        self.scans = []

    def __getattr__(self, name):
        return getattr(self.link, name)

    async def scan(self, table, prefix=""):
        self.scans.append((table, prefix))
        return await self.link.scan(table, prefix)


async def test_without_tasks_only_late_reports_are_looked_for():
    world = World(hosts=1)
    await world.settle(1)
    duty = world.instances[0].duty
    duty.platform = counted = ScanRecorder(duty.platform)
    await world.settle(40, 0.5)
    ended = counted.scans.count(("task-reports", "ended/"))
    assert ended <= 20 / duty.list_period_s + 1
    job_id = await world.submit()
    await world.settle(2, 0.5)
    world.workers.end(f"{job_id}/1", "succeeded")
    await world.settle(1, 0.5)
    assert world.state(job_id) == "done"
