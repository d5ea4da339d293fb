"""Routing decisions and their reasons."""

from enum import StrEnum

import attrs

from rhubarbmount.strategies import Backend

__all__ = ["RouteDecision", "RouteReason"]


class RouteReason(StrEnum):
    """Why a request was routed to a backend server, or to none."""

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
    """The chosen backend server, if any, the reason, and how many were available."""

    backend: Backend | None
    reason: RouteReason
    available: int
