"""Each checker fails on a planted fault."""

import json

from tests.checkers import (
    Look,
    broken_budgets,
    cut_requests,
    misplaced_hosts,
    reverted_versions,
    violations,
)
from tests.deployment import Answer


def answer(request_id="r", outcome="ran", status=200):
    body = json.dumps({"request_id": request_id}).encode()
    return Answer(status, {"rhubarbmount-outcome": outcome}, body, 0.0)


def look(time_s=0.0, listed="abc", pools="ppp", **state_by_host):
    rows = tuple(
        (name, row(name, pool, state_by_host.get(name, "in-service")))
        for name, pool in zip("abc", pools, strict=True)
    )
    return Look(time_s, rows, frozenset(listed))


def row(name, pool="p", state="in-service"):
    rack = "r1" if name in "ab" else "r2"
    return {"host_id": name, "pool": pool, "rack": rack, "state": state}


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


def test_a_budget_broken_by_rows_is_found():
    first, second = look(a="draining"), look(a="draining", b="draining")
    assert broken_budgets([look(), first], "p") == []
    assert broken_budgets([first, second], "p", hosts_limit=2) == []
    assert "['b'] taken out" in broken_budgets([first, second], "p")[0]
    racks = [first, look(a="draining", c="maintenance")]
    assert "['c'] taken out" in broken_budgets(racks, "p", hosts_limit=2)[0]


def test_a_host_taken_out_beside_a_lost_one_breaks_the_budget():
    lost = [look(listed="ac", time_s=float(second)) for second in range(4)]
    taken = look(listed="ac", time_s=4.0, a="draining")
    assert "['a'] taken out" in broken_budgets([*lost, taken], "p")[0]
    assert broken_budgets([look(), *lost], "p") == []
    quarantined = look(listed="ac", time_s=4.0, b="quarantined")
    assert broken_budgets([*lost, quarantined], "p") == []


def test_a_host_in_two_pools_or_in_none_is_found():
    def find(given):
        return misplaced_hosts([look(), given], "abc", ("p", "q"))

    assert find(look(pools="pqp")) == []
    assert find(look(pools="pxp")) == ["b: in no pool"]
    doubled = Look(0.0, (*look().rows, ("b/2", row("b", "q"))), frozenset())
    assert "b: in two pools" in find(doubled)
    assert find(Look(0.0, look().rows[:2], frozenset())) == ["c: in no pool"]


def test_a_version_that_falls_is_found():
    assert reverted_versions({"e1": [1, 1, 3], "e2": [2]}) == []
    assert reverted_versions({"e1": [1, 3, 2]}) == ["e1: fell from 3 to 2"]
