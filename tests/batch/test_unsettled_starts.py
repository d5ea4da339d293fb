"""Starts whose outcome is not certain for one lifetime of a backend server."""

import attrs
import pytest
import trio
from trio.testing import MockClock

from rhubarbmount.batch import clocks
from rhubarbmount.batch.election import ShardLease, longest_lease
from rhubarbmount.batch.metrics import BatchMetrics
from rhubarbmount.batch.model import Server, Task, TaskId
from rhubarbmount.batch.server_commands import (
    RETRY_S,
    CommandListener,
    CommandSender,
    StartRequest,
)
from rhubarbmount.batch.server_lease import ServerLease
from rhubarbmount.batch.unsettled_starts import (
    MAX_AGE_S,
    MAX_STARTS,
    UnsettledStart,
    UnsettledStarts,
)
from rhubarbmount.errors import OutcomeUnknown, PlatformUnavailable
from rhubarbmount.platform.backend import CommandResponse, CommandResult
from tests.batch.test_server_lifetimes import SETTLE_S, open_scene

EARLIER, LATER = "s@1000", "s@2000"
SERVER = Server(EARLIER, "one", "s:1", "a", False, 1, 1, 0, frozenset(), "r", 1)
TASK = TaskId("j", 0, 0, 0)
UNANSWERED = OutcomeUnknown("no answer")
NOT_SENT = PlatformUnavailable("refused")
HANGS = "hangs"


@pytest.fixture
def autojump_clock():
    return MockClock(rate=0.0, autojump_threshold=0.0)


@pytest.fixture(autouse=True)
def simulated_time(monkeypatch):
    monkeypatch.setattr(clocks.source, "monotonic_s", trio.current_time)


@attrs.define
class ScriptedBackend:
    """A backend server that answers starts and stops in turn; by default as done."""

    starts: list[CommandResult | Exception | str] = attrs.field(factory=list)
    stops: list[CommandResult | Exception | str] = attrs.field(factory=list)
    calls: list[tuple[str, TaskId, int]] = attrs.field(factory=list)

    async def start(self, server, command):
        self.calls.append(("start", command.task, command.run))
        return await self._answer(self.starts)

    async def stop(self, server, task, run, fencing_token):
        self.calls.append(("stop", task, run))
        return await self._answer(self.stops)

    async def _answer(self, answers):
        answer = answers.pop(0) if answers else CommandResult.DONE
        if answer == HANGS:
            await trio.sleep_forever()
        if isinstance(answer, Exception):
            raise answer
        return CommandResponse(answer, 1000)


def make_lease():
    now_s = trio.current_time()
    lease = ServerLease(ShardLease(1, now_s), 10.0, longest_lease(now_s, 10.0))
    lease.clock.note(1000, now_s)
    lease.record_response()
    return lease


def make_sender(backend, server=SERVER):
    return CommandSender(
        server, backend, make_lease(), CommandListener(), BatchMetrics(), lambda _: None
    )


async def run_sender(sender, run_s=5.0):
    with trio.move_on_after(run_s):
        await sender.run()


async def start(*answers, run=1):
    """Send a start that is answered so; return the sender."""
    sender = make_sender(ScriptedBackend(list(answers)))
    task = Task(TASK, run=run, server_id=EARLIER)
    sender.send(StartRequest(task, run, "payload", ""))
    await run_sender(sender)
    return sender


def unsettled(sender):
    return [(item.task, item.run, item.is_answered) for item in sender.unsettled_starts]


# Guards against TWICE: a start whose first try was lost, answered when repeated, which
# the server carries out again after it has started anew and forgotten the run.
async def test_an_unanswered_try_stays_unsettled_after_an_answered_one(autojump_clock):
    assert unsettled(await start(UNANSWERED, CommandResult.DONE)) == [(TASK, 1, False)]


# Guards against TWICE: the bar holds for the lifetime that answered it only.
async def test_a_barred_run_stays_unsettled_for_later_lifetimes(autojump_clock):
    sender = await start(UNANSWERED, CommandResult.NOT_DONE)
    assert ("stop", TASK, 1) in sender.client.calls
    assert unsettled(sender) == [(TASK, 1, False)]


# Guards against TWICE: a start that was under way when the session was closed.
async def test_a_start_that_is_cancelled_under_way_is_unsettled(autojump_clock):
    assert unsettled(await start(HANGS)) == [(TASK, 1, False)]


async def test_starts_that_are_refused_or_not_sent_are_settled(autojump_clock):
    assert unsettled(await start(CommandResult.NO_ROOM)) == []
    assert unsettled(await start(*[NOT_SENT] * 4)) == []


# Guards against TWICE: the later lifetime answered the start of a run that its first
# list, which was made before, lacks.
async def test_an_answered_start_is_settled_by_a_renewal_sent_later(autojump_clock):
    sender = await start(CommandResult.DONE)
    assert unsettled(sender) == [(TASK, 1, True)]
    sender.settle_answered(before_s=0.0)
    assert unsettled(sender) == [(TASK, 1, True)]
    sender.settle_answered(before_s=trio.current_time())
    assert unsettled(sender) == []


