"""Tests of entry hosts that exchange messages over loopback."""

from contextlib import asynccontextmanager

import attrs
import pytest
import trio
import zmq

from rhubarbmount import peer_links, peers
from rhubarbmount.catalogue import Snapshot
from rhubarbmount.configuration import Configuration
from rhubarbmount.entries import Team
from rhubarbmount.errors import AddressInUse, PlatformUnavailable
from rhubarbmount.peer_messages import (
    ExplainRequest,
    Heartbeat,
    encode_identity,
    encode_message,
)
from rhubarbmount.peers import Peers, new_identity, open_peers
from rhubarbmount.store.memory import MemoryPlatform
from rhubarbmount.timers import open_timers
from rhubarbmount.zmqtrio import CurveKeys, open_zmq
from tests.addresses import AddressBlock
from tests.relay import Relay

KEYS = CurveKeys.generate()
CLOCK_RATE = 4
TIMEOUT_S = 60
ANY_PORT = "127.0.0.1:0"
PEERS_PORT = 8083
MAX_AGE_S = 4.0


class NoPlatform:
    async def read(self, table, key):
        raise PlatformUnavailable("none")


class SilentPlatform:
    async def read(self, table, key):
        await trio.sleep_forever()


@pytest.fixture
def clock(mock_clock):
    mock_clock.rate = CLOCK_RATE
    return mock_clock


@pytest.fixture
def block():
    with AddressBlock() as block:
        yield block


def snapshot_at(version):
    snapshot = Snapshot()
    for quota in range(version):
        team = Team(name="firm-a", owner="firm-a", processors_quota=quota)
        snapshot = snapshot.with_entry("team", team)
    return snapshot


@attrs.define
class Node:
    peers: Peers
    configuration: Configuration
    loads: dict


@asynccontextmanager
async def node(
    name, addresses, data_centre="dc-a", address=None, follows=False, **options
):
    configuration = Configuration(platform=options.pop("platform", NoPlatform()))
    counts = {}
    identity = new_identity(name, data_centre, address or ANY_PORT)
    keys = options.pop("keys", KEYS)
    async with open_timers(seed=1) as timers:
        async with open_peers(
            identity,
            keys,
            addresses,
            {"catalogue": configuration},
            timers,
            in_flight=lambda: counts,
            **options,
        ) as peers:
            configuration.pull = peers.requests.pull
            async with trio.open_nursery() as nursery:
                if follows:
                    nursery.start_soon(configuration.run, timers)
                yield Node(peers, configuration, counts)
                nursery.cancel_scope.cancel()


async def wait_until(condition):
    while not condition():
        await trio.sleep(0.05)


def is_live(listener, name):
    now_s = listener.peers.clock()
    return name in [r.identity.instance for r in listener.peers.table.live(now_s)]


def loads_at(listener):
    return listener.peers.table.in_flight(["h1", "h2"], listener.peers.clock())


async def test_one_known_address_connects_both_peers(clock):
    with trio.fail_after(TIMEOUT_S):
        async with node("a", {}) as a:
            async with node("b", {a.peers.table.own_identity.address: ""}) as b:
                a.loads["h1"] = 3
                b.loads["h2"] = 4
                await wait_until(lambda: loads_at(b) == {"h1": 3})
                await wait_until(lambda: loads_at(a) == {"h2": 4})


async def test_peer_with_wrong_key_is_rejected(clock):
    with trio.fail_after(TIMEOUT_S):
        async with node("a", {}) as a:
            known = {a.peers.table.own_identity.address: "dc-a"}
            async with node("x", known, keys=CurveKeys.generate()):
                async with node("b", known):
                    await wait_until(lambda: is_live(a, "b"))
                    await trio.sleep(3)
                    assert not is_live(a, "x")


async def test_a_stranger_who_knows_the_public_key_is_not_heard(clock):
    stranger = CurveKeys.generate()
    identity = new_identity("x", "dc-a", ANY_PORT)
    with trio.fail_after(TIMEOUT_S):
        async with node("a", {}) as a, open_zmq(stranger, lambda key: False) as context:
            at_a = a.peers.table.own_identity.address
            routing_id = encode_identity(identity)
            with context.client(zmq.DEALER, KEYS.public, routing_id) as dealer:
                dealer.connect(f"tcp://{at_a}")
                async with node("b", {at_a: "dc-a"}):
                    for sequence in range(100):
                        beat = Heartbeat(sequence, 1, False, b"")
                        dealer.send_nowait([encode_message(beat)])
                        await trio.sleep(0.05)
                    await wait_until(lambda: is_live(a, "b"))
                    assert not is_live(a, "x")


