"""The duties and the host probe of one entry host, built from its settings."""

import time

import attrs
import trio

from rhubarbmount.cadence import CadenceDuty
from rhubarbmount.explain import DecisionRecorder
from rhubarbmount.fleet_counters import FleetCounters
from rhubarbmount.fleet_duties import FleetDuties, PacedDuty
from rhubarbmount.host_duty import HostDuty
from rhubarbmount.host_probe import HostProbe
from rhubarbmount.local_view import LocalView
from rhubarbmount.pool_plan import WaveSettings
from rhubarbmount.repair import RepairDuty
from rhubarbmount.request_policy import RequestPolicy
from rhubarbmount.scheduling import SchedulingDuty
from rhubarbmount.scheduling_policy import Learned
from rhubarbmount.settings import FleetSettings, Settings, Weights
from rhubarbmount.store.client import PlatformClient
from rhubarbmount.timers import TimerService
from rhubarbmount.wave_duty import WaveDuty

__all__ = ["FleetTasks", "wave_settings"]

CADENCE_PERIOD_S = 30.0
HOSTS_PERIOD_S = 1.0
REPAIR_PERIOD_S = 5.0
SCHEDULING_PERIOD_S = 0.25
IDLE_SCHEDULING_PERIOD_S = 0.75


def wave_settings(settings: FleetSettings, weights: Weights) -> WaveSettings:
    """Return the durations of a host's transitions and the weights, for planning."""
    work = settings.work
    return WaveSettings(
        drain_s=work.view_s + work.drain_s,
        warm_s=work.warm_s,
        hour_weight=weights.roll_out_time,
        buffer_weight=weights.buffer_hosts,
        move_weight=weights.host_moves,
    )


@attrs.define(eq=False)
class FleetTasks:
    """Host probe and fleet duties of one entry host."""

    settings: Settings
    policy: RequestPolicy
    client: PlatformClient
    view: LocalView
    recorder: DecisionRecorder
    counters: FleetCounters = attrs.field(factory=FleetCounters)
    duties: FleetDuties = attrs.field(init=False)
    probe: HostProbe = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.duties = FleetDuties(
            self.settings.instance,
            self.client,
            lambda: self.policy.entry_hosts.members(),
            self.view.is_ready,
            self.settings.fleet.lease,
        )
        self.probe = HostProbe(
            self.settings.data_centre,
            self.view.hosts,
            self.policy.view_by_pool,
            lambda: self.duties.holds_any,
        )
        self._add_host_duties()
        self._add_scheduling()

    async def run(self, timers: TimerService) -> None:
        """Run until cancelled; without duties in the settings, do nothing."""
        if not self.settings.fleet.duties:
            return
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.probe.run, timers)
            nursery.start_soon(self.duties.run, timers)

    def _add_host_duties(self) -> None:
        fleet = self.settings.fleet
        platform = self.client
        observe = self.probe.observe
        waves = wave_settings(fleet, self.settings.weights)
        recorder = self.recorder
        repair = RepairDuty(
            platform,
            observe,
            time.time,
            fleet.buffer_pool,
            fleet.repair,
            self.counters,
            recorder=recorder,
            may_fail=self.probe.is_near,
        )
        hosts = HostDuty(
            platform,
            observe,
            time.time,
            fleet.work,
            self.counters,
            recorder=recorder,
        )
        wave = WaveDuty(
            platform, time.time, waves, self.counters, observe, recorder=recorder
        )
        self.duties.add(hosts, HOSTS_PERIOD_S)
        self.duties.add(PacedDuty(repair, REPAIR_PERIOD_S), HOSTS_PERIOD_S)
        self.duties.add(wave, HOSTS_PERIOD_S)
        if fleet.cadence:
            cadence = CadenceDuty(platform, time.time)
            self.duties.add(PacedDuty(cadence, CADENCE_PERIOD_S), HOSTS_PERIOD_S)

    def _add_scheduling(self) -> None:
        scheduling = SchedulingDuty(
            self.client,
            self.view,
            trio.current_time,
            time.time,
            learned=Learned(memory=self.recorder.memory),
            max_burst_writes=self.client.max_burst_writes,
        )
        paced = PacedDuty(
            scheduling, IDLE_SCHEDULING_PERIOD_S, lambda: scheduling.is_idle
        )
        self.duties.add(paced, SCHEDULING_PERIOD_S)
