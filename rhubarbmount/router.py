"""Routes requests to handlers by method and path."""

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
    """A request to an API of this system.

    ``parts`` holds the decoded path segments, ``query`` the last value of each query
    parameter.
    """

    request: HttpRequest
    parts: tuple[str, ...]
    query: dict[str, str]

    def json(self) -> Any:
        """Parse the body as JSON; an empty body is an empty object.

        Raises UsageError.
        """
        try:
            return json.loads(self.request.body or b"{}")
        except (ValueError, RecursionError) as error:
            raise UsageError(f"the body is not JSON: {error}") from None


ApiHandler = Callable[[ApiRequest], Awaitable[HttpResponse]]


@attrs.define
class Router:
    """A table of handlers by method and path; ``*`` matches any one path segment."""

    _handler_by_route: dict[tuple[str, tuple[str, ...]], ApiHandler] = attrs.field(
        factory=dict
    )

    def add(self, method: str, path: str, handler: ApiHandler) -> None:
        """Register a handler for a method and path."""
        self._handler_by_route[(method, tuple(path.strip("/").split("/")))] = handler

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Dispatch a request to its handler; errors become JSON error responses."""
        url = urlsplit(request.target)
        parts = tuple(unquote(part) for part in url.path.strip("/").split("/"))
        query = {key: values[-1] for key, values in parse_qs(url.query).items()}
        for (method, pattern), handler in self._handler_by_route.items():
            if method == request.method and _matches(pattern, parts):
                return await _answer(handler, ApiRequest(request, parts, query))
        return problem(404, "not-found", f"no handler for {url.path}")


def _matches(pattern: tuple[str, ...], parts: tuple[str, ...]) -> bool:
    """Return whether the path segments match the pattern.

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
