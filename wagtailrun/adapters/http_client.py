"""HTTP/1.1 client on h11, with a pool of idle connections an address."""

import re
import select
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import attrs
import curio
import h11

from wagtailrun.clock import MS_PER_SECOND, Clock, SystemClock
from wagtailrun.exceptions import ConnectFailed, TargetFailed, Verdict
from wagtailrun.ports.link import Address

__all__ = ["HttpClient", "HttpReply", "HttpStream", "enable_dead_peer_detection"]

READ_BYTES = 64 * 1024
MAX_REPLY_BYTES = 16 * 1024 * 1024
MAX_IDLE_CONNECTIONS = 32
# Idle connections may have been forgotten by something between the two ends.
MAX_IDLE_MS = 15_000
CONNECT_TIMEOUT_MS = 1_000
# A connection is given back this long before the server would close it.
KEEP_ALIVE_MARGIN_MS = 500
KEEP_ALIVE_PATTERN = re.compile(r"timeout\s*=\s*(\d{1,6})")
# A path that lost every packet is reported as an error after this time, whether bytes
# wait to be acknowledged or an answer is awaited.
SILENT_PATH_MS = 2_000
PROBE_IDLE_S = 1
PROBE_INTERVAL_S = 1
PROBE_COUNT = 2

Headers = tuple[tuple[str | bytes, str | bytes], ...]


@attrs.frozen
class HttpReply:
    """A whole HTTP answer.

    Attributes:
        status: HTTP status.
        headers: Header values by lower-case name.
        body: Whole body.
    """

    status: int
    headers: dict[str, str]
    body: bytes


class HttpStream:
    """An answer whose body is read piece by piece."""

    def __init__(self, connection: "_Connection", head: h11.Response):
        self.connection = connection
        self.status = head.status_code
        self.headers = {n.decode(): v.decode("latin-1") for n, v in head.headers}
        self.header_pairs = tuple(head.headers.raw_items())

    @property
    def length(self) -> int | None:
        """Size of the body, if the server stated one."""
        text = self.headers.get("content-length", "")
        return int(text) if text.isdecimal() else None

    async def next_answer(self, idle_timeout_ms: int) -> "HttpStream":
        """Skip this answer, which belongs to an earlier request, and read the next.

        Raises:
            TargetFailed: If the connection broke, or went silent.
        """
        await self.read_all(idle_timeout_ms)
        self.connection.expect_another()
        head = await self.connection.read_head(idle_timeout_ms)
        return HttpStream(self.connection, head)

    async def read(self, idle_timeout_ms: int) -> bytes:
        """Return the next piece of the body; empty at its proper end.

        Args:
            idle_timeout_ms: Longest wait for a piece, in milliseconds.

        Raises:
            TargetFailed: If the connection broke, or went silent.
        """
        event = await self.connection.next_event(idle_timeout_ms)
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return b""
        raise TargetFailed("connection closed early", verdict=Verdict.MAY_HAVE_RUN)

    async def read_all(self, idle_timeout_ms: int) -> bytes:
        """Return the rest of the body; see ``read``."""
        pieces = []
        size = 0
        while piece := await self.read(idle_timeout_ms):
            pieces.append(piece)
            size += len(piece)
            if size > MAX_REPLY_BYTES:
                raise TargetFailed("answer too large", verdict=Verdict.MAY_HAVE_RUN)
        return b"".join(pieces)


