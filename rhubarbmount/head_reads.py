"""Reads the heads of the followed states from the platform."""

from collections.abc import Awaitable, Callable

import attrs

from rhubarbmount.shared_scans import SharedScans
from rhubarbmount.store.interface import Platform, Row
from rhubarbmount.tables import HEADS_TABLE

__all__ = ["HeadReads", "ReadHead", "one_by_one"]

ReadHead = Callable[[str], Awaitable[Row | None]]


def one_by_one(platform: Platform) -> ReadHead:
    """Return a reader that fetches each head with a separate call."""

    async def read(key: str) -> Row | None:
        return await platform.read(HEADS_TABLE, key)

    return read


@attrs.define(eq=False)
class HeadReads:
    """Read all heads in one scan that concurrent readers share."""

    platform: Platform
    _scans: SharedScans = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._scans = SharedScans(self.platform, HEADS_TABLE)

    async def read(self, key: str) -> Row | None:
        """Return a head no older than the call, or None if there is no such row.

        Raises PlatformUnavailable.
        """
        rows = await self._scans.scan()
        return next((row for row in rows if row.key == key), None)
