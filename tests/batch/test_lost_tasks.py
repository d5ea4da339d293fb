"""Tests that no task stays away for long from servers that have room for it."""

import base64
import json

import pytest
import trio
from trio.testing import MockClock

from rhubarbmount.batch.pacing import PaceCommand
from rhubarbmount.batch.placing import Placer
from rhubarbmount.batch.server_sessions import ServerSessions
from rhubarbmount.batch.tables import shard_of
from rhubarbmount.standins.users_servers import StandinServer
from tests.batch.checkers import JobChecker
from tests.batch.test_days import (
    SPARE,
    job,
    long_running_job,
    open_day,
    submit,
    wait_complete,
    wide_job,
)
from tests.batch.test_silent_servers import servers_running_tasks
from tests.batch.world import BOUNDS, catalogue, open_world, route


@pytest.fixture
def autojump_clock():
    return MockClock(rate=0.0, autojump_threshold=0.0)


def start_one_pool(world, machines=1):
    """Start a platform with one pool and no hosts in reserve."""
    world.platform.put_catalogue(catalogue(1, [route("/one/", "one")], ["one"], SPARE))
    for number in range(machines):
        world.platform.add_machine(f"m-{number}", "one", f"r{number % 2}")


# Guards against a server that is never asked again once its leases have lapsed.
async def test_a_server_is_used_again_after_a_long_silence(monkeypatch, autojump_clock):
    async with open_world(monkeypatch, 1) as world:
        checker = JobChecker(world)
        start_one_pool(world)
        world.start_node("a")
        await trio.sleep(1.0)
        first, second = job(world.generator), job(world.generator)
        world.faults.servers_cut = {
            ("*", address) for address in world.platform.server_by_address
        }
        assert await submit(world, checker, "/one/", first)
        await trio.sleep(15.0)
        world.faults.servers_cut = set()
        await trio.sleep(1.0)
        assert await submit(world, checker, "/one/", second)
        ids = [first[0], second[0]]
        assert await wait_complete(world, checker, "/one/", ids, 6.0) == []
        assert checker.breaches == []


# Guards against a server that is never used again because its row went and returned
# while the scheduler waited for the store.
async def test_a_server_is_used_whose_row_returns_during_a_commit(
    monkeypatch, autojump_clock
):
    async with open_world(monkeypatch, 1) as world:
        checker = JobChecker(world)
        start_one_pool(world, 2)
        node = world.start_node("a")
        await trio.sleep(1.0)
        world.faults.store_parts_down = {node.lease_manager.shard}
        jobs = [wide_job(world.generator, 8.0) for _ in range(2)]
        assert await submit(world, checker, "/one/", jobs[0])
        await trio.sleep(0.3)
        usages = node._holder.shard.usage_by_server_id.values()
        idle = next(usage.server.name for usage in usages if usage.is_idle)
        machine = next(
            machine
            for machine in world.platform.machine_by_id.values()
            if machine.server.id == idle
        )
        world.platform.store.remove("servers", idle)
        await trio.sleep(0.2)
        world.platform.register(machine)
        await trio.sleep(0.2)
        world.faults.store_parts_down = set()
        assert await submit(world, checker, "/one/", jobs[1])
        await trio.sleep(2.0)
        assert checker.started == {jobs[0][0], jobs[1][0]}
        assert checker.breaches == []


# Guards against a task that lasts and is left on a server until that leaves, because
# the drain was reported while there was no holder.
async def test_tasks_leave_a_server_that_drains_at_a_takeover(
    monkeypatch, autojump_clock
):
    async with open_day(monkeypatch, 3, nodes="a") as (world, checker):
        assert await submit(world, checker, "/one/", long_running_job(world.generator))
        await trio.sleep(2.0)
        draining = servers_running_tasks(checker)[0]
        world.kill_node("a")
        machine = world.platform.machine_by_id[draining.machine_id]
        world.platform.register(machine, "draining")
        world.start_node("b")
        await trio.sleep(5.0)
        assert len(servers_running_tasks(checker)) == 2
        assert draining not in servers_running_tasks(checker)
        assert checker.breaches == []


# Guards against a task that stays as slow as an earlier holder made it, for ever.
async def test_a_holder_speeds_up_what_an_earlier_one_slowed(
    monkeypatch, autojump_clock
):
    pace_by_task = {}
    handle = StandinServer.handle

    async def record_pace(server, path, expected_id, body):
        if path == "/pace":
            pace_by_task[body["task_id"]] = body["percent"]
        return await handle(server, path, expected_id, body)

    monkeypatch.setattr(StandinServer, "handle", record_pace)
    async with open_day(monkeypatch, 3, nodes="ab") as (world, checker):
        job_id, [phase], works = long_running_job(world.generator)
        phase |= {"fills": True}
        assert await submit(world, checker, "/one/", (job_id, [phase], works))
        await trio.sleep(2.0)
        holder = world.node_by_id[world.holders()[0]]._holder
        for task in holder.shard.job_by_id[job_id].tasks():
            holder.sessions.find(task.server_id).send(PaceCommand(task, task.run, 0))
        await trio.sleep(0.1)
        assert list(pace_by_task.values()) == [0, 0]
        world.kill_node(world.holders()[0])
        await trio.sleep(6.0)
        assert list(pace_by_task.values()) == [100, 100]
        assert checker.breaches == []


