"""Connections that carry bytes in virtual time, and end as those of TCP do."""

import socket
from collections import deque
from collections.abc import Callable

import curio

from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.replay.emulated_connection import (
    FIRST_RETRANSMISSION_MS,
    KEEPALIVE_INTERVAL_MS,
    KEEPALIVE_TIMEOUT_MS,
    SEND_TIMEOUT_MS,
)
from wagtailrun.virtual_time import VirtualClock

__all__ = ["Connection", "VirtualSocket"]

# Times on the clock are floating-point sums of seconds.
ROUNDING_S = 1e-9
# First bytes of the kernel's struct tcp_info: the numbers of retransmissions, and of
# probes, that were not acknowledged.
TCP_INFO_ACKNOWLEDGED = bytes(8)
TCP_INFO_RETRANSMITS = bytes((0, 0, 1, 0, 0, 0, 0, 0))
TCP_INFO_PROBES = bytes((0, 0, 0, 1, 0, 0, 0, 0))

# Bytes, empty for the end of the other side's, or what ends the connection.
Item = bytes | OSError


class VirtualSocket:
    """One end of a connection; used like a socket of curio.

    Args:
        connection: The connection.
        side: 0 for the client, 1 for the server.
        number: Number that stands for a descriptor.
    """

    def __init__(self, connection: "Connection", side: int, number: int):
        self.connection = connection
        self.side = side
        self.number = number
        self.clock = connection.clock
        # What was sent to this end, with the times at which it arrives, in seconds.
        self.incoming: deque[tuple[float, Item]] = deque()
        self.arrived = curio.Event()
        self.is_closed = False
        # Whether this end has sent its end, or stopped reading.
        self.has_ended = False
        self.reading_stopped = False
        # What was sent while the path lost all packets, with the time.
        self.unacknowledged: deque[tuple[float, Item]] = deque()

    def fileno(self) -> int:
        """Return a number that stands for the descriptor."""
        return self.number

    def is_ready(self) -> bool:
        """Return whether bytes, or an end, can be read now."""
        if self.reading_stopped or self.is_closed:
            return True
        now_s = self.clock.seconds + ROUNDING_S
        return bool(self.incoming) and self.incoming[0][0] <= now_s

    async def recv(self, size: int) -> bytes:
        """Return the next bytes; empty after the end.

        Raises:
            OSError: If the connection has failed.
        """
        while True:
            if self.is_closed:
                raise OSError("the socket is closed")
            if self.reading_stopped:
                return b""
            if not self.incoming:
                self.arrived.clear()
                await self.arrived.wait()
                continue
            due_s, item = self.incoming[0]
            left_s = due_s - self.clock.seconds
            if left_s > ROUNDING_S:
                await curio.sleep(left_s)
                continue
            if isinstance(item, OSError):
                raise item
            if not item:
                return b""
            self.incoming.popleft()
            if len(item) > size:
                self.incoming.appendleft((due_s, item[size:]))
                item = item[:size]
            return item

    async def sendall(self, data: bytes) -> None:
        """Send bytes.

        Raises:
            OSError: If the connection has failed, or this end was closed.
        """
        if self.is_closed or self.has_ended:
            raise BrokenPipeError("the socket is closed")
        if self.incoming and isinstance(self.incoming[0][1], OSError) and data:
            due_s, failure = self.incoming[0]
            if due_s <= self.clock.seconds + ROUNDING_S:
                assert isinstance(failure, OSError)
                raise failure
        if data:
            await self.connection.transmit(self.side, bytes(data))

    async def shutdown(self, how: int) -> None:
        """End the reading, the writing or both."""
        if how in (socket.SHUT_RD, socket.SHUT_RDWR):
            self.reading_stopped = True
            await self.arrived.set()
        if how in (socket.SHUT_WR, socket.SHUT_RDWR):
            await self.send_end()

    async def close(self) -> None:
        """Close this end; the other one reads an end."""
        if not self.is_closed:
            await self.send_end()
            self.is_closed = True
            await self.arrived.set()
            self.connection.record_close()

    async def reset(self, detail: str) -> None:
        """Close this end; the other one reads an error."""
        if not self.is_closed:
            self.has_ended = True
            error = ConnectionResetError(detail)
            await self.connection.transmit(self.side, error)
            await self.close()

    async def send_end(self) -> None:
        """End the writing: the other side reads an end after what was sent."""
        if not self.has_ended:
            self.has_ended = True
            await self.connection.transmit(self.side, b"")

    async def deliver(self, due_s: float, item: Item) -> None:
        """Take what arrives at a time, after everything that was sent before."""
        has_end = bool(self.incoming) and self.incoming[-1][1] == b""
        if has_end and not isinstance(item, OSError):
            return
        if self.incoming:
            due_s = max(due_s, self.incoming[-1][0])
        self.incoming.append((due_s, item))
        await self.arrived.set()

    def getsockopt(self, level: int, option: int, size: int) -> bytes:
        """Return ``TCP_INFO``, as far as the relay looks at it."""
        if (level, option) != (socket.IPPROTO_TCP, socket.TCP_INFO):
            raise OSError(f"option {option} of level {level} is not emulated")
        return self.connection.tcp_info(self.side)[:size]


