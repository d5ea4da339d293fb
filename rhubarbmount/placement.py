"""Placement of a pool's waiting jobs onto its hosts, without I/O."""

import heapq
from collections.abc import Callable, Iterable
from itertools import islice

import attrs

from rhubarbmount.entries import WorkClass
from rhubarbmount.host_usage import HostUsage, PoolUsage
from rhubarbmount.job_queue import (
    JobGroup,
    JobLane,
    JobQueue,
    LaneKey,
    TeamUsage,
    WaitingJob,
)
from rhubarbmount.preemption import Eviction, choose_eviction
from rhubarbmount.registry import Registry
from rhubarbmount.resources import Resources

__all__ = [
    "PlacementPolicy",
    "Placement",
    "PoolPlacer",
    "Wait",
    "strategies",
]

MAX_CANDIDATES = 8

Refusal = tuple[str, str]
Strategy = Callable[[PoolUsage, WaitingJob, int], HostUsage | None]
strategies: Registry[Strategy] = Registry("placement strategy")


@attrs.frozen
class PlacementPolicy:
    """The placement strategy, and whether batch tasks are evicted for urgent jobs."""

    strategy: str = "spread"
    evicts: bool = True


@attrs.frozen
class Placement:
    """A job to start on a host, after the evicted tasks, if any, have ended."""

    waiting: WaitingJob
    host_id: str
    eviction: Eviction | None = None
    code: str = "placed"


@attrs.frozen
class Wait:
    """A group of jobs that can't start now, and the reason that holds for all."""

    group: JobGroup
    code: str
    reason: str

    @property
    def is_new(self) -> bool:
        """Return whether this reason is not yet recorded for some job of the group."""
        group = self.group
        is_explained = (group.code, group.reason) == (self.code, self.reason)
        return not is_explained or bool(group.unexplained)


@strategies.register("first-fit")
def first_fit(
    pool_usage: PoolUsage, waiting: WaitingJob, headroom_hosts: int
) -> HostUsage | None:
    """Choose the first host, by id, that has enough free capacity."""
    for host_usage in pool_usage.usage_by_host_id.values():
        if (
            not host_usage.accepts_tasks
            or host_usage.host.host_id in pool_usage.avoided_hosts
        ):
            continue
        if waiting.need.fits(host_usage.free):
            return host_usage
    return None


@strategies.register("best-fit")
def best_fit(
    pool_usage: PoolUsage, waiting: WaitingJob, headroom_hosts: int
) -> HostUsage | None:
    """Choose the host that is left with the least free capacity."""
    host_id = next(pool_usage.free.search(waiting.need), None)
    return None if host_id is None else pool_usage.usage_by_host_id[host_id]


@strategies.register("spread")
def spread(
    pool_usage: PoolUsage, waiting: WaitingJob, headroom_hosts: int
) -> HostUsage | None:
    """Choose, of the tightest fits, the rack with the fewest tasks of the kind.

    Of these candidates, a host on which the job has failed is chosen only if there is
    no other, or one with a task that has lost the same host before: one of the two may
    take its hosts with it. Only urgent jobs may use the last ``headroom_hosts`` hosts
    that have headroom.
    """
    job = waiting.job
    last_rack = pool_usage.last_rack_by_kind.get(job.kind, "")
    allowed = (
        pool_usage.usage_by_host_id[host_id]
        for host_id in pool_usage.free.search(waiting.need, last_rack)
        if job.work_class is WorkClass.URGENT
        or leaves_headroom(pool_usage, host_id, waiting.need, headroom_hosts)
    )
    best = None
    best_cost: tuple[bool, int] | None = None
    for host_usage in islice(allowed, MAX_CANDIDATES):
        is_avoided = host_usage.host.host_id in job.failed_hosts or (
            bool(job.lost_hosts) and host_usage.shares_losses(job.lost_hosts)
        )
        cost = (is_avoided, pool_usage.tasks_in_rack(host_usage.host.rack, job.kind))
        if best_cost is None or cost < best_cost:
            best, best_cost = host_usage, cost
    return best


def leaves_headroom(
    pool_usage: PoolUsage, host_id: str, need: Resources, headroom_hosts: int
) -> bool:
    """Return whether enough hosts keep headroom if the job is placed on this one."""
    if (
        host_id not in pool_usage.hosts_with_headroom
        or len(pool_usage.hosts_with_headroom) > headroom_hosts
    ):
        return True
    return pool_usage.headroom.fits(
        pool_usage.usage_by_host_id[host_id].free.minus(need)
    )


