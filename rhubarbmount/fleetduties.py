"""The fleet duties of one entry host, each a task that contends for its lease."""

import time
import uuid
from collections.abc import Callable, Iterable

import attrs
import trio

from rhubarbmount.dutyrunner import Duty, DutyRunner
from rhubarbmount.hostduty import HostDuty
from rhubarbmount.hostprobe import HostProbe
from rhubarbmount.platform.client import PlatformClient
from rhubarbmount.platform.interface import (
    HostCommand,
    LiveHost,
    Row,
    Transaction,
    TransactionResult,
)
from rhubarbmount.repair import RepairDuty
from rhubarbmount.settings import FleetSettings, Weights
from rhubarbmount.timers import TimerService
from rhubarbmount.waveduty import WaveDuty
from rhubarbmount.waveplan import WaveSettings

__all__ = ["FleetDuties", "UnsettledPlatform", "wave_settings"]

HAND_BACK_TIMEOUT_S = 1.0


@attrs.frozen
class UnsettledPlatform:
    """The platform for duties, which settle lost answers by reading their rows."""

    client: PlatformClient

    async def read(self, table: str, key: str) -> Row | None:
        """Return the row, or None."""
        return await self.client.read(table, key)

    async def scan(self, table: str, prefix: str = "") -> list[Row]:
        """Return the rows whose keys start with the prefix, in key order."""
        return await self.client.scan(table, prefix)

    async def transact(self, transaction: Transaction) -> TransactionResult:
        """Commit all writes together, or none of them."""
        return await self.client.transact(transaction, settled=False)

    async def put_object(self, name: str, body: bytes) -> None:
        """Store an object."""
        await self.client.put_object(name, body)

    async def get_object(self, name: str) -> bytes | None:
        """Return the object, or None."""
        return await self.client.get_object(name)

    async def live_hosts(self) -> list[LiveHost]:
        """Return the lagging list of live and leaving hosts."""
        return await self.client.live_hosts()

    async def command_host(self, command: HostCommand) -> None:
        """Ask the platform to act on a host."""
        await self.client.command_host(command)

    async def command_task(self, command: object) -> None:
        """Refuse: no fleet duty commands tasks."""
        raise TypeError("fleet duties command no tasks")


def wave_settings(settings: FleetSettings, weights: Weights) -> WaveSettings:
    """Return the lengths of a host's steps and the weights, for planning."""
    work = settings.work
    return WaveSettings(
        drain_s=work.view_s + work.drain_s,
        warm_s=work.warm_s,
        hour_weight=weights.roll_out_time,
        buffer_weight=weights.buffer_hosts,
        move_weight=weights.host_moves,
    )


@attrs.define(eq=False)
class FleetDuties:
    """Run one task for each fleet duty."""

    member_id: str
    client: PlatformClient
    probe: HostProbe
    members: Callable[[], Iterable[str]]
    settings: FleetSettings
    weights: Weights
    runners: list[DutyRunner] = attrs.field(init=False)
    _contending: trio.CancelScope = attrs.field(factory=trio.CancelScope)

    def __attrs_post_init__(self) -> None:
        platform = UnsettledPlatform(self.client)
        observe, settings = self.probe.observe, self.settings
        waves = wave_settings(settings, self.weights)
        duties: tuple[Duty, ...] = (
            HostDuty(platform, observe, time.time, settings.work),
            RepairDuty(
                platform, observe, time.time, settings.buffer_pool, settings.repair
            ),
            WaveDuty(platform, time.time, waves),
        )
        self.runners = [
            DutyRunner(
                duty=duty,
                instance_id=f"{self.member_id}/{uuid.uuid4().hex[:12]}",
                platform=platform,
                clock=trio.current_time,
                new_id=lambda: uuid.uuid4().hex,
                members=self.members,
                bounds=settings.lease,
                member_id=self.member_id,
            )
            for duty in duties
        ]

    @property
    def holds_any(self) -> bool:
        """Tell whether this entry host holds a duty, as far as it knows."""
        return any(runner.tracker.is_own for runner in self.runners)

    async def run(self, timers: TimerService) -> None:
        """Contend for every duty until cancelled."""
        if not self.settings.duties:
            return
        with self._contending:
            await self._contend(timers)

    async def _contend(self, timers: TimerService) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.probe.run, timers)
            for runner in self.runners:
                ticks = timers.every(runner.duty.name, self.settings.lease.poll_s)
                nursery.start_soon(runner.run, ticks)

    async def hand_back(self) -> None:
        """Contend no more and free the duties held here, as a planned stop does."""
        self._contending.cancel()
        with trio.move_on_after(HAND_BACK_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                for runner in self.runners:
                    nursery.start_soon(runner.hand_back)
