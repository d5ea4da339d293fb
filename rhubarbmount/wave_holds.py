"""Why no host of a pool may begin its maintenance now, as a pure decision."""

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
    """Return the one thing that holds a wave in a pool."""
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
