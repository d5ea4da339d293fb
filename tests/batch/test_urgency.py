"""Which jobs get room first while there is more work than room."""

import attrs
import pytest

from rhubarbmount.batch.model import Job, QueueName
from rhubarbmount.batch.objective import LATE_FACTOR, LatestBegin
from rhubarbmount.batch.placing import LAST_CHANCE_S, Placer, Urgency, urgency_of
from rhubarbmount.batch.shard import Shard
from tests.batch.test_shard import CATALOGUE, QUEUE, add, spec, step

LATEST = LatestBegin(in_time_s=10.0, of_use_s=20.0)
ESTIMATE_S = 1.0
OBJECTIVE_S = QUEUE.slack_factor * ESTIMATE_S + QUEUE.latency_objective_s


@pytest.mark.parametrize(
    ("now_s", "urgency"),
    [
        (9.0, Urgency.IN_TIME),
        (12.0, Urgency.LATE),
        (20.0 - LAST_CHANCE_S + 0.1, Urgency.LAST_CHANCE),
        (21.0, Urgency.TOO_LATE),
    ],
)
def test_urgency_follows_what_is_left_of_a_jobs_time(now_s, urgency):
    assert urgency_of(LATEST, now_s) is urgency


def make_shard(*accepted_s, now_s):
    """Return a shard with room for one task and a job accepted at each time."""
    shard = Shard(CATALOGUE, wall_clock_s=now_s)
    add(shard, "s1", cpu_millicores=1000)
    for number, at_s in enumerate(accepted_s):
        made = spec(step(estimate_s=ESTIMATE_S), job_id=f"j{number}")
        shard.add_job(Job(attrs.evolve(made, accepted_s=at_s)))
    return shard


def placed(shard):
    return [item.task.job_id for item in Placer(shard).place(0.0)]


def test_a_burst_serves_jobs_that_can_be_in_time_before_late_ones():
    """More comes than the pool holds: who is late already waits for the others."""
    late_s = 100.0 - OBJECTIVE_S
    assert placed(make_shard(late_s, 100.0, now_s=100.0)) == ["j1"]


def test_a_late_job_at_its_last_chance_goes_before_all_others():
    """A long burst: without this, small jobs that are late would never be of use."""
    rest_s = ESTIMATE_S
    last_chance_s = 100.0 - LATE_FACTOR * OBJECTIVE_S + rest_s + LAST_CHANCE_S / 2
    assert placed(make_shard(100.0, last_chance_s, now_s=100.0)) == ["j1"]


def test_a_job_that_is_of_no_use_any_more_goes_last_and_is_still_run():
    long_ago_s = 100.0 - 2 * LATE_FACTOR * OBJECTIVE_S
    late_s = 100.0 - OBJECTIVE_S
    assert placed(make_shard(long_ago_s, late_s, now_s=100.0)) == ["j1"]
    assert placed(make_shard(long_ago_s, now_s=100.0)) == ["j0"]


def test_a_queue_of_a_lower_priority_number_goes_first():
    """Two queues share a pool: the urgent one does not wait for the other's burst."""
    other_name = QueueName("a.example", "/other/")
    other = attrs.evolve(QUEUE, name=other_name, priority=1)
    urgent = attrs.evolve(QUEUE, priority=0)
    shard = make_shard(100.0, now_s=100.0)
    queues = {urgent.name: urgent, other_name: other}
    shard.catalogue = attrs.evolve(CATALOGUE, queue_by_name=queues)
    made = spec(step(estimate_s=ESTIMATE_S), job_id="a-first-by-name")
    shard.add_job(Job(attrs.evolve(made, queue=other_name, accepted_s=90.0)))
    assert placed(shard) == ["j0"]
