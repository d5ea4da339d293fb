"""Measure the memory of a scheduling holder's state, loaded from rows of JSON.

Each team has its work in one pool; times and ids differ from job to job.
"""

import json
import random
import time
import tracemalloc
from pathlib import Path

import attrs
import defopt

from bench.placement import make_hosts, make_teams
from rhubarbmount.entries import WorkClass
from rhubarbmount.hosts import Shape
from rhubarbmount.jobs import (
    Job,
    JobState,
    Task,
    dump_job,
    dump_task,
    load_job,
    load_task,
)
from rhubarbmount.scheduler import Scheduler
from rhubarbmount.store.interface import Row

POOLS = 25
SHAPES = [Shape(1, 2), Shape(2, 4), Shape(4, 8), Shape(8, 16), Shape(4, 8, 1)]
MB = 1024 * 1024
PARTS_SHOWN = 8


def make_job(number, rng, team, pool, **fields):
    return Job(
        job_id=f"job-{number:08x}",
        team=team,
        pool=pool,
        shape=rng.choice(SHAPES),
        work_class=rng.choice(list(WorkClass)),
        template=f"template-{rng.randrange(40)}",
        run_time_s=rng.choice([60.0, 600.0, 3600.0]),
        submitted_s=1e9 + number / 7,
        since_s=1e9 + number / 3,
        **fields,
    )


def make_rows(hosts, teams, tasks, waiting, seed):
    """Return the rows of jobs and tasks as JSON text, as the platform sends them."""
    rng = random.Random(seed)
    jobs, started = [], []
    host_list = list(hosts.values())
    pools = sorted({host.pool for host in host_list})
    teams_by_pool = {pool: teams[n :: len(pools)] for n, pool in enumerate(pools)}
    for number in range(tasks + waiting):
        host = rng.choice(host_list)
        team = rng.choice(teams_by_pool[host.pool]).name
        job = make_job(number, rng, team, host.pool)
        if number < tasks:
            task_id = f"{job.job_id}/1"
            job = attrs.evolve(job, state=JobState.RUNNING, attempt=1, task_id=task_id)
            started.append(task_of(job, host.host_id))
        jobs.append(job)
    return (
        as_json("jobs", [(job.job_id, dump_job(job)) for job in jobs]),
        as_json("tasks", [(task.task_id, dump_task(task)) for task in started]),
    )


def task_of(job, host_id):
    return Task(
        task_id=job.task_id,
        job_id=job.job_id,
        team=job.team,
        pool=job.pool,
        host_id=host_id,
        reserved=job.shape,
        kind=job.kind,
        work_class=job.work_class,
        run_time_s=job.run_time_s,
        started_s=job.since_s,
    )


def as_json(table, items):
    rows = [Row(table, key, value, 1) for key, value in items]
    return json.dumps([attrs.asdict(row) for row in rows])


def load(jobs_text, tasks_text, hosts, teams):
    """Return a scheduler that has taken in the rows."""
    scheduler = Scheduler()
    scheduler.set_teams(teams, 1)
    scheduler.set_hosts(hosts)
    scheduler.load(
        [load_job(row["value"]) for row in json.loads(jobs_text)],
        [load_task(row["value"]) for row in json.loads(tasks_text)],
        [],
    )
    return scheduler


def main(*, hosts: int = 2600, tasks: int = 17433, waiting: int = 23400, seed: int = 1):
    """Print the megabytes that the state takes, and the time to load it.

    :param hosts: hosts in the fleet
    :param tasks: running tasks
    :param waiting: waiting jobs
    :param seed: seed of the jobs
    """
    host_by_id, teams = make_hosts(hosts, POOLS), make_teams()
    texts = make_rows(host_by_id, teams, tasks, waiting, seed)
    begin_s = time.process_time()
    load(*texts, host_by_id, teams)
    spent_s = time.process_time() - begin_s
    tracemalloc.start()
    scheduler = load(*texts, host_by_id, teams)
    current, _ = tracemalloc.get_traced_memory()
    parts = tracemalloc.take_snapshot().statistics("lineno")[:PARTS_SHOWN]
    print("hosts  tasks  waiting  state MB  load s")
    print(
        f"{hosts:5} {len(scheduler.task_by_id):6} {waiting:8}"
        f" {current / MB:9.1f} {spent_s:7.2f}"
    )
    print("largest parts, by where they are made:")
    for part in parts:
        frame = part.traceback[0]
        place = f"{Path(frame.filename).name}:{frame.lineno}"
        print(f"{part.size / MB:6.2f} MB {part.count:7} {place}")


if __name__ == "__main__":
    defopt.run(main)
