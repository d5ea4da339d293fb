"""Free capacity of a pool's hosts, and the tasks that use it."""

from collections import Counter
from collections.abc import Collection, Iterator
from contextlib import contextmanager

import attrs
from sortedcontainers import SortedDict, SortedList

from rhubarbmount.entries import WorkClass
from rhubarbmount.free_capacity_index import FreeCapacityIndex
from rhubarbmount.hosts import Host, HostState, Shape
from rhubarbmount.jobs import Task
from rhubarbmount.resources import (
    NO_RESOURCES,
    Resources,
    resources_needed,
    resources_offered,
)

__all__ = ["HostUsage", "PoolUsage", "is_evictable"]


@attrs.define
class HostUsage:
    """A host, its tasks, and the capacity reserved for jobs that wait for it."""

    host: Host
    offered: Resources
    used: Resources = NO_RESOURCES
    evictable: Resources = NO_RESOURCES
    task_by_id: dict[str, Task] = attrs.field(factory=dict)
    reserved_by_job: dict[str, Resources] = attrs.field(factory=dict)

    @property
    def unused(self) -> Resources:
        """Return the capacity that no task uses."""
        return self.offered.minus(self.used)

    @property
    def free(self) -> Resources:
        """Return the capacity neither used nor reserved; may be negative."""
        free = self.unused
        for resources in self.reserved_by_job.values():
            free = free.minus(resources)
        return free

    @property
    def has_ending_task(self) -> bool:
        """Return whether a task on the host has been told to end."""
        return any(task.command != "start" for task in self.task_by_id.values())

    def shares_losses(self, lost_hosts: Collection[str]) -> bool:
        """Return whether a task on the host has lost one of these hosts before."""
        return any(
            not set(lost_hosts).isdisjoint(task.lost_hosts)
            for task in self.task_by_id.values()
        )

    @property
    def accepts_tasks(self) -> bool:
        """Return whether new tasks may start on the host."""
        return self.host.state is HostState.IN_SERVICE


