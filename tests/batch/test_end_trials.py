"""What is placed on servers of which it is not known whether they list ends of runs."""

import attrs
import pytest

from rhubarbmount.batch.capacity import IDLE_BEFORE_RETURN_S
from rhubarbmount.batch.lifetime_ends import (
    GANG_WAIT_S,
    MAX_TRIALS,
    RETRIAL_S,
    EndListing,
    LifetimeEnds,
)
from rhubarbmount.batch.model import Step
from rhubarbmount.batch.open_servers import group_by_pool
from rhubarbmount.batch.placing import Placer, Shortage
from rhubarbmount.batch.server_losses import ServerLoss
from rhubarbmount.batch.starved_pools import STARVED_AFTER_S
from tests.batch.test_capacity import host, plan, planner, usage
from tests.batch.test_placing import CountedUsage, make_shard
from tests.batch.test_starved_pools import busy

__all__ = ["planner"]

NOW_S = 10.0
SHORT = Step(4, 1000, 100, estimate_s=0.1)
LONGER = Step(4, 1000, 100, estimate_s=0.6)
SLOW = Step(4, 1000, 100, estimate_s=20.0)
LASTING = Step(4, 1000, 100, estimate_s=1.0, is_long_running=True, max_unavailable=1)
GANG = Step(4, 1000, 100, estimate_s=20.0, is_gang=True)
SPECULATIVE = attrs.evolve(SHORT, is_speculative=True)


def place(*steps, listing=EndListing.DOUBTFUL, servers=1):
    """Place jobs of one step each on servers; return the shard and the job numbers."""
    shard = make_shard([8000] * servers, steps)
    for item in shard.usage_by_server_id.values():
        item.ends = LifetimeEnds(listing)
    return shard, placed_by(Placer(shard), NOW_S)


def placed_by(placer, now_s):
    return [int(item.task.job_id[1:]) for item in placer.place(now_s)]


# Guards against TWICE: several tasks are done where no end may be listed.
def test_one_task_at_a_time_is_placed_on_a_server_in_doubt():
    shard, placed = place(SLOW)
    assert placed == [0]
    assert placed_by(Placer(shard), NOW_S) == []
    (item,) = shard.usage_by_server_id.values()
    (task,) = item.task_by_id.values()
    assert shard.is_end_trial(task)
    item.ends.note_listed()
    assert not shard.is_end_trial(task)
    assert placed_by(Placer(shard), NOW_S) == [0, 0, 0]


def test_each_server_in_doubt_gets_a_trial():
    shard, placed = place(SLOW, servers=3)
    assert placed == [0, 0, 0]
    assert all(len(item.task_by_id) == 1 for item in shard.usage_by_server_id.values())


# They begin again however they end.
def test_tasks_that_last_are_placed_as_ever():
    shard, placed = place(LASTING)
    assert placed == [0] * 4
    assert not any(map(shard.is_end_trial, shard.job_by_id["j0000"].tasks()))
    assert place(LASTING, listing=EndListing.FORGOTTEN)[1] == [0] * 4


# Guards against TWICE: the trial is done before it is stopped.
def test_the_trial_is_a_task_that_is_not_done_soon():
    assert place(SHORT, LONGER, SLOW)[1] == [2]
    assert place(SHORT, LONGER)[1] == [1]
    assert place(SHORT)[1] == [0]


# Guards against TWICE for want of a trial that is not needed yet.
def test_a_task_that_may_be_done_soon_is_tried_only_where_it_has_no_other_server():
    shard = make_shard([8000] * 2, [SHORT] * 3)
    shard.usage_by_server_id["s000"].ends = LifetimeEnds(EndListing.DOUBTFUL)
    placed = Placer(shard).place(NOW_S)
    assert [item.server_id for item in placed] == ["s001"] * 8 + ["s000"]


def test_a_task_that_is_not_done_soon_is_tried_at_once():
    shard = make_shard([8000] * 2, [SLOW])
    shard.usage_by_server_id["s000"].ends = LifetimeEnds(EndListing.DOUBTFUL)
    placed = Placer(shard).place(NOW_S)
    assert [item.server_id for item in placed] == ["s000"] + ["s001"] * 3


def test_a_speculative_task_may_be_done_soon():
    assert place(LONGER, SPECULATIVE)[1] == [1]


