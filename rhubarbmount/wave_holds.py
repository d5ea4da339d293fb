"""Why no host of a pool may begin its maintenance now, as a pure decision."""

from collections.abc import Iterable, Sequence

from rhubarbmount.budgets import PoolRows, decide
from rhubarbmount.host_rows import HostRow
from rhubarbmount.platform.interface import LiveHost

__all__ = ["why_held"]


def why_held(
    rows: PoolRows,
    members: Sequence[HostRow],
    live: Iterable[LiveHost],
    due: Iterable[HostRow],
    in_window: bool,
) -> str:
    """Return the one thing that holds a wave in a pool."""
    first = min(due, key=lambda row: row.host.host_id, default=None)
    if rows.pool is None:
        return "the pool has no entry"
    if not in_window:
        return "outside the pool's maintenance window"
    if first is None:
        return "all hosts that are due are out of service"
    permission = decide(rows.view(members, live), first.host.host_id, first.host.rack)
    if permission.allowed:
        return "the wave waits for spares"
    return permission.code.value
