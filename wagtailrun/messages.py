"""Messages that every process of the system handles."""

import attrs

from wagtailrun.codec import Channel, Codec

__all__ = ["STOPPING", "PeerError", "Ping", "Pong"]

# Reason of a peer that stops and has not taken the message.
STOPPING = "stopping"


@attrs.frozen
class PeerError:
    """Reply of a peer that could not process a message.

    Attributes:
        reason: Stable name of the cause.
        detail: Description for engineers.
    """

    reason: str
    detail: str


@attrs.frozen
class Ping:
    """Requests a ``Pong``, to check that the peer is running."""

    sender: str


@attrs.frozen
class Pong:
    """Reply to ``Ping``."""

    sender: str


CODEC = Codec(Channel.PEER, "peer.capnp", [PeerError, Ping, Pong])
