"""Each checker fails on a planted fault."""

import json

from tests.checkers import cut_requests, violations
from tests.deployment import Answer


def answer(request_id="r", outcome="ran", status=200):
    body = json.dumps({"request_id": request_id}).encode()
    return Answer(status, {"rhubarbmount-outcome": outcome}, body, 0.0)


def test_nothing_is_found_where_nothing_is_wrong():
    answers = {"r": answer(), "s": answer("s", "not-run", 503)}
    assert violations(answers, {"r": 1}) == []
    assert cut_requests(answers) == []


def test_each_planted_fault_is_found():
    assert violations({"r": answer()}, {"r": 2}) == ["r: doubled, ran 2 times"]
    assert "not-run" in violations({"r": answer(outcome="not-run")}, {"r": 1})[0]
    assert "lost" in violations({"r": answer()}, {})[0]
    assert "crossed" in violations({"r": answer("other")}, {"r": 1})[0]
    assert cut_requests({"r": answer(status=0)}) == ["r"]
