"""Duty leases: holders and contenders under suspensions and lost responses."""

import itertools

import attrs
import pytest
import trio

from rhubarbmount.duties import (
    Action,
    LeaseBounds,
    LeaseRow,
    LeaseTracker,
    preference_rank,
)
from rhubarbmount.duty_runner import DutyRunner
from rhubarbmount.errors import OutcomeUnknown, PlatformUnavailable
from rhubarbmount.host_rows import TransactionBuilder
from rhubarbmount.lease_reads import LeaseReads
from tests.fleetkit import CountedPlatform, ManualClock

TAKEOVER_LIMIT_S = 15.0


@attrs.define
class RecordedRounds:
    """A duty that records who ran a round, and writes under its lease."""

    instance_id: str
    notes: list
    name: str = "waves"
    before_commit: object = None

    async def do_round(self, lease):
        if self.before_commit is not None:
            self.before_commit()
        transaction = TransactionBuilder()
        transaction.write("notes", self.instance_id, {})
        assert await lease.commit(transaction)
        self.notes.append((lease.clock(), self.instance_id))

    def forget(self):
        self.notes.append((None, self.instance_id))


def make_runner(name, clock, platform, notes, members=("a", "b"), **fields):
    numbers = itertools.count()
    return DutyRunner(
        duty=RecordedRounds(name, notes),
        instance_id=name,
        platform=platform,
        clock=clock.read,
        new_id=lambda: f"{name}-{next(numbers)}",
        members=lambda: members,
        **fields,
    )


def held_tracker(now_s=100.0):
    tracker = LeaseTracker("a")
    tracker.observe(None, now_s)
    tracker.observe_commit(LeaseRow("a", 1, 0), now_s, now_s + 0.5)
    return tracker


def test_a_holder_counts_from_when_the_renewal_was_sent():
    tracker = held_tracker(100.0)
    bounds = tracker.bounds
    assert tracker.deadline_s == 100.0 + bounds.lease_s - bounds.margin_s


def test_a_holder_reads_its_lease_again_after_a_suspension():
    tracker = held_tracker(100.0)
    assert not tracker.may_act(103.0)
    assert tracker.decide(103.0, rank=0) is Action.READ
    tracker.observe(LeaseRow("a", 1, 0), 103.1)
    assert tracker.may_act(103.2)


def test_a_holder_that_was_replaced_while_frozen_does_not_act():
    tracker = held_tracker(100.0)
    tracker.may_act(130.0)
    tracker.observe(LeaseRow("b", 2, 0), 130.1)
    assert not tracker.may_act(130.2)


def test_a_contender_waits_the_whole_lease_time_on_its_own_clock():
    tracker = LeaseTracker("b")
    acquired_s = None
    for step in range(100):
        now_s = 500.0 + 0.5 * step
        tracker.may_act(now_s)
        if tracker.decide(now_s, rank=1) in (Action.READ, Action.POLL):
            tracker.observe(LeaseRow("a", 4, 9), now_s)
        if tracker.decide(now_s, rank=1) is Action.TAKE:
            acquired_s = now_s
            break
    assert acquired_s == 500.0 + tracker.bounds.lease_s
    assert tracker.next_row(Action.TAKE) == LeaseRow("b", 5, 0)


def test_a_renewal_seen_during_the_wait_restarts_it():
    tracker = LeaseTracker("b")
    tracker.observe(LeaseRow("a", 4, 9), 500.0)
    tracker.observe(LeaseRow("a", 4, 10), 507.9)
    assert tracker.decide(508.1, rank=0) is Action.WAIT


def test_a_lease_overheard_counts_as_seen_only_then():
    tracker = LeaseTracker("b")
    tracker.observe(LeaseRow("a", 4, 9), 500.0)
    tracker.observe_shared(LeaseRow("a", 4, 10), 503.0, 505.0)
    assert tracker.decide(512.9, rank=0) is not Action.TAKE
    tracker.observe_shared(LeaseRow("a", 4, 10), 512.9, 513.0)
    assert tracker.decide(513.0, rank=0) is Action.TAKE


