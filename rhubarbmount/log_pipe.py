"""Non-blocking log output and rate limiting of log lines."""

import os
from collections import Counter

import attrs

__all__ = ["LineRateLimiter", "PipeStream"]

MAX_LINES_PER_S = 300


@attrs.define(eq=False)
class PipeStream:
    """A non-blocking text stream to a pipe that drops lines while the pipe is full.

    Writes must not exceed PIPE_BUF, so that each is written completely or not at all.
    """

    descriptor: int
    dropped_count: int = 0

    def __attrs_post_init__(self) -> None:
        os.set_blocking(self.descriptor, False)

    def write(self, text: str) -> None:
        """Write complete lines, or drop and count them if the pipe is full."""
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
        """Do nothing; writes are not buffered."""


@attrs.define(eq=False)
class LineRateLimiter:
    """Limits the lines per second of each kind, and counts the suppressed ones."""

    lines_per_s: int = MAX_LINES_PER_S
    _second: int = 0
    _count_by_kind: Counter[str] = attrs.field(factory=Counter)

    def allows(self, kind: str) -> bool:
        """Count a line of a kind and return whether it may be written."""
        self._count_by_kind[kind] += 1
        return self._count_by_kind[kind] <= self.lines_per_s

    def take_suppressed(self, now_s: float) -> dict[str, int]:
        """Return the suppressed lines by kind once their second is over, and reset."""
        if int(now_s) == self._second:
            return {}
        self._second = int(now_s)
        counts, self._count_by_kind = self._count_by_kind, Counter()
        limit = self.lines_per_s
        return {kind: n - limit for kind, n in counts.items() if n > limit}
