"""Jobs whose hosts are lost again and again, for their own reason or for others."""

import pytest

from rhubarbmount.job_losses import MAX_LOST_HOSTS
from tests.scheduling_world import World

LOSSES = 2 * MAX_LOST_HOSTS
# Rounds after which a host that is missing from the list is given up.
GIVEN_UP_ROUNDS = 35


def host_of(world, job_id):
    """Return the host on which a job runs, or None."""
    tasks = world.workers.running_by_id.values()
    on_hosts = {task.task_id.rpartition("/")[0]: task.host_id for task in tasks}
    return on_hosts.get(job_id)


async def lose(world, *host_ids, number=0):
    """Lose hosts until their tasks are given up, then bring them back."""
    for host_id in host_ids:
        world.workers.cut(host_id)
    await world.settle(GIVEN_UP_ROUNDS, number=number)
    for host_id in host_ids:
        world.workers.join(host_id)
    await world.settle(2, number=number)


# Guards against a job that takes host after host with it.
@pytest.mark.parametrize("holders", [1, 2])
async def test_a_job_whose_hosts_are_lost_each_time_is_held(holders):
    world = World()
    deadly = await world.submit()
    beside = [await world.submit(team="b") for _ in range(2)]
    await world.round()
    for losses in range(LOSSES):
        host_id = host_of(world, deadly)
        if host_id is None:
            break
        await lose(world, host_id, number=losses % holders)
    assert world.state(deadly) == "held"
    assert losses == MAX_LOST_HOSTS
    assert [world.state(job_id) for job_id in beside] == ["running"] * 2
    world.check()


# Guards against jobs that are held because a rack or its power is lost repeatedly.
async def test_no_job_is_held_whose_hosts_are_lost_together_with_others():
    world = World()
    job_ids = [await world.submit(team=team) for team in "ab" for _ in range(3)]
    await world.round()
    for _ in range(LOSSES):
        await lose(world, *world.hosts)
    await world.settle(10)
    assert [world.state(job_id) for job_id in job_ids] == ["running"] * 6
    world.check()


# Guards against jobs that are held for hosts that were lost long after their starts.
async def test_no_job_is_held_that_has_run_for_long():
    world = World()
    job_id = await world.submit(run_time_s=10_000.0)
    await world.round()
    for _ in range(LOSSES):
        await world.settle(2, seconds=600.0)
        await lose(world, host_of(world, job_id))
    assert world.state(job_id) == "running"
    world.check()


async def test_a_job_that_is_released_may_lose_hosts_anew():
    world = World()
    job_id = await world.submit()
    await world.round()
    for _ in range(MAX_LOST_HOSTS):
        await lose(world, host_of(world, job_id))
    assert world.state(job_id) == "held"
    await world.release(job_id)
    await world.settle(2)
    await lose(world, host_of(world, job_id))
    assert world.state(job_id) == "running"
    world.check()


# Guards against two jobs of which one takes the other along on host after host.
async def test_jobs_that_lost_a_host_together_start_apart():
    world = World()
    job_ids = [await world.submit(team=team) for team in "ab"]
    await world.round()
    hosts = {host_of(world, job_id) for job_id in job_ids}
    assert len(hosts) == 1
    await lose(world, *hosts)
    assert len({host_of(world, job_id) for job_id in job_ids}) == 2
    world.check()
