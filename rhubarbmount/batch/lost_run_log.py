"""Logs and counts runs that were lost with their servers."""

import logging
from collections.abc import Iterable

from rhubarbmount import log
from rhubarbmount.batch.loss_tracker import LostRun
from rhubarbmount.batch.metrics import BatchMetrics

__all__ = ["report_lost_runs"]

logger = logging.getLogger(__name__)


def report_lost_runs(lost_runs: Iterable[LostRun], metrics: BatchMetrics) -> None:
    """Log each lost run, and the tasks that were given up for it."""
    for lost in lost_runs:
        metrics.lost_runs.labels(lost.end.value).inc()
        if lost.is_given_up:
            metrics.given_up_tasks.inc()
        log.frequent_event(
            logger,
            "run-lost",
            job=lost.task.job_id,
            task=lost.task.place,
            run=lost.run,
            server=lost.loss.server_id,
            end=lost.end.value,
            beside=lost.beside,
            alone=lost.loss.was_alone,
            widespread=lost.loss.was_widespread,
            age_s=lost.loss.age_s,
            losses=lost.losses,
        )
        if lost.is_given_up:
            log.event(
                logger,
                "task-given-up",
                logging.WARNING,
                job=lost.task.job_id,
                task=lost.task.place,
                run=lost.run,
                losses=lost.losses,
            )
