"""Availability budgets, which limit how much of a pool is out of service at once."""

from collections.abc import Iterable, Mapping
from enum import StrEnum
from typing import Any

import attrs

from rhubarbmount.entries import Pool, load_pool
from rhubarbmount.host_rows import HostRow, TransactionBuilder
from rhubarbmount.hosts import Host, HostState
from rhubarbmount.shared_rows import NO_FIELDS
from rhubarbmount.store.interface import LiveHost, Platform, Row
from rhubarbmount.tables import BUDGETS_TABLE, ENTRIES_TABLE

__all__ = [
    "BudgetView",
    "Permission",
    "PermissionCode",
    "PoolRows",
    "decide",
    "down_by_cause",
    "read_pool_rows",
]

SERVING_STATES = frozenset({HostState.IN_SERVICE, HostState.RETURNING})


class PermissionCode(StrEnum):
    """Why a host may or may not be taken out of service."""

    ALLOWED = "allowed"
    ALREADY_DOWN = "already-down"
    FAILURES_FIRST = "failures-first"
    HOSTS_EXHAUSTED = "hosts-exhausted"
    RACKS_EXHAUSTED = "racks-exhausted"
    SHORT_OF_HOSTS = "short-of-hosts"


@attrs.frozen
class Permission:
    """The decision on a request for disruption, and the figures behind it."""

    code: PermissionCode
    hosts_down: int
    racks_down: int

    @property
    def allowed(self) -> bool:
        """Whether the host may be taken out of service."""
        return self.code in (PermissionCode.ALLOWED, PermissionCode.ALREADY_DOWN)

    def figures(self) -> dict[str, int]:
        """Return the figures behind the decision by name."""
        return {"hosts_down": self.hosts_down, "racks_down": self.racks_down}


@attrs.frozen(kw_only=True)
class BudgetView:
    """A pool's limits and the hosts that are out of service now.

    ``rack_by_planned`` and ``rack_by_failed`` map host ids to racks, for hosts down
    on purpose and for those that failed or are unknown. ``members`` is the number of
    the pool's hosts.
    """

    pool: Pool
    members: int
    rack_by_planned: Mapping[str, str]
    rack_by_failed: Mapping[str, str]

    @property
    def missing(self) -> int:
        """The number of hosts by which the pool is below ``hosts_wanted``."""
        return max(0, self.pool.hosts_wanted - self.members)

    @property
    def down(self) -> dict[str, str]:
        """The racks of all hosts out of service, by host id."""
        return {**self.rack_by_failed, **self.rack_by_planned}


def decide(view: BudgetView, host_id: str, rack: str) -> Permission:
    """Decide whether one more host may be taken out of service.

    >>> pool = Pool(name="quotes", owner="sfax", hosts_wanted=8)
    >>> view = BudgetView(pool=pool, members=8, rack_by_planned={},
    ...                   rack_by_failed={"h1": "r1"})
    >>> decide(view, "h2", "r1").code.value
    'hosts-exhausted'
    """
    down = view.down
    if host_id in down:
        return _permission(PermissionCode.ALREADY_DOWN, down)
    pool = view.pool
    if _exceeds_limits(pool, view.rack_by_failed):
        return _permission(PermissionCode.FAILURES_FIRST, down)
    racks = set(down.values()) | {rack}
    if len(racks) > pool.racks_down_limit:
        return _permission(PermissionCode.RACKS_EXHAUSTED, down)
    if len(down) + 1 > pool.hosts_down_limit:
        return _permission(PermissionCode.HOSTS_EXHAUSTED, down)
    if len(down) + 1 + view.missing > pool.hosts_down_limit:
        return _permission(PermissionCode.SHORT_OF_HOSTS, down)
    return _permission(PermissionCode.ALLOWED, down)


