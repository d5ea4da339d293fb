"""Whether lifetimes of a server list the ends of runs, and what casts doubt on it."""

import logging

import pytest
import trio
from trio.testing import MockClock

from rhubarbmount.batch.lifetime_ends import (
    GANG_WAIT_S,
    RETRIAL_S,
    EndListing,
    LifetimeEnds,
    LifetimeEndsJudge,
)
from rhubarbmount.batch.model import RunEnd, StopReason, Task
from rhubarbmount.batch.open_acknowledgements import OpenAcknowledgements
from rhubarbmount.batch.server_commands import StartRequest
from rhubarbmount.batch.unsettled_starts import MAX_AGE_S
from rhubarbmount.errors import OutcomeUnknown
from tests.batch.test_server_lifetimes import SETTLE_S, RebornServer, open_scene
from tests.batch.test_unsettled_starts import (
    EARLIER,
    TASK,
    UNANSWERED,
    ScriptedBackend,
    make_sender,
    run_sender,
)

LATER = "s@2"
OWN_END = 6
# Within this time a renewal that is sent now has been answered.
LISTED_S = 2.5


@pytest.fixture
def autojump_clock():
    return MockClock(rate=0.0, autojump_threshold=0.0)


def make_judge(doubts_of_last_holder=lambda server_id, now_s: False):
    return LifetimeEndsJudge(OpenAcknowledgements(), doubts_of_last_holder)


def test_a_lifetime_that_nothing_may_have_reached_is_trusted():
    assert make_judge().judge(LATER, True, 100.0).are_certain


def test_a_lifetime_that_an_open_call_may_have_reached_is_in_doubt():
    judge = make_judge()
    judge.acknowledgements.note("s@1", 100.0)
    ends = judge.judge(LATER, True, 100.1)
    assert ends.listing is EndListing.DOUBTFUL
    assert ends.needs_trial(100.1)
    # Nothing but an end that it lists settles that.
    assert judge.judge(LATER, True, 101.0 + MAX_AGE_S) is ends
    assert not ends.are_certain


def test_a_lifetime_in_doubt_for_the_last_holder_is_in_doubt():
    judge = make_judge(lambda server_id, now_s: server_id == LATER)
    assert not judge.judge(LATER, True, 100.0).are_certain
    assert judge.judge("s@3", True, 100.0).are_certain


# Its lifetimes can't be told apart, so that each would be doubted for ever.
def test_a_lifetime_without_a_time_of_its_start_is_trusted():
    judge = make_judge(lambda server_id, now_s: True)
    assert judge.judge("s", True, 100.0).are_certain


# Guards against TWICE: a call is carried out after the lifetime was trusted.
def test_a_lifetime_that_calls_may_still_reach_is_judged_anew():
    judge = make_judge()
    ends = judge.judge(LATER, False, 100.0)
    assert ends.are_certain
    judge.acknowledgements.note("s@1", 100.1)
    judge.judge(LATER, True, 100.2)
    assert not ends.are_certain


# Guards against a lifetime that is tried again after it has listed ends.
def test_a_lifetime_that_calls_can_not_reach_any_more_is_judged_once():
    judge = make_judge()
    ends = judge.judge(LATER, True, 100.0)
    judge.acknowledgements.note("s@1", 100.1)
    assert judge.judge(LATER, True, 100.2) is ends
    assert ends.are_certain


# Guards against TWICE: an end that is listed before a call for another lifetime is
# carried out says nothing of those after it.
def test_an_end_settles_a_doubt_only_where_other_calls_are_barred():
    ends = LifetimeEnds(EndListing.DOUBTFUL, is_barred=False)
    assert not ends.note_listed()
    assert not ends.are_certain
    ends.is_barred = True
    assert ends.note_listed()
    assert ends.are_certain
    assert not ends.note_listed()


def test_a_lifetime_that_forgot_an_end_is_tried_again_later():
    ends = LifetimeEnds(EndListing.DOUBTFUL)
    assert ends.note_forgotten(100.0)
    assert ends.are_forgotten
    assert not ends.note_forgotten(100.1)
    assert not ends.needs_trial(100.0 + RETRIAL_S)
    assert ends.needs_trial(100.1 + RETRIAL_S)
    assert ends.note_listed()


def test_a_run_that_vanishes_casts_no_doubt_on_a_trusted_lifetime():
    ends = LifetimeEnds()
    assert not ends.note_forgotten(100.0)
    assert ends.are_certain


def test_a_gang_is_the_trial_only_after_a_while():
    ends = LifetimeEnds(EndListing.DOUBTFUL)
    assert not ends.may_try_gang(100.0)
    assert not ends.may_try_gang(99.9 + GANG_WAIT_S)
    assert ends.may_try_gang(100.0 + GANG_WAIT_S)


# Guards against memory that grows with each lifetime that ever was.
def test_the_earliest_of_too_many_lifetimes_are_forgotten(monkeypatch):
    monkeypatch.setattr("rhubarbmount.batch.lifetime_ends.MAX_LIFETIMES", 2)
    judge = make_judge()
    for born_ms in range(1, 5):
        judge.judge(f"s@{born_ms}", True, 100.0)
    assert list(judge._ends_by_id) == ["s@3", "s@4"]


