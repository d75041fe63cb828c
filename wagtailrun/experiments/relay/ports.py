"""Ports of a relay entry on an emulated network."""

from collections.abc import Callable, Collection
from typing import Any

import attrs

from wagtailrun.adapters.connection_pool import ConnectionPool
from wagtailrun.adapters.connector import Connector, OpenConnection
from wagtailrun.adapters.http_client import HttpClient
from wagtailrun.adapters.http_connection import HttpConnection
from wagtailrun.adapters.server_state import CallerServer, HttpHandler
from wagtailrun.discovery import ConfigurationFormat
from wagtailrun.experiments.relay.attempt_log import AttemptLog
from wagtailrun.experiments.relay.link import EmulatedLink, EmulatedPeerServer
from wagtailrun.experiments.relay.network import Network, Process
from wagtailrun.experiments.relay.server import EmulatedServer
from wagtailrun.experiments.relay.stage_calls import PlainStageClient
from wagtailrun.experiments.relay.wire import PlainWire
from wagtailrun.gossip.incarnations import INCARNATION_TIME_SHIFT
from wagtailrun.ports.link import Address, Handler, PeerListener
from wagtailrun.process.descriptors import DescriptorShares
from wagtailrun.relay.entry_ports import EntryPorts, EntryProtocol
from wagtailrun.stages import StageClient
from wagtailrun.targets.decisions import DecisionLog

__all__ = ["EmulatedPorts", "PlainProtocol"]

# Descriptors of an emulated process, whatever the VM of the experiment allows.
DESCRIPTORS = 20_000


class EmulatedConnector(Connector):
    """Connects to the processes of an emulated network.

    Args:
        network: Network.
        process: The process that connects.
    """

    def __init__(self, network: Network, process: Process):
        self.network = network
        self.process = process

    async def connect(self, address: Address, timeout_ms: int) -> OpenConnection:
        """Open a connection; see ``Connector``."""
        sock = await self.network.connect(self.process, address, timeout_ms)
        return OpenConnection(sock)

    def may_reuse(self, address: Address) -> bool:
        """Return True: the client checks each idle connection itself."""
        return True


@attrs.frozen(eq=False)
class EmulatedDescriptors(DescriptorShares):
    """Descriptors of an emulated process, which are its connections.

    Attributes:
        count: Returns the number of its connections.
    """

    count: Callable[[], int] = lambda: 0

    def overload(self, unanswered: int) -> str:
        """Return why new requests are refused; see ``DescriptorShares``."""
        needed = self.count() + unanswered
        if needed <= self.for_requests:
            return ""
        return f"{needed} of {self.limit} descriptors are needed"


class EmulatedPorts(EntryPorts):
    """Time, connections and servers of an emulated entry.

    Args:
        network: Network.
        process: Process of the entry.
        seed: Seed of all random choices; another one at each start.
        decisions: Is told what the entry decides about requests.
    """

    def __init__(
        self, network: Network, process: Process, seed: int, decisions: DecisionLog
    ):
        super().__init__(
            network.clock,
            EmulatedLink(network, process),
            EmulatedConnector(network, process),
            EmulatedDescriptors(DESCRIPTORS, lambda: network.open_sockets(process)),
            seed,
            decisions,
        )
        self.network = network
        self.process = process

    def incarnation(self) -> int:
        """Return the incarnation of a process that starts now."""
        return self.clock.wall_ms() << INCARNATION_TIME_SHIFT

    def connection_pool(
        self, known_addresses: Callable[[], Collection[Address]]
    ) -> ConnectionPool[HttpConnection]:
        """Return a pool of emulated connections; see ``EntryPorts``."""
        return ConnectionPool(
            self.clock,
            self.descriptors.idle_to_targets,
            known_addresses,
            find_readable=self.network.find_readable,
        )

    def caller_server(
        self, address: Address, handler: HttpHandler, **options: Any
    ) -> CallerServer:
        """Return a server that takes requests as they are; see ``EntryPorts``."""
        return EmulatedServer(self.process, address, handler, **options)

    def peer_server(self, address: Address, handler: Handler) -> PeerListener:
        """Return a server that takes messages as they are; see ``EntryPorts``."""
        return EmulatedPeerServer(self.process, handler, self.clock)


class PlainProtocol(EntryProtocol):
    """Formats of emulated entries.

    Args:
        network: Network.
        log: Log of the attempts.
        configuration_format: Format of the fleet configuration.
    """

    def __init__(
        self,
        network: Network,
        log: AttemptLog,
        configuration_format: ConfigurationFormat,
    ):
        self.log = log
        self._wire = PlainWire(network.clock, log)
        self._configuration_format = configuration_format

    @property
    def configuration_format(self) -> ConfigurationFormat:
        """Format of the fleet configuration."""
        return self._configuration_format

    @property
    def wire(self) -> PlainWire:
        """Wire format of requests and answers."""
        return self._wire

    def stage_client(self, http: HttpClient) -> StageClient:
        """Return a client for the targets of stage services."""
        return PlainStageClient(http, self.log)
