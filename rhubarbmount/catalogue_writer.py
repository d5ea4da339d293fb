"""Commits catalogue edits, each as one transaction on the platform."""

import logging
import random
import uuid
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import attrs
import trio

from rhubarbmount.catalogue import (
    Snapshot,
    decode_snapshot,
    encode_snapshot,
    split_key,
)
from rhubarbmount.catalogue_checks import FleetSummary, check_edit
from rhubarbmount.catalogue_rows import edit_preconditions, edit_writes, operation_key
from rhubarbmount.edits import (
    CommittedEdit,
    Edit,
    Operator,
    check_owner,
    check_version,
    next_snapshot,
)
from rhubarbmount.errors import (
    AccessDenied,
    ConflictError,
    FindingsError,
    OutcomeUnknown,
    PlatformUnavailable,
    Refused,
    RhubarbmountError,
)
from rhubarbmount.explain import DecisionRecorder
from rhubarbmount.log import event
from rhubarbmount.shared_rows import FORMAT, NO_FIELDS
from rhubarbmount.store.interface import (
    Platform,
    Row,
    Transaction,
)
from rhubarbmount.tables import CATALOGUE_HEAD, HEADS_TABLE, HISTORY_TABLE

__all__ = ["CatalogueWriter"]

MAX_ATTEMPTS = 16
RETRY_DELAY_MAX_S = 0.02

_logger = logging.getLogger(__name__)


@attrs.frozen
class _Head:
    """The head row as read, and the snapshot that it refers to."""

    row: Row | None
    snapshot: Snapshot

    @property
    def values(self) -> Mapping[str, Any]:
        """Return the values of the row; empty before the first edit."""
        return NO_FIELDS if self.row is None else self.row.value

    @property
    def row_version(self) -> int:
        """Return the version of the row, 0 before the first edit."""
        return 0 if self.row is None else self.row.version


def _no_version() -> int:
    return 0


def _own_format() -> int:
    return FORMAT


