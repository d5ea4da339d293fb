"""Choice of the batch tasks to evict so that an urgent job can start."""

from collections.abc import Iterator, Set
from itertools import islice

import attrs

from rhubarbmount.host_usage import HostUsage, PoolUsage, is_evictable
from rhubarbmount.jobs import Task
from rhubarbmount.resources import Resources, resources_needed

__all__ = ["Eviction", "choose_eviction"]

CHECKPOINT_COST_S = 5.0
MAX_LATEST_TASKS = 32
MAX_TIGHTEST_HOSTS = 16


@attrs.frozen
class Eviction:
    """Batch tasks to evict from a host, and the processor seconds lost by it."""

    host_id: str
    task_ids: tuple[str, ...]
    lost_processor_s: float


def choose_eviction(
    pool_usage: PoolUsage,
    need: Resources,
    now_s: float,
    skipped: Set[str] = frozenset(),
) -> Eviction | None:
    """Return the eviction that frees enough capacity and loses the least work, or None.

    The candidates are the hosts of the batch tasks that started last, which have the
    least work to lose, and the hosts that would be left with the least free capacity.
    Hosts in ``skipped`` are left out.
    """
    best: Eviction | None = None
    for host_usage in _candidates(pool_usage, need, skipped):
        found = _plan_eviction(host_usage, need, now_s)
        if found is None:
            continue
        if best is None or _cost(found) < _cost(best):
            best = found
    return best


def work_lost(task: Task, now_s: float) -> float:
    """Return the processor seconds of work lost if a task is evicted.

    >>> from rhubarbmount.hosts import Shape
    >>> task = Task(task_id="t", job_id="j", team="a", pool="p", host_id="h",
    ...             reserved=Shape(2, 4), can_checkpoint=False)
    >>> work_lost(task, 60.0)
    120.0
    >>> work_lost(attrs.evolve(task, can_checkpoint=True), 60.0)
    10.0
    """
    lost_s = max(now_s - task.started_s, 0.0)
    if task.can_checkpoint:
        lost_s = min(lost_s, CHECKPOINT_COST_S)
    return lost_s * task.reserved.processors


def _cost(eviction: Eviction) -> tuple[float, int, str]:
    return eviction.lost_processor_s, len(eviction.task_ids), eviction.host_id


def _candidates(
    pool_usage: PoolUsage, need: Resources, skipped: Set[str]
) -> Iterator[HostUsage]:
    seen = set()
    latest = islice(reversed(pool_usage.evictable_tasks), MAX_LATEST_TASKS)
    for _, task_id in latest:
        seen.add(pool_usage.host_by_task[task_id])
    tight = (h for h in pool_usage.free_after_eviction.search(need) if h not in skipped)
    seen.update(islice(tight, MAX_TIGHTEST_HOSTS))
    for host_id in sorted(seen - skipped):
        host_usage = pool_usage.usage_by_host_id[host_id]
        if host_usage.accepts_tasks and host_id not in pool_usage.avoided_hosts:
            yield host_usage


def _plan_eviction(
    host_usage: HostUsage, need: Resources, now_s: float
) -> Eviction | None:
    free = host_usage.free
    if not need.fits(free.plus(host_usage.evictable)):
        return None
    tasks = [task for task in host_usage.task_by_id.values() if is_evictable(task)]
    tasks.sort(key=lambda task: (work_lost(task, now_s), task.task_id))
    chosen = []
    for task in tasks:
        if need.fits(free):
            break
        chosen.append(task)
        free = free.plus(resources_needed(task.reserved))
    chosen = _without_unneeded(chosen, free, need)
    lost = sum(work_lost(task, now_s) for task in chosen)
    ids = tuple(task.task_id for task in chosen)
    return Eviction(host_usage.host.host_id, ids, lost)


def _without_unneeded(
    chosen: list[Task], free: Resources, need: Resources
) -> list[Task]:
    kept = []
    for task in reversed(chosen):
        without = free.minus(resources_needed(task.reserved))
        if need.fits(without):
            free = without
        else:
            kept.append(task)
    return kept[::-1]
