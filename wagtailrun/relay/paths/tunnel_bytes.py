"""Passes the bytes of a tunnel on between a target and another entry."""

from typing import Any

import curio

from wagtailrun.clock import Clock
from wagtailrun.process.fairness import Turns
from wagtailrun.process.memory_budget import PROCESS_MEMORY, Kind

__all__ = ["TunnelBytes"]

READ_BYTES = 64 * 1024
# The other entry closes a tunnel once it has read the end; closing it first could
# discard what it has not read yet.
END_LINGER_MS = 1_000


class TunnelBytes:
    """Bytes in both directions of one tunnel.

    The end of an answer is passed on as such only if all of the request was written
    before: an answer may end with its connection, and a write that fails takes the
    error by which the read would tell a reset from an end in order.

    Args:
        clock: Clock.
        sock: Connection to the target.
        peer: The other entry's end of the tunnel; see ``Upgrade``.
    """

    def __init__(self, clock: Clock, sock: Any, peer: Any):
        self.clock = clock
        self.sock = sock
        self.peer = peer
        # Whether bytes of the request were received that the target's connection has
        # not taken.
        self.is_unwritten = False
        # How the connection to the target failed; empty if it did not.
        self.failure = ""

    async def pass_on(self) -> str:
        """Pass bytes on until either side ends; return how the tunnel ended."""
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._pass_requests)
            await group.spawn(self._pass_answers)
        if group.exception is None:
            return self.failure or group.result
        if isinstance(group.exception, OSError):
            return f"interrupted: {group.exception}"
        raise group.exception

    async def _pass_requests(self) -> str:
        turns = Turns()
        while data := await self.peer.recv():
            self.is_unwritten = True
            await turns.take(len(data))
            # What follows a failed write is dropped: the target may have answered
            # before, and closing a connection with unread bytes would reset it.
            if not self.failure:
                await self._write(data)
        return "the entry closed"

    async def _write(self, data: bytes) -> None:
        with PROCESS_MEMORY.hold(Kind.TUNNELS) as held:
            held.record(len(data))
            try:
                await self.sock.sendall(data)
            except OSError as error:
                self.failure = f"interrupted: {error}"
                return
        self.is_unwritten = False

    async def _pass_answers(self) -> str:
        turns = Turns()
        while data := await self._read():
            await turns.take(len(data))
            with PROCESS_MEMORY.hold(Kind.TUNNELS) as held:
                held.record(len(data))
                await self.peer.send(data)
        if self.failure:
            await self.peer.send_interruption()
        else:
            await self.peer.send_end()
        await self.clock.sleep_ms(END_LINGER_MS)
        return "the target closed"

    async def _read(self) -> bytes:
        """Return the next bytes of the target; empty after its end or a failure."""
        try:
            data: bytes = await self.sock.recv(READ_BYTES)
        except OSError as error:
            self.failure = f"interrupted: {error}"
            return b""
        if data or self.failure:
            return data
        if self.is_unwritten or self.peer.is_readable():
            self.failure = "interrupted: the target closed before it took the request"
        return b""
