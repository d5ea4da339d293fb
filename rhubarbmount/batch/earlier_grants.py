"""When the leases that earlier holders granted have lapsed; free of I/O."""

import attrs

from rhubarbmount.batch.election import LapseBound
from rhubarbmount.batch.silent_servers import SilentServers

__all__ = ["EarlierGrants"]

RECORDED = "recorded"


@attrs.define(eq=False)
class EarlierGrants:
    """Bounds on the leases that earlier holders granted, by backend server.

    ``bound`` holds for every server; a record of a single one may be earlier.
    """

    bound: LapseBound
    silent: SilentServers

    def bound_of(self, server_id: str, now_s: float) -> LapseBound:
        """Return the earliest bound for a backend server."""
        lapses_in_s = self.silent.lapses_in_s(server_id)
        if lapses_in_s is None or now_s + lapses_in_s >= self.bound.at_s:
            return self.bound
        return LapseBound(now_s + lapses_in_s, RECORDED)
