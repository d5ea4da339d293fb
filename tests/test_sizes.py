"""Estimates of sizes and run times from late and repeated reports."""

from rhubarbmount.hosts import Shape
from rhubarbmount.jobs import Job
from rhubarbmount.sizes import MAX_REPORTS_PER_KIND, SizeMemory, UsageReport

LARGEST = Shape(32, 64)
HOST_SHAPES = [Shape(8, 256), Shape(16, 64, 4), LARGEST]


def job(shape=None, run_time_s=60.0, template="quote"):
    return Job(
        job_id="j",
        team="t",
        pool="p",
        shape=shape or Shape(8, 16),
        run_time_s=run_time_s,
        template=template,
    )


def report(number, **used):
    used = {"processors": 2.0, "memory_gb": 4.0, "run_time_s": 30.0} | used
    return UsageReport(task_id=f"t{number}", kind="quote", **used)


def estimate_after_reports(reports, declared=None, host_shapes=HOST_SHAPES):
    memory = SizeMemory()
    for number in range(reports):
        memory.observe(report(number))
    return memory.estimate(declared or job(), host_shapes)


def test_without_reports_the_declaration_stands():
    estimate = SizeMemory().estimate(job(), HOST_SHAPES)
    assert (estimate.shape, estimate.run_time_s) == (Shape(8, 16), 60.0)


def test_a_few_reports_do_not_yet_override_the_declaration():
    assert estimate_after_reports(2).shape == Shape(8, 16)


def test_many_reports_replace_a_wrong_declaration():
    estimate = estimate_after_reports(MAX_REPORTS_PER_KIND)
    assert estimate.shape == Shape(2, 4.5)
    assert estimate.run_time_s == 30.0
    assert estimate.is_misdeclared


def test_a_report_counts_once_however_often_it_arrives():
    memory = SizeMemory()
    assert memory.observe(report(1, processors=32.0))
    for _ in range(MAX_REPORTS_PER_KIND):
        assert not memory.observe(report(1, processors=32.0))
    assert memory.estimate(job(), HOST_SHAPES).reports == 1


def test_reports_in_any_order_give_one_estimate():
    reports = [
        report(n, processors=float(n % 5 + 1)) for n in range(MAX_REPORTS_PER_KIND)
    ]
    estimates = []
    for order in (reports, reports[::-1]):
        memory = SizeMemory()
        for late in order:
            memory.observe(late)
        estimates.append(memory.estimate(job(), HOST_SHAPES))
    assert estimates[0] == estimates[1]


def test_running_out_of_memory_raises_the_reservation_at_once():
    memory = SizeMemory()
    memory.observe(report(1, memory_gb=16.0, out_of_memory=True))
    assert memory.estimate(job(), HOST_SHAPES).shape.memory_gb == 24.0


def test_a_learned_size_never_exceeds_the_largest_host():
    memory = SizeMemory()
    for number in range(MAX_REPORTS_PER_KIND):
        memory.observe(report(number, processors=500.0, memory_gb=900.0))
    assert memory.estimate(job(Shape(16, 16)), HOST_SHAPES).shape == LARGEST


def test_accelerators_stay_as_declared():
    assert (
        estimate_after_reports(
            MAX_REPORTS_PER_KIND, job(Shape(8, 16, 2))
        ).shape.accelerators
        == 2
    )
