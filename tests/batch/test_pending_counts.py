"""Tests that no entry host gives an old count of waiting jobs as if it were new."""

import pytest
import trio
from trio.testing import MockClock

from rhubarbmount.batch import clocks
from rhubarbmount.batch.table_follower import FEED_WAIT_S
from rhubarbmount.batch.tables import REQUESTS_TABLE
from tests.batch.test_days import job, long_running_job, open_day, submit
from tests.batch.test_takeovers import job_in_part
from tests.batch.world import BOUNDS

KILLS_AT_S = (0.05, 2.3, 4.5)
SHARD_PARTS = 8
SUSPENDED_S = 6.0


@pytest.fixture
def autojump_clock():
    return MockClock(rate=0.0, autojump_threshold=0.0)


async def ask_all(world, checker, until_s, period_s=0.1):
    """Ask each entry host for the count until a time; return the counts and codes."""
    answers = []
    while trio.current_time() < until_s:
        for name in sorted(world.node_by_id):
            status, body = await world.call("GET", "/one/", node=name)
            if status == 200:
                checker.check_pending("/one/", body["pending"])
            answers.append(body["pending"] if status == 200 else status)
        await trio.sleep(period_s)
    return answers


async def submit_for(world, checker, until_s, period_s=0.4):
    """Submit jobs until a time; a job that is refused is not counted."""
    while trio.current_time() < until_s:
        new_job = job(world.generator)
        if world.node_by_id:
            await submit(world, checker, "/one/", new_job, tries=1)
        await trio.sleep(period_s)


def cut_all_servers(world):
    world.faults.servers_cut = {
        ("*", address) for address in world.platform.server_by_address
    }


# Guards against MIXED: the count of a holder that was lost is given for seconds.
@pytest.mark.parametrize("seed", range(4))
async def test_no_host_gives_the_count_of_a_holder_lost_long_ago(
    monkeypatch, autojump_clock, seed
):
    async with open_day(monkeypatch, seed, nodes="abcde") as (world, checker):
        await submit(world, checker, "/one/", long_running_job(world.generator))
        await trio.sleep(3.0)
        cut_all_servers(world)
        begun_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(submit_for, world, checker, begun_s + 15.0)
            nursery.start_soon(ask_all, world, checker, begun_s + 15.0)
            for kill_at_s in KILLS_AT_S:
                await trio.sleep_until(begun_s + kill_at_s)
                while not world.holders():
                    await trio.sleep(0.01)
                name = world.holders()[0]
                world.kill_node(name)
                world.start_node(name)
        assert checker.breaches == []


# Guards against a count that is refused for long while all is well.
async def test_counts_are_given_all_the_time_while_the_holder_lives(
    monkeypatch, autojump_clock
):
    async with open_day(monkeypatch, 1, nodes="abc") as (world, checker):
        await trio.sleep(2.0)
        answers = await ask_all(world, checker, trio.current_time() + 10.0)
        assert set(answers) == {0}
        cut_all_servers(world)
        until_s = trio.current_time() + 3.0
        await submit_for(world, checker, until_s)
        answers = await ask_all(world, checker, trio.current_time() + 10.0)
        assert answers[-1] >= 6
        assert 503 not in answers
        assert checker.breaches == []


# Guards against a holder that counts before it has read the requests.
@pytest.mark.parametrize("seed", range(3))
async def test_a_holder_gives_no_count_before_it_has_read_all_requests(
    monkeypatch, autojump_clock, seed
):
    async with open_day(monkeypatch, seed, nodes="ab") as (world, checker):
        cut_all_servers(world)
        for number in range(SHARD_PARTS):
            new_job = job_in_part(world.generator, number)
            assert await submit(world, checker, "/one/", new_job)
        await trio.sleep(1.0)
        parts = {f"shard-0.requests-{number}" for number in range(1, SHARD_PARTS)}
        world.kill_node(world.holders()[0])
        world.faults.store_parts_down = parts
        await ask_all(world, checker, trio.current_time() + 8.0)
        world.faults.store_parts_down = set()
        until_s = trio.current_time() + BOUNDS.contact_s
        assert (await ask_all(world, checker, until_s))[-1] == SHARD_PARTS
        assert checker.breaches == []


# Guards against MIXED: a count says "now" and lacks requests that were not heard of.
@pytest.mark.parametrize("seed", range(3))
async def test_no_count_is_given_as_new_without_the_requests_of_that_time(
    monkeypatch, autojump_clock, seed
):
    async with open_day(monkeypatch, seed, nodes="abc") as (world, checker):
        await trio.sleep(2.0)
        cut_all_servers(world)
        world.faults.store_tables_down = {REQUESTS_TABLE}
        until_s = trio.current_time() + 12.0
        async with trio.open_nursery() as nursery:
            nursery.start_soon(submit_for, world, checker, until_s)
            answers = await ask_all(world, checker, until_s)
        assert checker.breaches == []
        assert answers[-1] == 503
        world.faults.store_tables_down = set()
        until_s = trio.current_time() + BOUNDS.contact_s
        assert (await ask_all(world, checker, until_s))[-1] > 20


# Guards against MIXED: an entry host that was suspended answers from its memory.
async def test_a_suspended_host_gives_no_count_of_before(monkeypatch, autojump_clock):
    async with open_day(monkeypatch, 2, nodes="abc") as (world, checker):
        await trio.sleep(2.0)
        name = next(name for name in "abc" if name not in world.holders())
        assert (await world.call("GET", "/one/", node=name))[0] == 200
        monkeypatch.setattr(
            clocks.source, "monotonic_s", lambda: trio.current_time() + SUSPENDED_S
        )
        world.faults.nodes_cut_from_store = {name}
        status, _ = await world.call("GET", "/one/", node=name)
        assert status == 503


# Guards against MIXED: a limit on the age that does not follow the deployment's bounds.
@pytest.mark.parametrize(("visible_s", "status"), [(3.0, 200), (0.2, 503)])
async def test_the_age_of_counts_is_limited_by_the_time_to_be_visible(
    monkeypatch, autojump_clock, visible_s, status
):
    async with open_day(monkeypatch, 3, nodes="ab") as (world, checker):
        await trio.sleep(2.0)
        world.faults.store_tables_down = {REQUESTS_TABLE}
        await trio.sleep(4.0)
        api = world.node_by_id["a"].job_api
        api.visible_s = visible_s
        assert (await world.call("GET", "/one/", node="a"))[0] == status


# Guards against refusing counts while all is well: one poll of an idle table is lost.
@pytest.mark.parametrize("seed", range(4))
async def test_counts_are_given_after_one_lost_poll(monkeypatch, autojump_clock, seed):
    async with open_day(monkeypatch, seed, nodes="abc") as (world, checker):
        await trio.sleep(3.0 + seed * 0.5)
        world.faults.store_tables_down = {REQUESTS_TABLE}
        await trio.sleep(FEED_WAIT_S + 0.05)
        world.faults.store_tables_down = set()
        assert 503 not in await ask_all(world, checker, trio.current_time() + 8.0)
