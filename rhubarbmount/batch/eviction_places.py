"""Where the tasks of a host can go that is emptied, and what needs that host.

Performs no I/O.
"""

from collections.abc import Collection, Iterable
from typing import NamedTuple

import attrs

from rhubarbmount.batch.model import Step, Task
from rhubarbmount.batch.server_usage import ServerUsage
from rhubarbmount.batch.shard import Shard

__all__ = ["EvictionPlaces"]


class _Need(NamedTuple):
    """What waiting tasks need of a server.

    ``task`` is one of them, which tells how many of its step run where.
    """

    step: Step
    task: Task


@attrs.define(eq=False)
class EvictionPlaces:
    """Finds places for the tasks of servers that are to be emptied."""

    shard: Shard
    _needs_by_pool: dict[str, list[_Need]] | None = None

    def start_pass(self) -> None:
        """Forget what was waiting."""
        self._needs_by_pool = None

    def fits_elsewhere(
        self, task: Task, usage: ServerUsage, allow_due: bool = False
    ) -> bool:
        """Return whether another server has capacity once its short tasks end.

        Servers that wait for maintenance themselves count if ``allow_due`` is set.
        """
        step = usage.step_by_task[task.id]
        return any(
            other.is_reachable
            and not other.is_closed
            and not other.server.is_draining
            and (allow_due or not other.is_due)
            for other in self.shard.accepting_beside(usage, step, task.id)
        )

    def may_stop_all(self, usage: ServerUsage) -> bool:
        """Return whether ``max_unavailable`` lets all tasks that last stop at once."""
        return all(self._may_stop(step_key, usage) for step_key in usage.count_by_step)

    def _may_stop(self, step_key: tuple[str, int, int], usage: ServerUsage) -> bool:
        tasks = [task for task in usage.task_by_id.values() if task.id[:3] == step_key]
        limit = usage.step_by_task[tasks[0].id].max_unavailable
        if not limit:
            return True
        available = sum(self.shard.is_available(task) for task in tasks)
        return self.shard.unavailable_count(step_key) + available <= limit

    def is_needed(
        self,
        usages: Iterable[ServerUsage],
        closed_names: Collection[str],
        now_s: float,
        by_long_running: bool = False,
    ) -> bool:
        """Return whether a task waits that no server but these can run.

        With ``by_long_running`` only tasks that last count.
        """
        return any(
            usage.is_listed
            and usage.is_reachable
            and not usage.is_leaving
            and usage.accepts(need.step, need.task.id)
            and not self._is_served(need, usage, closed_names, now_s)
            for usage in usages
            for need in self._needs_of(usage.server.service)
            if need.step.is_long_running or not by_long_running
        )

    def _is_served(
        self,
        need: _Need,
        usage: ServerUsage,
        closed_names: Collection[str],
        now_s: float,
    ) -> bool:
        """Return whether an open server besides one could run a waiting task."""
        return any(
            other.server.name != usage.server.name
            and other.server.name not in closed_names
            and other.is_open(now_s)
            for other in self.shard.accepting_beside(usage, need.step, need.task.id)
        )

    def _needs_of(self, pool: str) -> list[_Need]:
        if self._needs_by_pool is None:
            self._needs_by_pool = self._collect_needs()
        return self._needs_by_pool.get(pool, [])

    def _collect_needs(self) -> dict[str, list[_Need]]:
        """Return what the waiting tasks of each pool need, equal needs once."""
        need_by_key: dict[tuple, _Need] = {}
        for step_key, waiting in self.shard.waiting_by_step.items():
            spec = self.shard.job_by_id[step_key[0]].spec
            step = spec.steps[step_key[2]]
            key = (
                self.shard.pool_of(spec),
                step.is_long_running,
                step.fills,
                step.cpu_millicores,
                step.memory_mb,
                step.gpu,
                step.label,
                step_key if step.max_per_server else None,
            )
            if key not in need_by_key:
                need_by_key[key] = _Need(step, next(iter(waiting.values())))
        needs_by_pool: dict[str, list[_Need]] = {}
        for key, need in need_by_key.items():
            needs_by_pool.setdefault(key[0], []).append(need)
        return needs_by_pool
