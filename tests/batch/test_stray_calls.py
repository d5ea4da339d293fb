"""Calls for an earlier lifetime of a server that the next one carries out.

Backend servers forget each end up to the highest number that they were ever given, also
those that come later, and a lease that is granted on another clock may be the longest.
"""

from contextlib import asynccontextmanager

import attrs
import pytest
import trio
from trio.testing import MockClock

from rhubarbmount.standins.users_platform import Rebirth
from rhubarbmount.standins.users_servers import StandinServer, TaskWork
from tests.batch.test_days import open_small_day, submit, wait_complete
from tests.batch.test_lifetimes import LONGEST_LEASE_S
from tests.batch.test_reborn_servers import (
    SEEDS,
    breaches_by_rule,
    clock_ms_of,
    machines_of,
    open_day_of_short_jobs,
    restart_all,
    short_job,
)
from tests.batch.world import ServerCall

POLL_S = 0.0005
# Every pool has a busy server on which a run ends within this time.
END_WITHIN_S = 2.0
# From the end of a run to its commit it takes longer than this.
COMMIT_S = 0.003
# So long after the end the renewal that acknowledges it waits at the server.
ACKNOWLEDGED_S = 0.05
# Within this time no row tells of the later lifetime.
ROW_AFTER_S = 1.4
# So soon after an answer the next renewal is sent and not yet carried out.
RENEWAL_SENT_S = 0.001
# So long after an answer the next renewal waits at the server.
UNDER_WAY_S = 0.01
MACHINE_CPU = 8000
LONG_WORK_S = 40.0
# After a cut or a loss all leases have lapsed and all tasks run again.
SETTLED_S = LONGEST_LEASE_S + 3.0


@pytest.fixture
def autojump_clock():
    return MockClock(rate=0.0, autojump_threshold=0.0)


async def restart_all_after_ends(world, after_s, rebirth, down_s) -> None:
    """Restart each server so long after its next end, if one comes soon."""

    async def restart(machine) -> None:
        server = machine.server
        with trio.move_on_after(END_WITHIN_S):
            while not server.ended:
                await trio.sleep(POLL_S)
            await trio.sleep(after_s)
            if not server.is_gone:
                world.platform.crash(machine.id, down_s, rebirth=rebirth)

    earlier = [machine.server for machine in machines_of(world)]
    async with trio.open_nursery() as nursery:
        for machine in machines_of(world):
            nursery.start_soon(restart, machine)
    assert any(server.is_gone for server in earlier)


# Guards against TWICE: the session with the earlier lifetime acknowledges its last ends
# to the one that is at the address by then, which forgets its first ends unread.
@pytest.mark.parametrize("down_s", [0.001, 0.1, 0.4])
@SEEDS
async def test_ends_are_not_acknowledged_to_a_server_that_has_just_restarted(
    monkeypatch, autojump_clock, seed, down_s
):
    rebirth = Rebirth(clock_ms_of(seed), keeps_row=True, row_after_s=ROW_AFTER_S)
    async with open_day_of_short_jobs(monkeypatch, seed) as (world, jobs):
        jobs.submit_more()
        await restart_all_after_ends(world, COMMIT_S, rebirth, down_s)
        await jobs.must_complete()


# The same of ends that the earlier lifetime has forgotten: the renewal that told it so
# waits there for the next end when it restarts, and is repeated.
@SEEDS
async def test_ends_are_not_acknowledged_again_after_a_restart(
    monkeypatch, autojump_clock, seed
):
    rebirth = Rebirth(clock_ms_of(seed), keeps_row=True, row_after_s=ROW_AFTER_S)
    async with open_day_of_short_jobs(monkeypatch, seed) as (world, jobs):
        jobs.submit_more()
        await restart_all_after_ends(world, ACKNOWLEDGED_S, rebirth, down_s=0.001)
        await jobs.must_complete()


