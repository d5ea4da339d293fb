"""Communication with the other entry hosts (peers)."""

import itertools
import logging
import secrets
from collections.abc import AsyncIterator, Callable, Iterator, Mapping
from contextlib import asynccontextmanager

import attrs
import trio
import zmq

from rhubarbmount.follower import Follower
from rhubarbmount.log import event
from rhubarbmount.peer_links import PeerLink, PeerLinks
from rhubarbmount.peer_loads import LoadReporter
from rhubarbmount.peer_messages import (
    ExplainReply,
    ExplainRequest,
    Heartbeat,
    Message,
    PeerIdentity,
    PullReply,
    PullRequest,
    Summary,
    decode_identity,
    decode_message,
    encode_message,
)
from rhubarbmount.peer_requests import PeerRequests
from rhubarbmount.peer_table import PeerTable
from rhubarbmount.timers import TimerService
from rhubarbmount.zmqtrio import CurveKeys, TrioSocket, ZmqContext, open_zmq

__all__ = ["Peers", "new_identity", "open_peers"]

HEARTBEAT_PERIOD_S = 1.0

_logger = logging.getLogger(__name__)


def new_identity(instance: str, data_centre: str, address: str) -> PeerIdentity:
    """Create an identity with a new random incarnation."""
    return PeerIdentity(instance, data_centre, address, secrets.token_hex(4))


def _explain_nothing(kind: str, subject_id: str) -> bytes:
    return b""


@attrs.define(eq=False)
class Peers:
    """Exchange heartbeats, summaries and copies of state with peers.

    ``followers`` maps names to the states that peers may pull. ``in_flight``
    returns this instance's requests in flight by host id. ``answer`` returns this
    instance's recorded decisions about a subject, as the body of an ExplainReply.
    """

    context: ZmqContext
    nursery: trio.Nursery
    table: PeerTable
    followers: Mapping[str, Follower]
    in_flight: Callable[[], Mapping[str, int]] = dict
    answer: Callable[[str, str], bytes] = _explain_nothing
    clock: Callable[[], float] = trio.current_time
    draining: bool = False
    messages_heard: int = 0
    links: PeerLinks = attrs.field(init=False)
    requests: PeerRequests = attrs.field(init=False)
    _sequences: Iterator[int] = attrs.field(factory=itertools.count)
    _reporter: LoadReporter = attrs.field(factory=LoadReporter)

    def __attrs_post_init__(self) -> None:
        self.links = PeerLinks(
            self.context,
            self.nursery,
            self.table.own_identity,
            self._receive_from_server,
        )
        self.requests = PeerRequests(self.table, self.links, self.clock)

    @property
    def version(self) -> int:
        """Return the configuration version in force on this entry host."""
        return self.followers["catalogue"].version

    async def run(self, router: TrioSocket, timers: TimerService) -> None:
        """Exchange messages with the peers until cancelled."""
        self.nursery.start_soon(self._receive_from_clients, router)
        async for _ in timers.every("heartbeat", HEARTBEAT_PERIOD_S):
            self.announce()
            self._send_due_summaries()

    def announce(self) -> None:
        """Send a heartbeat to every peer in this data centre.

        Addresses whose data centre is not known yet are included.
        """
        beat = Heartbeat(
            next(self._sequences),
            self.version,
            self.draining,
            self._reporter.report(self.in_flight()),
        )
        self._send_to(self.table.local_addresses(), beat)

    def announce_version(self) -> None:
        """Announce the version immediately, also to the delegated data centres."""
        self.announce()
        self.table.request_summaries(self.clock())
        self._send_due_summaries()

    def _send_due_summaries(self) -> None:
        now_s = self.clock()
        for data_centre, address in self.table.due_summaries(now_s):
            sent = self.links.link_to(address).send(self._summary(reply_wanted=True))
            self.table.record_summary_attempt(data_centre, sent, now_s)

    def _summary(self, reply_wanted: bool) -> Summary:
        summary = self.table.summarise(self.version, self.draining, self.clock())
        return attrs.evolve(summary, reply_wanted=reply_wanted)

    async def _receive_from_clients(self, router: TrioSocket) -> None:
        while True:
            routing_id, *bodies = await router.receive()
            identity = decode_identity(routing_id)
            message = decode_message(bodies[0]) if bodies else None
            if identity is not None and message is not None:
                self._handle(identity, PeerLink(router, routing_id), message)

    async def _receive_from_server(self, dealer: TrioSocket) -> None:
        while True:
            try:
                bodies = await dealer.receive()
            except trio.ClosedResourceError:
                return
            message = decode_message(bodies[0])
            if message is not None:
                self._handle(None, PeerLink(dealer), message)

    def _handle(
        self, identity: PeerIdentity | None, link: PeerLink, message: Message
    ) -> None:
        self.messages_heard += 1
        if isinstance(message, Heartbeat) and identity is not None:
            self._on_heartbeat(identity, message)
        elif isinstance(message, Summary):
            self._on_summary(link, message)
        elif isinstance(message, PullRequest):
            self._reply_to_pull(link, message)
        elif isinstance(message, ExplainRequest):
            self._reply_to_explain(link, message)
        elif isinstance(message, (PullReply, ExplainReply)):
            self.links.deliver_reply(message)

    def _on_heartbeat(self, identity: PeerIdentity, beat: Heartbeat) -> None:
        known = self.table.knows(identity)
        if not self.table.record_heartbeat(identity, beat, self.clock()):
            return
        if not known:
            event(
                _logger,
                "peer-heard",
                instance=identity.instance,
                data_centre=identity.data_centre,
                address=identity.address,
            )
        self._on_version(beat.configuration_version)

    def _on_summary(self, link: PeerLink, summary: Summary) -> None:
        if self.table.hear_summary(summary, self.clock()):
            self._relay(summary)
        for member in summary.members:
            self._on_version(member.configuration_version)
        if summary.reply_wanted:
            link.send(self._summary(reply_wanted=False))

    def _relay(self, summary: Summary) -> None:
        relayed = attrs.evolve(summary, reply_wanted=False, relayed=True)
        if summary.relayed:
            return
        self._send_to(
            self.table.addresses(self.table.own_identity.data_centre), relayed
        )

    def _send_to(self, addresses: list[str], message: Message) -> None:
        """Encode a message once and send it to each address."""
        body = encode_message(message)
        for address in addresses:
            self.links.link_to(address).send_encoded(body)

    def _on_version(self, version: int) -> None:
        if version > self.version:
            self.nursery.start_soon(
                self.followers["catalogue"].on_newer_version, version
            )

    def _reply_to_pull(self, link: PeerLink, request: PullRequest) -> None:
        follower = self.followers.get(request.state)
        copy = None if follower is None else follower.share(request.known_version)
        if copy is None:
            link.send(PullReply(request.request_id, -1, 0.0, None))
            return
        reply = PullReply(request.request_id, copy.version, copy.age_s, copy.body)
        link.send(reply)

    def _reply_to_explain(self, link: PeerLink, request: ExplainRequest) -> None:
        body = self.answer(request.kind, request.subject_id)
        reply = ExplainReply(request.request_id, self.table.own_identity.instance, body)
        link.send(reply)

    def forget_address(self, address: str) -> None:
        """Remove an address at which no peer is expected and close its connection."""
        self.table.forget_address(address)
        self.links.forget(address)


