"""Outcomes of attempts, and the decision whether to retry."""

from enum import StrEnum

import attrs

__all__ = [
    "AttemptFacts",
    "Ending",
    "Outcome",
    "RetryBudget",
    "RetryDecision",
    "RetryReason",
    "classify",
    "decide_retry",
]

MAX_ATTEMPTS = 3
MAX_BUDGET_TOKENS = 10.0
INITIAL_BUDGET_TOKENS = 2.0
BUDGET_REFILL_PER_S = 0.1


class Outcome(StrEnum):
    """Whether a backend server ran the request, as far as can be proved."""

    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Ending(StrEnum):
    """How an attempt ended on its connection."""

    ANSWERED = "answered"
    NOT_CONNECTED = "not-connected"
    CONNECTION_LOST = "connection-lost"
    BROKEN_ANSWER = "broken-answer"
    TIMED_OUT = "timed-out"
    CANCELLED = "cancelled"


@attrs.frozen
class AttemptFacts:
    """Observations about an ended attempt that determine its outcome.

    ``bytes_left`` is true as soon as any byte of the request has been handed to a
    socket, whether or not it arrived. ``guard_refused`` is true if a complete
    response states that the backend server did not run the request.
    ``answer_begun`` is true if any part of the response was passed on to the caller.
    """

    ending: Ending
    bytes_left: bool = True
    guard_refused: bool = False
    answer_begun: bool = False


class RetryReason(StrEnum):
    """Why a request is retried or not."""

    NOT_RUN = "not-run"
    IDEMPOTENT = "idempotent-connection-lost"
    ANSWERED = "answered"
    MAY_HAVE_RUN = "may-have-run"
    ANSWER_BEGUN = "answer-begun"
    CANCELLED = "cancelled"
    ATTEMPTS_SPENT = "attempts-spent"
    BUDGET_SPENT = "budget-spent"
    DEADLINE = "deadline"
    NOT_REPLAYABLE = "not-replayable"


@attrs.frozen
class RetryDecision:
    """Whether to retry a request, and why."""

    retry: bool
    reason: RetryReason


def classify(facts: AttemptFacts) -> Outcome:
    """Return whether the attempt's request ran, as far as can be proved.

    >>> classify(AttemptFacts(Ending.ANSWERED)).value
    'ran'
    >>> classify(AttemptFacts(Ending.NOT_CONNECTED, bytes_left=False)).value
    'not-run'
    >>> classify(AttemptFacts(Ending.CONNECTION_LOST)).value
    'unknown'
    """
    if not facts.bytes_left:
        return Outcome.NOT_RUN
    if facts.ending is not Ending.ANSWERED:
        return Outcome.UNKNOWN
    return Outcome.NOT_RUN if facts.guard_refused else Outcome.RAN


@attrs.define
class RetryBudget:
    """Token bucket that limits retries to a share of the successes.

    ``tokens`` is the number of retries allowed now. Below one token, the bucket also
    refills with time, so that a few retries are allowed without successes.
    """

    share: float
    tokens: float = INITIAL_BUDGET_TOKENS
    updated_s: float = 0.0

    def succeed(self) -> None:
        """Add ``share`` tokens for a success, up to ``MAX_BUDGET_TOKENS``."""
        self.tokens = min(self.tokens + self.share, MAX_BUDGET_TOKENS)

    def spend(self, now_s: float) -> bool:
        """Take one token for a retry and return whether there was one."""
        if self.tokens < 1.0:
            refilled = (now_s - self.updated_s) * BUDGET_REFILL_PER_S
            self.tokens = min(self.tokens + refilled, 1.0)
        self.updated_s = now_s
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def decide_retry(
    facts: AttemptFacts,
    *,
    idempotent: bool,
    replayable: bool,
    attempts: int,
    now_s: float,
    deadline_s: float,
    expected_s: float,
    budget: RetryBudget,
) -> RetryDecision:
    """Decide whether to retry after ``attempts`` attempts, and charge the budget if so.

    ``expected_s`` is the expected duration of another attempt. ``replayable`` tells
    whether the complete request can be sent again.
    """
    reason = _retry_reason(facts, idempotent)
    if reason not in (RetryReason.NOT_RUN, RetryReason.IDEMPOTENT):
        return RetryDecision(False, reason)
    if not replayable:
        return RetryDecision(False, RetryReason.NOT_REPLAYABLE)
    if attempts >= MAX_ATTEMPTS:
        return RetryDecision(False, RetryReason.ATTEMPTS_SPENT)
    if now_s + expected_s >= deadline_s:
        return RetryDecision(False, RetryReason.DEADLINE)
    if not budget.spend(now_s):
        return RetryDecision(False, RetryReason.BUDGET_SPENT)
    return RetryDecision(True, reason)


def _retry_reason(facts: AttemptFacts, idempotent: bool) -> RetryReason:
    if facts.ending is Ending.CANCELLED:
        return RetryReason.CANCELLED
    if facts.answer_begun:
        return RetryReason.ANSWER_BEGUN
    outcome = classify(facts)
    if outcome is Outcome.NOT_RUN:
        return RetryReason.NOT_RUN
    if outcome is Outcome.RAN:
        return RetryReason.ANSWERED
    if idempotent and facts.ending is Ending.CONNECTION_LOST:
        return RetryReason.IDEMPOTENT
    return RetryReason.MAY_HAVE_RUN
