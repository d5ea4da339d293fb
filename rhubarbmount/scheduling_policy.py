"""Parameters of scheduling, and the state that it learns from reports."""

import attrs

from rhubarbmount.explain import DecisionMemory
from rhubarbmount.placement import PlacementPolicy
from rhubarbmount.sizes import SizeMemory
from rhubarbmount.suspects import Suspects

__all__ = ["Learned", "SchedulingPolicy"]


@attrs.frozen
class SchedulingPolicy:
    """Parameters of scheduling; times are in seconds.

    A task whose host is missing from the list of live hosts for longer than that
    list may lag is told to stop. Once the platform has accepted the stop, the task's
    lease is not renewed any more, so the task has ended one lease period later.
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
        """Return how long after an accepted stop a task has certainly ended."""
        return self.lease_s + self.margin_s


@attrs.define
class Learned:
    """State learned from reports.

    Losing it makes decisions less good, but breaks no guarantee.
    """

    sizes: SizeMemory = attrs.field(factory=SizeMemory)
    suspects: Suspects = attrs.field(factory=Suspects)
    memory: DecisionMemory = attrs.field(factory=DecisionMemory)
