"""Expected run times where declared ones are wrong by several times."""

import math
import random

import pytest

from rhubarbmount.batch.model import QueueName
from rhubarbmount.batch.run_times import RunKind, RunTimes

KIND = RunKind(QueueName("h", "/q/"), 0)
STEPS = 200


def steps(declared_spread, taken_spread, seed=1):
    """Yield declared and taken times, in seconds, of a queue with mean 1 s."""
    generator = random.Random(seed)
    for _ in range(STEPS):
        took_s = math.exp(generator.gauss(0.0, taken_spread))
        yield took_s * math.exp(generator.gauss(0.0, declared_spread)), took_s


def errors(run_times, pairs):
    """Return the errors of estimates and of declarations, learning meanwhile.

    An error is the logarithm of the factor by which a value is wrong.
    """
    estimate_errors, declared_errors = [], []
    for declared_s, took_s in pairs:
        expected = run_times.estimate(KIND, declared_s)
        estimate_errors.append(abs(math.log(took_s / expected.expected_s)))
        declared_errors.append(abs(math.log(took_s / declared_s)))
        run_times.observe(KIND, declared_s, took_s)
    return estimate_errors, declared_errors


def mean(values):
    return sum(values) / len(values)


@pytest.fixture
def run_times():
    return RunTimes()


def test_the_declared_time_is_the_first_guess(run_times):
    assert run_times.estimate(KIND, 3.0).expected_s == 3.0
    assert run_times.estimate(KIND, 0.0).expected_s == 0.0


# The declared times of a queue are wrong by several times, in both directions.
def test_wrong_declarations_give_way_to_what_runs_usually_take(run_times):
    found, declared = errors(run_times, steps(declared_spread=0.9, taken_spread=0.5))
    assert mean(found) < 0.6 * mean(declared)
    # Half of what is learned from 200 steps is known after 10.
    assert mean(found[10:60]) < 0.8 * mean(declared[10:60])


# Declared times tell long steps from short ones.
@pytest.mark.parametrize("spread", [0.0, 0.2])
def test_right_declarations_are_kept(run_times, spread):
    found, declared = errors(run_times, steps(spread, taken_spread=0.5))
    assert mean(found) <= mean(declared) + 0.02


# All declarations of a queue are four times too high.
def test_a_constant_factor_is_learned(run_times):
    for declared_s, took_s in steps(0.1, 0.5):
        run_times.observe(KIND, 4 * declared_s, took_s)
    assert run_times.estimate(KIND, 4.0).expected_s == pytest.approx(1.0, rel=0.2)


def test_the_spread_tells_how_wrong_estimates_are(run_times):
    found, _ = errors(run_times, steps(declared_spread=0.9, taken_spread=0.5))
    outside = [error for error in found[20:] if error > 2.5 * 0.45]
    spread = run_times.estimate(KIND, 1.0).spread
    assert 0.3 < spread < 0.6
    assert len(outside) < 0.05 * STEPS


def test_kinds_are_learned_apart(run_times):
    for declared_s, took_s in steps(0.1, 0.1):
        run_times.observe(KIND, 4 * declared_s, took_s)
    other = RunKind(KIND.queue, 1)
    assert run_times.estimate(other, 4.0).expected_s == 4.0
