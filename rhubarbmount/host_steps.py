"""The transaction that applies the next steps of one pool's hosts."""

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
    """An open intent, its row's version and the row of its host."""

    intent: HostIntent
    intent_version: int
    row: HostRow


class DueStep(NamedTuple):
    """A step that is due for a host with open work."""

    item: OpenWork
    step: HostTransition


def step_update(
    rows: PoolRows, head: Row | None, due: Iterable[DueStep], now_s: float
) -> TransactionBuilder:
    """Return the preconditions and writes that apply steps to hosts of one pool.

    Permits of hosts whose work is finished, or that change pool, are released.
    """
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
    """Return whether the target pool exists and still has the owner it had.

    An intent without a target owner accepts any owner.
    """
    if target.pool is None:
        return False
    return intent.target_owner in ("", target.pool.owner)


def can_leave(rows: PoolRows, members: Collection[HostRow], host: Host) -> bool:
    """Return whether the pool's budget allows the host to leave.

    Failed hosts are not counted. A pool without an entry lets every host go.
    """
    if rows.pool is None:
        return True
    missing = max(0, rows.pool.hosts_wanted - (len(members) - 1))
    planned = len(rows.permits.keys() - {host.host_id})
    return not missing or planned + missing <= rows.pool.hosts_down_limit
