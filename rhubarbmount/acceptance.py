"""Acceptance of edits: each is one transaction on the platform, or refused."""

import logging
import random
import uuid
from collections.abc import Awaitable, Callable

import attrs
import trio

from rhubarbmount.catalogue import (
    Snapshot,
    decode_snapshot,
    encode_snapshot,
    split_key,
)
from rhubarbmount.catalogue_checks import FleetSummary, check_edit, dependents
from rhubarbmount.edits import Accepted, Edit, Operator
from rhubarbmount.entries import dump_entry
from rhubarbmount.errors import (
    AccessDenied,
    ConflictError,
    FindingsError,
    NotFound,
    OutcomeUnknown,
    PlatformUnavailable,
    Refused,
    RhubarbmountError,
)
from rhubarbmount.explain import DecisionRecorder
from rhubarbmount.log import event
from rhubarbmount.platform.interface import (
    Platform,
    Precondition,
    Row,
    Transaction,
    Write,
)

__all__ = [
    "CATALOGUE_HEAD",
    "ENTRIES_TABLE",
    "HEADS_TABLE",
    "HISTORY_TABLE",
    "Acceptance",
    "history_key",
]

CATALOGUE_HEAD = "catalogue"
ENTRIES_TABLE = "entries"
FLEET_HEAD = "fleet"
HEADS_TABLE = "heads"
HISTORY_TABLE = "history"

MAX_ATTEMPTS = 16
RETRY_DELAY_MAX_S = 0.02

_logger = logging.getLogger(__name__)


@attrs.frozen
class _Head:
    """The head row as read, and the snapshot that it names."""

    row: Row | None
    snapshot: Snapshot

    @property
    def row_version(self) -> int:
        """Return the version of the row, 0 before the first edit."""
        return 0 if self.row is None else self.row.version


def history_key(key: str, version: int) -> str:
    """Return the key of a history row; an entry's rows sort by version.

    >>> history_key("pool/shared", 12)
    'pool/shared/000000000012'
    """
    return f"{key}/{version:012d}"


def _no_version() -> int:
    return 0


