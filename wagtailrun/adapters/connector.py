"""Opens connections to servers, directly or through a peer that carries them."""

import enum
from abc import ABC, abstractmethod
from collections.abc import Awaitable
from typing import Any

import attrs

from wagtailrun.adapters import numeric_connection
from wagtailrun.adapters.dead_peers import enable_dead_peer_detection
from wagtailrun.exceptions import ConnectFailed, ConnectShortage, MalformedAddress
from wagtailrun.logs import events
from wagtailrun.ports.link import Address
from wagtailrun.process.shortages import (
    SHORTAGE_RETRY_MS,
    is_shortage,
    is_shortage_for_one,
)

__all__ = ["Connector", "DirectConnector", "OpenConnection", "Reachability"]


@attrs.frozen
class OpenConnection:
    """A new connection to a server.

    Attributes:
        sock: Socket, or an object that is used like one.
        carrier: Peer that carries the connection; None if it is direct.
    """

    sock: Any
    carrier: Address | None = None


class Reachability(enum.Enum):
    """Whether a server accepts connections."""

    ACCEPTS = "accepts"
    REFUSES = "refuses"
    SILENT = "silent"
    # Nothing distinguishes the server from the path to it.
    UNKNOWN = "unknown"


class Connector(ABC):
    """Opens connections to servers."""

    @abstractmethod
    async def connect(self, address: Address, timeout_ms: int) -> OpenConnection:
        """Open a connection.

        Args:
            address: Address of the server.
            timeout_ms: Time limit, in milliseconds.

        Raises:
            ConnectShortage: If this process lacks what it needs for that.
            ConnectFailed: If it cannot be opened.
        """

    async def probe(self, address: Address, timeout_ms: int) -> Reachability:
        """Return whether a server accepts connections; no request is sent."""
        return await self._find_reachability(self.connect(address, timeout_ms))

    @staticmethod
    async def _find_reachability(
        connecting: Awaitable[OpenConnection],
    ) -> Reachability:
        """Return what an attempt to connect shows, and close the connection."""
        try:
            opened = await connecting
        except ConnectFailed as error:
            if not error.confirmed:
                return Reachability.UNKNOWN
            return Reachability.REFUSES if error.refused else Reachability.SILENT
        await opened.sock.close()
        return Reachability.ACCEPTS

    @abstractmethod
    def may_reuse(self, address: Address) -> bool:
        """Return whether idle connections to a server may carry another request."""

    async def confirms_silence(
        self, address: Address, carrier: Address | None, since_ms: int
    ) -> bool:
        """Return whether silence on a connection is that of the server.

        Args:
            address: Address of the server.
            carrier: Peer that carries the connection; None if it is direct.
            since_ms: When the silence began, on the clock.
        """
        return True


class DirectConnector(Connector):
    """Connects to servers directly."""

    async def connect(self, address: Address, timeout_ms: int) -> OpenConnection:
        """Open a connection; see ``Connector``."""
        try:
            sock = await numeric_connection.open_in_time(address, timeout_ms)
        except (OSError, MalformedAddress) as error:
            # Members of an older build accept a malformed address.
            detail = f"cannot connect to {address.shown}: {error}"
            if is_shortage(error):
                events.log(events.CONNECT_SHORT, address=str(address), detail=detail)
                only_here = is_shortage_for_one(error)
                raise ConnectShortage(
                    detail, SHORTAGE_RETRY_MS, only_here=only_here
                ) from error
            is_refused = isinstance(error, ConnectionRefusedError)
            raise ConnectFailed(detail, refused=is_refused) from error
        enable_dead_peer_detection(sock)
        return OpenConnection(sock)

    def may_reuse(self, address: Address) -> bool:
        """Return True: the client checks each idle connection itself."""
        return True
