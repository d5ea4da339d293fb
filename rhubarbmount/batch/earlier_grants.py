"""When the leases that earlier holders granted have lapsed; free of I/O."""

import json
from collections.abc import Mapping

import attrs

from rhubarbmount.batch.clocks import ServerClock
from rhubarbmount.batch.record_fields import (
    build_record,
    load_object,
    raises_unreadable_record,
)
from rhubarbmount.batch.silent_servers import SilentServers

__all__ = [
    "CARRIED_OVER",
    "HANDED_OVER",
    "LAST_RENEWAL",
    "EarlierGrants",
    "LapseBound",
    "Takeover",
    "carried_over",
    "decode_takeover",
    "longest_lease",
]

RECORDED = "recorded"
HANDED_OVER = "handed-over"
CARRIED_OVER = "carried-over"
LAST_RENEWAL = "last-renewal"
LONGEST_LEASE = "longest-lease"


@attrs.frozen
class LapseBound:
    """A monotonic time by which earlier grants have lapsed, and what tells it."""

    at_s: float
    source: str


def longest_lease(taken_at_s: float, max_lease_s: float) -> LapseBound:
    """Return the bound for a previous holder that may have granted until the end."""
    last = ServerClock(read_at_s=taken_at_s, granted_ms=int(max_lease_s * 1000))
    return LapseBound(last.lapses_at_s(), LONGEST_LEASE)


@attrs.frozen
class Takeover:
    """What a holder leaves for the next ones when it takes a shard over.

    ``lapses_at_s`` is when all earlier grants have lapsed, on the store's clock. Until
    ``is_recorded`` is set, which is when the holder's record of silent servers is
    stored, the holder grants nothing beyond that time. ``longest_grant_s`` is how long
    after the last renewal of its lease all its own grants have lapsed.
    """

    lapses_at_s: float
    longest_grant_s: float
    is_recorded: bool = False

    def encode(self) -> bytes:
        """Return the value to store."""
        return json.dumps(attrs.asdict(self)).encode("ascii")


@raises_unreadable_record
def decode_takeover(token: str, value: bytes) -> tuple[int, Takeover]:
    """Decode a takeover and its fencing token. Raises UnreadableRecord."""
    return int(token), build_record(Takeover, load_object(value))


def carried_over(takeover_by_token: Mapping[int, Takeover], token: int) -> float | None:
    """Return the earliest time that the last holders left, back from a fencing token.

    It is on the store's clock. A holder that left nothing, or whose record is stored,
    ends the chain, as it may have granted more.
    """
    earliest_s = None
    while True:
        takeover = takeover_by_token.get(token)
        if takeover is None or takeover.is_recorded:
            return earliest_s
        earliest_s = min(takeover.lapses_at_s, earliest_s or takeover.lapses_at_s)
        token -= 1


@attrs.define(eq=False)
class EarlierGrants:
    """Bounds on the leases that earlier holders granted, by backend server.

    ``bound`` holds for every server; a record of a single one may be earlier.
    """

    bound: LapseBound
    silent: SilentServers

    def tighten(self, at_s: float, source: str) -> None:
        """Use a bound for all servers if it is earlier than the present one."""
        if at_s < self.bound.at_s:
            self.bound = LapseBound(at_s, source)

    def bound_of(self, server_id: str, now_s: float) -> LapseBound:
        """Return the earliest bound for a backend server."""
        lapses_in_s = self.silent.lapses_in_s(server_id)
        if lapses_in_s is None or now_s + lapses_in_s >= self.bound.at_s:
            return self.bound
        return LapseBound(now_s + lapses_in_s, RECORDED)
