"""What a lease row says of when grants to backend servers end; free of I/O."""

import attrs

from rhubarbmount.batch.election import (
    LEASE_ROW,
    LapseBound,
    longest_grant_s,
    longest_lease,
)
from rhubarbmount.batch.records import LeaseRow
from rhubarbmount.batch.silent_servers import READING_MARGIN_S

__all__ = ["GrantsEnd", "StoreClock"]


@attrs.frozen
class StoreClock:
    """What the store's clock reads at least and at most at a monotonic time."""

    now_s: float
    least_s: float
    most_s: float


@attrs.define(eq=False)
class GrantsEnd:
    """When all grants will have lapsed: of earlier holders, and as the row will say.

    Times are on the store's clock. A row says a time that is late enough whatever the
    clock reads, and is understood so; nothing is granted that lapses later.
    """

    max_lease_s: float
    _earlier_end_s: float = 0.0
    _is_carried_over: bool = False
    # Monotonic times by which grants lapse, by what the rows written lately say.
    _lapse_by_s_by_end: dict[float, float] = attrs.field(factory=dict)

    @property
    def latest_s(self) -> float:
        """Return the latest time that a row may say now."""
        return max(self._lapse_by_s_by_end)

    def begin(self, seen: LeaseRow | None, clock: StoreClock) -> LapseBound:
        """Begin to hold a lease; return when earlier holders' grants have lapsed."""
        self._is_carried_over = False
        self._lapse_by_s_by_end.clear()
        bound = longest_lease(clock.now_s, self.max_lease_s)
        self._earlier_end_s = clock.most_s + bound.at_s - clock.now_s
        if seen is None or not seen.grants_end_s:
            return bound
        # Older builds did not allow for late readings of the clock at a planned stop.
        margin_s = READING_MARGIN_S if seen.is_released else 0.0
        at_s = clock.now_s + seen.grants_end_s + margin_s - clock.least_s
        if at_s > bound.at_s:
            return bound
        self._earlier_end_s = seen.grants_end_s + margin_s
        # After a planned stop too little time is left to renew everything within it.
        self._is_carried_over = not seen.is_released
        return LapseBound(at_s, LEASE_ROW)

    def extend(self) -> None:
        """Let grants last longer than those of earlier holders from now on.

        The record of servers that are silent since the takeover must be stored.
        """
        self._is_carried_over = False

    def next_s(self, clock: StoreClock) -> float:
        """Return what the next row says, which is sent now.

        If the last holder was lost, it is when the grants of earlier holders end until
        the record of silent servers is stored, so that the next holder need not wait
        longer for this one. If these have ended, nothing is carried over.
        """
        end_s = clock.most_s + longest_grant_s(self.max_lease_s)
        has_earlier = self._earlier_end_s > clock.least_s
        if has_earlier and (self._is_carried_over or self._earlier_end_s > end_s):
            end_s = self._earlier_end_s
        self._lapse_by_s_by_end[end_s] = clock.now_s + end_s - clock.most_s
        return end_s

    def note_stored(self, end_s: float) -> float:
        """Record what the stored row says; return the monotonic time of it."""
        lapse_by_s = self._lapse_by_s_by_end.get(end_s, 0.0)
        self._lapse_by_s_by_end = {end_s: lapse_by_s}
        return lapse_by_s