async def test_a_renewal_settles_no_start_without_an_answer(autojump_clock):
    sender = await start(UNANSWERED, CommandResult.DONE)
    sender.settle_answered(before_s=trio.current_time())
    assert unsettled(sender) == [(TASK, 1, False)]


# Guards against TWICE: a run that a later lifetime starts late, beside a newer run.
async def test_a_later_lifetime_is_told_to_stop_what_it_may_start_late(autojump_clock):
    earlier = await start(UNANSWERED, CommandResult.DONE)
    later = make_sender(ScriptedBackend(), attrs.evolve(SERVER, id=LATER))
    later.bar(earlier.unsettled_starts)
    await run_sender(later)
    assert later.client.calls == [("stop", TASK, 1)]


# Guards against TWICE: a server that starts anew once more before the call arrives.
async def test_starts_of_an_earlier_lifetime_are_barred_on_each_later_one(
    autojump_clock,
):
    earlier = await start(UNANSWERED, CommandResult.DONE)
    later = make_sender(ScriptedBackend(), attrs.evolve(SERVER, id=LATER))
    later.bar(earlier.unsettled_starts)
    await run_sender(later, run_s=0.5)
    assert unsettled(later) == [(TASK, 1, False)]
    assert later.unsettled_starts[0].sent_s == earlier.unsettled_starts[0].sent_s
    await trio.sleep(MAX_AGE_S)
    assert unsettled(later) == []


# Guards against a run that goes on being stopped on the lifetime which it began on.
async def test_an_answered_start_is_not_barred(autojump_clock):
    earlier = await start(CommandResult.DONE)
    later = make_sender(ScriptedBackend(), attrs.evolve(SERVER, id=LATER))
    later.bar(earlier.unsettled_starts)
    await run_sender(later)
    assert later.client.calls == []
    assert unsettled(later) == []


# Guards against a run that is stopped on the lifetime which has it, and against its
# start on the lifetime after that one.
async def test_a_listed_run_is_not_barred_before_the_lifetime_after(autojump_clock):
    earlier = await start(UNANSWERED, CommandResult.DONE)
    later = make_sender(ScriptedBackend(), attrs.evolve(SERVER, id=LATER))
    later.bar(earlier.unsettled_starts, listed={(TASK, 1)})
    await run_sender(later)
    assert later.client.calls == []
    assert unsettled(later) == [(TASK, 1, False)]


async def test_a_start_that_can_not_arrive_any_more_is_not_barred(autojump_clock):
    late = UnsettledStart(TASK, 1, trio.current_time())
    later = make_sender(ScriptedBackend())
    await trio.sleep(MAX_AGE_S + 1.0)
    later.bar([late])
    await run_sender(later)
    assert later.client.calls == []


# Guards against TWICE: a bar that is given up as nothing was granted, while the start
# that it is for still has to arrive.
async def test_a_bar_is_repeated_after_all_leases_have_lapsed(autojump_clock):
    earlier = await start(UNANSWERED, CommandResult.DONE)
    later = make_sender(
        ScriptedBackend(stops=[UNANSWERED] * 2), attrs.evolve(SERVER, id=LATER)
    )
    later.lease.has_lapsed = True
    later.bar(earlier.unsettled_starts)
    await run_sender(later)
    assert later.client.calls == [("stop", TASK, 1)] * 3


async def test_a_bar_ends_when_the_start_can_not_arrive_any_more(autojump_clock):
    late = UnsettledStart(TASK, 1, trio.current_time())
    later = make_sender(ScriptedBackend(stops=[UNANSWERED] * 1000))
    later.lease.has_lapsed = True
    later.bar([late])
    await run_sender(later, 2 * MAX_AGE_S)
    assert len(later.client.calls) == pytest.approx(MAX_AGE_S / RETRY_S, abs=1)


def test_old_starts_are_forgotten():
    starts = UnsettledStarts()
    starts.note(TASK, 1, 100.0)
    starts.note_answer(starts.note(TASK, 2, 100.0), 100.1)
    starts.note(TASK, 3, 101.0)
    assert [item.run for item in starts.find_all(100.5 + MAX_AGE_S)] == [3]
    assert starts.trim(100.5 + MAX_AGE_S) == 0
    assert [item.run for item in starts.find_all(101.0)] == [3]
    assert starts.find_all(101.5 + MAX_AGE_S) == []


# Guards against memory that grows with the starts, and against their silent loss.
def test_the_oldest_starts_beyond_the_limit_are_dropped_and_counted():
    starts = UnsettledStarts()
    for run in range(MAX_STARTS + 3):
        starts.note(TASK, run, 100.0)
    assert starts.trim(100.0) == 3
    assert [item.run for item in starts.find_all(100.0)][0] == 3
    assert starts.trim(100.0) == 0


