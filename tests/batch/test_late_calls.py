"""Calls for an earlier lifetime of a server that a later one gets seconds late.

A server checks its name and the fencing token of a call alone.
"""

import pytest
import trio
from trio.testing import MockClock

from rhubarbmount.batch.election import TOKENS_PER_LEASE, ShardLease
from rhubarbmount.batch.server_tokens import ServerTokens
from rhubarbmount.standins.users_servers import StandinServer
from tests.batch.test_days import open_small_day, submit
from tests.batch.test_lifetimes import LONGEST_LEASE_S, long_running_tasks
from tests.batch.test_reborn_servers import (
    SEEDS,
    clock_ms_of,
    machines_of,
    open_day_of_short_jobs,
    restart_all,
)
from tests.batch.world import LATENCY_S

DOWN_S = 0.05
# After this time the later lifetime has listed its runs.
LISTED_AFTER_S = 2.5


@pytest.fixture
def autojump_clock():
    return MockClock(rate=0.0, autojump_threshold=0.0)


class Calls:
    """Records the calls to each lifetime of a server, to repeat them at a later one."""

    def __init__(self, monkeypatch):
        self.by_lifetime = {}
        self._handle = StandinServer.handle
        monkeypatch.setattr(
            StandinServer,
            "handle",
            lambda server, *args: self._record(server, *args),
        )

    async def _record(self, server, path, expected, body):
        calls = self.by_lifetime.setdefault((server.id, server.born_ms), [])
        calls.append((path, expected, dict(body)))
        return await self._handle(server, path, expected, body)

    async def repeat_at(self, server, earlier, paths=()):
        """Send the calls for an earlier lifetime to a later one."""
        for path, expected, body in list(self.by_lifetime[earlier]):
            if not paths or path in paths:
                await self._handle(server, path, expected, {**body, "wait_ms": 0})


def state_of(server):
    """Return what late calls may not change."""
    return (
        server.expires_ms,
        sorted(server.run_by_task),
        [end[:4] for end in server.ended],
        dict(server.highest_ended),
    )


# Guards against TWICE: leases renewed, runs started and ends forgotten unread at a
# server that began again, by calls that were meant for its earlier lifetime.
@pytest.mark.parametrize("path", ["/hold", "/run-start", "/run-stop"])
@SEEDS
async def test_late_calls_for_an_earlier_lifetime_do_nothing(
    monkeypatch, autojump_clock, seed, path
):
    async with open_day_of_short_jobs(monkeypatch, seed) as (world, jobs):
        calls = Calls(monkeypatch)
        await jobs.submit(8, 0.2)
        earlier = {
            machine.id: (machine.server.id, machine.server.born_ms)
            for machine in machines_of(world)
        }
        restart_all(world, DOWN_S, clock_ms=clock_ms_of(seed), keeps_row=True)
        jobs.submit_more()
        await trio.sleep(LISTED_AFTER_S)
        repeated = 0
        for machine in machines_of(world):
            if earlier.get(machine.id) not in calls.by_lifetime:
                continue
            before = state_of(machine.server)
            await calls.repeat_at(machine.server, earlier[machine.id], (path,))
            assert state_of(machine.server) == before
            repeated += 1
        assert repeated
        await jobs.must_complete()


# Guards against TWICE: a renewal for the earlier lifetime lets the runs of the later
# one go on for longer than its holder counts with, which starts them elsewhere.
@SEEDS
async def test_a_late_renewal_lets_no_run_outlast_its_lease(
    monkeypatch, autojump_clock, seed
):
    calls = Calls(monkeypatch)
    async with open_small_day(monkeypatch, seed, "mn") as (world, checker):
        # One task on each server, so that none is idle and moved, and some on one.
        for limit, count in ((1, 2), (0, 4)):
            job_id, phases, works = long_running_tasks(world.generator)
            phases[0].update(max_per_server=limit, count=count)
            assert await submit(world, checker, "/one/", (job_id, phases, works))
            await trio.sleep(0.2)
        await trio.sleep(LONGEST_LEASE_S)
        earlier = {
            machine.id: (machine.server.id, machine.server.born_ms)
            for machine in machines_of(world)
        }
        restart_all(world, DOWN_S, clock_ms=clock_ms_of(0), keeps_row=True)
        await trio.sleep(LISTED_AFTER_S + 3.0)
        busy = max(machines_of(world), key=lambda item: len(item.server.run_by_task))
        assert len(busy.server.run_by_task) == 5
        world.faults.servers_cut = {("*", busy.server.address)}
        for lifetime in earlier.values():
            if lifetime[0] == busy.server.id:
                await calls.repeat_at(busy.server, lifetime, ("/hold",))
        await trio.sleep(LONGEST_LEASE_S + 5.0)
        assert checker.breaches == []