def keep_one_back(world, is_wanted) -> list[ServerCall]:
    """Keep back the next wanted call to each address; return the calls as they come."""
    kept = []

    def keeps_back(call) -> bool:
        is_first = all(other.address != call.address for other in kept)
        if not is_first or not is_wanted(call):
            return False
        kept.append(call)
        return True

    world.faults.keeps_back = keeps_back
    return kept


def is_acknowledgement(call) -> bool:
    return call.body.get("ack_cursor", 0) > 0


def is_grant(call) -> bool:
    return call.target == "/hold" and "expires_ms" in call.body


def is_start(call) -> bool:
    return call.target == "/run-start"


def carry_out_after_restart(world, call, late_s: float) -> None:
    """Have the next lifetime at the address carry out a call soon after its start."""

    async def carry_out() -> None:
        await trio.sleep(late_s)
        await world.carry_out(call)

    def on_event(what, where, *_) -> None:
        if what == "up" and where.server.address == call.address:
            world.observers.remove(on_event)
            world.nursery.start_soon(carry_out)

    world.observers.append(on_event)


@asynccontextmanager
async def open_day_of_unanswered_acknowledgements(monkeypatch, seed):
    """Run short jobs until all are done and all ends acknowledged.

    One acknowledgement for each server got no answer and was repeated. A lasting task
    on each machine keeps it in the pool.
    """
    async with open_day_of_short_jobs(monkeypatch, seed) as (world, jobs):
        lasting = job_of(world.generator, 3, 200, long_running=True, max_per_server=1)
        assert await submit(world, jobs.checker, "/one/", lasting)
        kept = keep_one_back(world, is_acknowledgement)
        await jobs.submit(8, 0.2)
        await jobs.must_complete()
        await trio.sleep(2.0)
        world.faults.keeps_back = None
        addresses = {machine.server.address for machine in machines_of(world)}
        assert {call.address for call in kept} & addresses
        assert not any(machine.server.ended for machine in machines_of(world))
        yield world, jobs, kept


# Guards against TWICE: an acknowledgement for the earlier lifetime that got no answer
# and was repeated is carried out by the later one, before any of its calls is answered.
@pytest.mark.parametrize("down_s", [0.003, 0.3])
@SEEDS
async def test_an_acknowledgement_that_comes_late_forgets_no_ends_of_a_later_lifetime(
    monkeypatch, autojump_clock, seed, down_s
):
    async with open_day_of_unanswered_acknowledgements(monkeypatch, seed) as day:
        world, jobs, kept = day
        for call in kept:
            carry_out_after_restart(world, call, POLL_S)
        restart_all(world, down_s, clock_ms=clock_ms_of(seed), keeps_row=True)
        jobs.submit_more()
        await jobs.must_complete()


# Guards against BUDGET: the same of runs that fail, which nobody counts.
@SEEDS
async def test_an_acknowledgement_that_comes_late_forgets_no_failures(
    monkeypatch, autojump_clock, seed
):
    async with open_day_of_unanswered_acknowledgements(monkeypatch, seed) as day:
        world, jobs, kept = day
        for call in kept:
            carry_out_after_restart(world, call, POLL_S)
        restart_all(world, 0.003, clock_ms=clock_ms_of(seed), keeps_row=True)
        for _ in range(4):
            job_id, phases, works = short_job(world.generator)
            failing = [attrs.evolve(work, fails=True) for work in works]
            assert await submit(world, jobs.checker, "/one/", (job_id, phases, failing))
        await trio.sleep(15.0)
        assert breaches_by_rule(jobs.checker) == {}


# The same of the earlier holder's, before the first call of the next one is answered.
@pytest.mark.parametrize("late_s", [POLL_S, 1.0])
@SEEDS
async def test_an_acknowledgement_of_the_earlier_holder_forgets_no_ends(
    monkeypatch, autojump_clock, seed, late_s
):
    async with open_day_of_unanswered_acknowledgements(monkeypatch, seed) as day:
        world, jobs, kept = day
        world.kill_node(world.holders()[0])
        for call in kept:
            carry_out_after_restart(world, call, late_s)
        restart_all(world, 0.3, clock_ms=clock_ms_of(seed), keeps_row=True)
        jobs.submit_more()
        await jobs.must_complete()


