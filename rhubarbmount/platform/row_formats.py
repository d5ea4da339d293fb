"""Formats of the store rows that the operator, backend servers and we write."""

import functools
import json
import math
from collections.abc import Callable, Mapping
from typing import Any, TypeVar

from rhubarbmount.batch.catalogue import Catalogue, Pool
from rhubarbmount.batch.lifetimes import lifetime_id, name_of
from rhubarbmount.batch.model import Queue, QueueName, Server, Wave
from rhubarbmount.batch.record_fields import DECODING_ERRORS
from rhubarbmount.errors import RhubarbmountError
from rhubarbmount.platform.rows import Row, RowName
from rhubarbmount.platform.values import (
    MAX_QUANTITY,
    MAX_TIME_MS,
    is_address,
    is_name,
    is_number,
)

__all__ = [
    "CATALOGUE_KEY",
    "OPERATOR_TABLE",
    "SERVERS_TABLE",
    "STATUS_TABLE",
    "WAVE_PREFIX",
    "UnreadableRow",
    "decode_catalogue",
    "decode_server",
    "decode_wave",
    "encode_wave_status",
    "wave_status_row",
]

OPERATOR_TABLE = "op"
SERVERS_TABLE = "servers"
STATUS_TABLE = "status"
CATALOGUE_KEY = "config"
WAVE_PREFIX = "wave/"
DRAINING_BY_STATE = {"ready": False, "draining": True}


Value = TypeVar("Value")


class UnreadableRow(RhubarbmountError):
    """A row of another writer lacks a field or holds an invalid value."""

    code = "unreadable-row"


def _decode_object(row: Row) -> Mapping[str, Any]:
    try:
        value = json.loads(row.value)
    except (ValueError, RecursionError):
        raise UnreadableRow(f"row {row.name.key} is not valid JSON") from None
    if not isinstance(value, dict):
        raise UnreadableRow(f"row {row.name.key} is not a JSON object")
    return value


def _required_field(
    values: Mapping[str, Any], key: str, kind: type | tuple[type, ...]
) -> Any:
    value = values.get(key)
    is_bool = isinstance(value, bool) and kind is not bool
    if is_bool or not isinstance(value, kind):
        raise UnreadableRow(f"field {key!r} is missing or has the wrong type")
    if isinstance(value, float) and not math.isfinite(value):
        raise UnreadableRow(f"field {key!r} is not finite")
    return value


def _required_text(values: Mapping[str, Any], key: str) -> str:
    return _check_text(key, _required_field(values, key, str))


def _optional_text(values: Mapping[str, Any], key: str) -> str:
    value = values.get(key)
    return _check_text(key, value) if isinstance(value, str) else ""


def _check_text(key: str, text: str) -> str:
    """Return a text; half of a surrogate pair, say, can't be written anywhere."""
    if not text.isprintable():
        raise UnreadableRow(f"field {key!r} can't be printed")
    return text


def _bounded_int(
    values: Mapping[str, Any], key: str, limit: int, default: int | None = None
) -> int:
    """Return a number from 0 to a limit as an integer."""
    value = values.get(key)
    if value is None and default is not None:
        return default
    if not is_number(value, limit):
        raise UnreadableRow(f"field {key!r} is not a number up to {limit}")
    return int(value)


def _converts_to_unreadable_row(
    decode: Callable[[Row], Value],
) -> Callable[[Row], Value]:
    """Wrap a decoder so that any failure to convert a value raises UnreadableRow."""

    @functools.wraps(decode)
    def wrapped(row: Row) -> Value:
        try:
            return decode(row)
        except DECODING_ERRORS as error:
            raise UnreadableRow(f"{row.name.key}: {error}") from None

    return wrapped


