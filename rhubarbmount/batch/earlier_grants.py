"""When the leases that earlier holders granted have lapsed; free of I/O."""

from collections.abc import Callable

import attrs

from rhubarbmount.batch.clocks import monotonic_s
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
    monotonic_s: Callable[[], float] = monotonic_s

    def bound_of(self, server_id: str) -> LapseBound:
        """Return the earliest bound for a backend server."""
        lapses_in_s = self.silent.lapses_in_s(server_id)
        if lapses_in_s is None:
            return self.bound
        # Read after the store's clock, as the host may be paused between the two.
        at_s = self.monotonic_s() + lapses_in_s
        return self.bound if at_s >= self.bound.at_s else LapseBound(at_s, RECORDED)
