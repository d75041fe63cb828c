"""Port to the other processes of the system."""

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from typing import Any

import attrs

__all__ = ["Address", "Handler", "PeerLink"]


@attrs.frozen(order=True)
class Address:
    """IP number and port of a listener."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Parse ``HOST:PORT``; raises ValueError if it is not an IP and a port."""
        host, separator, port = text.rpartition(":")
        if not separator or not host or not port.isdecimal():
            raise ValueError(f"{text!r} is not of the form IP:PORT")
        if not 0 < int(port) < 65_536:
            raise ValueError(f"port {port} in {text!r} is not in 1..65535")
        return cls(host, int(port))

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


# Answers one message of a peer with another.
Handler = Callable[[Any], Awaitable[Any]]


class PeerLink(ABC):
    """Request and reply between processes of the system."""

    @abstractmethod
    async def call(self, address: Address, message: Any, timeout_ms: int) -> Any:
        """Send ``message`` to ``address`` and return the reply.

        Args:
            address: Peer address of the other process.
            message: Instance of a class registered with a codec.
            timeout_ms: Longest wait for the reply, in milliseconds.

        Raises:
            PeerUnreachable: If there was no reply in time; ``sent`` tells whether
                any byte may have reached the peer.
        """
