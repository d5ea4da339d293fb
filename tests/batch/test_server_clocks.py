"""Leases on a backend server whose clock starts anew with its next lifetime."""

import attrs
import pytest
import trio
from trio.testing import MockClock

from rhubarbmount.batch import clocks
from rhubarbmount.batch.clocks import ServerClock
from rhubarbmount.batch.earlier_grants import EarlierGrants
from rhubarbmount.batch.election import LapseBound, ShardLease, longest_lease
from rhubarbmount.batch.metrics import BatchMetrics
from rhubarbmount.batch.model import Server, StopReason, Task, TaskId
from rhubarbmount.batch.server_commands import StartRequest, StopRequest
from rhubarbmount.batch.server_lease import ServerLease
from rhubarbmount.batch.server_session import ServerSession, SessionListener
from rhubarbmount.batch.silent_servers import SilentServers
from rhubarbmount.platform.backend import (
    CommandResponse,
    CommandResult,
    RenewalResponse,
)
from tests.batch.test_server_lifetimes import SETTLE_S, open_scene

LONGEST_GRANT_S = 6.0
MAX_LEASE_S = 10.0
# A lease of MAX_LEASE_S on a clock that is 2% slow.
LONGEST_S = MAX_LEASE_S / 0.98
EARLIER, LATER = "s@1000", "s@2000"
TASK = TaskId("j", 0, 0, 0)


@pytest.fixture
def autojump_clock():
    return MockClock(rate=0.0, autojump_threshold=0.0)


def make_lease(now_s=100.0):
    """Return the lease of a holder whose predecessor granted nothing."""
    lease = ServerLease(ShardLease(2, now_s), MAX_LEASE_S, LapseBound(0.0, "none"))
    lease.note_reading(500_000, now_s, now_s)
    lease.record_response()
    return lease


# A reading that a later answer overtook, as long ago as its call was sent.
@pytest.mark.parametrize("behind_ms", [0, 500, 1000])
def test_an_overtaken_answer_reads_the_same_clock(behind_ms):
    clock = ServerClock()
    clock.note(500_000, 100.0, sent_s=99.9)
    assert clock.may_read(500_000 - behind_ms, sent_s=99.0, now_s=100.1)


def test_a_clock_goes_on_while_it_is_not_read():
    clock = ServerClock()
    clock.note(500_000, 100.0, sent_s=99.9)
    # At 98% of the pace, and at the full one with the whole time of the first call.
    assert clock.may_read(500_000 + 58_800, sent_s=160.0, now_s=160.0)
    assert clock.may_read(500_000 + 60_100, sent_s=160.0, now_s=160.0)


# The last answer may have been read long after the server sent it.
def test_a_reading_may_be_as_old_as_its_call():
    clock = ServerClock()
    clock.note(500_000, 100.0, sent_s=99.0)
    assert clock.may_read(501_150, sent_s=100.1, now_s=100.2)


# Guards against TWICE: a lease that counts as lapsed, as its time is measured with the
# clock of another lifetime.
@pytest.mark.parametrize("reading_ms", [1_200, 450_000, 498_500, 502_000, 900_000])
def test_a_clock_that_starts_anew_is_another_clock(reading_ms):
    clock = ServerClock()
    clock.note(500_000, 100.0, sent_s=99.9)
    assert not clock.may_read(reading_ms, sent_s=100.0, now_s=100.3)


# Guards against TWICE: the answer of a later lifetime to a start or a stop, whose clock
# may lie far ahead, must not end the lease of the earlier one.
@pytest.mark.parametrize("reading_ms", [1_200, 900_000])
def test_another_clock_in_an_answer_does_not_change_the_lease(reading_ms):
    lease = make_lease()
    lease.start_expiry_ms(100.0)
    lapses_at_s = lease.lapses_at_s()
    assert not lease.note_command_reading(reading_ms, sent_s=100.1, now_s=100.2)
    assert lease.clock.read_ms == 500_000
    assert lease.lapses_at_s() >= lapses_at_s


