"""Choice of the next step for each kind of host work; free of side effects."""

from rhubarbmount.host_work import HostTransition, Progress, host_actions
from rhubarbmount.hosts import HostState

__all__ = [
    "maintain_step",
    "move_step",
    "repair_step",
    "replace_step",
    "restore_step",
]


def drain_step(progress: Progress) -> HostTransition | None:
    """Return the step that ends a drain, or None while it has to go on.

    A request that can be counted is never cut off: if any are left at the drain limit,
    the host is restored.
    """
    bounds = progress.bounds
    if progress.elapsed_s < bounds.view_s:
        return None
    if progress.observation.in_flight == 0:
        return HostTransition("empty")
    if progress.observation.in_flight is None:
        waited = progress.elapsed_s >= bounds.view_s + bounds.drain_s
        return HostTransition("empty") if waited else None
    if progress.elapsed_s >= bounds.drain_limit_s:
        return HostTransition("restore", reason="requests are left at the drain limit")
    return None


def reboot_step(progress: Progress) -> HostTransition | None:
    """Return the step that ends maintenance, once the host has rebooted.

    A host that is not back within the reboot limit is quarantined.
    """
    bounds = progress.bounds
    rebooted = progress.was_unready or progress.elapsed_s >= bounds.reboot_min_s
    if progress.observation.ready and rebooted:
        return HostTransition("ready")
    if progress.elapsed_s >= bounds.reboot_limit_s:
        reason = "the host was not back within the reboot limit"
        return HostTransition("quarantine", finished=True, reason=reason)
    return None


def return_step(progress: Progress) -> HostTransition | None:
    """Return the step back into service, once the slow start is over.

    A host that is not ready by the reboot limit is quarantined.
    """
    if progress.elapsed_s < progress.bounds.warm_s:
        return None
    if progress.observation.ready is not False:
        return HostTransition("warm", finished=True)
    if progress.elapsed_s >= progress.bounds.reboot_limit_s:
        reason = "the host did not answer after its return"
        return HostTransition("quarantine", finished=True, reason=reason)
    return None


@host_actions.register("move")
def move_step(progress: Progress) -> HostTransition | None:
    """Return the next step of a move to another pool."""
    state = progress.host.state
    if state is HostState.DRAINING:
        return drain_step(progress)
    if state is HostState.DRAINED:
        return HostTransition("move", pool=progress.intent.target_pool)
    if state is HostState.RETURNING:
        return return_step(progress)
    return None


@host_actions.register("restore")
def restore_step(progress: Progress) -> HostTransition | None:
    """Return the next step of a host that goes back into service in its pool."""
    state = progress.host.state
    if state in (HostState.DRAINING, HostState.DRAINED):
        return HostTransition("restore", reason="the move was cancelled")
    if state is HostState.RETURNING:
        return return_step(progress)
    return None


@host_actions.register("maintain")
def maintain_step(progress: Progress) -> HostTransition | None:
    """Return the next step of a host that is maintained in its pool."""
    state = progress.host.state
    if state is HostState.DRAINING:
        return drain_step(progress)
    if state is HostState.DRAINED:
        return HostTransition("maintain")
    if state is HostState.MAINTENANCE:
        return reboot_step(progress)
    if state is HostState.RETURNING:
        return return_step(progress)
    return None


@host_actions.register("reboot")
def repair_step(progress: Progress) -> HostTransition | None:
    """Return the next step of a failing host that is rebooted.

    Its drain waits for requests as usual, but ends at the drain limit even if some
    are left.
    """
    if progress.host.state is HostState.DRAINING:
        return _forced_drain_step(progress)
    return maintain_step(progress)


@host_actions.register("replace")
def replace_step(progress: Progress) -> HostTransition | None:
    """Return the next step of a host that keeps failing and is released."""
    if progress.host.state is HostState.DRAINING:
        return _forced_drain_step(progress)
    if progress.host.state is HostState.DRAINED:
        return HostTransition("leave")
    if progress.host.state is HostState.LEAVING:
        return HostTransition("released", finished=True, gone=True)
    return None


def _forced_drain_step(progress: Progress) -> HostTransition | None:
    step = drain_step(progress)
    if step is not None and step.event == "restore":
        return HostTransition("empty")
    return step
