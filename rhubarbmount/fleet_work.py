"""The duties that work on hosts, set up for one entry host."""

import time

import attrs

from rhubarbmount.cadence import CadenceDuty
from rhubarbmount.fleet_duties import FleetDuties
from rhubarbmount.fleet_view import FleetView
from rhubarbmount.hostduty import HostDuty
from rhubarbmount.hostprobe import HostProbe
from rhubarbmount.platform.interface import Platform
from rhubarbmount.repair import RepairDuty
from rhubarbmount.request_policy import RequestPolicy
from rhubarbmount.settings import FleetSettings, Settings, Weights
from rhubarbmount.waveduty import WaveDuty
from rhubarbmount.waveplan import WaveSettings

__all__ = ["add_fleet_work", "wave_settings"]

ROUND_S = 1.0


def add_fleet_work(
    duties: FleetDuties,
    settings: Settings,
    platform: Platform,
    fleet_view: FleetView,
    policy: RequestPolicy,
) -> HostProbe:
    """Contend for the work on hosts, repair and waves; return the probe to run."""
    fleet = settings.fleet
    probe = HostProbe(
        settings.data_centre,
        lambda: fleet_view.hosts_by_id.values(),
        policy.view_by_pool,
        lambda: duties.holds_any,
    )
    if not fleet.duties:
        return probe
    observe = probe.observe
    waves = wave_settings(fleet, settings.weights)
    duties.add(HostDuty(platform, observe, time.time, fleet.work), ROUND_S)
    duties.add(
        RepairDuty(platform, observe, time.time, fleet.buffer_pool, fleet.repair),
        ROUND_S,
    )
    duties.add(WaveDuty(platform, time.time, waves), ROUND_S)
    if fleet.cadence:
        duties.add(CadenceDuty(platform, time.time), ROUND_S)
    return probe


def wave_settings(settings: FleetSettings, weights: Weights) -> WaveSettings:
    """Return the lengths of a host's steps and the weights, for planning."""
    work = settings.work
    return attrs.evolve(
        WaveSettings(),
        drain_s=work.view_s + work.drain_s,
        warm_s=work.warm_s,
        hour_weight=weights.roll_out_time,
        buffer_weight=weights.buffer_hosts,
        move_weight=weights.host_moves,
    )
