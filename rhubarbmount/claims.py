"""Claim rows, by which each keyed non-idempotent request runs at most once."""

import hashlib
from enum import StrEnum
from typing import Any

import attrs

from rhubarbmount.errors import RhubarbmountError
from rhubarbmount.shared_rows import read_choice
from rhubarbmount.store.interface import Row

__all__ = [
    "HELD",
    "UNAVAILABLE",
    "Claim",
    "ClaimRefused",
    "ClaimState",
    "HeldClaim",
    "ClaimResultCode",
    "ClaimResult",
    "fingerprint",
    "evaluate",
    "load_claim",
    "refusal",
    "row_key",
]

RETRY_AFTER_S = 2.0
KEY_DIGITS = 32


class ClaimState(StrEnum):
    """What is known about the request that a claim was made for."""

    CLAIMED = "claimed"
    FINISHED = "finished"
    UNKNOWN = "unknown"
    RELEASED = "released"


@attrs.frozen(kw_only=True)
class Claim:
    """One attempt to run a keyed request; ``claim_id`` is never reused.

    ``claimed_s`` is in seconds since the epoch; ``status`` is the HTTP status of the
    backend server's response.
    """

    row_key: str
    claim_id: str
    holder: str
    fingerprint: str
    claimed_s: float
    state: ClaimState = ClaimState.CLAIMED
    status: int | None = None

    def values(self) -> dict[str, Any]:
        """Return the plain values of the claim's row."""
        values = attrs.asdict(self)
        del values["row_key"]
        values["state"] = self.state.value
        return values


@attrs.define(eq=False)
class HeldClaim:
    """A held claim; its outcome is unknown until ``ran`` or ``not_run`` is called."""

    claim: Claim

    def ran(self, status: int) -> None:
        """Record that a backend server ran the request and responded."""
        self.claim = attrs.evolve(self.claim, state=ClaimState.FINISHED, status=status)

    def not_run(self) -> None:
        """Record that it is certain that no backend server ran the request."""
        self.claim = attrs.evolve(self.claim, state=ClaimState.RELEASED)


def load_claim(row: Row) -> Claim:
    """Build a claim from its row, ignoring fields added by newer versions."""
    names = [field.name for field in attrs.fields(Claim) if field.name != "row_key"]
    known = {name: row.value[name] for name in names}
    known["state"] = read_choice(known["state"], ClaimState)
    return Claim(row_key=row.key, **known)


def row_key(service: str, idempotency_key: str) -> str:
    """Return the key of a claim's row: bounded in length and evenly distributed.

    >>> row_key("quotes", "order-17")
    'quotes/72a90ea3da8b5dd01bde2f27314e02e2'
    """
    digest = hashlib.sha256(idempotency_key.encode("utf-8", "surrogateescape"))
    return f"{service}/{digest.hexdigest()[:KEY_DIGITS]}"


def fingerprint(method: str, target: str, body: bytes) -> str:
    """Return a digest that tells different requests apart."""
    head = f"{method} {target}\n".encode("utf-8", "surrogateescape")
    return hashlib.sha256(head + body).hexdigest()[:KEY_DIGITS]


class ClaimResultCode(StrEnum):
    """The result of a request's attempt to claim its key."""

    HELD = "held"
    VACANT = "vacant"
    UNFINISHED = "request-unfinished"
    UNKNOWN = "request-outcome-unknown"
    RAN = "request-already-ran"
    KEY_REUSED = "idempotency-key-reused"
    UNAVAILABLE = "claims-unavailable"


@attrs.frozen
class ClaimResult:
    """The code, the outcome of the keyed request and its recorded HTTP status."""

    code: ClaimResultCode
    outcome: str = "unknown"
    status: int | None = None


HELD = ClaimResult(ClaimResultCode.HELD)
VACANT = ClaimResult(ClaimResultCode.VACANT)
UNAVAILABLE = ClaimResult(ClaimResultCode.UNAVAILABLE)

_RESULT_CODES = {
    ClaimState.CLAIMED: ClaimResultCode.UNFINISHED,
    ClaimState.FINISHED: ClaimResultCode.RAN,
    ClaimState.UNKNOWN: ClaimResultCode.UNKNOWN,
    ClaimState.RELEASED: ClaimResultCode.VACANT,
}
_OUTCOMES = {ClaimState.FINISHED: "ran", ClaimState.RELEASED: "not-run"}


def evaluate(wanted: Claim, found: Claim | None) -> ClaimResult:
    """Return the result for a wanted claim, given the existing claim on its key.

    An unfinished claim is never taken over, because its request may have run; nor is
    one whose state was added by a newer version.
    """
    if found is None:
        return VACANT
    outcome = _OUTCOMES.get(found.state, "unknown")
    if found.fingerprint != wanted.fingerprint:
        return ClaimResult(ClaimResultCode.KEY_REUSED, outcome)
    if found.claim_id == wanted.claim_id and found.state is ClaimState.CLAIMED:
        return HELD
    return ClaimResult(
        _RESULT_CODES.get(found.state, ClaimResultCode.UNKNOWN), outcome, found.status
    )


class ClaimRefused(RhubarbmountError):
    """The request must not be dispatched; ``outcome`` is that of its key."""

    def __init__(
        self,
        result: ClaimResult,
        message: str,
        status: int,
        retry_after_s: float | None,
    ) -> None:
        super().__init__(message, code=result.code.value)
        self.outcome = result.outcome
        self.status = status
        self.recorded_status = result.status
        self.retry_after_s = retry_after_s


def refusal(result: ClaimResult) -> ClaimRefused:
    """Return the error for a result that is not HELD.

    >>> error = refusal(UNAVAILABLE)
    >>> error.status, error.code, error.outcome, error.retry_after_s
    (503, 'claims-unavailable', 'unknown', 2.0)
    """
    match result.code:
        case ClaimResultCode.RAN:
            message = f"the request has run; its response had status {result.status}"
            return ClaimRefused(result, message, 409, None)
        case ClaimResultCode.KEY_REUSED:
            message = "the idempotency key was used for a different request"
            return ClaimRefused(result, message, 422, None)
        case ClaimResultCode.UNFINISHED:
            message = "a request with this key is running, or its response was lost"
            return ClaimRefused(result, message, 409, RETRY_AFTER_S)
        case ClaimResultCode.UNKNOWN:
            message = "a request with this key was sent and its response was lost"
            return ClaimRefused(result, message, 409, None)
    message = "cannot check now whether the key was used; send the request again"
    return ClaimRefused(result, message, 503, RETRY_AFTER_S)
