"""Leaving hosts according to the platform's list, which may lag behind."""

from collections.abc import Callable, Collection

import attrs
import trio

from rhubarbmount.errors import OutcomeUnknown, PlatformUnavailable
from rhubarbmount.store.interface import Platform
from rhubarbmount.timers import TimerService

__all__ = ["LeavingList"]

POLL_PERIOD_S = 1.5
MAX_LIST_AGE_S = 20.0
REFRESH_TIMEOUT_S = 0.5


@attrs.define(eq=False)
class LeavingList:
    """Reader of the platform's list, which reports changes in the set of leaving hosts.

    The list is also read before changed rows are applied: work that was started on a
    host because the list shows another one as back must not meet an older list here.
    While the platform is unavailable, the last list read stays in force for
    ``MAX_LIST_AGE_S``. ``clock`` returns monotonic seconds.
    """

    platform: Platform
    set_leaving: Callable[[Collection[str]], None]
    clock: Callable[[], float] = trio.current_time
    _host_ids: frozenset[str] = frozenset()
    _last_read_s: float = float("-inf")

    async def run(self, timers: TimerService) -> None:
        """Read the list periodically until cancelled."""
        async for _ in timers.every("leaving-list", POLL_PERIOD_S):
            await self.refresh()

    async def refresh_briefly(self) -> None:
        """Read the list, but give up after ``REFRESH_TIMEOUT_S``."""
        with trio.move_on_after(REFRESH_TIMEOUT_S):
            await self.refresh()

    async def refresh(self) -> None:
        """Read the list once; a response older than the last one applied is ignored."""
        sent_s = self.clock()
        try:
            listed = await self.platform.live_hosts()
        except (OutcomeUnknown, PlatformUnavailable):
            if self.clock() - self._last_read_s > MAX_LIST_AGE_S:
                self._set_host_ids(frozenset())
            return
        if sent_s < self._last_read_s:
            return
        self._last_read_s = sent_s
        self._set_host_ids(frozenset(item.host_id for item in listed if item.leaving))

    def _set_host_ids(self, host_ids: frozenset[str]) -> None:
        if host_ids != self._host_ids:
            self._host_ids = host_ids
            self.set_leaving(host_ids)