def test_a_reading_sent_before_the_last_own_one_is_not_overheard():
    tracker = held_tracker(100.0)
    tracker.observe_commit(LeaseRow("", 1, 1), 101.0, 102.0)
    tracker.observe_shared(LeaseRow("a", 1, 0), 101.5, 103.0)
    assert tracker.row == LeaseRow("", 1, 1)


def test_a_holder_overhears_nothing_about_its_own_lease():
    tracker = held_tracker(100.0)
    tracker.observe_shared(LeaseRow("c", 2, 0), 101.0, 101.0)
    assert tracker.is_own
    tracker.require_read()
    tracker.observe_shared(LeaseRow("c", 2, 0), 102.0, 102.0)
    assert tracker.decide(102.0, rank=0) is Action.READ


async def run_until(clock, runners, condition, limit_s):
    start_s = clock.now_s
    while not condition():
        assert clock.now_s - start_s < limit_s
        clock.now_s += 0.25
        for runner in runners:
            await runner.step()
    return clock.now_s - start_s


async def test_a_dead_holders_duty_is_taken_up_within_the_limit():
    clock, platform, notes = ManualClock(), CountedPlatform(), []
    members = [f"i{n}" for n in range(7)]
    runners = [make_runner(name, clock, platform, notes, members) for name in members]
    await run_until(clock, runners, lambda: notes, 5.0)
    first = notes[0][1]
    rest = [runner for runner in runners if runner.instance_id != first]
    await run_until(
        clock, rest, lambda: notes[-1][1] != first, limit_s=TAKEOVER_LIMIT_S
    )
    holders = [name for when, name in notes if when is not None]
    assert len(set(holders)) == 2


async def test_contenders_of_one_entry_host_share_one_reading_of_all_leases():
    clock, platform, notes = ManualClock(), CountedPlatform(), []
    names = ("hosts", "waves", "repair", "cadence", "scheduling")
    reads = LeaseReads(platform, clock.read)
    holders = [make_runner("a", clock, platform, notes) for _ in names]
    contenders = [make_runner("b", clock, platform, [], reads=reads) for _ in names]
    for name, holder, contender in zip(names, holders, contenders, strict=True):
        holder.duty.name = contender.duty.name = name
        holder.member_id = contender.member_id = "a"
    await run_until(clock, holders, lambda: len(notes) >= len(names), 5.0)
    for runner in contenders:
        await runner.step()
    platform.calls.clear()
    for _ in range(80):
        clock.now_s += 0.25
        for runner in holders:
            await runner.step()
        for runner in contenders:
            await runner.step()
    assert platform.calls["read", "leases"] == 0
    assert platform.calls["scan", "leases"] <= 20 / (0.8 * LeaseBounds().poll_s)
    assert all(not runner.tracker.is_own for runner in contenders)


async def test_a_round_of_slow_calls_reads_its_lease_again_and_continues():
    clock, platform, notes = ManualClock(), CountedPlatform(), []
    runner = make_runner("a", clock, platform, notes)
    pause_s = 1.2 * runner.bounds.freeze_s
    runner.duty.before_commit = lambda: setattr(clock, "now_s", clock.now_s + pause_s)
    await run_until(clock, [runner], lambda: len(notes) > 3, TAKEOVER_LIMIT_S)


async def test_a_round_stops_when_another_took_the_lease_in_a_pause():
    clock, platform, notes = ManualClock(), CountedPlatform(), []
    runner = make_runner("a", clock, platform, notes)
    await run_until(clock, [runner], lambda: notes, 5.0)
    notes.clear()

    def lose_the_lease():
        row = platform.inner.tables["leases"]["waves"]
        stolen = {"holder": "b", "token": 2, "renewals": 0}
        platform.inner.tables["leases"]["waves"] = attrs.evolve(row, value=stolen)
        clock.now_s += 1.2 * runner.bounds.freeze_s

    runner.duty.before_commit = lose_the_lease
    clock.now_s += 1.0
    await runner.step()
    assert notes == []


