"""Connects peer communication with the routing decisions of one entry host."""

from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager

import attrs
import trio

from rhubarbmount.configuration import Configuration
from rhubarbmount.fleet_view import FleetView
from rhubarbmount.instances import InstanceRows
from rhubarbmount.peer_explanations import InstanceMemory, PeerExplanations, ask_peers
from rhubarbmount.peers import Peers, new_identity, open_peers
from rhubarbmount.request_policy import RequestPolicy
from rhubarbmount.settings import PeerSettings, Settings
from rhubarbmount.shares import EntryHosts
from rhubarbmount.store.client import PlatformClient
from rhubarbmount.timers import TimerService
from rhubarbmount.zmqtrio import CurveKeys

__all__ = ["Membership", "open_membership"]

APPLY_PERIOD_S = 1.0


@attrs.define(eq=False)
class Membership:
    """Keep the routing policy up to date with the reports of the peers."""

    settings: Settings
    configuration: Configuration
    fleet_view: FleetView
    policy: RequestPolicy
    peers: Peers
    rows: InstanceRows
    _peers_in_flight: Mapping[str, int] = attrs.field(factory=dict, init=False)

    @property
    def address(self) -> str:
        """Return the IP and port on which peers reach this entry host."""
        return self.peers.table.own_identity.address

    async def run(self, timers: TimerService) -> None:
        """Announce configuration versions and apply peer reports until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.rows.run, timers)
            nursery.start_soon(self._announce_versions)
            async for _ in timers.every("membership", APPLY_PERIOD_S):
                self.apply()

    def apply(self) -> None:
        """Pass the live entry hosts and their loads to the routing policy."""
        table = self.peers.table
        data_centre_by_id = {
            instance: report.identity.data_centre
            for instance, report in table.reports(self.peers.clock()).items()
        }
        known = self.policy.entry_hosts
        if data_centre_by_id != known.data_centre_by_id:
            self.policy.set_entry_hosts(
                EntryHosts(known.own_id, known.data_centre, data_centre_by_id)
            )
        host_ids = self.fleet_view.host_by_id
        in_flight = table.in_flight(host_ids, self.peers.clock())
        if in_flight or self._peers_in_flight:
            self.policy.set_peers_in_flight(in_flight)
        self._peers_in_flight = in_flight

    async def explain_from_peers(self, kind: str, subject_id: str) -> PeerExplanations:
        """Ask all other known entry hosts for their decisions about a subject."""
        instance_by_address = self.peers.table.instance_by_address(self.peers.clock())
        for record in self.rows.by_instance.values():
            if record.instance != self.settings.instance:
                instance_by_address[record.address] = record.instance
        return await ask_peers(
            self.peers.requests.ask, instance_by_address, kind, subject_id
        )

    def announce_draining(self) -> None:
        """Announce to the peers that this entry host is shutting down."""
        self.peers.draining = True
        self.peers.announce()

    async def _announce_versions(self) -> None:
        async for _ in self.configuration.subscribe():
            self.peers.announce_version()


@asynccontextmanager
async def open_membership(
    settings: Settings,
    peer_settings: PeerSettings,
    platform: PlatformClient,
    configuration: Configuration,
    fleet_view: FleetView,
    policy: RequestPolicy,
    memory: InstanceMemory,
    timers: TimerService,
) -> AsyncIterator[Membership]:
    """Run the membership for the duration of the block."""
    address = f"{peer_settings.address}:{peer_settings.port}"
    identity = new_identity(settings.instance, settings.data_centre, address)
    keys = CurveKeys(peer_settings.public_key, peer_settings.secret_key)
    followers = {"catalogue": configuration, "fleet": fleet_view}
    async with open_peers(
        identity,
        keys,
        dict.fromkeys(peer_settings.peers, ""),
        followers,
        timers,
        in_flight=policy.own_in_flight,
        answer=memory.answer,
    ) as peers:
        configuration.pull = peers.requests.pull
        fleet_view.pull = peers.requests.pull
        rows = InstanceRows(
            platform,
            peers.table.own_identity,
            lambda: configuration.version,
            lambda: peers.table.reports(peers.clock()),
            peers.table.learn_address,
            peers.forget_address,
        )
        membership = Membership(
            settings, configuration, fleet_view, policy, peers, rows
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(membership.run, timers)
            yield membership
            nursery.cancel_scope.cancel()
