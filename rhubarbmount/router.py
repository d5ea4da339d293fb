"""Matches a request's method and path to the function that handles it."""

import json
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

import attrs

from rhubarbmount.errors import FindingsError, RhubarbmountError, UsageError
from rhubarbmount.http import HttpRequest, HttpResponse
from rhubarbmount.problem import json_response, problem

__all__ = ["ApiRequest", "Router"]


@attrs.frozen
class ApiRequest:
    """A request to one of the system's own interfaces."""

    request: HttpRequest
    parts: tuple[str, ...]
    query: dict[str, str]

    def json(self) -> Any:
        """Return the body's value. Raises UsageError."""
        try:
            return json.loads(self.request.body or b"{}")
        except (ValueError, RecursionError) as error:
            raise UsageError(f"the body is not JSON: {error}") from None


ApiHandler = Callable[[ApiRequest], Awaitable[HttpResponse]]


@attrs.define
class Router:
    """Handlers by method and path; a ``*`` in a path matches one segment."""

    _handler_by_route: dict[tuple[str, tuple[str, ...]], ApiHandler] = attrs.field(
        factory=dict
    )

    def add(self, method: str, path: str, handler: ApiHandler) -> None:
        """File a handler."""
        self._handler_by_route[(method, tuple(path.strip("/").split("/")))] = handler

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer a request; errors become problem+json."""
        url = urlsplit(request.target)
        parts = tuple(unquote(part) for part in url.path.strip("/").split("/"))
        query = {key: values[-1] for key, values in parse_qs(url.query).items()}
        for (method, pattern), handler in self._handler_by_route.items():
            if method == request.method and _matches(pattern, parts):
                return await _answer(handler, ApiRequest(request, parts, query))
        return problem(404, "not-found", f"nothing at {url.path}")


def _matches(pattern: tuple[str, ...], parts: tuple[str, ...]) -> bool:
    """Tell whether the parts fit the pattern.

    >>> _matches(("tables", "*"), ("tables", "hosts"))
    True
    """
    if len(pattern) != len(parts):
        return False
    return all(want in ("*", got) for want, got in zip(pattern, parts, strict=True))


async def _answer(handler: ApiHandler, request: ApiRequest) -> HttpResponse:
    try:
        return await handler(request)
    except FindingsError as error:
        findings = [attrs.asdict(finding) for finding in error.findings]
        body = {"status": error.status, "code": error.code, "findings": findings}
        return json_response(body, error.status)
    except RhubarbmountError as error:
        return problem(error.status, error.code, error.message)
