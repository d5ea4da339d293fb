"""Backend servers of one pool that take tasks during one scheduling pass; no I/O."""

import enum
from collections.abc import Iterable

import attrs

from rhubarbmount.batch.model import Step
from rhubarbmount.batch.server_usage import ServerUsage

__all__ = ["OpenServers", "group_by_pool"]


class _Choice(enum.IntEnum):
    """Which servers may run a step; each choice holds the next one."""

    ALL = 0
    # Those that list the ends of runs, or where a gang has to show that.
    FOR_GANGS = 1
    WITH_LISTED_ENDS = 2


@attrs.frozen
class _Demand:
    """Resources that one task needs, and on which servers."""

    cpu_millicores: int
    memory_mb: int
    gpu: int
    choice: _Choice

    @classmethod
    def of(cls, step: Step, choice: _Choice) -> "_Demand":
        cpu = 0 if step.fills else step.cpu_millicores
        return cls(cpu, step.memory_mb, step.gpu, choice)

    def is_at_most(self, other: "_Demand") -> bool:
        return (
            self.choice <= other.choice
            and self.cpu_millicores <= other.cpu_millicores
            and self.memory_mb <= other.memory_mb
            and self.gpu <= other.gpu
        )


@attrs.define(eq=False)
class OpenServers:
    """Finds servers with capacity, once for all steps that need as much or more.

    Under overload most steps find no server. A step that needs at least as much as one
    that found none is answered without looking at the servers, so that a pass does not
    grow with the product of waiting steps and servers. This holds during a pass, in
    which capacity is only taken, or returned as far as it was taken since.
    """

    usages: list[ServerUsage] = attrs.field(factory=list)
    # Those of which it is not known that they list the ends of runs.
    doubtful: list[ServerUsage] = attrs.field(factory=list)
    # Those of them where a gang has to show that they do, as nothing else waits.
    gang_trial_ids: set[str] = attrs.field(factory=set)
    # Demands that no server could meet, none of which is at most another.
    _unmet: list[_Demand] = attrs.field(factory=list)

    def with_capacity(self, step: Step) -> list[ServerUsage]:
        """Return the servers whose free resources suffice for a task of a step."""
        choice = self._choice_for(step)
        demand = _Demand.of(step, choice)
        if any(unmet.is_at_most(demand) for unmet in self._unmet):
            return []
        found = [usage for usage in self.usages if usage.fits(step)]
        if choice is not _Choice.ALL:
            found = [usage for usage in found if self._may_run(usage, choice)]
        if not found:
            self._unmet = [
                unmet for unmet in self._unmet if not demand.is_at_most(unmet)
            ]
            self._unmet.append(demand)
        return found

    def _choice_for(self, step: Step) -> _Choice:
        """Return which servers may run a step without being tried first."""
        if step.is_long_running or not self.doubtful:
            return _Choice.ALL
        return _Choice.FOR_GANGS if step.is_gang else _Choice.WITH_LISTED_ENDS

    def _may_run(self, usage: ServerUsage, choice: _Choice) -> bool:
        if usage.ends.are_certain:
            return True
        is_for_gangs = choice is _Choice.FOR_GANGS
        return is_for_gangs and usage.server.id in self.gang_trial_ids


def group_by_pool(usages: Iterable[ServerUsage]) -> dict[str, OpenServers]:
    """Return the servers of each pool, by its name."""
    servers_by_pool: dict[str, OpenServers] = {}
    for usage in usages:
        pool = servers_by_pool.setdefault(usage.server.service, OpenServers())
        pool.usages.append(usage)
        if not usage.ends.are_certain:
            pool.doubtful.append(usage)
    return servers_by_pool
