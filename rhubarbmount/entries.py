"""Catalogue entries: teams, pools, services and job templates."""

from collections.abc import Callable, Mapping
from enum import StrEnum
from functools import cache
from typing import Any

import attrs
import cattrs
from cattrs.gen import make_dict_structure_fn, override

from rhubarbmount.registry import Registry
from rhubarbmount.shared_rows import SharedRow, new_converter

__all__ = [
    "Entry",
    "JobTemplate",
    "OutageChoice",
    "Pool",
    "Service",
    "Team",
    "UnknownEntry",
    "WorkClass",
    "entry_key",
    "entry_kinds",
    "load_entry",
    "load_pool",
    "dump_entry",
    "needed_format",
    "read_entry",
]

_converter = new_converter()
_input_converter = cattrs.Converter(forbid_extra_keys=True)
entry_kinds: Registry[type["Entry"]] = Registry("entry kind")


class WorkClass(StrEnum):
    """The priority of work when capacity is short."""

    URGENT = "urgent"
    NORMAL = "normal"
    BATCH = "batch"


class OutageChoice(StrEnum):
    """How non-idempotent requests with a key are handled in a platform outage.

    With ``home``, an entry host issues keys that only it can claim, and keeps the
    claims in memory.
    """

    REFUSE = "refuse"
    HOME = "home"


@attrs.frozen(kw_only=True)
class Entry(SharedRow):
    """Base class of entries: a name, and the team that may edit the entry."""

    name: str
    owner: str


@entry_kinds.register("team")
@attrs.frozen(kw_only=True)
class Team(Entry):
    """A team and its resource quotas across all pools."""

    processors_quota: int = 0
    memory_quota_gb: int = 0
    accelerators_quota: int = 0


@entry_kinds.register("pool")
@attrs.frozen(kw_only=True)
class Pool(Entry):
    """A set of hosts that share one disruption budget.

    At most ``hosts_down_limit`` hosts and hosts in ``racks_down_limit`` racks may be
    out of service at once, whatever the cause.
    """

    hosts_wanted: int
    buffer_hosts: int = 0
    hosts_down_limit: int = 1
    racks_down_limit: int = 1
    window_start_hour: int = 0
    window_end_hour: int = 24
    cadence_days: int = 28


@entry_kinds.register("service")
@attrs.frozen(kw_only=True)
class Service(Entry):
    """A service, the pool its backend servers run in, and its limits.

    ``retry_share`` is the number of retries allowed per successful request.
    """

    pool: str
    work_class: WorkClass = WorkClass.NORMAL
    concurrency: int = 64
    queue_length: int = 128
    queue_timeout_ms: int = 1000
    request_timeout_ms: int = 5000
    retry_share: float = 0.1
    outage_choice: OutageChoice = OutageChoice.REFUSE
    idempotent_methods: tuple[str, ...] = ("GET", "HEAD", "OPTIONS", "PUT", "DELETE")


@entry_kinds.register("job-template")
@attrs.frozen(kw_only=True)
class JobTemplate(Entry):
    """The resources and work class of a kind of job."""

    team: str
    pool: str
    work_class: WorkClass = WorkClass.NORMAL
    processors: float = 1.0
    memory_gb: float = 1.0
    accelerators: int = 0
    run_time_s: float = 60.0


@attrs.frozen(kw_only=True)
class UnknownEntry(Entry):
    """An entry of a kind from a newer version, preserved unchanged."""


def entry_key(kind: str, name: str) -> str:
    """Return the key of an entry in the catalogue.

    >>> entry_key("service", "quotes")
    'service/quotes'
    """
    return f"{kind}/{name}"


def needed_format(entry: Entry) -> int:
    """Return the lowest format version whose readers can handle the entry.

    A field that a reader must not ignore has ``since_format`` in its metadata; it
    counts if its value differs from the default.
    """
    entry_type: Any = type(entry)
    formats = [
        since
        for name, default, since in _gated_fields(entry_type)
        if getattr(entry, name) != default
    ]
    return max(formats, default=1)


@cache
def _gated_fields(entry_type: type[Entry]) -> tuple[tuple[str, Any, int], ...]:
    return tuple(
        (field.name, field.default, field.metadata["since_format"])
        for field in attrs.fields(entry_type)
        if "since_format" in field.metadata
    )


def load_entry(kind: str, values: Mapping[str, Any]) -> Entry:
    """Build an entry from stored values, preserving unknown fields."""
    entry_type = entry_kinds.get(kind) if kind in entry_kinds else UnknownEntry
    return _converter.structure(values, entry_type)


def load_pool(values: Mapping[str, Any]) -> Pool:
    """Build a pool from stored values, preserving unknown fields."""
    return _converter.structure(values, Pool)


def read_entry(kind: str, values: Mapping[str, Any]) -> Entry:
    """Build an entry from an operator's values, rejecting unknown fields."""
    return _input_converter.structure(values, entry_kinds.get(kind))


def dump_entry(entry: Entry) -> dict[str, Any]:
    """Convert an entry to plain values."""
    return _converter.unstructure(entry)


def _input_fn(entry_type: type[Entry]) -> Callable[[Any, Any], Entry]:
    return make_dict_structure_fn(
        entry_type,
        _input_converter,
        _cattrs_forbid_extra_keys=True,
        unknown=override(omit=True),
    )


_input_converter.register_structure_hook_factory(
    lambda cls: isinstance(cls, type) and issubclass(cls, Entry), _input_fn
)