class Connection:
    """Two sockets and the path between them.

    Args:
        clock: Virtual clock.
        delay_s: One-way delay of the path, in seconds.
        numbers: Numbers that stand for the descriptors of the sockets.
        on_closed: Called when both ends are closed.
    """

    def __init__(
        self,
        clock: VirtualClock,
        delay_s: float,
        numbers: tuple[int, int],
        on_closed: Callable[["Connection"], None],
    ):
        self.clock = clock
        self.delay_s = delay_s
        self.on_closed = on_closed
        self.sockets = tuple(
            VirtualSocket(self, side, number) for side, number in enumerate(numbers)
        )
        # Whether packets are acknowledged, but nothing is delivered.
        self.is_stalled = False
        # Since when the path loses all packets, and when the operating systems end the
        # connection for that; None while it does not.
        self.lost_since_s: float | None = None
        self.ends_s = 0.0

    async def transmit(self, side: int, item: Item) -> None:
        """Send bytes, or an end, from one side to the other."""
        receiver = self.sockets[1 - side]
        if self.is_stalled:
            return
        now_s = self.clock.seconds
        if self.lost_since_s is not None:
            self.sockets[side].unacknowledged.append((now_s, item))
            await self._end_after(SEND_TIMEOUT_MS / MS_PER_SECOND)
        elif receiver.is_closed:
            if item:
                error = ConnectionResetError("the other side has closed")
                await self.sockets[side].deliver(now_s + 2 * self.delay_s, error)
        else:
            await receiver.deliver(now_s + self.delay_s, item)

    def tcp_info(self, side: int) -> bytes:
        """Return what the operating system of one side knows of acknowledgements."""
        if self.lost_since_s is None:
            return TCP_INFO_ACKNOWLEDGED
        now_s = self.clock.seconds
        unacknowledged = self.sockets[side].unacknowledged
        first_s = FIRST_RETRANSMISSION_MS / MS_PER_SECOND
        if unacknowledged and now_s - unacknowledged[0][0] >= first_s:
            return TCP_INFO_RETRANSMITS
        if now_s - self.lost_since_s >= 2 * KEEPALIVE_INTERVAL_MS / MS_PER_SECOND:
            return TCP_INFO_PROBES
        return TCP_INFO_ACKNOWLEDGED

    async def lose_path(self) -> None:
        """Lose all packets from now on, unless it does already."""
        if self.lost_since_s is None:
            self.lost_since_s = self.clock.seconds
            self.ends_s = self.lost_since_s + KEEPALIVE_TIMEOUT_MS / MS_PER_SECOND
            await self._end_after(KEEPALIVE_TIMEOUT_MS / MS_PER_SECOND)

    async def restore_path(self) -> None:
        """Deliver packets again; what was lost arrives when it is sent again."""
        if self.lost_since_s is None:
            return
        self.lost_since_s = None
        for sock in self.sockets:
            if not sock.unacknowledged:
                continue
            due_s = _next_retransmission_s(
                sock.unacknowledged[0][0], self.clock.seconds
            )
            while sock.unacknowledged:
                _, item = sock.unacknowledged.popleft()
                await self.sockets[1 - sock.side].deliver(due_s + self.delay_s, item)

    async def _end_after(self, timeout_s: float) -> None:
        """End the connection after a time, unless its path is restored before."""
        self.ends_s = min(self.ends_s, self.clock.seconds + timeout_s)
        await curio.spawn(self._end_if_lost, self.lost_since_s, timeout_s, daemon=True)

    async def _end_if_lost(self, lost_since_s: float, timeout_s: float) -> None:
        await curio.sleep(timeout_s)
        if self.lost_since_s != lost_since_s:
            return
        if self.clock.seconds + ROUNDING_S < self.ends_s:
            return
        for sock in self.sockets:
            if not sock.is_closed:
                error = TimeoutError("the connection timed out")
                await sock.deliver(self.clock.seconds, error)

    async def reset_by(self, side: int) -> None:
        """End the process of one side: the other one reads an error."""
        sock = self.sockets[side]
        sock.has_ended = True
        await self.transmit(side, ConnectionResetError("connection reset by peer"))
        sock.is_closed = True
        await sock.arrived.set()
        self.record_close()

    def record_close(self) -> None:
        """Drop the connection when both ends are closed."""
        if all(sock.is_closed for sock in self.sockets):
            self.on_closed(self)


def _next_retransmission_s(sent_s: float, now_s: float) -> float:
    """Return when a packet is sent again next; the waits double."""
    wait_s = FIRST_RETRANSMISSION_MS / MS_PER_SECOND
    due_s = sent_s + wait_s
    while due_s < now_s:
        wait_s *= 2
        due_s += wait_s
    return due_s
