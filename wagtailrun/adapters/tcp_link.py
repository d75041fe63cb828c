"""Peer messages over TCP: length-prefixed frames, one call at a time per connection."""

import hashlib
import hmac
import secrets
import select
import socket
import struct
from contextlib import suppress
from typing import Any

import curio

from wagtailrun.adapters import numeric_connection
from wagtailrun.adapters.connection_pool import ConnectionPool
from wagtailrun.adapters.dead_peers import enable_dead_peer_detection
from wagtailrun.adapters.listener import Listener
from wagtailrun.clock import MS_PER_SECOND, SystemClock, drop_expired
from wagtailrun.codec import decode, encode
from wagtailrun.exceptions import MalformedAddress, MessageError, PeerUnreachable
from wagtailrun.logs import events
from wagtailrun.messages import STOPPING, PeerError
from wagtailrun.ports.link import (
    Address,
    Handler,
    PeerListener,
    TunnelLink,
    Upgrade,
)
from wagtailrun.process.descriptors import DescriptorShares
from wagtailrun.process.fairness import Turns
from wagtailrun.process.late_tasks import LATE_WAIT_MS
from wagtailrun.process.loop_watch import MIN_LATE_MS
from wagtailrun.process.memory_budget import PROCESS_MEMORY, Kind
from wagtailrun.process.shortages import is_shortage, is_shortage_for_one

__all__ = ["PeerServer", "TcpPeerLink"]

READ_BYTES = 64 * 1024
MAX_FRAME_BYTES = 8 * 1024 * 1024
LENGTH = struct.Struct(">I")
NONCE_BYTES = 16
DIGEST_BYTES = 32
HANDSHAKE_TIMEOUT_MS = 2_000
# A VM without power does not refuse a connection. TCP sends a lost SYN again after a
# second, which is longer than trying another peer.
CONNECT_TIMEOUT_MS = 300
IDLE_TIMEOUT_MS = 60_000
# A call that waits for a stage occupies its connection for about a third of a second.
MAX_IDLE_CONNECTIONS_PER_PEER = 16
# Well below IDLE_TIMEOUT_MS, so that a pooled connection is not reused while the server
# closes it.
MAX_POOLED_AGE_MS = 20_000
# A peer that answered within this time is slow rather than dead or cut off.
ALIVE_MS = 500
# A peer whose call timed out while this process stood still is not excused again within
# this time, unless it answers.
EXCUSE_INTERVAL_MS = 5_000
# Errors of a call that tell that the peer was not reached, or did not reply.
CALL_ERRORS = (OSError, EOFError, MalformedAddress, MessageError, curio.TaskTimeout)
DRAIN_POLL_MS = 5
# The first message of a new connection follows its handshake within this time.
FIRST_MESSAGE_MS = 100
# Last frame of a connection that a stopping process ends. To a message that crosses it,
# it is the reply; without a message, the link does not use the connection again.
LAST_FRAME = encode(PeerError(STOPPING, "this process stops"))


