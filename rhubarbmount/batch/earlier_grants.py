"""When the leases that earlier holders granted have lapsed; free of I/O."""

import json
import logging
from collections.abc import Mapping

import attrs

from rhubarbmount import log
from rhubarbmount.batch.clocks import ServerClock
from rhubarbmount.batch.silent_servers import SilentServers

__all__ = [
    "CARRIED_OVER",
    "HANDED_OVER",
    "EarlierGrants",
    "LapseBound",
    "carried_over",
    "encode_takeover",
    "longest_lease",
]

logger = logging.getLogger(__name__)

RECORDED = "recorded"
HANDED_OVER = "handed-over"
CARRIED_OVER = "carried-over"
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


def encode_takeover(lapses_at_s: float) -> bytes:
    """Encode when the grants before a takeover lapse, by the store's clock."""
    return json.dumps({"lapses_at_s": lapses_at_s}).encode("ascii")


def _decode_takeover(value: bytes | None) -> float | None:
    """Return when the grants before a takeover lapse, or None if that is unknown."""
    if value is None:
        return None
    try:
        return float(json.loads(value)["lapses_at_s"])
    except (ValueError, TypeError, KeyError):
        log.event(
            logger, "takeover-unreadable", logging.WARNING, value=repr(value[:80])
        )
        return None


def carried_over(value_by_token: Mapping[str, bytes], token: int) -> float | None:
    """Return the earliest time that the last holders left, back from a fencing token.

    It is on the store's clock. A holder leaves a row of its takeover only until its
    record of silent servers is stored, and until then grants nothing beyond that time.
    A row that is missing or can't be read ends the chain, as the holder that it belongs
    to may have granted more.
    """
    earliest_s = None
    while True:
        lapses_at_s = _decode_takeover(value_by_token.get(str(token)))
        if lapses_at_s is None:
            return earliest_s
        earliest_s = min(lapses_at_s, earliest_s or lapses_at_s)
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
