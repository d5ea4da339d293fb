"""The configuration in force: followed, pulled from peers, never reverted."""

import attrs
import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbmount.catalogue import Snapshot, encode_snapshot
from rhubarbmount.configuration import Configuration
from rhubarbmount.entries import Team
from rhubarbmount.errors import PlatformUnavailable
from rhubarbmount.store.interface import Transaction, Write
from rhubarbmount.store.memory import MemoryPlatform
from rhubarbmount.timers import open_timers


def snapshot_at(version):
    snapshot = Snapshot()
    for quota in range(version):
        team = Team(name="firm-a", owner="firm-a", processors_quota=quota)
        snapshot = snapshot.with_entry("team", team)
    return snapshot


async def set_head(platform, version):
    name = f"catalogue/{version}"
    await platform.put_object(name, encode_snapshot(snapshot_at(version)))
    head = {"version": version, "object": name}
    write = Write("heads", "catalogue", head)
    await platform.transact(Transaction(name, (), (write,)))


@attrs.define
class Switched:
    """A platform that answers, fails at once, or never answers."""

    platform: MemoryPlatform
    mode: str = "up"

    async def _gate(self):
        if self.mode == "down":
            raise PlatformUnavailable("down")
        if self.mode == "silent":
            await trio.sleep_forever()

    async def read(self, table, key):
        await self._gate()
        return await self.platform.read(table, key)

    async def scan(self, table, prefix=""):
        await self._gate()
        return await self.platform.scan(table, prefix)

    async def get_object(self, name):
        await self._gate()
        return await self.platform.get_object(name)


def pull_from(*configurations):
    async def pull(state, known_version):
        shared = [peer.share(known_version) for peer in configurations]
        return max(filter(None, shared), key=lambda s: s.version, default=None)

    return pull


async def test_a_new_head_is_in_force_within_two_seconds(autojump_clock):
    platform = MemoryPlatform()
    await set_head(platform, 1)
    configuration = Configuration(platform=platform)
    news = configuration.subscribe()
    async with open_timers(seed=1) as timers, trio.open_nursery() as nursery:
        nursery.start_soon(configuration.run, timers)
        assert (await news.receive()).snapshot.version == 1
        await set_head(platform, 2)
        with trio.fail_after(2):
            assert (await news.receive()).snapshot.version == 2
        nursery.cancel_scope.cancel()


async def test_without_platform_and_peers_it_is_never_ready(autojump_clock):
    platform = Switched(MemoryPlatform(), "down")
    configuration = Configuration(platform=platform)
    async with open_timers(seed=1) as timers:
        with trio.move_on_after(60):
            await configuration.run(timers)
    assert not configuration.ready
    assert configuration.snapshot is None
    assert configuration.age_s() == float("inf")


@pytest.mark.parametrize("mode", ["down", "silent"])
async def test_a_start_during_an_outage_takes_the_peers_copy(mode, autojump_clock):
    platform = MemoryPlatform()
    await set_head(platform, 3)
    peer = Configuration(platform=platform)
    await peer.refresh()
    await trio.sleep(100)
    started = Configuration(platform=Switched(platform, mode), pull=pull_from(peer))
    assert not started.ready
    with trio.fail_after(5):
        await started.refresh()
    assert started.ready
    assert started.snapshot == snapshot_at(3)
    assert started.age_s() >= 100


async def test_an_empty_catalogue_is_taken_from_a_peer(autojump_clock):
    peer = Configuration(platform=MemoryPlatform())
    await peer.refresh()
    platform = Switched(MemoryPlatform(), "down")
    started = Configuration(platform=platform, pull=pull_from(peer))
    await started.refresh()
    assert started.ready and started.snapshot == Snapshot()


async def test_a_version_heard_from_a_peer_is_taken_while_a_poll_hangs(
    autojump_clock,
):
    platform = Switched(MemoryPlatform())
    await set_head(platform.platform, 1)
    peer = Configuration(platform=platform.platform)
    configuration = Configuration(platform=platform, pull=pull_from(peer))
    await configuration.refresh()
    platform.mode = "silent"
    await set_head(platform.platform, 2)
    await peer.refresh()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(configuration.refresh)
        await trio.sleep(0.1)
        with trio.fail_after(0.1):
            await configuration.on_newer_version(2)
        nursery.cancel_scope.cancel()
    assert configuration.version == 2


async def test_a_version_heard_from_a_peer_that_died_is_read_from_the_platform(
    autojump_clock,
):
    platform = MemoryPlatform()
    await set_head(platform, 2)

    async def pull_from_the_dead(state, known_version):
        await trio.sleep_forever()

    configuration = Configuration(platform=platform, pull=pull_from_the_dead)
    with trio.fail_after(2):
        await configuration.on_newer_version(2)
    assert configuration.version == 2


async def test_a_damaged_copy_is_refused(autojump_clock):
    platform = MemoryPlatform()
    await set_head(platform, 1)
    configuration = Configuration(platform=platform)
    await configuration.refresh()
    await set_head(platform, 2)
    platform.objects["catalogue/2"] = b"damaged"
    await configuration.refresh()
    assert configuration.version == 1


@given(st.lists(st.tuples(st.sampled_from("hpo"), st.integers(0, 5)), max_size=12))
@settings(derandomize=True, deadline=None, database=None, max_examples=200)
def test_whatever_is_offered_the_version_never_falls(steps):
    trio.run(offer_all, steps)


async def offer_all(steps):
    platform = MemoryPlatform()
    peer = Configuration(platform=platform)
    configuration = Configuration(platform=platform, pull=pull_from(peer))
    highest = 0
    for source, version in steps:
        if source == "h":
            await set_head(platform, version)
            await configuration.refresh()
        elif source == "p":
            peer.snapshot = snapshot_at(version)
            peer.version = version
            await configuration.on_newer_version(version)
        else:
            configuration.offer(snapshot_at(version))
        assert configuration.version >= highest
        if configuration.snapshot is not None:
            assert configuration.snapshot.version == configuration.version
        highest = configuration.version
