"""Decoded answers held with their entity tags, so that none is sent again unchanged."""

from collections import OrderedDict
from typing import Any

import attrs

__all__ = ["CachedResponse", "ResponseCache"]

HELD_BYTES = 524288


@attrs.frozen(eq=False)
class CachedResponse:
    """What the platform sent under a tag, decoded; nobody changes the value."""

    tag: str
    size_bytes: int
    value: Any


@attrs.define(eq=False)
class ResponseCache:
    """Hold the answers used last, within a number of bytes as they were sent.

    >>> answers = ResponseCache(limit_bytes=10)
    >>> for path in ("/a", "/b", "/c"):
    ...     answers.put(path, CachedResponse("t", 4, path))
    >>> answers.get("/a") is None, answers.get("/c").value, answers.size_bytes
    (True, '/c', 8)
    """

    limit_bytes: int = HELD_BYTES
    size_bytes: int = 0
    _by_path: OrderedDict[str, CachedResponse] = attrs.field(factory=OrderedDict)

    def get(self, path: str) -> CachedResponse | None:
        """Return what is held of a path, and count it as used."""
        held = self._by_path.get(path)
        if held is not None:
            self._by_path.move_to_end(path)
        return held

    def put(self, path: str, held: CachedResponse) -> None:
        """Hold an answer in place of an older one, if it is tagged and small enough."""
        self.drop(path)
        if not held.tag or held.size_bytes > self.limit_bytes // 2:
            return
        self._by_path[path] = held
        self.size_bytes += held.size_bytes
        while self.size_bytes > self.limit_bytes:
            self.drop(next(iter(self._by_path)))

    def drop(self, path: str) -> None:
        """Hold nothing of a path."""
        held = self._by_path.pop(path, None)
        if held is not None:
            self.size_bytes -= held.size_bytes
