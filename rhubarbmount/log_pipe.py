"""Keeps logging from blocking its process, and its volume within bounds."""

import os
from collections import Counter

import attrs

__all__ = ["LineRateLimiter", "PipeStream"]

MAX_LINES_PER_S = 300


@attrs.define(eq=False)
class PipeStream:
    """A text stream to a pipe; what a slow reader leaves no room for is dropped.

    Writes must be shorter than the pipe's atomic size, so that each is taken whole.
    """

    descriptor: int
    dropped_count: int = 0

    def __attrs_post_init__(self) -> None:
        os.set_blocking(self.descriptor, False)

    def write(self, text: str) -> None:
        """Write whole lines, or drop and count them."""
        notice = (
            f"event=lines-lost count={self.dropped_count}\n"
            if self.dropped_count
            else ""
        )
        try:
            os.write(self.descriptor, (notice + text).encode("utf-8"))
        except BlockingIOError:
            self.dropped_count += text.count("\n")
        else:
            self.dropped_count = 0

    def flush(self) -> None:
        """Do nothing; each write goes out at once."""


@attrs.define(eq=False)
class LineRateLimiter:
    """Allows so many lines of a kind in each second, and counts the others."""

    lines_per_s: int = MAX_LINES_PER_S
    _second: int = 0
    _count_by_kind: Counter[str] = attrs.field(factory=Counter)

    def allows(self, kind: str) -> bool:
        """Tell whether one more line of a kind may be written."""
        self._count_by_kind[kind] += 1
        return self._count_by_kind[kind] <= self.lines_per_s

    def take_suppressed(self, now_s: float) -> dict[str, int]:
        """Return the kinds and counts left out, once their second is over."""
        if int(now_s) == self._second:
            return {}
        self._second = int(now_s)
        counts, self._count_by_kind = self._count_by_kind, Counter()
        limit = self.lines_per_s
        return {kind: n - limit for kind, n in counts.items() if n > limit}