# Guards against a trial that delays the job that is the most urgent.
def test_the_trial_is_the_least_urgent_task():
    # The longer a job, the later it may begin.
    patient = attrs.evolve(SLOW, estimate_s=60.0)
    assert place(SLOW, patient)[1] == [1]
    assert place(patient, SLOW)[1] == [0]


def test_a_task_with_a_checkpoint_is_no_trial_if_another_waits():
    shard = make_shard([8000], [SLOW])
    shard.usage_by_server_id["s000"].ends = LifetimeEnds(EndListing.DOUBTFUL)
    for task in shard.job_by_id["j0000"].tasks()[:3]:
        task.checkpoint = "x"
    (assignment,) = Placer(shard).place(NOW_S)
    assert assignment.task.number == 3


# Guards against a harmless task beside one that may crash the server.
def test_a_suspect_is_a_trial_only_if_nothing_else_waits():
    shard = make_shard([8000], [SLOW, SHORT])
    shard.usage_by_server_id["s000"].ends = LifetimeEnds(EndListing.DOUBTFUL)
    loss = ServerLoss("t@1", True, True, False, 0.5)
    suspect = shard.job_by_id["j0000"].tasks()[0]
    suspect.losses = (loss, attrs.evolve(loss, server_id="u@1"))
    shard.steps_with_losses.add(suspect.id[:3])
    assert suspect.is_suspect
    assert placed_by(Placer(shard), NOW_S) == [1]


# Guards against a gang that is stopped where one task would do, and one that waits
# for ever as no other task comes.
def test_a_gang_is_a_trial_only_after_nothing_else_has_come_for_a_while():
    shard, placed = place(GANG, servers=2)
    assert placed == []
    placer = Placer(shard)
    assert placed_by(placer, NOW_S + GANG_WAIT_S - 0.1) == []
    assert placed_by(placer, NOW_S + GANG_WAIT_S) == [0] * 4
    shard, placed = place(GANG, SHORT)
    assert placed == [1]


def test_a_gang_is_placed_where_ends_are_listed():
    shard, placed = place(GANG, servers=2)
    shard.usage_by_server_id["s001"].ends.note_listed()
    assert placed_by(Placer(shard), NOW_S) == [0] * 4
    assert all(task.server_id == "s001" for task in shard.job_by_id["j0000"].tasks())


# Guards against a run that is still there when the next one is to show its end.
def test_no_trial_begins_beside_runs_that_are_being_stopped():
    shard = make_shard([8000], [SLOW])
    (item,) = shard.usage_by_server_id.values()
    item.ends = LifetimeEnds(EndListing.DOUBTFUL)
    item.set_strays([SHORT])
    assert placed_by(Placer(shard), NOW_S) == []
    item.set_strays([])
    assert placed_by(Placer(shard), NOW_S) == [0]


def test_a_trial_begins_beside_tasks_that_last():
    shard, placed = place(LASTING, SLOW)
    assert sorted(placed) == [0, 0, 0, 0, 1]


def test_a_server_that_forgets_ends_rests_where_another_can_run_what_waits():
    shard = make_shard([8000, 8000], [SLOW] * 40)
    forgets, lists = shard.usage_by_server_id.values()
    forgets.ends = LifetimeEnds(EndListing.DOUBTFUL)
    forgets.ends.note_forgotten(NOW_S)
    assert placed_by(Placer(shard), NOW_S + RETRIAL_S - 0.1)
    assert forgets.is_idle
    assert not lists.fits(SLOW)
    assert placed_by(Placer(shard), NOW_S + RETRIAL_S)
    assert 0 < len(forgets.task_by_id) <= MAX_TRIALS


# Guards against tasks that wait for the only server of their pool, which forgets an
# end with each trial.
def test_the_only_server_has_as_many_trials_at_once_as_it_has_room_for():
    shard = make_shard([8000], [SLOW] * 40)
    (item,) = shard.usage_by_server_id.values()
    item.ends = LifetimeEnds(EndListing.DOUBTFUL)
    assert len(placed_by(Placer(shard), NOW_S)) == 1
    (task,) = item.task_by_id.values()
    shard.release(task, NOW_S)
    item.ends.note_forgotten(NOW_S)
    assert 1 < len(placed_by(Placer(shard), NOW_S)) <= MAX_TRIALS


