"""What a relay entry reaches the outside by, and the adapters of a daemon for it."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Collection
from typing import Any

import xxhash

from wagtailrun.adapters.connection_pool import ConnectionPool
from wagtailrun.adapters.http_client import Connector, DirectConnector, HttpClient
from wagtailrun.adapters.http_connection import HttpConnection
from wagtailrun.adapters.http_server import HttpServer
from wagtailrun.adapters.server_state import CallerServer, HttpHandler
from wagtailrun.adapters.tcp_link import PeerServer, TcpPeerLink
from wagtailrun.clock import Clock, SystemClock
from wagtailrun.discovery import ConfigurationFormat
from wagtailrun.gossip.incarnations import new_incarnation
from wagtailrun.ports.link import Address, Handler, PeerListener, TunnelLink
from wagtailrun.process.descriptors import DescriptorShares, descriptor_limit
from wagtailrun.relay.core.port import RelayWire
from wagtailrun.settings import RelayEntrySettings
from wagtailrun.stages import StageClient
from wagtailrun.targets.decisions import NO_DECISIONS, DecisionLog

__all__ = ["EntryPorts", "EntryProtocol", "SystemPorts"]


class EntryProtocol(ABC):
    """The formats that operators, callers and targets use with an entry."""

    @property
    @abstractmethod
    def configuration_format(self) -> ConfigurationFormat:
        """Format of the fleet configuration."""

    @property
    @abstractmethod
    def wire(self) -> RelayWire:
        """Wire format of requests and answers."""

    @abstractmethod
    def stage_client(self, http: HttpClient) -> StageClient:
        """Return a client for the targets of stage services."""


class EntryPorts(ABC):
    """Time, connections, servers and chance, as one entry process uses them.

    Args:
        clock: Clock.
        link: Link to the other processes of the system.
        connector: Connects to targets, without another entry.
        descriptors: Division of the descriptors of the process.
        seed: Seed of all random choices; None if they need not be repeated.
        decisions: Is told what the entry decides about requests.
    """

    def __init__(
        self,
        clock: Clock,
        link: TunnelLink,
        connector: Connector,
        descriptors: DescriptorShares,
        seed: int | None = None,
        decisions: DecisionLog = NO_DECISIONS,
    ):
        self.clock = clock
        self.link = link
        self.connector = connector
        self.descriptors = descriptors
        self.seed = seed
        self.decisions = decisions

    def seed_of(self, part: str) -> int | None:
        """Return the seed of a part of the entry, None if there is no seed."""
        if self.seed is None:
            return None
        return xxhash.xxh3_64_intdigest(f"{self.seed}/{part}".encode())

    @abstractmethod
    def incarnation(self) -> int:
        """Return the incarnation of a process that starts now."""

    @abstractmethod
    def connection_pool(
        self, known_addresses: Callable[[], Collection[Address]]
    ) -> ConnectionPool[HttpConnection]:
        """Return a pool of idle connections to targets.

        Args:
            known_addresses: Returns the addresses of the targets that may get requests.
        """

    @abstractmethod
    def caller_server(
        self, address: Address, handler: HttpHandler, **options: Any
    ) -> CallerServer:
        """Return a server for HTTP requests.

        Args:
            address: Address to listen on.
            handler: Returns the response to each request.
            **options: Further arguments of ``ServerState``.
        """

    @abstractmethod
    def peer_server(self, address: Address, handler: Handler) -> PeerListener:
        """Return a server for the messages of other processes.

        Args:
            address: Address to listen on.
            handler: Returns the reply to each message.
        """


class SystemPorts(EntryPorts):
    """Sockets and clock of the operating system.

    Args:
        settings: Checked settings of the entry.
    """

    def __init__(self, settings: RelayEntrySettings):
        descriptors = DescriptorShares(descriptor_limit(settings.max_fds))
        super().__init__(
            SystemClock(),
            TcpPeerLink(settings.peer_secret, descriptors),
            DirectConnector(),
            descriptors,
        )
        self.secret = settings.peer_secret

    def incarnation(self) -> int:
        """Return the incarnation of a process that starts now."""
        return new_incarnation(self.clock.wall_ms())

    def connection_pool(
        self, known_addresses: Callable[[], Collection[Address]]
    ) -> ConnectionPool[HttpConnection]:
        """Return a pool of sockets; see ``EntryPorts``."""
        return ConnectionPool(
            self.clock, self.descriptors.idle_to_targets, known_addresses
        )

    def caller_server(
        self, address: Address, handler: HttpHandler, **options: Any
    ) -> CallerServer:
        """Return a server that listens on a socket; see ``EntryPorts``."""
        return HttpServer(address, handler, **options)

    def peer_server(self, address: Address, handler: Handler) -> PeerListener:
        """Return a server that listens on a socket; see ``EntryPorts``."""
        return PeerServer(address, self.secret, handler)