@attrs.define
class Acceptance:
    """Accept edits; ``summarise_fleet`` gives the fleet's size, if it is known.

    ``on_accepted`` is called with the snapshot of each edit that is committed. On a
    head that is behind ``version_in_force`` nothing is accepted, since no entry host
    would take it.

    ``wall_clock`` returns seconds since the epoch, for the history.
    """

    platform: Platform
    wall_clock: Callable[[], float]
    summarise_fleet: Callable[[], Awaitable[FleetSummary | None]] | None = None
    on_accepted: Callable[[Snapshot], object] | None = None
    version_in_force: Callable[[], int] = _no_version
    recorder: DecisionRecorder = attrs.field(factory=DecisionRecorder)
    seed: int | None = None
    _cached: Snapshot = attrs.field(factory=Snapshot, init=False)
    _cached_object: str = attrs.field(default="", init=False)
    _lock: trio.Lock = attrs.field(factory=trio.Lock, init=False)
    _random: random.Random = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._random = random.Random(self.seed)

    async def apply(self, operator: Operator, edit: Edit) -> Accepted:
        """Return once the edit is committed.

        Raises AccessDenied, FindingsError, ConflictError, Refused or
        PlatformUnavailable when nothing was done, and OutcomeUnknown when the edit
        may be accepted; a repeat with the same operation id then tells.
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

    async def _apply(self, operator: Operator, edit: Edit) -> Accepted:
        doubtful_version: int | None = None
        for _ in range(MAX_ATTEMPTS):
            try:
                head = await self._read_head()
                earlier = await self._find_earlier(operator, edit)
                if earlier is not None:
                    return earlier
                if head.row_version != doubtful_version:
                    doubtful_version = None
                if await self._attempt(operator, edit, head):
                    version = head.snapshot.version + 1
                    return Accepted(version, edit.key, edit.operation_id)
            except OutcomeUnknown:
                doubtful_version = head.row_version
            except RhubarbmountError as error:
                if doubtful_version is None:
                    raise
                raise _unknown(edit) from error
            await trio.sleep(self._random.random() * RETRY_DELAY_MAX_S)
        if doubtful_version is not None:
            raise _unknown(edit)
        if head.snapshot.version < self.version_in_force():
            raise Refused("the platform's head was put back", code="head-behind")
        raise ConflictError("other edits keep winning; try again", code="contended")

    async def _read_head(self) -> _Head:
        row = await self.platform.read(HEADS_TABLE, CATALOGUE_HEAD)
        if row is None:
            return _Head(None, Snapshot())
        name = row.value["object"]
        if name != self._cached_object:
            body = await self.platform.get_object(name)
            if body is None:
                raise PlatformUnavailable(f"object {name} can't be read")
            self._cached = decode_snapshot(body)
            self._cached_object = name
        return _Head(row, self._cached)

    async def _find_earlier(self, operator: Operator, edit: Edit) -> Accepted | None:
        """Return the acceptance of an earlier attempt; read after the head."""
        row = await self.platform.read(HISTORY_TABLE, _operation_key(edit))
        if row is None:
            return None
        if (row.value["key"], row.value["operator"]) != (edit.key, operator.name):
            raise ConflictError(
                f"operation id {edit.operation_id} was used for another edit",
                code="operation-id-reused",
            )
        return Accepted(row.value["version"], edit.key, edit.operation_id)

    async def _attempt(self, operator: Operator, edit: Edit, head: _Head) -> bool:
        """Try to commit on top of the head; only one attempt on a head can."""
        if head.snapshot.version < self.version_in_force():
            return False
        _check_owner(operator, edit, head.snapshot)
        _check_version(edit, head.snapshot)
        after = _next_snapshot(edit, head.snapshot)
        fleet = await self._summarise_fleet(edit)
        faults = check_edit(head.snapshot, after, fleet)
        if faults:
            raise FindingsError(faults)
        attempt_id = f"{edit.operation_id}-{uuid.uuid4().hex[:12]}"
        object_name = f"catalogue/{after.version}-{attempt_id}"
        await self._put(object_name, encode_snapshot(after))
        result = await self.platform.transact(
            Transaction(
                attempt_id,
                _preconditions(edit, head, fleet),
                self._writes(operator, edit, after, object_name),
            )
        )
        if result.committed:
            self._note_committed(after, object_name)
        return result.committed

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

    def _writes(
        self, operator: Operator, edit: Edit, after: Snapshot, object_name: str
    ) -> tuple[Write, ...]:
        version = after.version
        values = None if edit.entry is None else dump_entry(edit.entry)
        row = None if values is None else {"version": version, "values": values}
        who = {"operator": operator.name, "when_s": self.wall_clock()}
        history = {**who, "operation_id": edit.operation_id, "values": values}
        operation = {**who, "key": edit.key, "version": version}
        return (
            Write(
                HEADS_TABLE, CATALOGUE_HEAD, {"version": version, "object": object_name}
            ),
            Write(ENTRIES_TABLE, edit.key, row),
            Write(HISTORY_TABLE, history_key(edit.key, version), history),
            Write(HISTORY_TABLE, _operation_key(edit), operation),
        )

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


def _operation_key(edit: Edit) -> str:
    return f"operation/{edit.operation_id}"


def _unknown(edit: Edit) -> OutcomeUnknown:
    return OutcomeUnknown(
        f"operation {edit.operation_id} may be accepted; repeat it to learn"
    )


def _check_owner(operator: Operator, edit: Edit, before: Snapshot) -> None:
    current = before.by_key.get(edit.key)
    for entry in (current, edit.entry):
        if entry is not None and entry.owner not in operator.owners:
            raise AccessDenied(
                f"{operator.name} may not edit {edit.key} of owner {entry.owner}"
            )


def _check_version(edit: Edit, before: Snapshot) -> None:
    version = before.entry_version(edit.key)
    if edit.entry is None and version == 0:
        raise NotFound(f"no entry {edit.key}")
    if version != edit.expected_version:
        raise ConflictError(
            f"{edit.key} is at version {version}, not {edit.expected_version}",
            code="version-conflict",
        )


def _next_snapshot(edit: Edit, before: Snapshot) -> Snapshot:
    if edit.entry is not None:
        kind, _ = split_key(edit.key)
        return before.with_entry(kind, edit.entry)
    others = dependents(before, edit.key)
    if others:
        raise Refused(
            f"{edit.key} is named by {', '.join(others)}", code="has-dependents"
        )
    return before.without_entry(edit.key)


def _preconditions(
    edit: Edit, head: _Head, fleet: FleetSummary | None
) -> tuple[Precondition, ...]:
    conditions = [
        Precondition(HEADS_TABLE, CATALOGUE_HEAD, version=head.row_version),
        _entry_precondition(edit),
        Precondition(HISTORY_TABLE, _operation_key(edit), version=0),
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
