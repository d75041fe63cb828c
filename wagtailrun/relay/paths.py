"""What this entry knows of the paths from it to targets.

A connection that fails says something about the pair of entry and target. Only where
another entry, which reaches targets, does not reach this one either, the target is at
fault.
"""

import random
import socket
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

import attrs
import curio

from wagtailrun import events
from wagtailrun.clock import Clock
from wagtailrun.ports.link import Address

__all__ = ["TargetPaths", "WatchedSocket"]

# An entry that cannot connect to this many targets, and to none since, is cut off.
CUT_OFF_PATHS = 2
REVIEW_INTERVAL_MS = 250
# While a path is lost, one connection is tried at this interval on average. Entries
# that were cut off together return at different times.
PROBE_INTERVAL_MS = 500
PROBE_JITTER = 0.5
# Without any byte from a target for this long, while one owes an answer, the paths to
# it and to some others are checked.
SILENCE_MS = 500
CHECK_INTERVAL_MS = 1_000
CHECKED_PATHS = 3
# A connection over a path that is lost is ended after this silence. A sound target may
# be silent for a second or so, and old connections may work where new ones do not.
ABORT_SILENCE_MS = 2_000


class WatchedSocket:
    """Socket of a direct connection to a target, whose waiting is watched.

    Args:
        sock: Connected socket.
        address: Address of the target.
        paths: Is told of received bytes.
    """

    def __init__(self, sock: Any, address: Address, paths: "TargetPaths"):
        self.sock = sock
        self.address = address
        self.paths = paths
        # Since when a task waits for bytes; None if none does.
        self.waiting_since_ms: int | None = None
        self.aborted = False

    async def recv(self, size: int) -> bytes:
        """Return the next bytes; empty after the end.

        Raises:
            ConnectionAbortedError: If the path to the target is lost.
        """
        self.waiting_since_ms = self.paths.clock.now_ms()
        try:
            data = await self.sock.recv(size)
        finally:
            self.waiting_since_ms = None
        if self.aborted:
            raise ConnectionAbortedError(f"the path to {self.address} is lost")
        self.paths.last_received_ms = self.paths.clock.now_ms()
        return data

    async def sendall(self, data: bytes) -> None:
        """Send bytes."""
        await self.sock.sendall(data)

    def fileno(self) -> int:
        """Return the descriptor of the socket."""
        return self.sock.fileno()

    async def abort(self) -> None:
        """Interrupt the task that waits for bytes."""
        self.aborted = True
        try:
            # Closing the socket would not wake the task.
            await self.sock.shutdown(socket.SHUT_RDWR)
        except OSError as error:
            events.log(
                events.PATH_LOST,
                address=str(self.address),
                carrier="",
                detail=f"the connection had ended: {error}",
            )

    async def close(self) -> None:
        """Close the connection."""
        self.paths.sockets.discard(self)
        await self.sock.close()


@attrs.frozen
class _Waiting:
    """A connection whose target owes bytes.

    Attributes:
        socket: The connection.
        silent_ms: Time without a byte.
    """

    socket: WatchedSocket
    silent_ms: int


