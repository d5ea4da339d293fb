"""How much longer steps take than their runs; performs no I/O.

A task is assigned before its start is stored and sent, its end is known only once it
has been read, and the last task of a step may find a place later than the first.
Answers the pattern of a holder that starts many tasks a second.
"""

import attrs

__all__ = ["DispatchDelay"]

# Weight of one step in the moving average.
STEP_WEIGHT = 1 / 16
# A longer delay is that of one server, or of an outage of the store.
MAX_DELAY_S = 1.0


@attrs.define
class DispatchDelay:
    """Moving average of the time that steps take, less that of their longest run."""

    expected_s: float = 0.0

    def observe(self, held_s: float, ran_s: float) -> None:
        """Record a step that took ``held_s`` from its first assignment to its end."""
        delay_s = min(MAX_DELAY_S, max(0.0, held_s - ran_s))
        self.expected_s += STEP_WEIGHT * (delay_s - self.expected_s)
