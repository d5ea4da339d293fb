"""Builds attrs classes from plain values and reports each fault with its path."""

import difflib
import types
import typing
from collections.abc import Mapping
from enum import Enum
from typing import Any

import attrs

__all__ = ["Fault", "structure"]


@attrs.frozen
class Fault:
    """An invalid value, and the path of keys that leads to it."""

    path: tuple[str | int, ...]
    code: str
    message: str


def structure(
    values: Any, cls: Any, path: tuple[str | int, ...] = ()
) -> tuple[Any, list[Fault]]:
    """Return the built value (None if it has faults) and all faults."""
    if attrs.has(cls):
        return _structure_class(values, cls, path)
    origin = typing.get_origin(cls)
    if origin in (types.UnionType, typing.Union):
        return _structure_optional(values, cls, path)
    if origin is tuple:
        return _structure_tuple(values, cls, path)
    if origin is dict:
        return _structure_mapping(values, cls, path)
    return _structure_scalar(values, cls, path)


def _structure_class(
    values: Any, cls: Any, path: tuple[str | int, ...]
) -> tuple[Any, list[Fault]]:
    if not isinstance(values, Mapping):
        return None, [Fault(path, "wrong-type", "expected a mapping")]
    attrs.resolve_types(cls)
    field_by_name = {
        field.name: field
        for field in attrs.fields(cls)
        if not field.metadata.get("is_kept")
    }
    faults = _unknown_keys(values, list(field_by_name), path)
    arguments = {}
    for name, field in field_by_name.items():
        if name in values:
            built, found = structure(values[name], field.type, (*path, name))
            arguments[name] = built
            faults.extend(found)
        elif field.default is attrs.NOTHING:
            faults.append(Fault(path, "missing-key", f"missing key {name!r}"))
    if faults:
        return None, faults
    try:
        return cls(**arguments), []
    except ValueError as error:
        return None, [Fault(path, "bad-value", str(error))]


def _unknown_keys(
    values: Mapping[Any, Any], known: list[str], path: tuple[str | int, ...]
) -> list[Fault]:
    faults = []
    for key in values:
        if key in known:
            continue
        close = difflib.get_close_matches(str(key), known, n=1)
        hint = f"; did you mean {close[0]!r}?" if close else ""
        faults.append(
            Fault((*path, str(key)), "unknown-key", f"unknown key {key!r}{hint}")
        )
    return faults


def _structure_optional(
    values: Any, cls: Any, path: tuple[str | int, ...]
) -> tuple[Any, list[Fault]]:
    if values is None:
        return None, []
    inner = next(arg for arg in typing.get_args(cls) if arg is not type(None))
    return structure(values, inner, path)


def _structure_tuple(
    values: Any, cls: Any, path: tuple[str | int, ...]
) -> tuple[Any, list[Fault]]:
    if not isinstance(values, list | tuple):
        return None, [Fault(path, "wrong-type", "expected a list")]
    inner = typing.get_args(cls)[0]
    items = []
    faults: list[Fault] = []
    for index, value in enumerate(values):
        built, found = structure(value, inner, (*path, index))
        items.append(built)
        faults.extend(found)
    return tuple(items), faults


def _structure_mapping(
    values: Any, cls: Any, path: tuple[str | int, ...]
) -> tuple[Any, list[Fault]]:
    if not isinstance(values, Mapping):
        return None, [Fault(path, "wrong-type", "expected a mapping")]
    inner = typing.get_args(cls)[1]
    built_by_key = {}
    faults: list[Fault] = []
    for key, value in values.items():
        built, found = structure(value, inner, (*path, str(key)))
        built_by_key[str(key)] = built
        faults.extend(found)
    return built_by_key, faults


def _structure_scalar(
    value: Any, cls: Any, path: tuple[str | int, ...]
) -> tuple[Any, list[Fault]]:
    if cls is Any:
        return value, []
    if issubclass(cls, Enum):
        if isinstance(value, cls):
            return value, []
        choices = [item.value for item in cls]
        if value in choices:
            return cls(value), []
        wanted = ", ".join(map(str, choices))
        return None, [Fault(path, "bad-value", f"{value!r} is not one of {wanted}")]
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if cls is float and is_number:
        return float(value), []
    if type(value) is cls:
        return value, []
    message = f"expected {cls.__name__}, not {value!r}"
    return None, [Fault(path, "wrong-type", message)]