# The same when the next holder has reached the earlier lifetime and not the later one.
@SEEDS
async def test_an_acknowledgement_of_the_earlier_holder_comes_after_the_takeover(
    monkeypatch, autojump_clock, seed
):
    async with open_day_of_unanswered_acknowledgements(monkeypatch, seed) as day:
        world, jobs, kept = day
        world.kill_node(world.holders()[0])
        while not world.holders():
            await trio.sleep(0.01)
        await trio.sleep(0.5)
        for call in kept:
            carry_out_after_restart(world, call, POLL_S)
        restart_all(world, 0.003, clock_ms=clock_ms_of(seed), keeps_row=True)
        jobs.submit_more()
        await jobs.must_complete()


class Renewals:
    """Tells when backend servers answer renewals."""

    def __init__(self, monkeypatch):
        self.answered_at_s_by_server = {}
        self._answered = trio.Event()
        self._handle = StandinServer.handle
        monkeypatch.setattr(
            StandinServer,
            "handle",
            lambda server, *args: self._note(server, *args),
        )

    async def _note(self, server, path, expected, body):
        response = await self._handle(server, path, expected, body)
        if path == "/hold" and not server.is_gone:
            self.answered_at_s_by_server[server] = trio.current_time()
            self._answered.set()
            self._answered = trio.Event()
        return response

    async def wait_for_answer(self, server) -> None:
        """Wait until a server answers a renewal."""
        last_s = self.answered_at_s_by_server.get(server)
        with trio.fail_after(5.0):
            while self.answered_at_s_by_server.get(server) == last_s:
                await self._answered.wait()

    def has_just_answered(self, server) -> bool:
        """Return whether the next renewal may be under way to a server."""
        answered_at_s = self.answered_at_s_by_server.get(server, 0.0)
        return trio.current_time() < answered_at_s + UNDER_WAY_S


def job_of(generator, count: int, cpu: int, **fields):
    """Return a job of one step with long tasks."""
    phase = {
        "count": count,
        "cpu": cpu,
        "mem_mb": 200,
        "estimate_ms": int(LONG_WORK_S * 1000),
        **fields,
    }
    is_long_running = fields.get("long_running", False)
    work = TaskWork(LONG_WORK_S, cpu, 200, is_long_running=is_long_running)
    return f"{generator.getrandbits(64):016x}", [phase], [work]


@asynccontextmanager
async def open_day_of_one_busy_machine(monkeypatch, seed: int, begin_after_s: float):
    """Run long tasks on machine m, with room for them nowhere else in the pool.

    A task on machine n, which is small, keeps both machines in the pool.
    """
    async with open_small_day(monkeypatch, seed, "m", "ab") as (world, checker):
        world.platform.add_machine("n", "one", "r", cpu=400)
        await trio.sleep(begin_after_s)
        lasting = job_of(world.generator, 2, 200, long_running=True, max_per_server=1)
        for new_job in (lasting, job_of(world.generator, 4, 1500)):
            assert await submit(world, checker, "/one/", new_job)
            await trio.sleep(0.5)
        await trio.sleep(1.0)
        machine = world.platform.machine_by_id["m"]
        assert len(machine.server.run_by_task) == 5
        yield world, checker, machine


def lose_machine_and_holder(world, machine) -> None:
    """Cut a machine off and kill the holder; another machine has room from now on."""
    world.faults.servers_cut = {("*", machine.server.address)}
    for holder in world.holders():
        world.kill_node(holder)
    world.platform.resize("n", MACHINE_CPU, 64000, after_s=0.1)


