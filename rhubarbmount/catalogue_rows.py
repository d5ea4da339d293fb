"""The platform rows of the catalogue, and the writes of an edit."""

from collections.abc import Mapping
from typing import Any

from rhubarbmount.catalogue import Snapshot
from rhubarbmount.catalogue_checks import FleetSummary
from rhubarbmount.edits import Edit, Operator
from rhubarbmount.entries import dump_entry
from rhubarbmount.shared_rows import NO_FIELDS
from rhubarbmount.store.interface import Precondition, Write
from rhubarbmount.tables import (
    CATALOGUE_HEAD,
    ENTRIES_TABLE,
    FLEET_HEAD,
    HEADS_TABLE,
    HISTORY_TABLE,
)

__all__ = [
    "edit_preconditions",
    "edit_writes",
    "history_key",
    "operation_key",
]


def history_key(key: str, version: int) -> str:
    """Return the key of a history row.

    The version is zero-padded, so that the rows of an entry sort by version.


    >>> history_key("pool/shared", 12)
    'pool/shared/000000000012'
    """
    return f"{key}/{version:012d}"


def operation_key(edit: Edit) -> str:
    """Return the key of the history row that records the outcome of an edit."""
    return f"operation/{edit.operation_id}"


def edit_writes(
    operator: Operator,
    edit: Edit,
    after: Snapshot,
    object_name: str,
    when_s: float,
    head: Mapping[str, Any] = NO_FIELDS,
) -> tuple[Write, ...]:
    """Return the writes of an edit.

    ``when_s`` is in seconds since the epoch. ``head`` is the present head row, whose
    other fields are kept.
    """
    version = after.version
    entry = after.entry_by_key.get(edit.key)
    values = None if entry is None else dump_entry(entry)
    row = None if values is None else {"version": version, "values": values}
    who = {"operator": operator.name, "when_s": when_s}
    history = {**who, "operation_id": edit.operation_id, "values": values}
    operation = {**who, "key": edit.key, "version": version}
    head = {**head, "version": version, "object": object_name}
    return (
        Write(HEADS_TABLE, CATALOGUE_HEAD, head),
        Write(ENTRIES_TABLE, edit.key, row),
        Write(HISTORY_TABLE, history_key(edit.key, version), history),
        Write(HISTORY_TABLE, operation_key(edit), operation),
    )


def edit_preconditions(
    edit: Edit, head_version: int, fleet: FleetSummary | None
) -> tuple[Precondition, ...]:
    """Return the preconditions under which an edit commits.

    ``head_version`` is the version of the head row that the edit is based on.
    """
    conditions = [
        Precondition(HEADS_TABLE, CATALOGUE_HEAD, version=head_version),
        _entry_precondition(edit),
        Precondition(HISTORY_TABLE, operation_key(edit), version=0),
    ]
    if fleet is not None:
        conditions.append(_fleet_precondition(fleet))
    return tuple(conditions)


def _entry_precondition(edit: Edit) -> Precondition:
    if edit.expected_version == 0:
        return Precondition(ENTRIES_TABLE, edit.key, version=0)
    equals = {"version": edit.expected_version}
    return Precondition(ENTRIES_TABLE, edit.key, equals=equals)


def _fleet_precondition(fleet: FleetSummary) -> Precondition:
    if fleet.version == 0:
        return Precondition(HEADS_TABLE, FLEET_HEAD, version=0)
    return Precondition(HEADS_TABLE, FLEET_HEAD, equals={"version": fleet.version})
