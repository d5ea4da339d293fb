"""Decides whether a task is to blame for the loss of its servers; free of I/O.

A server that crashes takes all runs there with it, so that a single crash says little
about one of them. A task under which servers were lost repeatedly runs alone on its
next servers: if these are lost too, the task crashes them.
"""

import enum
import math
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
    "have_equal_ages",
    "is_sound_run",
    "is_suspect",
    "is_to_blame",
    "may_be_chance",
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
# How exactly the time from a start to the loss of the server is known.
AGE_ERROR_S = 0.05
# A server that is lost so soon after the start of its only run was crashed by it.
PROMPT_CRASH_S = 0.15
# A task that crashes its servers does so at about the same time after each start.
AGE_FACTOR = 2.0
AGE_TOLERANCE_S = 1.0
# A task that lasts and has run for this long is not what crashes its server.
SOUND_RUN_S = 2.0
# How long a task that has to run alone keeps others from its server.
TRIAL_S = 3.0
# Losses that are more probable than this may be chance. After MAX_LOSSES the harm of
# further crashes outweighs more doubt.
CHANCE_PROBABILITY = 1e-5
MAX_LOSSES_CHANCE_PROBABILITY = 1e-4


@attrs.frozen
class AgeTolerance:
    """How much the ages of runs at the losses of their servers differ for one cause."""

    least_s: float
    share: float

    def covers(self, one_s: float, other_s: float) -> bool:
        """Return whether two ages differ by no more."""
        return abs(one_s - other_s) <= self.least_s + self.share * min(one_s, other_s)


SUSPECT_AGES = AgeTolerance(least_s=0.25, share=0.5)
BLAMED_AGES = AgeTolerance(least_s=AGE_ERROR_S, share=0.1)


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
    return _have_one_cause(losses, SUSPECT_AGES)


def is_to_blame(losses: Losses) -> bool:
    """Return whether a task gets no more runs, unless its losses may be chance."""
    if len(losses) < BLAMED_LOSSES:
        return False
    own = tuple(loss for loss in losses if loss.incriminates)
    if _have_mostly_one_cause(own):
        return True
    return len(losses) >= MAX_LOSSES and _have_all_one_cause(losses)


def have_equal_ages(losses: Losses) -> bool:
    """Return whether two of the losses came at the same time after the start."""
    return _have_one_cause(losses, BLAMED_AGES)


def may_be_chance(losses: Losses, losses_per_server_s: float) -> bool:
    """Return whether a task may have lost its servers without being the cause.

    ``losses_per_server_s`` is how often a server is lost that does not have the task.
    """
    if losses_per_server_s <= 0.0:
        return False
    chance = min(_chance_of(losses, each, losses_per_server_s) for each in losses)
    if len(losses) >= MAX_LOSSES:
        return chance > MAX_LOSSES_CHANCE_PROBABILITY
    return chance > CHANCE_PROBABILITY


def _chance_of(losses: Losses, first: ServerLoss, losses_per_server_s: float) -> float:
    """Return how probable it is to lose servers by chance at such an age.

    One loss may come at any time of its run, the others as close to its age as they
    did. Their probabilities are combined by Fisher's method.
    """
    log_product = 0.0
    for loss in losses:
        window_s = loss.age_s + AGE_ERROR_S
        if loss is not first:
            distance_s = abs(loss.age_s - first.age_s)
            window_s = min(window_s, 2.0 * (distance_s + AGE_ERROR_S))
        log_product -= math.log(min(1.0, losses_per_server_s * window_s))
    term = chance = math.exp(-log_product)
    for k in range(1, len(losses)):
        term *= log_product / k
        chance += term
    return chance


def _have_one_cause(losses: Iterable[ServerLoss], tolerance: AgeTolerance) -> bool:
    """Return whether two of the losses came at about the same time after the start."""
    ages_s = sorted(loss.age_s for loss in losses)
    return any(tolerance.covers(one_s, other_s) for one_s, other_s in pairwise(ages_s))


def _have_mostly_one_cause(losses: Losses) -> bool:
    """Return whether two of the losses, and half of them, came at the same age."""
    needed = max(2, math.ceil(len(losses) / 2))
    return any(_count_same_age(each, losses, BLAMED_AGES) >= needed for each in losses)


def _have_all_one_cause(losses: Losses) -> bool:
    """Return whether the losses, but for some by chance, came at the same age."""
    ages_s = sorted(loss.age_s for loss in losses)
    if min(ages_s[-2] - ages_s[0], ages_s[-1] - ages_s[1]) <= AGE_ERROR_S:
        return True
    return any(
        _count_same_age(own, losses, SUSPECT_AGES) >= len(losses) - 1
        or _count_same_age(own, losses, BLAMED_AGES) >= OWN_LOSSES
        for own in losses
        if own.was_single
    )


def _count_same_age(own: ServerLoss, losses: Losses, tolerance: AgeTolerance) -> int:
    """Return how many of the losses, the own one included, came at its age."""
    return sum(tolerance.covers(own.age_s, loss.age_s) for loss in losses)