# Guards against passes that take the holder's time at a peak, as the room of a server
# that may not be used seems to be there for each step.
def test_a_pass_beside_a_server_that_forgets_ends_costs_no_more(monkeypatch):
    monkeypatch.setattr("rhubarbmount.batch.shard.ServerUsage", CountedUsage)
    servers, steps = 80, 200
    shard = make_shard([8000] * servers, [SLOW] * steps)
    shard.usage_by_server_id["s000"].ends = LifetimeEnds(EndListing.FORGOTTEN)
    placer = Placer(shard)
    placer.place(NOW_S)
    CountedUsage.looks = 0
    assert placer.place(NOW_S + 0.1) == []
    assert CountedUsage.looks <= servers + steps


# What found no server for a task that ends does not tell of one that lasts.
def test_a_task_that_lasts_is_placed_where_one_that_ends_is_not():
    lasting = attrs.evolve(LASTING, count=1)
    shard = make_shard([8000], [SLOW, lasting])
    (item,) = shard.usage_by_server_id.values()
    item.ends = LifetimeEnds(EndListing.FORGOTTEN)
    item.set_strays([SHORT])
    servers = group_by_pool([item])["one"]
    assert servers.with_capacity(SLOW) == []
    assert servers.with_capacity(lasting) == [item]
    assert servers.with_capacity(GANG) == []
    assert placed_by(Placer(shard), NOW_S) == [1]


# Guards against tasks that wait beside hosts that could be had: a server that takes no
# tasks counts as room.
@pytest.mark.parametrize("listing", [EndListing.DOUBTFUL, EndListing.FORGOTTEN])
def test_a_server_that_forgets_ends_is_no_capacity(planner, listing):
    hosts = [host("m0", "one", server_id="s0"), host("m1", "rest")]
    item = usage("s0", "one")
    item.ends = LifetimeEnds(listing)
    moves = plan(planner, 0.0, hosts, [item], {"one": Shortage(6000, 0, 6, 6.0)})
    is_replaced = ("m1", "one") in [(move.host_id, move.pool) for move in moves]
    assert is_replaced is (listing is EndListing.FORGOTTEN)


# Guards against a host that is of no use for as long as its server lives.
def test_an_idle_host_whose_server_forgets_ends_goes_to_standby(planner):
    hosts = [host("m0", "one", server_id="s0")]
    item = usage("s0", "one")
    item.ends = LifetimeEnds(EndListing.FORGOTTEN)
    shortage = {"one": Shortage(6000, 0, 6, 6.0)}
    moves = plan(planner, 0.0, hosts, [item], shortage)
    assert [(move.pool, move.reason) for move in moves] == [("rest", "forgets-ends")]


# Guards against a pool that gives a server up for one of no use.
def test_a_server_that_forgets_ends_is_none_that_a_pool_can_spare(planner):
    hosts = [host(f"m{n}", "one", server_id=f"s{n}") for n in range(2)]
    useless, useful = usage("s0", "one"), usage("s1", "one")
    useless.ends = LifetimeEnds(EndListing.FORGOTTEN)
    moves = plan(
        planner,
        IDLE_BEFORE_RETURN_S,
        hosts,
        [useless, useful],
        {"two": Shortage(1000, 0, 1, 1.0)},
    )
    assert ("m0", "two") in [(move.host_id, move.pool) for move in moves]


# Guards against a pool that waits as long as another has tasks, beside a server of its
# own that takes none.
def test_a_pool_whose_servers_all_forget_ends_is_starved(planner):
    own = usage("s9", "one")
    own.ends = LifetimeEnds(EndListing.FORGOTTEN)
    fleet = [busy("s0"), busy("s1"), own]
    hosts = [
        host(f"m-{item.server.id}", item.server.service, server_id=item.server.id)
        for item in fleet
    ]
    shortages = {"one": Shortage(1000, 0, 1, 1.0), "two": Shortage(90_000, 0, 90, 90.0)}
    plan(planner, 0.0, hosts, fleet, shortage=shortages)
    plan(planner, STARVED_AFTER_S, hosts, fleet, shortage=shortages)
    assert len(planner.starved.emptying_host_ids) == 1
