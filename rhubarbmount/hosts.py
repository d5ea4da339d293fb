"""Hosts as stored in the platform's table: shape, location and state."""

from enum import StrEnum
from typing import Any

import attrs

from rhubarbmount.shared_rows import SharedRow, new_converter

__all__ = ["Host", "HostState", "Shape", "dump_host", "load_host"]

_converter = new_converter()


class HostState(StrEnum):
    """State of a host; statecharts/host.yaml defines the transitions."""

    IN_SERVICE = "in-service"
    DRAINING = "draining"
    DRAINED = "drained"
    MAINTENANCE = "maintenance"
    RETURNING = "returning"
    QUARANTINED = "quarantined"
    LEAVING = "leaving"


@attrs.frozen
class Shape:
    """Resources that a host offers or a job requests."""

    processors: float
    memory_gb: float
    accelerators: int = 0


@attrs.frozen(kw_only=True)
class Host(SharedRow):
    """A host of the fleet, which belongs to exactly one pool.

    ``address`` is the IP address and port of its backend server. ``cause`` says what
    led to the last change of state, and ``since_s`` is its time in seconds since the
    epoch.
    """

    host_id: str
    pool: str
    data_centre: str
    rack: str
    address: str
    shape: Shape
    state: HostState = HostState.IN_SERVICE
    slots: int = 8
    connections: int = 64
    cause: str = ""
    since_s: float = 0.0
    maintained_s: float = 0.0


def load_host(values: dict[str, Any]) -> Host:
    """Deserialise a host from the values of its row."""
    return _converter.structure(values, Host)


def dump_host(host: Host) -> dict[str, Any]:
    """Serialise a host to the values of its row."""
    return _converter.unstructure(host)
