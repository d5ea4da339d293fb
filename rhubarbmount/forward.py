"""Forwarding of callers' requests to backend servers."""

import logging

import attrs
import trio

from rhubarbmount import log
from rhubarbmount.admission import AdmissionPermit, WaiterCount, admit_waiting
from rhubarbmount.attempts import Attempt, attempt, end_to_end_headers
from rhubarbmount.backend_health import AttemptResult
from rhubarbmount.backends import BackendConnections
from rhubarbmount.claim_guard import Claims
from rhubarbmount.claims import ClaimRefused, fingerprint
from rhubarbmount.entries import Service
from rhubarbmount.http import HttpRequest, HttpResponse
from rhubarbmount.idempotency import (
    claim_key,
    has_invalid_key,
    idempotency_key,
    outcome_before_claim,
)
from rhubarbmount.limits import Admission, AdmissionCode
from rhubarbmount.metrics import RequestMetrics
from rhubarbmount.problem import OUTCOME_HEADER, Outcome, problem
from rhubarbmount.request_policy import RequestPolicy
from rhubarbmount.request_result import RequestResult, failure, refusal
from rhubarbmount.request_traces import note_attempt, note_refusal, note_route
from rhubarbmount.retries import RetryDecision, classify, decide_retry
from rhubarbmount.route_decisions import RouteDecision, RouteReason
from rhubarbmount.routing import PoolView, log_health
from rhubarbmount.strategies import Backend
from rhubarbmount.timers import TimerService

__all__ = ["Forwarder", "service_name"]

CONNECTION_SWEEP_INTERVAL_S = 1.0
OUTCOME_RAN_HEADER = (OUTCOME_HEADER, Outcome.RAN.value.encode("ascii"))

logger = logging.getLogger(__name__)


def service_name(target: str) -> str:
    """Return the service that a request's target names.

    >>> service_name("/quotes/17?full=1")
    'quotes'
    """
    path = target.split("?", 1)[0]
    return path.lstrip("/").split("/", 1)[0]


@attrs.define
class AttemptHistory:
    """Attempts made so far for one request, and their combined outcome."""

    outcome: Outcome = Outcome.NOT_RUN
    attempts: int = 0
    tried: list[str] = attrs.field(factory=list)
    cause: str = "first"

    def add(self, host_id: str, ended: Attempt) -> None:
        """Record an ended attempt.

        Once one attempt may have run, the request may have run, whatever follows.
        """
        self.attempts += 1
        self.tried.append(host_id)
        outcome = classify(ended.facts)
        if outcome is not Outcome.NOT_RUN:
            self.outcome = outcome


