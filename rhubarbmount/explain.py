"""Bounded memory of decisions, and the answer to why things are as they are."""

import logging
from collections import OrderedDict, deque
from collections.abc import Iterable, Mapping
from typing import Any

import attrs
import cattrs

from rhubarbmount.log import event

__all__ = ["Decision", "DecisionMemory", "Explanation", "merge_explanations"]

logger = logging.getLogger(__name__)

SUBJECTS_LIMIT = 2048
DECISIONS_PER_SUBJECT = 8

_converter = cattrs.Converter()


@attrs.frozen(kw_only=True)
class Decision:
    """What was decided about one subject, from what, and why not otherwise.

    ``kind`` is host, pool, job, request or entry. ``reason`` is the one thing that
    kept the decision from being another. ``time_s`` is in seconds since the epoch;
    equal decisions in a row count as one, made ``repeats`` times since ``first_s``.
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
    decisions = {decision_key(d): d for part in parts for d in part.decisions}
    ordered = sorted(decisions.values(), key=lambda decision: decision.time_s)
    return Explanation(parts[0].kind, parts[0].subject_id, tuple(ordered))


def decision_key(decision: Decision) -> tuple[str, str, float, float]:
    """Return what tells two decisions about one subject apart."""
    return decision.code, decision.reason, decision.first_s, decision.time_s


@attrs.define
class DecisionMemory:
    """Keep the latest decisions of the most recently decided subjects.

    >>> memory = DecisionMemory()
    >>> memory.record(Decision(kind="job", subject_id="j1", code="wait", reason="full"))
    >>> memory.explain("job", "j1").reason
    'full'
    """

    subjects_limit: int = SUBJECTS_LIMIT
    decisions_limit: int = DECISIONS_PER_SUBJECT
    _by_subject: OrderedDict[tuple[str, str], deque[Decision]] = attrs.field(
        factory=OrderedDict, init=False
    )

    def record(self, decision: Decision) -> None:
        """Remember a decision; log it unless it repeats the one before."""
        subject = decision.kind, decision.subject_id
        decisions = self._by_subject.get(subject)
        if decisions is None:
            decisions = self._add_subject(subject)
        else:
            self._by_subject.move_to_end(subject)
        last = decisions[-1] if decisions else None
        if last is not None and _same(last, decision):
            decisions[-1] = attrs.evolve(
                decision, first_s=last.first_s, repeats=last.repeats + 1
            )
            return
        decisions.append(decision)
        _log(decision)

    def explain(self, kind: str, subject_id: str) -> Explanation:
        """Return the remembered decisions about a subject, oldest first."""
        decisions = self._by_subject.get((kind, subject_id), ())
        return Explanation(kind, subject_id, tuple(decisions))

    def __len__(self) -> int:
        return len(self._by_subject)

    def _add_subject(self, subject: tuple[str, str]) -> deque[Decision]:
        while len(self._by_subject) >= self.subjects_limit:
            self._by_subject.popitem(last=False)
        decisions: deque[Decision] = deque(maxlen=self.decisions_limit)
        self._by_subject[subject] = decisions
        return decisions


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