async def test_new_version_reaches_peer_without_platform(clock):
    with trio.fail_after(TIMEOUT_S):
        async with node("a", {}) as a:
            async with node("b", {a.peers.table.own_identity.address: "dc-a"}) as b:
                await wait_until(lambda: is_live(a, "b") and is_live(b, "a"))
                a.configuration.offer(snapshot_at(2))
                started_s = trio.current_time()
                a.peers.announce_version()
                await wait_until(lambda: b.configuration.version == 2)
                assert trio.current_time() - started_s < 1
                assert b.configuration.snapshot == snapshot_at(2)
                a.configuration.offer(snapshot_at(3))
                await wait_until(lambda: b.configuration.version == 3)


async def test_new_version_reaches_peers_in_other_data_centre(clock):
    with trio.fail_after(TIMEOUT_S):
        async with node("a", {}) as a:
            at_a = a.peers.table.own_identity.address
            async with node("b1", {at_a: "dc-a"}, "dc-b") as b1:
                known = {b1.peers.table.own_identity.address: "dc-b"}
                async with node("b2", known, "dc-b") as b2:
                    await wait_until(
                        lambda: len(a.peers.table.reports(trio.current_time())) == 2
                    )
                    a.configuration.offer(snapshot_at(2))
                    a.peers.announce_version()
                    await wait_until(lambda: b2.configuration.version == 2)
                    everyone = {"a": 2, "b1": 2, "b2": 2}
                    for each in (a, b1, b2):
                        await wait_until(lambda each=each: versions(each) == everyone)


def versions(of):
    reports = of.peers.table.reports(of.peers.clock())
    found = {name: report.configuration_version for name, report in reports.items()}
    return {**found, of.peers.table.own_identity.instance: of.peers.version}


async def test_host_started_during_platform_outage_pulls_from_peer(clock):
    with trio.fail_after(TIMEOUT_S):
        async with node("a", {}) as a:
            a.configuration.offer(snapshot_at(2))
            async with node("b", {a.peers.table.own_identity.address: ""}) as b:
                while not b.configuration.ready:
                    await b.configuration.refresh()
                    await trio.sleep(0.05)
                assert b.configuration.snapshot == snapshot_at(2)


@pytest.mark.parametrize("platform", [NoPlatform(), SilentPlatform()])
async def test_a_data_centre_cut_off_from_the_platform_hears_in_time(clock, platform):
    with trio.fail_after(TIMEOUT_S):
        async with node("a", {}, platform=MemoryPlatform(), follows=True) as a:
            known = {a.peers.table.own_identity.address: "dc-a"}
            cut_off = {"data_centre": "dc-b", "platform": platform, "follows": True}
            async with node("b1", known, **cut_off) as b1:
                known = {**known, b1.peers.table.own_identity.address: "dc-b"}
                async with node("b2", known, **cut_off) as b2:
                    followers = (b1.configuration, b2.configuration)
                    await wait_until(lambda: all(each.ready for each in followers))
                    ages_s = [await age_after(0.05, followers) for _ in range(400)]
    assert max(ages_s) < MAX_AGE_S


async def age_after(time_s, followers):
    await trio.sleep(time_s)
    return max(each.age_s() for each in followers)


@asynccontextmanager
async def relayed(name, block):
    """Run a node that its peers reach through a relay."""
    node_address = f"{block.new_address()}:{PEERS_PORT}"
    relay_address = f"{block.new_address()}:{PEERS_PORT}"
    relay = Relay(split_address(relay_address), split_address(node_address))
    try:
        async with node(
            name, {}, address=relay_address, bind_address=node_address
        ) as reached:
            yield reached, relay
    finally:
        relay.close()


def split_address(address):
    host, port = address.rsplit(":", 1)
    return host, int(port)


async def test_a_one_way_cut_silences_one_side_only(clock, block):
    with trio.fail_after(TIMEOUT_S):
        async with relayed("a", block) as (a, relay):
            async with node("b", {a.peers.table.own_identity.address: "dc-a"}) as b:
                b.loads["h1"] = 3
                await wait_until(lambda: loads_at(a) == {"h1": 3} and is_live(b, "a"))
                relay.cut(forward=True, back=False)
                await wait_until(lambda: not is_live(a, "b"))
                assert loads_at(a) == {}
                assert is_live(b, "a")
                relay.heal()
                await wait_until(lambda: is_live(a, "b"))


async def test_peer_returning_after_partition_reports_latest_loads(clock, block):
    with trio.fail_after(TIMEOUT_S):
        async with relayed("a", block) as (a, relay):
            async with node("b", {a.peers.table.own_identity.address: "dc-a"}) as b:
                b.loads["h1"] = 3
                await wait_until(lambda: loads_at(a) == {"h1": 3})
                relay.cut()
                await wait_until(lambda: loads_at(a) == {})
                b.loads["h1"] = 7
                await trio.sleep(8)
                relay.heal()
                await wait_until(lambda: loads_at(a) == {"h1": 7})


