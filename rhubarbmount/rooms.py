"""The free room of a pool's hosts, indexed so that a search skips most of them."""

from collections import Counter
from collections.abc import Iterator
from math import ceil, floor
from typing import NamedTuple

import attrs
from sortedcontainers import SortedDict

from rhubarbmount.hosts import Host, HostState, Shape
from rhubarbmount.jobs import Task

__all__ = ["Amount", "HostRoom", "PoolRooms", "amount_needed", "amount_offered"]

PARTS_PER_PROCESSOR = 4
PARTS_PER_GB = 4


class Amount(NamedTuple):
    """A shape in accelerators, quarters of a processor and quarters of a GB.

    Whole numbers keep sums exact, and free rooms few enough to be indexed by value.
    """

    accelerators: int
    processor_parts: int
    memory_parts: int

    def plus(self, other: "Amount") -> "Amount":
        """Return the sum."""
        return Amount(self[0] + other[0], self[1] + other[1], self[2] + other[2])

    def minus(self, other: "Amount") -> "Amount":
        """Return the difference, which may be negative."""
        return Amount(self[0] - other[0], self[1] - other[1], self[2] - other[2])

    def fits(self, room: "Amount") -> bool:
        """Return whether the room has enough of everything."""
        return self[0] <= room[0] and self[1] <= room[1] and self[2] <= room[2]


NOTHING = Amount(0, 0, 0)


def amount_needed(shape: Shape) -> Amount:
    """Return what a job asks for, rounded up.

    >>> amount_needed(Shape(0.5, 1.5))
    Amount(accelerators=0, processor_parts=2, memory_parts=6)
    """
    return Amount(
        shape.accelerators,
        ceil(shape.processors * PARTS_PER_PROCESSOR),
        ceil(shape.memory_gb * PARTS_PER_GB),
    )


def amount_offered(shape: Shape) -> Amount:
    """Return what a host offers, rounded down."""
    return Amount(
        shape.accelerators,
        floor(shape.processors * PARTS_PER_PROCESSOR),
        floor(shape.memory_gb * PARTS_PER_GB),
    )


@attrs.define
class HostRoom:
    """A host, the tasks on it, and the room promised to jobs that wait for it."""

    host: Host
    offered: Amount
    used: Amount = NOTHING
    task_by_id: dict[str, Task] = attrs.field(factory=dict)
    promised_by_job: dict[str, Amount] = attrs.field(factory=dict)

    @property
    def unused(self) -> Amount:
        """Return what no task holds."""
        return self.offered.minus(self.used)

    @property
    def free(self) -> Amount:
        """Return what no task holds and no job was promised; may be negative."""
        free = self.unused
        for amount in self.promised_by_job.values():
            free = free.minus(amount)
        return free

    @property
    def takes_work(self) -> bool:
        """Return whether new tasks may start here."""
        return self.host.state is HostState.IN_SERVICE


