"""Idempotency keys of requests, and which requests must claim theirs."""

from rhubarbmount.entries import Service
from rhubarbmount.http import HttpRequest, header_value
from rhubarbmount.problem import Outcome

__all__ = ["claim_key", "has_invalid_key", "idempotency_key", "outcome_before_claim"]

IDEMPOTENCY_KEY_HEADER = b"idempotency-key"


def idempotency_key(request: HttpRequest) -> str | None:
    """Return the request's idempotency key, or None.

    >>> idempotency_key(HttpRequest("POST", "/quotes", [(b"idempotency-key", b"k")]))
    'k'
    """
    return header_value(request.headers, IDEMPOTENCY_KEY_HEADER)


def claim_key(service: Service, request: HttpRequest) -> str | None:
    """Return the key to claim before dispatch, or None if no claim is needed."""
    if request.method in service.idempotent_methods:
        return None
    return idempotency_key(request)


def has_invalid_key(request: HttpRequest) -> bool:
    """Return whether the request has an empty idempotency key or more than one."""
    keys = [value for name, value in request.headers if name == IDEMPOTENCY_KEY_HEADER]
    return len(keys) > 1 or b"" in keys


def outcome_before_claim(key: str | None) -> Outcome:
    """Return the outcome of a request that is refused before its key is claimed.

    With a key it is unknown, as an earlier attempt with the same key may have run.
    """
    return Outcome.NOT_RUN if key is None else Outcome.UNKNOWN
