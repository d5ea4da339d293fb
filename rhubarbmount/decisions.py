"""Decisions about hosts, pools, jobs, requests and entries, and explanations."""

from collections.abc import Iterable, Mapping
from typing import Any

import attrs
import cattrs

__all__ = ["KINDS", "Decision", "Explanation", "merge_explanations"]

KINDS = ("host", "pool", "job", "request", "entry")
REFUSED_SUFFIX = "-refused"

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

    @property
    def is_refusal(self) -> bool:
        """Tell whether something that was asked for was refused."""
        return self.code.endswith(REFUSED_SUFFIX)


@attrs.frozen
class Explanation:
    """The decisions about one subject, oldest first."""

    kind: str
    subject_id: str
    decisions: tuple[Decision, ...]

    @property
    def reason(self) -> str:
        """Return the reason that holds now, or the empty string.

        A refused request changes nothing: its reason counts if no other holds.
        """
        in_effect = [item for item in self.decisions if not item.is_refusal]
        held = in_effect[-1].reason if in_effect else ""
        refused = bool(self.decisions) and self.decisions[-1].is_refusal
        return held or (self.decisions[-1].reason if refused else "")

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