# Guards against TWICE: a renewal for the earlier lifetime makes the lease of the later
# one the longest, the row of the holder's lease tells an earlier end of all grants, and
# the next holder starts the tasks again while they run where it can't see them.
@pytest.mark.parametrize("clock_rate", [1.0, 0.98])
@SEEDS
async def test_a_holder_waits_for_the_lease_that_a_stray_renewal_has_granted(
    monkeypatch, autojump_clock, seed, clock_rate
):
    renewals = Renewals(monkeypatch)
    rebirth = Rebirth(clock_ms=1000, keeps_row=True, clock_rate=clock_rate)
    breaches_by_kill_s = {}
    has_runs_by_kill_s = {}
    for step in range(1 + seed, 41, 4):
        async with open_day_of_one_busy_machine(monkeypatch, seed, 0.1 * seed) as day:
            world, checker, machine = day
            await renewals.wait_for_answer(machine.server)
            await trio.sleep(RENEWAL_SENT_S)
            world.platform.crash(machine.id, 0.001, rebirth=rebirth)
            kill_s = round(0.05 * step, 2)
            await trio.sleep(kill_s)
            has_runs_by_kill_s[kill_s] = bool(machine.server.run_by_task)
            lose_machine_and_holder(world, machine)
            await trio.sleep(SETTLED_S)
            if checker.breaches:
                breaches_by_kill_s[kill_s] = breaches_by_rule(checker)
    assert breaches_by_kill_s == {}
    assert any(has_runs_by_kill_s.values())


class LateRenewals:
    """Has each lifetime carry out the last granting renewal for the earlier ones.

    It does so just before its first call, whatever the connections do.
    """

    def __init__(self, monkeypatch):
        self.carried_out = 0
        self._grant_by_lifetime = {}
        self._called = set()
        self._handle = StandinServer.handle
        monkeypatch.setattr(
            StandinServer,
            "handle",
            lambda server, *args: self._call(server, *args),
        )

    async def _call(self, server, path, expected, body):
        lifetime = server.id, server.born_ms
        if path == "/hold" and body.get("expires_ms"):
            self._grant_by_lifetime[lifetime] = {**body, "wait_ms": 0, "ack_cursor": 0}
        if lifetime not in self._called:
            self._called.add(lifetime)
            for (name, born_ms), grant in list(self._grant_by_lifetime.items()):
                if name == server.id and born_ms < server.born_ms:
                    self.carried_out += 1
                    await self._handle(server, "/hold", expected, grant)
        return await self._handle(server, path, expected, body)


# The same where connections do not help, as the renewal is carried out late.
@pytest.mark.parametrize("clock_rate", [1.0, 0.98])
@SEEDS
async def test_a_holder_waits_for_the_lease_that_a_late_renewal_has_granted(
    monkeypatch, autojump_clock, seed, clock_rate
):
    rebirth = Rebirth(clock_ms=1000, keeps_row=True, clock_rate=clock_rate)
    breaches_by_kill_s = {}
    has_runs_by_kill_s = {}
    for step in range(1 + seed, 41, 4):
        late = LateRenewals(monkeypatch)
        async with open_day_of_one_busy_machine(monkeypatch, seed, 0.1 * seed) as day:
            world, checker, machine = day
            await trio.sleep(0.3)
            world.platform.crash(machine.id, 0.001, rebirth=rebirth)
            kill_s = round(0.05 * step, 2)
            await trio.sleep(kill_s)
            has_runs_by_kill_s[kill_s] = bool(machine.server.run_by_task)
            lose_machine_and_holder(world, machine)
            await trio.sleep(SETTLED_S)
            assert late.carried_out
            if checker.breaches:
                breaches_by_kill_s[kill_s] = breaches_by_rule(checker)
    assert breaches_by_kill_s == {}
    assert any(has_runs_by_kill_s.values())


