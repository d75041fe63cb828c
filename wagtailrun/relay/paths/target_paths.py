"""What this entry knows of the paths from it to targets.

A connection that fails says something about the pair of entry and target. Only where
another entry, which reaches targets beside it, does not reach this one either, the
target is at fault.
"""

import random
import socket
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

import curio

from wagtailrun.clock import Clock
from wagtailrun.exceptions import ConnectFailed
from wagtailrun.logs import events
from wagtailrun.ports.link import Address

__all__ = ["TargetPaths", "WatchedSocket"]

# An entry that cannot connect to this many targets finds out if it reaches any.
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
# A connection over a lost path on which the operating system gets no acknowledgements
# is ended after this silence.
ABORT_SILENCE_MS = 1_500
# First bytes of the kernel's struct tcp_info, with the numbers of retransmissions and
# of probes that were not acknowledged.
TCP_INFO_BYTES = 8
RETRANSMITS_OFFSET = 2
PROBES_OFFSET = 3


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
            data: bytes = await self.sock.recv(size)
        finally:
            self.waiting_since_ms = None
        if self.aborted:
            raise ConnectionAbortedError(f"the path to {self.address} is lost")
        self.paths.record_received()
        return data

    async def sendall(self, data: bytes) -> None:
        """Send bytes."""
        await self.sock.sendall(data)

    def fileno(self) -> int:
        """Return the descriptor of the socket."""
        descriptor: int = self.sock.fileno()
        return descriptor

    @property
    def silent_ms(self) -> int:
        """Time that a task has waited for bytes; 0 if none does."""
        if self.waiting_since_ms is None:
            return 0
        return self.paths.clock.now_ms() - self.waiting_since_ms

    @property
    def is_unacknowledged(self) -> bool:
        """Whether the target's system acknowledges neither data nor probes.

        That of a target which is merely silent does.
        """
        info = self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        return bool(info[RETRANSMITS_OFFSET] or info[PROBES_OFFSET])

    async def abort(self) -> None:
        """Interrupt the task that waits for bytes; closing would not wake it."""
        self.aborted = True
        await self.sock.shutdown(socket.SHUT_RDWR)

    async def close(self) -> None:
        """Close the connection."""
        self.paths.sockets.discard(self)
        await self.sock.close()


