"""Process of the proxy on the links: python -m soak.link_proxy DESCRIPTOR."""

import errno
import logging
import math
import socket
import struct
import sys
from collections import deque
from collections.abc import Iterable
from contextlib import suppress
from typing import Any

import curio
from attrs import define
from curio.io import Socket

from soak.curio_log import ignore_late_ends
from soak.link_sources import Ends, find_sources
from soak.link_usage import Totals
from soak.links import (
    AddLink,
    Answer,
    Begin,
    Direction,
    Effect,
    End,
    Find,
    LinkFault,
    LinkUsage,
    NameProcess,
    RefusedConnection,
    Report,
    pack,
    unpack,
)
from wagtailrun.clock import MS_PER_SECOND, SystemClock
from wagtailrun.ports.link import Address
from wagtailrun.process.fairness import Turns

READ_BYTES = 64 * 1024
# A source that sends more than this waits, as on a link that is slower than itself.
MAX_PENDING_BYTES = 256 * 1024
BACKLOG = 1_024
# SO_LINGER with a time of 0: closing resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
NARROW_STEP_MS = 50
PROBE_INTERVAL_MS = 50
# Connections are looked up together, as each look-up lists the descriptors of all
# processes of the fleet.
LOOK_UP_INTERVAL_MS = 20
# A connection that no process of the fleet holds then was opened by another one.
MAX_LOOK_UPS = 2


class Conditions:
    """The faults that are applied, and a wake-up when one begins or ends."""

    def __init__(self) -> None:
        self.faults_by_name: dict[str, LinkFault] = {}
        self._changed = curio.Event()

    async def begin(self, fault: LinkFault) -> None:
        """Apply a fault."""
        self.faults_by_name[fault.name] = fault
        await self._wake()

    async def end(self, name: str) -> LinkFault | None:
        """Remove a fault and return it, if it was applied."""
        fault = self.faults_by_name.pop(name, None)
        await self._wake()
        return fault

    async def _wake(self) -> None:
        changed, self._changed = self._changed, curio.Event()
        await changed.set()

    async def wait(self, duration_ms: float = math.inf) -> None:
        """Return when a fault begins or ends, or after a time."""
        changed = self._changed
        if math.isinf(duration_ms):
            await changed.wait()
        else:
            async with curio.ignore_after(max(duration_ms, 0) / MS_PER_SECOND):
                await changed.wait()

    @property
    def names_a_source(self) -> bool:
        """Whether a fault is only for the connections of one process."""
        return any(fault.source for fault in self.faults_by_name.values())

    def matching(self, link: str, source: str) -> Iterable[LinkFault]:
        """Return the faults for connections of a source on a link."""
        return (f for f in self.faults_by_name.values() if matches(f, link, source))


def matches(fault: LinkFault, link: str, source: str) -> bool:
    """Return whether a fault is for the connections of a source on a link."""
    return link in fault.links and fault.source in ("", source)


@define
class Piece:
    """Bytes that wait for their way on.

    Attributes:
        data: The bytes.
        received_ms: When they were received.
        is_second_half: Whether they may be held back as the rest of a request.
    """

    data: bytes
    received_ms: int
    is_second_half: bool = False


