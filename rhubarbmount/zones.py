"""Available backend servers of one part of a pool."""

import random
from collections.abc import Collection

import attrs

from rhubarbmount.strategies import Backend, Strategy

__all__ = ["Zone"]

MAX_RANDOM_DRAWS = 8


@attrs.define
class Zone:
    """Backend servers of a pool in the local data centre, or in all others."""

    strategy: Strategy
    generator: random.Random
    available: list[Backend] = attrs.field(factory=list)
    serving: int = 0

    def update(self, backend: Backend) -> None:
        """List the backend server if it can take a request, else remove it."""
        has_room = backend.own_in_flight < backend.limit
        if has_room == (backend.position >= 0):
            return
        if has_room:
            backend.position = len(self.available)
            self.available.append(backend)
        else:
            self.remove(backend)

    def remove(self, backend: Backend) -> None:
        """Remove a backend server from the list by moving the last one to its index."""
        if backend.position < 0:
            return
        last = self.available.pop()
        if last is not backend:
            self.available[backend.position] = last
            last.position = backend.position
        backend.position = -1

    def pick(self, tried: Collection[str], now_s: float) -> Backend | None:
        """Return an available backend server that has not been tried, or None."""
        if not self.available:
            return None
        backend = self.strategy.pick(self.available, now_s)
        if backend.host.host_id not in tried:
            return backend
        return self._pick_untried(tried)

    def _pick_untried(self, tried: Collection[str]) -> Backend | None:
        count = len(self.available)
        for _ in range(MAX_RANDOM_DRAWS):
            backend = self.available[int(self.generator.random() * count)]
            if backend.host.host_id not in tried:
                return backend
        untried = [b for b in self.available if b.host.host_id not in tried]
        return min(untried, key=Backend.load) if untried else None