class _FrameSocket:
    """Reads and writes length-prefixed frames on a socket.

    Args:
        sock: Connected socket.
    """

    def __init__(self, sock: Any):
        self.sock = sock
        # State in the pool, see ``PooledConnection``.
        self.idle_since_ms = 0
        self.max_idle_ms = MAX_POOLED_AGE_MS
        self.identities: tuple[str, ...] = ()
        # Until when its first frame is taken to be on its way.
        self.awaited_until_ms = 0
        # Size of the frame that is being read; 0 until its length has arrived.
        self.frame_bytes = 0
        self._received = bytearray()
        self._turns = Turns()

    async def read_exactly(self, size: int) -> bytes:
        """Return the next ``size`` bytes.

        Raises:
            EOFError: If the peer closed the connection.
        """
        await self._receive(size)
        data = bytes(self._received[:size])
        del self._received[:size]
        return data

    async def _receive(self, size: int) -> None:
        """Receive until ``size`` bytes can be read."""
        # One read takes the length and the frame together, which halves the system
        # calls of short messages.
        while len(self._received) < size:
            chunk = await self.sock.recv(READ_BYTES)
            if not chunk:
                raise EOFError("connection closed by peer")
            self._received += chunk
            await self._turns.take(len(chunk))

    async def read_some(self) -> bytes:
        """Return the next bytes, not framed; empty if the peer closed."""
        if not self._received:
            received: bytes = await self.sock.recv(READ_BYTES)
            return received
        data = bytes(self._received)
        self._received.clear()
        return data

    async def read_frame(self) -> bytes:
        """Return the next frame.

        A read that is cancelled may be repeated: nothing of the frame is taken before
        all of it has arrived.

        Raises:
            EOFError: If the peer closed the connection.
            MessageError: If the frame is too large.
        """
        self.frame_bytes = 0
        await self._receive(LENGTH.size)
        (size,) = LENGTH.unpack_from(self._received)
        if size > MAX_FRAME_BYTES:
            raise MessageError(f"frame of {size} bytes exceeds {MAX_FRAME_BYTES}")
        self.frame_bytes = size
        with PROCESS_MEMORY.hold(Kind.PEERS) as held:
            # Not refused: the processes of the system need each other's messages.
            held.record(size)
            await self._receive(LENGTH.size + size)
            del self._received[: LENGTH.size]
            return await self.read_exactly(size)

    async def write_frame(self, frame: bytes) -> None:
        """Send a frame."""
        await self.sock.sendall(LENGTH.pack(len(frame)) + frame)

    @property
    def progress(self) -> str:
        """How much of the frame that is being read has arrived."""
        if not self.frame_bytes:
            return "no part of the reply"
        received = len(self._received) - LENGTH.size
        return f"{received} of {self.frame_bytes} bytes of the reply"

    @property
    def has_part(self) -> bool:
        """Whether a part of a frame has arrived, or one is answered."""
        return bool(self.frame_bytes or self._received)

    @property
    def has_unread_bytes(self) -> bool:
        """Whether bytes after the last frame were received."""
        return bool(self._received)

    def is_readable(self) -> bool:
        """Return whether the socket has bytes, or the peer closed the connection."""
        poll = select.poll()
        poll.register(self.sock.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    async def stop_if_idle(self) -> None:
        """Read no more, unless a part of a frame has arrived or one is answered."""
        if not self.has_part and not self.is_readable():
            # The peer may have reset the connection a moment ago.
            with suppress(OSError):
                await self.sock.shutdown(socket.SHUT_RD)

    def is_reusable(self) -> bool:
        """Return whether the connection may carry another call.

        Bytes after a reply belong to no call.
        """
        return not self.has_unread_bytes

    async def close(self) -> None:
        """Close the connection."""
        await self.sock.close()


def _digest(secret: bytes, label: bytes, *nonces: bytes) -> bytes:
    return hmac.new(secret, label + b"".join(nonces), hashlib.sha256).digest()


async def _handshake_client(connection: _FrameSocket, secret: bytes) -> None:
    """Prove knowledge of the secret to the server, and verify the server's proof.

    Raises:
        MessageError: If the server does not know the secret.
    """
    nonce = secrets.token_bytes(NONCE_BYTES)
    server_nonce = await connection.read_exactly(NONCE_BYTES)
    await connection.sock.sendall(
        nonce + _digest(secret, b"client", server_nonce, nonce)
    )
    proof = await connection.read_exactly(DIGEST_BYTES)
    if not hmac.compare_digest(proof, _digest(secret, b"server", nonce, server_nonce)):
        raise MessageError(
            "peer does not know the shared secret; check the setting peer_secret"
        )


async def _handshake_server(connection: _FrameSocket, secret: bytes) -> None:
    """Verify the client's proof that it knows the secret, then prove the same.

    Raises:
        MessageError: If the client does not know the secret.
    """
    nonce = secrets.token_bytes(NONCE_BYTES)
    await connection.sock.sendall(nonce)
    client_nonce = await connection.read_exactly(NONCE_BYTES)
    proof = await connection.read_exactly(DIGEST_BYTES)
    if not hmac.compare_digest(proof, _digest(secret, b"client", nonce, client_nonce)):
        raise MessageError(
            "peer does not know the shared secret; check the setting peer_secret"
        )
    await connection.sock.sendall(_digest(secret, b"server", client_nonce, nonce))


class PeerTunnel:
    """A connection to a server that a peer carries, used like a socket.

    The peer sends what the server sent in frames, and an empty frame when the server
    has ended its side. Without it the connection was interrupted: an answer may only
    end with its connection if the server ended it.

    Args:
        connection: Connection to the peer.
    """

    def __init__(self, connection: _FrameSocket):
        self.connection = connection
        self.ended = False

    async def recv(self, size: int) -> bytes:
        """Return the next bytes of the server; empty after its end.

        Raises:
            ConnectionResetError: If the connection was interrupted.
        """
        if self.ended:
            return b""
        try:
            frame = await self.connection.read_frame()
        except (EOFError, MessageError) as error:
            raise ConnectionResetError(f"the tunnel was closed: {error}") from error
        self.ended = not frame
        return frame

    async def sendall(self, data: bytes) -> None:
        """Send bytes to the server."""
        await self.connection.sock.sendall(data)

    def fileno(self) -> int:
        """Return the descriptor of the connection to the peer."""
        descriptor: int = self.connection.sock.fileno()
        return descriptor

    async def close(self) -> None:
        """Close the connection; the peer closes its one to the server."""
        await self.connection.close()


class _TunnelEnd:
    """A peer's end of a tunnel, at the process that carries it."""

    def __init__(self, connection: _FrameSocket):
        self.connection = connection

    async def recv(self) -> bytes:
        """Return the next bytes for the server; empty when the peer has closed."""
        return await self.connection.read_some()

    def is_readable(self) -> bool:
        """Return whether bytes for the server have arrived, or the peer's end."""
        return self.connection.has_unread_bytes or self.connection.is_readable()

    async def send(self, data: bytes) -> None:
        """Send bytes of the server."""
        await self.connection.write_frame(data)

    async def send_end(self) -> None:
        """Tell the peer that the server has ended its side."""
        await self.connection.write_frame(b"")

    async def send_interruption(self) -> None:
        """Tell the peer that nothing follows, without the end of the server's side.

        What was sent before still arrives; closing could discard it.
        """
        await self.connection.sock.shutdown(socket.SHUT_WR)


class TcpPeerLink(TunnelLink):
    """Calls peers over pooled TCP connections.

    A connection carries one call at a time and is closed after any failure, so that a
    late reply is never mistaken for the reply to another call.

    Args:
        secret: Shared secret of the system's processes.
        shares: Division of the process's descriptors; by default of the number that
            the operating system allows.
    """

    def __init__(self, secret: bytes, shares: DescriptorShares | None = None):
        shares = DescriptorShares() if shares is None else shares
        self.secret = secret
        self.clock = SystemClock()
        self.pool: ConnectionPool[_FrameSocket] = ConnectionPool(
            self.clock,
            shares.idle_to_peers,
            max_per_address=MAX_IDLE_CONNECTIONS_PER_PEER,
        )
        # Those within ``ALIVE_MS``, the oldest first.
        self.last_reply_ms_by_address: dict[Address, int] = {}
        # Peers whose silence was put down to a standstill of this process.
        self.excused_until_ms_by_address: dict[Address, int] = {}

    @property
    def idle_by_address(self) -> dict[Address, list[_FrameSocket]]:
        """Idle connections by the address of the peer."""
        return self.pool.idle_by_address

    async def call(self, address: Address, message: Any, timeout_ms: int) -> Any:
        """Send ``message`` and return the reply; see ``PeerLink.call``."""
        connection, reply = await self._exchange(address, message, timeout_ms)
        return await self._finish(address, connection, reply)

    async def open_tunnel(
        self, address: Address, message: Any, timeout_ms: int, opened: type
    ) -> Any:
        """Return a ``PeerTunnel``, or a reply; see ``TunnelLink.open_tunnel``."""
        connection, reply = await self._exchange(address, message, timeout_ms)
        if isinstance(reply, opened):
            return PeerTunnel(connection)
        return await self._finish(address, connection, reply)

    async def _finish(
        self, address: Address, connection: _FrameSocket, reply: Any
    ) -> Any:
        """Return the reply of a call whose connection may be used again."""
        await self.pool.release(address, connection)
        if isinstance(reply, PeerError):
            raise PeerUnreachable(
                f"peer {address}: {reply.detail}",
                sent=True,
                stopping=reply.reason == STOPPING,
            )
        return reply

    async def _exchange(
        self, address: Address, message: Any, timeout_ms: int
    ) -> tuple[_FrameSocket, Any]:
        """Send ``message``; return the connection that was used and the reply."""
        frame = encode(message)
        connection, is_sent, reply = None, False, None
        ends_ms = self.clock.now_ms() + timeout_ms
        try:
            async with curio.ignore_after(timeout_ms / MS_PER_SECOND):
                connection = await self._connect(address)
                connection.frame_bytes = 0
                await connection.write_frame(frame)
                is_sent = True
                reply = await connection.read_frame()
            if reply is None and is_sent and not connection.frame_bytes:
                # After a standstill the event loop handles the limit before a reply
                # that has arrived.
                async with curio.ignore_after(LATE_WAIT_MS / MS_PER_SECOND):
                    reply = await connection.read_frame()
            if reply is None:
                raise curio.TaskTimeout(timeout_ms / MS_PER_SECOND)
            reply = decode(reply)
        except BaseException as error:
            if connection is not None:
                await connection.close()
            if not isinstance(error, CALL_ERRORS):
                raise
            timed_out = isinstance(error, curio.TaskTimeout)
            was_held = self.clock.now_ms() - ends_ms >= MIN_LATE_MS
            alive = timed_out and (
                self._is_alive(address) or was_held and self._excuse(address)
            )
            # One for a single address may last; another peer is used meanwhile.
            shortage = is_shortage(error) and not is_shortage_for_one(error)
            if shortage:
                events.log(
                    events.CONNECT_SHORT, address=str(address), detail=str(error)
                )
            elif not alive:
                # When the path is down, the other pooled connections fail as well.
                # Dropped connections of a slow peer would cost it new handshakes.
                await self.pool.drop(address)
            reason = str(error) or type(error).__name__
            if timed_out:
                # A partial reply distinguishes a slow path from a peer that is down.
                progress = connection.progress if connection else "no connection"
                reason = f"timed out after {timeout_ms} ms with {progress}"
            detail = f"no reply from peer {address.shown}: {reason}"
            sent = connection is not None
            raise PeerUnreachable(
                detail,
                sent=sent,
                alive=alive,
                timed_out=timed_out or isinstance(error, TimeoutError),
                shortage=shortage,
            ) from error
        self._record_reply(address)
        return connection, reply

    def _record_reply(self, address: Address) -> None:
        now_ms = self.clock.now_ms()
        self.last_reply_ms_by_address.pop(address, None)
        self.last_reply_ms_by_address[address] = now_ms
        self.excused_until_ms_by_address.pop(address, None)
        # Peers that were replaced do not answer again.
        for other, last_ms in list(self.last_reply_ms_by_address.items()):
            if now_ms - last_ms < ALIVE_MS:
                break
            del self.last_reply_ms_by_address[other]

    def _excuse(self, address: Address) -> bool:
        """Return whether the silence of a peer may be due to this process alone.

        A process that notices each limit late would never find out that a peer is dead,
        so a peer is excused once until it answers, or for a while.
        """
        now_ms = self.clock.now_ms()
        drop_expired(self.excused_until_ms_by_address, now_ms)
        is_first = address not in self.excused_until_ms_by_address
        self.excused_until_ms_by_address[address] = now_ms + EXCUSE_INTERVAL_MS
        return is_first

    def _is_alive(self, address: Address) -> bool:
        """Return whether a peer answered another call a moment ago."""
        last_ms = self.last_reply_ms_by_address.get(address)
        return last_ms is not None and self.clock.now_ms() - last_ms < ALIVE_MS

    async def close(self) -> None:
        """Close all idle connections."""
        for address in list(self.idle_by_address):
            await self.pool.drop(address)

    async def _connect(self, address: Address) -> _FrameSocket:
        """Return a pooled connection that is recent enough, or open one."""
        connection = await self.pool.take(address)
        if connection is not None:
            return connection
        sock = await numeric_connection.open_in_time(address, CONNECT_TIMEOUT_MS)
        enable_dead_peer_detection(sock)
        connection = _FrameSocket(sock)
        try:
            await _handshake_client(connection, self.secret)
        except BaseException:
            await connection.close()
            raise
        return connection


class PeerServer(PeerListener):
    """Answers the messages of other processes of the system.

    Args:
        address: Address to listen on.
        secret: Shared secret of the system's processes.
        handler: Called with each message; returns the reply.
    """

    def __init__(self, address: Address, secret: bytes, handler: Handler):
        self.secret = secret
        self.handler = handler
        # In the handshake of peers the server sends first.
        self.listener = Listener(address, self._serve_connection, clients_begin=False)
        # Connections that carry messages; tunnels are not among them.
        self.connections: set[_FrameSocket] = set()
        self.draining = False
        self.clock = SystemClock()

    async def serve(self) -> None:
        """Serve until cancelled.

        Raises:
            SettingsError: If the address cannot be listened on.
        """
        await self.listener.run()

    async def drain(self, limit_ms: int) -> None:
        """Refuse new connections, answer what has arrived, and end the connections.

        A peer whose connection is refused, or ended while it is idle, knows that its
        message was not read, also if it crosses the end. Tunnels go on.

        Args:
            limit_ms: How long to wait for the replies, in milliseconds.
        """
        self.draining = True
        async with curio.ignore_after(limit_ms / MS_PER_SECOND):
            is_over = False
            while not is_over:
                # Without a free descriptor again after idle connections have ended.
                await self.listener.close(0, keeps_queue=True)
                now_ms = self.clock.now_ms()
                for connection in list(self.connections):
                    if now_ms >= connection.awaited_until_ms:
                        await connection.stop_if_idle()
                # What was just accepted is among the connections after a turn.
                await curio.sleep(DRAIN_POLL_MS / MS_PER_SECOND)
                is_over = not self.connections and not self.listener.is_listening
        await self.listener.close(0)

    async def _serve_connection(self, sock: Any, peer: Any) -> None:
        connection = _FrameSocket(sock)
        self.connections.add(connection)
        try:
            async with curio.timeout_after(HANDSHAKE_TIMEOUT_MS / MS_PER_SECOND):
                await _handshake_server(connection, self.secret)
            connection.awaited_until_ms = self.clock.now_ms() + FIRST_MESSAGE_MS
            upgrade = await self._answer_messages(connection)
            if upgrade is not None:
                self.connections.discard(connection)
                await _serve_tunnel(connection, upgrade)
        except MessageError as error:
            events.log(events.PEER_REJECTED, peer=str(peer), detail=str(error))
        except (OSError, EOFError, curio.TaskTimeout):
            return
        finally:
            self.connections.discard(connection)

    async def _answer_messages(self, connection: _FrameSocket) -> Upgrade | None:
        """Answer messages until one asks for a tunnel, or this process stops."""
        while True:
            try:
                async with curio.timeout_after(IDLE_TIMEOUT_MS / MS_PER_SECOND):
                    frame = await connection.read_frame()
            except EOFError:
                # Nothing more is read here, whatever arrives.
                if self.draining and not connection.has_part:
                    await connection.write_frame(LAST_FRAME)
                raise
            connection.awaited_until_ms = 0
            reply = await _make_reply(self.handler, frame)
            if isinstance(reply, Upgrade):
                return reply
            await connection.write_frame(reply)
            if self.draining:
                await connection.write_frame(LAST_FRAME)
                return None


async def _serve_tunnel(connection: _FrameSocket, upgrade: Upgrade) -> None:
    """Carry a tunnel until its end."""
    detail = "the entry did not take the reply"
    try:
        enable_dead_peer_detection(connection.sock)
        await connection.write_frame(encode(upgrade.reply))
        detail = "cancelled"
        detail = await upgrade.run(_TunnelEnd(connection))
    finally:
        await upgrade.close(detail)


async def _make_reply(handler: Handler, frame: bytes) -> bytes | Upgrade:
    try:
        reply = await handler(decode(frame))
    except MessageError:
        raise
    except Exception as error:  # An error in one handler must not end the listener.
        return _error_reply(error)
    if isinstance(reply, Upgrade):
        return reply
    try:
        return encode(reply)
    except Exception as error:  # The request was sound, so its connection stays open.
        return _error_reply(error)


def _error_reply(error: Exception) -> bytes:
    events.log(events.HANDLER_FAILED, detail=repr(error))
    return encode(PeerError("internal", repr(error)))
