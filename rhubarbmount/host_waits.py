"""Reasons why a host with open work takes no step now; free of side effects."""

from rhubarbmount.host_work import EFFECT_BY_STATE, Progress
from rhubarbmount.hosts import HostState

__all__ = ["uncommanded", "wait_reason"]


def uncommanded(state: HostState) -> str:
    """Return the wait reason of a host whose command was not accepted.

    >>> uncommanded(HostState.DRAINING)
    'the platform has not accepted the command to drain'
    """
    return f"the platform has not accepted the command to {EFFECT_BY_STATE[state]}"


def wait_reason(progress: Progress) -> str:
    """Return the single reason that keeps a host from its next step.

    The text holds no figure that changes between rounds, so that repeats of a reason
    can be counted.
    """
    match progress.host.state:
        case HostState.DRAINING:
            return _drain_reason(progress)
        case HostState.MAINTENANCE:
            if progress.observation.ready is False:
                return "the host is not back"
            return "the host has not been seen to reboot"
        case HostState.RETURNING:
            if progress.elapsed_s < progress.bounds.warm_s:
                return "slow start"
            return "the host does not answer"
    return f"nothing to do for {progress.intent.action} in this state"


def _drain_reason(progress: Progress) -> str:
    if progress.elapsed_s < progress.bounds.view_s:
        return "entry hosts may not have seen that it drains"
    if progress.observation.in_flight is None:
        return "requests in flight can't be counted"
    return "requests or tasks are in flight"
