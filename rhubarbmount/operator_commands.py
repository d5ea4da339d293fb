"""The operators' commands, over the operators' HTTP interface."""

import json
import secrets
from collections.abc import Iterator
from typing import Any
from urllib.parse import quote

from rhubarbmount.edits import Operators
from rhubarbmount.operator_client import OperatorClient, format_table
from rhubarbmount.yaml_file import read_yaml

__all__ = [
    "entry_apply",
    "entry_history",
    "entry_list",
    "entry_remove",
    "entry_show",
    "explain",
    "hosts_list",
    "hosts_move",
    "hosts_stay",
    "jobs_cancel",
    "jobs_list",
    "jobs_release",
    "jobs_submit",
    "maintain_control",
    "maintain_list",
    "maintain_plan",
    "maintain_start",
    "status",
    "token",
]

TOKEN_BYTES = 24


def token() -> int:
    """Print a new operator's token, and the digest for the settings."""
    new_token = secrets.token_urlsafe(TOKEN_BYTES)
    print(f"token: {new_token}")
    print(f"token_sha256: {Operators.digest(new_token)}")
    return 0


def status(*, json: bool = False) -> int:
    """Show which entry hosts run the version in force, which lag, and their programs.

    :param json: print JSON
    """
    value = _call("GET", "/status")
    rows = [
        {"entry_host": name, "state": "current", "version": value["version"]}
        for name in value["current"]
    ]
    for state in ("behind", "silent"):
        rows += [
            {"entry_host": name, "state": state, "version": version}
            for name, version in value[state].items()
        ]
    for row in rows:
        told = value.get("programs", {}).get(row["entry_host"], {})
        row["program"] = told.get("program") or "not told"
        row["format"] = told.get("format", 0)
    if not json:
        told = "in force everywhere" if value["in_force"] else "not in force everywhere"
        print(f"version {value['version']} is {told}")
    return _show(
        value, rows, ("entry_host", "state", "version", "program", "format"), json
    )


def entry_list(*, json: bool = False) -> int:
    """List the entries in force.

    :param json: print JSON
    """
    value = _call("GET", "/entries")
    return _show(value, value["entries"], ("key", "owner", "version"), json)


def entry_show(kind: str, name: str, *, json: bool = False) -> int:
    """Show one entry.

    :param kind: service, pool, team or job-template
    :param name: the entry's name
    :param json: print JSON
    """
    return _show_fields(_call("GET", _entry_path(kind, name)), json)


def entry_history(kind: str, name: str, *, json: bool = False) -> int:
    """List who changed an entry, and when.

    :param kind: service, pool, team or job-template
    :param name: the entry's name
    :param json: print JSON
    """
    value = _call("GET", f"{_entry_path(kind, name)}/history")
    return _show(value, value["changes"], ("version", "operator", "when_s"), json)


def entry_apply(
    kind: str, file: str, *, expected_version: int | None = None, json: bool = False
) -> int:
    """Add or replace an entry; print the version that holds it.

    :param kind: service, pool, team or job-template
    :param file: YAML file with the entry's values
    :param expected_version: refuse if the entry was changed since this version
    :param json: print JSON
    """
    values = read_yaml(file).values
    body = {"values": values, "expected_version": expected_version}
    name = values.get("name", "") if isinstance(values, dict) else ""
    return _show_accepted(_call("PUT", _entry_path(kind, name), body), json)


def entry_remove(
    kind: str, name: str, *, expected_version: int | None = None, json: bool = False
) -> int:
    """Remove an entry that no other entry names.

    :param kind: service, pool, team or job-template
    :param name: the entry's name
    :param expected_version: refuse if the entry was changed since this version
    :param json: print JSON
    """
    path = _entry_path(kind, name)
    if expected_version is not None:
        path += f"?expected_version={expected_version}"
    return _show_accepted(_call("DELETE", path), json)


def explain(kind: str, subject_id: str, *, json: bool = False) -> int:
    """Show the decisions about one subject, and what keeps it as it is.

    :param kind: host, pool, job, request or entry
    :param subject_id: its name; an entry's is KIND/NAME, a request's its id, or
        SERVICE/KEY for one with an idempotency key
    :param json: print JSON
    """
    value = _call("GET", f"/explain/{_quote(kind)}/{_quote(subject_id)}")
    if not json:
        _print_told(value)
    columns = ("time_s", "source", "catalogue_version", "code", "reason", "inputs")
    return _show(value, value["decisions"], columns, json)


def hosts_list(*, pool: str | None = None, json: bool = False) -> int:
    """List the hosts, with pool and state.

    :param pool: only this pool
    :param json: print JSON
    """
    value = _call("GET", "/hosts" if pool is None else f"/hosts?pool={_quote(pool)}")
    columns = ("host_id", "pool", "data_centre", "rack", "state", "cause")
    return _show(value, value["hosts"], columns, json)


