"""Cached copies of platform state, refreshed from the platform or from peers."""

import logging
from collections.abc import Callable, Iterable
from typing import Protocol

import attrs
import trio

from rhubarbmount.errors import FindingsError, OutcomeUnknown, PlatformUnavailable
from rhubarbmount.log import event
from rhubarbmount.timers import TimerService

__all__ = ["Follower", "Pull", "PulledState", "run_followers"]

PEERS_TIMEOUT_S = 1.5
POLL_PERIOD_S = 1.0
STALE_AFTER_S = 1.5

_logger = logging.getLogger(__name__)


@attrs.frozen
class PulledState:
    """A peer's copy; ``body`` is None if the requester has the same version.

    ``age_s`` is the time since the platform last confirmed the peer's copy.
    """

    version: int
    age_s: float
    body: bytes | None


class Pull(Protocol):
    """Requests a peer's copy of a state; returns None if no peer responds."""

    async def __call__(self, state: str, known_version: int) -> PulledState | None:
        """Return a copy at the known version or later."""


@attrs.define(eq=False)
class Follower:
    """Keeps a copy of one state fresh; subclasses read and adopt it.

    ``clock`` returns monotonic seconds. The version never decreases.
    """

    pull: Pull | None = None
    clock: Callable[[], float] = trio.current_time
    version: int = attrs.field(default=0, init=False)
    confirmed_s: float | None = attrs.field(default=None, init=False)
    _pulling_newer: bool = attrs.field(default=False, init=False)
    _refreshing: bool = attrs.field(default=False, init=False)
    _pulling_stale: bool = attrs.field(default=False, init=False)
    _awaiting_platform: bool = attrs.field(default=False, init=False)
    _platform_available: bool = attrs.field(default=True, init=False)

    state_name = "state"
    platform_timeout_s = 2.0

    @property
    def ready(self) -> bool:
        """Return whether there is a copy that the platform has confirmed."""
        return self.confirmed_s is not None

    def age_s(self) -> float:
        """Return the time since the platform last confirmed the copy.

        Infinite if it never has.
        """
        if self.confirmed_s is None:
            return float("inf")
        return self.clock() - self.confirmed_s

    async def run(self, timers: TimerService) -> None:
        """Refresh the copy once per second until cancelled."""
        await run_followers([self], timers)

    def start_refresh(self, nursery: trio.Nursery) -> None:
        """Start a refresh unless one is running.

        If the platform is unresponsive and the copy stale, also request it from peers.
        """
        if (
            self._is_platform_unresponsive()
            and not self._pulling_stale
            and self.age_s() > STALE_AFTER_S
        ):
            self._pulling_stale = True
            nursery.start_soon(self._pull_while_waiting)
        if not self._refreshing:
            self._refreshing = True
            nursery.start_soon(self._refresh_once)

    def _is_platform_unresponsive(self) -> bool:
        """Return whether a refresh awaits the platform, or the last one failed."""
        if self._refreshing:
            return self._awaiting_platform
        return not self._platform_available

    async def _refresh_once(self) -> None:
        try:
            await self.refresh()
        finally:
            self._refreshing = False

    async def _pull_while_waiting(self) -> None:
        """Update a stale copy from peers while a refresh awaits the platform."""
        try:
            await self._from_peers()
        finally:
            self._pulling_stale = False

    async def on_newer_version(self, version: int) -> None:
        """Fetch a later version that a peer has announced.

        Peers are tried first, then the platform.
        """
        if version <= self.version or self._pulling_newer:
            return
        self._pulling_newer = True
        try:
            if not await self._from_peers():
                await self._from_platform()
        finally:
            self._pulling_newer = False

    async def refresh(self) -> None:
        """Refresh the copy from the platform, or from a peer if that fails."""
        if not await self._from_platform() and not self._pulling_stale:
            await self._from_peers()

    def share(self, known_version: int) -> PulledState | None:
        """Return the copy for a peer at ``known_version``; None if there is none."""
        raise TypeError("subclasses must implement share")

    async def _from_platform(self) -> bool:
        requested_s = self.clock()
        self._awaiting_platform = True
        try:
            with trio.fail_after(self.platform_timeout_s):
                await self._read_platform()
        except (
            PlatformUnavailable,
            OutcomeUnknown,
            FindingsError,
            trio.TooSlowError,
        ) as error:
            self._note_platform(False, repr(error))
            return False
        finally:
            self._awaiting_platform = False
        self._confirm(requested_s)
        self._note_platform(True)
        return True

    async def _from_peers(self) -> bool:
        if self.pull is None:
            return False
        requested_s = self.clock()
        with trio.move_on_after(PEERS_TIMEOUT_S):
            pulled = await self.pull(self.state_name, self.version)
            if pulled is not None:
                return self._adopt_pulled(pulled, requested_s)
        return False

    def _adopt_pulled(self, pulled: PulledState, requested_s: float) -> bool:
        if pulled.version < self.version:
            return False
        if pulled.body is not None:
            try:
                self._adopt_body(pulled.body)
            except FindingsError as error:
                event(
                    _logger,
                    "pull-refused",
                    logging.WARNING,
                    state=self.state_name,
                    reason=error.message,
                )
                return False
        if pulled.version != self.version:
            return False
        self._confirm(requested_s - max(pulled.age_s, 0.0))
        return True

    def _confirm(self, confirmed_s: float) -> None:
        if self.confirmed_s is None or confirmed_s > self.confirmed_s:
            self.confirmed_s = confirmed_s

    def _note_platform(self, available: bool, reason: str = "") -> None:
        if available == self._platform_available:
            return
        self._platform_available = available
        event(
            _logger,
            "platform-answers" if available else "platform-silent",
            logging.INFO if available else logging.WARNING,
            state=self.state_name,
            version=self.version,
            reason=reason or None,
        )

    async def _read_platform(self) -> None:
        """Update the copy to the platform's head."""
        raise TypeError("subclasses must implement _read_platform")

    def _adopt_body(self, body: bytes) -> None:
        """Replace the copy by the one in a peer's response."""
        raise TypeError("subclasses must implement _adopt_body")


async def run_followers(followers: Iterable[Follower], timers: TimerService) -> None:
    """Start a refresh of all followers once per second, until cancelled."""
    async with trio.open_nursery() as nursery:
        async for _ in timers.every("heads", POLL_PERIOD_S):
            for follower in followers:
                follower.start_refresh(nursery)