class _Connection:
    """One connection to a server, for one request at a time."""

    def __init__(self, sock: Any):
        self.sock = sock
        self.http = h11.Connection(h11.CLIENT)
        self.idle_since_ms = 0
        self.keep_ms = MAX_IDLE_MS
        self.request: h11.Request | None = None

    def expect_another(self) -> None:
        """Read what follows as a further answer to the request that was sent."""
        rest, closed = self.http.trailing_data
        self.http = h11.Connection(h11.CLIENT)
        # Only the method matters for reading an answer; these bytes are not sent.
        method = self.request.method
        again = h11.Request(method=method, target=b"/", headers=[("Host", "x")])
        self.http.send(again)
        self.http.send(h11.EndOfMessage())
        if rest:
            self.http.receive_data(rest)
        if closed:
            self.http.receive_data(b"")

    async def read_head(self, timeout_ms: int) -> h11.Response:
        """Return the head of the answer.

        Raises:
            TargetFailed: If the connection broke, or went silent.
        """
        while True:
            event = await self.next_event(timeout_ms)
            if isinstance(event, h11.Response):
                return event
            if not isinstance(event, h11.InformationalResponse):
                detail = "the server closed the connection without an answer"
                raise TargetFailed(detail, verdict=Verdict.MAY_HAVE_RUN)

    def has_bytes(self) -> bool:
        """Whether unasked bytes, or the end of the connection, have arrived."""
        poll = select.poll()
        poll.register(self.sock.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    async def next_event(self, timeout_ms: int) -> Any:
        try:
            # Most events are complete already; arming a timeout for each of them
            # would cost as much as reading it.
            if (event := self.http.next_event()) is not h11.NEED_DATA:
                return event
            async with curio.timeout_after(timeout_ms / MS_PER_SECOND):
                while event is h11.NEED_DATA:
                    self.http.receive_data(await self.sock.recv(READ_BYTES))
                    event = self.http.next_event()
                return event
        except curio.TaskTimeout as error:
            detail = f"connection silent for {timeout_ms} ms"
            raise TargetFailed(
                detail, verdict=Verdict.MAY_HAVE_RUN, timed_out=True
            ) from error
        except (OSError, h11.RemoteProtocolError) as error:
            raise TargetFailed(str(error), verdict=Verdict.MAY_HAVE_RUN) from error

    def is_reusable(self) -> bool:
        done = self.http.our_state is h11.DONE and self.http.their_state is h11.DONE
        # Bytes behind a complete answer belong to no request of ours.
        return done and not self.http.trailing_data[0]


class HttpClient:
    """Sends requests to servers named by address.

    Args:
        clock: Clock for the age of idle connections.
    """

    def __init__(self, clock: Clock | None = None):
        self.clock = clock or SystemClock()
        self.idle_by_address: dict[Address, list[_Connection]] = {}

    async def request(
        self,
        address: Address,
        method: str,
        path: str,
        headers: Headers = (),
        body: bytes = b"",
        *,
        timeout_ms: int,
        new_connection: bool = False,
        host: str | None = None,
    ) -> HttpReply:
        """Send a request and return the whole answer.

        Args:
            address: Server.
            method: HTTP method.
            path: Path with query.
            headers: Further headers.
            body: Body, sent with its length.
            timeout_ms: Longest silence of the connection, in milliseconds.
            new_connection: Whether to bypass the pool of idle connections.
            host: Value of the Host header; by default the address.

        Raises:
            TargetFailed: With the verdict "not run" if no byte was sent.
        """
        async with self.open(
            address,
            method,
            path,
            headers,
            body,
            timeout_ms=timeout_ms,
            new_connection=new_connection,
            host=host,
        ) as stream:
            data = await stream.read_all(timeout_ms)
            return HttpReply(stream.status, stream.headers, data)

    @asynccontextmanager
    async def open(
        self,
        address: Address,
        method: str,
        path: str | bytes,
        headers: Headers = (),
        body: bytes = b"",
        *,
        timeout_ms: int,
        new_connection: bool = False,
        host: str | None = None,
        connect_timeout_ms: int = CONNECT_TIMEOUT_MS,
    ) -> AsyncIterator[HttpStream]:
        """Send a request and yield the answer as a stream; see ``request``."""
        connection = await self._connect(address, new_connection, connect_timeout_ms)
        try:
            fields = [
                ("Host", host or str(address)),
                ("Content-Length", str(len(body))),
                *headers,
            ]
            request = h11.Request(method=method, target=path, headers=fields)
            await _send(connection, request, body, timeout_ms)
            head = await connection.read_head(timeout_ms)
            stream = HttpStream(connection, head)
            yield stream
        except BaseException:
            await connection.sock.close()
            raise
        _note_keep_alive(connection, stream.headers)
        await self._release(address, connection)

    async def _connect(
        self, address: Address, new_connection: bool, connect_timeout_ms: int
    ) -> _Connection:
        idle = self.idle_by_address.get(address, [])
        while idle and not new_connection:
            connection = idle.pop()
            age_ms = self.clock.now_ms() - connection.idle_since_ms
            if age_ms < connection.keep_ms and not connection.has_bytes():
                connection.http.start_next_cycle()
                return connection
            await connection.sock.close()
        try:
            async with curio.timeout_after(connect_timeout_ms / MS_PER_SECOND):
                sock = await curio.open_connection(address.host, address.port)
        except (OSError, curio.TaskTimeout) as error:
            raise ConnectFailed(f"cannot connect to {address}: {error}") from error
        enable_dead_peer_detection(sock)
        return _Connection(sock)

    async def _release(self, address: Address, connection: _Connection) -> None:
        idle = self.idle_by_address.setdefault(address, [])
        if connection.is_reusable() and len(idle) < MAX_IDLE_CONNECTIONS:
            connection.idle_since_ms = self.clock.now_ms()
            idle.append(connection)
        else:
            await connection.sock.close()


def enable_dead_peer_detection(sock: Any) -> None:
    """Let the operating system report a path that went silent as an error."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBE_COUNT)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENT_PATH_MS)


def _note_keep_alive(connection: _Connection, headers: dict[str, str]) -> None:
    """Keep an idle connection for no longer than the server says that it will."""
    match = KEEP_ALIVE_PATTERN.search(headers.get("keep-alive", "").lower())
    if match is not None:
        limit_ms = int(match.group(1)) * MS_PER_SECOND - KEEP_ALIVE_MARGIN_MS
        connection.keep_ms = min(limit_ms, MAX_IDLE_MS)


async def _send(
    connection: _Connection, request: h11.Request, body: bytes, timeout_ms: int
) -> None:
    connection.request = request
    data = connection.http.send(request) + connection.http.send(h11.Data(body))
    data += connection.http.send(h11.EndOfMessage())
    try:
        async with curio.timeout_after(timeout_ms / MS_PER_SECOND):
            await connection.sock.sendall(data)
    except (OSError, curio.TaskTimeout) as error:
        raise TargetFailed(str(error), verdict=Verdict.MAY_HAVE_RUN) from error
