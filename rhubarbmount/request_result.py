"""Answers of the system's own, with the outcome that they tell."""

import attrs

from rhubarbmount.attempts import Attempt
from rhubarbmount.http import HttpResponse
from rhubarbmount.problem import Outcome, problem
from rhubarbmount.retries import RetryDecision

__all__ = ["RequestResult", "failure", "refusal"]

RETRY_AFTER_S = 1


@attrs.define
class RequestResult:
    """What a caller gets, with the outcome and code that it is counted under."""

    response: HttpResponse
    outcome: Outcome
    code: str


def refusal(
    status: int,
    code: str,
    message: str,
    outcome: Outcome,
    retry_after_s: float | None = RETRY_AFTER_S,
) -> RequestResult:
    """Build an answer of the system's own."""
    response = problem(status, code, message, outcome, retry_after_s)
    return RequestResult(response, outcome, code)


def failure(
    attempt: Attempt, decision: RetryDecision, outcome: Outcome
) -> RequestResult:
    """Build the answer to a request that is given up on after an attempt."""
    message = f"{attempt.message} ({decision.reason})"
    status = 504 if attempt.code == "timeout" else 502
    if outcome is Outcome.UNKNOWN:
        return refusal(status, attempt.code, message, outcome, None)
    return refusal(503, attempt.code, message, outcome)
