"""Checked fields of the project's own rows; another build may have written them."""

import functools
import json
import math
import zlib
from collections.abc import Callable, Mapping
from typing import Any, TypeVar

import attrs

from rhubarbmount.errors import RhubarbmountError

__all__ = [
    "DECODING_ERRORS",
    "UnreadableRecord",
    "build_record",
    "decode_numbers",
    "load_object",
    "raises_unreadable_record",
]

Value = TypeVar("Value")
Record = TypeVar("Record", bound=attrs.AttrsInstance)

JSON_TYPES: dict[type, type | tuple[type, ...]] = {
    bool: bool,
    int: int,
    float: (int, float),
    str: str,
}
# What decoding a value of any type or size may raise.
DECODING_ERRORS = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
    zlib.error,
)


class UnreadableRecord(RhubarbmountError):
    """A row of the project's own is damaged or of a format not known to this build."""

    code = "unreadable-record"


def raises_unreadable_record(
    decode: Callable[..., Value],
) -> Callable[..., Value]:
    """Wrap a decoder so that any failure to decode raises UnreadableRecord."""

    @functools.wraps(decode)
    def wrapped(*args: Any) -> Value:
        try:
            return decode(*args)
        except DECODING_ERRORS as error:
            raise UnreadableRecord(f"{type(error).__name__}: {error}") from None

    return wrapped


def load_object(value: bytes) -> dict[str, Any]:
    """Return the JSON object that a row holds."""
    values = json.loads(value)
    if not isinstance(values, dict):
        raise TypeError("not a JSON object")
    return values


@raises_unreadable_record
def decode_numbers(value: bytes) -> dict[str, float]:
    """Decode a JSON object of finite numbers. Raises UnreadableRecord."""
    values = load_object(value)
    for name, number in values.items():
        _check_type(name, number, float)
    return values


def build_record(kind: type[Record], values: Mapping[str, Any]) -> Record:
    """Build a record of an attrs class; fields of a newer build are ignored."""
    type_by_name = _types_by_name(kind)
    known = {name: value for name, value in values.items() if name in type_by_name}
    for name, value in known.items():
        _check_type(name, value, type_by_name[name])
    return kind(**known)


@functools.cache
def _types_by_name(kind: type) -> dict[str, Any]:
    return {field.name: field.type for field in attrs.fields(kind)}


def _check_type(name: str, value: Any, kind: Any) -> None:
    """Raise TypeError unless a simple field has its type; others are left alone."""
    expected = JSON_TYPES.get(kind)
    if expected is None:
        return
    is_bool = isinstance(value, bool)
    if not isinstance(value, expected) or is_bool is not (kind is bool):
        raise TypeError(f"field {name!r} has the wrong type")
    if isinstance(value, float) and not math.isfinite(value):
        raise ValueError(f"field {name!r} is not finite")
