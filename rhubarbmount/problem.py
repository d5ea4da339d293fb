"""The system's own answers: problem+json with a code and the request's outcome."""

import json
import math

from rhubarbmount.http import HttpResponse
from rhubarbmount.retries import Outcome

__all__ = [
    "OUTCOME_HEADER",
    "PROBLEM_TYPE",
    "REQUEST_ID_HEADER",
    "Outcome",
    "json_response",
    "problem",
]

OUTCOME_HEADER = b"rhubarbmount-outcome"
REQUEST_ID_HEADER = b"rhubarbmount-request-id"
PROBLEM_TYPE = b"application/problem+json"


def problem(
    status: int,
    code: str,
    message: str,
    outcome: Outcome | None = None,
    retry_after_s: float | None = None,
) -> HttpResponse:
    """Build an error answer.

    >>> problem(503, "queue-full", "try later", Outcome.NOT_RUN, 0.2).headers[-1]
    (b'retry-after', b'1')
    """
    body: dict[str, object] = {"status": status, "code": code, "detail": message}
    headers = [(b"content-type", PROBLEM_TYPE)]
    if outcome is not None:
        body["outcome"] = outcome.value
        headers.append((OUTCOME_HEADER, outcome.value.encode("ascii")))
    if retry_after_s is not None:
        seconds = max(1, math.ceil(retry_after_s))
        headers.append((b"retry-after", b"%d" % seconds))
    return HttpResponse(status, headers, json.dumps(body).encode("utf-8"))


def json_response(value: object, status: int = 200) -> HttpResponse:
    """Build a JSON answer."""
    body = json.dumps(value).encode("utf-8")
    return HttpResponse(status, [(b"content-type", b"application/json")], body)
