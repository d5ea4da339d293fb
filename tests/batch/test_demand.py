"""How many cores a pool's work keeps busy."""

import pytest

from rhubarbmount.batch.demand import DemandMeter
from rhubarbmount.batch.model import JobSpec, QueueName, Step

STEP = Step(4, 500, 0, estimate_s=2.0)


def spec(*steps):
    return JobSpec("j", QueueName("h", "/q/"), "one", "", steps, 0.0)


@pytest.fixture
def demand():
    return DemandMeter()


def test_ready_tasks_count_for_as_long_as_they_take(demand):
    demand.note_step("one", STEP, 1.0)
    demand.note_step("one", STEP, 2.0)
    assert demand.ready_cores("one", 2.5) == 4.0
    assert demand.ready_cores("one", 3.5) == 2.0
    assert demand.ready_cores("one", 4.5) == 0.0
    assert demand.ready_cores("two", 2.5) == 0.0


def test_tasks_that_take_no_room_or_never_end_do_not_count(demand):
    for step in (
        Step(4, 500, 0, estimate_s=2.0, fills=True),
        Step(4, 500, 0, estimate_s=2.0, is_long_running=True),
    ):
        demand.note_step("one", step, 0.0)
        for at in range(20):
            demand.note_job("one", spec(step), 1.0 + at / 20)
    assert demand.ready_cores("one", 0.1) == 0.0
    assert demand.growth_cores("one", 1.0, 2.0) == 0.0


def test_a_steady_stream_does_not_grow(demand):
    for at in range(40):
        demand.note_job("one", spec(STEP), at / 20)
    assert demand.growth_cores("one", 1.0, 2.0) == 0.0


def test_one_large_job_is_no_growth(demand):
    demand.note_job("one", spec(STEP, STEP, STEP), 1.9)
    assert demand.growth_cores("one", 1.0, 2.0) == 0.0


def arrive(demand, at_s, step=STEP):
    demand.note_job("one", spec(step), at_s)
    demand.note_step("one", step, at_s)


def test_a_stream_that_doubles_grows(demand):
    for at in range(60):
        arrive(demand, at / 20 if at < 20 else 1 + at / 60)
    arrivals_more = 40 - 20 - 60**0.5
    work_core_s = 4.0
    assert demand.growth_cores("one", 1.5, 2.0) == pytest.approx(
        arrivals_more * work_core_s * 1.5
    )


def test_jobs_that_were_held_up_and_arrive_at_once_do_not_count_beyond_twice(demand):
    """The store's changes were not heard of for a second."""
    for _ in range(50):
        arrive(demand, 1.9)
    ready_cores = demand.ready_cores("one", 2.0)
    assert demand.growth_cores("one", 1.6, 2.0) == ready_cores == 100.0
