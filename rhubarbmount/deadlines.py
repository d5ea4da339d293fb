"""Deadlines of waits for a peer, enforced by one task instead of a scope each."""

import math
from types import TracebackType
from typing import Protocol

import attrs
import trio

__all__ = ["Deadline", "Deadlines", "Interruptible"]

INTERRUPT_INTERVAL_S = 0.01


class Interruptible(Protocol):
    """An operation that may be waiting for a peer."""

    def interrupt(self) -> None:
        """End the task's current wait, if there is one."""


@attrs.define(eq=False)
class Deadlines:
    """Set of deadlines, whose operations are interrupted repeatedly until they end.

    Times are seconds on trio's clock. Nothing is interrupted while ``run`` isn't
    running.
    """

    _deadline_s_by_deadline: dict["Deadline", float] = attrs.field(factory=dict)
    _next_s: float = -math.inf
    _earlier_deadline_added: trio.Event = attrs.field(factory=trio.Event)

    def at(self, deadline_s: float, target: Interruptible) -> "Deadline":
        """Return a context manager whose waits are interrupted at the deadline."""
        return Deadline(self, deadline_s, target)

    async def run(self) -> None:
        """Interrupt operations past their deadline until cancelled."""
        while True:
            self._earlier_deadline_added = trio.Event()
            self._next_s = self._interrupt_due(trio.current_time())
            with trio.move_on_at(self._next_s):
                await self._earlier_deadline_added.wait()

    def add(self, deadline: "Deadline") -> None:
        """Start watching a deadline."""
        self._deadline_s_by_deadline[deadline] = deadline.deadline_s
        if deadline.deadline_s < self._next_s:
            self._next_s = deadline.deadline_s
            self._earlier_deadline_added.set()

    def remove(self, deadline: "Deadline") -> None:
        """Stop watching a deadline."""
        del self._deadline_s_by_deadline[deadline]

    def _interrupt_due(self, now_s: float) -> float:
        next_s = math.inf
        for deadline, deadline_s in self._deadline_s_by_deadline.items():
            if deadline_s <= now_s:
                deadline.target.interrupt()
                deadline_s = now_s + INTERRUPT_INTERVAL_S
            next_s = min(next_s, deadline_s)
        return next_s


@attrs.define(eq=False)
class Deadline:
    """Context manager in which waits are interrupted from the deadline on."""

    deadlines: Deadlines
    deadline_s: float
    target: Interruptible

    def __enter__(self) -> "Deadline":
        self.deadlines.add(self)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.deadlines.remove(self)
