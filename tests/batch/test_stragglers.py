"""Detection of stalled and unusually slow runs."""

import math
import random

import pytest

from rhubarbmount.batch.model import QueueName, Server, Step, Task, TaskId, TaskState
from rhubarbmount.batch.run_times import RunKind, RunTime, RunTimes
from rhubarbmount.batch.server_usage import ServerUsage
from rhubarbmount.batch.stragglers import find_straggler

STEP = Step(1, 1000, 500, estimate_s=1.0)
# What runs of the kind take once some have been observed.
KNOWN = RunTime(1.0, 0.2)
KIND = RunKind(QueueName("h", "/q/"), 0)


def usage_with(run, step=STEP, server_id="s1"):
    server = Server(
        server_id, "one", "a:1", "z", False, 8000, 8000, 0, frozenset(), "r", 1
    )
    usage = ServerUsage(server, 0.0)
    usage.add(run, step)
    return usage


def task(now_s, percent, progressed_s, number=0, server_id="s1"):
    """Return a task started at 10 s that made its last progress at ``progressed_s``."""
    run = Task(
        TaskId("j", 0, 0, number),
        TaskState.ASSIGNED,
        1,
        server_id,
        assigned_s=9.0,
        acknowledged_s=10.0,
    )
    run.progress.start(10_000)
    run.progress.report(percent, int(progressed_s * 1000))
    run.progress.report(percent, int(now_s * 1000))
    return run


def reason_of(run, step=STEP, expected=KNOWN, siblings=()):
    found = find_straggler(run, usage_with(run, step), expected, siblings)
    return found and found.reason


def straggler_reason(now_s, percent, progressed_s, step=STEP):
    return reason_of(task(now_s, percent, progressed_s), step)


def test_run_with_normal_progress_is_no_straggler():
    assert straggler_reason(10.5, 50, 10.5) is None
    assert straggler_reason(11.6, 80, 11.6) is None


def test_run_without_progress_is_stalled():
    assert straggler_reason(11.2, 0, 10.0) == "stalled"
    assert straggler_reason(12.0, 40, 10.8) == "stalled"


def test_elapsed_time_counts_from_the_start_and_not_from_the_assignment():
    """With a slow store the row of an assignment takes long to write."""
    run = task(10.6, 50, 10.6)
    run.assigned_s = 5.0
    assert reason_of(run) is None
    run.acknowledged_s = 0.0
    assert reason_of(run) is None


def test_run_without_a_recent_report_is_no_straggler():
    run = task(10.1, 0, 10.1)
    assert reason_of(run) is None


# The holder is late: it reads at 14 s what the server listed at 10.5 s.
def test_late_reading_makes_no_run_slow():
    run = task(10.5, 50, 10.5)
    run.assigned_s = run.acknowledged_s = 13.9
    assert reason_of(run) is None


def test_slow_run_is_a_straggler_only_while_much_work_remains():
    assert straggler_reason(12.0, 20, 12.0) == "slow"
    assert straggler_reason(16.0, 90, 16.0) is None


@pytest.mark.parametrize(
    "step",
    [
        Step(1, 1000, 500, estimate_s=1.0, is_long_running=True),
        Step(2, 1000, 500, estimate_s=1.0, is_gang=True),
    ],
)
def test_long_running_tasks_and_gangs_are_never_stragglers(step):
    assert straggler_reason(15.0, 0, 10.0, step) is None


def test_without_any_declared_time_no_run_is_slow():
    run = task(15.0, 20, 15.0)
    assert reason_of(run, expected=RunTime(0.0)) is None


def test_a_run_is_compared_with_its_step_on_other_servers():
    run = task(14.0, 50, 14.0)
    as_long = task(14.0, 52, 14.0, number=1, server_id="s2")
    assert reason_of(run, siblings=[run, as_long]) is None
    slow = task(14.0, 20, 14.0)
    assert reason_of(slow, siblings=[slow, as_long]) == "slow"
    # All run on the server in question, which may be slow itself.
    beside = task(14.0, 20, 14.0, number=1)
    assert reason_of(slow, siblings=[slow, beside]) == "slow"


def test_a_server_that_was_just_sound_has_long_runs_and_not_slow_ones():
    run = task(14.0, 20, 14.0)
    usage = usage_with(run)
    usage.record_sound_run(11_500, 12_500)
    assert find_straggler(run, usage, KNOWN) is None
    # It may have turned slow after a run that ended early.
    usage.record_sound_run(10_100, 11_100)
    assert find_straggler(run, usage, KNOWN).reason == "slow"


def learned(declared_spread, taken_spread, generator):
    run_times = RunTimes()
    for declared_s, took_s in steps(declared_spread, taken_spread, generator, 40):
        run_times.observe(KIND, declared_s, took_s)
    return run_times


def steps(declared_spread, taken_spread, generator, count):
    for _ in range(count):
        took_s = math.exp(generator.gauss(0.0, taken_spread))
        yield took_s * math.exp(generator.gauss(0.0, declared_spread)), took_s


def found_at_s(takes_s, expected):
    """Return the seconds after which a run is called slow, or None if it never is."""
    for read_ms in range(100, int(takes_s * 1000), 100):
        percent = int(read_ms / takes_s / 10)
        run = task(10 + read_ms / 1000, percent, 10 + read_ms / 1000)
        if reason_of(run, expected=expected) == "slow":
            return read_ms / 1000
    return None


# Declared times are wrong by several times, and so is what runs usually take; all
# servers are sound.
@pytest.mark.parametrize("seed", range(5))
def test_wrong_declarations_alone_make_hardly_any_run_slow(seed):
    generator = random.Random(seed)
    run_times = learned(0.9, 0.5, generator)
    restarted = [
        took_s
        for declared_s, took_s in steps(0.9, 0.5, generator, 300)
        if found_at_s(took_s, run_times.estimate(KIND, declared_s)) is not None
    ]
    assert len(restarted) <= 0.02 * 300


# A server turns slow by several times, among tasks whose declared times are right.
@pytest.mark.parametrize("slowness", [3.0, 5.0, 8.0])
def test_a_slow_server_is_found_as_soon_as_by_declared_times(slowness):
    generator = random.Random(1)
    run_times = learned(0.05, 0.5, generator)
    by_declared_s, by_learned_s = [], []
    for declared_s, took_s in steps(0.05, 0.5, generator, 100):
        declared = RunTime(declared_s, spread=0.0)
        by_declared_s.append(found_at_s(slowness * took_s, declared))
        estimate = run_times.estimate(KIND, declared_s)
        by_learned_s.append(found_at_s(slowness * took_s, estimate))
    found = [at_s for at_s in by_learned_s if at_s is not None]
    assert len(found) >= sum(at_s is not None for at_s in by_declared_s)
    pairs = zip(by_learned_s, by_declared_s, strict=True)
    both = [(new, old) for new, old in pairs if new is not None and old is not None]
    assert sum(new for new, _ in both) <= 1.02 * sum(old for _, old in both)
