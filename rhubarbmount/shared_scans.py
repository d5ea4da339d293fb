"""Table scans shared by tasks that request them concurrently."""

from collections.abc import Awaitable, Callable

import attrs
import trio

from rhubarbmount.errors import PlatformUnavailable
from rhubarbmount.store.interface import Platform, Row

__all__ = ["Gather", "SharedScans", "at_once"]

Gather = Callable[[], Awaitable[None]]


async def at_once() -> None:
    """Return without waiting, for use where no other task can join the scan."""


@attrs.define(eq=False)
class _SharedResult:
    """The result of a scan that several tasks may await."""

    done: trio.Event = attrs.field(factory=trio.Event)
    rows: list[Row] | None = None
    reason: str = "the shared scan was abandoned by the task that sent it"


@attrs.define(eq=False)
class SharedScans:
    """Scan a table on the first call; calls made before the scan is sent share it.

    The rows are therefore never older than the call. ``gather`` lets all runnable
    tasks run once before the scan is sent, so that they can join it.
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
