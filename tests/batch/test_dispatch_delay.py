"""How much longer steps take than their runs."""

import pytest

from rhubarbmount.batch.dispatch_delay import MAX_DELAY_S, DispatchDelay
from rhubarbmount.batch.model import Job, RunEnd
from rhubarbmount.batch.placing import Placer
from rhubarbmount.batch.shard import Shard
from tests.batch.test_shard import CATALOGUE, add, spec, step


@pytest.fixture
def shard():
    new_shard = Shard(CATALOGUE)
    add(new_shard, "s1")
    return new_shard


def run_step(shard, ran_s, read_at_s, outcome="done"):
    """Run a step of two tasks, assigned at 1 s, and read both ends at a time."""
    shard.add_job(Job(spec(step(2, estimate_s=1.0))))
    for number, item in enumerate(Placer(shard).place(1.0), 1):
        shard.task(item.task).progress.start(5000)
        end = RunEnd(number, item.task, item.run, outcome, "")
        shard.end_run(item.server_id, end, read_at_s, 5000 + int(ran_s * 1000))


def test_what_a_step_takes_beyond_its_runs_is_learned(shard):
    for _ in range(100):
        shard.job_by_id.clear()
        run_step(shard, ran_s=0.5, read_at_s=1.75)
    assert shard.dispatch_delay.expected_s == pytest.approx(0.25, abs=0.01)


def test_a_step_with_a_run_that_failed_tells_nothing(shard):
    run_step(shard, ran_s=0.5, read_at_s=1.75, outcome="failed")
    for item in Placer(shard).place(2.0):
        shard.task(item.task).progress.start(5000)
        end = RunEnd(item.run + 2, item.task, item.run, "done", "")
        shard.end_run(item.server_id, end, 4.0, 5500)
    assert shard.dispatch_delay.expected_s == 0.0


def test_an_outage_counts_as_a_long_delay_and_no_longer():
    delay = DispatchDelay()
    for _ in range(1000):
        delay.observe(held_s=60.0, ran_s=1.0)
    assert delay.expected_s <= MAX_DELAY_S
