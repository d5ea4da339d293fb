"""Edits of catalogue entries, and the operators who may make them."""

import hashlib
import logging
import uuid
from collections.abc import Mapping
from typing import Any

import attrs

from rhubarbmount.catalogue import build_entry
from rhubarbmount.entries import Entry, entry_key
from rhubarbmount.errors import AccessDenied
from rhubarbmount.log import event

__all__ = ["Accepted", "Edit", "Operator", "Operators"]

_logger = logging.getLogger(__name__)


@attrs.frozen
class Operator:
    """Who calls, and the owners whose entries they may edit."""

    name: str
    owners: frozenset[str]


@attrs.frozen
class Operators:
    """The operators, found by the SHA-256 digest of their tokens.

    >>> digest = Operators.digest("s3cret")
    >>> operators = Operators({digest: Operator("ana", frozenset({"firm-a"}))})
    >>> operators.identify("s3cret").name
    'ana'
    """

    by_token_digest: Mapping[str, Operator]

    @staticmethod
    def digest(token: str) -> str:
        """Return the digest under which settings name a token."""
        return hashlib.sha256(token.encode()).hexdigest()

    def identify(self, token: str) -> Operator:
        """Return the token's operator, or raise AccessDenied."""
        operator = self.by_token_digest.get(self.digest(token))
        if operator is None:
            event(_logger, "edit-denied", logging.WARNING, reason="unknown-token")
            raise AccessDenied("the token is not known", code="unknown-token")
        return operator


@attrs.frozen(kw_only=True)
class Edit:
    """A wish to write an entry, or to remove it when ``entry`` is None.

    ``expected_version`` is the catalogue version that last changed the entry, 0 for
    one that must not exist. Repeats with the same operation id are idempotent.
    """

    key: str
    entry: Entry | None
    expected_version: int
    operation_id: str = attrs.field(factory=lambda: uuid.uuid4().hex)

    @classmethod
    def from_values(
        cls, kind: str, values: dict[str, Any], expected_version: int, operation_id: str
    ) -> "Edit":
        """Build an edit from plain values, or raise FindingsError."""
        entry = build_entry(kind, values)
        return cls(
            key=entry_key(kind, entry.name),
            entry=entry,
            expected_version=expected_version,
            operation_id=operation_id,
        )


@attrs.frozen
class Accepted:
    """The edit is committed; ``version`` is the catalogue version that holds it."""

    version: int
    key: str
    operation_id: str
