"""Port to the other processes of the system."""

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from typing import Any

import attrs

__all__ = ["Address", "Handler", "PeerLink", "TunnelLink", "Upgrade"]


@attrs.frozen(order=True)
class Address:
    """IP address and port of a listener."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Parse ``HOST:PORT``.

        Raises:
            ValueError: If host or port is missing, or the port is out of range.
        """
        host, separator, port = text.rpartition(":")
        if not separator or not host or not port.isdecimal():
            raise ValueError(f"{text!r} is not of the form IP:PORT")
        if not 0 < int(port) < 65_536:
            raise ValueError(f"port {port} in {text!r} is not in 1..65535")
        return cls(host, int(port))

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


# Returns the reply to a message of a peer, or an ``Upgrade``.
Handler = Callable[[Any], Awaitable[Any]]


class PeerLink(ABC):
    """Sends requests to other processes of the system and returns their replies."""

    @abstractmethod
    async def call(self, address: Address, message: Any, timeout_ms: int) -> Any:
        """Send ``message`` to ``address`` and return the reply.

        Args:
            address: Peer address of the other process.
            message: Instance of a class registered with a codec.
            timeout_ms: Time limit for the reply, in milliseconds.

        Raises:
            PeerUnreachable: If no reply was received in time; ``sent`` says whether
                part of the message may have reached the peer.
        """


@attrs.frozen
class Upgrade:
    """Reply of a handler after which the connection carries bytes instead of messages.

    Attributes:
        reply: The reply, sent first.
        run: Called with the peer's end of the connection, an object with ``recv``,
            ``send`` and ``send_end``; the connection is closed when it returns.
    """

    reply: Any
    run: Callable[[Any], Awaitable[None]]


class TunnelLink(ABC):
    """Opens connections to servers through other processes of the system."""

    @abstractmethod
    async def open_tunnel(
        self, address: Address, message: Any, timeout_ms: int, opened: type
    ) -> Any:
        """Send a request for a tunnel and return the connection, or another reply.

        The connection has ``recv``, ``sendall``, ``fileno`` and ``close`` like a
        socket; an interruption raises ``ConnectionResetError`` and is no end.

        Args:
            address: Peer address of the other process.
            message: The request.
            timeout_ms: Time limit for the reply, in milliseconds.
            opened: Class of the reply after which the tunnel is open.

        Raises:
            PeerUnreachable: If no reply was received in time.
        """
