"""Pool of idle connections, which ends them when they are of no more use."""

import select
from collections import defaultdict
from collections.abc import Callable, Collection, Iterable
from typing import Any, Generic, Protocol, TypeVar

import curio

from wagtailrun.clock import MS_PER_SECOND, Clock
from wagtailrun.ports.link import Address
from wagtailrun.process.descriptors import DescriptorShares
from wagtailrun.process.supervisor import supervise

__all__ = ["ConnectionPool", "PooledConnection", "poll_readable"]

MAX_IDLE_PER_ADDRESS = 32
# A connection that has ended holds its descriptor for up to this long. One poll of a
# thousand connections takes under a millisecond.
SWEEP_INTERVAL_MS = 1_000


class PooledConnection(Protocol):
    """A connection that may carry further requests.

    Attributes:
        sock: Socket, or an object that is used like one.
        idle_since_ms: When it was returned to the pool, on the clock.
        max_idle_ms: How long it may be idle, in milliseconds.
    """

    sock: Any
    idle_since_ms: int
    max_idle_ms: int

    @property
    def identities(self) -> Collection[str]:
        """Identities of the requests that it carried."""

    def is_reusable(self) -> bool:
        """Return whether it may carry another request."""


C = TypeVar("C", bound=PooledConnection)


class ConnectionPool(Generic[C]):
    """Idle connections by the address of the server.

    A connection ends when it has been idle for too long, when its server has closed it
    or is no longer known, or as the oldest one when there are too many. A task looks
    for those while there are idle connections, so that none waits for the next request
    to its server, which may never come.

    Args:
        clock: Clock that measures the age of idle connections.
        max_idle: Largest number of idle connections; by default the share of the
            process's descriptors that is meant for them.
        known_addresses: Returns the addresses of the servers that may get requests; by
            default any may.
        max_per_address: Largest number of idle connections to one server.
        find_readable: Returns which descriptors have bytes, or an end, to read; by
            default the operating system tells.
    """

    def __init__(
        self,
        clock: Clock,
        max_idle: int | None = None,
        known_addresses: Callable[[], Collection[Address]] | None = None,
        max_per_address: int = MAX_IDLE_PER_ADDRESS,
        find_readable: Callable[[Iterable[int]], list[int]] | None = None,
    ):
        self.clock = clock
        self.find_readable = find_readable or poll_readable
        self.max_idle = (
            DescriptorShares().idle_to_targets if max_idle is None else max_idle
        )
        self.known_addresses = known_addresses
        self.max_per_address = max_per_address
        # The newest ones last.
        self.idle_by_address: dict[Address, list[C]] = defaultdict(list)
        # The same connections, the oldest ones first.
        self.addresses_by_connection: dict[C, Address] = {}
        self.is_sweeping = False

    def __len__(self) -> int:
        return len(self.addresses_by_connection)

    async def take(self, address: Address, identity: str = "") -> C | None:
        """Return an idle connection that is still usable, or None.

        Args:
            address: Address of the server.
            identity: Identity of the request, if any; a connection that carried one
                with the same identity is not returned.
        """
        while True:
            idle = self.idle_by_address.get(address, ())
            connection = next(
                (
                    connection
                    for connection in reversed(idle)
                    if not identity or identity not in connection.identities
                ),
                None,
            )
            if connection is None:
                return None
            self._remove(connection)
            if not self._is_expired(connection) and not self._find_readable(
                [connection]
            ):
                return connection
            await connection.sock.close()

    async def release(self, address: Address, connection: C) -> None:
        """Keep a connection for further requests, or close it."""
        idle = self.idle_by_address.get(address, ())
        full = len(idle) >= self.max_per_address
        if full or not self.max_idle or not connection.is_reusable():
            await connection.sock.close()
            return
        connection.idle_since_ms = self.clock.now_ms()
        self.idle_by_address[address].append(connection)
        self.addresses_by_connection[connection] = address
        if not self.is_sweeping:
            self.is_sweeping = True
            await curio.spawn(
                supervise, "close idle connections", self._sweep_while_idle, daemon=True
            )
        if len(self) > self.max_idle:
            await self._close([next(iter(self.addresses_by_connection))])

    async def drop(self, address: Address) -> None:
        """Close the idle connections to a server."""
        await self._close(list(self.idle_by_address.get(address, ())))

    async def sweep(self) -> None:
        """Close the connections that are of no more use."""
        ended = set(self._find_readable(self.addresses_by_connection))
        known = None if self.known_addresses is None else set(self.known_addresses())
        await self._close(
            [
                connection
                for connection, address in self.addresses_by_connection.items()
                if connection in ended
                or self._is_expired(connection)
                or (known is not None and address not in known)
            ]
        )

    async def _sweep_while_idle(self) -> None:
        while self.addresses_by_connection:
            await curio.sleep(SWEEP_INTERVAL_MS / MS_PER_SECOND)
            await self.sweep()
        self.is_sweeping = False

    def _is_expired(self, connection: C) -> bool:
        age_ms = self.clock.now_ms() - connection.idle_since_ms
        return age_ms >= connection.max_idle_ms

    async def _close(self, connections: list[C]) -> None:
        # Nobody else may take one of them while another is being closed.
        for connection in connections:
            self._remove(connection)
        for connection in connections:
            await connection.sock.close()

    def _remove(self, connection: C) -> None:
        address = self.addresses_by_connection.pop(connection)
        idle = self.idle_by_address[address]
        idle.remove(connection)
        if not idle:
            del self.idle_by_address[address]

    def _find_readable(self, connections: Iterable[C]) -> list[C]:
        """Return those on which the server sent something or closed its side."""
        by_descriptor = {each.sock.fileno(): each for each in connections}
        return [by_descriptor[number] for number in self.find_readable(by_descriptor)]


def poll_readable(descriptors: Iterable[int]) -> list[int]:
    """Return the descriptors that have bytes, or an end, to read."""
    poll = select.poll()
    for descriptor in descriptors:
        poll.register(descriptor, select.POLLIN)
    return [number for number, _ in poll.poll(0)]
