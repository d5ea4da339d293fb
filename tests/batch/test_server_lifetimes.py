"""A backend server that starts again under its name, and its lists of runs.

The server of these tests knows nothing of before once it has started again, numbers its
ends from 1 and answers whatever is meant for its name.
"""

import logging
from contextlib import asynccontextmanager

import attrs
import pytest
import trio
from trio.testing import MockClock

from rhubarbmount.batch import clocks
from rhubarbmount.batch.catalogue import Catalogue, Pool
from rhubarbmount.batch.earlier_grants import EarlierGrants
from rhubarbmount.batch.election import ShardLease, longest_lease
from rhubarbmount.batch.lateness import Lateness
from rhubarbmount.batch.metrics import BatchMetrics
from rhubarbmount.batch.model import (
    Job,
    JobSpec,
    Queue,
    QueueName,
    RunEnd,
    RunReport,
    Server,
    Step,
    StopReason,
    Task,
    TaskId,
    TaskState,
)
from rhubarbmount.batch.placing import Placer
from rhubarbmount.batch.server_commands import StopRequest
from rhubarbmount.batch.server_lifetimes import RunFate, ServerLifetimes, fate_of
from rhubarbmount.batch.server_rows import ServerRows
from rhubarbmount.batch.server_sessions import ServerSessions
from rhubarbmount.batch.shard import Shard
from rhubarbmount.batch.silent_servers import SilentServers
from rhubarbmount.errors import OutcomeUnknown
from rhubarbmount.platform.backend import (
    CommandResponse,
    CommandResult,
    RenewalResponse,
)

NAME = QueueName("a.example", "/q/")
QUEUE = Queue(NAME, "one", 0, 2, 1.6, 0.6)
CATALOGUE = Catalogue(1, {NAME: QUEUE}, {"one": Pool("one", False)})
JOB_ID = "a1"
TASK_COUNT = 3
MAX_LEASE_S = 10.0
# Until a session has heard of a restart and the next one has read the lists.
SETTLE_S = 3.0


def server(server_id, **fields):
    values = {
        "service": "one",
        "address": "s:1",
        "data_centre": "a",
        "is_draining": False,
        "cpu_millicores": 4000,
        "memory_mb": 8000,
        "gpu": 0,
        "labels": frozenset({"a", "r1"}),
        "rack": "r1",
        "version": 1,
        **fields,
    }
    return Server(id=server_id, **values)


@attrs.define
class RebornServer:
    """Backend client for one server, which counts what it forgets unread."""

    born_ms: int = 1
    running: list[tuple[TaskId, int]] = attrs.field(factory=list)
    ended: list[RunEnd] = attrs.field(factory=list)
    is_silent: bool = False
    listed_to: int = 0
    forgotten_unread: list[RunEnd] = attrs.field(factory=list)
    # The lifetime that each renewal and stop was meant for.
    renewed: list[str] = attrs.field(factory=list)
    stopped: list[tuple[str, TaskId, int]] = attrs.field(factory=list)
    acknowledged: list[int] = attrs.field(factory=list)

    def restart(self, born_ms=2):
        self.born_ms = born_ms
        self.running, self.ended, self.listed_to = [], [], 0

    def end(self, task_id, run, outcome="done"):
        self.running = [key for key in self.running if key != (task_id, run)]
        number = 1 + max((end.number for end in self.ended), default=0)
        self.ended.append(RunEnd(number, task_id, run, outcome, ""))

    async def forget(self, address):
        """Have no connections to close."""

    async def renew(self, meant, fencing_token, acknowledged, expires_ms, wait_s):
        self.renewed.append(meant.id)
        await trio.sleep(0.01)
        if self.is_silent:
            raise OutcomeUnknown("no answer", code="timeout")
        self._acknowledge(acknowledged)
        if not self.ended:
            await trio.sleep(wait_s)
        if self.is_silent:
            raise OutcomeUnknown("no answer", code="timeout")
        self.listed_to = max([self.listed_to, *(end.number for end in self.ended)])
        return RenewalResponse(
            CommandResult.DONE,
            int(trio.current_time() * 1000) + 1,
            tuple(
                RunReport(task, run, "", int(trio.current_time() - 100.0), 0.0)
                for task, run in self.running
            ),
            tuple(self.ended),
            self.born_ms,
        )

    def _acknowledge(self, number):
        self.acknowledged.append(number)
        self.forgotten_unread += [
            end for end in self.ended if self.listed_to < end.number <= number
        ]
        self.ended = [end for end in self.ended if end.number > number]

    async def stop(self, meant, task, run, fencing_token):
        self.stopped.append((meant.id, task, run))
        return CommandResponse(CommandResult.DONE, 0)


