"""Commands to a backend server: what an answer proves, and what it does not."""

import attrs
import pytest
import trio
from trio.testing import MockClock

from rhubarbmount.batch import clocks
from rhubarbmount.batch.election import ShardLease, longest_lease
from rhubarbmount.batch.metrics import BatchMetrics
from rhubarbmount.batch.model import Server, StopReason, Task, TaskId
from rhubarbmount.batch.server_commands import (
    CommandListener,
    CommandSender,
    StartRequest,
    StopRequest,
)
from rhubarbmount.batch.server_lease import ServerLease
from rhubarbmount.errors import OutcomeUnknown, PlatformUnavailable
from rhubarbmount.platform.backend import CommandResponse, CommandResult

SERVER = Server("s", "one", "s:1", "a", False, 1, 1, 0, frozenset(), "r", 1)
TASK = TaskId("j", 0, 0, 0)
UNANSWERED = OutcomeUnknown("no answer")
NOT_SENT = PlatformUnavailable("refused")
REASON = StopReason.JOB_CANCELLED


@pytest.fixture
def autojump_clock():
    return MockClock(rate=0.0, autojump_threshold=0.0)


@attrs.define
class ScriptedBackend:
    """A backend server that answers starts in turn, and every stop."""

    answers: list[CommandResult | Exception]
    calls: list[str] = attrs.field(factory=list)

    async def start(self, server, command):
        self.calls.append("start")
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return CommandResponse(answer, 1000)

    async def stop(self, server, task, run, fencing_token):
        self.calls.append("stop")
        return CommandResponse(CommandResult.DONE, 1000)


@attrs.define
class RecordingListener(CommandListener):
    calls: list[str] = attrs.field(factory=list)

    def on_not_started(self, server_id, request, result):
        self.calls.append(f"not started: {result.value}")

    def on_stopped(self, server_id, request):
        self.calls.append("stopped")


async def start(monkeypatch, *answers, backend_class=ScriptedBackend):
    """Send a start that is answered so; return the calls and what was heard."""
    monkeypatch.setattr(clocks.source, "monotonic_s", trio.current_time)
    backend = backend_class(list(answers))
    listener = RecordingListener()
    now_s = trio.current_time()
    lease = ServerLease(ShardLease(1, now_s), 10.0, longest_lease(now_s, 10.0))
    lease.clock.note(1000, trio.current_time())
    lease.record_response()
    sender = CommandSender(
        SERVER, backend, lease, listener, BatchMetrics(), on_failure=lambda code: None
    )
    task = Task(TASK, run=1, server_id="s")
    sender.send(StartRequest(task, 1, "payload", ""))
    with trio.move_on_after(5.0):
        await sender.run()
    return backend.calls, listener.calls, task


# Guards against a second run while a late start command of the first is under way.
@pytest.mark.parametrize(
    "refusal",
    [CommandResult.NOT_DONE, CommandResult.NO_ROOM, CommandResult.NO_TICKET],
)
async def test_a_refusal_after_an_unanswered_start_bars_the_run(
    monkeypatch, autojump_clock, refusal
):
    calls, heard, task = await start(monkeypatch, UNANSWERED, refusal)
    assert calls == ["start", "start", "stop"]
    assert heard == ["stopped"]
    assert task.is_stopping


async def test_a_refusal_of_the_only_start_frees_the_task(monkeypatch, autojump_clock):
    calls, heard, task = await start(monkeypatch, CommandResult.NO_ROOM)
    assert calls == ["start"]
    assert heard == ["not started: no-room"]
    assert not task.is_stopping


async def test_starts_that_were_never_sent_free_the_task(monkeypatch, autojump_clock):
    calls, heard, _ = await start(monkeypatch, *[NOT_SENT] * 4)
    assert calls == ["start"] * 4
    assert heard == ["not started: not-sent"]


async def test_starts_without_any_answer_bar_the_run(monkeypatch, autojump_clock):
    calls, heard, _ = await start(monkeypatch, *[UNANSWERED] * 4)
    assert calls == ["start"] * 4 + ["stop"]
    assert heard == ["stopped"]


# Guards against a loss of a server that has refused the start of a run.
@pytest.mark.parametrize(
    "refusals",
    [
        [CommandResult.OTHER_LIFETIME],
        [CommandResult.NO_ROOM],
        [CommandResult.NO_TICKET],
        [CommandResult.NOT_DONE],
        [CommandResult.EXPIRED] * 4,
        [NOT_SENT, CommandResult.EXPIRED, CommandResult.OTHER_LIFETIME],
    ],
)
async def test_a_refused_start_leaves_no_trace_of_a_run(
    monkeypatch, autojump_clock, refusals
):
    await trio.sleep(1.0)
    _, _, task = await start(monkeypatch, *refusals)
    assert task.sent_s == 0.0


