"""The times and bounds of scheduling, and what it learns as it goes."""

import attrs

from rhubarbmount.explain import DecisionMemory
from rhubarbmount.placement import PlacementPolicy
from rhubarbmount.sizes import SizeMemory
from rhubarbmount.suspects import Suspects

__all__ = ["Learned", "SchedulingPolicy"]


@attrs.frozen
class SchedulingPolicy:
    """Times and bounds of scheduling, in seconds.

    A task whose host is missing from the list of live hosts for longer than the lag
    of that list is told to stop. From the moment the platform has accepted a stop, no
    lease of the task is renewed, so the task is over a lease later.
    """

    placement: PlacementPolicy = PlacementPolicy()
    lease_s: float = 10.0
    list_lag_s: float = 5.0
    margin_s: float = 2.0

    @property
    def missing_after_s(self) -> float:
        """Return how long a host must be missing before its tasks are stopped."""
        return self.list_lag_s + self.margin_s

    @property
    def ended_after_s(self) -> float:
        """Return how long after an accepted stop a task is surely over."""
        return self.lease_s + self.margin_s


@attrs.define
class Learned:
    """What is learned from reports; losing it costs quality and no promise."""

    sizes: SizeMemory = attrs.field(factory=SizeMemory)
    suspects: Suspects = attrs.field(factory=Suspects)
    memory: DecisionMemory = attrs.field(factory=DecisionMemory)