@attrs.define
class Scene:
    """A holder's sessions with one server, and a job with some tasks there."""

    shard: Shard
    sessions: ServerSessions
    rows: ServerRows
    client: RebornServer

    def open(self, server_id, **fields):
        usage = self.shard.put_server(server(server_id, **fields), trio.current_time())
        self.sessions.open(usage)
        return usage

    def begin_tasks(self, usage):
        """Assign all tasks and let the server run them."""
        step = Step(TASK_COUNT, 500, 500, estimate_s=100.0)
        self.shard.add_job(Job(JobSpec(JOB_ID, NAME, "one", "payload", (step,), 0.0)))
        now_s = trio.current_time()
        for task in self.tasks:
            self.shard.assign(task, usage, now_s)
            task.sent_s = task.acknowledged_s = now_s
            self.client.running.append((task.id, task.run))

    @property
    def tasks(self):
        return self.shard.job_by_id[JOB_ID].tasks_by_step[0, 0]

    def commit(self):
        """Let all that was listed be acknowledged, and send the stops."""
        for session in self.sessions:
            session.committed = session.listed_to
            session.wake()
        stops, self.shard.stops = self.shard.stops, []
        for stop in stops:
            session = self.sessions.find(stop.server_id)
            session.send(StopRequest(stop.task, stop.run, stop.reason))


@asynccontextmanager
async def open_scene(monkeypatch):
    """Run a server of which some ends are acknowledged, and which has three runs."""
    monkeypatch.setattr(clocks.source, "monotonic_s", trio.current_time)
    await trio.sleep(100.0)
    now_s = trio.current_time()
    metrics, lease = BatchMetrics(), ShardLease(2, now_s)
    lease.grants_lapse_by_s = now_s + 1000.0
    silent = SilentServers(*[trio.current_time] * 2)
    shard, client = Shard(CATALOGUE), RebornServer()

    async def save_silent():
        await trio.lowlevel.checkpoint()

    async with trio.open_nursery() as nursery:
        sessions = ServerSessions(
            shard=shard,
            client=client,
            shard_lease=lease,
            max_lease_s=MAX_LEASE_S,
            earlier_grants=EarlierGrants(longest_lease(now_s, MAX_LEASE_S), silent),
            metrics=metrics,
            lateness=Lateness(metrics),
            tickets=None,
            nursery=nursery,
            wake=lambda: None,
            want_host_list=lambda: None,
            silent=silent,
            save_silent=save_silent,
        )
        nursery.start_soon(sessions.keep_record)
        scene = Scene(shard, sessions, ServerRows(shard, sessions, 5.0, 5.0), client)
        usage = scene.open("s@1")
        scene.begin_tasks(usage)
        for number in range(5):
            client.ended.append(RunEnd(number + 1, TaskId("b", 0, 0, 0), 1, "done", ""))
        for _ in range(3):
            await trio.sleep(0.5)
            scene.commit()
        await trio.sleep(1.5)
        assert sessions.find("s@1").acknowledged == 5
        yield scene
        nursery.cancel_scope.cancel()


async def wait_until(is_met):
    with trio.fail_after(SETTLE_S):
        while not is_met():
            await trio.sleep(0.01)


@pytest.fixture
def autojump_clock():
    return MockClock(rate=0.0, autojump_threshold=0.0)


# Guards against TWICE: ends of a later lifetime that are acknowledged with the numbers
# of the earlier one are forgotten unread, and their runs taken for vanished.
async def test_ends_of_a_later_lifetime_are_read_before_they_are_acknowledged(
    monkeypatch, autojump_clock
):
    async with open_scene(monkeypatch) as scene:
        scene.client.restart()
        for task in scene.tasks:
            scene.client.end(task.id, task.run)
        await trio.sleep(SETTLE_S)
        assert scene.client.forgotten_unread == []
        assert [task.state for task in scene.tasks] == [TaskState.DONE] * TASK_COUNT
        scene.commit()
        await trio.sleep(1.0)
        assert scene.client.ended == []


# Guards against an acknowledgement that is repeated to a server that starts again.
async def test_what_is_acknowledged_is_not_acknowledged_again(
    monkeypatch, autojump_clock
):
    async with open_scene(monkeypatch) as scene:
        assert scene.client.acknowledged.count(5) == 1
        assert scene.client.acknowledged[-1] == 0