@attrs.define
class PoolPlacer:
    """Decide where the waiting jobs of one pool start.

    ``headroom_hosts`` is the number of hosts whose headroom only urgent jobs may use.
    """

    pool: str
    policy: PlacementPolicy = PlacementPolicy()
    pool_usage: PoolUsage = attrs.field(factory=PoolUsage)
    queue: JobQueue = attrs.field(factory=JobQueue)
    headroom_hosts: int = 0

    def find_startable_host(
        self, waiting: WaitingJob, reserved_host_id: str
    ) -> str | None:
        """Return a host on which a job with a reservation can start now, or None.

        The reserved host is preferred; any other host that fits will do.
        """
        reserved_usage = self.pool_usage.usage_by_host_id[reserved_host_id]
        if reserved_usage.accepts_tasks and waiting.need.fits(reserved_usage.unused):
            return reserved_host_id
        host_usage = strategies.get(self.policy.strategy)(
            self.pool_usage, waiting, self.headroom_hosts
        )
        return None if host_usage is None else host_usage.host.host_id

    def plan(
        self, usage: TeamUsage, now_s: float, limit: int, urgent: bool
    ) -> Iterable[Placement | Wait]:
        """Yield decisions about the urgent jobs, or about the others.

        Work classes are served in order, and within a class first the team that holds
        the smallest share of its quota. At most ``limit`` jobs are placed. The caller
        must add each placement to ``pool_usage`` and ``usage``, and remove the job
        from the queue, before it asks for the next decision. A wait is yielded only
        if its reason is new for a job of its group.
        """
        refused: dict[LaneKey, Refusal] = {}
        found: dict[LaneKey, Placement] = {}
        heap = []
        for lane in self.queue.lanes(urgent):
            if self._evaluate_lane(lane, now_s, refused, found):
                heap += [
                    _heap_entry(group, usage) for group in lane.group_by_key.values()
                ]
            else:
                yield from self._new_waits(lane, refused[lane.key])
        heapq.heapify(heap)
        placed = 0
        while heap and placed < limit:
            _, share, _, key = heapq.heappop(heap)
            group = self.queue.group_by_key[key]
            if share != usage.share(group.team):
                heapq.heappush(heap, _heap_entry(group, usage))
                continue
            decision = self._decide(group, usage, now_s, refused, found)
            if isinstance(decision, Wait):
                if decision.is_new:
                    yield decision
                continue
            yield decision
            placed += 1
            # Free capacity has changed, so cached placements may be out of date.
            found.clear()
            if key in self.queue.group_by_key:
                heapq.heappush(heap, _heap_entry(group, usage))

    def _evaluate_lane(
        self,
        lane: JobLane,
        now_s: float,
        refused: dict[LaneKey, Refusal],
        found: dict[LaneKey, Placement],
    ) -> bool:
        waiting = next(iter(lane.group_by_key.values())).first
        placement = self._find_placement(waiting, now_s)
        if placement is None:
            refused[lane.key] = self._explain_refusal(waiting.need)
            return False
        found[lane.key] = placement
        return True

    def _new_waits(self, lane: JobLane, refusal: Refusal) -> Iterable[Wait]:
        if lane.last_refusal == refusal and not lane.has_unexplained_jobs:
            return
        lane.last_refusal, lane.has_unexplained_jobs = refusal, False
        for group in list(lane.group_by_key.values()):
            wait = Wait(group, *refusal)
            if wait.is_new:
                yield wait

    def _decide(
        self,
        group: JobGroup,
        usage: TeamUsage,
        now_s: float,
        refused: dict[LaneKey, Refusal],
        found: dict[LaneKey, Placement],
    ) -> Placement | Wait:
        waiting = group.first
        lane_key = group.lane_key
        if not usage.allows(group.team, waiting.need):
            self.queue.lane_by_key[lane_key].has_unexplained_jobs = True
            return Wait(group, "wait-quota", f"team {group.team} is at its quota")
        # Capacity only shrinks within a plan, so a refusal holds to its end.
        if lane_key not in refused:
            placement = found.get(lane_key)
            if placement is None or placement.waiting is not waiting:
                placement = self._find_placement(waiting, now_s)
            if placement is not None:
                return placement
            refused[lane_key] = self._explain_refusal(waiting.need)
        return Wait(group, *refused[lane_key])

    def _find_placement(self, waiting: WaitingJob, now_s: float) -> Placement | None:
        host_usage = strategies.get(self.policy.strategy)(
            self.pool_usage, waiting, self.headroom_hosts
        )
        if host_usage is not None:
            return Placement(waiting, host_usage.host.host_id)
        if not self.policy.evicts or waiting.job.work_class is not WorkClass.URGENT:
            return None
        found = choose_eviction(self.pool_usage, waiting.need, now_s)
        if found is None:
            return None
        return Placement(waiting, found.host_id, found, "placed-by-eviction")

    def _explain_refusal(self, need: Resources) -> Refusal:
        if next(self.pool_usage.free.search(need), None) is not None:
            reason = f"free capacity of pool {self.pool} is reserved for urgent jobs"
            return "wait-headroom", reason
        if not self.pool_usage.usage_by_host_id:
            return "wait-room", f"pool {self.pool} has no hosts"
        reason = f"no host of pool {self.pool} has {need.describe()} free"
        return "wait-room", reason


def _heap_entry(
    group: JobGroup, usage: TeamUsage
) -> tuple[int, float, float, tuple[int, str, Resources]]:
    submitted_s = group.first.job.submitted_s
    return group.rank, usage.share(group.team), submitted_s, group.key
