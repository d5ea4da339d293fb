"""Drains that wait for running tasks, and the reads that takes."""

import pytest

from rhubarbmount.errors import Refused
from rhubarbmount.host_duty import HostDuty
from rhubarbmount.host_work import (
    HostIntent,
    Observation,
    WorkBounds,
    dump_intent,
    intent_key,
)
from rhubarbmount.hosts import HostState, Shape
from rhubarbmount.jobs import Task, dump_task
from rhubarbmount.store.interface import Transaction, Write
from rhubarbmount.tables import INTENTS_TABLE, TASKS_TABLE
from tests.fleetchecks import hosts_of
from tests.fleetkit import (
    CountedPlatform,
    ManualClock,
    commit,
    fill,
    make_host,
    make_pool,
)

BOUNDS = WorkBounds(view_s=5, drain_s=30, drain_limit_s=60)


class FakeLease:
    """Stand-in for a lease that is always held."""

    def __init__(self, platform, clock):
        self.platform = platform
        self.clock = clock.read
        self.commits = 0

    async def commit(self, builder):
        self.commits += 1
        return (await commit(self.platform, f"c{self.commits}", builder)).committed

    async def command_host(self, command):
        await self.platform.command_host(command)


class DrainingFleet:
    """A pool of 8 hosts, the first of them draining, and the duty that runs them."""

    def __init__(self, in_flight=0):
        self.platform = CountedPlatform()
        self.clock = ManualClock()
        self.lease = FakeLease(self.platform, self.clock)
        self.duty = HostDuty(
            self.platform,
            lambda host: Observation(in_flight=in_flight, ready=True),
            self.clock.read,
            BOUNDS,
        )

    async def fill(self, action="maintain", draining=1):
        hosts = [
            make_host(
                number,
                state=HostState.DRAINING if number < draining else HostState.IN_SERVICE,
            )
            for number in range(8)
        ]
        await fill(self.platform.inner, [make_pool(hosts_down_limit=8)], hosts)
        for host in hosts[:draining]:
            intent = HostIntent(
                intent_id=f"i-{host.host_id}",
                duty="hosts",
                action=action,
                host_id=host.host_id,
            )
            key = intent_key(host.host_id)
            await self.write(Write(INTENTS_TABLE, key, dump_intent(intent)))

    async def write(self, write):
        transaction = Transaction(f"{write}", (), (write,))
        await self.platform.inner.transact(transaction)

    async def start(self, task_id, host_id="q0", command="start"):
        task = Task(
            task_id=task_id,
            job_id=task_id,
            team="a",
            pool="quotes",
            host_id=host_id,
            reserved=Shape(1, 1),
            command=command,
        )
        await self.write(Write(TASKS_TABLE, task_id, dump_task(task)))

    async def end(self, task_id):
        await self.write(Write(TASKS_TABLE, task_id, None))

    async def rounds(self, seconds):
        for _ in range(seconds):
            await self.duty.do_round(self.lease)
            self.clock.now_s += 1

    def state(self, host_id="q0"):
        return hosts_of(self.platform.inner.tables)[host_id].state

    def task_reads(self):
        calls = self.platform.calls
        return calls["read", TASKS_TABLE], calls["scan", TASKS_TABLE]


@pytest.mark.parametrize("in_flight", [0, None])
@pytest.mark.parametrize("command", ["start", "checkpoint", "stop"])
async def test_a_drain_does_not_end_while_a_task_runs(in_flight, command):
    fleet = DrainingFleet(in_flight)
    await fleet.fill()
    await fleet.start("j1/1", command=command)
    await fleet.start("j2/1", command=command)
    await fleet.rounds(45)
    assert fleet.state() is HostState.DRAINING
    await fleet.end("j1/1")
    await fleet.rounds(3)
    assert fleet.state() is HostState.DRAINING
    await fleet.end("j2/1")
    await fleet.rounds(1)
    assert fleet.state() is HostState.DRAINED


