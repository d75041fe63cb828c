"""Emulated link between processes: messages, and tunnels through entries."""

from collections.abc import Callable
from typing import Any

import attrs
import curio

from wagtailrun.adapters.tcp_link import ALIVE_MS
from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.exceptions import PeerUnreachable
from wagtailrun.experiments.relay.network import Network, Process
from wagtailrun.experiments.relay.sockets import VirtualSocket
from wagtailrun.ports.link import Address, PeerListener, TunnelLink, Upgrade

__all__ = ["EmulatedLink", "EmulatedPeerServer"]

READ_BYTES = 64 * 1024
DRAIN_POLL_MS = 50


@attrs.define(eq=False)
class _Exchange:
    """A message and its reply.

    Attributes:
        is_abandoned: Whether the sender no longer waits for the reply.
        is_sent: Whether the message has arrived.
        reply: The reply.
        sock: The sender's end of a tunnel, if the reply opened one.
        error: Why there is no reply.
        ended: Set when there is a reply or an error.
    """

    is_abandoned: bool = False
    is_sent: bool = False
    reply: Any = None
    sock: VirtualSocket | None = None
    error: str = ""
    ended: curio.Event = attrs.field(factory=curio.Event)


class EmulatedLink(TunnelLink):
    """Calls the processes of an emulated network; messages are passed as they are.

    Args:
        network: Network.
        process: The process that calls.
    """

    def __init__(self, network: Network, process: Process):
        self.network = network
        self.process = process
        self.clock = network.clock
        self.last_reply_ms_by_address: dict[Address, int] = {}

    async def call(self, address: Address, message: Any, timeout_ms: int) -> Any:
        """Send ``message`` and return the reply; see ``PeerLink``."""
        exchange = await self._exchange(address, message, timeout_ms)
        return exchange.reply

    async def open_tunnel(
        self, address: Address, message: Any, timeout_ms: int, opened: type
    ) -> Any:
        """Return a connection through a process, or a reply; see ``TunnelLink``."""
        exchange = await self._exchange(address, message, timeout_ms)
        if isinstance(exchange.reply, opened) and exchange.sock is not None:
            return _TunnelSocket(exchange.sock)
        return exchange.reply

    async def _exchange(
        self, address: Address, message: Any, timeout_ms: int
    ) -> _Exchange:
        exchange = _Exchange()
        task = await curio.spawn(self._deliver, address, message, exchange, daemon=True)
        try:
            await curio.ignore_after(timeout_ms / MS_PER_SECOND, exchange.ended.wait)
        finally:
            if exchange.reply is None and not exchange.error:
                exchange.is_abandoned = True
                await task.cancel(blocking=False)
        if exchange.error:
            raise PeerUnreachable(
                f"no reply from peer {address}: {exchange.error}",
                sent=exchange.is_sent,
            )
        now_ms = self.clock.now_ms()
        if exchange.is_abandoned:
            last_ms = self.last_reply_ms_by_address.get(address)
            raise PeerUnreachable(
                f"no reply from peer {address} within {timeout_ms} ms",
                alive=last_ms is not None and now_ms - last_ms < ALIVE_MS,
                timed_out=True,
            )
        self.last_reply_ms_by_address[address] = now_ms
        return exchange

    async def _deliver(
        self, address: Address, message: Any, exchange: _Exchange
    ) -> None:
        """Carry a message there and its reply back."""
        receiver = self.network.processes_by_address.get(address)
        if receiver is None:
            await curio.Event().wait()
            return
        await self.network.send(self.process, receiver)
        if receiver.handle is None or not (receiver.is_alive and receiver.accepts):
            await self.network.send(receiver, self.process)
            exchange.error = "connection refused"
        else:
            exchange.is_sent = True
            answering = await receiver.tasks.spawn(
                self._answer, receiver, message, exchange
            )
            await answering.wait()
            # An end of the process cancels it before it has replied.
            if exchange.reply is None and not exchange.error:
                await self.network.send(receiver, self.process)
                exchange.error = "connection reset"
        await exchange.ended.set()

    async def _answer(
        self, receiver: Process, message: Any, exchange: _Exchange
    ) -> None:
        """Answer a message in the process that got it."""
        assert receiver.handle is not None
        try:
            reply = await receiver.handle(message)
        except Exception as error:
            # What a peer would be told in an error reply.
            exchange.error = f"peer failed: {error!r}"
            return
        await self.network.send(receiver, self.process)
        if not isinstance(reply, Upgrade):
            exchange.reply = reply
        elif exchange.is_abandoned:
            await reply.close("the entry did not take the reply")
        else:
            connection = self.network.join(self.process, receiver)
            exchange.sock = connection.sockets[0]
            exchange.reply = reply.reply
            await receiver.tasks.spawn(_run_tunnel, reply, connection.sockets[1])


async def _run_tunnel(upgrade: Upgrade, sock: VirtualSocket) -> None:
    """Carry a tunnel until its end."""
    detail = "cancelled"
    try:
        detail = await upgrade.run(_TunnelEnd(sock))
    finally:
        await upgrade.close(detail)
        await sock.reset(f"the tunnel was closed: {detail}")


class _TunnelSocket:
    """Connection to a server that another process carries.

    An end that its carrier does not tell of is an interruption, as the carrier resets
    the connection then.
    """

    def __init__(self, sock: VirtualSocket):
        self.sock = sock

    async def recv(self, size: int) -> bytes:
        """Return the next bytes of the server; empty after its end."""
        return await self.sock.recv(size)

    async def sendall(self, data: bytes) -> None:
        """Send bytes to the server."""
        await self.sock.sendall(data)

    def fileno(self) -> int:
        """Return a number that stands for the descriptor."""
        return self.sock.fileno()

    async def close(self) -> None:
        """Close the connection."""
        await self.sock.close()


class _TunnelEnd:
    """The other entry's end of a tunnel, at the process that carries it."""

    def __init__(self, sock: VirtualSocket):
        self.sock = sock

    async def recv(self) -> bytes:
        """Return the next bytes for the server; empty when the peer has closed."""
        return await self.sock.recv(READ_BYTES)

    def is_readable(self) -> bool:
        """Return whether bytes for the server have arrived, or the peer's end."""
        return self.sock.is_ready()

    async def send(self, data: bytes) -> None:
        """Send bytes of the server."""
        await self.sock.sendall(data)

    async def send_end(self) -> None:
        """Tell the peer that the server has ended its side."""
        await self.sock.send_end()

    async def send_interruption(self) -> None:
        """Tell the peer that nothing follows, without the end of the server's side."""
        await self.sock.reset("the tunnel was interrupted")


class EmulatedPeerServer(PeerListener):
    """Answers the messages to one process.

    Args:
        process: Process.
        handle: Returns the reply to each message.
        clock: Clock.
    """

    def __init__(
        self, process: Process, handle: Callable[[Any], Any], clock: Any
    ) -> None:
        self.process = process
        self.handle = handle
        self.clock = clock
        self.running = 0

    async def serve(self) -> None:
        """Answer messages until cancelled."""
        self.process.handle = self._answer
        await curio.Event().wait()

    async def _answer(self, message: Any) -> Any:
        self.running += 1
        try:
            return await self.handle(message)
        finally:
            self.running -= 1

    async def drain(self, limit_ms: int) -> None:
        """Take no more messages, and wait for the replies to those that arrived."""
        self.process.accepts = False
        ends_ms = self.clock.now_ms() + limit_ms
        while self.running and self.clock.now_ms() < ends_ms:
            await self.clock.sleep_ms(DRAIN_POLL_MS)
