"""An index of hosts by their room, so that a search skips most of them."""

from collections.abc import Iterator

import attrs
from sortedcontainers import SortedDict

from rhubarbmount.resources import Resources

__all__ = ["FreeCapacityIndex"]


@attrs.define
class FreeCapacityIndex:
    """Hosts by an amount of room, then by rack.

    A search visits distinct amounts and skips those that are too small in one step,
    so its cost grows more slowly than the number of hosts.
    """

    _racks_by_amount: SortedDict = attrs.field(factory=SortedDict)
    _place_by_host: dict[str, tuple[Resources, str]] = attrs.field(factory=dict)

    def add(self, host_id: str, rack: str, amount: Resources) -> None:
        """File a host under its room."""
        self._place_by_host[host_id] = amount, rack
        racks = self._racks_by_amount.setdefault(amount, SortedDict())
        racks.setdefault(rack, {})[host_id] = None

    def discard(self, host_id: str) -> None:
        """Take a host out, if it is in."""
        place = self._place_by_host.pop(host_id, None)
        if place is None:
            return
        amount, rack = place
        racks = self._racks_by_amount[amount]
        hosts = racks[rack]
        del hosts[host_id]
        if not hosts:
            del racks[rack]
        if not racks:
            del self._racks_by_amount[amount]

    def search(self, need: Resources, after_rack: str = "") -> Iterator[str]:
        """Yield hosts with enough room, least room first, one rack after another.

        Racks are taken in turn, beginning behind ``after_rack``.
        """
        amounts = self._racks_by_amount.keys()
        position = self._racks_by_amount.bisect_left(need)
        while position < len(amounts):
            amount = amounts[position]
            if need.fits(amount):
                yield from _in_turn(self._racks_by_amount[amount], after_rack)
                position += 1
            elif amount[1] < need[1]:
                ahead = Resources(amount[0], need[1], need[2])
                position = self._racks_by_amount.bisect_left(ahead)
            else:
                ahead = Resources(amount[0], amount[1], need[2])
                position = self._racks_by_amount.bisect_left(ahead)


def _in_turn(hosts_by_rack: SortedDict, after_rack: str) -> Iterator[str]:
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
