"""HTTP/1.1 client built on h11, with a pool of idle connections for each address."""

import functools
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable, Iterator
from contextlib import asynccontextmanager

import attrs
import h11
import xxhash

from wagtailrun.adapters.answer_heads import keep_alive_ms
from wagtailrun.adapters.body_buffer import BodyBuffer
from wagtailrun.adapters.connection_pool import ConnectionPool
from wagtailrun.adapters.connector import (
    Connector,
    DirectConnector,
    OpenConnection,
    Reachability,
)
from wagtailrun.adapters.http_connection import (
    LATE_EVENT_BYTES,
    MAX_IDLE_MS,
    HttpConnection,
)
from wagtailrun.adapters.target_observer import SendPermit, TargetObserver
from wagtailrun.clock import Clock, SystemClock
from wagtailrun.exceptions import SendForbidden, TargetFailed
from wagtailrun.ports.link import Address
from wagtailrun.process.memory_budget import PROCESS_MEMORY, Holding, Kind, MemoryBudget

__all__ = [
    "CONNECT_TIMEOUT_MS",
    "Connector",
    "DirectConnector",
    "HttpClient",
    "HttpReply",
    "HttpStream",
    "LEAST_URGENT",
    "OpenConnection",
    "Reachability",
    "SendPermit",
    "TargetObserver",
    "header_fields",
]

MAX_REPLY_BYTES = 16 * 1024 * 1024
# Largest body of an unsuccessful answer. Those of sound targets explain a failure and
# have some kilobytes; a target in trouble may send without end.
MAX_FAILURE_BYTES = 1024 * 1024
# Largest body of an answer to another request that is skipped.
MAX_SKIPPED_BYTES = 1024 * 1024
FIRST_FAILURE_STATUS = 400
CONNECT_TIMEOUT_MS = 1_000
# Ranks of requests at servers that limit their requests.
DEFAULT_URGENCY = 5
LEAST_URGENT = 9

Headers = tuple[tuple[str | bytes, str | bytes], ...]


def header_fields(
    headers: Iterable[tuple[str | bytes, str | bytes]],
) -> list[tuple[bytes, bytes]]:
    """Return headers as bytes, by which those that were received stay as they were.

    Received bytes are read as Latin-1, as RFC 9110 allows them in values.
    """
    return [(_to_bytes(name), _to_bytes(value)) for name, value in headers]


def _to_bytes(text: str | bytes) -> bytes:
    return text.encode("latin-1") if isinstance(text, str) else text


@attrs.frozen
class HttpReply:
    """A complete HTTP response.

    Attributes:
        status: HTTP status.
        headers: Header values by lower-case name.
        body: Complete body.
    """

    status: int
    headers: dict[str, str]
    body: bytes


