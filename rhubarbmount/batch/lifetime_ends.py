"""Whether a lifetime of a backend server lists the ends of its runs; free of I/O.

It lists none up to the highest number that was ever acknowledged to it, which may have
been meant for an earlier lifetime. Only an end that is listed shows that this has not
happened, and that all that follow will be listed.
"""

import enum
from collections.abc import Callable

import attrs

from rhubarbmount.batch.lifetimes import born_ms_of
from rhubarbmount.batch.open_acknowledgements import OpenAcknowledgements

__all__ = ["EndListing", "LifetimeEnds", "LifetimeEndsJudge"]

# How long a lifetime that forgets ends rests before it is tried again: each end that it
# forgets brings it nearer to the first that it lists.
RETRIAL_S = 4.0
# How many runs show at once whether their ends are listed, if it has forgotten one.
MAX_TRIALS = 8
# How long a gang waits for other tasks that show whether ends are listed.
GANG_WAIT_S = 2.0
MAX_LIFETIMES = 20_000


class EndListing(enum.Enum):
    """What is known of the ends of the next runs on a lifetime."""

    # They are listed.
    CERTAIN = "certain"
    # They may be forgotten before they are listed.
    DOUBTFUL = "doubtful"
    # The last end has been forgotten.
    FORGOTTEN = "forgotten"


@attrs.define(eq=False)
class LifetimeEnds:
    """Whether a lifetime lists the ends of its runs, and when it may be tried.

    ``is_barred`` is set once it obeys no call for other lifetimes any more, so that an
    end that it lists shows that it will list all others.
    """

    listing: EndListing = EndListing.CERTAIN
    is_barred: bool = True
    _next_trial_s: float = 0.0
    # Since when gangs have waited for a server that nothing else has tried, or 0.
    _gangs_wait_since_s: float = 0.0

    @property
    def are_certain(self) -> bool:
        """Return whether all ends to come are listed."""
        return self.listing is EndListing.CERTAIN

    @property
    def are_forgotten(self) -> bool:
        """Return whether the lifetime is known to have forgotten an end."""
        return self.listing is EndListing.FORGOTTEN

    @property
    def trials_at_once(self) -> int:
        """Return how many runs may show at once whether their ends are listed."""
        return MAX_TRIALS if self.are_forgotten else 1

    def needs_trial(self, now_s: float, may_rest: bool = True) -> bool:
        """Return whether a run should now show whether its end is listed."""
        is_resting = may_rest and now_s < self._next_trial_s
        return not self.are_certain and not is_resting

    def may_try_gang(self, now_s: float) -> bool:
        """Return whether gangs have waited so long that one is used as the trial."""
        self._gangs_wait_since_s = self._gangs_wait_since_s or now_s
        return now_s >= self._gangs_wait_since_s + GANG_WAIT_S

    def note_listed(self) -> bool:
        """Record that an end is listed; return whether that settles a doubt."""
        if self.are_certain or not self.is_barred:
            return False
        self.listing = EndListing.CERTAIN
        return True

    def note_forgotten(self, now_s: float) -> bool:
        """Record that the end of a run is not listed; return whether that is news."""
        if self.are_certain:
            return False
        is_news = not self.are_forgotten
        self.listing = EndListing.FORGOTTEN
        self._next_trial_s = now_s + RETRIAL_S
        return is_news


@attrs.define(eq=False)
class LifetimeEndsJudge:
    """Doubts the ends of lifetimes that may have got what was meant for others.

    ``doubts_of_last_holder`` tells the same of what earlier holders have sent.
    """

    acknowledgements: OpenAcknowledgements
    doubts_of_last_holder: Callable[[str, float], bool]
    _ends_by_id: dict[str, LifetimeEnds] = attrs.field(factory=dict)

    def judge(self, server_id: str, is_barred: bool, now_s: float) -> LifetimeEnds:
        """Return what is known of a lifetime that has answered.

        As long as calls for others may still be carried out there, it is judged anew.
        """
        ends = self._ends_by_id.get(server_id)
        if ends is None:
            ends = self._add(server_id)
        elif ends.is_barred:
            return ends
        ends.is_barred = is_barred
        if ends.are_certain and self._is_doubtful(server_id, now_s):
            ends.listing = EndListing.DOUBTFUL
        return ends

    def _add(self, server_id: str) -> LifetimeEnds:
        if len(self._ends_by_id) >= MAX_LIFETIMES:
            del self._ends_by_id[next(iter(self._ends_by_id))]
        ends = self._ends_by_id[server_id] = LifetimeEnds(is_barred=False)
        return ends

    def _is_doubtful(self, server_id: str, now_s: float) -> bool:
        if not born_ms_of(server_id):
            # Its lifetimes can't be told apart.
            return False
        return self.acknowledgements.may_reach(
            server_id, now_s
        ) or self.doubts_of_last_holder(server_id, now_s)
