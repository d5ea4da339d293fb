"""Index of hosts by free capacity, so that a search skips most of them."""

from collections.abc import Iterator

import attrs
from sortedcontainers import SortedDict

from rhubarbmount.resources import Resources

__all__ = ["FreeCapacityIndex"]


@attrs.define
class FreeCapacityIndex:
    """Hosts by free capacity, then by rack.

    A search visits each distinct capacity once and skips ranges that are too small in
    a single step, so its cost grows more slowly than the number of hosts.
    """

    _racks_by_capacity: SortedDict = attrs.field(factory=SortedDict)
    _position_by_host: dict[str, tuple[Resources, str]] = attrs.field(factory=dict)

    def add(self, host_id: str, rack: str, capacity: Resources) -> None:
        """Add a host under its free capacity."""
        self._position_by_host[host_id] = capacity, rack
        racks = self._racks_by_capacity.setdefault(capacity, SortedDict())
        racks.setdefault(rack, {})[host_id] = None

    def discard(self, host_id: str) -> None:
        """Remove a host, if present."""
        position_of_host = self._position_by_host.pop(host_id, None)
        if position_of_host is None:
            return
        capacity, rack = position_of_host
        racks = self._racks_by_capacity[capacity]
        hosts = racks[rack]
        del hosts[host_id]
        if not hosts:
            del racks[rack]
        if not racks:
            del self._racks_by_capacity[capacity]

    def search(self, need: Resources, after_rack: str = "") -> Iterator[str]:
        """Yield the hosts with enough capacity, the smallest capacity first.

        Of hosts with equal capacity, one of each rack comes first, starting with the
        rack that follows ``after_rack`` in sort order; the others come after.
        """
        capacities = self._racks_by_capacity.keys()
        position = self._racks_by_capacity.bisect_left(need)
        while position < len(capacities):
            capacity = capacities[position]
            if need.fits(capacity):
                yield from _round_robin(self._racks_by_capacity[capacity], after_rack)
                position += 1
            elif capacity[1] < need[1]:
                bound = Resources(capacity[0], need[1], need[2])
                position = self._racks_by_capacity.bisect_left(bound)
            else:
                bound = Resources(capacity[0], capacity[1], need[2])
                position = self._racks_by_capacity.bisect_left(bound)


def _round_robin(hosts_by_rack: SortedDict, after_rack: str) -> Iterator[str]:
    count = len(hosts_by_rack)
    first = hosts_by_rack.bisect_right(after_rack)
    rest = []
    for step in range(count):
        _, hosts = hosts_by_rack.peekitem((first + step) % count)
        others = iter(hosts)
        yield next(others)
        rest.append(others)
    for others in rest:
        yield from others