class HttpStream:
    """An HTTP response whose body is read in pieces."""

    def __init__(
        self,
        connection: HttpConnection,
        head: h11.Response,
        observe: Callable[["HttpStream"], Awaitable[None]] | None = None,
    ):
        self.connection = connection
        self.observe = observe
        self.status = head.status_code
        self.headers = {n.decode(): v.decode("latin-1") for n, v in head.headers}
        self.header_pairs = tuple(head.headers.raw_items())

    @property
    def length(self) -> int | None:
        """Content length in bytes, None if the server sent none."""
        text = self.headers.get("content-length", "")
        return int(text) if text.isdecimal() else None

    @property
    def is_reused(self) -> bool:
        """Whether the connection carried other requests before this one."""
        return self.connection.requests > 1

    @property
    def carrier(self) -> Address | None:
        """Peer that carries the connection to the server; None if it is direct."""
        return self.connection.carrier

    @property
    def has_excess(self) -> bool:
        """Whether bytes follow the body; False if it was not read to its end."""
        http = self.connection.http
        return http.their_state is not h11.SEND_BODY and bool(http.trailing_data[0])

    async def confirm(self) -> None:
        """Let the observer record the response, which belongs to the request sent.

        If it is unsuccessful, the server needs no more of the request.
        """
        upload = self.connection.upload
        if upload is not None and self.status >= FIRST_FAILURE_STATUS:
            await upload.stop()
        if self.observe is not None:
            await self.observe(self)

    async def next_answer(self, timeout_ms: int) -> "HttpStream":
        """Skip this response, which belongs to an earlier request; return the next.

        Args:
            timeout_ms: Time limit for the rest of this response and the head of the
                next one, in milliseconds.

        Raises:
            TargetFailed: If the connection failed or the time is over.
        """
        clock = self.connection.clock
        ends_ms = clock.now_ms() + timeout_ms
        await self.read_all(timeout_ms, MAX_SKIPPED_BYTES, Kind.SKIPPED)
        self.connection.release_memory()
        self.connection.restart_parser()
        head = await self.connection.read_head(ends_ms - clock.now_ms())
        return HttpStream(self.connection, head, self.observe)

    async def read(self, timeout_ms: int) -> bytes:
        """Return the next piece of the body; empty at the end of a complete body.

        Args:
            timeout_ms: Time limit for the next piece, in milliseconds; 0 or less if
                the time is over, see ``HttpConnection.next_event``.

        Raises:
            TargetFailed: If the connection failed or nothing was received in time.
        """
        event = await self.connection.next_event(timeout_ms)
        if isinstance(event, h11.Data):
            return bytes(event.data)
        # While the request was being sent, an end of the connection may be a reset.
        if isinstance(event, h11.EndOfMessage) and (
            self.connection.is_sent or not self.connection.received_end
        ):
            return b""
        raise TargetFailed(
            "the connection was closed before the end of the body", closed=True
        )

    def count_events(self, count: int) -> None:
        """Count events that the body consists of; each costs as much as a chunk.

        Raises:
            TargetFailed: If they are too many for bytes that are read late.
        """
        self.connection.count_late(count * LATE_EVENT_BYTES)

    def hold_incomplete(self, size: int) -> None:
        """Count the bytes of an event that has not arrived completely.

        Raises:
            TargetFailed: If they do not fit the memory of the process.
        """
        held = self.connection.incomplete
        if not held.resize(size):
            raise TargetFailed(held.refusal_detail)

    async def read_all(
        self,
        timeout_ms: int,
        max_bytes: int | None = None,
        kind: Kind | None = None,
    ) -> bytes:
        """Return the rest of the body; its bytes count until the request has ended.

        Args:
            timeout_ms: Time limit for the whole rest, in milliseconds.
            max_bytes: Largest size of the rest; by default ``MAX_REPLY_BYTES`` or, of
                an unsuccessful answer, ``MAX_FAILURE_BYTES``.
            kind: Kind of holder of the bytes; by default as the status says.

        Raises:
            TargetFailed: If the connection failed, the time is over or the rest is
                larger or does not fit the memory of the process.
        """
        is_failure = self.status >= FIRST_FAILURE_STATUS
        if max_bytes is None:
            max_bytes = MAX_FAILURE_BYTES if is_failure else MAX_REPLY_BYTES
        if kind is None:
            kind = Kind.FAILURES if is_failure else Kind.ANSWERS
        held = self.connection.hold(kind)
        body = BodyBuffer()
        try:
            await self._read_into(body, timeout_ms, max_bytes, held)
        except BaseException:
            held.release()
            # The error refers to the buffer, and may last until the next collection of
            # reference cycles.
            body.clear()
            raise
        return body.joined()

    async def _read_into(
        self, body: BodyBuffer, timeout_ms: int, max_bytes: int, held: Holding
    ) -> None:
        """Add the rest of the body to a buffer, and count its bytes."""
        clock = self.connection.clock
        ends_ms = clock.now_ms() + timeout_ms
        while piece := await self.read(ends_ms - clock.now_ms()):
            detail = ""
            if body.size + len(piece) > max_bytes:
                detail = f"the response exceeds {max_bytes} bytes"
            elif not held.add(len(piece)):
                detail = held.refusal_detail
            if detail:
                raise TargetFailed(detail)
            body.add(piece)

    def check_distinct(self, body: bytes) -> None:
        """Check that a body is not that of an earlier response on the connection.

        For servers whose responses name no request but never have the same body twice:
        a repeated one is a late second copy.

        Raises:
            TargetFailed: If it is.
        """
        digest = xxhash.xxh3_128_intdigest(body)
        if digest in self.connection.body_digests:
            raise TargetFailed("the server sent a second copy of an earlier response")
        self.connection.body_digests.append(digest)

    def forbid_reuse(self) -> None:
        """Close the connection after this response."""
        self.connection.closing = True


