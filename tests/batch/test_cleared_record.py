"""The record of silent servers while it is being written and servers go and come."""

import attrs
import pytest
import trio
from trio.testing import MockClock, wait_all_tasks_blocked

from rhubarbmount.batch import clocks
from rhubarbmount.batch.catalogue import Catalogue
from rhubarbmount.batch.election import ShardLease, longest_lease
from rhubarbmount.batch.lateness import Lateness
from rhubarbmount.batch.metrics import BatchMetrics
from rhubarbmount.batch.model import Server
from rhubarbmount.batch.server_lease import ServerLease
from rhubarbmount.batch.server_session import ServerSession
from rhubarbmount.batch.server_sessions import ServerSessions
from rhubarbmount.batch.shard import Shard
from rhubarbmount.batch.silent_servers import SilentServers

SERVER = Server("s", "one", "s:1", "a", False, 1, 1, 0, frozenset(), "r", 1)


@pytest.fixture
def autojump_clock():
    return MockClock(rate=0.0, autojump_threshold=0.0)


@attrs.define
class Store:
    """Stores the record of silent servers when it is told to."""

    silent: SilentServers
    stored: bytes = b"{}"
    _pending: list[tuple[bytes, trio.Event]] = attrs.field(factory=list)

    async def save(self):
        saved = trio.Event()
        self._pending.append((self.silent.encode(), saved))
        await saved.wait()

    async def store_one(self):
        self.stored, saved = self._pending.pop(0)
        saved.set()
        await wait_all_tasks_blocked()

    async def store_all(self):
        await wait_all_tasks_blocked()
        while self._pending:
            await self.store_one()


def make_session(nursery):
    """Return a session with a server that has answered, and the store of its record."""
    metrics, lease = BatchMetrics(), ShardLease(2, trio.current_time())
    silent = SilentServers(*[trio.current_time] * 2)
    store = Store(silent)
    sessions = ServerSessions(
        shard=Shard(Catalogue(0, {}, {})),
        client=None,
        shard_lease=lease,
        max_lease_s=10.0,
        earlier_grants=None,
        metrics=metrics,
        lateness=Lateness(metrics),
        tickets=None,
        nursery=nursery,
        wake=lambda: None,
        want_host_list=lambda: None,
        silent=silent,
        save_silent=store.save,
    )
    session = ServerSession(
        server=SERVER,
        client=None,
        lease=ServerLease(lease, 10.0, longest_lease(trio.current_time(), 10.0)),
        listener=sessions,
        metrics=metrics,
        has_work=lambda: True,
        needs_fresh_progress=lambda: False,
    )
    session.lease.clock.note(1000, trio.current_time())
    session.lease.record_response()
    session.is_established = True
    nursery.start_soon(sessions.keep_record)
    return session, store


async def fail(session, times):
    for _ in range(times):
        session._record_failure("timeout")
    await wait_all_tasks_blocked()


async def answer(session):
    session._record_response()
    await wait_all_tasks_blocked()


# Guards against TWICE: a holder that grants a server whose silence is on record, which
# the next holder would take for the end of all leases there.
async def test_a_server_whose_silence_is_on_record_is_granted_no_more(
    monkeypatch, autojump_clock
):
    monkeypatch.setattr(clocks.source, "monotonic_s", trio.current_time)
    async with trio.open_nursery() as nursery:
        session, store = make_session(nursery)
        await fail(session, 3)
        await store.store_all()
        assert b"s" in store.stored
        await answer(session)
        await fail(session, 2)
        await answer(session)
        await store.store_one()
        await fail(session, 3)
        await store.store_all()
        await answer(session)
        is_granted_freely = not session.lease.is_recorded_silent
        assert not (is_granted_freely and b"s" in store.stored)
        await store.store_all()
        assert not session.lease.is_recorded_silent
        assert b"s" not in store.stored
        nursery.cancel_scope.cancel()
