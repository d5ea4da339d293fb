"""The transaction that takes hosts of one pool out of service."""

from collections.abc import Iterable

import attrs

from rhubarbmount.budgets import PoolRows
from rhubarbmount.host_rows import HostChange, HostRow, TransactionBuilder, host_update
from rhubarbmount.host_work import (
    HostIntent,
    HostTransition,
    dump_intent,
    intent_key,
    work_cause,
)
from rhubarbmount.hosts import Host, HostState
from rhubarbmount.statecharts import load_chart
from rhubarbmount.store.interface import Row
from rhubarbmount.tables import INTENTS_TABLE

__all__ = ["Begun", "begin_changes", "begin_update", "next_host"]


def next_host(host: Host, step: HostTransition, now_s: float, cause: str) -> Host:
    """Return the host as it is after an event of its state chart.

    Raises Refused if the chart does not allow the event in the host's state.
    """
    state = HostState(load_chart("host").next_state(host.state, step.event))
    return attrs.evolve(
        host,
        state=state,
        pool=step.pool or host.pool,
        cause=cause,
        since_s=now_s,
    )


@attrs.frozen
class Begun:
    """A host to take out of service, and the intent behind it."""

    row: HostRow
    intent: HostIntent


def begin_update(
    rows: PoolRows, head: Row | None, begun: Iterable[Begun], now_s: float
) -> TransactionBuilder:
    """Return the preconditions and writes that take hosts of one pool out of service.

    The permits, the intents and the hosts' new states are written in one transaction.
    """
    transaction, changes = begin_changes(rows, begun, now_s)
    transaction.add(host_update(head, changes))
    return transaction


def begin_changes(
    rows: PoolRows, begun: Iterable[Begun], now_s: float
) -> tuple[TransactionBuilder, list[HostChange]]:
    """Return the writes of permits and intents, and the changes of the hosts.

    The host changes are returned apart, so that those of several pools can advance
    the head row together.
    """
    transaction = TransactionBuilder()
    rack_by_host_id = {}
    changes = []
    for item in begun:
        host, intent = item.row.host, item.intent
        cause = work_cause(intent, "drain")
        draining = next_host(host, HostTransition("drain"), now_s, cause)
        changes.append(HostChange(item.row, draining))
        rack_by_host_id[host.host_id] = host.rack
        transaction.require(INTENTS_TABLE, intent_key(host.host_id), 0)
        transaction.write(INTENTS_TABLE, intent_key(host.host_id), dump_intent(intent))
    transaction.add(rows.grant_update(rack_by_host_id))
    return transaction, changes