# The same of a renewal of the holder before, of whose lifetime the next has not heard.
@pytest.mark.parametrize("cut_after_s", [0.5, 1.5, 3.0])
@SEEDS
async def test_a_next_holder_waits_for_the_lease_that_a_late_renewal_has_granted(
    monkeypatch, autojump_clock, seed, cut_after_s
):
    late = LateRenewals(monkeypatch)
    async with open_small_day(monkeypatch, seed, "m", "ab") as (world, checker):
        world.platform.add_machine("n", "one", "r", cpu=400)
        await trio.sleep(0.5)
        job = short_job(world.generator, 0.8)
        assert await submit(world, checker, "/one/", job)
        assert await wait_complete(world, checker, "/one/", [job[0]], 20.0) == []
        machine = world.platform.machine_by_id["m"]
        world.kill_node(world.holders()[0])
        world.platform.crash(machine.id, 0.05, rebirth=Rebirth(clock_ms_of(seed)))
        lasting = job_of(world.generator, 2, 1500)
        assert await submit(world, checker, "/one/", lasting)
        with trio.fail_after(20.0):
            while machine.server is None or len(machine.server.run_by_task) < 2:
                await trio.sleep(POLL_S)
        await trio.sleep(cut_after_s)
        world.faults.servers_cut = {("*", machine.server.address)}
        world.platform.resize("n", MACHINE_CPU, 64000, after_s=0.1)
        await trio.sleep(SETTLED_S + cut_after_s)
        assert late.carried_out
        assert checker.breaches == []


async def keep_back_a_renewal_and_a_start(world, checker, machine) -> list[ServerCall]:
    """Keep back the start of a task and, some time before, a renewal."""
    renewals = keep_one_back(world, is_grant)
    await trio.sleep(3.0)
    renewal = next(call for call in renewals if call.address == machine.server.address)
    starts = keep_one_back(world, is_start)
    assert await submit(world, checker, "/one/", job_of(world.generator, 1, 1500))
    with trio.fail_after(2.0):
        while not starts:
            await trio.sleep(POLL_S)
    world.faults.keeps_back = None
    return [starts[0], renewal]


# The same when a run has begun by a start for the earlier lifetime that was under way,
# and a renewal of the lost holder is carried out there before the next one is heard.
@pytest.mark.parametrize("late_s", [0.5, 1.0, 2.0, 4.0, 8.0])
async def test_a_renewal_of_the_earlier_holder_comes_late_where_no_other_is_heard(
    monkeypatch, autojump_clock, late_s
):
    async with open_day_of_one_busy_machine(monkeypatch, 0, 0.0) as day:
        world, checker, machine = day
        start, renewal = await keep_back_a_renewal_and_a_start(world, checker, machine)
        carry_out_after_restart(world, start, POLL_S)
        carry_out_after_restart(world, renewal, late_s)
        rebirth = Rebirth(clock_ms=1000, keeps_row=True)
        lose_machine_and_holder(world, machine)
        world.platform.crash(machine.id, 0.001, rebirth=rebirth)
        await trio.sleep(late_s + SETTLED_S)
        assert breaches_by_rule(checker) == {}


# The same when the next holder has heard the earlier lifetime, which had no such run,
# and lost it: the start comes late, too.
@pytest.mark.parametrize("late_s", [0.5, 2.0, 4.0])
async def test_calls_of_the_earlier_holder_come_late_where_the_next_one_lost_the_server(
    monkeypatch, autojump_clock, late_s
):
    async with open_day_of_one_busy_machine(monkeypatch, 0, 0.0) as day:
        world, checker, machine = day
        calls = await keep_back_a_renewal_and_a_start(world, checker, machine)
        world.kill_node(world.holders()[0])
        with trio.fail_after(5.0):
            while not world.holders():
                await trio.sleep(0.01)
        await trio.sleep(0.3)
        assert machine.server.fencing_token > calls[0].body["fencing_token"]
        world.faults.servers_cut = {("*", machine.server.address)}
        world.platform.resize("n", MACHINE_CPU, 64000, after_s=0.1)
        for call in calls:
            carry_out_after_restart(world, call, late_s)
        rebirth = Rebirth(clock_ms=1000, keeps_row=True)
        world.platform.crash(machine.id, 0.5, rebirth=rebirth)
        await trio.sleep(late_s + SETTLED_S)
        assert breaches_by_rule(checker) == {}