class HttpClient:
    """Sends HTTP requests over pooled connections.

    Args:
        clock: Clock that measures the age of idle connections.
        observer: Is told of all answers and permits all requests.
        connector: Opens connections; by default directly.
        memory: Budget for the bytes of responses.
        pool: Keeps idle connections.
    """

    def __init__(
        self,
        clock: Clock | None = None,
        observer: TargetObserver | None = None,
        connector: Connector | None = None,
        memory: MemoryBudget = PROCESS_MEMORY,
        pool: ConnectionPool[HttpConnection] | None = None,
    ):
        self.memory = memory
        self.clock = clock or SystemClock()
        self.observer = observer
        self.connector = connector or DirectConnector()
        if pool is None:
            pool = ConnectionPool(self.clock)
        self.pool = pool

    @property
    def idle_by_address(self) -> dict[Address, list[HttpConnection]]:
        """Idle connections by the address of the server."""
        return self.pool.idle_by_address

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
        connect_timeout_ms: int = CONNECT_TIMEOUT_MS,
        urgency: int = DEFAULT_URGENCY,
        takes_slot: bool = True,
    ) -> HttpReply:
        """Send a request and return the complete response.

        Args:
            address: Address of the server.
            method: HTTP method.
            path: Path with query.
            headers: Additional headers.
            body: Body, sent with Content-Length.
            timeout_ms: Time limit for sending the request and receiving the whole
                response, in milliseconds.
            new_connection: Whether to bypass the pool of idle connections.
            host: Value of the Host header; by default the address.
            connect_timeout_ms: Time limit for a new connection, in milliseconds.
            urgency: Rank of the request, 0 to 9; 0 goes first.
            takes_slot: Whether the request waits for a slot of the server and takes it.

        Raises:
            TargetFailed: With the verdict ``not-run`` if no byte was sent.
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
            connect_timeout_ms=connect_timeout_ms,
            urgency=urgency,
            takes_slot=takes_slot,
        ) as stream:
            data = await stream.read_all(timeout_ms)
            return HttpReply(stream.status, stream.headers, data)

    @asynccontextmanager
    async def open(
        self,
        address: Address,
        method: str,
        path: str | bytes,
        headers: Headers | Callable[[], Headers] = (),
        body: bytes = b"",
        *,
        timeout_ms: int,
        new_connection: bool = False,
        host: str | None = None,
        connect_timeout_ms: int = CONNECT_TIMEOUT_MS,
        may_send: Callable[[], bool] = lambda: True,
        on_open: Callable[[HttpConnection], None] = lambda connection: None,
        on_sent: Callable[[], Awaitable[None]] | None = None,
        urgency: int = DEFAULT_URGENCY,
        identity: str = "",
        confirmed: bool = True,
        takes_slot: bool = True,
        deadline_ms: int | None = None,
        head_waits_ms: Iterator[int] | None = None,
        requests: int = 1,
    ) -> AsyncIterator[HttpStream]:
        """Send a request and yield the response as a stream; see ``request``.

        Args:
            address: Address of the server.
            method: HTTP method.
            path: Path with query.
            headers: Additional headers, or what returns them when the connection is
                open.
            body: Body, sent with Content-Length.
            timeout_ms: Time limit for sending and for the head, in milliseconds.
            new_connection: Whether to bypass the pool of idle connections.
            host: Value of the Host header; by default the address.
            connect_timeout_ms: Time limit for a new connection, in milliseconds.
            may_send: Called when the connection is open; see below.
            on_open: Called just before the request is sent, with the connection.
            on_sent: Called once the request was sent.
            urgency: Rank of the request, 0 to 9; 0 goes first.
            identity: Identifier that the response echoes, if any. No connection
                carries one twice: a copy of the first response could not be told from
                the second one.
            confirmed: Whether every response belongs to the request. If not, the caller
                calls ``HttpStream.confirm`` for the one that does.
            takes_slot: Whether the request waits for a slot of the server and takes it.
            deadline_ms: When the response ends, its body included, on the clock; by
                default ``timeout_ms`` after the connection is open.
            head_waits_ms: For how long to wait for the head, one time after the other;
                by default until ``timeout_ms``.
            requests: Requests that it counts as at a server that limits them.

        Raises:
            SendForbidden: If ``may_send``, called when the connection is open, returns
                False. The process may have been paused since the caller checked it. Or
                if the observer forbids it.
            TargetPaused: If the observer does not permit the request.
        """
        permit = None
        if self.observer is not None:
            permit = await self.observer.request_permit(
                address, urgency, takes_slot, requests
            )
        try:
            connection = await self._connect(
                address, new_connection, connect_timeout_ms, identity
            )
        except BaseException:
            await self._record_end(permit, True)
            raise
        requests_before = connection.requests
        try:
            if not may_send():
                raise SendForbidden(f"the request to {address} may no longer be sent")
            if self.observer is not None:
                self.observer.check(address, permit)
            fields = header_fields(
                (
                    ("Host", host or str(address)),
                    ("Content-Length", str(len(body))),
                    *(headers() if callable(headers) else headers),
                )
            )
            request = h11.Request(method=method, target=path, headers=fields)
            sent_ms = self.clock.now_ms()
            if deadline_ms is None:
                deadline_ms = sent_ms + timeout_ms
            connection.set_deadline(deadline_ms)
            connection.requests += 1
            if identity:
                connection.identities.append(identity)
            on_open(connection)
            await connection.send(request, body, timeout_ms)
            if on_sent is not None:
                await on_sent()
            head = await connection.read_awaited_head(timeout_ms, head_waits_ms)
            observe = None
            if self.observer is not None:
                observe = functools.partial(
                    self.observer.record_answer, address, sent_ms=sent_ms
                )
            stream = HttpStream(connection, head, observe)
            if confirmed:
                await stream.confirm()
            yield stream
            if connection.upload is not None:
                await connection.upload.stop()
        except BaseException:
            await connection.close()
            await self._record_end(permit, connection.requests == requests_before)
            raise
        finally:
            connection.release_memory()
        await self._record_end(permit, True)
        limit_ms = keep_alive_ms(stream.headers)
        if limit_ms is not None:
            connection.max_idle_ms = min(limit_ms, MAX_IDLE_MS)
        await self.pool.release(address, connection)

    async def _record_end(self, permit: SendPermit | None, completed: bool) -> None:
        if self.observer is not None:
            await self.observer.record_end(permit, completed)

    async def _connect(
        self,
        address: Address,
        new_connection: bool,
        connect_timeout_ms: int,
        identity: str,
    ) -> HttpConnection:
        """Return a pooled connection that is still usable, or open one."""
        if not self.connector.may_reuse(address):
            await self.pool.drop(address)
        if not new_connection:
            connection = await self.pool.take(address, identity)
            if connection is not None:
                connection.http.start_next_cycle()
                return connection
        opened = await self.connector.connect(address, connect_timeout_ms)
        return HttpConnection(opened.sock, self.clock, opened.carrier, self.memory)
