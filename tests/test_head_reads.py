"""Tests that shared head reads use one scan and are never older than the call."""

import attrs
import trio
import trio.testing

from rhubarbmount.configuration import Configuration
from rhubarbmount.fleet_view import FleetView
from rhubarbmount.follower import run_followers
from rhubarbmount.head_reads import HeadReads
from rhubarbmount.store.interface import Transaction, Write
from rhubarbmount.timers import TimerService
from tests.fleetkit import CountedPlatform

SCAN_S = 0.5


@attrs.define
class SlowPlatform(CountedPlatform):
    """A platform whose scans return the rows as of the time the scan was sent."""

    async def scan(self, table, prefix=""):
        rows = await super().scan(table, prefix)
        await trio.sleep(SCAN_S)
        return rows


async def set_head(platform, version):
    write = Write("heads", "fleet", {"version": version, "changes": []})
    await platform.inner.transact(Transaction(f"w{version}", (), (write,)))


async def test_all_followers_share_one_scan_per_second(autojump_clock, nursery):
    platform = SlowPlatform()
    read_head = HeadReads(platform).read
    followers = [
        kind(platform=platform, read_head=read_head)
        for kind in (Configuration, FleetView)
    ]
    nursery.start_soon(run_followers, followers, TimerService(seed=1))
    await trio.sleep(60.0)
    assert platform.calls["scan", "heads"] <= 60 / 0.9 + 2
    assert platform.calls["read", "heads"] == 0
    assert all(follower.age_s() < 2.0 for follower in followers)


async def test_reader_after_scan_was_sent_waits_for_next_scan(autojump_clock):
    platform = SlowPlatform()
    heads = HeadReads(platform)
    seen = []

    async def ask():
        seen.append((await heads.read("fleet")).value["version"])

    await set_head(platform, 1)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(ask)
        await trio.sleep(SCAN_S / 2)
        await set_head(platform, 2)
        nursery.start_soon(ask)
    assert seen == [1, 2]
