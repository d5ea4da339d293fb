"""Compare what callers were told with what ran, and watch rows and versions."""

import json
from itertools import pairwise

import attrs

SERVING_STATES = ("in-service", "returning")
LIST_AGE_S = 2.0


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


@attrs.frozen
class Look:
    """The rows of hosts, and the ids of the live ones, at a time."""

    time_s: float
    rows: tuple[tuple[str, dict], ...]
    listed: frozenset[str]


def misplaced_hosts(looks, host_ids, pools):
    """Return each host that was at some time in two pools or in none, as text."""
    found = set()
    for look in looks:
        names = [value["host_id"] for _, value in look.rows]
        found |= {f"{name}: in two pools" for name in names if names.count(name) > 1}
        found |= {f"{name}: in no pool" for name in host_ids if name not in names}
        for key, value in look.rows:
            if value["pool"] not in pools or key != value["host_id"]:
                found.add(f"{key}: in no pool")
    return sorted(found)


def broken_budgets(looks, pool, hosts_limit=1, racks_limit=1):
    """Return each time at which a sound host was taken out beyond the budget.

    A host missing from the list of live hosts counts as down once it has been missing
    for the age that a list may have when a decision on it is committed.
    """
    found = []
    missing_since_s = {}
    for before, after in pairwise(looks):
        missing = {name for name, _ in after.rows} - after.listed
        missing_since_s = {
            name: missing_since_s.get(name, after.time_s) for name in missing
        }
        lost = {
            name
            for name, since_s in missing_since_s.items()
            if after.time_s - since_s >= LIST_AGE_S
        }
        was_down = down_racks(before, pool, ())
        down = down_racks(after, pool, lost)
        taken = {name for name in down if name in after.listed} - was_down.keys()
        over = len(down) > hosts_limit or len(set(down.values())) > racks_limit
        if taken and over:
            found.append(f"{pool}: {sorted(taken)} taken out with {sorted(down)} down")
    return found


def down_racks(look, pool, lost):
    """Return the racks of a pool's hosts that are down by row or lost, by host."""
    return {
        name: value["rack"]
        for name, value in look.rows
        if value["pool"] == pool
        and (value["state"] not in SERVING_STATES or name in lost)
    }


def reverted_versions(versions_by_host):
    """Return each entry host at which a version fell, as text."""
    return [
        f"{host}: fell from {before} to {after}"
        for host, versions in versions_by_host.items()
        for before, after in pairwise(versions)
        if after < before
    ]