@attrs.define
class PoolRooms:
    """The hosts of one pool by free room, then by rack.

    A search visits distinct free rooms and skips those that are too small in one
    step, so its cost grows more slowly than the number of hosts.
    """

    room_by_host: SortedDict = attrs.field(factory=SortedDict)
    host_by_task: dict[str, str] = attrs.field(factory=dict)
    avoided_hosts: set[str] = attrs.field(factory=set)
    kinds_by_rack: dict[str, Counter[str]] = attrs.field(factory=dict)
    _racks_by_free: SortedDict = attrs.field(factory=SortedDict)
    _free_by_host: dict[str, Amount] = attrs.field(factory=dict)

    def set_host(self, host: Host) -> None:
        """Add a host, or take in a change of its row."""
        room = self.room_by_host.get(host.host_id)
        if room is None:
            room = HostRoom(host, amount_offered(host.shape))
            self.room_by_host[host.host_id] = room
        self._unindex(room)
        room.host = host
        room.offered = amount_offered(host.shape)
        self._index(room)

    def remove_host(self, host_id: str) -> None:
        """Forget a host that has no task left."""
        room = self.room_by_host.pop(host_id, None)
        if room is not None:
            self._unindex(room)

    def avoid(self, host_id: str, avoided: bool) -> None:
        """Keep new tasks off a host, or let them in again."""
        room = self.room_by_host.get(host_id)
        if avoided:
            self.avoided_hosts.add(host_id)
        else:
            self.avoided_hosts.discard(host_id)
        if room is not None:
            self._unindex(room)
            self._index(room)

    def add_task(self, task: Task) -> None:
        """Take the task's reservation from its host's room."""
        room = self.room_by_host[task.host_id]
        self._unindex(room)
        room.promised_by_job.pop(task.job_id, None)
        room.task_by_id[task.task_id] = task
        room.used = room.used.plus(amount_needed(task.reserved))
        self._index(room)
        self.host_by_task[task.task_id] = task.host_id
        rack = self.kinds_by_rack.setdefault(room.host.rack, Counter())
        rack[task.kind] += 1

    def remove_task(self, task_id: str) -> HostRoom | None:
        """Give the task's reservation back; return its host's room."""
        host_id = self.host_by_task.pop(task_id, None)
        if host_id is None:
            return None
        room = self.room_by_host[host_id]
        self._unindex(room)
        task = room.task_by_id.pop(task_id)
        room.used = room.used.minus(amount_needed(task.reserved))
        self._index(room)
        rack = self.kinds_by_rack[room.host.rack]
        rack[task.kind] -= 1
        if not rack[task.kind]:
            del rack[task.kind]
        return room

    def replace_task(self, task: Task) -> None:
        """Take in a change of a task that leaves its reservation as it was."""
        self.room_by_host[task.host_id].task_by_id[task.task_id] = task

    def promise(self, job_id: str, host_id: str, amount: Amount) -> None:
        """Keep room that is being cleared on a host for one job."""
        room = self.room_by_host[host_id]
        self._unindex(room)
        room.promised_by_job[job_id] = amount
        self._index(room)

    def withdraw(self, job_id: str, host_id: str) -> None:
        """Drop a promise."""
        room = self.room_by_host.get(host_id)
        if room is None:
            return
        self._unindex(room)
        room.promised_by_job.pop(job_id, None)
        self._index(room)

    def search(self, need: Amount, after_rack: str = "") -> Iterator[HostRoom]:
        """Yield hosts with enough room, least room first, one rack after another.

        Racks are taken in turn, beginning behind ``after_rack``.
        """
        frees = self._racks_by_free.keys()
        position = self._racks_by_free.bisect_left(need)
        while position < len(frees):
            free = frees[position]
            if need.fits(free):
                yield from self._hosts_in_turn(self._racks_by_free[free], after_rack)
                position += 1
            elif free[1] < need[1]:
                ahead = Amount(free[0], need[1], need[2])
                position = self._racks_by_free.bisect_left(ahead)
            else:
                ahead = Amount(free[0], free[1], need[2])
                position = self._racks_by_free.bisect_left(ahead)

    def hosts_with_room(self, need: Amount, limit: int) -> int:
        """Count the hosts that have the room, up to a limit."""
        count = 0
        for _ in self.search(need):
            count += 1
            if count >= limit:
                break
        return count

    def _hosts_in_turn(
        self, hosts_by_rack: SortedDict, after_rack: str
    ) -> Iterator[HostRoom]:
        count = len(hosts_by_rack)
        first = hosts_by_rack.bisect_right(after_rack)
        turns = (hosts_by_rack.peekitem((first + n) % count)[1] for n in range(count))
        rest = []
        for hosts in turns:
            others = iter(hosts)
            yield self.room_by_host[next(others)]
            rest.append(others)
        for others in rest:
            for host_id in others:
                yield self.room_by_host[host_id]

    def _index(self, room: HostRoom) -> None:
        host_id = room.host.host_id
        free = room.free
        if not room.takes_work or host_id in self.avoided_hosts or min(free) < 0:
            return
        self._free_by_host[host_id] = free
        racks = self._racks_by_free.setdefault(free, SortedDict())
        racks.setdefault(room.host.rack, {})[host_id] = None

    def _unindex(self, room: HostRoom) -> None:
        host_id = room.host.host_id
        free = self._free_by_host.pop(host_id, None)
        if free is None:
            return
        racks = self._racks_by_free[free]
        hosts = racks[room.host.rack]
        del hosts[host_id]
        if not hosts:
            del racks[room.host.rack]
        if not racks:
            del self._racks_by_free[free]