# Guards against TWICE: an expiry on the earlier clock grants the longest lease there.
def test_the_lifetime_that_answered_with_another_clock_has_the_longest_lease():
    lease = make_lease()
    lease.start_expiry_ms(100.0)
    lease.note_command_reading(1_200, sent_s=100.1, now_s=100.2)
    assert lease.lapses_at_s() >= 100.2 + LONGEST_S


# Guards against starts that only a later lifetime can carry out, of which nobody knows.
def test_nothing_starts_until_it_is_known_which_lifetime_answers():
    lease = make_lease()
    assert lease.may_start(100.2)
    lease.note_command_reading(1_200, sent_s=100.1, now_s=100.2)
    assert not lease.may_start(100.2)
    lease.record_response()
    assert lease.may_start(100.2)


# Guards against a clock that is never read again and TWICE: the server lists its runs
# under the same lifetime, or can't tell it, and its clock starts anew.
def test_a_clock_that_starts_anew_is_read_again():
    lease = make_lease()
    lease.renewal_expiry_ms(100.0)
    lease.note_reading(1_200, sent_s=100.1, now_s=100.2)
    assert lease.clock.read_ms == 1_200
    assert lease.renewal_expiry_ms(100.2) == 1_200 + 4_000
    assert lease.lapses_at_s() >= 100.2 + LONGEST_S


# Guards against starts that are sent before the server has been heard of.
# Guards against LOST: tasks that were started on a server whose lease had lapsed stayed
# there for good once it was cut off.
def test_a_lease_that_is_granted_anew_lapses_anew():
    lease = make_lease()
    lease.shard_lease.renewed_at_s = 100.0
    lapsed_at_s = lease.lapses_at_s() + 1.0
    assert lease.check_lapse(lapsed_at_s)
    lease.shard_lease.renewed_at_s = lapsed_at_s
    assert lease.start_expiry_ms(lapsed_at_s) > 500_000
    assert not lease.check_lapse(lapsed_at_s + 1.0)
    assert lease.check_lapse(lapsed_at_s + LONGEST_GRANT_S)


def test_the_answer_to_a_command_is_not_the_first_reading():
    lease = ServerLease(ShardLease(2, 100.0), MAX_LEASE_S, LapseBound(0.0, "none"))
    assert lease.note_command_reading(1_200, sent_s=100.1, now_s=100.2)
    assert not lease.clock.is_known


# Guards against TWICE: a call meant for the earlier lifetime was carried out by the
# later one, on whose clock its expiry lies far ahead.
async def test_a_later_lifetime_may_have_the_longest_lease(monkeypatch, autojump_clock):
    async with open_scene(monkeypatch) as scene:
        lapses_at_s = trio.current_time() + LONGEST_S
        scene.client.restart()
        await trio.sleep(SETTLE_S)
        lease = scene.sessions.find("s@2").lease
        assert lapses_at_s <= lease.lapses_at_s() < trio.current_time() + LONGEST_S


# Guards against TWICE: the call was one of those that renewed the runs of the earlier
# lifetime while the shard was loaded.
async def test_a_later_lifetime_may_have_the_lease_of_early_renewals(
    monkeypatch, autojump_clock
):
    async with open_scene(monkeypatch) as scene:
        early = make_lease(trio.current_time())
        scene.sessions.early_lease_by_server_id = {"t@1": early}
        scene.open("t@2")
        lease = scene.sessions.find("t@2").lease
        assert lease is not early
        assert lease.lapses_at_s() >= trio.current_time() + LONGEST_S


async def test_a_lifetime_renewed_early_keeps_its_lease(monkeypatch, autojump_clock):
    async with open_scene(monkeypatch) as scene:
        early = make_lease(trio.current_time())
        lapses_at_s = early.lapses_at_s()
        scene.sessions.early_lease_by_server_id = {"t@1": early}
        scene.open("t@1")
        assert scene.sessions.find("t@1").lease is early
        assert early.lapses_at_s() == lapses_at_s


