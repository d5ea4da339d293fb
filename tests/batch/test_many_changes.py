"""Tests that hosts follow many, and large, changes of the configuration."""

import base64

import attrs
import pytest
import trio
from trio.testing import MockClock

from rhubarbmount.batch.catalogue_publisher import CataloguePublisher
from rhubarbmount.batch.catalogue_source import RETRY_S
from rhubarbmount.platform.row_formats import OPERATOR_TABLE
from tests.batch.configuration_checker import SPARE, ConfigurationChecker
from tests.batch.world import BOUNDS, open_world

# What a link of 10 Mbit/s takes that other calls use half of.
WEAK_LINK_MBPS = 10.0
WEAK_LINK_BYTES_PER_S = 600_000
STORM_GAP_S = 0.8
CUT_S = 10.0
# Time that each call of a slow store takes.
SLOW_STORE_S = 0.4
# A configuration of so many queues takes longer to arrive than a poll may be silent.
MANY_QUEUES = 5000
EXPECTED_SHARE = 0.9


@pytest.fixture
def autojump_clock():
    return MockClock(rate=0.0, autojump_threshold=0.0)


async def start(world, queues, weak="cd"):
    """Start strong hosts a and b and weak ones; return the checker, which probes."""
    checker = ConfigurationChecker(world)
    checker.put(adds=queues)
    for pool in ("one", SPARE):
        world.platform.add_machine(f"m-{pool}", pool, "r0")
    for name in ("a", "b"):
        world.start_node(name)
    for name in weak:
        world.faults.link_bytes_per_s_by_node[name] = WEAK_LINK_BYTES_PER_S
        world.start_node(name, link_mbps=WEAK_LINK_MBPS)
    await trio.sleep(1.0)
    world.nursery.start_soon(checker.probe)
    return checker


def version_of(world, node_id):
    return world.node_by_id[node_id].job_api.catalogue.version


async def must_be_followed_for(checker, for_s):
    """Assert that hosts answer by changes in time, and hardly refuse anything."""
    refusals, answers = checker.refusals, checker.answers
    await trio.sleep(for_s)
    assert checker.breaches == []
    refused = checker.refusals - refusals
    assert refused < (checker.answers - answers) * (1 - EXPECTED_SHARE)


# Guards against CONFIG: a host that was cut off reads each version that it has missed.
@pytest.mark.parametrize("seed", range(3))
async def test_a_host_that_was_cut_off_knows_the_newest_configuration_in_time(
    monkeypatch, autojump_clock, seed
):
    async with open_world(monkeypatch, seed) as world:
        checker = await start(world, queues=250)
        world.nursery.start_soon(checker.change_for, 30.0, STORM_GAP_S)
        await trio.sleep(2.0)
        checker.cut({"c"})
        await trio.sleep(CUT_S + 0.1 * seed)
        checker.cut(set())
        await trio.sleep(BOUNDS.contact_s)
        assert checker.version - version_of(world, "c") <= 2
        await trio.sleep(10.0)
        assert checker.breaches == []
        assert checker.refusals < checker.answers * (1 - EXPECTED_SHARE)


# Guards against CONFIG: an answer that is still arriving is given up, again and again.
async def test_a_configuration_that_takes_long_to_arrive_is_in_force_at_last(
    monkeypatch, autojump_clock
):
    async with open_world(monkeypatch) as world:
        checker = await start(world, queues=10)
        await trio.sleep(5.0)
        checker.put(adds=MANY_QUEUES)
        await trio.sleep(8.0)
        assert {version_of(world, name) for name in "abcd"} == {2}
        assert checker.breaches == []


# Guards against CONFIG: 404 by a configuration that may long have changed.
async def test_a_host_that_does_not_hear_of_changes_says_so(
    monkeypatch, autojump_clock
):
    async with open_world(monkeypatch) as world:
        checker = await start(world, queues=3)
        world.nursery.start_soon(checker.change_for, 20.0, STORM_GAP_S)
        await trio.sleep(3.0)
        world.faults.store_tables_down = {OPERATOR_TABLE}
        await trio.sleep(10.0)
        assert checker.breaches == []
        world.faults.store_tables_down = set()
        await trio.sleep(BOUNDS.contact_s)
        refusals = checker.refusals
        await trio.sleep(5.0)
        assert checker.refusals == refusals


