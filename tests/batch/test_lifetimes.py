"""Tests in simulated time of what proves that a server lifetime is over.

Tasks of a lifetime begin again elsewhere as soon as something proves its end, and not
before its leases have lapsed if nothing does.
"""

import base64
import json
from contextlib import asynccontextmanager

import attrs
import pytest
import trio
from trio.testing import MockClock

from rhubarbmount.standins.users_platform import StandinMachine
from rhubarbmount.standins.users_servers import StandinServer, TaskWork
from tests.batch.checkers import JobChecker
from tests.batch.test_days import POOLS, open_day, submit, wait_complete, wide_job
from tests.batch.world import World, catalogue, open_world, route

LONG_RUNNING_TASKS = 6
SETTLE_S = 12.0
DARK_S = 2.5
# Until another host has taken over from one that was killed.
TAKEOVER_S = 3.0
# From the return of the server; a host may have to move to make room.
RESTART_S = 2.0
LONGEST_LEASE_S = 10.0


@pytest.fixture
def autojump_clock():
    return MockClock(rate=0.0, autojump_threshold=0.0)


@attrs.define(eq=False)
class LostServer:
    """A machine with tasks whose server lifetime ends, and when they start again."""

    world: World
    checker: JobChecker
    machine: StandinMachine
    server: StandinServer = attrs.field(init=False)
    tasks: list[str] = attrs.field(init=False)
    lost_at_s: float = attrs.field(init=False)
    away_s_by_task: dict[str, float] = attrs.field(factory=dict)
    row: str = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.server = self.machine.server
        self.tasks = list(self.server.run_by_task)
        self.lost_at_s = trio.current_time()
        self.row = self.world.platform.store.get("servers", "", self.server.id)
        self.world.observers.append(self._observe)

    def _observe(self, what, where, *details) -> None:
        if what == "start" and details[0] in self.tasks:
            away_s = trio.current_time() - self.lost_at_s
            self.away_s_by_task.setdefault(details[0], away_s)

    def put_row(self) -> None:
        """Write the row of the lifetime, which stays until the server was silent."""
        self.world.platform.store.put("servers", self.server.id, self.row)

    def remove_row(self) -> None:
        """Remove the row of the lifetime."""
        self.world.platform.store.remove("servers", self.server.id)

    def are_tasks_away_for_less_than(self, limit_s: float) -> bool:
        """Return whether all tasks have started again within a time."""
        times_s = [self.away_s_by_task.get(task, limit_s) for task in self.tasks]
        return max(times_s) < limit_s


def long_running_tasks(generator):
    phase = {
        "count": LONG_RUNNING_TASKS,
        "cpu": 500,
        "mem_mb": 500,
        "estimate_ms": 900,
        "long_running": True,
        "max_per_server": 3,
    }
    job_id = f"{generator.getrandbits(64):016x}"
    return job_id, [phase], [TaskWork(0.9, 500, 500, is_long_running=True)]


@asynccontextmanager
async def open_day_with_long_tasks(monkeypatch, seed):
    """Run long-running tasks until all that was granted at their start has lapsed."""
    async with open_day(monkeypatch, seed) as (world, checker):
        assert await submit(
            world, checker, "/one/", long_running_tasks(world.generator)
        )
        await trio.sleep(SETTLE_S)
        machine = next(
            machine
            for machine in world.platform.machine_by_id.values()
            if machine.server is not None and machine.server.run_by_task
        )
        yield world, checker, machine


RETURNS = {
    "same address": ("", ""),
    "other address": ("10.9.1.1:80", ""),
    "other pool": ("10.9.1.1:80", "two"),
}


# The server is still listed when the next holder takes over.
@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("how", RETURNS)
async def test_tasks_of_a_server_that_is_listed_at_a_takeover_restart_on_proof(
    monkeypatch, autojump_clock, how, seed
):
    async with open_day_with_long_tasks(monkeypatch, seed) as day:
        world, checker, machine = day
        lost = LostServer(world, checker, machine)
        machine.address, pool = RETURNS[how]
        world.kill_node(world.holders()[0])
        world.platform.crash(machine.id, DARK_S, pool)
        lost.put_row()
        await trio.sleep(4.5)
        lost.remove_row()
        await trio.sleep(LONGEST_LEASE_S)
        assert lost.are_tasks_away_for_less_than(DARK_S + RESTART_S)
        assert checker.breaches == []