async def test_new_instance_replaces_dead_one_at_same_address(clock, block):
    with trio.fail_after(TIMEOUT_S):
        address = f"{block.new_address()}:{PEERS_PORT}"
        async with node("a", {address: "dc-a"}) as a:
            known = {a.peers.table.own_identity.address: "dc-a"}
            async with node("old", known, address=address) as old:
                old.loads["h1"] = 9
                await wait_until(lambda: loads_at(a) == {"h1": 9})
            async with node("new", known, address=address) as new:
                await wait_until(lambda: is_live(a, "new"))
                assert not is_live(a, "old")
                assert loads_at(a) == {}
                await wait_until(lambda: is_live(new, "a"))


async def test_draining_state_is_reported_to_peers(clock):
    with trio.fail_after(TIMEOUT_S):
        async with node("a", {}) as a:
            async with node("b", {a.peers.table.own_identity.address: "dc-a"}) as b:
                await wait_until(lambda: is_live(a, "b"))
                b.peers.draining = True
                await wait_until(
                    lambda: a.peers.table.reports(a.peers.clock())["b"].draining
                )


async def test_address_in_use_is_raised(block):
    address = f"{block.new_address()}:{PEERS_PORT}"
    async with node("a", {}, address=address):
        with pytest.raises(BaseExceptionGroup) as refused:
            async with node("b", {}, address=address):
                pass
    assert refused.group_contains(AddressInUse)


def explanation_of(text):
    return lambda kind, subject_id: f"{text} of {kind} {subject_id}".encode()


async def test_explain_request_is_answered_locally_and_remotely(clock):
    with trio.fail_after(TIMEOUT_S):
        async with node("a", {}, answer=explanation_of("a")) as a:
            at_a = a.peers.table.own_identity.address
            async with node("b", {at_a: "dc-a"}, answer=explanation_of("b")) as b:
                async with node("c", {at_a: "dc-a"}, "dc-b") as c:
                    reply = await b.peers.requests.ask(at_a, "host", "h1")
                    assert (reply.instance, reply.body) == ("a", b"a of host h1")
                    for number in range(3):
                        reply = await c.peers.requests.ask(at_a, "host", f"h{number}")
                        assert reply.body == f"a of host h{number}".encode()
                    at_b = b.peers.table.own_identity.address
                    reply = await c.peers.requests.ask(at_b, "host", "h1")
                    assert reply.body == b"b of host h1"
                    assert not c.peers.links.is_connected(at_b)


async def test_remote_explain_request_keeps_existing_connection(clock):
    with trio.fail_after(TIMEOUT_S):
        async with node("a", {}, answer=explanation_of("a")) as a:
            at_a = a.peers.table.own_identity.address
            async with node("b", {at_a: "dc-a"}, "dc-b") as b:
                await wait_until(lambda: "b" in a.peers.table.reports(a.peers.clock()))
                open_link = b.peers.links.link_to(at_a)
                for number in range(5):
                    await b.peers.requests.ask(at_a, "host", "h1")
                    with trio.fail_after(5):
                        request = ExplainRequest(1000 + number, "host", "h2")
                        reply = await b.peers.links.ask(open_link, request)
                    assert reply.body == b"a of host h2"


async def test_explain_request_to_unreachable_peer_can_be_cancelled(clock, block):
    with trio.fail_after(TIMEOUT_S):
        async with relayed("a", block) as (a, relay):
            at_a = a.peers.table.own_identity.address
            async with node("b", {at_a: "dc-a"}) as b:
                await wait_until(lambda: is_live(a, "b"))
                relay.cut()
                with trio.move_on_after(1) as scope:
                    await b.peers.requests.ask(at_a, "host", "h1")
                assert scope.cancelled_caught
                assert not b.peers.links._reply_channel_by_id


async def test_heartbeat_is_encoded_once_for_all_peers(clock, monkeypatch):
    encoded = []

    def encode(message):
        encoded.append(message)
        return encode_message(message)

    for module in (peers, peer_links):
        monkeypatch.setattr(module, "encode_message", encode)
    with trio.fail_after(TIMEOUT_S):
        async with node("a", {}) as a, node("c", {}) as c:
            addresses = [each.peers.table.own_identity.address for each in (a, c)]
            async with node("b", dict.fromkeys(addresses, "dc-a")) as b:
                await wait_until(lambda: is_live(a, "b") and is_live(c, "b"))
                encoded.clear()
                b.peers.announce()
    assert [type(message) for message in encoded] == [Heartbeat]
