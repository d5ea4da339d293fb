"""Messages between entry hosts, and their compact encoding."""

from typing import Any

import attrs
import cattrs
import msgpack
from cattrs.strategies import configure_union_passthrough

__all__ = [
    "Heartbeat",
    "MemberReport",
    "PeerIdentity",
    "PullReply",
    "PullRequest",
    "ExplainRequest",
    "ExplainReply",
    "Summary",
    "decode_identity",
    "decode_message",
    "encode_identity",
    "encode_message",
]

MAX_IDENTITY_BYTES = 255


@attrs.frozen
class PeerIdentity:
    """One run of an entry host; ``incarnation`` differs for each start."""

    instance: str
    data_centre: str
    address: str
    incarnation: str


@attrs.frozen
class Heartbeat:
    """The sender is alive; ``loads`` is a report as in peer_loads."""

    sequence: int
    configuration_version: int
    draining: bool
    loads: bytes


@attrs.frozen
class MemberReport:
    """What a data centre says about one of its live entry hosts."""

    identity: PeerIdentity
    configuration_version: int
    draining: bool


@attrs.frozen
class Summary:
    """The live entry hosts of a data centre, as one of them sees it.

    A relayed one was passed on by the entry host that it was sent to.
    """

    data_centre: str
    sequence: int
    members: tuple[MemberReport, ...]
    reply_wanted: bool = False
    relayed: bool = False


@attrs.frozen
class PullRequest:
    """Asks for a copy of a state if it differs from the known version."""

    request_id: int
    state: str
    known_version: int


@attrs.frozen
class PullReply:
    """Answers a PullRequest; a version of -1 says that there is no copy."""

    request_id: int
    version: int
    age_s: float
    body: bytes | None


@attrs.frozen
class ExplainRequest:
    """Asks what an entry host remembers of the decisions about one subject."""

    request_id: int
    kind: str
    subject_id: str


@attrs.frozen
class ExplainReply:
    """Answers a ExplainRequest; ``body`` holds an Explanation, cut to a size."""

    request_id: int
    instance: str
    body: bytes


Message = Heartbeat | Summary | PullRequest | PullReply | ExplainRequest | ExplainReply

_TYPES: tuple[type, ...] = (
    Heartbeat,
    Summary,
    PullRequest,
    PullReply,
    ExplainRequest,
    ExplainReply,
)
_TAG_BY_TYPE = {message_type: tag for tag, message_type in enumerate(_TYPES)}

_converter = cattrs.Converter(
    unstruct_strat=cattrs.UnstructureStrategy.AS_TUPLE,
    detailed_validation=False,
)
configure_union_passthrough(bytes | None, _converter)


def encode_message(message: Message) -> bytes:
    """Return the message as bytes.

    >>> len(encode_message(Heartbeat(1, 2500, False, b"")))
    10
    """
    tag = _TAG_BY_TYPE[type(message)]
    return msgpack.packb([tag, _converter.unstructure(message)])


def decode_message(body: bytes) -> Message | None:
    """Return the message, or None for bytes that hold no known one."""
    try:
        tag, values = msgpack.unpackb(body)
        return _converter.structure(values, _TYPES[tag])
    except (ValueError, TypeError, IndexError, KeyError, msgpack.UnpackException):
        return None


def encode_identity(identity: PeerIdentity) -> bytes:
    """Return the routing id that tells a peer who is connected.

    Raises ValueError if the names are too long.
    """
    routing_id = msgpack.packb(_converter.unstructure(identity))
    if len(routing_id) > MAX_IDENTITY_BYTES:
        raise ValueError(f"an identity has at most {MAX_IDENTITY_BYTES} bytes")
    return routing_id


def decode_identity(routing_id: bytes) -> PeerIdentity | None:
    """Return the identity in a routing id, or None."""
    try:
        values: Any = msgpack.unpackb(routing_id)
        return _converter.structure(values, PeerIdentity)
    except (ValueError, TypeError, IndexError, msgpack.UnpackException):
        return None
