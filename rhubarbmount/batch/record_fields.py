"""Checked fields of the project's own rows; another build may have written them."""

import functools
import json
import math
import zlib
from collections.abc import Callable, Iterable, Mapping
from typing import Any, TypeVar

import attrs

from rhubarbmount.batch.lifetimes import born_ms_of, lifetime_id, name_of
from rhubarbmount.errors import RhubarbmountError

__all__ = [
    "DECODING_ERRORS",
    "UnreadableRecord",
    "build_record",
    "check_types",
    "compress_if_large",
    "decode_lifetime",
    "decode_numbers",
    "encode_lifetime",
    "encode_rows",
    "load_object",
    "raises_unreadable_record",
    "row_key_of",
]

Value = TypeVar("Value")
Record = TypeVar("Record", bound=attrs.AttrsInstance)

# Records of all backend servers are spread over so many rows.
ROW_COUNT = 16
# Larger values are compressed, as the store limits the size of a row.
COMPRESS_ABOVE_BYTES = 16_384
# First byte of every value that zlib compresses by its default.
ZLIB_MAGIC = b"\x78"

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


def compress_if_large(value: bytes) -> bytes:
    """Return a JSON object as it is stored."""
    return zlib.compress(value) if len(value) > COMPRESS_ABOVE_BYTES else value


def row_key_of(server_name: str) -> str:
    """Return the key of the row that holds the record of a server."""
    return str(zlib.crc32(server_name.encode("utf-8")) % ROW_COUNT)


def encode_rows(
    fields_by_name: Mapping[str, list[Any]], keys: Iterable[str]
) -> dict[str, bytes]:
    """Return the values of some of the rows with records of servers, by key."""
    rows: dict[str, dict[str, list[Any]]] = {key: {} for key in keys}
    for name, fields in fields_by_name.items():
        row = rows.get(row_key_of(name))
        if row is not None:
            row[name] = fields
    return {
        key: compress_if_large(json.dumps(row, separators=(",", ":")).encode("utf-8"))
        for key, row in rows.items()
    }


def load_object(value: bytes) -> dict[str, Any]:
    """Return the JSON object that a row holds, compressed or not."""
    if value.startswith(ZLIB_MAGIC):
        value = zlib.decompress(value)
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


def encode_lifetime(server_id: str) -> list[Any]:
    """Return the name of a server and, if it is known, when its lifetime began.

    The start is the last field of each row. Older builds, which take a name for one
    lifetime, pass over it and find the server that they know by that name.
    """
    born_ms = born_ms_of(server_id)
    return [name_of(server_id), born_ms] if born_ms else [server_id]


def decode_lifetime(name: str, rest: list[Any]) -> str:
    """Return the identifier of a lifetime from a row's name and its last field."""
    born_ms = rest[0] if rest else 0
    check_types((name, born_ms), (str, int))
    return lifetime_id(name, born_ms)


def check_types(values: tuple[Any, ...], types: tuple[type, ...]) -> None:
    """Raise TypeError unless values have the given types."""
    if tuple(map(type, values)) != types:
        raise TypeError(f"{values!r} does not have the types {types!r}")


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
