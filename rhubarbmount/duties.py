"""Duty leases: one holder for each fleet duty, without relying on a shared clock."""

import hashlib
from collections.abc import Iterable, Mapping
from enum import StrEnum
from functools import lru_cache
from typing import Any

import attrs

from rhubarbmount.shared_rows import SharedRow, new_converter

__all__ = [
    "Action",
    "LeaseBounds",
    "LeaseRow",
    "LeaseTracker",
    "dump_lease",
    "load_lease",
    "preference_rank",
]

POLL_SLACK = 0.8
WEIGHT_CACHE_SIZE = 1024
_converter = new_converter()


@attrs.frozen(kw_only=True)
class LeaseBounds:
    """Time bounds of a lease.

    A holder acts for at most ``lease_s - margin_s`` after sending its last renewal.
    The first ``prompt_contenders`` in the preference order read the row every
    ``poll_s``, the others every ``slow_poll_s``. After a gap of more than ``freeze_s``
    between two checks, as when its process was suspended, the holder reads the row
    again. A holder that another instance has outranked for ``settle_s`` releases the
    duty.
    """

    lease_s: float = 8.0
    margin_s: float = 2.0
    renewal_s: float = 2.0
    poll_s: float = 1.0
    slow_poll_s: float = 2.5
    prompt_contenders: int = 3
    freeze_s: float = 1.5
    settle_s: float = 30.0


class Action(StrEnum):
    """The next action of a contender or holder on a lease.

    A poll may use a scan made for another duty; a read may not.
    """

    WAIT = "wait"
    POLL = "poll"
    READ = "read"
    TAKE = "take"
    RENEW = "renew"
    RELEASE = "hand-back"


@attrs.frozen
class LeaseRow(SharedRow):
    """A lease as stored in the table; every write of it differs from all others.

    An empty holder means that the duty was released.
    """

    holder: str = ""
    token: int = 0
    renewals: int = 0


def load_lease(values: Mapping[str, Any]) -> LeaseRow:
    """Build a lease from the plain values of its row."""
    return _converter.structure(values, LeaseRow)


def dump_lease(row: LeaseRow) -> dict[str, Any]:
    """Return the plain values of a lease."""
    return _converter.unstructure(row)


def preference_rank(duty: str, instance_id: str, instance_ids: Iterable[str]) -> int:
    """Return an instance's rank, from 0, in the duty's rendezvous hashing order.

    >>> sorted(preference_rank("waves", name, ["a", "b", "c"]) for name in "abc")
    [0, 1, 2]
    """
    own = _weight(duty, instance_id)
    others = set(instance_ids) - {instance_id}
    return sum(_weight(duty, other) > own for other in others)


@lru_cache(WEIGHT_CACHE_SIZE)
def _weight(duty: str, instance_id: str) -> bytes:
    return hashlib.blake2b(f"{duty}/{instance_id}".encode(), digest_size=8).digest()


@attrs.define
class LeaseTracker:
    """State machine of one lease; times are readings of the owner's monotonic clock."""

    instance_id: str
    bounds: LeaseBounds = attrs.field(factory=LeaseBounds)
    row: LeaseRow | None = None
    must_read: bool = True
    _read_s: float = float("-inf")
    _unchanged_since_s: float = float("inf")
    _renewal_sent_s: float = float("-inf")
    _checked_s: float | None = None
    _outranked_since_s: float | None = None

    @property
    def is_own(self) -> bool:
        """Whether the row, as last read, names this instance as the holder."""
        return self.row is not None and self.row.holder == self.instance_id

    def observe(self, row: LeaseRow | None, now_s: float) -> None:
        """Process the row as it was read."""
        first = self._unchanged_since_s > now_s
        if first or row != self.row:
            self._unchanged_since_s = now_s
            self._renewal_sent_s = float("-inf")
        if row is None or row.holder != self.instance_id:
            self._outranked_since_s = None
        self.row = row
        self.must_read = False
        self._read_s = now_s
        self._checked_s = now_s

    def observe_shared(self, row: LeaseRow | None, sent_s: float, now_s: float) -> None:
        """Process another instance's lease from a scan sent at ``sent_s``, if newer.

        The row counts as read only at ``now_s``, so that the wait before an
        unresponsive holder's lease is taken over is never shortened.
        """
        if self.must_read or self.is_own or sent_s <= self._read_s:
            return
        self.observe(row, now_s)

    def observe_commit(self, row: LeaseRow, sent_s: float, now_s: float) -> None:
        """Process this instance's own committed write, sent at ``sent_s``."""
        self.observe(row, now_s)
        if self.is_own:
            self._renewal_sent_s = sent_s

    def require_read(self) -> None:
        """Require a read of the row before any other action."""
        self.must_read = True

    def may_act(self, now_s: float) -> bool:
        """Return whether the lease is certain to be held now.

        After a suspension of the process, the row must be read first.
        """
        if self._was_suspended(now_s):
            self.must_read = True
        self._checked_s = now_s
        return self.is_own and not self.must_read and now_s < self.deadline_s

    @property
    def deadline_s(self) -> float:
        """The time from which the holder must not act."""
        return self._renewal_sent_s + self.bounds.lease_s - self.bounds.margin_s

    def decide(self, now_s: float, rank: int) -> Action:
        """Return the next action for this instance's rank in the preference order."""
        if self.must_read:
            return Action.READ
        if not self.is_own:
            return self._contend(now_s, rank)
        if self._is_outranked(now_s, rank):
            return Action.RELEASE
        if now_s - self._renewal_sent_s >= self.bounds.renewal_s:
            return Action.RENEW
        return Action.WAIT

    def next_row(self, action: Action) -> LeaseRow:
        """Return the row that the action writes over the one last read."""
        row = self.row or LeaseRow()
        if action is Action.TAKE:
            token = row.token + 1
            return attrs.evolve(row, holder=self.instance_id, token=token, renewals=0)
        if action is Action.RELEASE:
            return attrs.evolve(row, holder="", renewals=row.renewals + 1)
        return attrs.evolve(row, renewals=row.renewals + 1)

    def _contend(self, now_s: float, rank: int) -> Action:
        prompt = rank < self.bounds.prompt_contenders
        poll_s = self.bounds.poll_s if prompt else self.bounds.slow_poll_s
        if now_s - self._read_s >= POLL_SLACK * poll_s:
            return Action.POLL
        if self._is_free(now_s, rank):
            return Action.TAKE
        return Action.WAIT

    def _is_free(self, now_s: float, rank: int) -> bool:
        unchanged_s = now_s - self._unchanged_since_s
        if self.row is not None and self.row.holder:
            return unchanged_s >= self.bounds.lease_s
        return (
            unchanged_s >= min(rank, self.bounds.prompt_contenders) * self.bounds.poll_s
        )

    def _is_outranked(self, now_s: float, rank: int) -> bool:
        if rank == 0:
            self._outranked_since_s = None
            return False
        if self._outranked_since_s is None:
            self._outranked_since_s = now_s
        return now_s - self._outranked_since_s >= self.bounds.settle_s

    def _was_suspended(self, now_s: float) -> bool:
        if self._checked_s is None:
            return False
        return now_s - self._checked_s > self.bounds.freeze_s
