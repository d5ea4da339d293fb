"""Tells whether a host knows all changes of the configuration that must be in force."""

import attrs
import trio

from rhubarbmount.platform.rows import RowStore

__all__ = ["CatalogueAge"]

# How long a request waits for news on a host that was suspended, or whose last poll is
# late.
CATCH_UP_S = 0.25
DEFAULT_LIMIT_S = 2.0


@attrs.define(eq=False)
class CatalogueAge:
    """Up to when all changes of the configuration are known to this host.

    ``limit_s`` is the time within which a change has to be in force. Until the first
    note, as while no configuration is followed, nothing counts as old.
    """

    store: RowStore
    limit_s: float = DEFAULT_LIMIT_S
    # A time on the store's clock.
    known_until_s: float | None = None
    _heard: trio.Event = attrs.field(factory=trio.Event)
    _has_awaited: bool = False

    def note_known(self, known_until_s: float) -> None:
        """Note a time, on the store's clock, up to which all changes are known."""
        self.known_until_s = max(known_until_s, self.known_until_s or 0.0)
        self._has_awaited = False
        self._heard.set()
        self._heard = trio.Event()

    def age_s(self) -> float:
        """Return since when changes may not have been heard of, in seconds."""
        if self.known_until_s is None:
            return 0.0
        return max(0.0, self.store.latest_clock_s() - self.known_until_s)

    @property
    def is_old(self) -> bool:
        """Return whether a change may have to be in force that was not heard of."""
        return self.age_s() > self.limit_s

    async def knows_all(self) -> bool:
        """Return whether all changes are known that have to be in force.

        A host that has just resumed is about to hear of them. The first request waits
        for that; until it is heard of, the others don't.
        """
        if self.is_old and not self._has_awaited:
            with trio.move_on_after(CATCH_UP_S):
                while self.is_old:
                    await self._heard.wait()
            self._has_awaited = self.is_old
        return not self.is_old
