"""Validation of catalogue entries, singly and against each other."""

from collections.abc import Mapping
from typing import Any

import attrs

from rhubarbmount.catalogue import Snapshot, split_key
from rhubarbmount.entries import Entry, JobTemplate, Pool, Service, entry_key
from rhubarbmount.errors import Finding

__all__ = ["FleetSummary", "check_edit", "dependents", "find_faults"]

MAX_NAME_LENGTH = 63
_NAME_CHARACTERS = frozenset("abcdefghijklmnopqrstuvwxyz0123456789-._")
_HOURS_PER_DAY = 24

_LOWEST_BY_FIELD: dict[str, dict[str, float]] = {
    "team": {"processors_quota": 0, "memory_quota_gb": 0, "accelerators_quota": 0},
    "pool": {
        "hosts_wanted": 0,
        "buffer_hosts": 0,
        "hosts_down_limit": 0,
        "racks_down_limit": 0,
        "window_start_hour": 0,
        "window_end_hour": 0,
        "cadence_days": 1,
    },
    "service": {
        "concurrency": 1,
        "queue_length": 0,
        "queue_timeout_ms": 0,
        "request_timeout_ms": 1,
        "retry_share": 0,
    },
    "job-template": {
        "processors": 0,
        "memory_gb": 0,
        "accelerators": 0,
        "run_time_s": 0,
    },
}
_HIGHEST_BY_FIELD: dict[str, dict[str, float]] = {
    "team": {},
    "pool": {"window_start_hour": _HOURS_PER_DAY, "window_end_hour": _HOURS_PER_DAY},
    "service": {"retry_share": 1},
    "job-template": {},
}


@attrs.frozen
class FleetSummary:
    """The number of hosts in each pool at one version of the fleet."""

    version: int
    hosts_by_pool: Mapping[str, int]

    @property
    def hosts(self) -> int:
        """Return the number of hosts in all pools."""
        return sum(self.hosts_by_pool.values())


def dependents(snapshot: Snapshot, key: str) -> list[str]:
    """Return the sorted keys of the entries that refer to an entry.

    Fields unknown to this version count as a reference if the name occurs in them.
    """
    kind, name = split_key(key)
    return [
        other
        for other, entry in sorted(snapshot.entry_by_key.items())
        if other != key
        and ((kind, name) in _references(entry) or _contains_name(name, entry.unknown))
    ]


def find_faults(snapshot: Snapshot) -> list[Finding]:
    """Return every fault within entries and in references between them."""
    faults = []
    for key, entry in sorted(snapshot.entry_by_key.items()):
        faults += _name_faults(key, entry)
        faults += _range_faults(key, entry)
        faults += _reference_faults(snapshot, key, entry)
        if isinstance(entry, Pool):
            faults += _pool_faults(key, entry)
        if isinstance(entry, JobTemplate):
            faults += _quota_faults(snapshot, key, entry)
    return faults


def check_edit(
    before: Snapshot, after: Snapshot, fleet: FleetSummary | None = None
) -> list[Finding]:
    """Return the faults that an edit would introduce.

    Faults that existed before the edit, for example because hosts were lost since, do
    not block it.
    """
    existing = {(fault.place, fault.code) for fault in find_faults(before)}
    faults = [
        fault
        for fault in find_faults(after)
        if (fault.place, fault.code) not in existing
    ]
    if fleet is not None:
        faults += _fleet_faults(before, after, fleet)
    return faults


def _references(entry: Entry) -> set[tuple[str, str]]:
    references = {("team", entry.owner)}
    if isinstance(entry, Service | JobTemplate):
        references.add(("pool", entry.pool))
    if isinstance(entry, JobTemplate):
        references.add(("team", entry.team))
    return references


