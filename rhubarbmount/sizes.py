"""Estimates of job sizes and run times from usage reports and declared values."""

from collections import OrderedDict, deque
from collections.abc import Iterable
from math import ceil

import attrs

from rhubarbmount.hosts import Shape
from rhubarbmount.jobs import Job, fits, largest_fitting_shape

__all__ = ["Estimate", "SizeMemory", "UsageReport", "percentile"]

MAX_REPORTS_PER_KIND = 64
MAX_KINDS = 4096
MAX_SEEN_TASKS = 4096
PRIOR_WEIGHT = 4
PROCESSORS_PERCENTILE = 0.9
RUN_TIME_PERCENTILE = 0.9
MEMORY_MARGIN = 1.1
OUT_OF_MEMORY_FACTOR = 1.5
MISDECLARED_FACTOR = 1.5


@attrs.frozen(kw_only=True)
class UsageReport:
    """The peak usage of a task; may arrive long after the task has ended."""

    task_id: str
    kind: str
    processors: float
    memory_gb: float
    run_time_s: float
    out_of_memory: bool = False


@attrs.frozen
class Estimate:
    """What to reserve for a job, from a number of reports.

    ``is_misdeclared`` is true if the declared shape is far from the estimated one.
    """

    shape: Shape
    run_time_s: float
    reports: int = 0
    is_misdeclared: bool = False


@attrs.define
class SizeMemory:
    """Estimate the size of jobs of a kind from the latest reports about that kind.

    The declared values weigh as much as a few reports, so that the first real reports
    move the estimate without dominating it. A report is counted once, however late
    or often it arrives.
    """

    _reports_by_kind: OrderedDict[str, deque[UsageReport]] = attrs.field(
        factory=OrderedDict, init=False
    )
    _seen_tasks: OrderedDict[str, None] = attrs.field(factory=OrderedDict, init=False)

    def observe(self, report: UsageReport) -> bool:
        """Record a report; return False if it was counted before."""
        if report.task_id in self._seen_tasks:
            return False
        self._seen_tasks[report.task_id] = None
        _evict_oldest(self._seen_tasks, MAX_SEEN_TASKS)
        reports = self._reports_by_kind.setdefault(
            report.kind, deque(maxlen=MAX_REPORTS_PER_KIND)
        )
        reports.append(report)
        self._reports_by_kind.move_to_end(report.kind)
        _evict_oldest(self._reports_by_kind, MAX_KINDS)
        return True

    def estimate(self, job: Job, host_shapes: Iterable[Shape]) -> Estimate:
        """Return what to reserve for a job.

        The shape fits one of ``host_shapes``, unless the declared one fits none.
        """
        reports = self._reports_by_kind.get(job.kind)
        declared = job.shape
        if not reports:
            return Estimate(declared, job.run_time_s)
        processors = _learn(
            (report.processors for report in reports),
            declared.processors,
            PROCESSORS_PERCENTILE,
        )
        memory_gb = _learn_memory(reports, declared.memory_gb)
        run_time_s = _learn(
            (report.run_time_s for report in reports),
            job.run_time_s,
            RUN_TIME_PERCENTILE,
        )
        learned = Shape(
            _round_up(processors), _round_up(memory_gb), declared.accelerators
        )
        holding = [
            host_shape for host_shape in host_shapes if fits(declared, host_shape)
        ]
        shape = largest_fitting_shape(learned, holding) or declared
        is_misdeclared = _is_misdeclared(
            shape.processors, declared.processors
        ) or _is_misdeclared(shape.memory_gb, declared.memory_gb)
        return Estimate(shape, run_time_s, len(reports), is_misdeclared)


def percentile(values: Iterable[float], share: float) -> float:
    """Return the smallest value that at least this share of the values do not exceed.

    >>> percentile([4.0, 1.0, 2.0, 3.0], 0.5)
    2.0
    """
    ordered = sorted(values)
    return ordered[max(ceil(len(ordered) * share) - 1, 0)]


def _learn(reported: Iterable[float], declared: float, share: float) -> float:
    return percentile([*reported, *[declared] * PRIOR_WEIGHT], share)


def _learn_memory(reports: Iterable[UsageReport], declared_gb: float) -> float:
    values = []
    for report in reports:
        factor = OUT_OF_MEMORY_FACTOR if report.out_of_memory else MEMORY_MARGIN
        values.append(report.memory_gb * factor)
    if len(values) < MAX_REPORTS_PER_KIND // 2:
        values.append(declared_gb)
    return max(values)


def _round_up(value: float) -> float:
    return ceil(value * 4) / 4


def _is_misdeclared(learned: float, declared: float) -> bool:
    return not declared / MISDECLARED_FACTOR <= learned <= declared * MISDECLARED_FACTOR


def _evict_oldest(items: OrderedDict, limit: int) -> None:
    while len(items) > limit:
        items.popitem(last=False)
