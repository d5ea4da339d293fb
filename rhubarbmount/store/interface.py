"""Platform interface through which all persistent state is read and written."""

from collections.abc import Mapping
from typing import Any, Protocol

import attrs

from rhubarbmount.registry import Registry

__all__ = [
    "HostCommand",
    "LiveHost",
    "Platform",
    "Precondition",
    "Row",
    "TaskCommand",
    "Transaction",
    "TransactionResult",
    "Write",
    "platforms",
]


@attrs.frozen
class Row:
    """A table row; its version increases with each write and is never reused."""

    table: str
    key: str
    value: Mapping[str, Any]
    version: int


@attrs.frozen
class Precondition:
    """State that a row must have for a transaction to commit.

    A version of 0 means that the row must not exist. Fields in ``equals`` must
    hold these values; a missing row holds none.
    """

    table: str
    key: str
    version: int | None = None
    equals: Mapping[str, Any] = attrs.field(factory=dict)


@attrs.frozen
class Write:
    """A new value for a row, or None to delete it."""

    table: str
    key: str
    value: Mapping[str, Any] | None


@attrs.frozen
class Transaction:
    """Writes that are committed atomically if every precondition holds."""

    operation_id: str
    preconditions: tuple[Precondition, ...] = ()
    writes: tuple[Write, ...] = ()


@attrs.frozen
class TransactionResult:
    """Whether a transaction committed, and the (table, key) pairs that conflicted."""

    committed: bool
    conflicts: tuple[tuple[str, str], ...] = ()


@attrs.frozen
class LiveHost:
    """Entry of the platform's lagging list of hosts."""

    host_id: str
    leaving: bool = False


@attrs.frozen
class HostCommand:
    """A command to a host, idempotent by intent id.

    The action is drain, resume (the end of a drain), reboot or release.
    """

    intent_id: str
    host_id: str
    action: str


@attrs.frozen
class TaskCommand:
    """A command to a task: start, checkpoint, throttle or stop."""

    intent_id: str
    host_id: str
    task_id: str
    action: str
    lease_s: float = 0.0


class Platform(Protocol):
    """Transactional tables, an object store, and commands to the fleet.

    Calls raise PlatformUnavailable if they certainly had no effect and OutcomeUnknown
    if they may have had one.
    """

    async def read(self, table: str, key: str) -> Row | None:
        """Return the row, or None if it does not exist."""

    async def scan(self, table: str, prefix: str = "") -> list[Row]:
        """Return the rows whose keys start with the prefix, in key order."""

    async def transact(self, transaction: Transaction) -> TransactionResult:
        """Commit all writes atomically, or none of them."""

    async def put_object(self, name: str, body: bytes) -> None:
        """Store an object under a name that is never reused for another body."""

    async def get_object(self, name: str) -> bytes | None:
        """Return the object, or None if it does not exist."""

    async def live_hosts(self) -> list[LiveHost]:
        """Return the platform's lagging list of live and leaving hosts."""

    async def command_host(self, command: HostCommand) -> None:
        """Ask the platform to act on a host; idempotent by intent id."""

    async def command_task(self, command: TaskCommand) -> None:
        """Ask the platform to act on a task; idempotent by intent id."""


platforms: Registry[Any] = Registry("platform adapter")