# A row names the host of a silent server, but no such lifetime answers.
async def test_a_row_alone_ends_no_lifetime_on_its_host(monkeypatch, autojump_clock):
    async with open_day_with_long_tasks(monkeypatch, 1) as day:
        world, checker, machine = day
        lost = LostServer(world, checker, machine)
        world.faults.servers_cut = {("*", machine.server.address)}
        row = json.loads(base64.b64decode(lost.row))
        row["addr"] = "10.9.1.1:80"
        text = base64.b64encode(json.dumps(row).encode()).decode()
        world.platform.store.put("servers", "i-unknown", text)
        world.kill_node(world.holders()[0])
        await trio.sleep(LONGEST_LEASE_S + 5.0)
        assert len(lost.away_s_by_task) == len(lost.tasks)
        assert checker.breaches == []


# A response of the earlier lifetime arrives when the next one is listed.
async def test_a_late_response_of_an_earlier_lifetime_ends_no_later_one(
    monkeypatch, autojump_clock
):
    async with open_world(monkeypatch, 3) as world:
        checker = JobChecker(world)
        routes = [route("/one/", "one")]
        world.platform.put_catalogue(catalogue(1, routes, ["one"], "rest"))
        world.platform.add_machine("m", "one", "r")
        world.start_node("a")
        await trio.sleep(0.5)
        new_job = long_running_tasks(world.generator)
        assert await submit(world, checker, "/one/", new_job)
        await trio.sleep(2.0)
        machine = world.platform.machine_by_id["m"]
        world.faults.response_delay_s_by_server_id = {machine.server.id: 0.3}
        world.faults.servers_cut = {("*", machine.server.address)}
        world.platform.crash("m", 0.05)
        await trio.sleep(1.0)
        world.faults.servers_cut = set()
        await trio.sleep(2.0)
        assert machine.server.run_by_task
        assert checker.breaches == []


# The server is dark, and its row is gone when the next holder takes over: no session
# asks whether the lifetime goes on, and its tasks wait for the longest lease.
@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("how", RETURNS)
async def test_tasks_of_a_server_that_is_not_listed_at_a_takeover_restart_on_proof(
    monkeypatch, autojump_clock, how, seed
):
    async with open_day_with_long_tasks(monkeypatch, seed) as day:
        world, checker, machine = day
        lost = LostServer(world, checker, machine)
        machine.address, pool = RETURNS[how]
        world.kill_node(world.holders()[0])
        world.platform.crash(machine.id, DARK_S, pool)
        await trio.sleep(LONGEST_LEASE_S + 5.0)
        assert lost.are_tasks_away_for_less_than(DARK_S + RESTART_S)
        assert checker.breaches == []


# The next lifetime is listed and has answered before it is known where the earlier one
# was reached, and is idle.
@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("how", RETURNS)
async def test_tasks_restart_on_proof_if_the_server_returns_before_the_takeover(
    monkeypatch, autojump_clock, how, seed
):
    async with open_day_with_long_tasks(monkeypatch, seed) as day:
        world, checker, machine = day
        lost = LostServer(world, checker, machine)
        machine.address, pool = RETURNS[how]
        world.kill_node(world.holders()[0])
        world.platform.crash(machine.id, 0.5, pool)
        await trio.sleep(LONGEST_LEASE_S + 5.0)
        assert lost.are_tasks_away_for_less_than(TAKEOVER_S + RESTART_S)
        assert checker.breaches == []


# Rows of servers that live have expired when the next holder takes over.
@pytest.mark.parametrize("seed", range(3))
async def test_tasks_of_a_server_whose_row_is_away_at_a_takeover_go_on(
    monkeypatch, autojump_clock, seed
):
    async with open_day_with_long_tasks(monkeypatch, seed) as day:
        world, checker, machine = day
        lost = LostServer(world, checker, machine)
        world.kill_node(world.holders()[0])
        lost.remove_row()
        await trio.sleep(6.0)
        lost.put_row()
        await trio.sleep(LONGEST_LEASE_S)
        assert lost.away_s_by_task == {}
        assert set(lost.tasks) <= set(lost.server.run_by_task)
        assert checker.breaches == []


