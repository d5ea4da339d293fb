"""Load-balancing strategies that pick one of several backend servers."""

import random
from collections.abc import Callable, Sequence
from typing import Protocol

import attrs

from rhubarbmount.backend_health import BackendHealth
from rhubarbmount.hosts import Host
from rhubarbmount.registry import Registry

__all__ = ["Backend", "Strategy", "strategies"]


@attrs.define(eq=False)
class Backend:
    """A backend server as seen by one entry host.

    ``share`` is this entry host's part of the slots, ``limit`` the part of it that
    the health status allows. ``position`` is the index in the zone's list of available
    backend servers, or -1 if it takes no more requests.
    """

    host: Host
    health: BackendHealth
    share: int = 0
    limit: int = 0
    own_in_flight: int = 0
    peers_in_flight: int = 0
    position: int = -1
    wake_scheduled: bool = False

    def load(self) -> float:
        """Return the fraction of declared slots in use after one more request."""
        in_flight = self.own_in_flight + self.peers_in_flight + 1
        return in_flight / self.host.slots


class Strategy(Protocol):
    """Choice among backend servers that can all take another request."""

    def pick(self, available: Sequence[Backend], now_s: float) -> Backend:
        """Return one of the backend servers, of which there is at least one."""


StrategyFactory = Callable[[random.Random], Strategy]

strategies: Registry[StrategyFactory] = Registry("strategy")


@strategies.register("round-robin")
@attrs.define
class RoundRobin:
    """Round-robin choice."""

    random: random.Random
    cursor: int = -1

    def pick(self, available: Sequence[Backend], now_s: float) -> Backend:
        """Return the next backend server in the list."""
        self.cursor = (self.cursor + 1) % len(available)
        return available[self.cursor]


@strategies.register("random")
@attrs.define
class RandomChoice:
    """Uniformly random choice."""

    random: random.Random

    def pick(self, available: Sequence[Backend], now_s: float) -> Backend:
        """Return a random backend server."""
        return available[int(self.random.random() * len(available))]


@strategies.register("least-own-in-flight")
@attrs.define
class LeastOwnInFlight:
    """Choice of the backend server with the fewest requests of this entry host."""

    random: random.Random

    def pick(self, available: Sequence[Backend], now_s: float) -> Backend:
        """Return the backend server with the fewest own requests in flight."""
        start = int(self.random.random() * len(available))
        best = available[start]
        for index in range(start - len(available) + 1, start):
            if available[index].own_in_flight < best.own_in_flight:
                best = available[index]
        return best


@strategies.register("two-choices-load")
@attrs.define
class TwoChoicesByLoad:
    """Power of two choices by load, which counts own and peers' requests."""

    random: random.Random

    def pick(self, available: Sequence[Backend], now_s: float) -> Backend:
        """Return the less loaded of two random backend servers."""
        first, second = draw_two(self.random, available)
        return second if second.load() < first.load() else first


@strategies.register("two-choices")
@attrs.define
class TwoChoices:
    """Power of two choices by load, latency and failures."""

    random: random.Random

    def pick(self, available: Sequence[Backend], now_s: float) -> Backend:
        """Return the one of two with the lower load after health penalties."""
        first, second = draw_two(self.random, available)
        first_score = first.load() * first.health.penalty(now_s)
        second_score = second.load() * second.health.penalty(now_s)
        return second if second_score < first_score else first


def draw_two(
    generator: random.Random, available: Sequence[Backend]
) -> tuple[Backend, Backend]:
    """Draw two distinct backend servers at random, or the only one twice."""
    count = len(available)
    if count == 1:
        return available[0], available[0]
    first = int(generator.random() * count)
    second = int(generator.random() * (count - 1))
    if second >= first:
        second += 1
    return available[first], available[second]
