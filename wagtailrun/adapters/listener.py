"""Listens on TCP addresses; a failure names the address."""

import socket
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any

import curio
from curio.io import Socket

from wagtailrun.adapters.handshakes import (
    admit_handshakes,
    refuse_handshakes,
    round_trip_ms,
)
from wagtailrun.adapters.numeric_connection import address_family
from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.exceptions import MalformedAddress, SettingsError
from wagtailrun.logs import events
from wagtailrun.ports.link import Address

__all__ = ["Listener", "listen"]

# A process without free file descriptors gets some when connections end.
ACCEPT_PAUSE_MS = 50
# How long a listener waits for handshakes before its close: for two round trips of the
# farthest of its latest clients, within these bounds. A client that begins a handshake
# meanwhile is refused a second later than others.
MIN_HANDSHAKE_MS = 1
MAX_HANDSHAKE_MS = 100
LATEST_CLIENTS = 64


async def listen(
    address: Address, serve_connection: Callable[[Any, Any], Awaitable[None]]
) -> None:
    """Accept connections until cancelled; see ``Listener``."""
    await Listener(address, serve_connection).run()


class Listener:
    """Accepts connections at an address, with one task for each.

    Args:
        address: Address to listen on.
        serve_connection: Called with the socket and the client address of each
            connection.
        clients_begin: Whether clients send first, so that a connection that the close
            resets may have brought a request.
    """

    def __init__(
        self,
        address: Address,
        serve_connection: Callable[[Any, Any], Awaitable[None]],
        clients_begin: bool = True,
    ):
        self.address = address
        self.serve_connection = serve_connection
        self.clients_begin = clients_begin
        self.sock: Any = None
        # Set while it runs, as is the socket.
        self.tasks: Any = None
        self.acceptor: curio.Task | None = None
        self.is_closed = False
        self.accepted = 0
        # Whether no further handshake begins.
        self.refuses_handshakes = False
        # Round trips of the handshakes of the latest clients.
        self.round_trips_ms: deque[float] = deque(maxlen=LATEST_CLIENTS)

    async def run(self) -> None:
        """Accept connections until cancelled.

        Raises:
            SettingsError: If the address cannot be listened on.
        """
        address = self.address
        try:
            self.sock = curio.tcp_server_socket(
                address.host, address.port, address_family(address)
            )
        except (OSError, MalformedAddress) as error:
            raise SettingsError(f"cannot listen on {address}: {error}") from error
        # Accepted sockets inherit it. Otherwise what follows the first write of an
        # answer waits for an acknowledgement, which peers delay by 40 ms.
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        async with self.sock, curio.TaskGroup() as self.tasks:
            self.acceptor = await self.tasks.spawn(self._accept)
            try:
                async for task in self.tasks:
                    task.joined = True
                    if task is self.acceptor:
                        raise task.exception
                # Closed; the tasks of all connections have ended.
                await curio.Event().wait()
            finally:
                # The group would not cancel a connection that is accepted meanwhile.
                if self.acceptor is not None:
                    await self.acceptor.cancel()

    @property
    def is_listening(self) -> bool:
        """Whether connections still come into the queue of the kernel."""
        return self.sock is not None and not self.is_closed

    async def close(
        self,
        limit_ms: float,
        keeps_queue: bool = False,
        pause_ms: int = ACCEPT_PAUSE_MS,
    ) -> None:
        """Accept the connections that clients have opened, and refuse further ones.

        Args:
            limit_ms: How long to wait for free descriptors, in milliseconds.
            keeps_queue: Whether the listener stays open if there were none in that
                time; another call can then accept the connections.
            pause_ms: Time between two attempts to accept without a free descriptor, in
                milliseconds.
        """
        if not self.is_listening:
            return
        if self.acceptor is not None:
            # Else its end would be that of the listener.
            acceptor, self.acceptor = self.acceptor, None
            await acceptor.cancel()
        end_s = await curio.clock() + limit_ms / MS_PER_SECOND
        is_empty = await self._accept_all(end_s, pause_ms)
        # Another call may have closed it.
        if self.is_closed or (keeps_queue and not is_empty):
            return
        if not is_empty:
            detail = "the listener closed; connections may be left in its queue"
            events.log(events.ACCEPT_FAILED, address=str(self.address), detail=detail)
        self.is_closed = True
        await self.sock.close()
        address = str(self.address)
        events.log(events.LISTENER_CLOSED, address=address, accepted=self.accepted)

    async def _accept_all(self, end_s: float, pause_ms: int) -> bool:
        """Accept connections, also those whose handshake has begun.

        The close would reset what the kernel completes after the last acceptance.

        Returns:
            Whether none is left. If one is, the listener goes on to take connections.
        """
        while await self._accept_opened(end_s, pause_ms):
            if self.is_closed or not self._refuse_handshakes():
                return True
            wait_ms = max(2 * max(self.round_trips_ms, default=0.0), MIN_HANDSHAKE_MS)
            await curio.sleep(min(wait_ms, MAX_HANDSHAKE_MS) / MS_PER_SECOND)
            if await self._accept_opened(0, pause_ms):
                return True
            # It may be long until a descriptor is free, and until then clients wait.
            self._admit_handshakes()
            if await curio.clock() >= end_s:
                break
        return False

    def _refuse_handshakes(self) -> bool:
        """Begin no further handshake; return False if there is no need, or no way."""
        if not self.clients_begin:
            return False
        try:
            refuse_handshakes(self.sock)
        except OSError as error:
            detail = str(error)
            address = str(self.address)
            events.log(events.HANDSHAKES_GO_ON, address=address, detail=detail)
            return False
        self.refuses_handshakes = True
        return True

    def _admit_handshakes(self) -> None:
        """Begin handshakes again, unless another call has let them begin."""
        if self.refuses_handshakes:
            self.refuses_handshakes = False
            admit_handshakes(self.sock)

    async def _accept_opened(self, end_s: float, pause_ms: int) -> bool:
        """Accept connections; return whether none is left in the queue of the kernel.

        A limit that interrupts the start of a task would lose its connection, so the
        time is looked at only where there is nothing to accept with.
        """
        is_short = False
        # Another call may close the listener during a pause.
        while not self.is_closed:
            try:
                client, peer = self.sock._socket.accept()
            except BlockingIOError:
                return True
            except OSError as error:
                if not is_short:
                    self._log_failure(error)
                is_short = True
                left_s = end_s - await curio.clock()
                if left_s <= 0:
                    return False
                await curio.sleep(min(pause_ms / MS_PER_SECOND, left_s))
                continue
            await self._start(Socket(client), peer)
            del client
        return True

    async def _accept(self) -> None:
        """Accept connections for ever; a failure to accept one ends nothing."""
        while True:
            try:
                client, peer = await self.sock.accept()
            except OSError as error:
                self._log_failure(error)
                await curio.sleep(ACCEPT_PAUSE_MS / MS_PER_SECOND)
                continue
            await self._start(client, peer)
            # The task alone refers to the connection, and closes it at its end.
            del client

    async def _start(self, client: Socket, peer: Any) -> None:
        """Serve an accepted connection in a task of its own."""
        self.accepted += 1
        self.round_trips_ms.append(round_trip_ms(client))
        await self.tasks.spawn(self._serve, client, peer)

    def _log_failure(self, error: OSError) -> None:
        events.log(events.ACCEPT_FAILED, address=str(self.address), detail=str(error))

    async def _serve(self, client: Any, peer: Any) -> None:
        async with client:
            try:
                await self.serve_connection(client, peer)
            except Exception as error:
                events.log(events.HANDLER_FAILED, peer=str(peer), detail=repr(error))