@attrs.define
class PoolUsage:
    """The hosts of one pool, their tasks, and indexes of their free capacity.

    ``hosts_with_headroom`` are the hosts whose free capacity is at least ``headroom``,
    which is reserved for urgent jobs. ``evictable_tasks`` are the batch tasks by start
    time, oldest first.
    """

    usage_by_host_id: SortedDict = attrs.field(factory=SortedDict)
    host_by_task: dict[str, str] = attrs.field(factory=dict)
    avoided_hosts: set[str] = attrs.field(factory=set)
    kinds_by_rack: dict[str, Counter[str]] = attrs.field(factory=dict)
    last_rack_by_kind: dict[str, str] = attrs.field(factory=dict)
    hosts_by_shape: Counter[Shape] = attrs.field(factory=Counter)
    headroom: Resources = NO_RESOURCES
    hosts_with_headroom: set[str] = attrs.field(factory=set)
    evictable_tasks: SortedList = attrs.field(factory=SortedList)
    free: FreeCapacityIndex = attrs.field(factory=FreeCapacityIndex)
    free_after_eviction: FreeCapacityIndex = attrs.field(factory=FreeCapacityIndex)

    def set_host(self, host: Host) -> None:
        """Add a host, or apply a change of its row."""
        host_usage = self.usage_by_host_id.get(host.host_id)
        if host_usage is None:
            host_usage = HostUsage(host, resources_offered(host.shape))
            self.usage_by_host_id[host.host_id] = host_usage
        else:
            self._forget_shape(host_usage.host.shape)
        self.hosts_by_shape[host.shape] += 1
        with self._change(host_usage):
            host_usage.host = host
            host_usage.offered = resources_offered(host.shape)

    def remove_host(self, host_id: str) -> None:
        """Remove a host; it must have no tasks left."""
        host_usage = self.usage_by_host_id.pop(host_id, None)
        if host_usage is not None:
            self._unindex(host_usage)
            self._forget_shape(host_usage.host.shape)

    def set_avoided(self, host_id: str, avoided: bool) -> None:
        """Exclude a host from placement, or admit it again."""
        with self._change(self.usage_by_host_id[host_id]):
            if avoided:
                self.avoided_hosts.add(host_id)
            else:
                self.avoided_hosts.discard(host_id)

    def set_headroom(self, headroom: Resources) -> None:
        """Set the free capacity that a host needs to count as one with headroom."""
        if headroom == self.headroom:
            return
        self.headroom = headroom
        for host_usage in self.usage_by_host_id.values():
            self._unindex(host_usage)
            self._index(host_usage)

    def add_task(self, task: Task) -> None:
        """Add a task to its host and drop its job's reservation there."""
        host_usage = self.usage_by_host_id[task.host_id]
        resources = resources_needed(task.reserved)
        with self._change(host_usage):
            host_usage.reserved_by_job.pop(task.job_id, None)
            host_usage.task_by_id[task.task_id] = task
            host_usage.used = host_usage.used.plus(resources)
            if is_evictable(task):
                host_usage.evictable = host_usage.evictable.plus(resources)
                self.evictable_tasks.add((task.started_s, task.task_id))
        self.host_by_task[task.task_id] = task.host_id
        kinds = self.kinds_by_rack.setdefault(host_usage.host.rack, Counter())
        kinds[task.kind] += 1
        self.last_rack_by_kind[task.kind] = host_usage.host.rack

    def remove_task(self, task_id: str) -> HostUsage | None:
        """Remove a task; return the usage of its host, or None if it is unknown."""
        host_id = self.host_by_task.pop(task_id, None)
        if host_id is None:
            return None
        host_usage = self.usage_by_host_id[host_id]
        task = host_usage.task_by_id[task_id]
        resources = resources_needed(task.reserved)
        with self._change(host_usage):
            del host_usage.task_by_id[task_id]
            host_usage.used = host_usage.used.minus(resources)
            if is_evictable(task):
                host_usage.evictable = host_usage.evictable.minus(resources)
                self.evictable_tasks.remove((task.started_s, task_id))
        kinds = self.kinds_by_rack[host_usage.host.rack]
        kinds[task.kind] -= 1
        if not kinds[task.kind]:
            del kinds[task.kind]
        return host_usage

    def tasks_in_rack(self, rack: str, kind: str) -> int:
        """Return how many tasks of a kind run in a rack."""
        kinds = self.kinds_by_rack.get(rack)
        return kinds[kind] if kinds else 0

    def replace_task(self, task: Task) -> None:
        """Apply a change of a task."""
        self.remove_task(task.task_id)
        self.add_task(task)

    def reserve(self, job_id: str, host_id: str, resources: Resources) -> None:
        """Reserve capacity of a host for a job that waits for tasks there to end."""
        host_usage = self.usage_by_host_id[host_id]
        with self._change(host_usage):
            host_usage.reserved_by_job[job_id] = resources

    def release(self, job_id: str, host_id: str) -> None:
        """Release a job's reservation on a host, if there is one."""
        host_usage = self.usage_by_host_id.get(host_id)
        if host_usage is None:
            return
        with self._change(host_usage):
            host_usage.reserved_by_job.pop(job_id, None)

    def _forget_shape(self, shape: Shape) -> None:
        self.hosts_by_shape[shape] -= 1
        if not self.hosts_by_shape[shape]:
            del self.hosts_by_shape[shape]

    @contextmanager
    def _change(self, host_usage: HostUsage) -> Iterator[None]:
        self._unindex(host_usage)
        try:
            yield
        finally:
            self._index(host_usage)

    def _index(self, host_usage: HostUsage) -> None:
        host_id = host_usage.host.host_id
        if not host_usage.accepts_tasks or host_id in self.avoided_hosts:
            return
        free = host_usage.free
        free_after_eviction = free.plus(host_usage.evictable)
        if min(free_after_eviction) >= 0:
            self.free_after_eviction.add(
                host_id, host_usage.host.rack, free_after_eviction
            )
        if min(free) < 0:
            return
        self.free.add(host_id, host_usage.host.rack, free)
        if self.headroom.fits(free):
            self.hosts_with_headroom.add(host_id)

    def _unindex(self, host_usage: HostUsage) -> None:
        host_id = host_usage.host.host_id
        self.free.discard(host_id)
        self.free_after_eviction.discard(host_id)
        self.hosts_with_headroom.discard(host_id)


def is_evictable(task: Task) -> bool:
    """Return whether a task may be evicted for an urgent job."""
    return task.work_class is WorkClass.BATCH and task.command == "start"
