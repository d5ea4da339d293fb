"""Rows of the entry hosts, and the roll-out status of a configuration."""

import pytest
import trio

from rhubarbmount.errors import PlatformUnavailable
from rhubarbmount.instances import (
    ABANDONED_AFTER_S,
    InstanceRows,
    ProgramVersion,
    weigh_status,
)
from rhubarbmount.peer_messages import MemberReport, PeerIdentity
from rhubarbmount.shared_rows import FORMAT
from rhubarbmount.store.client import open_client
from rhubarbmount.store.interface import Transaction, Write
from rhubarbmount.store.memory import MemoryPlatform
from rhubarbmount.timers import TimerService


class Instance:
    """The rows task of one instance, with its peers' reports set by the test."""

    def __init__(self, platform, name, address=None):
        self.version = 1
        self.heard = {}
        self.addresses = {}
        own_identity = PeerIdentity(name, "dc-a", address or f"{name}:1", f"{name}-run")
        self.rows = InstanceRows(
            open_client(platform),
            own_identity,
            lambda: self.version,
            lambda: self.heard,
            self.addresses.__setitem__,
            lambda address: self.addresses.pop(address, None),
        )

    def receive_report(self, other):
        own_identity = other.rows.own_identity
        self.heard[own_identity.instance] = MemberReport(
            own_identity, other.version, False
        )


async def keys(platform):
    return [row.key for row in await platform.scan("instances")]


def test_instances_behind_and_silent_are_named():
    status = weigh_status(5, {"a": 5, "b": 5, "c": 2}, {"a": 6, "b": 4, "d": 5})
    assert status.current == ["a", "d"]
    assert status.behind == {"b": 4}
    assert status.silent == {"c": 2}
    assert not status.in_force


async def test_in_force_once_every_recorded_instance_reports_it(autojump_clock):
    platform = MemoryPlatform()
    first, second = Instance(platform, "a"), Instance(platform, "b")
    await second.rows.renew()
    await first.rows.renew()
    first.version = 2
    assert first.rows.status().silent == {"b": 1}
    first.receive_report(second)
    assert first.rows.status().behind == {"b": 1}
    second.version = 2
    first.receive_report(second)
    assert first.rows.status().in_force


async def test_addresses_follow_the_rows(autojump_clock):
    platform = MemoryPlatform()
    first, second = Instance(platform, "a"), Instance(platform, "b")
    await second.rows.renew()
    await first.rows.renew()
    assert first.addresses == {"a:1": "dc-a", "b:1": "dc-a"}
    await second.rows.remove()
    await first.rows.renew()
    assert first.addresses == {"a:1": "dc-a"}


async def test_a_new_instance_drops_the_row_of_one_at_its_address(autojump_clock):
    platform = MemoryPlatform()
    await Instance(platform, "old", "x:1").rows.renew()
    await Instance(platform, "new", "x:1").rows.renew()
    assert await keys(platform) == ["new"]


async def test_only_a_row_without_renewals_or_reports_is_deleted(autojump_clock):
    platform = MemoryPlatform()
    watcher = Instance(platform, "watcher")
    renewing, silent, heard = (
        Instance(platform, name) for name in ("renewing", "silent", "heard")
    )
    for instance in (renewing, silent, heard):
        await instance.rows.renew()
    watcher.receive_report(heard)
    await watcher.rows.renew()
    await trio.sleep(ABANDONED_AFTER_S - 1)
    await renewing.rows.renew()
    await watcher.rows.read()
    assert "silent" in await keys(platform)
    await trio.sleep(1)
    await watcher.rows.read()
    assert await keys(platform) == ["heard", "renewing", "watcher"]
    await silent.rows.renew()
    assert "silent" in await keys(platform)


async def test_a_replaced_instance_does_not_remove_its_successors_row(autojump_clock):
    platform = MemoryPlatform()
    old, new = Instance(platform, "a"), Instance(platform, "a")
    new.rows.own_identity = PeerIdentity("a", "dc-a", "a:1", "second-run")
    await old.rows.renew()
    await new.rows.renew()
    await old.rows.remove()
    assert await keys(platform) == ["a"]


async def test_an_outage_keeps_the_last_rows(autojump_clock):
    platform = MemoryPlatform()
    first, second = Instance(platform, "a"), Instance(platform, "b")
    await second.rows.renew()
    await first.rows.renew()

    class Out(MemoryPlatform):
        async def scan(self, table, prefix=""):
            raise PlatformUnavailable("out")

        async def transact(self, transaction):
            raise PlatformUnavailable("out")

    first.rows.platform = open_client(Out())
    await first.rows.renew()
    assert (await first.rows.read_status()).silent == {"b": 1}
    await first.rows.remove()


# Guards against an entry host that no status names for 30 s, as its row is missing.
async def test_a_row_that_could_not_be_written_is_soon_written_again(
    autojump_clock, nursery
):
    class Impaired(MemoryPlatform):
        refusals = 2

        async def transact(self, transaction):
            if self.refusals:
                self.refusals -= 1
                raise PlatformUnavailable("out")
            return await MemoryPlatform.transact(self, transaction)

    platform = Impaired()
    nursery.start_soon(Instance(platform, "a").rows.run, TimerService(seed=1))
    await trio.sleep(5.0)
    assert await keys(platform) == ["a"]


@pytest.mark.parametrize("heard", [{}, {"a": 1}])
def test_nothing_recorded_and_nothing_later_is_in_force(heard):
    assert weigh_status(1, {}, heard).in_force


async def test_the_lowest_format_counts_silent_and_unread_entry_hosts(autojump_clock):
    platform = MemoryPlatform()
    first, second = Instance(platform, "a"), Instance(platform, "b")
    assert first.rows.lowest_format() == 0
    await first.rows.renew()
    assert first.rows.lowest_format() == FORMAT
    first.receive_report(second)
    assert first.rows.lowest_format() == 0
    await second.rows.renew()
    await first.rows.renew()
    assert first.rows.lowest_format() == FORMAT
    row = await platform.read("instances", "b")
    older = {k: v for k, v in row.value.items() if k not in ("program", "format")}
    write = Write("instances", "c", older | {"instance": "c", "address": "c:1"})
    await platform.transact(Transaction("older", (), (write,)))
    await first.rows.renew()
    assert first.rows.lowest_format() == 0
    assert first.rows.status().programs["c"] == ProgramVersion("", 0)
