"""Waves carried out by holders stepped in virtual time."""

from rhubarbmount.duty_runner import DutyRunner
from rhubarbmount.explain import DecisionRecorder
from rhubarbmount.fleet_counters import FleetCounters
from rhubarbmount.host_duty import HostDuty
from rhubarbmount.host_work import Observation, WorkBounds
from rhubarbmount.pool_plan import WaveSettings
from rhubarbmount.repair import RepairDuty
from rhubarbmount.store.interface import Transaction, Write
from rhubarbmount.store.memory import MemoryPlatform
from rhubarbmount.wave_duty import WaveDuty
from rhubarbmount.waves import WaveOperator
from tests.fleetchecks import check_commit, hosts_of
from tests.fleetkit import fill, make_host, make_pool, pool_row
from tests.interleave import World, run_now

QUICK = WorkBounds(view_s=1, drain_s=1, drain_limit_s=5, reboot_min_s=1, warm_s=1)
WAVE = WaveSettings(drain_s=2, reboot_s=2, warm_s=1)


def make_world(hosts=8, platform=None, **limits):
    world = World(inner=platform or MemoryPlatform())
    members = [make_host(n) for n in range(hosts)]
    limits = {"hosts_wanted": hosts, "hosts_down_limit": 2, **limits}
    run_now(fill(world.inner, [make_pool(**limits)], members))
    world.check = check_commit
    return world


def answers(host):
    return Observation(in_flight=0, ready=True)


def add_holder(
    world,
    name,
    behind_s=0.0,
    bounds=QUICK,
    counters=None,
    observe=answers,
    repair=None,
    recorder=None,
):
    counters = counters or FleetCounters()
    platform = world.platform()
    recorder = recorder or DecisionRecorder()
    duties = [
        HostDuty(
            platform=platform,
            observe=observe,
            wall_clock=lambda: world.now_s - behind_s,
            bounds=bounds,
            counters=counters,
        ),
        WaveDuty(
            platform,
            world.clock,
            WAVE,
            counters,
            observe,
            recorder=recorder,
        ),
    ]
    if repair is not None:
        duties.append(RepairDuty(platform, observe, world.clock, bounds=repair))
    runners = [
        DutyRunner(
            duty=duty,
            instance_id=name,
            platform=platform,
            clock=world.clock,
            new_id=world.new_id,
            members=lambda: ("a", "b"),
        )
        for duty in duties
    ]
    world.add_runners(runners)


def operator_of(world):
    return WaveOperator(world.inner, world.clock, world.new_id)


def count_maintained(world, wave_started_s=0.0):
    hosts = hosts_of(world.inner.tables).values()
    return sum(host.maintained_s > wave_started_s for host in hosts)


def reboots_of(world):
    commands = world.inner.host_commands.values()
    return sorted(item.host_id for item in commands if item.action == "reboot")


def is_quiet(world):
    return not [key for key in world.inner.tables["intents"] if key.startswith("host/")]


def is_done(world, wave_id):
    return run_now(operator_of(world).read(wave_id)).wave.state == "done"


async def edit(world, name, pool, version):
    """Write a pool's entry, or remove it."""
    row = pool_row(pool, version) if pool else None
    write = Write("entries", f"pool/{name}", row)
    await world.inner.transact(Transaction(world.new_id(), (), (write,)))
