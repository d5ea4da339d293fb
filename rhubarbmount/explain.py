"""Bounded memory of decisions, and the answer to why things are as they are."""

import logging
import time
from collections import OrderedDict, defaultdict
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import attrs
import cattrs

from rhubarbmount.log import event

__all__ = [
    "KINDS",
    "Decision",
    "DecisionMemory",
    "DecisionRecorder",
    "Explanation",
    "merge_explanations",
]

logger = logging.getLogger(__name__)

KINDS = ("host", "pool", "job", "request", "entry")
SUBJECTS_LIMIT_BY_KIND = {"host": 3072, "pool": 64, "job": 2048, "entry": 1024}
DECISIONS_PER_SUBJECT = 8
TEXT_LIMIT = 200

_converter = cattrs.Converter()


@attrs.frozen(kw_only=True)
class Decision:
    """What was decided about one subject, from what, and why not otherwise.

    ``kind`` is host, pool, job, request or entry. ``reason`` is the one thing that
    kept the decision from being another. ``time_s`` is in seconds since the epoch;
    equal decisions in a row count as one, made ``repeats`` times since ``first_s``.
    ``source`` is the entry host that remembers it, or ``platform`` for a row.
    """

    kind: str
    subject_id: str
    code: str
    reason: str = ""
    inputs: Mapping[str, Any] = attrs.field(factory=dict)
    catalogue_version: int = 0
    time_s: float = 0.0
    first_s: float = attrs.field()
    repeats: int = 1
    source: str = ""

    @first_s.default
    def _first_s(self) -> float:
        return self.time_s


@attrs.frozen
class Explanation:
    """The decisions about one subject, oldest first."""

    kind: str
    subject_id: str
    decisions: tuple[Decision, ...]

    @property
    def reason(self) -> str:
        """Return the reason that holds now, or the empty string."""
        return self.decisions[-1].reason if self.decisions else ""

    def dump(self) -> dict[str, Any]:
        """Return plain values, with the reason that holds now."""
        return _converter.unstructure(self) | {"reason": self.reason}

    @classmethod
    def load(cls, values: Mapping[str, Any]) -> "Explanation":
        """Build an explanation from its plain values."""
        return _converter.structure(values, cls)


def merge_explanations(found: Iterable[Explanation]) -> Explanation:
    """Join what several entry hosts remember about one subject, in order of time."""
    parts = list(found)
    decisions: dict[tuple[str, str, float, float], Decision] = {}
    for decision in (decision for part in parts for decision in part.decisions):
        decisions.setdefault(_decision_key(decision), decision)
    ordered = sorted(decisions.values(), key=lambda decision: decision.time_s)
    return Explanation(parts[0].kind, parts[0].subject_id, tuple(ordered))


def _decision_key(decision: Decision) -> tuple[str, str, float, float]:
    """Return what tells two decisions about one subject apart."""
    return decision.code, decision.reason, decision.first_s, decision.time_s


@attrs.define
class DecisionMemory:
    """Keep the latest decisions of the most recently decided subjects of each kind.

    >>> memory = DecisionMemory()
    >>> memory.record(Decision(kind="job", subject_id="j1", code="wait", reason="full"))
    >>> memory.explain("job", "j1").reason
    'full'
    """

    limit_by_kind: Mapping[str, int] = attrs.field(factory=SUBJECTS_LIMIT_BY_KIND.copy)
    decisions_limit: int = DECISIONS_PER_SUBJECT
    _subjects_by_kind: dict[str, OrderedDict[str, list[Decision]]] = attrs.field(
        factory=lambda: defaultdict(OrderedDict), init=False
    )

    def record(self, decision: Decision) -> None:
        """Remember a decision; log it unless it repeats the one before."""
        decision = _shortened(decision)
        decisions = self._decisions_about(decision.kind, decision.subject_id)
        if decisions and _same(decisions[-1], decision):
            decisions[-1] = _repeated(decisions[-1], decision)
            return
        decisions.append(decision)
        del decisions[: -self.decisions_limit]
        _log(decision)

    def explain(self, kind: str, subject_id: str) -> Explanation:
        """Return the remembered decisions about a subject, oldest first."""
        decisions = self._subjects_by_kind[kind].get(subject_id, ())
        return Explanation(kind, subject_id, tuple(decisions))

    def __len__(self) -> int:
        return sum(map(len, self._subjects_by_kind.values()))

    def _decisions_about(self, kind: str, subject_id: str) -> list[Decision]:
        """Return a subject's decisions to add to, as the latest decided of its kind."""
        subjects = self._subjects_by_kind[kind]
        decisions = subjects.get(subject_id)
        if decisions is not None:
            subjects.move_to_end(subject_id)
            return decisions
        if len(subjects) >= self.limit_by_kind[kind]:
            subjects.popitem(last=False)
        decisions = subjects[subject_id] = []
        return decisions


def _no_version() -> int:
    return 0


@attrs.define
class DecisionRecorder:
    """Record decisions with the configuration version in force and the time."""

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
        """Record a decision that was made now, by the version in force or another."""
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
        self.memory.record(decision)


def _shortened(decision: Decision) -> Decision:
    """Return the decision with its texts cut to the limit, which bounds the memory."""
    inputs = decision.inputs
    long_names = [name for name, value in inputs.items() if _is_long(value)]
    if not long_names and len(decision.reason) <= TEXT_LIMIT:
        return decision
    cut = {name: str(inputs[name])[:TEXT_LIMIT] for name in long_names}
    reason = decision.reason[:TEXT_LIMIT]
    return attrs.evolve(decision, reason=reason, inputs={**inputs, **cut})


def _is_long(value: object) -> bool:
    if isinstance(value, (int, float)):
        return False
    text = value if isinstance(value, str) else str(value)
    return len(text) > TEXT_LIMIT


def _repeated(last: Decision, decision: Decision) -> Decision:
    return attrs.evolve(decision, first_s=last.first_s, repeats=last.repeats + 1)


def _same(last: Decision, decision: Decision) -> bool:
    return (last.code, last.reason, last.catalogue_version) == (
        decision.code,
        decision.reason,
        decision.catalogue_version,
    )


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