@attrs.define
class CatalogueWriter:
    """Validates edits and commits them to the platform.

    ``summarise_fleet`` returns the number of hosts by pool, or None if it is unknown.
    ``on_accepted`` is called with the snapshot of each committed edit. Nothing is
    committed on top of a head that is behind ``version_in_force``, because no entry
    host would adopt the result.

    ``lowest_format`` returns the latest format that all entry hosts support; an edit
    that needs a later one is refused.

    ``wall_clock`` returns seconds since the epoch, for the history.
    """

    platform: Platform
    wall_clock: Callable[[], float]
    summarise_fleet: Callable[[], Awaitable[FleetSummary | None]] | None = None
    on_accepted: Callable[[Snapshot], object] | None = None
    version_in_force: Callable[[], int] = _no_version
    lowest_format: Callable[[], int] = _own_format
    recorder: DecisionRecorder = attrs.field(factory=DecisionRecorder)
    seed: int | None = None
    _cached: Snapshot = attrs.field(factory=Snapshot, init=False)
    _cached_object: str = attrs.field(default="", init=False)
    _lock: trio.Lock = attrs.field(factory=trio.Lock, init=False)
    _random: random.Random = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._random = random.Random(self.seed)

    async def apply(self, operator: Operator, edit: Edit) -> CommittedEdit:
        """Commit an edit and return its catalogue version.

        Raises AccessDenied, FindingsError, ConflictError, Refused or
        PlatformUnavailable if nothing was written, and OutcomeUnknown if the edit may
        have been committed; repeating it with the same operation id resolves that.
        """
        try:
            async with self._lock:
                accepted = await self._apply(operator, edit)
        except (AccessDenied, OutcomeUnknown) as error:
            self._log(operator, edit, error.code, logging.WARNING)
            self._record(operator, edit, error.code, error.message)
            raise
        except RhubarbmountError as error:
            self._log(operator, edit, error.code, logging.INFO)
            self._record(operator, edit, error.code, error.message)
            raise
        self._log(operator, edit, "accepted", logging.INFO, accepted.version)
        self._record(operator, edit, "accepted", version=accepted.version)
        return accepted

    async def _apply(self, operator: Operator, edit: Edit) -> CommittedEdit:
        unknown_outcome_version: int | None = None
        for _ in range(MAX_ATTEMPTS):
            try:
                head = await self._read_head()
                earlier = await self._find_committed(operator, edit)
                if earlier is not None:
                    return earlier
                if head.row_version != unknown_outcome_version:
                    unknown_outcome_version = None
                if await self._attempt(operator, edit, head):
                    version = head.snapshot.version + 1
                    return CommittedEdit(version, edit.key, edit.operation_id)
            except OutcomeUnknown:
                unknown_outcome_version = head.row_version
            except RhubarbmountError as error:
                if unknown_outcome_version is None:
                    raise
                raise _outcome_unknown(edit) from error
            await trio.sleep(self._random.random() * RETRY_DELAY_MAX_S)
        if unknown_outcome_version is not None:
            raise _outcome_unknown(edit)
        if head.snapshot.version < self.version_in_force():
            raise Refused(
                "the catalogue head on the platform was reverted to an older version",
                code="head-behind",
            )
        raise ConflictError(
            "concurrent edits were committed first on every attempt; try again",
            code="contended",
        )

    async def _read_head(self) -> _Head:
        row = await self.platform.read(HEADS_TABLE, CATALOGUE_HEAD)
        if row is None:
            return _Head(None, Snapshot())
        name = row.value["object"]
        if name != self._cached_object:
            body = await self.platform.get_object(name)
            if body is None:
                raise PlatformUnavailable(f"object {name} cannot be read")
            self._cached = decode_snapshot(body)
            self._cached_object = name
        return _Head(row, self._cached)

    async def _find_committed(
        self, operator: Operator, edit: Edit
    ) -> CommittedEdit | None:
        """Return the result of an earlier attempt that was committed, if any.

        Has to be called after the head was read.
        """
        row = await self.platform.read(HISTORY_TABLE, operation_key(edit))
        if row is None:
            return None
        if (row.value["key"], row.value["operator"]) != (edit.key, operator.name):
            raise ConflictError(
                f"operation id {edit.operation_id} was already used for another edit",
                code="operation-id-reused",
            )
        return CommittedEdit(row.value["version"], edit.key, edit.operation_id)

    async def _attempt(self, operator: Operator, edit: Edit, head: _Head) -> bool:
        """Try to commit on top of a head; at most one attempt per head succeeds."""
        if head.snapshot.version < self.version_in_force():
            return False
        check_owner(operator, edit, head.snapshot)
        check_version(edit, head.snapshot)
        after = next_snapshot(edit, head.snapshot)
        fleet = await self._summarise_fleet(edit)
        self._check_format(after)
        faults = check_edit(head.snapshot, after, fleet)
        if faults:
            raise FindingsError(faults)
        attempt_id = f"{edit.operation_id}-{uuid.uuid4().hex[:12]}"
        object_name = f"catalogue/{after.version}-{attempt_id}"
        await self._put(object_name, encode_snapshot(after))
        result = await self.platform.transact(
            Transaction(
                attempt_id,
                edit_preconditions(edit, head.row_version, fleet),
                edit_writes(
                    operator, edit, after, object_name, self.wall_clock(), head.values
                ),
            )
        )
        if result.committed:
            self._note_committed(after, object_name)
        return result.committed

    def _check_format(self, after: Snapshot) -> None:
        known = max(1, self.lowest_format())
        if after.format > known:
            raise Refused(
                f"the entry needs format {after.format}, but some entry hosts support"
                f" only {known}; 'status' lists them",
                code="older-entry-hosts",
            )

    def _note_committed(self, snapshot: Snapshot, object_name: str) -> None:
        self._cached = snapshot
        self._cached_object = object_name
        if self.on_accepted is not None:
            self.on_accepted(snapshot)

    async def _summarise_fleet(self, edit: Edit) -> FleetSummary | None:
        kind, _ = split_key(edit.key)
        if kind != "pool" or self.summarise_fleet is None:
            return None
        return await self.summarise_fleet()

    async def _put(self, name: str, body: bytes) -> None:
        try:
            await self.platform.put_object(name, body)
        except OutcomeUnknown as error:
            raise PlatformUnavailable(f"object {name} was not stored") from error

    def _record(
        self,
        operator: Operator,
        edit: Edit,
        code: str,
        reason: str = "",
        version: int | None = None,
    ) -> None:
        expected = edit.expected_version
        self.recorder.record(
            "entry",
            edit.key,
            code,
            reason,
            version,
            operator=operator.name,
            expected_version=expected,
        )

    def _log(
        self, operator: Operator, edit: Edit, result: str, level: int, version: int = 0
    ) -> None:
        event(
            _logger,
            "edit",
            level,
            entry=edit.key,
            operator=operator.name,
            operation=edit.operation_id,
            result=result,
            version=version or None,
        )


def _outcome_unknown(edit: Edit) -> OutcomeUnknown:
    return OutcomeUnknown(
        f"operation {edit.operation_id} may have been committed;"
        " repeat it with the same operation id to find out"
    )
