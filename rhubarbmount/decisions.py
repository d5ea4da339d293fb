"""Decisions about hosts, pools, jobs, requests and entries, and their history."""

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
    """A decision about one subject, its inputs, and the reason for it.

    ``kind`` is host, pool, job, request or entry. ``reason`` is the one condition that
    prevented a different decision. ``time_s`` is in seconds since the epoch;
    consecutive equal decisions are merged into one, made ``repeats`` times since
    ``first_s``. ``source`` is the entry host that recorded it, or ``platform`` for a
    row.
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
        """Return whether the decision refused a request."""
        return self.code.endswith(REFUSED_SUFFIX)


@attrs.frozen
class Explanation:
    """The decisions about one subject, oldest first."""

    kind: str
    subject_id: str
    decisions: tuple[Decision, ...]

    @property
    def reason(self) -> str:
        """Return the reason currently in effect, or the empty string.

        A refused request changes nothing, so its reason counts only if there is no
        other.
        """
        in_effect = [item for item in self.decisions if not item.is_refusal]
        held = in_effect[-1].reason if in_effect else ""
        refused = bool(self.decisions) and self.decisions[-1].is_refusal
        return held or (self.decisions[-1].reason if refused else "")

    def dump(self) -> dict[str, Any]:
        """Convert to plain values, including the reason currently in effect."""
        return _converter.unstructure(self) | {"reason": self.reason}

    @classmethod
    def load(cls, values: Mapping[str, Any]) -> "Explanation":
        """Build an explanation from its plain values."""
        return _converter.structure(values, cls)


def merge_explanations(found: Iterable[Explanation]) -> Explanation:
    """Merge the decisions of several entry hosts on one subject, sorted by time."""
    parts = list(found)
    decisions: dict[tuple[str, str, float, float], Decision] = {}
    for decision in (decision for part in parts for decision in part.decisions):
        decisions.setdefault(_decision_key(decision), decision)
    ordered = sorted(decisions.values(), key=lambda decision: decision.time_s)
    return Explanation(parts[0].kind, parts[0].subject_id, tuple(ordered))


def _decision_key(decision: Decision) -> tuple[str, str, float, float]:
    """Return the key that identifies a decision among those about one subject."""
    return decision.code, decision.reason, decision.first_s, decision.time_s
