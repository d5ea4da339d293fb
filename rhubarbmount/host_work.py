"""Work on a host, step by step: its intent, its effects and its next state."""

from collections.abc import Callable, Mapping
from typing import Any

import attrs

from rhubarbmount.hosts import Host, HostState
from rhubarbmount.registry import Registry
from rhubarbmount.shared_rows import SharedRow, new_converter

__all__ = [
    "EFFECT_BY_STATE",
    "HostIntent",
    "Observation",
    "Progress",
    "HostTransition",
    "WorkBounds",
    "dump_intent",
    "host_actions",
    "intent_key",
    "load_intent",
    "work_cause",
]

HOST_PREFIX = "host/"
EFFECT_BY_STATE: Mapping[HostState, str] = {
    HostState.DRAINING: "drain",
    HostState.MAINTENANCE: "reboot",
    HostState.RETURNING: "resume",
    HostState.LEAVING: "release",
}
_converter = new_converter()


@attrs.frozen(kw_only=True)
class HostIntent(SharedRow):
    """Work begun on a host and not yet finished.

    ``target_pool`` is set for moves, ``target_owner`` to the team that owned it when
    the move began. ``group`` names the wave it belongs to, if any, and
    ``group_started_s`` the time, since the epoch, at which that wave began.
    """

    intent_id: str
    duty: str
    action: str
    host_id: str
    target_pool: str = ""
    target_owner: str = ""
    group: str = ""
    group_started_s: float = 0.0
    state: str = "open"


@attrs.frozen(kw_only=True)
class WorkBounds:
    """Times that govern work on a host.

    Every entry host has seen a change of state after ``view_s``. A drain whose
    requests can't be counted ends after ``drain_s`` more; one that still has requests
    in flight after ``drain_limit_s`` is given up. A host must answer again within
    ``reboot_limit_s`` and serves in full after ``warm_s``.
    """

    view_s: float = 5.0
    drain_s: float = 30.0
    drain_limit_s: float = 600.0
    reboot_min_s: float = 20.0
    reboot_limit_s: float = 1800.0
    warm_s: float = 30.0


@attrs.frozen
class Observation:
    """What entry hosts see of a host; None is not known."""

    in_flight: int | None = None
    ready: bool | None = None


@attrs.frozen(kw_only=True)
class Progress:
    """A host at work, and how long this holder has seen it in its state."""

    host: Host
    intent: HostIntent
    observation: Observation
    elapsed_s: float
    was_unready: bool
    bounds: WorkBounds


@attrs.frozen
class HostTransition:
    """An event of the host's state chart; ``finished`` closes the intent.

    A host that is ``gone`` leaves the fleet with its row. ``reason`` says why the
    work takes another course than the intent's.
    """

    event: str
    pool: str = ""
    finished: bool = False
    gone: bool = False
    reason: str = attrs.field(default="", eq=False)


host_actions: Registry[Callable[[Progress], HostTransition | None]] = Registry(
    "host action"
)


def work_cause(intent: HostIntent, event: str) -> str:
    """Return what a host's row says of the last step of work on it."""
    parts = [intent.action, event, intent.target_pool]
    return ":".join(part for part in parts if part)


def intent_key(host_id: str) -> str:
    """Return the key of a host's intent: one host, one intent.

    >>> intent_key("h7")
    'host/h7'
    """
    return HOST_PREFIX + host_id


def load_intent(values: Mapping[str, Any]) -> HostIntent:
    """Build an intent from the plain values of its row."""
    return _converter.structure(dict(values), HostIntent)


def dump_intent(intent: HostIntent) -> dict[str, Any]:
    """Return the plain values of an intent."""
    return _converter.unstructure(intent)
