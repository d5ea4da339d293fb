"""Rows shared between program versions; readers preserve unknown fields."""

from collections.abc import Callable, Mapping
from enum import StrEnum
from functools import lru_cache
from types import MappingProxyType
from typing import Any

import attrs
import cattrs
from cattrs.gen import make_dict_structure_fn, make_dict_unstructure_fn, override

__all__ = [
    "FORMAT",
    "NO_FIELDS",
    "SharedRow",
    "new_converter",
    "read_choice",
    "unknown_names",
]

FORMAT = 1
NO_FIELDS: Mapping[str, Any] = MappingProxyType({})
CHOICE_CACHE_SIZE = 256

Values = Mapping[str, Any]


@attrs.frozen(kw_only=True, weakref_slot=False)
class SharedRow:
    """Base class of rows; ``unknown`` holds fields unknown to this version.

    They are plain values. Unknown fields inside the value of a known field are nested
    under that field's name.
    """

    unknown: Values = attrs.field(
        default=NO_FIELDS, hash=False, repr=False, metadata={"is_kept": True}
    )


@lru_cache(CHOICE_CACHE_SIZE)
def read_choice(value: str, choices: type[StrEnum]) -> StrEnum:
    """Return the enum member with a value.

    For a value from a newer version, return a member of the type that is equal to none
    of the known ones.


    >>> from rhubarbmount.hosts import HostState
    >>> read_choice("draining", HostState) is HostState.DRAINING
    True
    >>> read_choice("asleep", HostState).value, "asleep" in list(HostState)
    ('asleep', False)
    """
    if value in choices._value2member_map_:
        return choices(value)
    if not isinstance(value, str):
        raise ValueError(f"{value!r} is not a string")
    choice = str.__new__(choices, value)
    choice._name_ = choice._value_ = value
    return choice


def unknown_names(row: SharedRow) -> set[str]:
    """Return the names of fields that are unknown or have an unknown enum value."""
    known = {field.name: getattr(row, field.name) for field in attrs.fields(type(row))}
    choices = {
        name
        for name, value in known.items()
        if isinstance(value, StrEnum) and value not in list(type(value))
    }
    return choices | row.unknown.keys()


def new_converter() -> cattrs.Converter:
    """Return a converter that preserves unknown fields of shared rows."""
    converter = cattrs.Converter()
    converter.register_structure_hook(StrEnum, read_choice)
    converter.register_structure_hook_factory(
        _is_shared, lambda cls: _structure_fn(cls, converter)
    )
    converter.register_unstructure_hook_factory(
        _is_shared, lambda cls: _unstructure_fn(cls, converter)
    )
    return converter


def _is_shared(cls: Any) -> bool:
    return isinstance(cls, type) and issubclass(cls, SharedRow)


def _structure_fn(
    cls: type, converter: cattrs.Converter
) -> Callable[[Values, Any], Any]:
    known: Callable[[Values, Any], Any] = make_dict_structure_fn(
        cls, converter, unknown=override(omit=True)
    )
    find_unknown = _unknown_fields_fn(cls)

    def structure(values: Values, kind: Any) -> Any:
        built = known(values, kind)
        unknown = find_unknown(values)
        if unknown:
            object.__setattr__(built, "unknown", unknown)
        return built

    return structure


def _unstructure_fn(
    cls: type, converter: cattrs.Converter
) -> Callable[[Any], dict[str, Any]]:
    known: Callable[[Any], dict[str, Any]] = make_dict_unstructure_fn(
        cls, converter, unknown=override(omit=True)
    )

    def unstructure(row: Any) -> dict[str, Any]:
        values = known(row)
        return _merge_unknown(values, row.unknown) if row.unknown else values

    return unstructure


def _unknown_fields_fn(cls: type) -> Callable[[Values], dict[str, Any]]:
    """Return a function that finds values for which a class has no field.

    It descends into fields that are attrs classes themselves.
    """
    attrs.resolve_types(cls)
    names = {field.name for field in attrs.fields(cls)} - {"unknown"}
    parts = {
        field.name: _unknown_fields_fn(field.type)
        for field in attrs.fields(cls)
        if attrs.has(field.type) and not _is_shared(field.type)
    }

    def find_unknown(values: Values) -> dict[str, Any]:
        found = {}
        if not values.keys() <= names:
            found = {key: values[key] for key in values if key not in names}
        for name, part in parts.items():
            inner = part(values[name]) if name in values else None
            if inner:
                found[name] = inner
        return found

    return find_unknown


def _merge_unknown(values: dict[str, Any], unknown: Values) -> dict[str, Any]:
    for key, value in unknown.items():
        known = values.get(key)
        if isinstance(known, dict):
            values[key] = _merge_unknown(known, value)
        else:
            values[key] = value
    return values
