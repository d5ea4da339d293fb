"""The transaction that takes hosts of one pool a step further."""

from collections.abc import Collection, Iterable
from typing import NamedTuple

import attrs

from rhubarbmount.budgets import PoolRows
from rhubarbmount.host_begin import next_host
from rhubarbmount.host_rows import HostChange, HostRow, TransactionBuilder, host_update
from rhubarbmount.host_work import HostIntent, HostTransition, intent_key, work_cause
from rhubarbmount.hosts import Host
from rhubarbmount.store.interface import Row
from rhubarbmount.tables import INTENTS_TABLE, SUSPECTS_TABLE

__all__ = ["DueStep", "OpenWork", "can_leave", "is_same_target", "step_update"]


class OpenWork(NamedTuple):
    """An open intent with the rows it was read from."""

    intent: HostIntent
    intent_version: int
    row: HostRow


class DueStep(NamedTuple):
    """A step that a host at work takes now."""

    item: OpenWork
    step: HostTransition


def step_update(
    rows: PoolRows, head: Row | None, due: Iterable[DueStep], now_s: float
) -> TransactionBuilder:
    """Return what a transaction needs to take the steps of hosts of one pool."""
    changes = []
    transaction = TransactionBuilder()
    released = []
    for item, step in due:
        host_id = item.intent.host_id
        changes.append(HostChange(item.row, _host_after(item, step, now_s)))
        transaction.require(INTENTS_TABLE, intent_key(host_id), item.intent_version)
        if step.finished:
            transaction.write(INTENTS_TABLE, intent_key(host_id), None)
        if step.gone or step.event == "warm":
            transaction.write(SUSPECTS_TABLE, host_id, None)
        if step.finished or step.pool:
            released.append(host_id)
    if any(host_id in rows.permits for host_id in released):
        transaction.add(rows.release_update(released))
    transaction.add(host_update(head, changes))
    return transaction


def _host_after(item: OpenWork, step: HostTransition, now_s: float) -> Host | None:
    if step.gone:
        return None
    cause = work_cause(item.intent, step.event)
    host = next_host(item.row.host, step, now_s, cause)
    if step.event == "ready":
        maintained_s = max(now_s, item.intent.group_started_s)
        host = attrs.evolve(host, maintained_s=maintained_s)
    return host


def is_same_target(intent: HostIntent, target: PoolRows) -> bool:
    """Tell whether the target still is the pool that the move was begun for."""
    if target.pool is None:
        return False
    return intent.target_owner in ("", target.pool.owner)


def can_leave(rows: PoolRows, members: Collection[HostRow], host: Host) -> bool:
    """Tell whether the pool's entry still lets the host go, failures aside."""
    if rows.pool is None:
        return True
    missing = max(0, rows.pool.hosts_wanted - (len(members) - 1))
    planned = len(rows.permits.keys() - {host.host_id})
    return not missing or planned + missing <= rows.pool.hosts_down_limit
