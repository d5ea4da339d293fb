"""The operators' commands, over the operators' HTTP interface."""

import json
import secrets
from typing import Any
from urllib.parse import quote

from rhubarbmount.edits import Operators
from rhubarbmount.operator_client import OperatorClient, format_table
from rhubarbmount.yamlfile import read_yaml

__all__ = [
    "entry_apply",
    "entry_history",
    "entry_list",
    "entry_remove",
    "entry_show",
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


def status() -> int:
    """Print the version in force as JSON, with the entry hosts that lag."""
    return _print_json(_call("GET", "/status"))


def entry_list(*, json: bool = False) -> int:
    """List the entries in force.

    :param json: print JSON
    """
    value = _call("GET", "/entries")
    return _show(value, value["entries"], ("key", "owner", "version"), json)


def entry_show(kind: str, name: str) -> int:
    """Show one entry as JSON.

    :param kind: service, pool, team or job-template
    :param name: the entry's name
    """
    return _print_json(_call("GET", _entry_path(kind, name)))


def entry_history(kind: str, name: str, *, json: bool = False) -> int:
    """List who changed an entry, and when.

    :param kind: service, pool, team or job-template
    :param name: the entry's name
    :param json: print JSON
    """
    value = _call("GET", f"{_entry_path(kind, name)}/history")
    return _show(value, value["changes"], ("version", "operator", "when_s"), json)


def entry_apply(kind: str, file: str, *, expected_version: int | None = None) -> int:
    """Add or replace an entry; print the version that holds it.

    :param kind: service, pool, team or job-template
    :param file: YAML file with the entry's values
    :param expected_version: refuse if the entry was changed since this version
    """
    values = read_yaml(file).values
    body = {"values": values, "expected_version": expected_version}
    name = values.get("name", "") if isinstance(values, dict) else ""
    return _print_accepted(_call("PUT", _entry_path(kind, name), body))


def entry_remove(kind: str, name: str, *, expected_version: int | None = None) -> int:
    """Remove an entry that no other entry names.

    :param kind: service, pool, team or job-template
    :param name: the entry's name
    :param expected_version: refuse if the entry was changed since this version
    """
    path = _entry_path(kind, name)
    if expected_version is not None:
        path += f"?expected_version={expected_version}"
    return _print_accepted(_call("DELETE", path))


def _entry_path(kind: str, name: str) -> str:
    return f"/entries/{quote(kind, safe='')}/{quote(name, safe='')}"


def _call(method: str, path: str, value: Any = None) -> Any:
    return OperatorClient.from_environment().call(method, path, value)


def _print_accepted(value: Any) -> int:
    print(f"accepted {value['key']} in version {value['version']}")
    return 0


def _print_json(value: Any) -> int:
    print(json.dumps(value, indent=2))
    return 0


def _show(
    value: Any, rows: list[dict[str, Any]], columns: tuple[str, ...], as_json: bool
) -> int:
    if as_json:
        return _print_json(value)
    print(format_table(rows, columns))
    return 0
