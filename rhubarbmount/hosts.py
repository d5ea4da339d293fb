"""Hosts: their shape, place and state, as kept in the platform's table."""

from enum import StrEnum
from typing import Any

import attrs

from rhubarbmount.shared_rows import SharedRow, new_converter

__all__ = ["Host", "HostState", "Shape", "dump_host", "load_host"]

_converter = new_converter()


class HostState(StrEnum):
    """Where a host is in its life; the moves are in statecharts/host.yaml."""

    IN_SERVICE = "in-service"
    DRAINING = "draining"
    DRAINED = "drained"
    MAINTENANCE = "maintenance"
    RETURNING = "returning"
    QUARANTINED = "quarantined"
    LEAVING = "leaving"


@attrs.frozen
class Shape:
    """What a host offers, or what a job asks for."""

    processors: float
    memory_gb: float
    accelerators: int = 0


@attrs.frozen(kw_only=True)
class Host(SharedRow):
    """A host of the fleet; ``pool`` is the one pool it belongs to.

    ``address`` is the IP and port of its backend server. ``since_s`` is the time of
    the last change of state, in seconds since the epoch.
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
    """Build a host from the plain values of its row."""
    return _converter.structure(values, Host)


def dump_host(host: Host) -> dict[str, Any]:
    """Return the plain values of a host."""
    return _converter.unstructure(host)
