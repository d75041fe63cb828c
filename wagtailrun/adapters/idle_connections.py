"""Connections of a server that wait for a request, and their end in a drain."""

import select
import socket
from collections.abc import Iterable
from contextlib import suppress
from typing import Any

import curio

from wagtailrun.clock import MS_PER_SECOND

__all__ = ["DRAIN_REQUEST_WAIT_MS", "IdleConnection", "end_idle"]

# How long a draining server waits for another request on a connection whose last answer
# announced neither a close nor a longer time.
DRAIN_REQUEST_WAIT_MS = 200


class IdleConnection:
    """Connection that may wait for the first bytes of a request.

    Args:
        sock: Socket of curio.
    """

    def __init__(self, sock: Any):
        self.sock = sock
        # Whether this server ended the reading; an end of the bytes received does not
        # show any more that the client has disconnected.
        self.reading_stopped = False
        # Whether the first bytes of a request have arrived.
        self.was_used = False
        # Whether the client closed the idle connection, and whether a planned stop did.
        self.was_closed = False
        self.ended_idle = False
        # Whether the next request is taken to be on its way, as on a new connection.
        self.is_awaited = True
        # When the wait for the next request began, on the clock of curio, in seconds.
        self.idle_since_s = 0.0
        # How long the last answer said that the idle connection is kept.
        self.announced_ms = 0

    def is_readable(self) -> bool:
        """Return whether bytes have arrived, or the client closed the connection."""
        poll = select.poll()
        poll.register(self.sock.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def drain_wait_ms(self, keeps_announced: bool) -> int:
        """Return how long after an answer a draining server waits for another request.

        Args:
            keeps_announced: Whether the time that the answer announced is kept.
        """
        announced_ms = self.announced_ms if keeps_announced else 0
        return max(DRAIN_REQUEST_WAIT_MS, announced_ms)

    async def receive_within(self, limit_ms: float, size: int) -> bytes | None:
        """Return the next bytes, or None if there are none when the time is over.

        Args:
            limit_ms: How long to wait, in milliseconds.
            size: Largest number of bytes.
        """
        data: bytes | None = None
        async with curio.ignore_after(limit_ms / MS_PER_SECOND):
            data = await self.sock.recv(size)
        # They may have arrived after the last look of the event loop.
        if data is None and self.is_readable():
            data = await self.sock.recv(size)
        return data

    async def stop_reading(self) -> None:
        """End the reading; what has arrived by the next turn can still be read."""
        self.reading_stopped = True
        # The client may have reset the connection a moment ago. The task of the
        # connection finds that out itself; other connections still have to be closed.
        with suppress(OSError):
            await self.sock.shutdown(socket.SHUT_RD)


async def end_idle(
    connections: Iterable[IdleConnection], keeps_announced: bool
) -> None:
    """End the idle connections on which no request is on its way.

    One may be where an answer has just ended, and for as long as the answer announced:
    its client was told of no close.

    Args:
        connections: Idle connections.
        keeps_announced: Whether the announced time is kept; without room for requests
            it is not.
    """
    now_s = await curio.clock()
    for connection in list(connections):
        # A request whose first bytes have arrived is read to its end.
        if connection.is_readable():
            continue
        # Without room, the wait for an announced time is cut short.
        is_cut = connection.was_used and not keeps_announced
        if connection.is_awaited and not is_cut:
            continue
        since_s = connection.idle_since_s
        wait_ms = connection.drain_wait_ms(keeps_announced)
        left_s = since_s + wait_ms / MS_PER_SECOND - now_s
        if left_s > 0:
            connection.is_awaited = True
            await curio.spawn(_end_later, connection, since_s, left_s, daemon=True)
        else:
            await connection.stop_reading()


async def _end_later(connection: IdleConnection, since_s: float, left_s: float) -> None:
    """End a connection unless a request arrives before the time is over."""
    await curio.sleep(left_s)
    is_waiting = connection.is_awaited and connection.idle_since_s == since_s
    if is_waiting and not connection.is_readable():
        await connection.stop_reading()
