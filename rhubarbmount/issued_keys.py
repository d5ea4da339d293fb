"""Issuing of idempotency keys to callers during an outage of the platform."""

import logging

import attrs

from rhubarbmount import log
from rhubarbmount.claim_guard import Claims
from rhubarbmount.entries import OutageChoice
from rhubarbmount.http import HttpRequest, HttpResponse
from rhubarbmount.listener import Handler
from rhubarbmount.problem import json_response, problem
from rhubarbmount.request_policy import RequestPolicy

__all__ = ["KeyIssuer"]

KEYS_PATH = "/-/keys/"

logger = logging.getLogger(__name__)


@attrs.define(eq=False)
class KeyIssuer:
    """Handler of ``POST /-/keys/SERVICE``; passes other requests to the next handler.

    A key is valid for one request, sent next on the same connection, since only the
    entry host that issued the key dispatches it.
    """

    policy: RequestPolicy
    claims: Claims
    next_handler: Handler

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request."""
        if not request.target.startswith(KEYS_PATH):
            return await self.next_handler(request)
        if request.method != "POST":
            return problem(405, "bad-method", "keys are issued only by POST")
        return self._issue(request.target.removeprefix(KEYS_PATH))

    def _issue(self, name: str) -> HttpResponse:
        service = self.policy.service_by_name.get(name)
        if service is None:
            return problem(404, "no-service", "no such service")
        if service.outage_choice is not OutageChoice.HOME:
            message = "the service's owner allows no requests during an outage"
            return problem(409, "keys-not-issued", message)
        if not self.claims.platform.is_out:
            message = (
                "the platform is available: send the request with a key of your own"
            )
            return problem(409, "own-key", message)
        log.event(logger, "key-issued", service=name)
        return json_response({"key": self.claims.home.issue(name)}, 201)
