"""The fleet duties of one entry host: who contends for them, and what they see."""

import uuid
from collections.abc import Callable, Iterable, Mapping

import attrs
import trio

from rhubarbmount.configuration import Configuration
from rhubarbmount.duties import LeaseBounds
from rhubarbmount.dutyrunner import Duty, DutyRunner
from rhubarbmount.entries import JobTemplate, Team
from rhubarbmount.fleet_view import FleetView
from rhubarbmount.hosts import Host
from rhubarbmount.platform.interface import Platform
from rhubarbmount.timers import TimerService

__all__ = ["FleetDuties", "LocalView"]


@attrs.frozen
class LocalView:
    """The catalogue in force here, and the hosts as last read."""

    configuration: Configuration
    fleet_view: FleetView

    def is_ready(self) -> bool:
        """Return whether both have been read."""
        return self.configuration.ready and self.fleet_view.ready

    def catalogue_version(self) -> int:
        """Return the version of the catalogue in force."""
        return self.configuration.version

    def teams(self) -> Iterable[Team]:
        """Return the teams of that version."""
        snapshot = self.configuration.snapshot
        return [] if snapshot is None else snapshot.teams_by_name.values()

    def job_templates(self) -> Mapping[str, JobTemplate]:
        """Return the job templates of that version by name."""
        snapshot = self.configuration.snapshot
        return {} if snapshot is None else snapshot.job_templates_by_name

    def hosts(self) -> Mapping[str, Host]:
        """Return the rows of all hosts by id."""
        return self.fleet_view.hosts_by_id


@attrs.define(eq=False)
class FleetDuties:
    """Contend for duties, once the view they decide from has been read.

    ``member_id`` is the name by which ``members`` lists this entry host; its leases
    carry an id that is new at each start.
    """

    member_id: str
    platform: Platform
    members: Callable[[], Iterable[str]]
    is_ready: Callable[[], bool]
    bounds: LeaseBounds = attrs.field(factory=LeaseBounds)
    _instance_id: str = attrs.field(init=False)
    _runners: list[tuple[DutyRunner, float]] = attrs.field(factory=list, init=False)
    _lock_by_duty: dict[str, trio.Lock] = attrs.field(factory=dict, init=False)
    _handed_back: bool = attrs.field(default=False, init=False)

    def __attrs_post_init__(self) -> None:
        self._instance_id = f"{self.member_id}/{uuid.uuid4().hex[:12]}"

    @property
    def holds_any(self) -> bool:
        """Tell whether any duty is held here, as far as this entry host knows."""
        return any(runner.tracker.is_own for runner, _ in self._runners)

    def add(self, duty: Duty, period_s: float) -> None:
        """Take part in a duty, with a round each period while it is held here."""
        runner = DutyRunner(
            duty,
            self._instance_id,
            self.platform,
            trio.current_time,
            lambda: uuid.uuid4().hex,
            self.members,
            self.bounds,
            self.member_id,
        )
        self._runners.append((runner, period_s))
        self._lock_by_duty[duty.name] = trio.Lock()

    async def run(self, timers: TimerService) -> None:
        """Run every duty until cancelled."""
        async with trio.open_nursery() as nursery:
            for runner, period_s in self._runners:
                nursery.start_soon(self._run_one, runner, period_s, timers)

    async def hand_back(self) -> None:
        """Free the duties held here for others, and take none again."""
        self._handed_back = True
        for runner, _ in self._runners:
            async with self._lock_by_duty[runner.duty.name]:
                await runner.hand_back()

    async def _run_one(
        self, runner: DutyRunner, period_s: float, timers: TimerService
    ) -> None:
        async for _tick in timers.every(f"duty-{runner.duty.name}", period_s):
            async with self._lock_by_duty[runner.duty.name]:
                if self.is_ready() and not self._handed_back:
                    await runner.step()
