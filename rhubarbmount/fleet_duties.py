"""The fleet duties of one entry host, each a task that contends for its lease."""

import uuid
from collections.abc import Callable, Iterable

import attrs
import trio

from rhubarbmount.duties import LeaseBounds
from rhubarbmount.duty_runner import Duty, DutyRunner, Lease
from rhubarbmount.lease_reads import LeaseReads
from rhubarbmount.platform.interface import Platform
from rhubarbmount.timers import TimerService

__all__ = ["FleetDuties", "PacedDuty"]

HAND_BACK_TIMEOUT_S = 1.0


@attrs.define(eq=False)
class PacedDuty:
    """A duty whose rounds are at least a period apart, however often it is held.

    The pause is cut short while ``may_pause`` returns False.
    """

    duty: Duty
    period_s: float
    may_pause: Callable[[], bool] = lambda: True
    name: str = attrs.field(init=False)
    _next_s: float = attrs.field(default=0.0, init=False)

    def __attrs_post_init__(self) -> None:
        self.name = self.duty.name

    async def do_round(self, lease: Lease) -> None:
        """Do a round if one is due."""
        now_s = trio.current_time()
        if now_s < self._next_s and self.may_pause():
            return
        await self.duty.do_round(lease)
        self._next_s = now_s + self.period_s

    def forget(self) -> None:
        """Drop what was read, and let the next round be due."""
        self._next_s = 0.0
        self.duty.forget()


@attrs.frozen
class _Part:
    """A duty that this entry host takes part in, with a step each period."""

    runner: DutyRunner
    period_s: float


@attrs.define(eq=False)
class FleetDuties:
    """Contend for duties, once the view they decide from has been read."""

    member_id: str
    platform: Platform
    members: Callable[[], Iterable[str]]
    is_ready: Callable[[], bool] = lambda: True
    bounds: LeaseBounds = attrs.field(factory=LeaseBounds)
    _reads: LeaseReads = attrs.field(init=False)
    _parts: list[_Part] = attrs.field(factory=list, init=False)
    _contending: trio.CancelScope = attrs.field(factory=trio.CancelScope, init=False)

    def __attrs_post_init__(self) -> None:
        self._reads = LeaseReads(self.platform, trio.current_time)

    @property
    def holds_any(self) -> bool:
        """Tell whether this entry host holds a duty, as far as it knows."""
        return any(part.runner.tracker.is_own for part in self._parts)

    def holds(self, name: str) -> bool:
        """Tell whether this entry host surely holds that duty now."""
        now_s = trio.current_time()
        trackers = [
            part.runner.tracker for part in self._parts if part.runner.duty.name == name
        ]
        return any(item.is_own and now_s < item.deadline_s for item in trackers)

    def add(self, duty: Duty, period_s: float) -> None:
        """Take part in a duty."""
        runner = DutyRunner(
            duty=duty,
            instance_id=f"{self.member_id}/{uuid.uuid4().hex[:12]}",
            platform=self.platform,
            clock=trio.current_time,
            new_id=lambda: uuid.uuid4().hex,
            members=self.members,
            bounds=self.bounds,
            member_id=self.member_id,
            reads=self._reads,
        )
        self._parts.append(_Part(runner, period_s))

    async def run(self, timers: TimerService) -> None:
        """Contend for every duty until cancelled."""
        with self._contending:
            async with trio.open_nursery() as nursery:
                for part in self._parts:
                    nursery.start_soon(self._contend, part, timers)

    async def hand_back(self) -> None:
        """Contend no more and free the duties held here, as a planned stop does."""
        self._contending.cancel()
        with trio.move_on_after(HAND_BACK_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                for part in self._parts:
                    nursery.start_soon(part.runner.hand_back)

    async def _contend(self, part: _Part, timers: TimerService) -> None:
        name = f"duty-{part.runner.duty.name}"
        ticks = timers.every(name, part.period_s)
        async for _tick in ticks:
            if self.is_ready():
                await part.runner.step()
            ticks.period_s = self._period_s(part)

    def _period_s(self, part: _Part) -> float:
        """Return the time between steps, which is short only for a duty held here."""
        if part.runner.tracker.is_own:
            return part.period_s
        return max(part.period_s, self.bounds.poll_s)
