"""Quarantine, reboot and replacement of failing hosts, and the buffer required."""

import attrs
import pytest

from rhubarbmount.duty_runner import DutyRunner
from rhubarbmount.host_duty import HostDuty
from rhubarbmount.host_work import Observation, WorkBounds
from rhubarbmount.hosts import HostState
from rhubarbmount.repair import RepairBounds, RepairDuty, buffer_need
from rhubarbmount.store.interface import LiveHost, Transaction, Write
from rhubarbmount.suspects import Blame
from rhubarbmount.tables import SUSPECTS_TABLE
from rhubarbmount.wave_duty import WaveDuty
from rhubarbmount.waves import WaveOperator
from tests.fleetchecks import check_commit, hosts_of
from tests.fleetkit import fill, make_host, make_pool
from tests.interleave import World, run_now

QUICK = WorkBounds(
    view_s=1, drain_s=1, drain_limit_s=5, reboot_min_s=1, reboot_limit_s=10, warm_s=1
)
PROMPT = RepairBounds(failing_s=3, unlisted_s=3)


class SickFleet:
    """A fleet whose hosts fail, and recover after a reboot or never."""

    def __init__(self, hosts=8, spares=2, **limits):
        self.world = World()
        self.sick = set()
        self.incurable = set()
        self.maintenance_fails = set()
        pools = [
            make_pool(hosts_wanted=hosts, **limits),
            make_pool("buffer", hosts_wanted=0, hosts_down_limit=1),
        ]
        members = [make_host(n) for n in range(hosts)]
        members += [make_host(n, "buffer") for n in range(spares)]
        run_now(fill(self.world.inner, pools, members))
        self.world.check = self.check
        self.world.inner.on_host_command = self.obey
        self.add_holder()

    def check(self, before, after, transaction):
        listed = {item.host_id for item in self.world.inner.hosts}
        unlisted = set(before["hosts"]) - listed
        check_commit(before, after, transaction, unlisted)

    def obey(self, command):
        if command.action == "reboot":
            self.sick -= {command.host_id} - self.incurable
            self.sick |= {command.host_id} & self.maintenance_fails
            self.maintenance_fails.discard(command.host_id)

    def observe(self, host):
        sick = host.host_id in self.sick
        return Observation(in_flight=0, ready=not sick)

    def add_holder(self):
        world, platform = self.world, self.world.platform()
        self.repair = RepairDuty(
            platform,
            self.observe,
            world.clock,
            "buffer",
            RepairBounds(failing_s=3, unlisted_s=3),
        )
        duties = [
            HostDuty(platform, self.observe, world.clock, QUICK),
            self.repair,
            WaveDuty(platform, world.clock),
        ]
        runners = [
            DutyRunner(duty, "a", platform, world.clock, world.new_id, lambda: ("a",))
            for duty in duties
        ]
        world.add_runners(runners)

    def suspect(self, *host_ids):
        blame = Blame("host", "", "host-suspect", "failed 3 jobs of 2 teams, ran 0")
        writes = tuple(
            Write(SUSPECTS_TABLE, host_id, attrs.asdict(blame)) for host_id in host_ids
        )
        run_now(self.world.inner.transact(Transaction(self.world.new_id(), (), writes)))

    def suspects(self):
        return set(self.world.inner.tables.get(SUSPECTS_TABLE, ()))

    def hosts(self):
        return hosts_of(self.world.inner.tables)

    def in_service(self, pool="quotes"):
        return {
            host.host_id
            for host in self.hosts().values()
            if host.pool == pool and host.state is HostState.IN_SERVICE
        }

    def actions(self):
        commands = self.world.inner.host_commands.values()
        return [(item.host_id, item.action) for item in commands]


@pytest.fixture
def make_fleet():
    fleets = []

    def make(**limits):
        fleets.append(SickFleet(**limits))
        return fleets[-1]

    yield make
    for fleet in fleets:
        fleet.world.stop()


def test_a_failing_host_is_drained_rebooted_and_returned(make_fleet):
    fleet = make_fleet()
    fleet.sick.add("q3")
    assert fleet.world.settle(lambda: fleet.hosts()["q3"].cause == "reboot:warm")
    assert len(fleet.in_service()) == 8
    effects = [action for host_id, action in fleet.actions() if host_id == "q3"]
    assert effects == ["drain", "reboot", "resume"]


def test_failing_hosts_are_quarantined_only_within_the_budget(make_fleet):
    fleet = make_fleet(hosts_down_limit=1)
    fleet.sick.update({"q0", "q1", "q2"})
    assert fleet.world.settle(lambda: not fleet.sick)
    assert fleet.world.settle(lambda: len(fleet.in_service()) == 8)


def test_a_host_that_fails_again_is_replaced_from_the_buffer(make_fleet):
    fleet = make_fleet()
    fleet.sick.add("q3")
    fleet.incurable.add("q3")
    assert fleet.world.settle(lambda: "q3" not in fleet.hosts(), rounds=8000)
    assert fleet.world.settle(lambda: len(fleet.in_service()) == 8)
    assert len(fleet.in_service("buffer")) == 1
    assert ("q3", "release") in fleet.actions()


def test_a_host_that_fails_in_its_maintenance_is_rebooted_once_more(make_fleet):
    fleet = make_fleet(hosts=4, spares=0)
    fleet.maintenance_fails = {"q1"}
    world = fleet.world
    operator = WaveOperator(world.inner, world.clock, world.new_id)
    run_now(operator.start(["quotes"]))
    assert world.settle(
        lambda: all(fleet.hosts()[f"q{n}"].maintained_s for n in range(4))
    )
    assert world.settle(lambda: len(fleet.in_service()) == 4)
    assert fleet.actions().count(("q1", "reboot")) == 2


