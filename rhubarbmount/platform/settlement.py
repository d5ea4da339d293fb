"""Settles transactions whose answers were lost, through the operations table."""

import attrs

from rhubarbmount.platform.interface import (
    Precondition,
    Row,
    Transaction,
    TransactionResult,
    Write,
)

__all__ = [
    "OPERATIONS_TABLE",
    "abort",
    "has_operation_conflict",
    "is_committed",
    "recorded",
    "without_operation",
]

OPERATIONS_TABLE = "operations"
COMMITTED = "committed"
ABORTED = "aborted"


def recorded(transaction: Transaction) -> Transaction:
    """Return the transaction with the insert of its operations row.

    >>> recorded(Transaction("a")).writes[-1].value
    {'state': 'committed'}
    """
    insert = _insert(transaction.operation_id, COMMITTED)
    return attrs.evolve(
        transaction,
        preconditions=transaction.preconditions + insert.preconditions,
        writes=transaction.writes + insert.writes,
    )


def abort(operation_id: str) -> Transaction:
    """Return the transaction that keeps an operation from ever committing."""
    return _insert(operation_id, ABORTED)


def is_committed(row: Row) -> bool:
    """Return whether the operations row records a commit."""
    return row.value["state"] == COMMITTED


def has_operation_conflict(result: TransactionResult, operation_id: str) -> bool:
    """Return whether the operation was already committed or aborted."""
    return (OPERATIONS_TABLE, operation_id) in result.conflicts


def without_operation(result: TransactionResult) -> TransactionResult:
    """Return the result with the conflicts on the caller's own rows only."""
    conflicts = tuple(c for c in result.conflicts if c[0] != OPERATIONS_TABLE)
    return TransactionResult(result.committed, conflicts)


def _insert(operation_id: str, state: str) -> Transaction:
    return Transaction(
        operation_id,
        (Precondition(OPERATIONS_TABLE, operation_id, version=0),),
        (Write(OPERATIONS_TABLE, operation_id, {"state": state}),),
    )
