"""Connections to peers, and the requests awaiting a reply on them."""

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
    """A link to a peer over an outgoing or an incoming connection.

    ``routing_id`` is set for an incoming one, on the ROUTER socket.
    """

    socket: TrioSocket
    routing_id: bytes | None = None

    def send(self, message: Message) -> bool:
        """Queue a message; return False if it cannot be queued now."""
        return self.send_encoded(encode_message(message))

    def send_encoded(self, body: bytes) -> bool:
        """Queue an encoded message; return False if it cannot be queued now."""
        if self.routing_id is None:
            return self.socket.send_nowait([body])
        return self.socket.send_nowait([self.routing_id, body])


@attrs.define(eq=False)
class PeerLinks:
    """Outgoing connections, one per peer address.

    ``receive`` runs as a task per connection and reads its messages until it is
    closed.
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
        """Return the link to an address, connecting if necessary."""
        dealer = self._dealers_by_address.get(address)
        if dealer is None:
            dealer = self.new_dealer(address, self.identity)
            self._dealers_by_address[address] = dealer
            self.nursery.start_soon(self.receive, dealer)
        return PeerLink(dealer)

    def is_connected(self, address: str) -> bool:
        """Return whether there is a connection to an address."""
        return address in self._dealers_by_address

    def new_dealer(self, address: str, identity: PeerIdentity) -> TrioSocket:
        """Open a connection under the given identity; the caller must close it."""
        dealer = self.context.client(
            zmq.DEALER, self.context.keys.public, encode_identity(identity)
        )
        dealer.connect(f"tcp://{address}")
        return dealer

    def new_request_id(self) -> int:
        """Return a request id that has not been used before."""
        return next(self._request_ids)

    async def ask(self, link: PeerLink, request: Request) -> Reply | None:
        """Send a request and wait for the reply.

        Returns None if the request cannot be sent now.
        """
        send, receive = trio.open_memory_channel[Reply](1)
        self._reply_channel_by_id[request.request_id] = send
        try:
            return await receive.receive() if link.send(request) else None
        finally:
            del self._reply_channel_by_id[request.request_id]

    def deliver_reply(self, reply: Reply) -> None:
        """Pass a reply to the waiting task, dropping unexpected and duplicate ones."""
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
