"""Messages that every process of the system understands."""

import attrs

from wagtailrun.codec import Channel, Codec

__all__ = ["PeerError", "Ping", "Pong"]


@attrs.frozen
class PeerError:
    """The peer could not answer.

    Attributes:
        reason: Stable name of the cause.
        detail: One sentence for a person.
    """

    reason: str
    detail: str


@attrs.frozen
class Ping:
    """Asks a peer whether it runs."""

    sender: str


@attrs.frozen
class Pong:
    """Answers a ping."""

    sender: str


CODEC = Codec(Channel.PEER, "peer.capnp", [PeerError, Ping, Pong])
