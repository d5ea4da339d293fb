"""Operator commands for the catalogue and the entry hosts."""

import secrets
from typing import Any

from rhubarbmount.command_output import call, print_json, quote_part, show, show_fields
from rhubarbmount.edits import Operators
from rhubarbmount.yaml_file import read_yaml

__all__ = [
    "token",
    "status",
    "entry_list",
    "entry_show",
    "entry_history",
    "entry_apply",
    "entry_remove",
    "explain",
]

TOKEN_BYTES = 24


def token() -> int:
    """Generate an operator token; print it and its digest for the settings."""
    new_token = secrets.token_urlsafe(TOKEN_BYTES)
    print(f"token: {new_token}")
    print(f"token_sha256: {Operators.digest(new_token)}")
    return 0


def status(*, json: bool = False) -> int:
    """Show which entry hosts run or lag the version in force, and their programs.

    :param json: print JSON
    """
    value = call("GET", "/status")
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
        reported = value.get("programs", {}).get(row["entry_host"], {})
        row["program"] = reported.get("program") or "not told"
        row["format"] = reported.get("format", 0)
    if not json:
        reported = (
            "in force everywhere" if value["in_force"] else "not in force everywhere"
        )
        print(f"version {value['version']} is {reported}")
    return show(
        value, rows, ("entry_host", "state", "version", "program", "format"), json
    )


def entry_list(*, json: bool = False) -> int:
    """List the entries in force.

    :param json: print JSON
    """
    value = call("GET", "/entries")
    return show(value, value["entries"], ("key", "owner", "version"), json)


def entry_show(kind: str, name: str, *, json: bool = False) -> int:
    """Show one entry.

    :param kind: service, pool, team or job-template
    :param name: the entry's name
    :param json: print JSON
    """
    return show_fields(call("GET", _entry_path(kind, name)), json)


def entry_history(kind: str, name: str, *, json: bool = False) -> int:
    """List the changes of an entry: version, operator and time.

    :param kind: service, pool, team or job-template
    :param name: the entry's name
    :param json: print JSON
    """
    value = call("GET", f"{_entry_path(kind, name)}/history")
    return show(value, value["changes"], ("version", "operator", "when_s"), json)


def entry_apply(
    kind: str, file: str, *, expected_version: int | None = None, json: bool = False
) -> int:
    """Add or replace an entry; print the catalogue version with the change.

    :param kind: service, pool, team or job-template
    :param file: YAML file with the entry's values
    :param expected_version: refuse if the entry was changed since this version
    :param json: print JSON
    """
    values = read_yaml(file).values
    body = {"values": values, "expected_version": expected_version}
    name = values.get("name", "") if isinstance(values, dict) else ""
    return _show_accepted(call("PUT", _entry_path(kind, name), body), json)


def entry_remove(
    kind: str, name: str, *, expected_version: int | None = None, json: bool = False
) -> int:
    """Remove an entry that no other entry refers to.

    :param kind: service, pool, team or job-template
    :param name: the entry's name
    :param expected_version: refuse if the entry was changed since this version
    :param json: print JSON
    """
    path = _entry_path(kind, name)
    if expected_version is not None:
        path += f"?expected_version={expected_version}"
    return _show_accepted(call("DELETE", path), json)


def explain(kind: str, subject_id: str, *, json: bool = False) -> int:
    """Show the decisions about one subject, and the reason for its present state.

    :param kind: host, pool, job, request or entry
    :param subject_id: its name; KIND/NAME for an entry; for a request its id, or
        SERVICE/KEY if it has an idempotency key
    :param json: print JSON
    """
    value = call("GET", f"/explain/{quote_part(kind)}/{quote_part(subject_id)}")
    if not json:
        _print_reason(value)
    columns = ("time_s", "source", "catalogue_version", "code", "reason", "inputs")
    return show(value, value["decisions"], columns, json)


def _entry_path(kind: str, name: str) -> str:
    return f"/entries/{quote_part(kind)}/{quote_part(name)}"


def _show_accepted(value: Any, as_json: bool) -> int:
    if as_json:
        return print_json(value)
    print(f"accepted {value['key']} in version {value['version']}")
    return 0


def _print_reason(value: Any) -> None:
    """Print the reason currently in effect, and who did not respond."""
    print(f"reason: {value['reason'] or '-'}")
    if value["silent"]:
        print(f"silent: {', '.join(value['silent'])}")
    if value["platform"] == "silent":
        print("the platform does not answer: decisions from its rows are missing")
