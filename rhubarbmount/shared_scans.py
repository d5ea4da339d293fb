"""One scan of a table for all that ask at the same moment."""

from collections.abc import Awaitable, Callable

import attrs
import trio

from rhubarbmount.errors import PlatformUnavailable
from rhubarbmount.store.interface import Platform, Row

__all__ = ["Gather", "SharedScans", "at_once"]

Gather = Callable[[], Awaitable[None]]


async def at_once() -> None:
    """Wait for nobody, where nobody else can ask."""


@attrs.define(eq=False)
class _SharedResult:
    """What a scan that was sent for several has brought."""

    done: trio.Event = attrs.field(factory=trio.Event)
    rows: list[Row] | None = None
    reason: str = "who sent the scan has given it up"


@attrs.define(eq=False)
class SharedScans:
    """Scan a table for whoever asks first; those that ask before it is sent join.

    So the rows are never older than the question. ``gather`` lets all tasks that are
    due run once.
    """

    platform: Platform
    table: str
    gather: Gather = trio.lowlevel.checkpoint
    _joinable: _SharedResult | None = attrs.field(default=None, init=False)

    async def scan(self) -> list[Row]:
        """Return all rows of the table. Raises PlatformUnavailable."""
        if self._joinable is None:
            return await self._send()
        result = self._joinable
        await result.done.wait()
        if result.rows is None:
            raise PlatformUnavailable(result.reason)
        return result.rows

    async def _send(self) -> list[Row]:
        result = self._joinable = _SharedResult()
        try:
            await self.gather()
            self._joinable = None
            result.rows = await self.platform.scan(self.table)
        except PlatformUnavailable as error:
            result.reason = error.message
            raise
        finally:
            self._joinable = None if self._joinable is result else self._joinable
            result.done.set()
        return result.rows