def _contains_name(name: str, values: Any) -> bool:
    """Return whether a name occurs as a key or value anywhere in nested values."""
    if isinstance(values, Mapping):
        return name in values or any(_contains_name(name, v) for v in values.values())
    if isinstance(values, list | tuple):
        return any(_contains_name(name, value) for value in values)
    return values == name


def _name_faults(key: str, entry: Entry) -> list[Finding]:
    name = entry.name
    if 0 < len(name) <= MAX_NAME_LENGTH and _NAME_CHARACTERS.issuperset(name):
        return []
    message = f"must be 1 to {MAX_NAME_LENGTH} characters of a-z, 0-9, '-', '.', '_'"
    return [Finding(f"{key}.name", "bad-name", message)]


def _range_faults(key: str, entry: Entry) -> list[Finding]:
    kind, _ = split_key(key)
    faults = []
    for field, lowest in _LOWEST_BY_FIELD.get(kind, {}).items():
        value = getattr(entry, field)
        highest = _HIGHEST_BY_FIELD[kind].get(field, float("inf"))
        if lowest <= value <= highest and value != float("inf"):
            continue
        message = f"{value} is not between {lowest} and {highest}"
        faults.append(Finding(f"{key}.{field}", "out-of-range", message))
    return faults


def _reference_faults(snapshot: Snapshot, key: str, entry: Entry) -> list[Finding]:
    faults = []
    for kind, name in sorted(_references(entry)):
        if entry_key(kind, name) not in snapshot.entry_by_key:
            message = f"{kind} {name!r} does not exist"
            faults.append(Finding(f"{key}:{kind}/{name}", f"unknown-{kind}", message))
    return faults


def _pool_faults(key: str, pool: Pool) -> list[Finding]:
    faults = []
    if pool.window_start_hour == pool.window_end_hour:
        message = f"the window starts and ends at hour {pool.window_start_hour}"
        faults.append(Finding(f"{key}.window_end_hour", "empty-window", message))
    if pool.hosts_down_limit > pool.hosts_wanted + pool.buffer_hosts:
        message = f"{pool.hosts_down_limit} exceeds the number of hosts in the pool"
        faults.append(Finding(f"{key}.hosts_down_limit", "over-capacity", message))
    return faults


def _quota_faults(snapshot: Snapshot, key: str, template: JobTemplate) -> list[Finding]:
    faults = []
    if template.owner != template.team:
        message = f"{template.owner!r} may not use the quota of {template.team!r}"
        faults.append(Finding(f"{key}.team", "foreign-quota", message))
    team = snapshot.team_by_name.get(template.team)
    if team is None:
        return faults
    requested_and_quota_by_field = {
        "processors": (template.processors, team.processors_quota),
        "memory_gb": (template.memory_gb, team.memory_quota_gb),
        "accelerators": (template.accelerators, team.accelerators_quota),
    }
    for field, (requested, quota) in requested_and_quota_by_field.items():
        if requested > quota:
            message = f"{requested} exceeds the quota of team {team.name}, {quota}"
            faults.append(Finding(f"{key}.{field}", "over-quota", message))
    return faults


def _fleet_faults(
    before: Snapshot, after: Snapshot, fleet: FleetSummary
) -> list[Finding]:
    faults = []
    wanted = _hosts_wanted(after)
    if wanted > _hosts_wanted(before) and wanted > fleet.hosts:
        message = f"all pools together want {wanted} hosts, the fleet has {fleet.hosts}"
        faults.append(Finding("pool", "over-fleet", message))
    for name in sorted(before.pool_by_name.keys() - after.pool_by_name.keys()):
        hosts = fleet.hosts_by_pool.get(name, 0)
        if hosts:
            message = f"{hosts} hosts still belong to the pool"
            faults.append(Finding(entry_key("pool", name), "pool-in-use", message))
    return faults


def _hosts_wanted(snapshot: Snapshot) -> int:
    return sum(
        pool.hosts_wanted + pool.buffer_hosts for pool in snapshot.pool_by_name.values()
    )
