"""Commands to hosts by a holder whose permission may run out before they are sent."""

import attrs
import pytest
import trio
from trio.testing import MockClock

from rhubarbmount.batch import clocks
from rhubarbmount.batch.election import LEASE_VALID_S, ShardLease
from rhubarbmount.batch.host_command_times import HostCommandTimes
from rhubarbmount.batch.host_commands import HostCommands
from rhubarbmount.errors import PlatformUnavailable
from rhubarbmount.platform.hosts import HostResult

PLATFORM_PAUSE_S = 3.0


@pytest.fixture
def autojump_clock():
    return MockClock(rate=0.0, autojump_threshold=0.0)


@attrs.define
class PausedClient:
    """Client of a process that is paused while it opens its connection."""

    pause_s: float
    sent_at_s: list[float] = attrs.field(factory=list)

    async def move(self, host_id, pool, fencing_token, may_send):
        await trio.sleep(self.pause_s)
        if not may_send():
            raise PlatformUnavailable("not sent", code="expired")
        self.sent_at_s.append(trio.current_time())
        return HostResult.DONE


def make_commands(monkeypatch, pause_s, renewed_at_s):
    async def save():
        await trio.sleep(0.01)

    monkeypatch.setattr(clocks.source, "monotonic_s", trio.current_time)
    client = PausedClient(pause_s)
    return client, HostCommands(
        client=client,
        shard_lease=ShardLease(1, renewed_at_s),
        command_times=HostCommandTimes(trio.current_time, PLATFORM_PAUSE_S),
        save_command_times=save,
    )


async def test_a_command_is_sent_while_the_lease_is_valid(monkeypatch, autojump_clock):
    client, commands = make_commands(monkeypatch, 0.1, trio.current_time())
    assert await commands.move("m", "one") is HostResult.DONE
    assert len(client.sent_at_s) == 1


@pytest.mark.parametrize("pause_s", [LEASE_VALID_S, 5.0])
async def test_a_paused_holder_sends_nothing_once_its_lease_has_run_out(
    monkeypatch, autojump_clock, pause_s
):
    client, commands = make_commands(monkeypatch, pause_s, trio.current_time())
    assert await commands.move("m", "one") is HostResult.BUSY
    assert client.sent_at_s == []


# The next holder counts from the stored time of the last command.
async def test_nothing_is_sent_beyond_the_stored_time_of_the_command(
    monkeypatch, autojump_clock
):
    client, commands = make_commands(monkeypatch, 0.8, trio.current_time())
    assert await commands.move("m", "one") is HostResult.BUSY
    assert client.sent_at_s == []
