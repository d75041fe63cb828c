"""Emulated network: processes, the paths between them, and the connections on these."""

from collections.abc import Awaitable, Callable
from typing import Any

import attrs
import curio

from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.exceptions import ConnectFailed
from wagtailrun.experiments.relay.sockets import Connection, VirtualSocket
from wagtailrun.ports.link import Address
from wagtailrun.virtual_time import TaskOwner, VirtualClock

__all__ = ["Network", "Process"]

# Longer than any time limit of a caller.
FOREVER_S = 86_400.0


async def _keep_open(sock: VirtualSocket) -> None:
    """Serve a connection that only shows that its server accepts it."""
    while await sock.recv(1):
        pass
    await sock.close()


@attrs.define(eq=False)
class Process:
    """A process on a VM of its own.

    Attributes:
        name: Name.
        address: Address that it is reached at.
        data_centre: Data centre of its VM.
        serve: Serves one accepted connection.
        handle: Returns the reply to a message of another process; None if it takes
            none.
        is_alive: Whether the process runs.
        is_lost: Whether nothing passes to or from its VM.
        accepts: Whether it accepts new connections and messages.
        tasks: All its tasks.
    """

    name: str
    address: Address
    data_centre: str
    serve: Callable[[VirtualSocket], Awaitable[None]] = _keep_open
    handle: Callable[[Any], Awaitable[Any]] | None = None
    is_alive: bool = True
    is_lost: bool = False
    accepts: bool = True
    tasks: TaskOwner = attrs.field(factory=TaskOwner, repr=False)


class Network:
    """Paths between processes, with the faults that interrupt them.

    Args:
        clock: Virtual clock.
        delay_ms: One-way delay of every path, in milliseconds.
    """

    def __init__(self, clock: VirtualClock, delay_ms: float):
        self.clock = clock
        self.delay_s = delay_ms / MS_PER_SECOND
        self.processes_by_address: dict[Address, Process] = {}
        # Data centres whose messages, or messages to which, are lost.
        self.cut_outward: set[str] = set()
        self.cut_inward: set[str] = set()
        # Pairs of processes between which nothing passes, by their names.
        self.lost_paths: set[frozenset[str]] = set()
        # Open connections, and the two processes of each.
        self.ends_by_connection: dict[Connection, tuple[Process, Process]] = {}
        self.sockets_by_number: dict[int, VirtualSocket] = {}
        self.last_number = 0

    def add(self, process: Process) -> None:
        """Add a process, in place of an earlier one at its address."""
        self.processes_by_address[process.address] = process

    # Paths

    def drops(self, sender: str, receiver: str) -> bool:
        """Return whether what one data centre sends to another is lost."""
        return sender != receiver and (
            sender in self.cut_outward or receiver in self.cut_inward
        )

    def is_reachable(self, one: Process, other: Process) -> bool:
        """Return whether packets pass in both directions between two processes."""
        if one.is_lost or other.is_lost:
            return False
        if self.lost_paths and frozenset((one.name, other.name)) in self.lost_paths:
            return False
        here, there = one.data_centre, other.data_centre
        return not (self.drops(here, there) or self.drops(there, here))

    async def cut(self, data_centre: str, *, outward: bool, inward: bool) -> None:
        """Lose what a data centre sends to others, or what they send to it."""
        if outward:
            self.cut_outward.add(data_centre)
        if inward:
            self.cut_inward.add(data_centre)
        await self._lose_paths()

    async def heal(self, data_centre: str) -> None:
        """End the cut of a data centre; connections that have not ended go on."""
        self.cut_outward.discard(data_centre)
        self.cut_inward.discard(data_centre)
        for connection, ends in list(self.ends_by_connection.items()):
            if self.is_reachable(*ends):
                await connection.restore_path()

    async def lose(self, process: Process) -> None:
        """Lose the VM of a process: nothing passes to or from it any more."""
        process.is_lost = True
        await self._lose_paths()

    async def lose_path(self, one: Process, other: Process) -> None:
        """Lose everything between two processes."""
        self.lost_paths.add(frozenset((one.name, other.name)))
        await self._lose_paths()

    async def _lose_paths(self) -> None:
        for connection, ends in list(self.ends_by_connection.items()):
            if not self.is_reachable(*ends):
                await connection.lose_path()

    async def end(self, process: Process) -> None:
        """End a process: its tasks end, and its connections are reset.

        Of a VM that is lost the other side does not learn of that.
        """
        process.is_alive = process.accepts = False
        await process.tasks.cancel_all()
        for connection, ends in list(self.ends_by_connection.items()):
            if process in ends:
                await connection.reset_by(ends.index(process))

    async def revive(self, process: Process) -> None:
        """Start a process again that has ended, on a VM that is reached."""
        process.is_lost = False
        # The new process resets the connections of the old one.
        for connection, ends in list(self.ends_by_connection.items()):
            if process in ends and self.is_reachable(*ends):
                await connection.restore_path()
        process.is_alive = process.accepts = True

    async def stall(self, process: Process) -> None:
        """Let all open connections to a process deliver nothing any more."""
        for connection, (_, server) in self.ends_by_connection.items():
            if server is process:
                connection.is_stalled = True

    # Connections

    async def connect(
        self, client: Process, address: Address, timeout_ms: float
    ) -> VirtualSocket:
        """Return a connection to the process at an address.

        Raises:
            ConnectFailed: If it is refused, or is not open in time.
        """
        left_s = timeout_ms / MS_PER_SECOND
        server = self.processes_by_address.get(address)
        if server is None or not self.is_reachable(client, server):
            await curio.sleep(left_s)
            raise ConnectFailed(f"cannot connect to {address}: timed out")
        await curio.sleep(min(2 * self.delay_s, left_s))
        if not self.is_reachable(client, server):
            await curio.sleep(max(left_s - 2 * self.delay_s, 0))
            raise ConnectFailed(f"cannot connect to {address}: timed out")
        if not (server.is_alive and server.accepts):
            raise ConnectFailed(f"cannot connect to {address}: refused", refused=True)
        connection = self.join(client, server)
        await server.tasks.spawn(server.serve, connection.sockets[1])
        return connection.sockets[0]

    def join(self, client: Process, server: Process) -> Connection:
        """Return a new connection between two processes, the client's socket first."""
        numbers = self.last_number + 1, self.last_number + 2
        self.last_number += 2
        connection = Connection(self.clock, self.delay_s, numbers, self._drop)
        self.ends_by_connection[connection] = client, server
        for sock in connection.sockets:
            self.sockets_by_number[sock.number] = sock
        return connection

    def _drop(self, connection: Connection) -> None:
        """Forget a connection that both sides have closed."""
        self.ends_by_connection.pop(connection, None)
        for sock in connection.sockets:
            self.sockets_by_number.pop(sock.number, None)

    def find_readable(self, numbers: Any) -> list[int]:
        """Return the numbers of the sockets that have bytes, or an end, to read."""
        known = self.sockets_by_number
        return [each for each in numbers if each not in known or known[each].is_ready()]

    def open_sockets(self, process: Process) -> int:
        """Return how many connections a process has."""
        return sum(process in ends for ends in self.ends_by_connection.values())

    # Messages

    async def send(self, sender: Process, receiver: Process) -> None:
        """Wait until a message has arrived; for ever if it is lost."""
        if self.is_reachable(sender, receiver):
            await curio.sleep(self.delay_s)
            if self.is_reachable(sender, receiver):
                return
        await curio.sleep(FOREVER_S)
