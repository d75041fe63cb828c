"""Messages by which an entry opens connections to targets through another entry."""

import enum

import attrs

from wagtailrun.codec import Channel, Codec

__all__ = [
    "OpenTunnel",
    "PauseNoted",
    "ReportPause",
    "TunnelOpened",
    "TunnelRefusal",
    "TunnelRefused",
]


class TunnelRefusal(enum.StrEnum):
    """Why an entry opens no tunnel."""

    # It reaches targets beside this one, but not this one.
    UNREACHABLE = "unreachable"
    # It reaches none in the data centre of this one.
    NO_PATH = "no-path"
    # It reaches no target itself, which says nothing about this one.
    CUT_OFF = "cut-off"
    # It stood still while it connected, or while it carried another connection, which
    # says nothing about any path.
    LATE = "late"
    LEFT = "left"
    PAUSED = "paused"
    STOPPING = "stopping"
    FULL = "full"


@attrs.frozen
class OpenTunnel:
    """Asks for a connection to a target.

    After the reply ``TunnelOpened`` the connection to the peer carries the bytes of the
    connection to the target, until either side closes it.

    Attributes:
        sender: Name of the entry that asks.
        target: Name of the target; empty if it is not known.
        incarnation: Its incarnation.
        address: Its address.
        probe: Whether to close the connection at once: the sender only asks whether
            the target accepts connections.
        limit_ms: Time limit of the connection to the target.
        silent_ms: For how long a connection that the receiver carries has been silent;
            it refuses if it stood still meanwhile. 0 if there is none.
    """

    sender: str
    target: str
    incarnation: int
    address: str
    probe: bool = False
    limit_ms: int = 0
    silent_ms: int = 0


@attrs.frozen
class TunnelOpened:
    """Reply to ``OpenTunnel``.

    Attributes:
        took_ms: Time that the target took to accept the connection.
    """

    took_ms: int


@attrs.frozen
class TunnelRefused:
    """Reply to ``OpenTunnel`` without a connection; no byte reached the target.

    Attributes:
        reason: A ``TunnelRefusal``.
        detail: Description for engineers.
        wait_ms: How long the target wants no requests; 0 unless it asked for a pause.
        refused: Whether the target refused the connection, as opposed to no reply.
    """

    # pycapnp does not accept enum members.
    reason: str = attrs.field(converter=str)
    detail: str
    wait_ms: int = 0
    refused: bool = False


@attrs.frozen
class ReportPause:
    """Tells the entry that carried a request that the target asked for a pause.

    Attributes:
        target: Name of the target.
        incarnation: Its incarnation.
        address: Its address.
        pause_ms: How long it wants no requests.
    """

    target: str
    incarnation: int
    address: str
    pause_ms: int


@attrs.frozen
class PauseNoted:
    """Reply to ``ReportPause``.

    Attributes:
        known: Whether the receiver knows the target.
    """

    known: bool


CODEC = Codec(
    Channel.TUNNELS,
    "tunnels.capnp",
    [OpenTunnel, PauseNoted, ReportPause, TunnelOpened, TunnelRefused],
)
