"""Fencing tokens by which lifetimes of a backend server tell their calls apart; no I/O.

A backend server checks the name and the token of a call alone. Answers the pattern of
a server that starts again under its name: a call for its earlier lifetime that arrives
seconds late would renew leases, start runs and acknowledge ends there.
"""

import attrs

from rhubarbmount.batch.lifetimes import born_ms_of, name_of

__all__ = ["ServerTokens"]

# Each life of a host's server has a name of its own, but for those that start again.
MAX_NAMES = 20_000


@attrs.define(eq=False)
class ServerTokens:
    """Numbers the lifetimes of each name, so that a later call has a higher token.

    A lifetime that has obeyed a call with the highest number obeys none that was meant
    for the others. An identifier without the time of a start has the highest number.
    """

    _number_by_id_by_name: dict[str, dict[str, int]] = attrs.field(factory=dict)

    def number_of(self, server_id: str) -> int:
        """Return the number of a lifetime, which is the highest if it is new."""
        numbers = self._number_by_id_by_name.setdefault(name_of(server_id), {})
        if not born_ms_of(server_id):
            return max(numbers.values(), default=0)
        if server_id not in numbers:
            numbers[server_id] = max(numbers.values(), default=-1) + 1
            self._trim()
        return numbers[server_id]

    def _trim(self) -> None:
        """Forget the earliest of too many names, of which one lifetime was seen."""
        if len(self._number_by_id_by_name) <= MAX_NAMES:
            return
        for name, numbers in self._number_by_id_by_name.items():
            if len(numbers) == 1:
                del self._number_by_id_by_name[name]
                return

    def highest_of(self, server_id: str) -> int:
        """Return the highest number that a lifetime of the name has."""
        number = self.number_of(server_id)
        numbers = self._number_by_id_by_name[name_of(server_id)]
        return max([number, *numbers.values()])

    def is_highest(self, server_id: str) -> bool:
        """Return whether all other lifetimes of the name have lower numbers."""
        number = self.number_of(server_id)
        numbers = self._number_by_id_by_name[name_of(server_id)]
        return all(other < number for key, other in numbers.items() if key != server_id)

    def raise_number(self, server_id: str) -> int:
        """Return a number above those of all other lifetimes of the name."""
        if not self.is_highest(server_id):
            numbers = self._number_by_id_by_name[name_of(server_id)]
            numbers[server_id] = max(numbers.values()) + 1
        return self.number_of(server_id)
