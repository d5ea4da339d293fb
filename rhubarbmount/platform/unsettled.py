"""A platform whose callers settle lost answers by reading their own rows."""

import attrs

from rhubarbmount.platform.client import PlatformClient
from rhubarbmount.platform.interface import (
    HostCommand,
    LiveHost,
    Row,
    TaskCommand,
    Transaction,
    TransactionResult,
)

__all__ = ["UnsettledPlatform"]


@attrs.frozen
class UnsettledPlatform:
    """The platform for duties, which settle lost answers by reading their rows."""

    client: PlatformClient

    async def read(self, table: str, key: str) -> Row | None:
        """Return the row, or None."""
        return await self.client.read(table, key)

    async def scan(self, table: str, prefix: str = "") -> list[Row]:
        """Return the rows whose keys start with the prefix, in key order."""
        return await self.client.scan(table, prefix)

    async def transact(self, transaction: Transaction) -> TransactionResult:
        """Commit all writes together, or none of them."""
        return await self.client.transact(transaction, settled=False)

    async def put_object(self, name: str, body: bytes) -> None:
        """Store an object."""
        await self.client.put_object(name, body)

    async def get_object(self, name: str) -> bytes | None:
        """Return the object, or None."""
        return await self.client.get_object(name)

    async def live_hosts(self) -> list[LiveHost]:
        """Return the lagging list of live and leaving hosts."""
        return await self.client.live_hosts()

    async def command_host(self, command: HostCommand) -> None:
        """Ask the platform to act on a host."""
        await self.client.command_host(command)

    async def command_task(self, command: TaskCommand) -> None:
        """Ask the platform to act on a task."""
        await self.client.command_task(command)