# The server is neither listed at the takeover nor can it be reached, and runs on.
@pytest.mark.parametrize("seed", range(3))
async def test_tasks_of_an_unlisted_server_that_is_cut_off_never_run_twice(
    monkeypatch, autojump_clock, seed
):
    async with open_day_with_long_tasks(monkeypatch, seed) as day:
        world, checker, machine = day
        lost = LostServer(world, checker, machine)
        world.faults.servers_cut = {("*", machine.server.address)}
        lost.remove_row()
        world.kill_node(world.holders()[0])
        await trio.sleep(LONGEST_LEASE_S + 5.0)
        assert len(lost.away_s_by_task) == len(lost.tasks)
        assert checker.breaches == []


# Moves get no answer and are repeated until the hosts have their next lifetimes, whose
# runs must not be taken for ended when the answer comes.
@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("lost_s", [2.0, 2.8])
async def test_the_answer_to_a_repeated_move_ends_no_later_lifetime(
    monkeypatch, autojump_clock, seed, lost_s
):
    async with open_day(monkeypatch, seed, nodes="a") as (world, checker):
        await trio.sleep(4.0)
        world.faults.lost_machine_response_share = 1.0
        jobs = [wide_job(world.generator, 4.0) for _ in range(3)]
        for new_job in jobs:
            assert await submit(world, checker, "/one/", new_job)
        await trio.sleep(lost_s)
        world.faults.lost_machine_response_share = 0.0
        ids = [new_job[0] for new_job in jobs]
        assert await wait_complete(world, checker, "/one/", ids, 40.0) == []
        assert checker.breaches == []


@attrs.define(eq=False)
class Disturber:
    """Lets servers crash, return elsewhere, be cut off or lose their rows by chance."""

    world: World
    _address_count: int = 0
    _dead_rows: list[tuple[str, str]] = attrs.field(factory=list)

    async def disturb(self) -> None:
        """Do one thing to a server that is up, if any is."""
        platform, generator = self.world.platform, self.world.generator
        up = [item for item in platform.machine_by_id.values() if item.server]
        if not up:
            return
        machine = generator.choice(up)
        server = machine.server
        row = platform.store.get("servers", "", server.id)
        match generator.choice(["crash", "crash", "cut", "expire", "return"]):
            case "crash":
                if generator.random() < 0.5:
                    self._address_count += 1
                    machine.address = f"10.9.1.{self._address_count}:80"
                pool = generator.choice(["", "", *POOLS])
                platform.crash(machine.id, generator.uniform(0.1, 3.0), pool)
                self._dead_rows.append((server.id, row))
                if generator.random() < 0.5:
                    platform.store.put("servers", server.id, row)
            case "cut":
                holder = generator.choice(["*", *self.world.holders()])
                self.world.faults.servers_cut = {(holder, server.address)}
            case "expire":
                platform.store.remove("servers", server.id)
                await trio.sleep(generator.uniform(0.1, 1.0))
                if not server.is_gone:
                    platform.register(machine)
            case "return" if self._dead_rows:
                platform.store.put("servers", *generator.choice(self._dead_rows))

    async def change_holder(self) -> None:
        """Kill or stop the holder, and start it again."""
        for holder in self.world.holders():
            if self.world.generator.random() < 0.7:
                self.world.kill_node(holder)
            else:
                await self.world.stop_node(holder)
            self.world.start_node(holder)


# Servers end, return elsewhere and are cut off while their rows come and go and holders
# change: none of it may have a run taken for ended that goes on.
@pytest.mark.parametrize("seed", range(6))
async def test_runs_are_not_repeated_whatever_rows_and_addresses_show(
    monkeypatch, autojump_clock, seed
):
    async with open_day(monkeypatch, seed) as (world, checker):
        world.faults.lost_machine_response_share = 0.2
        assert await submit(
            world, checker, "/one/", long_running_tasks(world.generator)
        )
        disturber = Disturber(world)
        accepted = []
        for _ in range(12):
            new_job = wide_job(world.generator, 3.0)
            if await submit(world, checker, "/one/", new_job):
                accepted.append(new_job[0])
            await disturber.disturb()
            await trio.sleep(world.generator.uniform(0.2, 2.0))
            if world.generator.random() < 0.3:
                await disturber.change_holder()
            if world.generator.random() < 0.3:
                world.faults.servers_cut = set()
        world.faults.servers_cut = set()
        world.faults.lost_machine_response_share = 0.0
        assert await wait_complete(world, checker, "/one/", accepted, 60.0) == []
        assert checker.breaches == []
