"""Operator commands for hosts, jobs and maintenance."""

from rhubarbmount.command_output import call, quote_part, show, show_fields
from rhubarbmount.yaml_file import read_yaml

__all__ = [
    "hosts_list",
    "hosts_move",
    "hosts_stay",
    "jobs_list",
    "jobs_submit",
    "jobs_cancel",
    "jobs_release",
    "maintain_plan",
    "maintain_start",
    "maintain_list",
    "maintain_control",
]


def hosts_list(*, pool: str | None = None, json: bool = False) -> int:
    """List the hosts with their pool and state.

    :param pool: only this pool
    :param json: print JSON
    """
    value = call("GET", "/hosts" if pool is None else f"/hosts?pool={quote_part(pool)}")
    columns = ("host_id", "pool", "data_centre", "rack", "state", "cause")
    return show(value, value["hosts"], columns, json)


def hosts_move(host_id: str, pool: str, *, json: bool = False) -> int:
    """Start moving a host to another pool.

    :param host_id: the host
    :param pool: the pool to move it to
    :param json: print JSON
    """
    path = f"/hosts/{quote_part(host_id)}/move"
    return show_fields(call("POST", path, {"pool": pool}), json)


def hosts_stay(host_id: str, *, json: bool = False) -> int:
    """Cancel the move of a host, unless the move is already committed.

    :param host_id: the host
    :param json: print JSON
    """
    return show_fields(call("DELETE", f"/hosts/{quote_part(host_id)}/move"), json)


def jobs_list(*, json: bool = False) -> int:
    """List the jobs.

    :param json: print JSON
    """
    value = call("GET", "/jobs")
    columns = ("job_id", "team", "pool", "work_class", "state")
    return show(value, value["jobs"], columns, json)


def jobs_submit(file: str, *, json: bool = False) -> int:
    """Submit a job; a job that could never run is refused immediately.

    :param file: YAML file with the job's values
    :param json: print JSON
    """
    return show_fields(call("POST", "/jobs", read_yaml(file).values), json)


def jobs_cancel(job_id: str, *, json: bool = False) -> int:
    """Cancel a job.

    :param job_id: the job
    :param json: print JSON
    """
    return show_fields(call("DELETE", f"/jobs/{quote_part(job_id)}"), json)


def jobs_release(job_id: str, *, json: bool = False) -> int:
    """Release a held job, so that it waits for a host again.

    :param job_id: the job
    :param json: print JSON
    """
    return show_fields(call("POST", f"/jobs/{quote_part(job_id)}/release"), json)


def maintain_plan(*, json: bool = False) -> int:
    """Show the duration and cost of a maintenance wave over your pools.

    :param json: print JSON
    """
    value = call("POST", "/waves/plan", {})
    return show_fields(value, json)


def maintain_start(*pools: str, json: bool = False) -> int:
    """Start a maintenance wave over the given pools, or over all that you own.

    :param pools: the pools
    :param json: print JSON
    """
    body = {"pools": list(pools)} if pools else {}
    return show_fields(call("POST", "/waves", body), json)


def maintain_list(*, json: bool = False) -> int:
    """List the maintenance waves.

    :param json: print JSON
    """
    value = call("GET", "/waves")
    return show(value, value["waves"], ("wave_id", "control", "state", "pools"), json)


def maintain_control(wave_id: str, control: str, *, json: bool = False) -> int:
    """Pause, resume or cancel a maintenance wave.

    :param wave_id: the wave
    :param control: running, paused or cancelled
    :param json: print JSON
    """
    path = f"/waves/{quote_part(wave_id)}/control"
    return show_fields(call("POST", path, {"control": control}), json)
