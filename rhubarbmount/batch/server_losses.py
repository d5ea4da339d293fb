"""Decides whether a task is to blame for the loss of its servers; free of I/O.

A server that crashes takes all runs there with it, so that a single crash says little
about one of them. A task under which servers were lost repeatedly runs alone on its
next servers: if these are lost too, the task crashes them.
"""

import enum
from collections.abc import Iterable
from itertools import pairwise

import attrs

from rhubarbmount.batch.lifetimes import name_of

__all__ = [
    "TRIAL_S",
    "Losses",
    "ServerEnd",
    "ServerLoss",
    "add_loss",
    "is_sound_run",
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
# Losses after which a task is given up if all but one came at the same time after a
# start, or as many as OWN_LOSSES at that of one that was its own.
MAX_LOSSES = 5
OWN_LOSSES = 3
# How much the times from a start to the loss of the server differ for one cause, at
# least and as a share of them.
SAME_AGE_S = 0.25
SUSPECT_AGE_SHARE = 0.5
BLAMED_AGE_SHARE = 0.1
# How much they differ at most if nothing else tells the cause.
EQUAL_AGE_S = 0.05
# A server that is lost so soon after the start of its only run was crashed by it.
PROMPT_CRASH_S = 0.15
# A task that crashes its servers does so at about the same time after each start.
AGE_FACTOR = 2.0
AGE_TOLERANCE_S = 1.0
# A task that lasts and has run for this long is not what crashes its server.
SOUND_RUN_S = 2.0
# How long a task that has to run alone keeps others from its server.
TRIAL_S = 3.0


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

    def may_be_of(self, server_id: str) -> bool:
        """Return whether a lifetime may be the lost one.

        The start of that one is unknown if an older build stored the loss.
        """
        if self.server_id == server_id:
            return True
        return not self.is_certain and self.server_id == name_of(server_id)

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


def is_sound_run(is_long_running: bool, age_s: float) -> bool:
    """Return whether a run has gone on for too long to have crashed its server.

    Tasks that last lose server after server in the course of time, by no fault of
    theirs, and at equal ages if the servers crash at regular times.
    """
    return is_long_running and age_s >= SOUND_RUN_S


def add_loss(losses: Losses, loss: ServerLoss) -> Losses:
    """Return the losses with another one; of each lifetime one counts."""
    if any(known.may_be_of(loss.server_id) for known in losses):
        return losses
    return (loss,) if outlives(losses, loss.age_s) else (*losses, loss)


def is_suspect(losses: Losses) -> bool:
    """Return whether a task with these losses has to run alone."""
    if len(losses) < SUSPECT_LOSSES:
        losses = tuple(loss for loss in losses if not loss.was_widespread)
    if len(losses) < SUSPECT_SEPARATE_LOSSES:
        return False
    return _have_one_cause(losses, SUSPECT_AGE_SHARE)


def is_to_blame(losses: Losses) -> bool:
    """Return whether a task with these losses gets no more runs."""
    if len(losses) < BLAMED_LOSSES:
        return False
    own = [loss for loss in losses if loss.incriminates]
    if _have_one_cause(own, BLAMED_AGE_SHARE):
        return True
    return len(losses) >= MAX_LOSSES and _have_all_one_cause(losses)


def _have_one_cause(losses: Iterable[ServerLoss], share: float) -> bool:
    """Return whether two of the losses came at about the same time after the start."""
    by_age = sorted(losses, key=lambda loss: loss.age_s)
    return any(_is_same_age(one, other, share) for one, other in pairwise(by_age))


def _have_all_one_cause(losses: Losses) -> bool:
    """Return whether the losses, but for some by chance, came at the same age."""
    ages_s = sorted(loss.age_s for loss in losses)
    if min(ages_s[-2] - ages_s[0], ages_s[-1] - ages_s[1]) <= EQUAL_AGE_S:
        return True
    return any(
        _count_same_age(own, losses, SUSPECT_AGE_SHARE) >= len(losses) - 1
        or _count_same_age(own, losses, BLAMED_AGE_SHARE) >= OWN_LOSSES
        for own in losses
        if own.was_single
    )


def _count_same_age(own: ServerLoss, losses: Losses, share: float) -> int:
    """Return how many of the losses, the own one included, came at its age."""
    return sum(_is_same_age(own, loss, share) for loss in losses)


def _is_same_age(one: ServerLoss, other: ServerLoss, share: float) -> bool:
    difference_s = abs(one.age_s - other.age_s)
    return difference_s <= SAME_AGE_S + share * min(one.age_s, other.age_s)
