"""Compare what callers were told with what backend servers ran."""

import json


def violations(answer_by_id, runs_by_id):
    """Return every broken promise, as text."""
    found = []
    for request_id, answer in answer_by_id.items():
        runs = runs_by_id.get(request_id, 0)
        if runs > 1:
            found.append(f"{request_id}: doubled, ran {runs} times")
        if answer.outcome == "not-run" and runs:
            found.append(f"{request_id}: said not-run, ran {runs} times")
        if answer.outcome == "ran" and not runs:
            found.append(f"{request_id}: said ran, lost")
        if answer.status == 200 and not is_own(request_id, answer):
            found.append(f"{request_id}: crossed or cut, got {answer.body!r}")
    return found


def is_own(request_id, answer):
    """Tell whether a whole answer belongs to the request."""
    try:
        return json.loads(answer.body)["request_id"] == request_id
    except (ValueError, KeyError, TypeError):
        return False


def cut_requests(answer_by_id):
    """Return the requests whose connection broke before a whole answer."""
    return [key for key, answer in answer_by_id.items() if answer.status == 0]