async def start_trial(*answers):
    """Send the start of a trial that is answered so; return the calls."""
    sender = make_sender(ScriptedBackend(list(answers)))
    task = Task(TASK, run=1, server_id=EARLIER)
    sender.send(StartRequest(task, 1, "payload", "", is_trial=True))
    await run_sender(sender)
    assert task.is_stopping
    return [call[0] for call in sender.client.calls]


# Guards against TWICE: a run that is done, where its end may be forgotten.
async def test_a_trial_is_stopped_as_soon_as_it_has_begun(monkeypatch, autojump_clock):
    monkeypatch.setattr(
        "rhubarbmount.batch.clocks.source.monotonic_s", trio.current_time
    )
    assert await start_trial() == ["start", "stop"]
    assert await start_trial(UNANSWERED) == ["start", "start", "stop"]


def lose_acknowledgements(monkeypatch):
    """Let renewals with an acknowledgement have no answer and no effect."""
    renew = RebornServer.renew

    async def renew_or_lose(server, meant, token, acknowledged, *args):
        if acknowledged:
            raise OutcomeUnknown("no answer", code="timeout")
        return await renew(server, meant, token, acknowledged, *args)

    monkeypatch.setattr(RebornServer, "renew", renew_or_lose)


async def restart_with_open_call(scene, monkeypatch):
    """Have the server start again after an acknowledgement without an answer."""
    task = scene.tasks[2]
    scene.client.running.remove((task.id, task.run))
    end = RunEnd(OWN_END, task.id, task.run, "done", "")
    scene.client.ended.append(end)
    await trio.sleep(1.5)
    lose_acknowledgements(monkeypatch)
    scene.commit()
    await trio.sleep(0.1)
    scene.client.restart()
    await trio.sleep(SETTLE_S)
    return scene.open(LATER)


async def test_the_lifetime_after_an_open_acknowledgement_is_in_doubt(
    monkeypatch, autojump_clock, caplog
):
    caplog.set_level(logging.INFO)
    async with open_scene(monkeypatch) as scene:
        usage = await restart_with_open_call(scene, monkeypatch)
        assert usage.ends.listing is EndListing.DOUBTFUL
        assert f"event=ends-in-doubt server={LATER}" in caplog.text


async def test_the_lifetime_after_answered_acknowledgements_is_trusted(
    monkeypatch, autojump_clock
):
    async with open_scene(monkeypatch) as scene:
        scene.client.restart()
        await trio.sleep(SETTLE_S)
        assert scene.open(LATER).ends.are_certain


# Guards against a task that goes on where its end may be forgotten.
async def test_a_run_for_an_earlier_lifetime_is_stopped_by_one_in_doubt(
    monkeypatch, autojump_clock
):
    async with open_scene(monkeypatch) as scene:
        usage = await restart_with_open_call(scene, monkeypatch)
        task = scene.tasks[0]
        scene.shard.assign(task, usage, trio.current_time())
        task.sent_s = task.acknowledged_s = trio.current_time()
        scene.client.running = [(task.id, task.run)]
        scene.sessions.check(LATER)
        await trio.sleep(LISTED_S)
        assert [stop.reason for stop in scene.shard.stops] == [StopReason.END_TRIAL]


async def run_on_lifetime_in_doubt(scene, monkeypatch, has_begun):
    """Assign a task to a lifetime in doubt; return the usage and the task."""
    usage = await restart_with_open_call(scene, monkeypatch)
    task = scene.tasks[0]
    scene.shard.assign(task, usage, trio.current_time())
    task.sent_s = task.acknowledged_s = trio.current_time()
    if has_begun:
        task.progress.start(1)
    return usage, task


async def test_a_listed_end_settles_the_doubt(monkeypatch, autojump_clock, caplog):
    caplog.set_level(logging.INFO)
    async with open_scene(monkeypatch) as scene:
        usage, task = await run_on_lifetime_in_doubt(scene, monkeypatch, has_begun=True)
        scene.client.end(task.id, task.run, "stopped")
        scene.sessions.check(LATER)
        await trio.sleep(LISTED_S)
        assert usage.ends.are_certain
        assert f"event=ends-listed server={LATER}" in caplog.text


# Guards against a server that counts as forgetting ends, as a run never began there.
@pytest.mark.parametrize("has_begun", [True, False])
async def test_only_a_run_that_has_begun_shows_that_its_end_is_forgotten(
    monkeypatch, autojump_clock, caplog, has_begun
):
    async with open_scene(monkeypatch) as scene:
        usage, _ = await run_on_lifetime_in_doubt(scene, monkeypatch, has_begun)
        scene.sessions.check(LATER)
        await trio.sleep(LISTED_S)
        assert usage.ends.are_forgotten is has_begun
        assert ("event=ends-forgotten" in caplog.text) is has_begun
