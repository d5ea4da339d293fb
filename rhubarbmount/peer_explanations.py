"""Explanations from the other entry hosts about the decisions on one subject."""

import logging
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, Protocol

import attrs
import msgpack
import trio

from rhubarbmount.decisions import Explanation
from rhubarbmount.explain import DecisionMemory
from rhubarbmount.log import event
from rhubarbmount.peer_messages import ExplainReply
from rhubarbmount.request_traces import RequestTraces

__all__ = [
    "PeerExplanations",
    "ExplainFromPeers",
    "InstanceMemory",
    "no_peer_explanations",
    "ask_peers",
    "decode_body",
    "encode_body",
]

REPLY_TIMEOUT_S = 1.0
BODY_LIMIT_BYTES = 16384

_logger = logging.getLogger(__name__)


@attrs.frozen
class PeerExplanations:
    """Explanations from other entry hosts, and who did and did not respond."""

    found: list[Explanation] = attrs.field(factory=list)
    answered: list[str] = attrs.field(factory=list)
    silent: list[str] = attrs.field(factory=list)


ExplainFromPeers = Callable[[str, str], Awaitable[PeerExplanations]]


class SendExplainRequest(Protocol):
    """Sends an explain request to the peer at an address and awaits the reply."""

    async def __call__(self, address: str, kind: str, subject_id: str) -> ExplainReply:
        """Return the reply."""


async def no_peer_explanations(kind: str, subject_id: str) -> PeerExplanations:
    """Return an empty result, for an instance without peers."""
    return PeerExplanations()


async def ask_peers(
    ask: SendExplainRequest,
    instance_by_address: Mapping[str, str],
    kind: str,
    subject_id: str,
    timeout_s: float = REPLY_TIMEOUT_S,
) -> PeerExplanations:
    """Query all addresses concurrently; list as silent those that time out."""
    reply_by_address: dict[str, ExplainReply] = {}

    async def ask_one(address: str) -> None:
        reply_by_address[address] = await ask(address, kind, subject_id)

    with trio.move_on_after(timeout_s):
        async with trio.open_nursery() as nursery:
            for address in instance_by_address:
                nursery.start_soon(ask_one, address)
    found = [_decode_reply(reply) for reply in reply_by_address.values()]
    answered = {reply.instance for reply in reply_by_address.values()}
    silent = {
        name
        for address, name in instance_by_address.items()
        if address not in reply_by_address
    }
    return PeerExplanations(
        [part for part in found if part is not None],
        sorted(answered),
        sorted(silent - answered),
    )


def encode_body(explanation: Explanation) -> bytes:
    """Encode an explanation, dropping the oldest decisions beyond the size limit."""
    while True:
        body = msgpack.packb(explanation.dump(), default=str)
        if len(body) <= BODY_LIMIT_BYTES:
            return body
        kept = explanation.decisions[1:]
        explanation = attrs.evolve(explanation, decisions=kept)


def decode_body(body: bytes) -> Explanation:
    """Decode the explanation in a peer's reply.

    Raises ValueError, TypeError or KeyError if the bytes are malformed.
    """
    values: Any = msgpack.unpackb(body)
    return Explanation.load(values)


def _decode_reply(reply: ExplainReply) -> Explanation | None:
    try:
        return decode_body(reply.body)
    except (ValueError, TypeError, KeyError, ExceptionGroup) as error:
        event(
            _logger,
            "answer-refused",
            logging.WARNING,
            instance=reply.instance,
            reason=repr(error),
        )
        return None


@attrs.frozen(eq=False)
class InstanceMemory:
    """The decisions and request traces held in memory by one entry host."""

    instance: str
    decisions: DecisionMemory
    traces: RequestTraces

    def explain(self, kind: str, subject_id: str) -> Explanation:
        """Return the stored decisions on a subject, with this instance as source."""
        if kind == "request":
            return self._with_source(self.traces.explain(subject_id))
        return self._with_source(self.decisions.explain(kind, subject_id))

    def answer(self, kind: str, subject_id: str) -> bytes:
        """Return the encoded explanation, for a peer's request."""
        return encode_body(self.explain(kind, subject_id))

    def _with_source(self, explanation: Explanation) -> Explanation:
        named = tuple(
            attrs.evolve(decision, source=self.instance)
            for decision in explanation.decisions
        )
        return attrs.evolve(explanation, decisions=named)