def down_by_cause(
    hosts: Iterable[Host],
    permits: Mapping[str, str],
    live: Iterable[LiveHost],
) -> tuple[dict[str, str], dict[str, str]]:
    """Return the racks of planned and of failed hosts, each by host id.

    The list of live hosts lags behind. A host that it lacks, or shows as leaving,
    counts as failed; an entry in it never makes a host count as serving that is down
    by its row or by a permit.
    """
    serving_ids = {item.host_id for item in live if not item.leaving}
    planned = dict(permits)
    failed = {}
    for host in hosts:
        if host.host_id in planned:
            continue
        if host.state not in SERVING_STATES or host.host_id not in serving_ids:
            failed[host.host_id] = host.rack
    return planned, failed


def _exceeds_limits(pool: Pool, rack_by_host_id: Mapping[str, str]) -> bool:
    return (
        len(rack_by_host_id) > pool.hosts_down_limit
        or len(set(rack_by_host_id.values())) > pool.racks_down_limit
    )


def _permission(code: PermissionCode, down: Mapping[str, str]) -> Permission:
    return Permission(code, len(down), len(set(down.values())))


@attrs.frozen
class PoolRows:
    """A pool's entry and its row of permits, as read before a decision.

    ``unknown`` holds fields of the row that newer versions added; writes keep them.
    """

    name: str
    pool: Pool | None
    entry_version: int
    permits: Mapping[str, str]
    permits_version: int
    unknown: Mapping[str, Any] = NO_FIELDS

    def view(self, members: Iterable[HostRow], live: Iterable[LiveHost]) -> BudgetView:
        """Return the budget view; the hosts must have been read after these rows."""
        if self.pool is None:
            raise ValueError(f"pool {self.name} has no entry")
        hosts = [row.host for row in members]
        planned, failed = down_by_cause(hosts, self.permits, live)
        return BudgetView(
            pool=self.pool,
            members=len(hosts),
            rack_by_planned=planned,
            rack_by_failed=failed,
        )

    def grant_update(self, rack_by_host_id: Mapping[str, str]) -> TransactionBuilder:
        """Return the preconditions and writes that take these hosts out of service.

        The transaction fails if another planner was granted a permit, or the entry was
        edited, after these rows were read.
        """
        transaction = self._update({**self.permits, **rack_by_host_id})
        transaction.add(self.entry_update())
        return transaction

    def touch_update(self) -> TransactionBuilder:
        """Return the preconditions and writes to change which hosts count as down.

        The row of permits is written unchanged, so that concurrent decisions conflict.
        """
        transaction = self._update(self.permits)
        transaction.add(self.entry_update())
        return transaction

    def entry_update(self) -> TransactionBuilder:
        """Return the precondition that the entry is unchanged since it was read."""
        transaction = TransactionBuilder()
        transaction.require(ENTRIES_TABLE, f"pool/{self.name}", self.entry_version)
        return transaction

    def release_update(self, host_ids: Iterable[str]) -> TransactionBuilder:
        """Return the preconditions and writes that return the hosts' permits."""
        released = set(host_ids)
        return self._update(
            {key: rack for key, rack in self.permits.items() if key not in released}
        )

    def _update(self, permits: Mapping[str, str]) -> TransactionBuilder:
        transaction = TransactionBuilder()
        transaction.require(BUDGETS_TABLE, self.name, self.permits_version)
        transaction.write(
            BUDGETS_TABLE, self.name, {**self.unknown, "permits": dict(permits)}
        )
        return transaction


async def read_pool_rows(platform: Platform, name: str) -> PoolRows:
    """Read a pool's entry and its permits."""
    entry = await platform.read(ENTRIES_TABLE, f"pool/{name}")
    permits = await platform.read(BUDGETS_TABLE, name)
    values = dict(permits.value) if permits else {"permits": {}}
    return PoolRows(
        name=name,
        pool=_pool_of(entry),
        entry_version=entry.version if entry else 0,
        permits=dict(values.pop("permits")),
        permits_version=permits.version if permits else 0,
        unknown=values,
    )


def _pool_of(entry: Row | None) -> Pool | None:
    if entry is None:
        return None
    return load_pool(entry.value["values"])
