"""Backend servers of one pool that take tasks during one scheduling pass; no I/O."""

from collections.abc import Iterable

import attrs

from rhubarbmount.batch.model import Step
from rhubarbmount.batch.server_usage import ServerUsage

__all__ = ["OpenServers", "group_by_pool"]


@attrs.frozen
class _Demand:
    """Resources that one task needs."""

    cpu_millicores: int
    memory_mb: int
    gpu: int

    @classmethod
    def of(cls, step: Step) -> "_Demand":
        return cls(0 if step.fills else step.cpu_millicores, step.memory_mb, step.gpu)

    def is_at_most(self, other: "_Demand") -> bool:
        return (
            self.cpu_millicores <= other.cpu_millicores
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
    # Demands that no server could meet, none of which is at most another.
    _unmet: list[_Demand] = attrs.field(factory=list)

    def with_capacity(self, step: Step) -> list[ServerUsage]:
        """Return the servers whose free resources suffice for a task of a step."""
        demand = _Demand.of(step)
        if any(unmet.is_at_most(demand) for unmet in self._unmet):
            return []
        found = [usage for usage in self.usages if usage.fits(step)]
        if not found:
            self._unmet = [
                unmet for unmet in self._unmet if not demand.is_at_most(unmet)
            ]
            self._unmet.append(demand)
        return found


def group_by_pool(usages: Iterable[ServerUsage]) -> dict[str, OpenServers]:
    """Return the servers of each pool, by its name."""
    servers_by_pool: dict[str, OpenServers] = {}
    for usage in usages:
        pool = servers_by_pool.setdefault(usage.server.service, OpenServers())
        pool.usages.append(usage)
    return servers_by_pool