async def test_a_task_written_while_entry_hosts_learn_of_the_drain_counts():
    fleet = DrainingFleet()
    await fleet.fill()
    await fleet.rounds(4)
    await fleet.start("j1/1")
    await fleet.rounds(30)
    assert fleet.state() is HostState.DRAINING


@pytest.mark.parametrize(
    ("action", "state"),
    [
        ("maintain", HostState.RETURNING),
        ("reboot", HostState.DRAINED),
        ("replace", HostState.DRAINED),
    ],
)
async def test_tasks_are_waited_for_up_to_the_bound(action, state):
    fleet = DrainingFleet()
    await fleet.fill(action)
    await fleet.start("j1/1")
    await fleet.rounds(60)
    assert fleet.state() is HostState.DRAINING
    await fleet.rounds(1)
    assert fleet.state() is state


async def test_tasks_of_other_hosts_do_not_count():
    fleet = DrainingFleet()
    await fleet.fill()
    await fleet.start("j1/1", host_id="q5")
    await fleet.rounds(6)
    assert fleet.state() is HostState.DRAINED


async def test_a_new_holder_finds_the_tasks_again():
    fleet = DrainingFleet()
    await fleet.fill()
    await fleet.start("j1/1")
    await fleet.rounds(20)
    fleet.duty.forget()
    await fleet.rounds(20)
    assert fleet.state() is HostState.DRAINING


async def test_tasks_are_read_for_draining_hosts_only():
    fleet = DrainingFleet()
    await fleet.fill(draining=0)
    await fleet.start("j1/1")
    await fleet.rounds(20)
    assert fleet.task_reads() == (0, 0)


async def test_a_waiting_drain_reads_one_task_of_each_host_a_round():
    fleet = DrainingFleet()
    await fleet.fill(draining=3)
    for host in range(3):
        for number in range(10):
            await fleet.start(f"j{host}-{number}/1", host_id=f"q{host}")
    await fleet.rounds(26)
    assert fleet.task_reads() == (3 * 20, 1)
    assert {fleet.state(f"q{number}") for number in range(3)} == {HostState.DRAINING}


def recorded_decisions(fleet, host_id="q0"):
    decisions = fleet.duty.recorder.memory.explain("host", host_id).decisions
    return [(decision.code, decision.reason) for decision in decisions]


async def test_the_holder_records_each_step_and_why_it_is_not_due():
    fleet = DrainingFleet()
    await fleet.fill()
    await fleet.start("j1/1")
    await fleet.rounds(10)
    assert recorded_decisions(fleet) == [
        ("waits", "entry hosts may not have seen that it drains"),
        ("waits", "requests or tasks are in flight"),
    ]
    last = fleet.duty.recorder.memory.explain("host", "q0").decisions[-1]
    assert (last.inputs["in_flight"], last.repeats) == (1, 5)
    await fleet.end("j1/1")
    await fleet.rounds(2)
    assert [code for code, _ in recorded_decisions(fleet)[2:]] == ["empty", "maintain"]


async def test_an_abandoned_drain_records_its_reason():
    fleet = DrainingFleet(in_flight=2)
    await fleet.fill()
    await fleet.rounds(62)
    assert ("restore", "requests are left at the drain limit") in recorded_decisions(
        fleet
    )


async def test_a_command_that_the_platform_refuses_is_recorded():
    fleet = DrainingFleet()
    await fleet.fill()

    async def refuse(command):
        raise Refused("no")

    fleet.lease.command_host = refuse
    await fleet.rounds(9)
    expected_reason = "the platform has not accepted the command to drain"
    assert recorded_decisions(fleet) == [("waits", expected_reason)]


async def test_a_conflict_over_the_rows_is_recorded():
    fleet = DrainingFleet()
    await fleet.fill()

    async def report_conflict(builder):
        return False

    fleet.lease.commit = report_conflict
    await fleet.rounds(7)
    assert recorded_decisions(fleet)[-1] == ("waits", "another writer changed the rows")