async def test_a_write_under_an_old_token_changes_nothing():
    clock, platform, notes = ManualClock(), CountedPlatform(), []
    old = make_runner("a", clock, platform, notes)
    new = make_runner("b", clock, platform, notes)
    await run_until(clock, [old], lambda: notes, 5.0)

    async def take_over_unnoticed():
        kept_s = clock.now_s
        await run_until(clock, [new], lambda: notes[-1][1] == "b", TAKEOVER_LIMIT_S)
        clock.now_s = kept_s

    await take_over_unnoticed()
    platform.inner.tables["notes"].clear()
    await old.step()
    assert not platform.inner.tables["notes"]
    assert not old.tracker.is_own or not old.tracker.may_act(clock.now_s)


@pytest.mark.parametrize("takes_effect", [True, False])
async def test_a_lost_response_is_resolved_by_reading_the_lease(takes_effect):
    clock, platform, notes = ManualClock(), CountedPlatform(), []
    runner = make_runner("a", clock, platform, notes)
    real_transact = platform.inner.transact
    lost = []

    async def lossy(transaction):
        if not lost:
            lost.append(transaction)
            if takes_effect:
                await real_transact(transaction)
            raise OutcomeUnknown("no answer")
        return await real_transact(transaction)

    platform.on_transact = lossy
    await run_until(clock, [runner], lambda: notes, 5.0)
    row = (await platform.read("leases", "waves")).value
    assert lost
    assert (row["holder"], row["token"]) == ("a", 1)


async def test_nothing_is_done_while_the_platform_is_out():
    clock, platform, notes = ManualClock(), CountedPlatform(), []
    runner = make_runner("a", clock, platform, notes)
    await run_until(clock, [runner], lambda: notes, 5.0)
    platform.error = PlatformUnavailable("down")
    count = len(notes)
    for _ in range(60 * 60 * 4):
        clock.now_s += 0.25
        await runner.step()
    assert len(notes) <= count + runner.bounds.renewal_s / 0.25
    platform.error = None
    again = len(notes)
    await run_until(clock, [runner], lambda: len(notes) > again, TAKEOVER_LIMIT_S)


async def test_a_planned_stop_releases_the_duty_at_once():
    clock, platform, notes = ManualClock(), CountedPlatform(), []
    old = make_runner("a", clock, platform, notes)
    new = make_runner("b", clock, platform, notes)
    await run_until(clock, [old], lambda: notes, 5.0)
    await old.release()
    waited_s = await run_until(clock, [new], lambda: notes[-1][1] == "b", 15.0)
    assert waited_s <= 3.0


# Guards against a successor that waits for the lease to lapse after a planned stop.
@pytest.mark.parametrize("held_before", [False, True])
async def test_a_stop_during_a_write_of_the_lease_releases_the_duty(held_before):
    clock, platform, notes = ManualClock(), CountedPlatform(), []
    runner = make_runner("a", clock, platform, notes)
    if held_before:
        await run_until(clock, [runner], lambda: notes, 5.0)
    stop = trio.CancelScope()

    async def write_without_answer(transaction):
        platform.on_transact = None
        await platform.inner.transact(transaction)
        stop.cancel()
        await trio.sleep_forever()

    with stop:
        while True:
            if runner.tracker.is_own is held_before:
                platform.on_transact = write_without_answer
            clock.now_s += 0.25
            await runner.maintain_lease()
    assert (await platform.read("leases", "waves")).value["holder"] == "a"
    await runner.release()
    assert (await platform.read("leases", "waves")).value["holder"] == ""


async def test_a_duty_moves_to_the_preferred_instance_once_it_is_back():
    clock, platform, notes = ManualClock(), CountedPlatform(), []
    runners = [make_runner(name, clock, platform, notes) for name in ("a", "b")]
    bounds = LeaseBounds()
    rank_by_id = {name: preference_rank("waves", name, ("a", "b")) for name in "ab"}
    by_preference = sorted(runners, key=lambda runner: rank_by_id[runner.instance_id])
    await run_until(clock, [by_preference[1]], lambda: notes, 10.0)
    await run_until(
        clock,
        by_preference,
        lambda: notes[-1][1] == by_preference[0].instance_id,
        bounds.settle_s + 5.0,
    )