class TargetPaths:
    """Tracks which targets this entry reaches directly.

    Args:
        clock: Clock.
        targets: Returns the addresses of the targets that may be given work.
        probe: Returns whether a direct connection to a target can be opened now.
        check: The same, and if not, finds out whether another entry reaches it.
        seed: Seed of the probes.
    """

    def __init__(
        self,
        clock: Clock,
        targets: Callable[[], Sequence[Address]],
        probe: Callable[[Address], Awaitable[bool]],
        check: Callable[[Address], Awaitable[bool]],
        seed: int | None = None,
    ):
        self.clock = clock
        self.targets = targets
        self.probe = probe
        self.check = check
        self.random = random.Random(seed)
        self.lost_since_ms_by_address: dict[Address, int] = {}
        self.is_cut_off = False
        # Times before the first connection and the first byte count as long ago.
        self.last_connected_ms = -1
        self.last_received_ms = -SILENCE_MS
        self.next_probe_ms = 0
        self.next_check_ms = 0
        self.sockets: set[WatchedSocket] = set()

    def is_lost(self, address: Address) -> bool:
        """Return whether connections to a target go through other entries."""
        return self.is_cut_off or address in self.lost_since_ms_by_address

    def watch(self, sock: Any, address: Address) -> WatchedSocket:
        """Return a socket of a direct connection that is watched until its end."""
        watched = WatchedSocket(sock, address, self)
        self.sockets.add(watched)
        return watched

    def record_connected(self, address: Address) -> None:
        """Record that a direct connection was opened."""
        self.last_connected_ms = self.clock.now_ms()
        if self.is_cut_off:
            self.is_cut_off = False
            events.log(events.ENTRY_CUT_OFF, cut_off=False, lost=self._lost_addresses())
        if self.lost_since_ms_by_address.pop(address, None) is not None:
            events.log(events.PATH_RETURNED, address=str(address))
            # Paths are lost and return together; a wrong guess costs one time-out.
            self.lost_since_ms_by_address.clear()

    def record_lost(self, address: Address, carrier: str, detail: str) -> None:
        """Record that a direct connection failed that another entry opened.

        Args:
            address: Address of the target.
            carrier: Name of the other entry.
            detail: How the direct connection failed.
        """
        if self.is_lost(address):
            return
        now_ms = self.clock.now_ms()
        self.lost_since_ms_by_address[address] = now_ms
        events.log(
            events.PATH_LOST, address=str(address), carrier=carrier, detail=detail
        )
        oldest_ms = min(self.lost_since_ms_by_address.values())
        is_cut_off = len(self.lost_since_ms_by_address) >= CUT_OFF_PATHS
        if is_cut_off and self.last_connected_ms < oldest_ms:
            self.is_cut_off = True
            events.log(events.ENTRY_CUT_OFF, cut_off=True, lost=self._lost_addresses())

    def _lost_addresses(self) -> list[str]:
        return [str(address) for address in self.lost_since_ms_by_address]

    async def run(self) -> None:
        """Check silent paths and probe lost ones until cancelled."""
        while True:
            await self.clock.sleep_ms(REVIEW_INTERVAL_MS)
            await self._review_sockets()
            await self._probe_lost()

    async def _review_sockets(self) -> None:
        now_ms = self.clock.now_ms()
        waiting = [
            _Waiting(sock, now_ms - sock.waiting_since_ms)
            for sock in list(self.sockets)
            if sock.waiting_since_ms is not None
        ]
        silent = [each for each in waiting if each.silent_ms >= SILENCE_MS]
        if not silent:
            return
        is_quiet = now_ms - self.last_received_ms >= SILENCE_MS
        if is_quiet and now_ms >= self.next_check_ms:
            self.next_check_ms = now_ms + CHECK_INTERVAL_MS
            await self._check_paths(silent)
        for each in silent:
            is_lost = self.is_lost(each.socket.address)
            if is_lost and each.silent_ms >= ABORT_SILENCE_MS:
                await each.socket.abort()

    async def _check_paths(self, silent: Sequence[_Waiting]) -> None:
        """Check the path of a silent connection, and some others."""
        known = list(self.targets())
        addresses = {each.socket.address for each in silent}
        addresses = sorted(addresses)[:1] + self.random.sample(
            known, min(CHECKED_PATHS - 1, len(known))
        )
        async with curio.TaskGroup() as group:
            for address in dict.fromkeys(addresses):
                if not self.is_lost(address):
                    await group.spawn(self.check, address)

    async def _probe_lost(self) -> None:
        now_ms = self.clock.now_ms()
        known = list(self.targets())
        for address in list(self.lost_since_ms_by_address):
            if address not in known:
                del self.lost_since_ms_by_address[address]
        if not (self.is_cut_off or self.lost_since_ms_by_address):
            return
        if now_ms < self.next_probe_ms:
            return
        jitter = self.random.uniform(-PROBE_JITTER, PROBE_JITTER)
        self.next_probe_ms = now_ms + int(PROBE_INTERVAL_MS * (1 + jitter))
        candidates = known if self.is_cut_off else list(self.lost_since_ms_by_address)
        if candidates:
            await self.probe(self.random.choice(candidates))
        else:
            # Nothing is left that it could be cut off from.
            self.is_cut_off = False
