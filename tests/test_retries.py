import itertools

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbmount.retries import (
    AttemptFacts,
    Ending,
    Outcome,
    RetryBudget,
    RetryReason,
    classify,
    decide_retry,
)

exact = settings(derandomize=True, deadline=None, database=None)
LOST = AttemptFacts(Ending.CONNECTION_LOST)
NOT_CONNECTED = AttemptFacts(Ending.NOT_CONNECTED, bytes_left=False)
GUARD_REFUSED = AttemptFacts(Ending.ANSWERED, guard_refused=True)


def decide(facts, budget=None, **changes):
    return decide_retry(
        facts,
        **{
            "idempotent": False,
            "replayable": True,
            "attempts": 1,
            "now_s": 0.0,
            "deadline_s": 5.0,
            "expected_s": 0.1,
            "budget": budget or RetryBudget(0.1),
            **changes,
        },
    )


@pytest.mark.parametrize(
    ("ending", "bytes_left", "guard_refused"),
    list(itertools.product(Ending, (True, False), (True, False))),
)
def test_not_run_is_reported_only_when_proved(ending, bytes_left, guard_refused):
    outcome = classify(AttemptFacts(ending, bytes_left, guard_refused))
    proved = not bytes_left or (ending is Ending.ANSWERED and guard_refused)
    assert (outcome is Outcome.NOT_RUN) == proved
    assert (outcome is Outcome.RAN) == (ending is Ending.ANSWERED and not proved)


@pytest.mark.parametrize(
    ("facts", "idempotent", "reason", "retry"),
    [
        (NOT_CONNECTED, False, RetryReason.NOT_RUN, True),
        (GUARD_REFUSED, False, RetryReason.NOT_RUN, True),
        (LOST, False, RetryReason.MAY_HAVE_RUN, False),
        (LOST, True, RetryReason.IDEMPOTENT, True),
        (AttemptFacts(Ending.TIMED_OUT), True, RetryReason.MAY_HAVE_RUN, False),
        (AttemptFacts(Ending.BROKEN_ANSWER), True, RetryReason.MAY_HAVE_RUN, False),
        (AttemptFacts(Ending.ANSWERED), True, RetryReason.ANSWERED, False),
        (
            AttemptFacts(Ending.CONNECTION_LOST, answer_begun=True),
            True,
            RetryReason.ANSWER_BEGUN,
            False,
        ),
        (
            AttemptFacts(Ending.CANCELLED, bytes_left=False),
            True,
            RetryReason.CANCELLED,
            False,
        ),
    ],
)
def test_which_attempts_may_be_retried(facts, idempotent, reason, retry):
    decision = decide(facts, idempotent=idempotent)
    assert (decision.retry, decision.reason) == (retry, reason)


@pytest.mark.parametrize(
    ("changes", "reason"),
    [
        ({"attempts": 3}, RetryReason.ATTEMPTS_SPENT),
        ({"now_s": 4.95}, RetryReason.DEADLINE),
        ({"replayable": False}, RetryReason.NOT_REPLAYABLE),
        ({"budget": RetryBudget(0.1, tokens=0.0)}, RetryReason.BUDGET_SPENT),
    ],
)
def test_conditions_that_forbid_a_retry(changes, reason):
    decision = decide(NOT_CONNECTED, **changes)
    assert (decision.retry, decision.reason) == (False, reason)


def test_a_refused_retry_does_not_charge_the_budget():
    budget = RetryBudget(0.1, tokens=1.0)
    decide(LOST, budget)
    decide(NOT_CONNECTED, budget, attempts=3)
    assert budget.tokens == 1.0


@exact
@given(st.floats(0, 1), st.lists(st.tuples(st.booleans(), st.floats(0, 1))))
def test_retries_stay_within_the_share_of_successes(share, steps):
    budget = RetryBudget(share, updated_s=0.0)
    retries = successes = 0
    now_s = 0.0
    for succeeded, pause_s in steps:
        now_s += pause_s
        if succeeded:
            budget.succeed()
            successes += 1
        else:
            retries += budget.spend(now_s)
    assert retries <= 2 + share * successes + 0.1 * now_s + 1e-6


def test_retries_in_an_outage_are_limited_to_the_refill_rate():
    budget = RetryBudget(0.1, tokens=10.0)
    retries = sum(budget.spend(step / 1000) for step in range(60_000))
    assert retries <= 10 + 6
