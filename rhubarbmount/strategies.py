"""Strategies that pick one of several backend servers."""

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
    """A backend server as one entry host sees it.

    ``share`` is this entry host's part of the slots, ``limit`` what health leaves
    of it. ``position`` is the place in its zone's list, or -1 when it takes no work.
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
        """Return the slots that would be in use, as a fraction of those declared."""
        in_flight = self.own_in_flight + self.peers_in_flight + 1
        return in_flight / self.host.slots


class Strategy(Protocol):
    """Picks from backend servers that all have room."""

    def pick(self, available: Sequence[Backend], now_s: float) -> Backend:
        """Return one of the backend servers; there is at least one."""


StrategyFactory = Callable[[random.Random], Strategy]

strategies: Registry[StrategyFactory] = Registry("strategy")


@strategies.register("round-robin")
@attrs.define
class RoundRobin:
    """Take each in turn."""

    random: random.Random
    cursor: int = -1

    def pick(self, available: Sequence[Backend], now_s: float) -> Backend:
        """Return the next one in the list."""
        self.cursor = (self.cursor + 1) % len(available)
        return available[self.cursor]


@strategies.register("random")
@attrs.define
class RandomChoice:
    """Take any, each with the same chance."""

    random: random.Random

    def pick(self, available: Sequence[Backend], now_s: float) -> Backend:
        """Return one at random."""
        return available[int(self.random.random() * len(available))]


@strategies.register("least-own-in-flight")
@attrs.define
class LeastOwnInFlight:
    """Take the one that holds the fewest of this entry host's requests."""

    random: random.Random

    def pick(self, available: Sequence[Backend], now_s: float) -> Backend:
        """Return the least loaded by own requests."""
        start = int(self.random.random() * len(available))
        best = available[start]
        for index in range(start - len(available) + 1, start):
            if available[index].own_in_flight < best.own_in_flight:
                best = available[index]
        return best


@strategies.register("two-choices-load")
@attrs.define
class TwoChoicesByLoad:
    """Take the less loaded of two random ones, by own and peers' requests."""

    random: random.Random

    def pick(self, available: Sequence[Backend], now_s: float) -> Backend:
        """Return the less loaded of two."""
        first, second = draw_two(self.random, available)
        return second if second.load() < first.load() else first


@strategies.register("two-choices")
@attrs.define
class TwoChoices:
    """Take the better of two random ones, by load, latency and failures."""

    random: random.Random

    def pick(self, available: Sequence[Backend], now_s: float) -> Backend:
        """Return the one with the lower load after penalties."""
        first, second = draw_two(self.random, available)
        first_score = first.load() * first.health.penalty(now_s)
        second_score = second.load() * second.health.penalty(now_s)
        return second if second_score < first_score else first


def draw_two(
    generator: random.Random, available: Sequence[Backend]
) -> tuple[Backend, Backend]:
    """Draw two different backend servers, or the only one twice."""
    count = len(available)
    if count == 1:
        return available[0], available[0]
    first = int(generator.random() * count)
    second = int(generator.random() * (count - 1))
    if second >= first:
        second += 1
    return available[first], available[second]
