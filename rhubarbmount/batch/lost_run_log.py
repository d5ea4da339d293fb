"""Logs and counts runs that were lost with their servers."""

import logging

from rhubarbmount import log
from rhubarbmount.batch.loss_tracker import LossTracker, LostRun
from rhubarbmount.batch.metrics import BatchMetrics
from rhubarbmount.batch.model import Task

__all__ = ["report_losses"]

logger = logging.getLogger(__name__)


def report_losses(losses: LossTracker, metrics: BatchMetrics) -> None:
    """Log what was lost since the last call, and the tasks given up or held for it."""
    lost_runs, losses.lost_runs = losses.lost_runs, []
    for lost in lost_runs:
        metrics.lost_runs.labels(lost.end.value).inc()
        _log_lost_run(lost)
    given_up, losses.given_up = losses.given_up, []
    for task in given_up:
        metrics.given_up_tasks.inc()
        _log_given_up(task)
    held, losses.held = losses.held, []
    for task in held:
        metrics.held_tasks.inc()
        _log_held(task)


def _log_lost_run(lost: LostRun) -> None:
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


def _log_given_up(task: Task) -> None:
    log.event(
        logger,
        "task-given-up",
        logging.WARNING,
        job=task.id.job_id,
        task=task.id.place,
        run=task.run,
        servers=_servers_of(task),
        ages_s=_ages_of(task),
    )


def _log_held(task: Task) -> None:
    log.event(
        logger,
        "task-held",
        logging.WARNING,
        job=task.id.job_id,
        task=task.id.place,
        run=task.run,
        servers=_servers_of(task),
        ages_s=_ages_of(task),
    )


def _servers_of(task: Task) -> str:
    return ",".join(loss.server_id for loss in task.losses)


def _ages_of(task: Task) -> str:
    return ",".join(f"{loss.age_s:.3f}" for loss in task.losses)
