"""CPU demand of pools."""

import pytest

from rhubarbmount.batch.demand import DemandMeter
from rhubarbmount.batch.model import JobSpec, QueueName, Step

STEP = Step(4, 500, 0, estimate_s=2.0)


def spec(*steps):
    return JobSpec("j", QueueName("h", "/q/"), "one", "", steps, 0.0)


@pytest.fixture
def demand():
    return DemandMeter()


def test_ready_tasks_count_for_their_estimated_run_time(demand):
    demand.note_step("one", STEP, 2.0, 1.0)
    demand.note_step("one", STEP, 2.0, 2.0)
    assert demand.ready_cores("one", 2.5) == 4.0
    assert demand.ready_cores("one", 3.5) == 2.0
    assert demand.ready_cores("one", 4.5) == 0.0
    assert demand.ready_cores("two", 2.5) == 0.0


def test_best_effort_and_long_running_tasks_do_not_count(demand):
    for step in (
        Step(4, 500, 0, estimate_s=2.0, fills=True),
        Step(4, 500, 0, estimate_s=2.0, is_long_running=True),
    ):
        demand.note_step("one", step, 2.0, 0.0)
        for index in range(20):
            demand.note_job("one", spec(step), [2.0], 1.0 + index / 20)
    assert demand.ready_cores("one", 0.1) == 0.0
    assert demand.growth_cores("one", 1.0, 2.0) == 0.0


def test_steady_arrival_rate_is_no_growth(demand):
    for index in range(40):
        demand.note_job("one", spec(STEP), [2.0], index / 20)
    assert demand.growth_cores("one", 1.0, 2.0) == 0.0


def test_single_large_job_is_no_growth(demand):
    demand.note_job("one", spec(STEP, STEP, STEP), [2.0] * 3, 1.9)
    assert demand.growth_cores("one", 1.0, 2.0) == 0.0


def arrive(demand, at_s, step=STEP):
    demand.note_job("one", spec(step), [step.estimate_s], at_s)
    demand.note_step("one", step, step.estimate_s, at_s)


def test_doubled_arrival_rate_is_growth(demand):
    for index in range(60):
        arrive(demand, index / 20 if index < 20 else 1 + index / 60)
    excess_arrivals = 40 - 20 - 60**0.5
    work_core_s = 4.0
    assert demand.growth_cores("one", 1.5, 2.0) == pytest.approx(
        excess_arrivals * work_core_s * 1.5
    )


def test_growth_from_delayed_jobs_is_capped_at_the_ready_cores(demand):
    """Changes in the store went unnoticed for a second and then came together."""
    for _ in range(50):
        arrive(demand, 1.9)
    ready_cores = demand.ready_cores("one", 2.0)
    assert demand.growth_cores("one", 1.6, 2.0) == ready_cores == 100.0
