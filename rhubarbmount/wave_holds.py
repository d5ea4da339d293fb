"""Reasons why a wave begins no maintenance in a pool; free of side effects."""

from collections.abc import Iterable, Sequence

from rhubarbmount.budgets import PoolRows, decide
from rhubarbmount.host_rows import HostRow
from rhubarbmount.store.interface import LiveHost

__all__ = ["hold_reason"]


def hold_reason(
    rows: PoolRows,
    members: Sequence[HostRow],
    live: Iterable[LiveHost],
    due: Iterable[HostRow],
    in_window: bool,
) -> str:
    """Return the single reason that holds up a wave in a pool.

    If the budget is the reason, its code is given for the due host closest to being
    allowed: one in a rack that already has hosts down, if there is any.
    """
    if rows.pool is None:
        return "the pool has no entry"
    if not in_window:
        return "outside the pool's maintenance window"
    view = rows.view(members, live)
    racks_down = set(view.down.values())
    candidates = [row.host for row in due if row.host.host_id not in view.down]
    if not candidates:
        return "all hosts that are due are out of service"
    nearest = min(candidates, key=lambda host: host.rack not in racks_down)
    permission = decide(view, nearest.host_id, nearest.rack)
    if permission.allowed:
        return "the wave waits for spares"
    return permission.code.value
