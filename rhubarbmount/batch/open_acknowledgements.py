"""Acknowledgements that another lifetime of their server may get; free of I/O.

A backend server keeps the highest number that was ever acknowledged to it. One that was
meant for its earlier lifetime thus makes it forget ends of runs that nobody has read.
"""

from collections import deque

import attrs

from rhubarbmount.batch.lifetimes import name_of
from rhubarbmount.batch.unsettled_starts import MAX_AGE_S

__all__ = ["OpenAcknowledgements"]


@attrs.frozen
class _Call:
    """A renewal with an acknowledgement; ``server_id`` is the lifetime it is for."""

    server_id: str
    sent_s: float


@attrs.define(eq=False)
class OpenAcknowledgements:
    """Renewals with an acknowledgement that their lifetime has not answered.

    Any lifetime of the server's name may still carry them out, unless it has answered
    a call with a higher fencing token before.
    """

    _call_by_number_by_name: dict[str, dict[int, _Call]] = attrs.field(factory=dict)
    # Numbers and names of the calls in the order of sending, answered ones included.
    _sent: deque[tuple[float, int, str]] = attrs.field(factory=deque)
    _last_number: int = 0

    def note(self, server_id: str, now_s: float) -> int:
        """Record a call that is about to be sent; return its number."""
        self._forget_old(now_s)
        self._last_number += 1
        name = name_of(server_id)
        calls = self._call_by_number_by_name.setdefault(name, {})
        calls[self._last_number] = _Call(server_id, now_s)
        self._sent.append((now_s, self._last_number, name))
        return self._last_number

    def settle(self, server_id: str, number: int) -> None:
        """Forget a call that was answered by its lifetime, or not sent."""
        self._remove(name_of(server_id), number)

    def may_reach(self, server_id: str, now_s: float) -> bool:
        """Return whether a lifetime may have got, or may get, one for another."""
        calls = self._call_by_number_by_name.get(name_of(server_id), {})
        return any(
            call.server_id != server_id and now_s <= call.sent_s + MAX_AGE_S
            for call in calls.values()
        )

    def _forget_old(self, now_s: float) -> None:
        while self._sent and now_s > self._sent[0][0] + MAX_AGE_S:
            _, number, name = self._sent.popleft()
            self._remove(name, number)

    def _remove(self, name: str, number: int) -> None:
        calls = self._call_by_number_by_name.get(name)
        if calls is None:
            return
        calls.pop(number, None)
        if not calls:
            del self._call_by_number_by_name[name]
