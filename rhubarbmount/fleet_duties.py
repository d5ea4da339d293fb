"""The fleet duties of one entry host; a task for each contends for its lease."""

import math
import uuid
from collections.abc import AsyncIterator, Callable, Iterable

import attrs
import trio

from rhubarbmount.duties import LeaseBounds
from rhubarbmount.duty_runner import Duty, DutyRunner, Lease
from rhubarbmount.lease_reads import LeaseReads
from rhubarbmount.lease_renewals import LeaseRenewals
from rhubarbmount.store.interface import Platform
from rhubarbmount.timers import TimerService

__all__ = ["FleetDuties", "PacedDuty"]

RELEASE_TIMEOUT_S = 4.0
RELEASE_RETRY_PERIOD_S = 0.2
ROUND_OFFSET_S = 0.15


@attrs.define(eq=False)
class PacedDuty:
    """A duty whose rounds begin at least a period apart, however often it is run.

    There is no pause between rounds while ``may_pause`` returns False.
    """

    duty: Duty
    period_s: float
    may_pause: Callable[[], bool] = lambda: True
    name: str = attrs.field(init=False)
    _next_s: float = attrs.field(default=0.0, init=False)

    def __attrs_post_init__(self) -> None:
        self.name = self.duty.name

    def pause_s(self) -> float:
        """Return the time until a round is due."""
        if not self.may_pause():
            return 0.0
        return max(0.0, self._next_s - trio.current_time())

    async def do_round(self, lease: Lease) -> None:
        """Do a round if one is due."""
        now_s = trio.current_time()
        if self.pause_s() > 0.0:
            return
        await self.duty.do_round(lease)
        self._next_s = now_s + self.period_s

    def forget(self) -> None:
        """Drop the duty's cached state and make the next round due."""
        self._next_s = 0.0
        self.duty.forget()


@attrs.frozen
class _DutyTask:
    """A duty that this entry host contends for.

    Its rounds begin ``offset_s`` after each tick and, while it is held, ``period_s``
    after the last round unless a tick comes first.
    """

    runner: DutyRunner
    period_s: float
    offset_s: float


@attrs.define(eq=False)
class _SharedTicks:
    """Wakes all duties of an entry host together, so that they share platform calls."""

    tick: int = 0
    _next: trio.Event = attrs.field(factory=trio.Event)

    async def run(self, ticks: AsyncIterator[object]) -> None:
        """Wake the waiting duties at each tick."""
        async for _ in ticks:
            self.tick += 1
            self._next.set()
            self._next = trio.Event()

    async def after(self, tick: int) -> int:
        """Wait for a tick later than this one and return the latest tick's number."""
        while self.tick <= tick:
            await self._next.wait()
        return self.tick


@attrs.define(eq=False)
class FleetDuties:
    """Contender for the duties, once the view that they decide from has been read."""

    member_id: str
    platform: Platform
    members: Callable[[], Iterable[str]]
    is_ready: Callable[[], bool] = lambda: True
    bounds: LeaseBounds = attrs.field(factory=LeaseBounds)
    _reads: LeaseReads = attrs.field(init=False)
    _renewals: LeaseRenewals = attrs.field(init=False)
    _shared_ticks: _SharedTicks = attrs.field(factory=_SharedTicks, init=False)
    _duty_tasks: list[_DutyTask] = attrs.field(factory=list, init=False)
    _contend_scope: trio.CancelScope = attrs.field(factory=trio.CancelScope, init=False)

    def __attrs_post_init__(self) -> None:
        self._reads = LeaseReads(self.platform, trio.current_time)
        self._renewals = LeaseRenewals(self.platform, _new_id)

    @property
    def holds_any(self) -> bool:
        """Whether this entry host holds any duty, by the rows it last read."""
        return any(task.runner.tracker.is_own for task in self._duty_tasks)

    def holds(self, name: str) -> bool:
        """Return whether this entry host is certain to hold the duty now."""
        now_s = trio.current_time()
        trackers = [
            task.runner.tracker
            for task in self._duty_tasks
            if task.runner.duty.name == name
        ]
        return any(item.is_own and now_s < item.deadline_s for item in trackers)

    def add(self, duty: Duty, period_s: float) -> None:
        """Add a duty to contend for."""
        runner = DutyRunner(
            duty=duty,
            instance_id=f"{self.member_id}/{uuid.uuid4().hex[:12]}",
            platform=self.platform,
            clock=trio.current_time,
            new_id=_new_id,
            members=self.members,
            bounds=self.bounds,
            member_id=self.member_id,
            reads=self._reads,
            renewals=self._renewals,
        )
        offset_s = 0.0
        if period_s >= self.bounds.poll_s:
            offset_s = ROUND_OFFSET_S * len(self._duty_tasks)
        self._duty_tasks.append(_DutyTask(runner, period_s, offset_s))

    async def run(self, timers: TimerService) -> None:
        """Contend for every duty until cancelled."""
        with self._contend_scope:
            async with trio.open_nursery() as nursery:
                for task in self._duty_tasks:
                    nursery.start_soon(self._contend, task)
                await self._shared_ticks.run(timers.every("duties", self.bounds.poll_s))

    async def release(self) -> None:
        """Stop contending and release the duties held here, at a planned stop.

        Attempts are repeated for ``RELEASE_TIMEOUT_S``, half of a lease: after that,
        successors would hardly gain by a release.
        """
        self._contend_scope.cancel()
        with trio.move_on_after(RELEASE_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                for task in self._duty_tasks:
                    nursery.start_soon(_release, task.runner)

    async def _contend(self, task: _DutyTask) -> None:
        tick = 0
        while True:
            with trio.move_on_after(self._pause_s(task)) as pause:
                tick = await self._shared_ticks.after(tick)
            if not self.is_ready():
                continue
            if pause.cancelled_caught:
                await task.runner.run_round()
            elif await task.runner.maintain_lease():
                await trio.sleep(task.offset_s)
                await task.runner.run_round()

    def _pause_s(self, task: _DutyTask) -> float:
        """Return how long to wait for a tick before another round."""
        if not task.runner.tracker.is_own or task.period_s >= self.bounds.poll_s:
            return math.inf
        duty = task.runner.duty
        rest_s = duty.pause_s() if isinstance(duty, PacedDuty) else 0.0
        return max(task.period_s, rest_s)


async def _release(runner: DutyRunner) -> None:
    while not await runner.release():
        await trio.sleep(RELEASE_RETRY_PERIOD_S)


def _new_id() -> str:
    return uuid.uuid4().hex
