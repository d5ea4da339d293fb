"""Embedded platform that keeps all state in the memory of one process."""

from collections.abc import Callable

import attrs
from sortedcontainers import SortedDict

from rhubarbmount.store.interface import (
    HostCommand,
    LiveHost,
    Precondition,
    Row,
    TaskCommand,
    Transaction,
    TransactionResult,
    Write,
    platforms,
)

__all__ = ["MemoryPlatform"]


@platforms.register("memory")
@attrs.define
class MemoryPlatform:
    """Keeps tables, objects and accepted commands in memory."""

    tables: dict[str, SortedDict] = attrs.field(factory=dict)
    objects: dict[str, bytes] = attrs.field(factory=dict)
    hosts: list[LiveHost] = attrs.field(factory=list)
    host_commands: dict[str, HostCommand] = attrs.field(factory=dict)
    task_commands: dict[str, TaskCommand] = attrs.field(factory=dict)
    on_host_command: Callable[[HostCommand], None] | None = None
    on_task_command: Callable[[TaskCommand], None] | None = None
    _last_version: int = 0

    async def read(self, table: str, key: str) -> Row | None:
        """Return the row, or None if it does not exist."""
        return self._table(table).get(key)

    async def scan(self, table: str, prefix: str = "") -> list[Row]:
        """Return the rows whose keys start with the prefix, in key order."""
        rows = self._table(table)
        matches = []
        for key in rows.irange(minimum=prefix):
            if not key.startswith(prefix):
                break
            matches.append(rows[key])
        return matches

    async def transact(self, transaction: Transaction) -> TransactionResult:
        """Commit all writes atomically, or none of them."""
        conflicts = tuple(
            (condition.table, condition.key)
            for condition in transaction.preconditions
            if not self._is_satisfied(condition)
        )
        if conflicts:
            return TransactionResult(False, conflicts)
        for write in transaction.writes:
            self._apply(write)
        return TransactionResult(True)

    async def put_object(self, name: str, body: bytes) -> None:
        """Store an object."""
        self.objects[name] = body

    async def get_object(self, name: str) -> bytes | None:
        """Return the object, or None if it does not exist."""
        return self.objects.get(name)

    async def live_hosts(self) -> list[LiveHost]:
        """Return the hosts as last set."""
        return list(self.hosts)

    async def command_host(self, command: HostCommand) -> None:
        """Record a command and pass it to the callback; ignore a repeated intent."""
        if command.intent_id in self.host_commands:
            return
        self.host_commands[command.intent_id] = command
        if self.on_host_command is not None:
            self.on_host_command(command)

    async def command_task(self, command: TaskCommand) -> None:
        """Record a command and pass it to the callback; ignore a repeated intent."""
        if command.intent_id in self.task_commands:
            return
        self.task_commands[command.intent_id] = command
        if self.on_task_command is not None:
            self.on_task_command(command)

    def _table(self, name: str) -> SortedDict:
        return self.tables.setdefault(name, SortedDict())

    def _is_satisfied(self, condition: Precondition) -> bool:
        row = self._table(condition.table).get(condition.key)
        version = 0 if row is None else row.version
        if condition.version is not None and condition.version != version:
            return False
        if not condition.equals:
            return True
        if row is None:
            return False
        return all(
            row.value.get(name) == value for name, value in condition.equals.items()
        )

    def _apply(self, write: Write) -> None:
        table = self._table(write.table)
        if write.value is None:
            table.pop(write.key, None)
            return
        self._last_version += 1
        table[write.key] = Row(
            write.table, write.key, dict(write.value), self._last_version
        )