# Guards against the list of one lifetime being used for another: runs of the earlier
# one count as vanished, and the server as regained.
async def test_a_list_of_another_lifetime_is_not_used_for_the_earlier_one(
    monkeypatch, autojump_clock, caplog
):
    caplog.set_level(logging.INFO)
    async with open_scene(monkeypatch) as scene:
        scene.client.restart()
        await trio.sleep(SETTLE_S)
        assert scene.sessions.has_ended("s@1")
        assert [task.state for task in scene.tasks] == [TaskState.WAITING] * TASK_COUNT
        assert "event=run-vanished" not in caplog.text
        assert "event=lifetime-began server=s@2 earlier=s@1" in caplog.text
        assert "server=s@1 reason=other-lifetime by=s@2" in caplog.text
        at_most = len(scene.client.renewed)
        scene.sessions.find("s@1").check()
        scene.sessions.find("s@1").send(
            StopRequest(scene.tasks[0].id, 1, StopReason.WAVE)
        )
        await trio.sleep(SETTLE_S)
        assert scene.client.renewed[at_most:].count("s@1") == 0
        assert scene.client.stopped == []


# Guards against TWICE: a start meant for the earlier lifetime was carried out by the
# later one, and the task starts again elsewhere beside it.
async def test_a_run_that_the_later_lifetime_has_goes_on_there(
    monkeypatch, autojump_clock
):
    async with open_scene(monkeypatch) as scene:
        task, *lost = scene.tasks
        scene.client.restart()
        scene.client.running = [(task.id, task.run)]
        await trio.sleep(SETTLE_S)
        assert (task.server_id, task.run, task.state) == ("s@2", 1, TaskState.ASSIGNED)
        assert not task.is_stopping
        assert JOB_ID in scene.shard.dirty
        assert [other.state for other in lost] == [TaskState.WAITING] * 2
        assert all(other.losses for other in lost) and not task.losses
        await trio.sleep(SETTLE_S)
        assert scene.client.stopped == []
        scene.client.end(task.id, task.run)
        await trio.sleep(SETTLE_S)
        assert task.state is TaskState.DONE


# Guards against TWICE: a start without an answer is carried out by the later lifetime
# after its first list, when the task has started again elsewhere.
async def test_an_unanswered_start_is_barred_at_the_later_lifetime_first(
    monkeypatch, autojump_clock
):
    async with open_scene(monkeypatch) as scene:
        task = scene.tasks[0]
        task.acknowledged_s = 0.0
        scene.client.restart()
        await wait_until(lambda: task.server_id == "s@2")
        assert task.state is TaskState.ASSIGNED
        assert task.is_stopping
        scene.commit()
        await trio.sleep(0.2)
        assert ("s@2", task.id, 1) in scene.client.stopped
        assert task.state is TaskState.ASSIGNED
        await trio.sleep(SETTLE_S)
        assert task.state is TaskState.WAITING


# Guards against new tasks on a lifetime whose kind and capacity no row has told.
async def test_nothing_starts_on_a_later_lifetime_before_its_row_is_read(
    monkeypatch, autojump_clock
):
    async with open_scene(monkeypatch) as scene:
        scene.client.restart()
        await trio.sleep(SETTLE_S)
        assert Placer(scene.shard).place(trio.current_time()) == []
        scene.open("s@2", cpu_millicores=500)
        placed = Placer(scene.shard).place(trio.current_time())
        assert [item.server_id for item in placed] == ["s@2"]


# Guards against tasks that wait for ever for the list of a lifetime that is lost, too.
@pytest.mark.parametrize("is_restarted", [False, True])
async def test_tasks_restart_if_the_later_lifetime_is_never_listed(
    monkeypatch, autojump_clock, is_restarted
):
    async with open_scene(monkeypatch) as scene:
        scene.client.restart()
        await wait_until(lambda: scene.sessions.find("s@1").is_superseded)
        scene.client.is_silent = True
        await trio.sleep(1.0)
        scene.rows._mark_name_unlisted("s")
        assert [task.server_id for task in scene.tasks] == ["s@1"] * TASK_COUNT
        if is_restarted:
            scene.client.restart(3)
            scene.client.is_silent = False
            await trio.sleep(SETTLE_S)
            assert scene.sessions.has_ended("s@2")
        else:
            # A late call may have granted the longest lease at the later lifetime.
            await trio.sleep(MAX_LEASE_S - SETTLE_S)
            assert [task.server_id for task in scene.tasks] == ["s@1"] * TASK_COUNT
            await trio.sleep(2 * SETTLE_S)
        assert [task.state for task in scene.tasks] == [TaskState.WAITING] * TASK_COUNT