# Guards against TWICE: the record says when the leases of that lifetime have lapsed.
def test_the_record_of_a_silent_lifetime_is_not_that_of_the_next():
    silent = SilentServers(*[lambda: 1000.0] * 2)
    silent.note(EARLIER, lapses_in_s=3.0)
    grants = EarlierGrants(LapseBound(110.0, "longest-lease"), silent, lambda: 100.0)
    assert grants.bound_of(EARLIER).at_s == pytest.approx(103.0)
    assert grants.bound_of(LATER).at_s == 110.0
    silent.drop(LATER)
    assert silent.has(EARLIER)


@attrs.define
class OtherLifetimeBackend:
    """A backend server that answers commands as a lifetime with another clock."""

    renewed_at_s: list[float] = attrs.field(factory=list)

    async def renew(self, server, *args):
        self.renewed_at_s.append(trio.current_time())
        await trio.sleep(0.01)
        clock_ms = 500_000 + int(trio.current_time() * 1000)
        return RenewalResponse(CommandResult.DONE, clock_ms)

    async def start(self, server, command):
        return CommandResponse(CommandResult.DONE, 1_200)

    async def stop(self, server, *args):
        return CommandResponse(CommandResult.DONE, 1_200)


def make_session(monkeypatch, client):
    """Return a session with a server on which nothing runs."""
    monkeypatch.setattr(clocks.source, "monotonic_s", trio.current_time)
    return ServerSession(
        server=Server(EARLIER, "one", "s:1", "a", False, 1, 1, 0, frozenset(), "r", 1),
        client=client,
        lease=ServerLease(
            ShardLease(2, trio.current_time()),
            MAX_LEASE_S,
            longest_lease(trio.current_time(), MAX_LEASE_S),
        ),
        listener=SessionListener(),
        metrics=BatchMetrics(),
        has_work=lambda: False,
        needs_fresh_progress=lambda: False,
    )


async def send_to_idle_server(monkeypatch, command):
    """Send a command to a server that is not renewed; return the session."""
    session = make_session(monkeypatch, OtherLifetimeBackend())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(session.run)
        await trio.sleep(1.0)
        assert len(session.client.renewed_at_s) == 1
        session.send(command)
        await trio.sleep(0.1)
        nursery.cancel_scope.cancel()
    return session


# Guards against TWICE: nothing asks the server which of its lifetimes has answered.
@pytest.mark.parametrize("kind", ["start", "stop"])
async def test_an_answer_with_another_clock_has_the_lifetime_asked_at_once(
    monkeypatch, autojump_clock, caplog, kind
):
    task = Task(TASK, run=1, server_id=EARLIER)
    command = {
        "start": StartRequest(task, 1, "payload", ""),
        "stop": StopRequest(TASK, 1, StopReason.WAVE),
    }[kind]
    session = await send_to_idle_server(monkeypatch, command)
    assert len(session.client.renewed_at_s) == 2
    assert task.progress.started_ms == 0
    assert "other-clock" in caplog.text


@attrs.define
class RestartedBackend:
    """A backend server whose clock reads so in one renewal after the other."""

    readings_ms: list[int]

    async def renew(self, server, *args):
        await trio.lowlevel.checkpoint()
        return RenewalResponse(CommandResult.DONE, self.readings_ms.pop(0))


# Guards against leases that can't be renewed, as their expiry is on an earlier clock.
async def test_a_renewal_reads_a_clock_that_has_started_anew(
    monkeypatch, autojump_clock
):
    session = make_session(monkeypatch, RestartedBackend([500_000, 1_200]))
    await session._renew_once()
    await session._renew_once()
    assert session.lease.clock.read_ms == 1_200