# Guards against CONFIG: with many queues, a version takes longer to arrive than it may
# take to be in force.
async def test_many_changes_of_many_queues_are_in_force_in_time(
    monkeypatch, autojump_clock
):
    async with open_world(monkeypatch) as world:
        checker = await start(world, queues=MANY_QUEUES)
        await trio.sleep(10.0)
        refusals, answers = checker.refusals, checker.answers
        world.nursery.start_soon(checker.change_for, 30.0, STORM_GAP_S)
        await trio.sleep(32.0)
        assert checker.breaches == []
        refused = checker.refusals - refusals
        assert refused < (checker.answers - answers) * (1 - EXPECTED_SHARE)


# Guards against refusals by a host that was suspended and is about to hear of changes.
async def test_a_host_that_was_suspended_hears_of_changes_before_it_answers(
    monkeypatch, autojump_clock
):
    async with open_world(monkeypatch) as world:
        checker = await start(world, queues=3)
        await trio.sleep(3.0)
        world.faults.paused_until_s_by_node["a"] = trio.current_time() + 5.0
        checker.reaches_since_s["a"] = trio.current_time() + 5.0
        await trio.sleep(4.9)
        checker.put(removes=1)
        await trio.sleep(0.1)
        status, _ = await world.call("GET", "/q1-0/0123456789abcdef", node="a")
        assert status == 404
        assert checker.breaches == []


# Guards against a host that can't answer before it has read all that was written.
async def test_a_table_without_changes_costs_no_refusals(monkeypatch, autojump_clock):
    async with open_world(monkeypatch) as world:
        checker = await start(world, queues=3)
        checker.put(adds=1, removes=1)
        await trio.sleep(20.0)
        assert checker.breaches == []
        assert checker.refusals == 0
        assert checker.answers > 100


# Guards against CONFIG and refusals while hosts depend on a holder that is lost.
@pytest.mark.parametrize("seed", range(4))
async def test_holders_are_lost_while_weak_hosts_follow_changes(
    monkeypatch, autojump_clock, seed
):
    async with open_world(monkeypatch, seed) as world:
        checker = await start(world, queues=MANY_QUEUES)
        await trio.sleep(8.0)
        world.nursery.start_soon(checker.change_for, 40.0, STORM_GAP_S)
        for _ in range(3):
            await trio.sleep(world.generator.uniform(4.0, 9.0))
            name = world.holders()[0]
            link_bytes_per_s = world.faults.link_bytes_per_s_by_node
            is_weak = name in link_bytes_per_s
            world.kill_node(name)
            checker.reaches_since_s[name] = trio.current_time()
            world.start_node(name, WEAK_LINK_MBPS if is_weak else 1000.0)
        await trio.sleep(20.0)
        assert checker.breaches == []
        refusals, answers = checker.refusals, checker.answers
        await trio.sleep(8.0)
        refused = checker.refusals - refusals
        assert refused < (checker.answers - answers) * (1 - EXPECTED_SHARE)
        assert {version_of(world, name) for name in "abcd"} == {checker.version}


# Guards against CONFIG: changes that do not lead on from what a host has.
@pytest.mark.parametrize("seed", range(2))
async def test_weak_hosts_that_follow_changes_are_cut_off(
    monkeypatch, autojump_clock, seed
):
    async with open_world(monkeypatch, seed) as world:
        checker = await start(world, queues=MANY_QUEUES)
        await trio.sleep(8.0)
        world.nursery.start_soon(checker.change_for, 40.0, STORM_GAP_S)
        for cut_s in (4.0, 12.0 + seed):
            checker.cut({"c"})
            await trio.sleep(cut_s)
            checker.cut(set())
            await trio.sleep(8.0)
            assert checker.version - version_of(world, "c") <= 2
        assert checker.breaches == []