class TargetPaths:
    """Tracks which targets this entry reaches directly.

    Args:
        clock: Clock.
        targets: Returns the addresses of the targets that may be given work.
        probe: Returns whether a direct connection to a target can be opened now.
        check: The same, and if not, finds out whether another entry reaches it.
        reaches_any: Returns whether a direct connection to any target can be opened
            now; raises ``ConnectFailed`` if this process cannot tell.
        seed: Seed of the probes.
    """

    def __init__(
        self,
        clock: Clock,
        targets: Callable[[], Sequence[Address]],
        probe: Callable[[Address], Awaitable[bool]],
        check: Callable[[Address], Awaitable[bool]],
        reaches_any: Callable[[], Awaitable[bool]],
        seed: int | None = None,
    ):
        self.clock = clock
        self.targets = targets
        self.probe = probe
        self.check = check
        self.reaches_any = reaches_any
        self.random = random.Random(seed)
        self.lost_since_ms_by_address: dict[Address, int] = {}
        self.is_cut_off = False
        self.is_reviewing = False
        # Times before the first connection and the first byte count as long ago.
        self.last_connected_ms = -SILENCE_MS
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
        self._set_cut_off(False)
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
        if address in self.lost_since_ms_by_address:
            return
        self.lost_since_ms_by_address[address] = self.clock.now_ms()
        events.log(
            events.PATH_LOST, address=str(address), carrier=carrier, detail=detail
        )

    @property
    def last_heard_ms(self) -> int:
        """When the newest sign of any target arrived, on the clock."""
        return max(self.last_connected_ms, self.last_received_ms)

    @property
    def may_be_cut_off(self) -> bool:
        """Whether so many paths are lost that this entry may reach no target."""
        is_known = self.is_cut_off or self.is_reviewing
        return not is_known and len(self.lost_since_ms_by_address) >= CUT_OFF_PATHS

    def record_received(self) -> None:
        """Record that bytes of a target arrived on a direct connection."""
        self.last_received_ms = self.clock.now_ms()
        self._set_cut_off(False)

    async def review_cut(self) -> None:
        """Find out whether this entry is cut off from all targets.

        It is if it can connect to none, and nothing arrives on old connections either.
        """
        if self.is_reviewing or self.is_cut_off:
            return
        self.is_reviewing = True
        started_ms = self.clock.now_ms()
        try:
            if await self.reaches_any():
                return
            silent_ms = self.clock.now_ms() - self.last_heard_ms
            await self.clock.sleep_ms(SILENCE_MS - silent_ms)
            if self.last_heard_ms < started_ms:
                self._set_cut_off(True)
        except ConnectFailed as error:
            # This process was late or lacks descriptors; the next lost path tells.
            events.log(events.PATHS_UNDECIDED, detail=str(error))
        finally:
            self.is_reviewing = False

    def _set_cut_off(self, is_cut_off: bool) -> None:
        if is_cut_off != self.is_cut_off:
            self.is_cut_off = is_cut_off
            lost = [str(address) for address in self.lost_since_ms_by_address]
            events.log(events.ENTRY_CUT_OFF, cut_off=is_cut_off, lost=lost)

    async def run(self) -> None:
        """Check silent paths and probe lost ones until cancelled."""
        while True:
            await self.clock.sleep_ms(REVIEW_INTERVAL_MS)
            await self._check_silent()
            await self._abort_dead()
            await self._probe_lost()

    async def _check_silent(self) -> None:
        """Check the path of a silent connection and some others."""
        now_ms = self.clock.now_ms()
        silent = {s.address for s in self.sockets if s.silent_ms >= SILENCE_MS}
        is_quiet = now_ms - self.last_received_ms >= SILENCE_MS
        if not (silent and is_quiet and now_ms >= self.next_check_ms):
            return
        self.next_check_ms = now_ms + CHECK_INTERVAL_MS
        known = list(self.targets())
        others = self.random.sample(known, min(CHECKED_PATHS - 1, len(known)))
        async with curio.TaskGroup() as group:
            for address in {min(silent), *others}:
                if not self.is_lost(address):
                    await group.spawn(self.check, address)

    async def _abort_dead(self) -> None:
        """End connections over lost paths that nothing passes any more."""
        for sock in list(self.sockets):
            is_silent = sock.silent_ms >= ABORT_SILENCE_MS and not sock.aborted
            if not is_silent or sock.address not in self.lost_since_ms_by_address:
                continue
            try:
                if sock.is_unacknowledged:
                    await sock.abort()
            except OSError as error:
                # The connection has ended; its task finds out itself.
                detail = f"a waiting connection ended: {error}"
                events.log(
                    events.PATH_LOST,
                    address=str(sock.address),
                    carrier="",
                    detail=detail,
                )

    async def _probe_lost(self) -> None:
        if not (self.is_cut_off or self.lost_since_ms_by_address):
            return
        now_ms = self.clock.now_ms()
        known = list(self.targets())
        for address in list(self.lost_since_ms_by_address):
            if address not in known:
                del self.lost_since_ms_by_address[address]
        has_lost = self.is_cut_off or self.lost_since_ms_by_address
        if not has_lost or now_ms < self.next_probe_ms:
            return
        jitter = self.random.uniform(-PROBE_JITTER, PROBE_JITTER)
        self.next_probe_ms = now_ms + int(PROBE_INTERVAL_MS * (1 + jitter))
        candidates = known if self.is_cut_off else list(self.lost_since_ms_by_address)
        if candidates:
            found = await self.probe(self.random.choice(candidates))
            silent_ms = self.clock.now_ms() - self.last_heard_ms
            if not found and self.may_be_cut_off and silent_ms >= SILENCE_MS:
                await self.review_cut()
        else:
            # No target is left that it could be cut off from.
            self._set_cut_off(False)