async def test_dropped_starts_are_logged(autojump_clock, caplog):
    sender = make_sender(ScriptedBackend([CommandResult.DONE]))
    for run in range(MAX_STARTS):
        sender._unsettled.note(TASK, run, trio.current_time())
    sender.send(StartRequest(Task(TASK, run=1, server_id=EARLIER), 1, "payload", ""))
    await run_sender(sender)
    assert "unsettled-starts-dropped" in caplog.text


def test_an_open_try_counts_more_than_an_answered_one():
    starts = UnsettledStarts()
    answered = starts.note(TASK, 1, 100.0)
    starts.note(TASK, 1, 100.5)
    starts.note_answer(answered, 101.0)
    assert starts.find_all(101.0) == [UnsettledStart(TASK, 1, 100.5)]


async def start_in(scene, *answers, task=None):
    """Have the session with a lifetime send a start that is answered so."""
    session = scene.sessions.find("s@1")
    session._command_sender.client = ScriptedBackend(list(answers))
    task = task or Task(TASK, run=1, server_id="s@1")
    session.send(StartRequest(task, 1, "payload", ""))
    await trio.sleep(0.01)
    return session


# Guards against memory and bars for starts that are known to have been carried out.
async def test_a_session_settles_the_answered_starts(monkeypatch, autojump_clock):
    async with open_scene(monkeypatch) as scene:
        session = await start_in(scene, CommandResult.DONE)
        assert unsettled(session) == [(TASK, 1, True)]
        await trio.sleep(SETTLE_S)
        assert unsettled(session) == []


# Guards against TWICE: a task that was done elsewhere, or that runs there, starts late.
async def test_the_session_with_a_later_lifetime_bars_the_earlier_starts(
    monkeypatch, autojump_clock
):
    async with open_scene(monkeypatch) as scene:
        await start_in(scene, UNANSWERED, CommandResult.DONE)
        scene.client.restart()
        await trio.sleep(SETTLE_S)
        assert ("s@2", TASK, 1) in scene.client.stopped
        scene.client.restart(born_ms=3)
        scene.open("s@3")
        await trio.sleep(SETTLE_S)
        assert ("s@3", TASK, 1) in scene.client.stopped


# Guards against TWICE: the row of the earlier lifetime goes and its session is closed
# some time before the later lifetime is seen.
async def test_starts_of_a_closed_session_are_barred_at_the_next_lifetime(
    monkeypatch, autojump_clock
):
    async with open_scene(monkeypatch) as scene:
        await start_in(scene, UNANSWERED, CommandResult.DONE)
        scene.sessions.handle_server_end("s@1", "lapsed", is_over=False)
        scene.sessions.close_lost()
        scene.client.restart()
        await trio.sleep(MAX_AGE_S / 2)
        scene.open("s@2")
        lease = scene.sessions.find("s@2").lease
        assert lease.lapses_at_s() >= trio.current_time() + lease.max_lease_s
        await trio.sleep(SETTLE_S)
        assert ("s@2", TASK, 1) in scene.client.stopped


# Guards against TWICE: the later lifetime has a session and has not answered yet when
# the leases of the earlier one lapse.
async def test_starts_of_a_closed_session_are_barred_at_a_known_lifetime(
    monkeypatch, autojump_clock
):
    async with open_scene(monkeypatch) as scene:
        await start_in(scene, UNANSWERED, CommandResult.DONE)
        scene.client.is_silent = True
        scene.open("s@2")
        scene.sessions.handle_server_end("s@1", "lapsed", is_over=False)
        scene.sessions.close_lost()
        scene.client.is_silent = False
        scene.client.restart()
        await trio.sleep(SETTLE_S)
        assert ("s@2", TASK, 1) in scene.client.stopped


# Guards against a run that the later lifetime has and goes on with, and that is stopped
# as the session with the earlier one is closed.
async def test_a_run_that_goes_on_is_not_barred_later(monkeypatch, autojump_clock):
    async with open_scene(monkeypatch) as scene:
        task = scene.tasks[0]
        await start_in(scene, UNANSWERED, CommandResult.DONE, task=task)
        scene.client.restart()
        scene.client.running = [(task.id, 1)]
        await trio.sleep(SETTLE_S)
        assert task.server_id == "s@2"
        scene.sessions.close_lost()
        assert scene.sessions.find("s@1") is None
        await trio.sleep(SETTLE_S)
        assert scene.client.stopped == []


async def test_starts_of_closed_sessions_are_forgotten(monkeypatch, autojump_clock):
    async with open_scene(monkeypatch) as scene:
        await start_in(scene, UNANSWERED, CommandResult.DONE)
        scene.sessions.handle_server_end("s@1", "lapsed", is_over=False)
        scene.sessions.close_lost()
        scene.client.restart()
        await trio.sleep(MAX_AGE_S + 1.0)
        scene.open("t@2")
        scene.sessions.handle_server_end("t@2", "lapsed", is_over=False)
        scene.sessions.close_lost()
        assert scene.sessions._unsettled_by_name == {}
