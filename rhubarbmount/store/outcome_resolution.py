"""Resolution of transactions with lost responses, through the operations table."""

import hashlib

import attrs

from rhubarbmount.store.interface import (
    Precondition,
    Row,
    Transaction,
    TransactionResult,
    Write,
)
from rhubarbmount.tables import OPERATIONS_TABLE

__all__ = [
    "abort",
    "has_operation_conflict",
    "is_committed",
    "operation_key",
    "with_operation",
    "without_operation",
]

KEY_DIGITS = 32
COMMITTED = "committed"
ABORTED = "aborted"


def operation_key(operation_id: str) -> str:
    """Return the key of an operation's row: a hash of bounded length, evenly spread.

    >>> operation_key("a")
    'ca978112ca1bbdcafac231b39a23dc4d'
    """
    return hashlib.sha256(operation_id.encode()).hexdigest()[:KEY_DIGITS]


def with_operation(transaction: Transaction, at_s: float) -> Transaction:
    """Return the transaction extended by the insertion of its operations row.

    >>> with_operation(Transaction("a"), at_s=5.0).writes[-1].value
    {'state': 'committed', 'operation_id': 'a', 'at_s': 5.0}
    """
    insertion = _insert_operation(transaction.operation_id, COMMITTED, at_s)
    return attrs.evolve(
        transaction,
        preconditions=transaction.preconditions + insertion.preconditions,
        writes=transaction.writes + insertion.writes,
    )


def abort(operation_id: str, at_s: float) -> Transaction:
    """Return a transaction that prevents an operation from ever committing."""
    return _insert_operation(operation_id, ABORTED, at_s)


def is_committed(row: Row) -> bool:
    """Return whether the operations row records a commit."""
    return row.value["state"] == COMMITTED


def has_operation_conflict(result: TransactionResult, operation_id: str) -> bool:
    """Return whether the operation was already committed or aborted."""
    return (OPERATIONS_TABLE, operation_key(operation_id)) in result.conflicts


def without_operation(result: TransactionResult) -> TransactionResult:
    """Return the result without the conflicts on the operations table."""
    conflicts = tuple(c for c in result.conflicts if c[0] != OPERATIONS_TABLE)
    return TransactionResult(result.committed, conflicts)


def _insert_operation(operation_id: str, state: str, at_s: float) -> Transaction:
    key = operation_key(operation_id)
    values = {"state": state, "operation_id": operation_id, "at_s": at_s}
    return Transaction(
        operation_id,
        (Precondition(OPERATIONS_TABLE, key, version=0),),
        (Write(OPERATIONS_TABLE, key, values),),
    )
