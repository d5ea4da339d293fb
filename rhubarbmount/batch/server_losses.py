"""Decides whether a task is to blame for the loss of its servers; free of I/O.

A server that crashes takes all runs there with it, so that a single crash says little
about one of them. A task under which servers were lost repeatedly runs alone on its
next servers: if these are lost too, the task crashes them.
"""

import enum
from itertools import pairwise

import attrs

__all__ = [
    "Losses",
    "ServerEnd",
    "ServerLoss",
    "add_loss",
    "is_suspect",
    "is_to_blame",
    "outlives",
]

# Losses after which a task runs alone. Those of several servers at once have a cause
# that they share, such as their rack.
SUSPECT_LOSSES = 3
SUSPECT_SEPARATE_LOSSES = 2
# Losses after which a task is given up if two of them were its own.
BLAMED_LOSSES = 3
# Losses after which a task is given up if one of them was its own, or if all came at
# the same time after a start.
MAX_LOSSES = 5
# How much the times from a start to the loss of the server differ for one cause.
SAME_AGE_S = 0.25
# A server that is lost so soon after the start of its only run was crashed by it.
PROMPT_CRASH_S = 0.15
# A task that crashes its servers does so at about the same time after each start.
AGE_FACTOR = 2.0
AGE_TOLERANCE_S = 1.0


class ServerEnd(enum.Enum):
    """How a server lifetime ended, as far as is known."""

    # Another lifetime has followed.
    CRASHED = "crashed"
    # All leases have lapsed, but the lifetime may go on.
    SILENT = "silent"
    # It was drained, or its host was commanded to move or to be maintained.
    PLANNED = "planned"


@attrs.frozen
class ServerLoss:
    """Loss of a server lifetime that had a run of a task.

    ``is_certain`` is set once the lifetime is known to be over. No other job had a run
    there if ``was_alone`` is set, and several servers fell silent at the same time if
    ``was_widespread`` is. The run is known to have gone on for ``age_s``.
    """

    server_id: str
    is_certain: bool
    was_alone: bool
    was_widespread: bool
    age_s: float = 0.0

    @property
    def incriminates(self) -> bool:
        """Return whether the run is the only likely cause of the loss."""
        is_prompt = self.is_certain and self.was_alone and self.age_s < PROMPT_CRASH_S
        return self.was_single or is_prompt

    @property
    def was_single(self) -> bool:
        """Return whether one server was lost, with nothing else on it."""
        return self.is_certain and self.was_alone and not self.was_widespread


Losses = tuple[ServerLoss, ...]


def outlives(losses: Losses, age_s: float) -> bool:
    """Return whether a run that has gone on so long shows a task to be harmless."""
    longest_s = max((loss.age_s for loss in losses), default=0.0)
    return age_s > AGE_FACTOR * longest_s + AGE_TOLERANCE_S


def add_loss(losses: Losses, loss: ServerLoss) -> Losses:
    """Return the losses with another one; of each server one counts."""
    if any(known.server_id == loss.server_id for known in losses):
        return losses
    return (loss,) if outlives(losses, loss.age_s) else (*losses, loss)


def is_suspect(losses: Losses) -> bool:
    """Return whether a task with these losses has to run alone."""
    if len(losses) >= SUSPECT_LOSSES:
        return True
    separate = sum(not loss.was_widespread for loss in losses)
    return separate >= SUSPECT_SEPARATE_LOSSES


def is_to_blame(losses: Losses) -> bool:
    """Return whether a task with these losses has to be given up."""
    if len(losses) < BLAMED_LOSSES:
        return False
    own_ages_s = sorted(loss.age_s for loss in losses if loss.incriminates)
    if any(b - a <= SAME_AGE_S for a, b in pairwise(own_ages_s)):
        return True
    if len(losses) < MAX_LOSSES:
        return False
    ages_s = [loss.age_s for loss in losses]
    has_same_age = max(ages_s) - min(ages_s) <= SAME_AGE_S
    return has_same_age or any(loss.was_single for loss in losses)
