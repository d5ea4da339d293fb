"""A bounded in-memory history of decisions, used to explain the present state."""

import logging
import time
from collections import OrderedDict, defaultdict
from collections.abc import Callable, Mapping
from typing import Any

import attrs

from rhubarbmount.decisions import Decision, Explanation
from rhubarbmount.log import event

__all__ = ["DecisionMemory", "DecisionRecorder"]

logger = logging.getLogger(__name__)

DECISIONS_LIMIT_BY_KIND = {"host": 6144, "pool": 512, "job": 4096, "entry": 1024}
DECISIONS_PER_SUBJECT = 8
MAX_TEXT_LENGTH = 200


@attrs.define
class _StoredDecision:
    """A decision in its most compact form, to save memory."""

    code: str
    reason: str
    names: tuple[str, ...]
    values: tuple[Any, ...]
    catalogue_version: int
    time_s: float
    first_s: float
    repeats: int = 1

    def repeat(self, decision: Decision) -> bool:
        """Count an equal decision as a repeat; return False if it differs.

        Inputs are not compared: those of the latest decision replace the former.
        """
        if (self.code, self.reason, self.catalogue_version) != (
            decision.code,
            decision.reason,
            decision.catalogue_version,
        ):
            return False
        self.names = _intern_names(decision.inputs)
        self.values = _truncated_values(decision.inputs)
        self.time_s = decision.time_s
        self.repeats += 1
        return True

    def decision(self, kind: str, subject_id: str) -> Decision:
        """Convert to a Decision."""
        return Decision(
            kind=kind,
            subject_id=subject_id,
            code=self.code,
            reason=self.reason,
            inputs=dict(zip(self.names, self.values, strict=True)),
            catalogue_version=self.catalogue_version,
            time_s=self.time_s,
            first_s=self.first_s,
            repeats=self.repeats,
        )


@attrs.define
class _Subjects:
    """The decisions on the subjects of one kind, the latest decided subject last.

    ``decisions`` is the number of decisions on all subjects.
    """

    by_id: OrderedDict[str, list[_StoredDecision]] = attrs.field(factory=OrderedDict)
    decisions: int = 0

    def touch(self, subject_id: str) -> list[_StoredDecision]:
        """Return a subject's decisions, and mark it as the latest decided."""
        stored = self.by_id.get(subject_id)
        if stored is None:
            stored = self.by_id[subject_id] = []
        else:
            self.by_id.move_to_end(subject_id)
        return stored

    def evict_beyond(self, limit: int) -> None:
        """Evict the least recently decided subjects while decisions exceed the limit.

        The latest decided subject always stays.
        """
        while self.decisions > limit and len(self.by_id) > 1:
            _, evicted = self.by_id.popitem(last=False)
            self.decisions -= len(evicted)


NO_SUBJECTS = _Subjects()


@attrs.define
class DecisionMemory:
    """Keeps the latest decisions on the most recently decided subjects of each kind.

    >>> memory = DecisionMemory()
    >>> memory.record(Decision(kind="job", subject_id="j1", code="wait", reason="full"))
    >>> memory.explain("job", "j1").reason
    'full'
    """

    limit_by_kind: Mapping[str, int] = attrs.field(factory=DECISIONS_LIMIT_BY_KIND.copy)
    decisions_limit: int = DECISIONS_PER_SUBJECT
    _subjects_by_kind: dict[str, _Subjects] = attrs.field(
        factory=lambda: defaultdict(_Subjects), init=False
    )

    def record(self, decision: Decision, *, logged: bool = True) -> None:
        """Store a decision, and log it if ``logged`` unless it repeats the last one.

        Decisions on a subject whose id is longer than MAX_TEXT_LENGTH are dropped.
        """
        if len(decision.subject_id) > MAX_TEXT_LENGTH:
            return
        subjects = self._subjects_by_kind[decision.kind]
        stored = subjects.touch(decision.subject_id)
        if len(decision.reason) > MAX_TEXT_LENGTH:
            decision = attrs.evolve(decision, reason=decision.reason[:MAX_TEXT_LENGTH])
        if stored and stored[-1].repeat(decision):
            return
        stored.append(_store(decision))
        if len(stored) > self.decisions_limit:
            del stored[0]
        else:
            subjects.decisions += 1
            subjects.evict_beyond(self.limit_by_kind[decision.kind])
        if logged:
            _log(decision)

    def explain(self, kind: str, subject_id: str) -> Explanation:
        """Return the stored decisions about a subject, oldest first."""
        subjects = self._subjects_by_kind.get(kind, NO_SUBJECTS)
        stored = subjects.by_id.get(subject_id, ())
        decisions = tuple(item.decision(kind, subject_id) for item in stored)
        return Explanation(kind, subject_id, decisions)

    def __len__(self) -> int:
        return sum(len(subjects.by_id) for subjects in self._subjects_by_kind.values())


_interned_names: dict[tuple[str, ...], tuple[str, ...]] = {}


def _store(decision: Decision) -> _StoredDecision:
    return _StoredDecision(
        decision.code,
        decision.reason,
        _intern_names(decision.inputs),
        _truncated_values(decision.inputs),
        decision.catalogue_version,
        decision.time_s,
        decision.first_s,
        decision.repeats,
    )


def _intern_names(inputs: Mapping[str, Any]) -> tuple[str, ...]:
    """Return the names of inputs, as one tuple shared by all decisions with them."""
    names = tuple(inputs)
    return _interned_names.setdefault(names, names)


def _truncated_values(inputs: Mapping[str, Any]) -> tuple[Any, ...]:
    """Return the values of inputs, with strings truncated to bound memory use."""
    return tuple(map(_truncated_value, inputs.values()))


def _truncated_value(value: Any) -> Any:
    if value is None or isinstance(value, (int, float)):
        return value
    text = value if isinstance(value, str) else str(value)
    return text if len(text) <= MAX_TEXT_LENGTH else text[:MAX_TEXT_LENGTH]


def _no_version() -> int:
    return 0


@attrs.define
class DecisionRecorder:
    """Records decisions with the time and the catalogue version in force.

    They are not logged here, because the callers write log events of their own.
    """

    memory: DecisionMemory = attrs.field(factory=DecisionMemory)
    catalogue_version: Callable[[], int] = _no_version
    wall_clock: Callable[[], float] = time.time

    def record(
        self,
        kind: str,
        subject_id: str,
        code: str,
        reason: str = "",
        version: int | None = None,
        **inputs: Any,
    ) -> None:
        """Record a decision made now.

        Without ``version``, it counts as made under the catalogue version in force.
        """
        if version is None:
            version = self.catalogue_version()
        decision = Decision(
            kind=kind,
            subject_id=subject_id,
            code=code,
            reason=reason,
            inputs=inputs,
            catalogue_version=version,
            time_s=self.wall_clock(),
        )
        self.memory.record(decision, logged=False)


def _log(decision: Decision) -> None:
    if not logger.isEnabledFor(logging.INFO):
        return
    event(
        logger,
        "decision",
        kind=decision.kind,
        id=decision.subject_id,
        code=decision.code,
        reason=decision.reason or None,
        version=decision.catalogue_version,
        **{f"in_{name}": value for name, value in decision.inputs.items()},
    )