@_converts_to_unreadable_row
def decode_server(row: Row) -> Server:
    """Decode the row of a backend server. Raises UnreadableRow."""
    values = _decode_object(row)
    state = _required_field(values, "state", str)
    if state not in DRAINING_BY_STATE:
        raise UnreadableRow(f"unknown backend server state {state!r}")
    address = _required_field(values, "addr", str)
    if not is_address(address):
        raise UnreadableRow(f"not an address with a port: {address!r}")
    capacity = _required_field(values, "capacity", dict)
    labels = _required_field(values, "labels", list)
    if not all(isinstance(label, str) for label in labels):
        raise UnreadableRow("a label is not a string")
    for label in labels:
        _check_text("labels", label)
    return Server(
        # When the server started; older ones do not say it.
        id=lifetime_id(_server_name(row), _bounded_int(values, "born", MAX_TIME_MS, 0)),
        service=_required_text(values, "service"),
        address=address,
        data_centre=_required_text(values, "zone"),
        is_draining=DRAINING_BY_STATE[state],
        cpu_millicores=_bounded_int(capacity, "cpu", MAX_QUANTITY),
        memory_mb=_bounded_int(capacity, "mem_mb", MAX_QUANTITY),
        gpu=_bounded_int(capacity, "gpu", MAX_QUANTITY, 0),
        labels=frozenset(labels),
        # The first label is the kind and the last one the rack.
        rack=labels[-1] if len(labels) > 1 else "",
        version=row.version,
        host_id=_optional_text(values, "machine"),
    )


def _server_name(row: Row) -> str:
    """Return the name of a server, which headers and identifiers are made of."""
    name = row.name.key
    if not is_name(name) or name_of(name) != name:
        raise UnreadableRow(f"not a name: {name[:20]!r}")
    return name


@_converts_to_unreadable_row
def decode_catalogue(row: Row) -> Catalogue:
    """Decode the operator's configuration. Raises UnreadableRow."""
    values = _decode_object(row)
    queues = [_decode_queue(item) for item in _required_field(values, "routes", list)]
    pools = [
        Pool(
            _required_field(item, "name", str),
            is_standby=bool(item.get("standby")),
            guards_capacity=bool(item.get("admission_control")),
        )
        for item in _required_field(values, "services", list)
    ]
    return Catalogue(
        version=int(_required_field(values, "version", (int, float))),
        queue_by_name={queue.name: queue for queue in queues},
        pool_by_name={pool.name: pool for pool in pools},
        row_version=row.version,
        size_bytes=len(row.value),
    )


def _decode_queue(values: Mapping[str, Any]) -> Queue:
    advice = values.get("advice")
    valid_ms = advice.get("valid_ms", 0) if isinstance(advice, dict) else 0
    return Queue(
        name=QueueName(
            _required_field(values, "host", str), _required_field(values, "prefix", str)
        ),
        service=_required_field(values, "service", str),
        priority=int(values.get("priority") or 0),
        attempts=int(values.get("attempts") or 1),
        slack_factor=float(values.get("slack_factor") or 1.0),
        latency_objective_s=float(values.get("latency_slo_ms") or 0.0) / 1000,
        has_advice=bool(advice),
        ticket_valid_s=float(valid_ms) / 1000,
    )


@_converts_to_unreadable_row
def decode_wave(row: Row) -> Wave:
    """Decode the operator's request for a maintenance wave. Raises UnreadableRow."""
    values = _decode_object(row)
    hosts = _required_field(values, "machines", list)
    return Wave(
        number=int(_required_field(values, "wave", (int, float))),
        host_ids=tuple(str(host) for host in hosts),
        deadline_s=float(_required_field(values, "deadline_s", (int, float))),
        limit=max(1, int(_required_field(values, "cap", (int, float)))),
    )


def encode_wave_status(is_complete: bool) -> bytes:
    """Encode the value of a wave's status row."""
    state = "complete" if is_complete else "active"
    return json.dumps({"state": state}).encode("ascii")


def wave_status_row(number: int) -> RowName:
    """Return the name of a wave's status row."""
    return RowName(STATUS_TABLE, "", f"{WAVE_PREFIX}{number}")
