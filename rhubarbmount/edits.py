"""Edits of catalogue entries, and the operators authorised to make them."""

import hashlib
import logging
import uuid
from collections.abc import Callable, Mapping
from typing import Any

import attrs

from rhubarbmount.catalogue import Snapshot, build_entry, split_key
from rhubarbmount.catalogue_checks import dependents
from rhubarbmount.entries import Entry, UnknownEntry, dump_entry, entry_key
from rhubarbmount.errors import AccessDenied, ConflictError, NotFound, Refused
from rhubarbmount.log import event
from rhubarbmount.router import ApiRequest
from rhubarbmount.shared_rows import unknown_names

__all__ = [
    "CommittedEdit",
    "Edit",
    "Authenticate",
    "Operator",
    "Operators",
    "check_owner",
    "check_version",
    "next_snapshot",
]

_logger = logging.getLogger(__name__)


@attrs.frozen
class Operator:
    """An authenticated operator, and the owners whose entries they may edit."""

    name: str
    owners: frozenset[str]


Authenticate = Callable[[ApiRequest], Operator]


@attrs.frozen
class Operators:
    """The known operators by the SHA-256 digest of their tokens.

    >>> digest = Operators.digest("s3cret")
    >>> operators = Operators({digest: Operator("ana", frozenset({"firm-a"}))})
    >>> operators.authenticate("s3cret").name
    'ana'
    """

    by_token_digest: Mapping[str, Operator]

    @staticmethod
    def digest(token: str) -> str:
        """Return the hex digest by which the settings identify a token."""
        return hashlib.sha256(token.encode()).hexdigest()

    def authenticate(self, token: str) -> Operator:
        """Return the operator with a token. Raises AccessDenied if there is none."""
        operator = self.by_token_digest.get(self.digest(token))
        if operator is None:
            event(_logger, "edit-denied", logging.WARNING, reason="unknown-token")
            raise AccessDenied("unknown token", code="unknown-token")
        return operator


@attrs.frozen(kw_only=True)
class Edit:
    """A request to write an entry, or to remove it if ``entry`` is None.

    ``expected_version`` is the catalogue version that last changed the entry, or 0 if
    the entry must not exist yet. Repeats with the same operation id are idempotent.
    """

    key: str
    entry: Entry | None
    expected_version: int
    operation_id: str = attrs.field(factory=lambda: uuid.uuid4().hex)

    @classmethod
    def from_values(
        cls,
        kind: str,
        values: dict[str, Any],
        expected_version: int,
        operation_id: str,
        stored: Entry | None = None,
    ) -> "Edit":
        """Build an edit from plain values. Raises FindingsError.

        Fields and values unknown to this version are accepted only if they equal those
        of ``stored``.
        """
        entry = _build(kind, values, stored)
        return cls(
            key=entry_key(kind, entry.name),
            entry=entry,
            expected_version=expected_version,
            operation_id=operation_id,
        )


@attrs.frozen
class CommittedEdit:
    """A committed edit and the catalogue version that it produced."""

    version: int
    key: str
    operation_id: str


def check_owner(operator: Operator, edit: Edit, before: Snapshot) -> None:
    """Raise AccessDenied if the entry's old or new owner is not the operator's."""
    current = before.entry_by_key.get(edit.key)
    for entry in (current, edit.entry):
        if entry is not None and entry.owner not in operator.owners:
            raise AccessDenied(
                f"{operator.name} may not edit {edit.key}, owned by {entry.owner}"
            )


def check_version(edit: Edit, before: Snapshot) -> None:
    """Raise NotFound or ConflictError if the entry is not at the expected version."""
    version = before.entry_version(edit.key)
    if edit.entry is None and version == 0:
        raise NotFound(f"no entry {edit.key}")
    if version != edit.expected_version:
        raise ConflictError(
            f"{edit.key} is at version {version}, expected {edit.expected_version}",
            code="version-conflict",
        )


def next_snapshot(edit: Edit, before: Snapshot) -> Snapshot:
    """Return the snapshot after an edit. Raises Refused.

    Fields of the entry that are unknown to this version are preserved.
    """
    kind, _ = split_key(edit.key)
    current = before.entry_by_key.get(edit.key)
    if edit.entry is not None:
        unknown = edit.entry.unknown if current is None else current.unknown
        entry = attrs.evolve(edit.entry, unknown=unknown)
        return before.with_entry(kind, entry)
    if isinstance(current, UnknownEntry):
        message = f"entries of kind {kind} are not supported by this version"
        raise Refused(message, code="newer-kind")
    others = dependents(before, edit.key)
    if others:
        raise Refused(
            f"{edit.key} is referred to by {', '.join(others)}", code="has-dependents"
        )
    return before.without_entry(edit.key)


def _build(kind: str, values: dict[str, Any], stored: Entry | None) -> Entry:
    if stored is None:
        return build_entry(kind, values)
    as_stored = dump_entry(stored)
    passed_back = {
        name
        for name in unknown_names(stored) & values.keys()
        if values[name] == as_stored[name]
    }
    known = {name: values[name] for name in values if name not in passed_back}
    choices = {name: getattr(stored, name) for name in passed_back - {*stored.unknown}}
    return attrs.evolve(build_entry(kind, known), **choices)