def hosts_move(host_id: str, pool: str, *, json: bool = False) -> int:
    """Begin the move of a host to another pool.

    :param host_id: the host
    :param pool: the pool that it is to belong to
    :param json: print JSON
    """
    path = f"/hosts/{_quote(host_id)}/move"
    return _show_fields(_call("POST", path, {"pool": pool}), json)


def hosts_stay(host_id: str, *, json: bool = False) -> int:
    """Cancel the move of a host that has not been committed.

    :param host_id: the host
    :param json: print JSON
    """
    return _show_fields(_call("DELETE", f"/hosts/{_quote(host_id)}/move"), json)


def jobs_list(*, json: bool = False) -> int:
    """List the jobs.

    :param json: print JSON
    """
    value = _call("GET", "/jobs")
    columns = ("job_id", "team", "pool", "work_class", "state")
    return _show(value, value["jobs"], columns, json)


def jobs_submit(file: str, *, json: bool = False) -> int:
    """Submit a job; one that could never run is refused at once.

    :param file: YAML file with the job's values
    :param json: print JSON
    """
    return _show_fields(_call("POST", "/jobs", read_yaml(file).values), json)


def jobs_cancel(job_id: str, *, json: bool = False) -> int:
    """Cancel a job.

    :param job_id: the job
    :param json: print JSON
    """
    return _show_fields(_call("DELETE", f"/jobs/{_quote(job_id)}"), json)


def jobs_release(job_id: str, *, json: bool = False) -> int:
    """Let a held job wait for a host again.

    :param job_id: the job
    :param json: print JSON
    """
    return _show_fields(_call("POST", f"/jobs/{_quote(job_id)}/release"), json)


def maintain_plan(*, json: bool = False) -> int:
    """Show how long a wave over your pools would take, and what it would cost.

    :param json: print JSON
    """
    value = _call("POST", "/waves/plan", {})
    return _show_fields(value, json)


def maintain_start(*pools: str, json: bool = False) -> int:
    """Start a maintenance wave over pools, or over all that you own.

    :param pools: the pools
    :param json: print JSON
    """
    body = {"pools": list(pools)} if pools else {}
    return _show_fields(_call("POST", "/waves", body), json)


def maintain_list(*, json: bool = False) -> int:
    """List the maintenance waves.

    :param json: print JSON
    """
    value = _call("GET", "/waves")
    return _show(value, value["waves"], ("wave_id", "control", "state", "pools"), json)


def maintain_control(wave_id: str, control: str, *, json: bool = False) -> int:
    """Pause, resume or cancel a wave.

    :param wave_id: the wave
    :param control: running, paused or cancelled
    :param json: print JSON
    """
    path = f"/waves/{_quote(wave_id)}/control"
    return _show_fields(_call("POST", path, {"control": control}), json)


def _quote(text: str) -> str:
    return quote(text, safe="")


def _entry_path(kind: str, name: str) -> str:
    return f"/entries/{_quote(kind)}/{_quote(name)}"


def _call(method: str, path: str, value: Any = None) -> Any:
    return OperatorClient.from_environment().call(method, path, value)


def _show_accepted(value: Any, as_json: bool) -> int:
    if as_json:
        return _print_json(value)
    print(f"accepted {value['key']} in version {value['version']}")
    return 0


def _print_json(value: Any) -> int:
    print(json.dumps(value, indent=2))
    return 0


def _print_told(value: Any) -> None:
    """Print the reason that holds now, and who did not answer."""
    print(f"reason: {value['reason'] or '-'}")
    if value["silent"]:
        print(f"silent: {', '.join(value['silent'])}")
    if value["platform"] == "silent":
        print("the platform does not answer: its rows are not told")


def _show(
    value: Any, rows: list[dict[str, Any]], columns: tuple[str, ...], as_json: bool
) -> int:
    if as_json:
        return _print_json(value)
    print(format_table(rows, columns))
    return 0


def _show_fields(value: Any, as_json: bool) -> int:
    rows = [{"field": field, "value": held} for field, held in _fields(value)]
    return _show(value, rows, ("field", "value"), as_json)


def _fields(value: dict[str, Any], prefix: str = "") -> Iterator[tuple[str, Any]]:
    """Yield the fields of an answer, those of a mapping within it by dotted names.

    >>> list(_fields({"key": "pool/a", "values": {"name": "a"}}))
    [('key', 'pool/a'), ('values.name', 'a')]
    """
    for key, held in value.items():
        if isinstance(held, dict):
            yield from _fields(held, f"{prefix}{key}.")
        else:
            yield f"{prefix}{key}", held
