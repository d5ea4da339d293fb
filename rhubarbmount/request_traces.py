"""Bounded in-memory traces of the decisions taken for recent requests."""

import itertools
import json
import secrets
import time
from collections import OrderedDict
from collections.abc import Callable, Iterator
from contextvars import ContextVar
from typing import Any

import attrs

from rhubarbmount import log
from rhubarbmount.claims import Claim, ClaimResult, row_key
from rhubarbmount.decisions import Decision, Explanation
from rhubarbmount.http import HttpRequest, HttpResponse, header_value
from rhubarbmount.listener import Handler
from rhubarbmount.problem import (
    OUTCOME_HEADER,
    PROBLEM_TYPE,
    REQUEST_ID_HEADER,
    Outcome,
)
from rhubarbmount.retries import RetryDecision
from rhubarbmount.route_decisions import RouteDecision

__all__ = [
    "RequestTraces",
    "note_attempt",
    "note_claim",
    "note_claim_refused",
    "note_refusal",
    "note_route",
]

ORDINARY_LIMIT = 1024
NOTABLE_LIMIT = 1024
MAX_STEPS = 24
MAX_NAME_CHARS = 64
INPUT_NAMES_BY_CODE = {
    "received": ("service", "method"),
    "route": ("host", "available", "own", "peers", "attempt"),
    "attempt-failed": ("host", "code", "outcome", "retry"),
    "refused": (),
    "claim": ("row", "claim", "status"),
    "claim-refused": ("row", "outcome"),
    "answered": ("status", "outcome"),
}


@attrs.define(eq=False)
class RequestTrace:
    """The steps of one request, each with time, code, reason and input values.

    A ``notable`` request was refused, had a failed attempt or ended in an error.
    """

    request_id: str
    catalogue_version: int
    steps: list[tuple[float, str, str, tuple[Any, ...]]]
    notable: bool = False
    claim_row: str = ""

    def add(self, code: str, reason: str, inputs: tuple[Any, ...]) -> None:
        """Append a step with the current time, up to MAX_STEPS steps."""
        if len(self.steps) < MAX_STEPS:
            self.steps.append((time.time(), code, reason, inputs))

    def decisions(self) -> Iterator[Decision]:
        """Yield the steps as decisions."""
        for time_s, code, reason, inputs in self.steps:
            names = INPUT_NAMES_BY_CODE[code]
            yield Decision(
                kind="request",
                subject_id=self.request_id,
                code=code,
                reason=reason,
                inputs=dict(zip(names, inputs, strict=True)),
                catalogue_version=self.catalogue_version,
                time_s=time_s,
            )


_current: ContextVar[RequestTrace | None] = ContextVar("request_trace", default=None)


def note_route(decision: RouteDecision, attempt: int) -> None:
    """Record the choice of a backend server for the current request."""
    trace = _current.get()
    if trace is None:
        return
    backend = decision.backend
    host_id = own = peers = None
    if backend is not None:
        host_id = backend.host.host_id
        own, peers = backend.own_in_flight, backend.peers_in_flight
    inputs = (host_id, decision.available, own, peers, attempt)
    trace.add("route", decision.reason, inputs)


def note_attempt(
    host_id: str, code: str, outcome: Outcome, decision: RetryDecision
) -> None:
    """Record a failed attempt and whether it is retried."""
    trace = _current.get()
    if trace is not None:
        trace.notable = True
        inputs = (host_id, code, outcome, decision.retry)
        trace.add("attempt-failed", decision.reason, inputs)


def note_refusal(code: str) -> None:
    """Record that the current request is refused."""
    trace = _current.get()
    if trace is not None:
        trace.notable = True
        trace.add("refused", code, ())


def note_claim(claim: Claim) -> None:
    """Record the state of the current request's claim."""
    trace = _current.get()
    if trace is not None:
        trace.claim_row = claim.row_key
        inputs = (claim.row_key, claim.claim_id, claim.status)
        trace.add("claim", claim.state, inputs)


