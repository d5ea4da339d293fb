"""A platform adapter that fails on command, for tests and benches."""

import random
from collections.abc import Awaitable, Callable
from typing import TypeVar

import attrs
import trio

from rhubarbmount.errors import OutcomeUnknown, PlatformUnavailable
from rhubarbmount.store.interface import (
    HostCommand,
    LiveHost,
    Platform,
    Row,
    TaskCommand,
    Transaction,
    TransactionResult,
)

__all__ = ["FaultyPlatform", "Faults"]

Answer = TypeVar("Answer")


@attrs.define
class Faults:
    """What goes wrong; shares are the parts of all calls, between 0 and 1.

    ``lost_answer_share`` are effects without an answer, ``lost_call_share`` calls
    that neither take effect nor get an answer, and ``late_effect_share`` effects
    that come ``late_effect_s`` after the caller was told nothing.
    """

    down: bool = False
    latency_s: float = 0.0
    lost_answer_share: float = 0.0
    lost_call_share: float = 0.0
    late_effect_share: float = 0.0
    late_effect_s: float = 0.0
    hosts_lag: int = 0


NO_FAULTS = Faults()


@attrs.define(eq=False)
class FaultyPlatform:
    """Pass calls on to another adapter, with seeded faults.

    With ``faulty_calls`` only so many calls meet the faults.
    """

    inner: Platform
    nursery: trio.Nursery
    faults: Faults = attrs.field(factory=Faults)
    seed: int = 0
    faulty_calls: int | None = None
    calls: int = 0
    _random: random.Random = attrs.field(init=False)
    _seen_hosts: list[list[LiveHost]] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        self._random = random.Random(self.seed)

    async def read(self, table: str, key: str) -> Row | None:
        """Return the row, or None."""
        return await self._ask(lambda: self.inner.read(table, key))

    async def scan(self, table: str, prefix: str = "") -> list[Row]:
        """Return the rows whose keys start with the prefix, in key order."""
        return await self._ask(lambda: self.inner.scan(table, prefix))

    async def transact(self, transaction: Transaction) -> TransactionResult:
        """Commit all writes together, or none of them."""
        return await self._act(lambda: self.inner.transact(transaction))

    async def put_object(self, name: str, body: bytes) -> None:
        """Store an object."""
        await self._act(lambda: self.inner.put_object(name, body))

    async def get_object(self, name: str) -> bytes | None:
        """Return the object, or None."""
        return await self._ask(lambda: self.inner.get_object(name))

    async def live_hosts(self) -> list[LiveHost]:
        """Return the list as it was ``hosts_lag`` calls ago."""
        self._seen_hosts.append(await self._ask(lambda: self.inner.live_hosts()))
        del self._seen_hosts[: -1 - self.faults.hosts_lag]
        return self._seen_hosts[0]

    async def command_host(self, command: HostCommand) -> None:
        """Ask the platform to act on a host."""
        await self._act(lambda: self.inner.command_host(command))

    async def command_task(self, command: TaskCommand) -> None:
        """Ask the platform to act on a task."""
        await self._act(lambda: self.inner.command_task(command))

    async def _ask(self, call: Callable[[], Awaitable[Answer]]) -> Answer:
        faults = await self._reach()
        if self._random.random() < faults.lost_call_share:
            raise PlatformUnavailable("the answer was lost")
        return await call()

    async def _act(self, call: Callable[[], Awaitable[Answer]]) -> Answer:
        faults = await self._reach()
        drawn = self._random.random()
        if drawn < faults.lost_call_share:
            raise OutcomeUnknown("the call was lost")
        drawn -= faults.lost_call_share
        if drawn < faults.late_effect_share:
            self.nursery.start_soon(self._late, call, faults.late_effect_s)
            raise OutcomeUnknown("the call is late")
        drawn -= faults.late_effect_share
        answer = await call()
        if drawn < faults.lost_answer_share:
            raise OutcomeUnknown("the answer was lost")
        return answer

    async def _reach(self) -> Faults:
        self.calls += 1
        faults = self._next_faults()
        await trio.sleep(faults.latency_s)
        if faults.down:
            raise PlatformUnavailable("the platform is down")
        return faults

    def _next_faults(self) -> Faults:
        if self.faulty_calls is None:
            return self.faults
        self.faulty_calls -= 1
        return self.faults if self.faulty_calls >= 0 else NO_FAULTS

    async def _late(self, call: Callable[[], Awaitable[object]], wait_s: float) -> None:
        await trio.sleep(wait_s)
        await call()