# Guards against one server whose list we fail to handle taking the whole duty down, in
# each holder in turn, and against its tasks staying there.
async def test_a_list_that_can_not_be_handled_costs_its_server_only(
    monkeypatch, autojump_clock, caplog
):
    bad_server_ids = set()
    on_list = ServerSessions.on_list

    def fail_for_bad_servers(sessions, session, response, sent_s):
        if session.server.name in bad_server_ids:
            raise KeyError("a fault in handling a list")
        on_list(sessions, session, response, sent_s)

    monkeypatch.setattr(ServerSessions, "on_list", fail_for_bad_servers)
    async with open_day(monkeypatch, 3, nodes="ab") as (world, checker):
        assert await submit(world, checker, "/one/", long_running_job(world.generator))
        await trio.sleep(12.0)
        holders = world.holders()
        good_server, bad_server = servers_running_tasks(checker)
        bad_server_ids.add(bad_server.id)
        await trio.sleep(7.0)
        assert good_server in servers_running_tasks(checker)
        assert bad_server not in servers_running_tasks(checker)
        assert len(servers_running_tasks(checker)) == 2
        assert world.holders() == holders
        assert "duty-failed" not in caplog.text
        assert checker.starts.count(next(iter(checker.running))) <= 2
        assert checker.breaches == []


# Guards against a wait of the longest lease in the holder after one that failed.
async def test_a_holder_that_fails_hands_on_when_its_grants_end(
    monkeypatch, autojump_clock
):
    async with open_day(monkeypatch, 3, nodes="ab") as (world, checker):
        assert await submit(world, checker, "/one/", long_running_job(world.generator))
        await trio.sleep(12.0)
        silent = servers_running_tasks(checker)[0]
        world.faults.servers_cut = {("*", silent.address)}
        place = Placer.place

        def fail_once(placer, now_s):
            monkeypatch.setattr(Placer, "place", place)
            raise KeyError("a fault in placing")

        monkeypatch.setattr(Placer, "place", fail_once)
        await trio.sleep(8.5)
        assert len(servers_running_tasks(checker)) == 2
        assert silent not in servers_running_tasks(checker)
        assert checker.breaches == []


# Guards against a shard without a holder for as long as the store keeps failing for
# moments: each of them began the wait for the last holder anew.
@pytest.mark.parametrize("seed", range(3))
async def test_short_outages_do_not_keep_a_shard_without_holder(
    monkeypatch, autojump_clock, seed
):
    async with open_day(monkeypatch, seed) as (world, _):
        world.kill_node(world.holders()[0])
        killed_at_s = trio.current_time()
        while not world.holders() and trio.current_time() < killed_at_s + 20.0:
            await trio.sleep(1.0)
            world.faults.store_refuses = True
            await trio.sleep(0.9)
            world.faults.store_refuses = False
        assert trio.current_time() < killed_at_s + 10.0


# Guards against a pause after a command to a host that each takeover begins anew.
async def test_the_pause_after_a_command_ends_through_takeovers(
    monkeypatch, autojump_clock
):
    async with open_world(monkeypatch, 1) as world:
        checker = JobChecker(world)
        start_one_pool(world, 0)
        world.platform.add_machine("m-rest", SPARE, "r0")
        for name in "abcd":
            world.start_node(name)
        await trio.sleep(1.0)
        # The first holder notes and sends a command, which does not arrive.
        world.faults.machine_command_delay_s = 1000.0
        new_job = job(world.generator)
        assert await submit(world, checker, "/one/", new_job)
        await trio.sleep(0.4)
        value = world.platform.store.get("host-orders", shard_of("", "", ""), "last")
        sent_until_s = json.loads(base64.b64decode(value))["m-rest"]
        world.kill_node(world.holders()[0])
        world.faults.machine_command_delay_s = 0.0
        while not world.holders():
            await trio.sleep(0.01)
        await trio.sleep(0.3)
        world.kill_node(world.holders()[0])
        while new_job[0] not in checker.started:
            await trio.sleep(0.1)
        first_sent_s = world.platform.machine_commands[0][0]
        # The last holder, which begins beyond the pause, need not wait.
        assert sent_until_s + BOUNDS.lease_s < first_sent_s
        assert first_sent_s < sent_until_s + BOUNDS.lease_s + 2.0
        assert checker.breaches == []


# Guards against a server that an unknown run closes for ever.
async def test_a_server_with_an_unknown_run_is_soon_open_again(
    monkeypatch, autojump_clock
):
    async with open_world(monkeypatch, 1) as world:
        checker = JobChecker(world)
        start_one_pool(world)
        world.start_node("a")
        await trio.sleep(1.0)
        known, unknown = (wide_job(world.generator, 30.0) for _ in range(2))
        lasting = long_running_job(world.generator)
        known[1][0]["count"] = 1
        world.add_work(*unknown)
        assert await submit(world, checker, "/one/", known)
        await trio.sleep(0.5)
        [server] = world.platform.server_by_address.values()
        expires_ms = server.clock_ms() + 3000
        body = {"task_id": f"{unknown[0]}.0.0.0", "run_id": 1, "expires_ms": expires_ms}
        response = await server.handle("/run-start", "", {**body, "fencing_token": 1})
        assert response.status == 200
        await trio.sleep(2.0)
        assert await submit(world, checker, "/one/", lasting)
        await trio.sleep(1.0)
        assert lasting[0] in checker.started