def test_a_host_that_fails_in_its_maintenance_is_replaced_if_it_can_be(make_fleet):
    fleet = make_fleet(hosts=4)
    fleet.maintenance_fails = {"q1"}
    fleet.incurable.add("q1")
    world = fleet.world
    operator = WaveOperator(world.inner, world.clock, world.new_id)
    run_now(operator.start(["quotes"]))
    assert world.settle(lambda: "q1" not in fleet.hosts())
    assert world.settle(lambda: len(fleet.in_service()) == 4)
    assert fleet.actions().count(("q1", "reboot")) == 1


def test_a_host_that_no_reboot_helps_is_kept_after_the_second(make_fleet):
    fleet = make_fleet(hosts=4, spares=0)
    fleet.maintenance_fails = {"q1"}
    fleet.incurable.add("q1")
    world = fleet.world
    operator = WaveOperator(world.inner, world.clock, world.new_id)
    run_now(operator.start(["quotes"]))
    assert world.settle(lambda: fleet.hosts()["q1"].cause == "reboot:quarantine")
    assert not world.settle(lambda: fleet.hosts()["q1"].cause != "reboot:quarantine")
    assert fleet.actions().count(("q1", "reboot")) == 2


def test_a_host_suspected_by_scheduling_is_rebooted_once_and_cleared(make_fleet):
    fleet = make_fleet()
    fleet.suspect("q3")
    assert fleet.world.settle(lambda: fleet.hosts()["q3"].cause == "reboot:warm")
    assert not fleet.suspects()
    assert not fleet.world.settle(lambda: len(fleet.in_service()) < 8)
    effects = [action for host_id, action in fleet.actions() if host_id == "q3"]
    assert effects == ["drain", "reboot", "resume"]


def test_suspects_are_taken_only_within_the_budget(make_fleet):
    fleet = make_fleet(hosts_down_limit=1)
    fleet.suspect("q0", "q1", "q2")
    assert fleet.world.settle(lambda: not fleet.suspects(), rounds=8000)
    rebooted = sorted(host for host, action in fleet.actions() if action == "reboot")
    assert rebooted == ["q0", "q1", "q2"]
    assert len(fleet.in_service()) == 8


def test_a_host_suspected_again_after_its_reboot_is_replaced(make_fleet):
    fleet = make_fleet()
    fleet.suspect("q3")
    assert fleet.world.settle(lambda: fleet.hosts()["q3"].cause == "reboot:warm")
    fleet.suspect("q3")
    assert fleet.world.settle(lambda: "q3" not in fleet.hosts(), rounds=8000)
    assert fleet.world.settle(lambda: len(fleet.in_service()) == 8)
    assert not fleet.suspects()


def test_a_bad_host_is_kept_while_there_is_no_spare(make_fleet):
    fleet = make_fleet(spares=0)
    fleet.sick.add("q3")
    fleet.incurable.add("q3")
    assert not fleet.world.settle(lambda: "q3" not in fleet.hosts())
    assert fleet.hosts()["q3"].state is HostState.QUARANTINED


def test_a_lost_rack_is_repaired_before_a_wave_continues(make_fleet):
    fleet = make_fleet(hosts_down_limit=2, racks_down_limit=1)
    world = fleet.world
    lost = {"q0", "q1", "q2", "q3"}
    everyone = list(world.inner.hosts)
    world.inner.hosts = [item for item in everyone if item.host_id not in lost]
    fleet.sick.update(lost)
    run_now(WaveOperator(world.inner, world.clock, world.new_id).start(["quotes"]))
    assert world.settle(lambda: not fleet.sick, rounds=8000)
    rebooted = {host_id for host_id, action in fleet.actions() if action == "reboot"}
    assert rebooted == lost
    world.inner.hosts = [LiveHost(item.host_id) for item in everyone]
    assert world.settle(
        lambda: all(
            host.maintained_s
            for host in fleet.hosts().values()
            if host.pool == "quotes"
        ),
        rounds=8000,
    )
    assert world.settle(lambda: len(fleet.in_service()) == 8)


def test_the_buffer_grows_with_the_failures_and_the_time_of_repair():
    def need(**change):
        values = {
            "hosts": 2600,
            "failures_per_day": 23.0,
            "repair_days": 1.0,
            "rack_size": 4,
            "racks_per_month": 1.0,
            "rack_repair_days": 1.0,
        }
        return buffer_need(**{**values, **change}).hosts

    assert need() > 23
    assert need(repair_days=2.0) > need()
    assert need(racks_per_month=0.0) == need() - 4
    assert need(failures_per_day=0.0, racks_per_month=0.0) == 0


def test_a_held_repair_is_recorded_for_the_host_and_the_pool(make_fleet):
    fleet = make_fleet(hosts_down_limit=1)
    fleet.sick.update({"q0", "q1", "q2"})
    fleet.incurable.update({"q0", "q1", "q2"})
    memory = fleet.repair.recorder.memory

    def held(kind, subject_id):
        decisions = memory.explain(kind, subject_id).decisions
        return {d.reason for d in decisions if d.code == "repair-held"}

    fleet.world.settle(lambda: held("pool", "quotes"))
    assert held("pool", "quotes") == {"hosts-exhausted"}
    assert memory.explain("host", "q0").decisions[0].code == "quarantine"
    assert held("host", "q1") == {"hosts-exhausted"}


def test_only_hosts_that_may_fail_here_are_observed(make_fleet):
    fleet = make_fleet()
    fleet.repair.may_fail = lambda host: host.host_id != "q5"
    fleet.sick.add("q5")
    assert not fleet.world.settle(fleet.actions)
    fleet.sick.add("q1")
    assert fleet.world.settle(lambda: "q1" not in fleet.sick)
    assert fleet.sick == {"q5"}
