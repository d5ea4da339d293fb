"""Cache of decoded responses with entity tags, to avoid resending unchanged ones."""

from collections import OrderedDict
from typing import Any

import attrs

__all__ = ["CachedResponse", "ResponseCache"]

MAX_CACHED_BYTES = 524288


@attrs.frozen(eq=False)
class CachedResponse:
    """A decoded response and its entity tag; the value must not be modified."""

    tag: str
    size_bytes: int
    value: Any


@attrs.define(eq=False)
class ResponseCache:
    """LRU cache of responses, limited by the total size of their JSON in bytes.

    >>> cache = ResponseCache(limit_bytes=10)
    >>> for path in ("/a", "/b", "/c"):
    ...     cache.put(path, CachedResponse("t", 4, path))
    >>> cache.get("/a") is None, cache.get("/c").value, cache.size_bytes
    (True, '/c', 8)
    """

    limit_bytes: int = MAX_CACHED_BYTES
    size_bytes: int = 0
    _response_by_path: OrderedDict[str, CachedResponse] = attrs.field(
        factory=OrderedDict
    )

    def get(self, path: str) -> CachedResponse | None:
        """Return the cached response for a path, and mark it as recently used."""
        response = self._response_by_path.get(path)
        if response is not None:
            self._response_by_path.move_to_end(path)
        return response

    def put(self, path: str, response: CachedResponse) -> None:
        """Drop the old response; cache the new one if it is tagged and small enough."""
        self.drop(path)
        if not response.tag or response.size_bytes > self.limit_bytes // 2:
            return
        self._response_by_path[path] = response
        self.size_bytes += response.size_bytes
        while self.size_bytes > self.limit_bytes:
            self.drop(next(iter(self._response_by_path)))

    def drop(self, path: str) -> None:
        """Remove the cached response for a path."""
        response = self._response_by_path.pop(path, None)
        if response is not None:
            self.size_bytes -= response.size_bytes
