"""Messages between entry hosts and their msgpack encoding."""

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
    """Identity of a running entry host; ``incarnation`` is new for each start."""

    instance: str
    data_centre: str
    address: str
    incarnation: str


@attrs.frozen
class Heartbeat:
    """Liveness message; ``loads`` is a report as encoded by peer_loads.LoadReporter."""

    sequence: int
    configuration_version: int
    draining: bool
    loads: bytes


@attrs.frozen
class MemberReport:
    """State of a live entry host, as reported by its data centre."""

    identity: PeerIdentity
    configuration_version: int
    draining: bool


@attrs.frozen
class Summary:
    """The live entry hosts of a data centre, as seen by one of them.

    ``relayed`` is set if the entry host that received the summary forwarded it to
    its own data centre.
    """

    data_centre: str
    sequence: int
    members: tuple[MemberReport, ...]
    reply_wanted: bool = False
    relayed: bool = False


@attrs.frozen
class PullRequest:
    """Request for a copy of a state if its version differs from the known one."""

    request_id: int
    state: str
    known_version: int


@attrs.frozen
class PullReply:
    """Reply to a PullRequest; a version of -1 means that no copy is available."""

    request_id: int
    version: int
    age_s: float
    body: bytes | None


@attrs.frozen
class ExplainRequest:
    """Request for an entry host's recorded decisions about one subject."""

    request_id: int
    kind: str
    subject_id: str


@attrs.frozen
class ExplainReply:
    """Reply to an ExplainRequest; ``body`` is a size-limited Explanation."""

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
    """Encode a message.

    >>> len(encode_message(Heartbeat(1, 2500, False, b"")))
    10
    """
    tag = _TAG_BY_TYPE[type(message)]
    return msgpack.packb([tag, _converter.unstructure(message)])


def decode_message(body: bytes) -> Message | None:
    """Decode a message; return None if the bytes are not a known message."""
    try:
        tag, values = msgpack.unpackb(body)
        return _converter.structure(values, _TYPES[tag])
    except (ValueError, TypeError, IndexError, KeyError, msgpack.UnpackException):
        return None


def encode_identity(identity: PeerIdentity) -> bytes:
    """Encode an identity as the ZeroMQ routing id that identifies a peer to others.

    Raises ValueError if it is longer than MAX_IDENTITY_BYTES.
    """
    routing_id = msgpack.packb(_converter.unstructure(identity))
    if len(routing_id) > MAX_IDENTITY_BYTES:
        raise ValueError(f"encoded peer identity exceeds {MAX_IDENTITY_BYTES} bytes")
    return routing_id


def decode_identity(routing_id: bytes) -> PeerIdentity | None:
    """Decode the identity in a routing id; return None if it is not valid."""
    try:
        values: Any = msgpack.unpackb(routing_id)
        return _converter.structure(values, PeerIdentity)
    except (ValueError, TypeError, IndexError, msgpack.UnpackException):
        return None
