"""HTTP/1.1 client on h11, with a pool of idle connections an address."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import attrs
import curio
import h11

from wagtailrun.clock import MS_PER_SECOND, Clock, SystemClock
from wagtailrun.exceptions import ConnectFailed, TargetFailed, Verdict
from wagtailrun.ports.link import Address

__all__ = ["HttpClient", "HttpReply", "HttpStream"]

READ_BYTES = 64 * 1024
MAX_REPLY_BYTES = 16 * 1024 * 1024
MAX_IDLE_CONNECTIONS = 32
# Idle connections may have been forgotten by something between the two ends.
MAX_IDLE_MS = 15_000
CONNECT_TIMEOUT_MS = 1_000

Headers = tuple[tuple[str, str], ...]


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

    def __init__(self, connection: "_Connection", status: int, headers: dict):
        self.connection = connection
        self.status = status
        self.headers = headers

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
                detail, verdict=Verdict.MAY_HAVE_RUN, silent=True
            ) from error
        except (OSError, h11.RemoteProtocolError) as error:
            raise TargetFailed(str(error), verdict=Verdict.MAY_HAVE_RUN) from error

    def is_reusable(self) -> bool:
        return self.http.our_state is h11.DONE and self.http.their_state is h11.DONE


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
        fresh: bool = False,
    ) -> HttpReply:
        """Send a request and return the whole answer.

        Args:
            address: Server.
            method: HTTP method.
            path: Path with query.
            headers: Further headers.
            body: Body, sent with its length.
            timeout_ms: Longest silence of the connection, in milliseconds.
            fresh: Whether to open a new connection.

        Raises:
            TargetFailed: With the verdict "not run" if no byte was sent.
        """
        async with self.open(
            address, method, path, headers, body, timeout_ms=timeout_ms, fresh=fresh
        ) as stream:
            data = await stream.read_all(timeout_ms)
            return HttpReply(stream.status, stream.headers, data)

    @asynccontextmanager
    async def open(
        self,
        address: Address,
        method: str,
        path: str,
        headers: Headers = (),
        body: bytes = b"",
        *,
        timeout_ms: int,
        fresh: bool = False,
    ) -> AsyncIterator[HttpStream]:
        """Send a request and yield the answer as a stream; see ``request``."""
        connection = await self._connect(address, fresh)
        try:
            head = await _send(
                connection, address, method, path, headers, body, timeout_ms
            )
            values = {n.decode(): v.decode("latin-1") for n, v in head.headers}
            yield HttpStream(connection, head.status_code, values)
        except BaseException:
            await connection.sock.close()
            raise
        await self._release(address, connection)

    async def _connect(self, address: Address, fresh: bool) -> _Connection:
        idle = self.idle_by_address.get(address, [])
        while idle and not fresh:
            connection = idle.pop()
            if self.clock.now_ms() - connection.idle_since_ms < MAX_IDLE_MS:
                return connection
            await connection.sock.close()
        try:
            async with curio.timeout_after(CONNECT_TIMEOUT_MS / MS_PER_SECOND):
                sock = await curio.open_connection(address.host, address.port)
        except (OSError, curio.TaskTimeout) as error:
            raise ConnectFailed(f"cannot connect to {address}: {error}") from error
        return _Connection(sock)

    async def _release(self, address: Address, connection: _Connection) -> None:
        idle = self.idle_by_address.setdefault(address, [])
        if connection.is_reusable() and len(idle) < MAX_IDLE_CONNECTIONS:
            connection.http.start_next_cycle()
            connection.idle_since_ms = self.clock.now_ms()
            idle.append(connection)
        else:
            await connection.sock.close()


async def _send(
    connection: _Connection,
    address: Address,
    method: str,
    path: str,
    headers: Headers,
    body: bytes,
    timeout_ms: int,
) -> h11.Response:
    fields = [("Host", str(address)), ("Content-Length", str(len(body))), *headers]
    request = h11.Request(method=method, target=path, headers=fields)
    data = connection.http.send(request) + connection.http.send(h11.Data(body))
    data += connection.http.send(h11.EndOfMessage())
    try:
        async with curio.timeout_after(timeout_ms / MS_PER_SECOND):
            await connection.sock.sendall(data)
    except (OSError, curio.TaskTimeout) as error:
        raise TargetFailed(str(error), verdict=Verdict.MAY_HAVE_RUN) from error
    while True:
        event = await connection.next_event(timeout_ms)
        if isinstance(event, h11.Response):
            return event
        if not isinstance(event, h11.InformationalResponse):
            detail = f"{address} closed the connection without an answer"
            raise TargetFailed(detail, verdict=Verdict.MAY_HAVE_RUN)