# Guards against a host that relies on changes which nobody writes any more, or which
# it can't read.
@pytest.mark.parametrize("value", [b"{}", b"odd", None])
async def test_changes_that_can_not_be_read_leave_the_configuration_to_be_read(
    monkeypatch, autojump_clock, value
):
    async with open_world(monkeypatch) as world:
        checker = await start(world, queues=MANY_QUEUES)
        await trio.sleep(8.0)
        monkeypatch.setattr(CataloguePublisher, "put_changed", lambda *args: None)
        if value is not None:
            for key in ("changes", "known"):
                text = base64.b64encode(value).decode()
                world.platform.store.put("catalogue", key, text, part="shard-0")
        checker.put(adds=1, removes=1)
        await trio.sleep(12.0)
        assert {version_of(world, name) for name in "abcd"} == {2}
        assert checker.breaches == []


# Guards against a deployment whose bound no poll can keep: all would be refused.
async def test_a_bound_of_no_time_does_not_refuse_everything(
    monkeypatch, autojump_clock
):
    bounds = attrs.evolve(BOUNDS, config_apply_s=0.0)
    monkeypatch.setattr("tests.batch.world.BOUNDS", bounds)
    async with open_world(monkeypatch) as world:
        checker = await start(world, queues=3)
        checker.put(adds=1, removes=1)
        await trio.sleep(10.0)
        assert checker.answers > 100
        assert checker.refusals < checker.answers * (1 - EXPECTED_SHARE)


# Guards against hosts that go back and forth between the configuration and its changes.
async def test_changes_that_nobody_writes_any_more_are_seldom_tried(
    monkeypatch, autojump_clock, caplog
):
    caplog.set_level("INFO")
    async with open_world(monkeypatch) as world:
        checker = await start(world, queues=MANY_QUEUES, weak="c")
        await trio.sleep(8.0)
        monkeypatch.setattr(CataloguePublisher, "put_changed", lambda *args: None)
        caplog.clear()
        await checker.change_for(20.0, STORM_GAP_S)
        assert caplog.text.count("event=catalogue-changes-followed") <= 20.0 / RETRY_S
        assert checker.breaches == []


# Guards against CONFIG while each call of the store takes long, as many changes arrive.
async def test_many_changes_are_in_force_in_time_while_the_store_is_slow(
    monkeypatch, autojump_clock
):
    async with open_world(monkeypatch) as world:
        checker = await start(world, queues=MANY_QUEUES)
        await trio.sleep(8.0)
        world.nursery.start_soon(checker.change_for, 30.0, STORM_GAP_S)
        await trio.sleep(3.0)
        world.faults.store_delay_s = SLOW_STORE_S
        await trio.sleep(12.0)
        world.faults.store_delay_s = 0.0
        await trio.sleep(BOUNDS.contact_s)
        await must_be_followed_for(checker, 10.0)


# Guards against CONFIG after the store has dropped its history: tables are read anew.
async def test_many_changes_are_in_force_in_time_without_history(
    monkeypatch, autojump_clock
):
    async with open_world(monkeypatch) as world:
        checker = await start(world, queues=MANY_QUEUES)
        await trio.sleep(8.0)
        world.nursery.start_soon(checker.change_for, 30.0, STORM_GAP_S)
        for _ in range(3):
            await trio.sleep(world.generator.uniform(3.0, 7.0))
            world.platform.store.drop_history()
        await trio.sleep(BOUNDS.contact_s)
        await must_be_followed_for(checker, 8.0)


# Guards against CONFIG on a strong host whose link narrows during many changes.
async def test_many_changes_are_in_force_in_time_on_a_link_that_narrows(
    monkeypatch, autojump_clock
):
    async with open_world(monkeypatch) as world:
        checker = await start(world, queues=MANY_QUEUES, weak="")
        world.start_node("c", link_mbps=1000.0)
        await trio.sleep(8.0)
        world.nursery.start_soon(checker.change_for, 40.0, STORM_GAP_S)
        await trio.sleep(3.0)
        world.faults.link_bytes_per_s_by_node["c"] = WEAK_LINK_BYTES_PER_S
        await trio.sleep(10.0)
        await must_be_followed_for(checker, 10.0)
        del world.faults.link_bytes_per_s_by_node["c"]
        await trio.sleep(10.0)
        assert checker.breaches == []
        assert checker.version - version_of(world, "c") <= 2