def note_claim_refused(claim: Claim, result: ClaimResult) -> None:
    """Record why the current request was not granted a claim on its key."""
    trace = _current.get()
    if trace is not None:
        trace.notable = True
        trace.claim_row = claim.row_key
        trace.add("claim-refused", result.code, (claim.row_key, result.outcome))


@attrs.define(eq=False)
class RequestTraces:
    """Assign request ids, and keep traces of the most recent requests.

    Notable requests are stored separately, so that ordinary ones do not evict them.
    """

    instance: str
    next_handler: Handler
    catalogue_version: Callable[[], int]
    ordinary_limit: int = ORDINARY_LIMIT
    notable_limit: int = NOTABLE_LIMIT
    _prefix: str = attrs.field(init=False)
    _numbers: Iterator[int] = attrs.field(factory=itertools.count, init=False)
    _ordinary: OrderedDict[str, RequestTrace] = attrs.field(
        factory=OrderedDict, init=False
    )
    _notable: OrderedDict[str, RequestTrace] = attrs.field(
        factory=OrderedDict, init=False
    )

    def __attrs_post_init__(self) -> None:
        self._prefix = f"{self.instance}-{secrets.token_hex(3)}-"

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handle a request under a new id, which is returned in a response header.

        Log lines also carry the id until the response is known.
        """
        trace = self._begin(request)
        response = await self.next_handler(request)
        self._end(trace, response)
        log.request_id.set("")
        id_header = (REQUEST_ID_HEADER, trace.request_id.encode("ascii", "replace"))
        return HttpResponse(
            response.status, [*response.headers, id_header], response.body
        )

    def explain(self, subject_id: str) -> Explanation:
        """Return the decisions about a request, looked up by id or by SERVICE/KEY."""
        found = self._notable.get(subject_id) or self._ordinary.get(subject_id)
        traces = [found] if found is not None else self._traces_of_claim(subject_id)
        decisions = [step for trace in traces for step in trace.decisions()]
        return Explanation("request", subject_id, tuple(decisions))

    def _traces_of_claim(self, subject_id: str) -> list[RequestTrace]:
        service, separator, key = subject_id.partition("/")
        if not separator:
            return []
        row = row_key(service, key)
        kept = [*self._notable.values(), *self._ordinary.values()]
        return [trace for trace in kept if trace.claim_row == row]

    def _begin(self, request: HttpRequest) -> RequestTrace:
        request_id = f"{self._prefix}{next(self._numbers):x}"
        service = (
            request.target[1 : MAX_NAME_CHARS + 1].split("/", 1)[0].split("?", 1)[0]
        )
        received = (
            time.time(),
            "received",
            "",
            (service, request.method[:MAX_NAME_CHARS]),
        )
        trace = RequestTrace(request_id, self.catalogue_version(), [received])
        _current.set(trace)
        log.request_id.set(request_id)
        _add_bounded(self._ordinary, trace, self.ordinary_limit)
        return trace

    def _end(self, trace: RequestTrace, response: HttpResponse) -> None:
        outcome = header_value(response.headers, OUTCOME_HEADER)
        code = _problem_code(response) if response.status >= 400 else ""
        inputs = (response.status, outcome)
        trace.steps.append((time.time(), "answered", code, inputs))
        if trace.notable or response.status >= 500:
            self._ordinary.pop(trace.request_id, None)
            _add_bounded(self._notable, trace, self.notable_limit)


def _problem_code(response: HttpResponse) -> str:
    """Return the code of a problem+json response, or an empty string."""
    if (b"content-type", PROBLEM_TYPE) not in response.headers:
        return ""
    try:
        return str(json.loads(response.body)["code"])[:MAX_NAME_CHARS]
    except (ValueError, TypeError, KeyError):
        return ""


def _add_bounded(
    traces: OrderedDict[str, RequestTrace], trace: RequestTrace, limit: int
) -> None:
    if len(traces) >= limit:
        traces.popitem(last=False)
    traces[trace.request_id] = trace
