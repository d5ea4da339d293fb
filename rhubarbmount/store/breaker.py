"""Circuit breaker that suspends calls to a platform that keeps failing."""

import attrs

__all__ = ["CircuitBreaker"]

FAILURES_TO_OPEN = 5
OPEN_S = 1.0


@attrs.define
class CircuitBreaker:
    """Counts consecutive failures and decides whether a call may be made.

    After ``failures_to_open`` failures in a row it opens and allows no call for
    ``open_s``. Then it allows one trial call per ``open_s``; one that succeeds closes
    it, and one that fails keeps it open for another ``open_s``.

    >>> breaker = CircuitBreaker(failures_to_open=1, open_s=2.0)
    >>> breaker.failed(now_s=10.0)
    >>> breaker.allows(now_s=11.0), breaker.allows(now_s=12.0), breaker.allows(12.1)
    (False, True, False)
    >>> breaker.succeeded()
    >>> breaker.allows(now_s=12.2)
    True
    """

    failures_to_open: int = FAILURES_TO_OPEN
    open_s: float = OPEN_S
    _failures: int = 0
    _open_until_s: float = 0.0

    @property
    def is_open(self) -> bool:
        """Whether enough calls in a row failed to open the breaker."""
        return self._failures >= self.failures_to_open

    def allows(self, now_s: float) -> bool:
        """Return whether a call may be made; reserves the trial call if one is due."""
        if not self.is_open:
            return True
        if now_s < self._open_until_s:
            return False
        self._open_until_s = now_s + self.open_s
        return True

    def succeeded(self) -> None:
        """Record a call that succeeded, and close the breaker."""
        self._failures = 0

    def failed(self, now_s: float) -> None:
        """Record a call that failed; open the breaker at the limit, or keep it open."""
        self._failures += 1
        if self.is_open:
            self._open_until_s = now_s + self.open_s
