"""Tells which requests crossed the close of their idle connection in a planned stop."""

import fcntl
import socket
import struct
import termios
from collections.abc import Callable
from contextlib import suppress

import curio

from wagtailrun.adapters.idle_connections import IdleConnection
from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.logs import events

__all__ = ["ClosedConnections"]

# How long after its close a connection is watched. Longer than the way of a request
# that its client sent before the close reached it, between distant data centres.
WATCH_MS = 200
WATCH_POLL_MS = 10
# Each keeps its descriptor while it is watched; further ones are only counted.
MAX_WATCHED = 32


class ClosedConnections:
    """Watches the connections that a server closes while idle, as its process stops.

    Bytes that arrive are left unread: the reset that follows tells the client that its
    request was not received, so that any request may be sent again.

    Args:
        server: Address of the server, for the log.
        has_room: Returns whether descriptors can be spared for the watch.
    """

    def __init__(self, server: str, has_room: Callable[[], bool]):
        self.server = server
        self.has_room = has_room
        self.watched = 0
        # Whether a task will log the connections closed so far.
        self.reports_later = False
        self.closed = 0
        # How many of them the last line counted.
        self.logged = 0
        self.crossed = 0
        # The shortest time for which a closed connection was idle.
        self.min_idle_ms: int | None = None

    async def close(self, connection: IdleConnection, peer: str) -> None:
        """Close the sending direction of a connection, and watch it for a while.

        Args:
            connection: Connection that was used before.
            peer: Host of its client.
        """
        now_s = await curio.clock()
        idle_ms = int((now_s - connection.idle_since_s) * MS_PER_SECOND)
        self.closed += 1
        if self.min_idle_ms is None or idle_ms < self.min_idle_ms:
            self.min_idle_ms = idle_ms
        if not self.reports_later:
            self.reports_later = True
            await curio.spawn(self._report, daemon=True)
        if self.watched >= MAX_WATCHED or not self.has_room():
            return
        self.watched += 1
        try:
            await self._watch(connection.sock, peer, idle_ms)
        finally:
            self.watched -= 1

    async def _report(self) -> None:
        """Log the closed connections once no further ones are closed or watched."""
        seen = 0
        while self.watched or self.closed > seen:
            seen = self.closed
            await curio.sleep(WATCH_MS / MS_PER_SECOND)
        self.reports_later = False
        self.log_rest()

    async def _watch(self, sock: curio.io.Socket, peer: str, idle_ms: int) -> None:
        # The client may have closed the connection at the same time. Without the end of
        # the reading, bytes that arrive later would be reset after the watch only.
        with suppress(OSError):
            await sock.shutdown(socket.SHUT_RDWR)
        started_s = await curio.clock()
        for number in range(WATCH_MS // WATCH_POLL_MS + 1):
            # Bytes from before the close are looked for at once, so that their reset
            # follows it.
            if number:
                if not self.has_room():
                    return
                await curio.sleep(WATCH_POLL_MS / MS_PER_SECOND)
            if _was_crossed(sock):
                after_ms = int((await curio.clock() - started_s) * MS_PER_SECOND)
                self.crossed += 1
                events.log(
                    events.CLOSE_CROSSED,
                    server=self.server,
                    peer=peer,
                    idle_ms=idle_ms,
                    after_ms=after_ms,
                )
                return

    def log_rest(self) -> None:
        """Log the connections closed so far, if there is no line of the newest yet."""
        if self.closed == self.logged:
            return
        self.logged = self.closed
        events.log(
            events.IDLE_CLOSED,
            server=self.server,
            connections=self.closed,
            min_idle_ms=self.min_idle_ms,
            crossed=self.crossed,
        )


def _was_crossed(sock: curio.io.Socket) -> bool:
    """Return whether bytes came after the close, without reading them.

    Linux resets a connection that gets bytes after both directions were shut down.
    """
    if sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
        return True
    unread = fcntl.ioctl(sock.fileno(), termios.FIONREAD, struct.pack("i", 0))
    unread_bytes: int = struct.unpack("i", unread)[0]
    return unread_bytes > 0
