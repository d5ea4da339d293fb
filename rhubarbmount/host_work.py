"""Types for work on a host: intents, observations and state transitions."""

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
    """Stored record of unfinished work on a host.

    ``target_pool`` is set for moves, and ``target_owner`` is the team that owned that
    pool when the move began. ``group`` is the id of the wave that the work belongs
    to, if any, and ``group_started_s`` that wave's start in seconds since the epoch.
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
    """Time limits, in seconds, for the steps of work on a host.

    After ``view_s`` every entry host has seen a change of state. A drain whose
    requests can't be counted ends ``drain_s`` after that; a drain that still has
    requests in flight after ``drain_limit_s`` is abandoned. A host that was never
    seen to be unready counts as rebooted after ``reboot_min_s``. It must answer again
    within ``reboot_limit_s``, and takes its full load after ``warm_s``.
    """

    view_s: float = 5.0
    drain_s: float = 30.0
    drain_limit_s: float = 600.0
    reboot_min_s: float = 20.0
    reboot_limit_s: float = 1800.0
    warm_s: float = 30.0


@attrs.frozen
class Observation:
    """What entry hosts see of a host; None means unknown."""

    in_flight: int | None = None
    ready: bool | None = None


@attrs.frozen(kw_only=True)
class Progress:
    """Input to the choice of a host's next step.

    ``elapsed_s`` is how long this lease holder has seen the host in its state.
    """

    host: Host
    intent: HostIntent
    observation: Observation
    elapsed_s: float
    was_unready: bool
    bounds: WorkBounds


@attrs.frozen
class HostTransition:
    """An event of the host's state chart, with its effect on rows.

    ``pool`` is the host's new pool, if it changes. ``finished`` closes the intent, and
    ``gone`` deletes the host's row, so that it leaves the fleet. ``reason`` says why
    the work departs from the intent.
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
    """Return the cause that is stored in a host's row for a step of work."""
    parts = [intent.action, event, intent.target_pool]
    return ":".join(part for part in parts if part)


def intent_key(host_id: str) -> str:
    """Return the row key of a host's intent; a host has at most one.

    >>> intent_key("h7")
    'host/h7'
    """
    return HOST_PREFIX + host_id


def load_intent(values: Mapping[str, Any]) -> HostIntent:
    """Deserialise an intent from the values of its row."""
    return _converter.structure(dict(values), HostIntent)


def dump_intent(intent: HostIntent) -> dict[str, Any]:
    """Serialise an intent to the values of its row."""
    return _converter.unstructure(intent)