@attrs.define(eq=False)
class Forwarder:
    """Forwarder of callers' requests according to the request policy."""

    policy: RequestPolicy
    metrics: RequestMetrics
    claims: Claims
    connections: BackendConnections = attrs.field(factory=BackendConnections)
    waiters: WaiterCount = attrs.field(factory=WaiterCount)

    async def run(self, timers: TimerService) -> None:
        """Maintain the queues, idle connections and deadlines until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(admit_waiting, self.policy.limiter, self.waiters)
            nursery.start_soon(self._sweep_connections, timers)
            nursery.start_soon(self.connections.run)

    async def _sweep_connections(self, timers: TimerService) -> None:
        async for _tick in timers.every("connections", CONNECTION_SWEEP_INTERVAL_S):
            log.flush()
            if self.connections.has_idle:
                await self.connections.sweep(self.policy.serving_addresses())

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request within its service's request timeout."""
        service = self.policy.service_by_name.get(service_name(request.target))
        if service is None:
            outcome = outcome_before_claim(idempotency_key(request))
            return problem(404, "no-service", "no such service", outcome)
        begin_s = trio.current_time()
        deadline_s = begin_s + service.request_timeout_ms / 1000
        if has_invalid_key(request):
            message = "a request must not have an empty idempotency key or several"
            result = refusal(400, "bad-key", message, Outcome.NOT_RUN, None)
        else:
            result = await self._serve(service, request, deadline_s)
        latency_s = trio.current_time() - begin_s
        self.metrics.count_request(service.name, result.outcome, result.code, latency_s)
        return result.response

    async def _serve(
        self, service: Service, request: HttpRequest, deadline_s: float
    ) -> RequestResult:
        key = claim_key(service, request)
        refusal_outcome = outcome_before_claim(key)
        if not self.policy.view_of(service).in_service():
            self._log_refusal(service, RouteReason.NO_BACKEND)
            message = "no backend server of the pool is in service"
            return refusal(503, RouteReason.NO_BACKEND, message, refusal_outcome)
        limiter = self.policy.limiter
        with AdmissionPermit(
            limiter, service.name, deadline_s, waiters=self.waiters
        ) as permit:
            admission = await permit.acquire()
            if admission.code is not AdmissionCode.ADMITTED:
                return self._refuse(service, admission, refusal_outcome)
            if key is None:
                return await self._dispatch(service, request, permit)
            return await self._dispatch_with_claim(service, request, permit, key)

    async def _dispatch_with_claim(
        self, service: Service, request: HttpRequest, permit: AdmissionPermit, key: str
    ) -> RequestResult:
        """Dispatch under a claim on the key, which no other request can hold."""
        digest = fingerprint(request.method, request.target, request.body)
        try:
            async with self.claims.guard(
                service.name, key, digest, permit.deadline_s
            ) as claim:
                result = await self._dispatch(service, request, permit)
                if result.outcome is Outcome.RAN:
                    claim.ran(result.response.status)
                elif result.outcome is Outcome.NOT_RUN:
                    claim.not_run()
                return result
        except ClaimRefused as error:
            outcome = Outcome(error.outcome)
            return refusal(
                error.status, error.code, error.message, outcome, error.retry_after_s
            )

    async def _dispatch(
        self, service: Service, request: HttpRequest, permit: AdmissionPermit
    ) -> RequestResult:
        history = AttemptHistory()
        view = self.policy.view_of(service)
        headers = end_to_end_headers(request.headers)
        outgoing = HttpRequest(request.method, request.target, headers, request.body)
        while True:
            backend = self._choose(service, view, history)
            if backend is None:
                admission = await permit.requeue()
                if admission.code is not AdmissionCode.ADMITTED:
                    return self._refuse(service, admission, history.outcome)
                history.tried.clear()
                continue
            permit.place()
            ended = await self._attempt(service, view, backend, outgoing, permit)
            history.add(backend.host.host_id, ended)
            if ended.response is not None and not ended.facts.guard_refused:
                return self._forward_response(service, ended.response)
            decision = self._decide_retry(service, request, ended, history, permit)
            if not decision.retry:
                return failure(ended, decision, history.outcome)
            history.cause = decision.reason

    def _choose(
        self, service: Service, view: PoolView, history: AttemptHistory
    ) -> Backend | None:
        decision = view.choose(trio.current_time(), history.tried)
        self.metrics.count_route(service.name, decision.reason)
        note_route(decision, history.attempts + 1)
        if logger.isEnabledFor(logging.INFO):
            self._log_route(service, decision, history)
        return decision.backend

    def _log_route(
        self, service: Service, decision: RouteDecision, history: AttemptHistory
    ) -> None:
        backend = decision.backend
        log.frequent_event(
            logger,
            "route",
            service=service.name,
            host=backend.host.host_id if backend is not None else None,
            reason=decision.reason,
            available=decision.available,
            own=backend.own_in_flight if backend is not None else None,
            peers=backend.peers_in_flight if backend is not None else None,
            attempt=history.attempts + 1,
            cause=history.cause,
        )

    async def _attempt(
        self,
        service: Service,
        view: PoolView,
        backend: Backend,
        outgoing: HttpRequest,
        permit: AdmissionPermit,
    ) -> Attempt:
        begin_s = trio.current_time()
        result = AttemptResult.CANCELLED
        try:
            ended = await attempt(
                self.connections, backend.host.address, outgoing, permit.deadline_s
            )
            result = ended.result()
        finally:
            now_s = trio.current_time()
            latency_s = now_s - begin_s
            change = view.finish(
                backend, result, now_s, service=service.name, latency_s=latency_s
            )
            if change is not None:
                self.metrics.count_health_change(view.pool, change.action)
                log_health(view.pool, change)
        if ended.response is not None and not ended.facts.guard_refused:
            permit.duration_s = latency_s
        return ended

    def _decide_retry(
        self,
        service: Service,
        request: HttpRequest,
        ended: Attempt,
        history: AttemptHistory,
        permit: AdmissionPermit,
    ) -> RetryDecision:
        decision = decide_retry(
            ended.facts,
            idempotent=request.method in service.idempotent_methods,
            replayable=True,
            attempts=history.attempts,
            now_s=trio.current_time(),
            deadline_s=permit.deadline_s,
            expected_s=self.policy.limiter.duration_s(service.name),
            budget=self.policy.budget_of(service),
        )
        self.metrics.count_retry(service.name, decision.retry, decision.reason)
        note_attempt(history.tried[-1], ended.code, history.outcome, decision)
        log.event(
            logger,
            "attempt-failed",
            service=service.name,
            host=history.tried[-1],
            code=ended.code,
            outcome=history.outcome,
            retry=decision.retry,
            reason=decision.reason,
        )
        return decision

    def _forward_response(
        self, service: Service, response: HttpResponse
    ) -> RequestResult:
        if response.status < 500:
            self.policy.budget_of(service).succeed()
        headers = end_to_end_headers(response.headers)
        headers.append(OUTCOME_RAN_HEADER)
        answer = HttpResponse(response.status, headers, response.body)
        return RequestResult(answer, Outcome.RAN, "answered")

    def _refuse(
        self, service: Service, admission: Admission, outcome: Outcome
    ) -> RequestResult:
        self._log_refusal(service, admission.code)
        message = "the service has no capacity for the request now"
        return refusal(503, admission.code, message, outcome, admission.retry_after_s)

    def _log_refusal(self, service: Service, code: str) -> None:
        note_refusal(code)
        log.event(logger, "refused", service=service.name, code=code)