@asynccontextmanager
async def open_peers(
    identity: PeerIdentity,
    keys: CurveKeys,
    addresses: Mapping[str, str],
    followers: Mapping[str, Follower],
    timers: TimerService,
    in_flight: Callable[[], Mapping[str, int]] = dict,
    bind_address: str = "",
    answer: Callable[[str, str], bytes] = _explain_nothing,
) -> AsyncIterator[Peers]:
    """Exchange messages with peers for the duration of the block.

    ``addresses`` maps the initially known addresses to data centres, or to "" where
    the data centre is unknown. The socket is bound to ``bind_address``, or else to the
    identity's address; port 0 selects a free port. Raises AddressInUse.
    """
    async with open_zmq(keys, lambda key: key == keys.public) as context:
        with context.server(zmq.ROUTER) as router:
            router.bind(f"tcp://{bind_address or identity.address}")
            table = PeerTable(_with_bound_port(identity, router))
            for address, data_centre in addresses.items():
                table.learn_address(address, data_centre)
            async with trio.open_nursery() as nursery:
                peers = Peers(context, nursery, table, followers, in_flight, answer)
                nursery.start_soon(peers.run, router, timers)
                yield peers
                nursery.cancel_scope.cancel()
            peers.links.close()


def _with_bound_port(identity: PeerIdentity, router: TrioSocket) -> PeerIdentity:
    if not identity.address.endswith(":0"):
        return identity
    return attrs.evolve(identity, address=router.endpoint.removeprefix("tcp://"))
