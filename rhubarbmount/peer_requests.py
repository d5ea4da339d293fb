"""Requests to peers for copies of state and for recorded decisions."""

import random
import secrets
from collections.abc import Callable

import attrs
import trio

from rhubarbmount.follower import PulledState
from rhubarbmount.peer_links import PeerLink, PeerLinks
from rhubarbmount.peer_messages import (
    ExplainReply,
    ExplainRequest,
    PullReply,
    PullRequest,
    decode_message,
)
from rhubarbmount.peer_table import PeerTable

__all__ = ["PeerRequests"]

CONNECTION_POLL_S = 0.02
FRESH_COPY_S = 1.5
PULL_ATTEMPTS = 3
LOCAL_PULL_ATTEMPTS = 2
PULL_TIMEOUT_S = 0.4


@attrs.define(eq=False)
class PeerRequests:
    """Send requests to peers, preferring those of the own data centre."""

    table: PeerTable
    links: PeerLinks
    clock: Callable[[], float] = trio.current_time
    _random: random.Random = attrs.field(factory=random.Random)

    async def pull(self, state: str, known_version: int) -> PulledState | None:
        """Pull a state from peers until a copy is fresh; return the latest, if any.

        A copy is fresh up to an age of FRESH_COPY_S.
        """
        best: PulledState | None = None
        for link in self._pull_order():
            request = PullRequest(self.links.new_request_id(), state, known_version)
            reply = None
            with trio.move_on_after(PULL_TIMEOUT_S):
                reply = await self.links.ask(link, request)
            if not isinstance(reply, PullReply) or reply.version < known_version:
                continue
            if best is None or _is_later(reply, best):
                best = PulledState(reply.version, reply.age_s, reply.body)
            if reply.age_s <= FRESH_COPY_S:
                break
        return best

    async def ask(self, address: str, kind: str, subject_id: str) -> ExplainReply:
        """Ask the peer at an address for its recorded decisions; wait for the reply.

        A separate connection is opened for a request to another data centre.
        """
        request = ExplainRequest(self.links.new_request_id(), kind, subject_id)
        if address in self.table.local_addresses():
            return await self._ask_local(address, request)
        return await self._ask_remote(address, request)

    async def _ask_local(self, address: str, request: ExplainRequest) -> ExplainReply:
        while True:
            reply = await self.links.ask(self.links.link_to(address), request)
            if isinstance(reply, ExplainReply):
                return reply
            await trio.sleep(CONNECTION_POLL_S)

    async def _ask_remote(self, address: str, request: ExplainRequest) -> ExplainReply:
        own_identity = attrs.evolve(
            self.table.own_identity, incarnation=secrets.token_hex(4)
        )
        with self.links.new_dealer(address, own_identity) as dealer:
            while not PeerLink(dealer).send(request):
                await trio.sleep(CONNECTION_POLL_S)
            while True:
                reply = decode_message((await dealer.receive())[0])
                if isinstance(reply, ExplainReply):
                    return reply

    def _pull_order(self) -> list[PeerLink]:
        live = self.table.live(self.clock())
        self._random.shuffle(live)
        live.sort(key=lambda record: -record.configuration_version)
        addresses = [record.identity.address for record in live]
        others = [a for a in self.table.local_addresses() if a not in addresses]
        self._random.shuffle(others)
        local = list(dict.fromkeys(addresses + others))
        order = local[:LOCAL_PULL_ATTEMPTS] + self._remote_addresses()
        order += local[LOCAL_PULL_ATTEMPTS:]
        return [self.links.link_to(address) for address in order[:PULL_ATTEMPTS]]

    def _remote_addresses(self) -> list[str]:
        """Return addresses in other data centres, already connected ones first."""
        remote = self.table.remote_addresses(self.clock())
        self._random.shuffle(remote)
        return sorted(remote, key=lambda address: not self.links.is_connected(address))


def _is_later(reply: PullReply, best: PulledState) -> bool:
    """Return whether a reply has a newer version, or the same with a lower age."""
    return (reply.version, -reply.age_s) > (best.version, -best.age_s)
