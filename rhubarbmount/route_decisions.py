"""Where a request goes, and why."""

from enum import StrEnum

import attrs

from rhubarbmount.strategies import Backend

__all__ = ["RouteDecision", "RouteReason"]


class RouteReason(StrEnum):
    """Why a request went where it went, or nowhere."""

    LOCAL = "local"
    SPILL_FULL = "spill-local-full"
    SPILL_ABSENT = "spill-no-local"
    SPILL_UNSOUND = "spill-local-unsound"
    ALL_TRIED = "all-tried"
    ALL_FULL = "all-full"
    ALL_OUT = "all-out"
    NO_BACKEND = "no-backend-server"


@attrs.define
class RouteDecision:
    """The backend server chosen, if any, with the reason and the room there was."""

    backend: Backend | None
    reason: RouteReason
    available: int
