"""Division of slots and limits among the live entry hosts."""

from collections.abc import Sequence
from zlib import crc32

import attrs

from rhubarbmount.hosts import Host

__all__ = ["EntryHosts", "SlotShares", "share_of"]


def share_of(total: int, members: Sequence[str], member: str, item: str) -> int:
    """Return the member's share of the total; the shares add up to the total.

    ``members`` must be in the same order on every member. The item's name decides who
    gets the remainder, so that remainders of many items spread over the members.

    >>> [share_of(8, ["a", "b", "c"], member, "w1") for member in ["a", "b", "c"]]
    [3, 2, 3]
    """
    base, extra = divmod(total, len(members))
    rank = (members.index(member) + crc32(item.encode())) % len(members)
    return base + (rank < extra)


@attrs.frozen
class EntryHosts:
    """The entry hosts that this one believes to be live, itself included."""

    own_id: str
    data_centre: str
    data_centre_by_id: dict[str, str]

    def members(self) -> list[str]:
        """Return all live entry hosts, sorted by id."""
        return sorted({*self.data_centre_by_id, self.own_id})

    def near(self, data_centre: str) -> list[str]:
        """Return the live entry hosts of a data centre, sorted by id."""
        return [
            item for item in self.members() if self._data_centre_of(item) == data_centre
        ]

    def far(self, data_centre: str) -> list[str]:
        """Return the live entry hosts of the other data centres, sorted by id."""
        return [
            item for item in self.members() if self._data_centre_of(item) != data_centre
        ]

    def _data_centre_of(self, entry_host: str) -> str:
        if entry_host == self.own_id:
            return self.data_centre
        return self.data_centre_by_id[entry_host]


@attrs.define
class SlotShares:
    """One entry host's shares of the slots of backend servers.

    ``spill_share`` is the fraction of a host's slots that is reserved for entry hosts
    of other data centres. It goes to those of the host's own data centre if there are
    no others.
    """

    entry_hosts: EntryHosts
    spill_share: float
    _members_by_data_centre: dict[str, tuple[list[str], list[str]]] = attrs.field(
        factory=dict, init=False
    )

    def slots_of(self, host: Host) -> int:
        """Return how many of the host's slots this entry host may use."""
        near, far = self._members(host.data_centre)
        own_id = self.entry_hosts.own_id
        spill = int(host.slots * self.spill_share) if near else host.slots
        if own_id in far:
            return share_of(spill, far, own_id, host.host_id)
        reserved = spill if far else 0
        return share_of(host.slots - reserved, near, own_id, host.host_id)

    def _members(self, data_centre: str) -> tuple[list[str], list[str]]:
        members = self._members_by_data_centre.get(data_centre)
        if members is None:
            near = self.entry_hosts.near(data_centre)
            members = (near, self.entry_hosts.far(data_centre))
            self._members_by_data_centre[data_centre] = members
        return members