# Guards against an earlier lifetime that goes on taking tasks once a row names a later
# one, and against a row that returns late ending a lifetime that goes on.
async def test_a_row_of_another_lifetime_only_has_the_others_asked(
    monkeypatch, autojump_clock
):
    async with open_scene(monkeypatch) as scene:
        monkeypatch.setattr(
            "rhubarbmount.batch.server_rows.decode_server", lambda row: row.server
        )
        scene.rows._apply_row(FakeRow(server("s@3")))
        assert not scene.shard.usage_by_server_id["s@1"].is_listed
        await trio.sleep(SETTLE_S)
        assert scene.sessions.has_ended("s@3")
        assert [task.server_id for task in scene.tasks] == ["s@1"] * TASK_COUNT
        scene.rows._apply_row(FakeRow(server("s@3")))
        assert "s@3" not in scene.shard.usage_by_server_id
        scene.rows._apply_row(FakeRow(server("s@1")))
        assert scene.shard.usage_by_server_id["s@1"].is_listed


@attrs.define
class FakeName:
    key: str


@attrs.define
class FakeRow:
    """Row of the server "s" that is decoded to a given one."""

    server: Server | None
    version: int = 1
    name: FakeName = attrs.field(factory=lambda: FakeName("s"))


# Guards against a lifetime that stays listed after the row of its name was removed.
async def test_the_removal_of_a_row_concerns_all_lifetimes_of_the_name(
    monkeypatch, autojump_clock
):
    async with open_scene(monkeypatch) as scene:
        scene.rows._apply_row(FakeRow(None, version=0))
        assert not scene.shard.usage_by_server_id["s@1"].is_listed


# Guards against tasks that an earlier holder started on a lifetime that is not known
# any more: they would wait for the longest lease, and the run that goes on is stopped.
@pytest.mark.parametrize("earlier_id", ["s@7", "s"])
async def test_runs_of_a_lifetime_known_to_an_earlier_holder_only_are_moved(
    monkeypatch, autojump_clock, earlier_id
):
    async with open_scene(monkeypatch) as scene:
        step = Step(2, 500, 500, estimate_s=100.0)
        ids = [TaskId("c", 0, 0, number) for number in range(2)]
        tasks = [Task(item, TaskState.ASSIGNED, 4, earlier_id) for item in ids]
        spec = JobSpec("c", NAME, "one", "payload", (step,), 0.0)
        scene.client.running.append((ids[0], 4))
        scene.shard.add_job(Job(spec, tasks_by_step={(0, 0): tasks}))
        await trio.sleep(SETTLE_S)
        assert (tasks[0].server_id, tasks[0].state) == ("s@1", TaskState.ASSIGNED)
        assert tasks[1].state is TaskState.WAITING
        # Without a time of its start it may be the same lifetime: nothing has crashed.
        assert bool(tasks[1].losses) is (earlier_id != "s")
        assert scene.client.stopped == []


TASK = TaskId("a", 0, 0, 0)


@pytest.mark.parametrize(
    ("fields", "listed", "unsettled", "fate"),
    [
        ({"sent_s": 1.0, "acknowledged_s": 2.0}, {(TASK, 1)}, set(), RunFate.MOVED),
        ({"sent_s": 1.0}, {(TASK, 1)}, {(TASK, 1)}, RunFate.MOVED),
        ({"sent_s": 1.0, "acknowledged_s": 2.0}, set(), {(TASK, 1)}, RunFate.BARRED),
        ({"sent_s": 1.0}, set(), set(), RunFate.BARRED),
        ({"sent_s": 1.0, "acknowledged_s": 6.0}, set(), set(), RunFate.MOVED),
        ({"sent_s": 1.0, "acknowledged_s": 2.0}, {(TASK, 2)}, set(), RunFate.LOST),
        ({}, set(), set(), RunFate.LOST),
    ],
)
def test_the_fate_of_a_run_is_told_by_the_list_and_by_its_start(
    fields, listed, unsettled, fate
):
    task = Task(TASK, TaskState.ASSIGNED, 1, "s@1", **fields)
    assert fate_of(task, listed, unsettled, 5.0) is fate


# Guards against a lifetime that is taken for one on a host that it was never on.
def test_lifetimes_are_grouped_by_name_and_by_the_host_of_last():
    lifetimes = ServerLifetimes()
    assert lifetimes.add(server("s@1", host_id="h")) == []
    assert lifetimes.add(server("s@2")) == ["s@1"]
    assert lifetimes.add(server("t@3", host_id="h")) == ["s@1"]
    assert lifetimes.others("s@1") == ["s@2", "t@3"]
    lifetimes.add(server("s@1", host_id="g"))
    assert lifetimes.others("s@1") == ["s@2"]
    lifetimes.end("s@1")
    lifetimes.remove("s@1")
    assert lifetimes.others("s@2") == []
    assert lifetimes.has_ended("s@1") and not lifetimes.has_ended("s@2")
    lifetimes.forget("s")
    assert not lifetimes.has_ended("s@1")
