"""HTTP API for operators: explanations of the decisions about one subject."""

from collections.abc import Callable
from typing import Any

import attrs
import trio

from rhubarbmount.decisions import KINDS, Decision, Explanation, merge_explanations
from rhubarbmount.edits import Authenticate
from rhubarbmount.errors import (
    NotFound,
    OutcomeUnknown,
    PlatformUnavailable,
    Refused,
    UsageError,
)
from rhubarbmount.http import HttpResponse
from rhubarbmount.instances import ConfigurationStatus
from rhubarbmount.peer_explanations import (
    ExplainFromPeers,
    InstanceMemory,
    PeerExplanations,
    no_peer_explanations,
)
from rhubarbmount.problem import json_response
from rhubarbmount.router import ApiRequest, Router
from rhubarbmount.row_causes import row_causes
from rhubarbmount.store.interface import Platform

__all__ = ["ExplainApi", "GatheredExplanation", "in_force_decision"]

PLATFORM_TIMEOUT_S = 1.5
MAX_CONCURRENT_REQUESTS = 8


@attrs.define
class GatheredExplanation:
    """A merged explanation, and which sources contributed to it.

    ``platform`` is ``answered`` if the platform's rows could be read, else ``silent``.
    """

    explanation: Explanation
    answered: list[str]
    silent: list[str]
    platform: str

    def dump(self) -> dict[str, Any]:
        """Convert to plain values."""
        who = {"answered": self.answered, "silent": self.silent}
        return self.explanation.dump() | who | {"platform": self.platform}


@attrs.define(eq=False)
class ExplainApi:
    """Explains decisions from the memory of all entry hosts and from platform rows.

    ``status_of`` returns which entry hosts run a catalogue version, and
    ``entry_version`` which version last changed an entry, as known to this instance.
    """

    authenticate: Authenticate
    memory: InstanceMemory
    platform: Platform
    status_of: Callable[[int], ConfigurationStatus]
    entry_version: Callable[[str], int]
    wall_clock: Callable[[], float]
    explain_from_peers: ExplainFromPeers = no_peer_explanations
    _active_requests: int = attrs.field(default=0, init=False)

    def add_routes(self, router: Router) -> None:
        """Register the handlers."""
        router.add("GET", "/explain/*/*", self.explain)

    async def explain(self, request: ApiRequest) -> HttpResponse:
        """Return the decisions about a subject and the reason currently in effect."""
        self.authenticate(request)
        kind, subject_id = request.parts[1:]
        if kind not in KINDS:
            raise UsageError(f"no decisions about {kind!r}; known: {', '.join(KINDS)}")
        if self._active_requests >= MAX_CONCURRENT_REQUESTS:
            raise Refused(
                "too many explain requests are in progress; try again",
                code="too-many-questions",
            )
        self._active_requests += 1
        try:
            gathered = await self._gather(kind, subject_id)
        finally:
            self._active_requests -= 1
        if not gathered.explanation.decisions:
            raise NotFound(_nothing_known(gathered))
        return json_response(gathered.dump())

    async def _gather(self, kind: str, subject_id: str) -> GatheredExplanation:
        """Query the platform's rows and the other entry hosts concurrently."""
        rows: list[Decision] | None = None
        peer_explanations = PeerExplanations()

        async def read_rows() -> None:
            nonlocal rows
            rows = await self._read_rows(kind, subject_id)

        async def explain_from_peers() -> None:
            nonlocal peer_explanations
            peer_explanations = await self.explain_from_peers(kind, subject_id)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(read_rows)
            nursery.start_soon(explain_from_peers)
        known = Explanation(kind, subject_id, tuple(rows or ()))
        own = self.memory.explain(kind, subject_id)
        merged = merge_explanations([known, own, *peer_explanations.found])
        if kind == "entry":
            merged = self._with_status(merged)
        return GatheredExplanation(
            merged,
            sorted({self.memory.instance, *peer_explanations.answered}),
            peer_explanations.silent,
            "silent" if rows is None else "answered",
        )

    async def _read_rows(self, kind: str, subject_id: str) -> list[Decision] | None:
        """Return decisions from rows, or None if the platform does not respond."""
        try:
            with trio.fail_after(PLATFORM_TIMEOUT_S):
                return await row_causes.get(kind)(self.platform, subject_id)
        except (PlatformUnavailable, OutcomeUnknown, trio.TooSlowError):
            return None

    def _with_status(self, explanation: Explanation) -> Explanation:
        """Add where the last committed change of the entry is in force."""
        key = explanation.subject_id
        accepted = [
            d.catalogue_version for d in explanation.decisions if _is_accepted(d)
        ]
        version = max([self.entry_version(key), *accepted])
        if version == 0:
            return explanation
        status = in_force_decision(key, version, self.status_of(version))
        status = attrs.evolve(
            status, source=self.memory.instance, time_s=self.wall_clock()
        )
        return attrs.evolve(explanation, decisions=(*explanation.decisions, status))


def in_force_decision(key: str, version: int, status: ConfigurationStatus) -> Decision:
    """Return whether a version that changed an entry is in force on all entry hosts.

    An entry host listed as silent counts with the version that it last recorded.
    """
    silent_behind = sorted(name for name, ran in status.silent.items() if ran < version)
    lagging = [
        f"{name} runs version {ran}" for name, ran in sorted(status.behind.items())
    ]
    lagging += [f"{name} is not heard" for name in silent_behind]
    return Decision(
        kind="entry",
        subject_id=key,
        code="not-in-force" if lagging else "in-force",
        reason="; ".join(lagging),
        inputs={"in_force_at": ",".join(status.current)},
        catalogue_version=version,
    )


def _is_accepted(decision: Decision) -> bool:
    return decision.code == "accepted"


def _nothing_known(gathered: GatheredExplanation) -> str:
    explanation = gathered.explanation
    parts = [f"nothing about {explanation.kind} {explanation.subject_id!r} is known"]
    parts.append(f"asked: {', '.join(gathered.answered)}")
    if gathered.silent:
        parts.append(f"silent: {', '.join(gathered.silent)}")
    if gathered.platform == "silent":
        parts.append("the platform does not answer")
    return "; ".join(parts)
