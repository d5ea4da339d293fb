"""Tests for leases and renewals of backend servers that stop answering."""

import attrs
import trio

from rhubarbmount.batch.clocks import RATE_MARGIN, monotonic_s
from rhubarbmount.batch.election import ShardLease, longest_lease
from rhubarbmount.batch.lateness import Lateness
from rhubarbmount.batch.metrics import BatchMetrics
from rhubarbmount.batch.model import Server
from rhubarbmount.batch.server_lease import ServerLease
from rhubarbmount.batch.server_session import (
    RENEWAL_WAIT_S,
    ServerSession,
    SessionListener,
)
from rhubarbmount.errors import OutcomeUnknown
from rhubarbmount.platform.backend import BackendClient, CommandResult, RenewalResponse
from rhubarbmount.platform.json_client import JsonClient

MAX_LEASE_S = 10.0
TAKEN_AT_S = 100.0


def make_lease(taken_at_s=TAKEN_AT_S):
    return ServerLease(
        ShardLease(2, taken_at_s), MAX_LEASE_S, longest_lease(taken_at_s, MAX_LEASE_S)
    )


def make_session():
    server = Server("s", "one", "s:1", "a", False, 1, 1, 0, frozenset(), "r", 1)
    return ServerSession(
        server=server,
        client=BackendClient(JsonClient(), Lateness(BatchMetrics())),
        lease=make_lease(monotonic_s()),
        listener=SessionListener(),
        metrics=BatchMetrics(),
        has_work=lambda: True,
        needs_fresh_progress=lambda: False,
    )


def test_lapse_assumes_the_last_holder_granted_the_longest_lease():
    """Runs of the previous holder may outlive the shorter lease of the next holder.

    Unless the previous holder recorded its grants, the longest lease that the platform
    allows has to be waited out, counted from the takeover.
    """
    lease = make_lease()
    assert lease.lapses_at_s() > TAKEN_AT_S + MAX_LEASE_S * RATE_MARGIN
    lease.clock.note(50_000, 100.5)
    assert lease.lapses_at_s() > TAKEN_AT_S + MAX_LEASE_S * RATE_MARGIN
    lease.clock.grant(104.5, 100.5)
    assert lease.lapses_at_s() > TAKEN_AT_S + MAX_LEASE_S * RATE_MARGIN


def test_lapse_follows_own_grants_once_earlier_ones_ended():
    lease = make_lease()
    lease.clock.note(80_000, 130.0)
    lease.clock.grant(134.0, 130.0)
    assert 134.0 < lease.lapses_at_s() < 134.5


class UnreliableBackendClient:
    """Backend client whose server answers only some renewals."""

    def __init__(self, answers):
        self.answers = list(answers)
        self.expiries = []
        self.waits_s = []

    async def renew(self, server, fencing_token, acknowledged, expires_ms, wait_s):
        self.expiries.append(expires_ms)
        self.waits_s.append(wait_s)
        if self.answers.pop(0):
            return RenewalResponse(CommandResult.DONE, 50_000)
        raise OutcomeUnknown("no answer", code="timeout")


class ReachabilityRecorder(SessionListener):
    """Records each change in whether the backend server counts as reachable."""

    def __init__(self):
        self.reachability = []

    def on_reachability_change(self, session, is_reachable):
        self.reachability.append(is_reachable)


async def renew(*answers):
    session = make_session()
    session.client = UnreliableBackendClient(answers)
    session.listener = ReachabilityRecorder()
    for _ in answers:
        await session._renew_once()
    return session


async def test_one_lost_response_leaves_the_server_reachable():
    session = await renew(True, False, True)
    assert session.listener.reachability == [True]


async def test_no_renewal_is_granted_after_the_first_lost_response():
    session = await renew(True, True, False, False, False)
    assert session.listener.reachability == [True, False]
    assert [expiry is None for expiry in session.client.expiries] == [
        True,
        False,
        False,
        True,
        True,
    ]