# Guards against a holder that steps down, as a server obeyed a call with a higher token
# that it had sent for an earlier lifetime, whose row came late.
@SEEDS
async def test_a_late_row_of_an_earlier_lifetime_ends_no_holder(
    monkeypatch, autojump_clock, seed
):
    async with open_day_of_short_jobs(monkeypatch, seed) as (world, jobs):
        holder = world.node_by_id[world.holders()[0]]
        token = holder.lease_manager.watch.lease.fence
        jobs.submit_more()
        restart_all(world, DOWN_S, clock_ms=clock_ms_of(seed), earlier_row_after_s=1.0)
        await trio.sleep(6.0)
        await jobs.must_complete()
        assert holder.is_holder
        assert holder.lease_manager.watch.lease.fence == token


# Guards against a next holder that steps down at once, as a server has obeyed a call
# for its earlier lifetime, which had tasks, and refused one that was sent before.
@pytest.mark.parametrize("kill_after_s", [0.0, 0.06, 0.1])
@SEEDS
async def test_the_tasks_of_an_earlier_lifetime_end_no_next_holder(
    monkeypatch, autojump_clock, seed, kill_after_s
):
    # The later lifetime is called while the call for the earlier one is answered.
    monkeypatch.setattr("rhubarbmount.batch.server_session.IDLE_DELAY_S", LATENCY_S)
    async with open_day_of_short_jobs(monkeypatch, seed) as (world, jobs):
        jobs.submit_more()
        await trio.sleep(0.3)
        restart_all(world, DOWN_S, clock_ms=clock_ms_of(seed), keeps_row=True)
        await trio.sleep(kill_after_s)
        world.kill_node(world.holders()[0])
        while not world.holders():
            await trio.sleep(0.01)
        next_holder = world.node_by_id[world.holders()[0]]
        token = next_holder.lease_manager.watch.lease.fence
        await jobs.must_complete()
        assert next_holder.is_holder
        assert next_holder.lease_manager.watch.lease.fence == token


def test_a_lifetime_that_answers_has_the_highest_number():
    tokens = ServerTokens()
    assert [tokens.number_of(item) for item in ("s@5", "t@5", "s@9")] == [0, 0, 1]
    assert tokens.number_of("s") == 1
    # The row of an earlier lifetime came late.
    assert tokens.is_highest("s@9")
    assert tokens.raise_number("s@9") == 1
    assert not tokens.is_highest("s@5")
    assert tokens.raise_number("s@5") == 2
    assert tokens.raise_number("s@9") == 3


# Guards against memory that grows with each server that ever was.
def test_numbers_are_forgotten_but_for_servers_that_began_again(monkeypatch):
    monkeypatch.setattr("rhubarbmount.batch.server_tokens.MAX_NAMES", 3)
    tokens = ServerTokens()
    for server_id in ("a@1", "a@2", "b@1", "c@1", "d@1"):
        tokens.number_of(server_id)
    assert tokens.number_of("a") == 1
    tokens.number_of("e@1")
    assert list(tokens._number_by_id_by_name) == ["a", "d", "e"]


# Guards against a holder whose tokens are below those of the one before it.
def test_tokens_of_later_leases_are_higher():
    first = ShardLease(TOKENS_PER_LEASE, 0.0)
    second = ShardLease(2 * TOKENS_PER_LEASE, 0.0)
    assert first.server_token(0) == 1
    assert first.server_token(5 * TOKENS_PER_LEASE) == TOKENS_PER_LEASE
    assert second.server_token(0) == TOKENS_PER_LEASE + 1
    # A host of an older build takes a lease with the next number.
    assert second.server_token(5 * TOKENS_PER_LEASE) < second.fencing_token + 1
