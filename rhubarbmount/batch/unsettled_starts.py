"""Starts that a later lifetime of their backend server may carry out; free of I/O."""

import attrs

from rhubarbmount.batch.model import TaskId

__all__ = ["MAX_AGE_S", "MAX_STARTS", "UnsettledStart", "UnsettledStarts"]

# How long after it was sent a call without an answer may still be carried out. The
# expiry that it carries says nothing, as a later lifetime has another clock.
MAX_AGE_S = 30.0
# SENDER_COUNT senders that wait for each answer in vain send less in MAX_AGE_S.
MAX_STARTS = 1024


@attrs.frozen
class UnsettledStart:
    """A start of a run whose outcome is not certain for a lifetime.

    If ``is_answered``, nothing of it is under way any more, but a later lifetime may
    have answered; a list requested from that one afterwards shows the run.
    """

    task: TaskId
    run: int
    sent_s: float
    is_answered: bool = False

    @property
    def run_key(self) -> tuple[TaskId, int]:
        """Return the task and the run."""
        return self.task, self.run


@attrs.define(eq=False)
class UnsettledStarts:
    """The starts sent to one lifetime whose outcome there is not certain.

    Each try counts: one that was not answered may still be carried out after a later
    one has been. An answered try is settled once a renewal that was sent afterwards
    shows that the lifetime went on until then.
    """

    # Starts without an answer, by the number of the try.
    _open_by_number: dict[int, UnsettledStart] = attrs.field(factory=dict)
    # Answered starts with the time of the answer, by the number of the try.
    _answered_by_number: dict[int, tuple[float, UnsettledStart]] = attrs.field(
        factory=dict
    )
    _last_number: int = 0

    def note(self, task: TaskId, run: int, now_s: float) -> int:
        """Record a try that is about to be sent; return its number."""
        return self._add(UnsettledStart(task, run, now_s))

    def inherit(self, start: UnsettledStart) -> None:
        """Record a start without an answer that was sent to an earlier lifetime."""
        if not start.is_answered:
            self._add(start)

    def _add(self, start: UnsettledStart) -> int:
        self._last_number += 1
        self._open_by_number[self._last_number] = start
        return self._last_number

    def drop(self, number: int) -> None:
        """Forget a try that was not sent, or that was refused."""
        self._open_by_number.pop(number, None)

    def note_answer(self, number: int, now_s: float) -> None:
        """Record that this lifetime or a later one has answered that the run began."""
        start = self._open_by_number.pop(number, None)
        if start is not None:
            answered = attrs.evolve(start, is_answered=True)
            self._answered_by_number[number] = (now_s, answered)

    def settle_answered(self, before_s: float) -> None:
        """Forget the tries answered before a renewal that this lifetime answered."""
        for number, (answered_s, _) in list(self._answered_by_number.items()):
            if answered_s < before_s:
                del self._answered_by_number[number]

    def trim(self, now_s: float) -> int:
        """Forget what is too old, and the oldest beyond MAX_STARTS; return how many.

        Only the latter are counted, as those may still be carried out.
        """
        oldest_s = now_s - MAX_AGE_S
        for number, start in list(self._open_by_number.items()):
            if start.sent_s < oldest_s:
                del self._open_by_number[number]
        self.settle_answered(oldest_s)
        dropped = 0
        for starts in (self._open_by_number, self._answered_by_number):
            while len(starts) > MAX_STARTS:
                del starts[min(starts)]
                dropped += 1
        return dropped

    def take_all(self, now_s: float) -> list[UnsettledStart]:
        """Return the unsettled starts, for a later lifetime, and forget them."""
        starts = self.find_all(now_s)
        self._open_by_number.clear()
        self._answered_by_number.clear()
        return starts

    def find_all(self, now_s: float) -> list[UnsettledStart]:
        """Return the unsettled starts, one of each run; an open try counts most."""
        start_by_run: dict[tuple[TaskId, int], UnsettledStart] = {}
        oldest_s = now_s - MAX_AGE_S
        answered = [start for _, start in self._answered_by_number.values()]
        for start in [*answered, *self._open_by_number.values()]:
            if start.sent_s >= oldest_s:
                start_by_run[start.run_key] = start
        return list(start_by_run.values())