class Way:
    """One direction of a connection."""

    def __init__(
        self, connection: "Connection", direction: Direction, start: Any, end: Any
    ):
        self.connection = connection
        self.direction = direction
        self.start = start
        self.end = end
        self.pieces: deque[Piece] = deque()
        self.pending_bytes = 0
        self.passed_bytes = 0
        self.has_ended = False
        self.turns = Turns()
        self.readable = curio.Event()
        self.has_room = curio.Event()

    def _faults(self, effect: Effect) -> list[LinkFault]:
        return [
            fault
            for fault in self.connection.faults()
            if fault.effect is effect
            and fault.direction in (Direction.BOTH, self.direction)
        ]

    async def read(self) -> None:
        """Take bytes until the end of this direction."""
        while True:
            while self.pending_bytes >= MAX_PENDING_BYTES:
                self.has_room.clear()
                await self.has_room.wait()
            data = await self.start.recv(READ_BYTES)
            await self.turns.take(len(data))
            if not data:
                self.has_ended = True
            else:
                self._add(data)
            await self.readable.set()
            if self.has_ended:
                return

    def _add(self, data: bytes) -> None:
        now_ms = self.connection.proxy.clock.now_ms()
        is_first = not self.pieces
        self.pending_bytes += len(data)
        half = len(data) // 2
        if is_first and half and self._faults(Effect.HOLD_HALF):
            self.pieces.append(Piece(data[:half], now_ms))
            self.pieces.append(Piece(data[half:], now_ms, is_second_half=True))
        else:
            self.pieces.append(Piece(data, now_ms))

    async def write(self) -> None:
        """Pass bytes on as the faults allow, and the end after them."""
        while True:
            while not self.pieces and not self.has_ended:
                self.readable.clear()
                await self.readable.wait()
            if not self.pieces:
                break
            piece = self.pieces[0]
            await self._wait_until_due(piece)
            await self._send(piece)
            self.pieces.popleft()
            await self.has_room.set()
        await self._wait_while_silent()
        # The other side may have closed the connection.
        with suppress(OSError):
            await self.end.shutdown(socket.SHUT_WR)

    async def _wait_while_silent(self) -> None:
        while self._faults(Effect.SILENCE):
            await self.connection.proxy.conditions.wait()

    async def _wait_until_due(self, piece: Piece) -> None:
        proxy = self.connection.proxy
        while True:
            await self._wait_while_silent()
            wait_ms = sum(fault.amount for fault in self._faults(Effect.DELAY))
            if piece.is_second_half:
                holds = self._faults(Effect.HOLD_HALF)
                wait_ms += max((fault.amount for fault in holds), default=0)
            left_ms = piece.received_ms + wait_ms - proxy.clock.now_ms()
            if left_ms <= 0:
                return
            await proxy.conditions.wait(left_ms)

    async def _send(self, piece: Piece) -> None:
        data = piece.data
        while data:
            await self._wait_while_silent()
            rates = [fault.amount for fault in self._faults(Effect.NARROW)]
            size = len(data)
            if rates:
                size = max(1, min(rates) * NARROW_STEP_MS // MS_PER_SECOND)
            part, data = data[:size], data[size:]
            await self.end.sendall(part)
            self.passed_bytes += len(part)
            self.pending_bytes -= len(part)
            await self.turns.take(len(part))
            if rates:
                pause_ms = len(part) * MS_PER_SECOND / max(1, min(rates))
                await self.connection.proxy.conditions.wait(pause_ms)


class Connection:
    """A connection of a source, and the one to the upstream that belongs to it."""

    def __init__(self, proxy: "Proxy", link: "OpenLink", sock: Any, client: Address):
        self.proxy = proxy
        self.link = link
        self.sock = sock
        self.client = client
        self.source = ""
        self.look_ups = 0
        self.ways: tuple[Way, ...] = ()
        self.upstream: Any = None
        self.task: curio.Task | None = None

    @property
    def ends(self) -> Ends:
        """Addresses of the connection of the source."""
        return Ends(client=self.client, server=self.link.listen)

    def faults(self) -> Iterable[LinkFault]:
        """Return the faults for this connection."""
        return self.proxy.conditions.matching(self.link.name, self.source)

    async def run(self) -> None:
        """Pass bytes both ways until both have ended or the connection is broken."""
        self.task = await curio.current_task()
        is_whole = False
        try:
            is_whole = await self._pass_bytes()
        except OSError:
            pass
        finally:
            self.proxy.forget(self)
            for sock in (self.sock, self.upstream):
                if sock is not None:
                    await close(sock, resets=not is_whole)

    async def _pass_bytes(self) -> bool:
        """Return whether both directions have ended by themselves."""
        if self.proxy.conditions.names_a_source:
            await self.proxy.look_up()
        if any(fault.effect is Effect.REFUSE for fault in self.faults()):
            self.proxy.record_refusal(self, is_fault=True)
            return False
        try:
            self.upstream = await connect(self.link.upstream)
        except OSError:
            self.proxy.record_refusal(self, is_fault=False)
            await self.link.wait_for_upstream()
            return False
        self.ways = (
            Way(self, Direction.TO_UPSTREAM, self.sock, self.upstream),
            Way(self, Direction.TO_SOURCE, self.upstream, self.sock),
        )
        async with curio.TaskGroup() as group:
            for way in self.ways:
                await group.spawn(way.read)
                await group.spawn(way.write)
        return group.exception is None

    @property
    def usage(self) -> LinkUsage:
        """What this connection has passed, once it is open to both sides."""
        to_upstream, to_source = (way.passed_bytes for way in self.ways)
        return LinkUsage(
            link=self.link.name,
            source=self.source,
            connections=1,
            bytes_to_upstream=to_upstream,
            bytes_to_source=to_source,
        )


async def connect(address: Address) -> Any:
    """Open a connection that sends small pieces at once."""
    sock = await curio.open_connection(address.host, address.port)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


async def close(sock: Any, resets: bool) -> None:
    """Close a socket, with a reset of its connection or without."""
    with suppress(OSError):
        if resets:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        await sock.close()


class OpenLink:
    """Listener of a link, closed while its upstream takes no connections."""

    def __init__(self, proxy: "Proxy", command: AddLink):
        self.proxy = proxy
        self.name = command.name
        self.listen = command.listen
        self.upstream = command.upstream
        self.sock: Any = None
        self.acceptor: curio.Task | None = None
        self.probe: curio.Task | None = None
        self.is_probing = False

    async def open(self) -> None:
        """Listen, unless it does so already."""
        if self.sock is not None:
            return
        address = (self.listen.host, self.listen.port)
        sock = socket.create_server(address, backlog=BACKLOG)
        sock.setblocking(False)
        self.sock = Socket(sock)
        self.acceptor = await curio.spawn(self._accept, self.sock, daemon=True)

    async def close(self) -> None:
        """Refuse connections; those that were accepted unseen are reset."""
        sock, self.sock = self.sock, None
        if sock is None:
            return
        if self.acceptor is not None:
            await self.acceptor.cancel()
        with sock.blocking() as raw:
            raw.setblocking(False)
            with suppress(BlockingIOError):
                while True:
                    client, peer = raw.accept()
                    connection = Connection(self.proxy, self, None, Address(*peer))
                    is_fault = self.is_refused_by_fault
                    self.proxy.record_refusal(connection, is_fault)
                    linger = (socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                    client.setsockopt(*linger)
                    client.close()
        await sock.close()

    @property
    def is_refused_by_fault(self) -> bool:
        """Whether a fault refuses the connections of all sources."""
        faults = self.proxy.conditions.matching(self.name, "")
        return any(fault.effect is Effect.REFUSE for fault in faults)

    async def apply(self) -> None:
        """Listen or not, as faults and the upstream allow."""
        if self.is_refused_by_fault:
            await self.close()
        elif not self.is_probing:
            await self.open()

    async def wait_for_upstream(self) -> None:
        """Stop listening until the upstream listens again."""
        if not self.is_probing:
            self.is_probing = True
            self.probe = await curio.spawn(self._probe, daemon=True)

    async def _probe(self) -> None:
        await self.close()
        while True:
            try:
                await close(await connect(self.upstream), resets=False)
                break
            except OSError:
                await curio.sleep(PROBE_INTERVAL_MS / MS_PER_SECOND)
        self.is_probing = False
        await self.apply()

    async def end(self) -> None:
        """Listen no more, whatever faults and the upstream do."""
        if self.probe is not None:
            await self.probe.cancel()
        self.is_probing = True
        await self.close()

    async def _accept(self, listener: Any) -> None:
        while True:
            try:
                sock, peer = await listener.accept()
            except OSError as error:
                if error.errno not in (errno.EMFILE, errno.ENFILE):
                    raise
                await curio.sleep(PROBE_INTERVAL_MS / MS_PER_SECOND)
                continue
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection = Connection(self.proxy, self, sock, Address(*peer))
            await self.proxy.run_connection(connection)


class Proxy:
    """All links, their connections and the faults that are applied.

    Args:
        commands: Connected socket that commands arrive on.
    """

    def __init__(self, commands: socket.socket):
        self.clock = SystemClock()
        self.conditions = Conditions()
        self.links_by_name: dict[str, OpenLink] = {}
        self.connections: set[Connection] = set()
        self.refused: list[RefusedConnection] = []
        self.ended = Totals()
        self.pid_by_name: dict[str, int] = {}
        self._commands = commands
        self._look_up_lock = curio.Lock()

    async def run(self) -> None:
        """Obey commands until their socket is closed."""
        await curio.spawn(self._look_up_steadily, daemon=True)
        stream = Socket(self._commands).as_stream()
        while line := await stream.readline():
            await stream.write(pack(await self._obey(unpack(line))))
        # New connections would come while those before them are ended.
        for link in self.links_by_name.values():
            await link.end()
        for connection in list(self.connections):
            await connection.task.cancel()

    async def _obey(self, command: Any) -> Answer | Report:
        try:
            if isinstance(command, Find):
                return self._report()
            await self._change(command)
        except (OSError, ValueError) as error:
            return Answer(error=str(error))
        return Answer()

    async def _change(self, command: Any) -> None:
        if isinstance(command, AddLink):
            if command.name in self.links_by_name:
                raise ValueError(f"link {command.name!r} exists already")
            link = OpenLink(self, command)
            try:
                await link.open()
            except OSError as error:
                detail = f"cannot listen on {command.listen} for {command.name!r}"
                raise ValueError(f"{detail}: {error}") from error
            self.links_by_name[link.name] = link
        elif isinstance(command, NameProcess):
            self.pid_by_name[command.name] = command.pid
        elif isinstance(command, Begin):
            await self._begin(command.fault)
        elif isinstance(command, End):
            fault = await self.conditions.end(command.name)
            if fault is not None and fault.effect is Effect.REFUSE:
                for name in fault.links:
                    await self.links_by_name[name].apply()

    async def _begin(self, fault: LinkFault) -> None:
        unknown = sorted(set(fault.links) - self.links_by_name.keys())
        if unknown:
            raise ValueError(f"fault {fault.name!r} is for unknown links {unknown}")
        if fault.source and fault.source not in self.pid_by_name:
            raise ValueError(
                f"fault {fault.name!r} is for unknown source {fault.source!r}"
            )
        if fault.name in self.conditions.faults_by_name:
            raise ValueError(f"fault {fault.name!r} is applied already")
        if fault.source:
            await self.look_up()
        if fault.effect is Effect.RESET:
            for connection in list(self.connections):
                if matches(fault, connection.link.name, connection.source):
                    await connection.task.cancel(blocking=False)
            return
        await self.conditions.begin(fault)
        if fault.effect is Effect.REFUSE:
            for name in fault.links:
                await self.links_by_name[name].apply()

    def _report(self) -> Report:
        totals = Totals()
        for usage in self.ended.usage():
            totals.add(usage)
        for connection in self.connections:
            if connection.ways:
                totals.add(connection.usage)
        refused, self.refused = self.refused, []
        return Report(usage=totals.usage(), refused=refused)

    def record_refusal(self, connection: Connection, is_fault: bool) -> None:
        """Record a connection that is reset without a byte."""
        self.refused.append(
            RefusedConnection(
                link=connection.link.name,
                client=connection.client,
                at_ms=self.clock.now_ms(),
                is_fault=is_fault,
            )
        )

    async def run_connection(self, connection: Connection) -> None:
        """Start the task of a connection."""
        self.connections.add(connection)
        connection.task = await curio.spawn(connection.run, daemon=True)

    def forget(self, connection: Connection) -> None:
        """Keep only the totals of a connection that ends."""
        self.connections.discard(connection)
        if connection.ways:
            self.ended.add(connection.usage)

    async def _look_up_steadily(self) -> None:
        while True:
            await curio.sleep(LOOK_UP_INTERVAL_MS / MS_PER_SECOND)
            if self.conditions.names_a_source:
                await self.look_up()

    async def look_up(self) -> None:
        """Find the sources of the connections whose source is not known."""
        async with self._look_up_lock:
            unknown = [
                each
                for each in self.connections
                if not each.source and each.look_ups < MAX_LOOK_UPS
            ]
            if not unknown:
                return
            name_by_pid = {pid: name for name, pid in self.pid_by_name.items()}
            ends = [each.ends for each in unknown]
            found = await curio.run_in_thread(find_sources, ends, name_by_pid)
            for each in unknown:
                each.look_ups += 1
                each.source = found.get(each.ends, "")


def is_unexpected(record: logging.LogRecord) -> bool:
    """Return whether a task did not end by the end of a connection."""
    error = record.exc_info[1] if record.exc_info else None
    return not isinstance(error, OSError)


async def main(descriptor: int) -> None:
    """Run the proxy.

    Args:
        descriptor: Descriptor of a connected socket for commands.
    """
    commands = socket.socket(fileno=descriptor)
    commands.setblocking(False)
    await Proxy(commands).run()


if __name__ == "__main__":
    ignore_late_ends()
    # A connection that breaks ends the tasks of its ways with an error.
    logging.getLogger("curio.kernel").addFilter(is_unexpected)
    curio.run(main, int(sys.argv[1]))
