"""Connections to peers, and the requests that wait for a reply over them."""

import itertools
from collections.abc import Awaitable, Callable, Iterator
from contextlib import suppress

import attrs
import trio
import zmq

from rhubarbmount.peer_messages import (
    ExplainReply,
    ExplainRequest,
    Message,
    PeerIdentity,
    PullReply,
    PullRequest,
    encode_identity,
    encode_message,
)
from rhubarbmount.zmqtrio import TrioSocket, ZmqContext

__all__ = ["PeerLink", "PeerLinks", "Reply", "Request"]

Reply = PullReply | ExplainReply
Request = PullRequest | ExplainRequest


@attrs.frozen
class PeerLink:
    """A way to one peer: our connection to it, or its connection to us."""

    socket: TrioSocket
    routing_id: bytes | None = None

    def send(self, message: Message) -> bool:
        """Queue a message; return False if it can't be queued now."""
        return self.send_encoded(encode_message(message))

    def send_encoded(self, body: bytes) -> bool:
        """Queue a message that is encoded already; return False if it can't be now."""
        if self.routing_id is None:
            return self.socket.send_nowait([body])
        return self.socket.send_nowait([self.routing_id, body])


@attrs.define(eq=False)
class PeerLinks:
    """Keep one connection to each address that is spoken to.

    ``receive`` reads what comes over a connection until it is closed; it runs as a task
    for each.
    """

    context: ZmqContext
    nursery: trio.Nursery
    identity: PeerIdentity
    receive: Callable[[TrioSocket], Awaitable[None]]
    _dealers_by_address: dict[str, TrioSocket] = attrs.field(factory=dict)
    _reply_channel_by_id: dict[int, trio.MemorySendChannel[Reply]] = attrs.field(
        factory=dict
    )
    _request_ids: Iterator[int] = attrs.field(factory=itertools.count)

    def link_to(self, address: str) -> PeerLink:
        """Return the connection to an address, a new one if there is none."""
        dealer = self._dealers_by_address.get(address)
        if dealer is None:
            dealer = self.new_dealer(address, self.identity)
            self._dealers_by_address[address] = dealer
            self.nursery.start_soon(self.receive, dealer)
        return PeerLink(dealer)

    def is_connected(self, address: str) -> bool:
        """Tell whether there is a connection to an address."""
        return address in self._dealers_by_address

    def new_dealer(self, address: str, identity: PeerIdentity) -> TrioSocket:
        """Open a connection that is not kept, under an identity of its own."""
        dealer = self.context.client(
            zmq.DEALER, self.context.keys.public, encode_identity(identity)
        )
        dealer.connect(f"tcp://{address}")
        return dealer

    def new_request_id(self) -> int:
        """Return an id that no earlier request has."""
        return next(self._request_ids)

    async def ask(self, link: PeerLink, request: Request) -> Reply | None:
        """Return the reply, or None if the request can't be sent now."""
        send, receive = trio.open_memory_channel[Reply](1)
        self._reply_channel_by_id[request.request_id] = send
        try:
            return await receive.receive() if link.send(request) else None
        finally:
            del self._reply_channel_by_id[request.request_id]

    def deliver_reply(self, reply: Reply) -> None:
        """Hand a reply to who waits for it; a second one to a request is dropped."""
        waiting = self._reply_channel_by_id.get(reply.request_id)
        if waiting is not None:
            with suppress(trio.WouldBlock):
                waiting.send_nowait(reply)

    def forget(self, address: str) -> None:
        """Close the connection to an address."""
        dealer = self._dealers_by_address.pop(address, None)
        if dealer is not None:
            dealer.close()

    def close(self) -> None:
        """Close all connections."""
        for dealer in self._dealers_by_address.values():
            dealer.close()
        self._dealers_by_address.clear()