class LateHostListener(SessionListener):
    """Says that responses got lost lately, and that this host is late itself."""

    def has_recent_response_loss(self):
        return True

    def is_late(self):
        return True


# Short waits after a lost response mean more calls, which a late host has no time for.
async def test_a_late_host_renews_no_more_often():
    session = make_session()
    session.client = UnreliableBackendClient([True, True])
    session.listener = LateHostListener()
    await session._renew_once()
    await session._renew_once()
    assert session.client.waits_s[1] == RENEWAL_WAIT_S


class FailingListener(ReachabilityRecorder):
    """Fails to handle each list of its server, because of a fault of ours."""

    def on_list(self, session, response, sent_s):
        raise KeyError("a fault in handling a list")


# Guards against one server whose list we fail to handle taking the whole duty down, in
# each holder in turn.
async def test_a_list_that_can_not_be_handled_counts_as_no_answer(caplog):
    session = make_session()
    session.client = UnreliableBackendClient([True] * 4)
    session.listener = FailingListener()
    for _ in range(4):
        assert await session._renew_once() is None
    assert not session.lease.is_reachable
    assert session.listener.reachability == []
    assert session.client.expiries == [None] * 4
    assert session.listed_to == session.acknowledged == 0
    assert "a fault in handling a list" in caplog.text


class AcknowledgementRecorder(UnreliableBackendClient):
    """Notes the number that each renewal acknowledges."""

    def __init__(self, answers):
        super().__init__(answers)
        self.acknowledged = []

    async def renew(self, server, fencing_token, acknowledged, *args):
        self.acknowledged.append(acknowledged)
        return await super().renew(server, fencing_token, acknowledged, *args)


# Guards against acknowledgements that another lifetime may carry out: after a failed
# call the server may have started again.
async def test_nothing_is_acknowledged_after_a_failed_call_until_one_is_answered():
    session = make_session()
    session.client = AcknowledgementRecorder([True, False, False, True, True, True])
    session.committed = 7
    for _ in range(6):
        await session._renew_once()
    assert session.client.acknowledged == [7, 0, 0, 0, 0, 0]
    session.client = AcknowledgementRecorder([False, False, True, True, True])
    session.committed = 9
    for _ in range(5):
        await session._renew_once()
    assert session.client.acknowledged == [9, 0, 0, 9, 0]


class EndedBackendClient:
    """Backend client whose server answers each renewal as another lifetime."""

    def __init__(self):
        self.renewals = 0

    async def renew(self, *args):
        await trio.lowlevel.checkpoint()
        self.renewals += 1
        assert self.renewals < 100, "renewed without a pause"
        return RenewalResponse(CommandResult.OTHER_LIFETIME, 0)


# Guards against renewals that are sent to an address after its lifetime has ended.
async def test_a_lifetime_that_has_ended_is_not_renewed_again(autojump_clock):
    session = make_session()
    session.client = EndedBackendClient()
    with trio.move_on_after(5.0):
        await session.run()
    assert session.client.renewals == 1


class CallRecorder:
    """Backend client that notes which servers were asked, and never answers."""

    def __init__(self):
        self.asked = []

    async def renew(self, server, *args):
        self.asked.append(server.id)
        await trio.sleep_forever()


# Guards against runs that lapse at a takeover as servers without any are asked first.
async def test_servers_with_runs_are_asked_first_at_a_takeover(autojump_clock):
    client = CallRecorder()
    async with trio.open_nursery() as nursery:
        for number in range(20):
            session = make_session()
            session.server = attrs.evolve(session.server, id=f"s{number}")
            session.client = client
            session.has_work = lambda is_busy=number % 2 == 0: is_busy
            nursery.start_soon(session.run)
        await trio.sleep(1.0)
        nursery.cancel_scope.cancel()
    assert len(client.asked) == 20
    assert all(int(server_id[1:]) % 2 == 0 for server_id in client.asked[:10])
