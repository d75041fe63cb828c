"""A relay entry as an emulated process."""

from collections.abc import Awaitable, Callable
from typing import Any

import curio

from wagtailrun.adapters.http_messages import Request
from wagtailrun.experiments.relay.network import Network, Process
from wagtailrun.experiments.relay.ports import EmulatedPorts, PlainProtocol
from wagtailrun.experiments.relay.server import CallerExchange, EmulatedServer
from wagtailrun.ports.link import Address
from wagtailrun.process.supervisor import supervise
from wagtailrun.relay.entry import RelayEntry
from wagtailrun.settings import RelayEntrySettings
from wagtailrun.targets.decisions import DecisionLog

__all__ = ["EmulatedEntry"]

OK = 200
# Nothing listens there: the network passes requests and checks as they are.
UNUSED = Address("0.0.0.0", 1)
# Host of the load balancer that checks the entries.
BALANCER = "10.9.0.1"


class EmulatedEntry:
    """The composition root of a relay entry, on an emulated network.

    Args:
        network: Network.
        name: Name of the entry.
        address: Address for other processes.
        data_centre: Data centre.
        seeds: Addresses of the control members.
        protocol: Formats.
        seed: Seed of all random choices, another one at each start.
        settings: Settings that differ from their defaults, by name.
        decisions: Is told what the entry decides about requests.
    """

    def __init__(
        self,
        network: Network,
        name: str,
        address: Address,
        data_centre: str,
        seeds: tuple[Address, ...],
        protocol: PlainProtocol,
        seed: int,
        settings: dict[str, Any],
        decisions: DecisionLog,
    ):
        self.network = network
        self.name = name
        self.data_centre = data_centre
        self.process = Process(name, address, data_centre)
        network.add(self.process)
        checked = RelayEntrySettings(
            name=name,
            data_centre=data_centre,
            caller_address=UNUSED,
            ready_address=UNUSED,
            peer_address=address,
            peer_secret=b"",
            metrics_address=UNUSED,
            seeds=seeds,
            **settings,
        )
        ports = EmulatedPorts(network, self.process, seed, decisions)
        self.entry = RelayEntry(checked, protocol, lambda: checked, ports)
        # Checks of the load balancer that failed in a row.
        self.failed_checks = 0
        # Ends with a planned stop.
        self.stopping: curio.Task | None = None

    @property
    def server(self) -> EmulatedServer:
        """The server for callers."""
        server = self.entry.caller_server
        assert isinstance(server, EmulatedServer)
        return server

    async def start(self) -> None:
        """Start all tasks of the entry."""
        await self.spawn(self.entry.peer_server.serve)
        stop, *tasks = self.entry.tasks()
        self.stopping = await self.spawn(stop)
        for task in tasks:
            await self.spawn(task)

    async def spawn(self, task: Callable[[], Awaitable[None]]) -> curio.Task:
        """Spawn a task of the entry, which is started again after an error."""
        return await self.process.tasks.spawn(supervise, task.__qualname__, task)

    async def kill(self) -> None:
        """End the process: all its connections are reset."""
        await self.network.end(self.process)
        await self.server.reset_all()

    async def stop(self) -> None:
        """Stop as planned, as on a signal; return when the process has ended."""
        self.entry.signals.count_stop()
        if self.stopping is not None:
            await self.stopping.wait()
        await self.kill()

    async def check(self) -> bool:
        """Return whether a check of the load balancer finds it ready."""
        if not self.process.is_alive:
            return False
        request = Request("GET", "/readyz", peer=BALANCER)
        response = await self.entry.readiness.handle(request)
        return response.status == OK

    async def submit(self, request: Request) -> CallerExchange | None:
        """Take a request of a caller; None if the connection is refused."""
        return await self.server.submit(request)
