"""Requests to an entry host for a command, and printing of the responses."""

import json
from collections.abc import Iterator
from typing import Any
from urllib.parse import quote

from rhubarbmount.operator_client import OperatorClient, format_table

__all__ = ["call", "print_json", "quote_part", "show", "show_fields"]


def quote_part(text: str) -> str:
    """Percent-encode a name as one segment of a path."""
    return quote(text, safe="")


def call(method: str, path: str, value: Any = None) -> Any:
    """Send a request to the entry host set in the environment; return the response.

    Raises UsageError, FindingsError, RemoteError, NotSent or ResponseLost.
    """
    return OperatorClient.from_environment().call(method, path, value)


def print_json(value: Any) -> int:
    """Print a response as JSON; return the exit code."""
    print(json.dumps(value, indent=2))
    return 0


def show(
    value: Any, rows: list[dict[str, Any]], columns: tuple[str, ...], as_json: bool
) -> int:
    """Print rows as a table, or the response as JSON; return the exit code."""
    if as_json:
        return print_json(value)
    print(format_table(rows, columns))
    return 0


def show_fields(value: Any, as_json: bool) -> int:
    """Print a response as a table of its fields, or as JSON; return the exit code."""
    rows = [
        {"field": field, "value": field_value} for field, field_value in _fields(value)
    ]
    return show(value, rows, ("field", "value"), as_json)


def _fields(value: dict[str, Any], prefix: str = "") -> Iterator[tuple[str, Any]]:
    """Yield the fields of a response; those of nested mappings have dotted names.

    >>> list(_fields({"key": "pool/a", "values": {"name": "a"}}))
    [('key', 'pool/a'), ('values.name', 'a')]
    """
    for key, field_value in value.items():
        if isinstance(field_value, dict):
            yield from _fields(field_value, f"{prefix}{key}.")
        else:
            yield f"{prefix}{key}", field_value
