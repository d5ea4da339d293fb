"""Order in which jobs are placed while demand exceeds capacity."""

import attrs
import pytest

from rhubarbmount.batch.model import Job, QueueName
from rhubarbmount.batch.objective import EXPIRY_FACTOR, LatestStart, latest_start
from rhubarbmount.batch.placing import (
    ESTIMATE_TOLERANCE_S,
    EXPIRING_WINDOW_S,
    Placer,
    Urgency,
    urgency_of,
)
from rhubarbmount.batch.shard import Shard
from tests.batch.test_shard import CATALOGUE, QUEUE, add, spec, step

LATEST = LatestStart(on_time_s=10.0, useful_s=20.0)
ESTIMATE_S = 1.0
OBJECTIVE_S = QUEUE.slack_factor * ESTIMATE_S + QUEUE.latency_objective_s


@pytest.mark.parametrize(
    ("now_s", "urgency"),
    [
        (9.0, Urgency.ON_TIME),
        (12.0, Urgency.LATE),
        (20.0 - EXPIRING_WINDOW_S + 0.1, Urgency.EXPIRING),
        (21.0, Urgency.EXPIRED),
    ],
)
def test_urgency_follows_the_time_a_job_has_left(now_s, urgency):
    assert urgency_of(LATEST, now_s) is urgency


# Guards against a queue of which nearly all is late by little, as each job that is past
# its latest start takes the place of one that is not.
@pytest.mark.parametrize(
    ("now_s", "has_begun", "urgency"),
    [
        (9.4, False, Urgency.ON_TIME),
        (9.6, False, Urgency.DOUBTFUL),
        (9.6, True, Urgency.ON_TIME),
        (10.1, True, Urgency.DOUBTFUL),
        (10.1 + ESTIMATE_TOLERANCE_S, True, Urgency.LATE),
    ],
)
def test_a_job_is_begun_with_time_to_spare(now_s, has_begun, urgency):
    latest = attrs.evolve(LATEST, reserve_s=0.5)
    assert urgency_of(latest, now_s, has_begun) is urgency


def test_what_a_step_takes_beyond_its_run_comes_off_its_latest_start():
    steps = step(estimate_s=1.0), step(estimate_s=1.0, after=(0,))
    late, early = (
        latest_start(spec(*steps), QUEUE, 0, [1.0, 1.0], delay_s)
        for delay_s in (0.0, 0.1)
    )
    assert early.on_time_s == pytest.approx(late.on_time_s - 0.2)


def make_shard(*accepted_s, now_s):
    """Return a shard with capacity for one task and a job accepted at each time."""
    shard = Shard(CATALOGUE, wall_clock_s=now_s)
    add(shard, "s1", cpu_millicores=1000)
    for number, at_s in enumerate(accepted_s):
        job_spec = spec(step(estimate_s=ESTIMATE_S), job_id=f"j{number}")
        shard.add_job(Job(attrs.evolve(job_spec, accepted_s=at_s)))
    return shard


def placed_job_ids(shard):
    return [item.task.job_id for item in Placer(shard).place(0.0)]


def test_jobs_that_can_be_on_time_go_before_late_ones():
    """In an overload, jobs that are already late wait for the others."""
    late_s = 100.0 - OBJECTIVE_S
    assert placed_job_ids(make_shard(late_s, 100.0, now_s=100.0)) == ["j1"]


def test_expiring_job_goes_before_all_others():
    """In a long burst, small late jobs would otherwise always end too late."""
    rest_s = ESTIMATE_S
    expiring_s = 100.0 - EXPIRY_FACTOR * OBJECTIVE_S + rest_s + EXPIRING_WINDOW_S / 2
    assert placed_job_ids(make_shard(100.0, expiring_s, now_s=100.0)) == ["j1"]


def test_expired_job_goes_last_and_still_runs():
    long_ago_s = 100.0 - 2 * EXPIRY_FACTOR * OBJECTIVE_S
    late_s = 100.0 - OBJECTIVE_S
    assert placed_job_ids(make_shard(long_ago_s, late_s, now_s=100.0)) == ["j1"]
    assert placed_job_ids(make_shard(long_ago_s, now_s=100.0)) == ["j0"]


def test_queue_with_a_lower_priority_number_goes_first():
    """Two queues share a pool: a burst in one does not delay the urgent one."""
    other_name = QueueName("a.example", "/other/")
    other = attrs.evolve(QUEUE, name=other_name, priority=1)
    urgent = attrs.evolve(QUEUE, priority=0)
    shard = make_shard(100.0, now_s=100.0)
    queues = {urgent.name: urgent, other_name: other}
    shard.catalogue = attrs.evolve(CATALOGUE, queue_by_name=queues)
    job_spec = spec(step(estimate_s=ESTIMATE_S), job_id="a-first-by-name")
    shard.add_job(Job(attrs.evolve(job_spec, queue=other_name, accepted_s=90.0)))
    assert placed_job_ids(shard) == ["j0"]
