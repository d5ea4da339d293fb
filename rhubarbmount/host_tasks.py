"""Counts of the tasks that still run on draining hosts, with few reads."""

import logging
from collections.abc import Iterable, Mapping

import attrs

from rhubarbmount.log import event
from rhubarbmount.store.interface import Platform
from rhubarbmount.tables import TASKS_TABLE

__all__ = ["HostTasks"]

logger = logging.getLogger("rhubarbmount.host_tasks")


@attrs.define
class HostTasks:
    """Counter of the tasks that have rows for given hosts.

    One scan of the table serves all hosts that no task is known of. A draining host
    starts no new tasks, so one known task that still has a row is enough to show that
    the host is busy, and only that row is read again.
    """

    platform: Platform
    _task_ids_by_host: dict[str, list[str]] = attrs.field(factory=dict, init=False)

    async def count(self, host_ids: Iterable[str]) -> Mapping[str, int]:
        """Return the number of tasks known on each host.

        Tasks of hosts that are not asked for are forgotten.
        """
        previous = self._task_ids_by_host
        self._task_ids_by_host = {
            host_id: previous.get(host_id, []) for host_id in host_ids
        }
        for task_ids in self._task_ids_by_host.values():
            await self._drop_ended(task_ids)
        hosts_without_tasks = {
            host_id
            for host_id, task_ids in self._task_ids_by_host.items()
            if not task_ids
        }
        if hosts_without_tasks:
            await self._scan(hosts_without_tasks)
        return {
            host_id: len(task_ids)
            for host_id, task_ids in self._task_ids_by_host.items()
        }

    async def _drop_ended(self, task_ids: list[str]) -> None:
        """Drop tasks without a row, from the last, until one that has a row."""
        while task_ids:
            if await self.platform.read(TASKS_TABLE, task_ids[-1]) is not None:
                return
            task_ids.pop()

    async def _scan(self, host_ids: set[str]) -> None:
        for row in await self.platform.scan(TASKS_TABLE):
            host_id = row.value["host_id"]
            if host_id in host_ids:
                self._task_ids_by_host[host_id].append(row.key)
        for host_id in sorted(host_ids):
            tasks = len(self._task_ids_by_host[host_id])
            if tasks:
                event(logger, "drain-waits", host=host_id, tasks=tasks)
