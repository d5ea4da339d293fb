"""Amounts of processors, memory and accelerators as whole numbers of units."""

from functools import lru_cache
from math import ceil, floor
from typing import NamedTuple

from rhubarbmount.hosts import Shape
from rhubarbmount.jobs import describe

__all__ = ["NO_RESOURCES", "Resources", "resources_needed", "resources_offered"]

PARTS_PER_PROCESSOR = 4
PARTS_PER_GB = 4
RESOURCES_CACHE_SIZE = 4096


class Resources(NamedTuple):
    """Accelerators, quarters of a processor and quarters of a GB.

    Whole numbers keep sums exact, and the distinct values of free capacity few enough
    to be indexed by value.
    """

    accelerators: int
    processor_parts: int
    memory_parts: int

    def plus(self, other: "Resources") -> "Resources":
        """Return the sum."""
        return Resources(self[0] + other[0], self[1] + other[1], self[2] + other[2])

    def minus(self, other: "Resources") -> "Resources":
        """Return the difference, which may be negative."""
        return Resources(self[0] - other[0], self[1] - other[1], self[2] - other[2])

    def fits(self, capacity: "Resources") -> bool:
        """Return whether the capacity is enough in every dimension."""
        return (
            self[0] <= capacity[0] and self[1] <= capacity[1] and self[2] <= capacity[2]
        )

    def shape(self) -> Shape:
        """Return the resources as a shape."""
        return Shape(
            self[1] / PARTS_PER_PROCESSOR, self[2] / PARTS_PER_GB, self.accelerators
        )

    def describe(self) -> str:
        """Return a readable description."""
        return describe(self.shape())


NO_RESOURCES = Resources(0, 0, 0)


@lru_cache(RESOURCES_CACHE_SIZE)
def resources_needed(shape: Shape) -> Resources:
    """Return the resources that a job of this shape needs, rounded up.

    >>> resources_needed(Shape(0.5, 1.5))
    Resources(accelerators=0, processor_parts=2, memory_parts=6)
    """
    return Resources(
        shape.accelerators,
        ceil(shape.processors * PARTS_PER_PROCESSOR),
        ceil(shape.memory_gb * PARTS_PER_GB),
    )


def resources_offered(shape: Shape) -> Resources:
    """Return the resources that a host of this shape offers, rounded down."""
    return Resources(
        shape.accelerators,
        floor(shape.processors * PARTS_PER_PROCESSOR),
        floor(shape.memory_gb * PARTS_PER_GB),
    )