# Guards against a crash that is not counted as the next lifetime answers a repetition.
@pytest.mark.parametrize(
    "answers",
    [
        [UNANSWERED, CommandResult.OTHER_LIFETIME],
        [UNANSWERED, NOT_SENT, CommandResult.EXPIRED, CommandResult.OTHER_LIFETIME],
        [CommandResult.DONE],
        [CommandResult.ENDED_BEFORE],
    ],
)
async def test_a_start_that_may_have_been_carried_out_leaves_its_time(
    monkeypatch, autojump_clock, answers
):
    await trio.sleep(1.0)
    _, _, task = await start(monkeypatch, *answers)
    assert task.sent_s == 1.0


@attrs.define
class HangingBackend(ScriptedBackend):
    """A backend server that does not answer starts in the time of the test."""

    async def start(self, server, command):
        await trio.sleep_forever()


# Guards against a loss by a start under way while another call hears of the next
# lifetime, as several starts are sent at once.
async def test_a_start_under_way_leaves_no_trace_of_a_run(monkeypatch, autojump_clock):
    await trio.sleep(1.0)
    _, _, task = await start(monkeypatch, backend_class=HangingBackend)
    assert task.sent_s == 0.0


# Guards against a run that ends in stopped, and a log that does not tell why.
async def test_the_log_tells_why_a_run_is_stopped(monkeypatch, autojump_clock, caplog):
    caplog.set_level("INFO")
    await start(monkeypatch, *[UNANSWERED] * 4)
    stops = [text for text in caplog.messages if "event=stop " in text]
    assert len(stops) == 1
    assert "reason=unanswered" in stops[0]


@attrs.define
class ReleasingBackend(ScriptedBackend):
    """A backend server whose task goes to another one while the last try is open."""

    task: Task | None = None

    async def start(self, server, command):
        if len(self.answers) == 1:
            self.task.run, self.task.server_id = 2, "other"
        return await super().start(server, command)


async def start_while_task_is_released(monkeypatch, *answers):
    monkeypatch.setattr(clocks.source, "monotonic_s", trio.current_time)
    await trio.sleep(1.0)
    task = Task(TASK, run=1, server_id="s")
    backend = ReleasingBackend(list(answers), task=task)
    now_s = trio.current_time()
    lease = ServerLease(ShardLease(1, now_s), 10.0, longest_lease(now_s, 10.0))
    lease.clock.note(1000, trio.current_time())
    lease.record_response()
    sender = CommandSender(
        SERVER, backend, lease, RecordingListener(), BatchMetrics(), lambda code: None
    )
    sender.send(StartRequest(task, 1, "payload", ""))
    with trio.move_on_after(5.0):
        await sender.run()
    return backend.calls, task


# Guards against a task that is assigned to a server for ever without being started
# there: its earlier run, unanswered elsewhere, marks it as being stopped.
async def test_barring_a_run_does_not_stop_the_next_run_of_its_task(
    monkeypatch, autojump_clock
):
    calls, task = await start_while_task_is_released(monkeypatch, *[UNANSWERED] * 4)
    assert calls == ["start"] * 4 + ["stop"]
    assert not task.is_stopping


# Guards against a task that is taken for gone from a server where it is just started.
async def test_a_late_answer_does_not_acknowledge_the_next_run_of_the_task(
    monkeypatch, autojump_clock
):
    _, task = await start_while_task_is_released(monkeypatch, CommandResult.DONE)
    assert task.acknowledged_s == 0.0


@attrs.define
class SheddingBackend(ScriptedBackend):
    """A backend server that refuses every stop, as when it sheds load."""

    async def stop(self, server, task, run, fencing_token):
        self.calls.append("stop")
        return CommandResponse(CommandResult.NOT_DONE, 1000)


# Guards against a task that is assigned to a server and never started there, as stops
# that the server refuses again and again go before its start.
async def test_stops_that_are_refused_hold_up_no_start(monkeypatch, autojump_clock):
    monkeypatch.setattr(clocks.source, "monotonic_s", trio.current_time)
    backend = SheddingBackend([CommandResult.DONE])
    lease = ServerLease(
        ShardLease(1, trio.current_time()),
        10.0,
        longest_lease(trio.current_time(), 10.0),
    )
    lease.clock.note(1000, trio.current_time())
    lease.record_response()
    sender = CommandSender(
        SERVER, backend, lease, RecordingListener(), BatchMetrics(), lambda code: None
    )
    for number in range(8):
        sender.send(StopRequest(TaskId("old", 0, 0, number), 1, REASON))
    sender.send(StartRequest(Task(TASK, run=1, server_id="s"), 1, "payload", ""))
    with trio.move_on_after(2.0):
        await sender.run()
    assert backend.calls.count("start") == 1
    assert backend.calls.count("stop") > 8
