"""Port to the other processes of the system."""

import ipaddress
import re
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from typing import Any

import attrs

__all__ = [
    "Address",
    "Handler",
    "PeerLink",
    "PeerListener",
    "TunnelLink",
    "Upgrade",
]

PORT_PATTERN = re.compile("[0-9]{1,5}")
# Characters of a malformed address that an error message shows.
MAX_SHOWN_CHARACTERS = 80


@attrs.frozen(order=True)
class Address:
    """IP address and port of a listener."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Parse ``IP:PORT``; brackets around an IPv6 address are optional.

        Raises:
            ValueError: If the host is no IPv4 or IPv6 address, or the port is not a
                decimal number from 1 to 65535.
        """
        shown = repr(text[:MAX_SHOWN_CHARACTERS])
        host, separator, port = text.rpartition(":")
        # An IPv6 address with a zone has a meaning on one VM only.
        if not separator or not PORT_PATTERN.fullmatch(port) or "%" in host:
            raise ValueError(f"{shown} is not of the form IP:PORT")
        if not 0 < int(port) < 65_536:
            raise ValueError(f"port {port} in {shown} is not in 1..65535")
        if host.startswith("[") and host.endswith("]") and ":" in host:
            host = host[1:-1]
        try:
            return cls(str(ipaddress.ip_address(host)), int(port))
        except ValueError as error:
            raise ValueError(f"the host in {shown} is not an IP address") from error

    @property
    def shown(self) -> str:
        """The address in a message; a host of an older build may have any length."""
        return str(self)[:MAX_SHOWN_CHARACTERS]

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


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
            MessageError: If the message does not fit its schema; nothing was sent.
        """


@attrs.frozen
class Upgrade:
    """Reply of a handler after which the connection carries bytes instead of messages.

    Attributes:
        reply: The reply, sent first.
        run: Called with the peer's end of the connection, an object with ``recv``,
            ``is_readable``, ``send``, ``send_end`` and ``send_interruption``; returns
            how it ended.
        close: Called once in the end with a description, also if ``run`` was not
            called because the reply could not be sent.
    """

    reply: Any
    run: Callable[[Any], Awaitable[str]]
    close: Callable[[str], Awaitable[None]]


class TunnelLink(PeerLink):
    """Also opens connections to servers through other processes of the system."""

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


class PeerListener(ABC):
    """Answers the messages of other processes of the system."""

    @abstractmethod
    async def serve(self) -> None:
        """Serve until cancelled.

        Raises:
            SettingsError: If the address cannot be listened on.
        """

    @abstractmethod
    async def drain(self, limit_ms: int) -> None:
        """Refuse new connections, answer what has arrived, and end the connections.

        Args:
            limit_ms: How long to wait for the replies, in milliseconds.
        """
