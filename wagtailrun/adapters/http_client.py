"""HTTP/1.1 client built on h11, with a pool of idle connections for each address."""

import functools
from collections import deque
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable, Iterator
from contextlib import asynccontextmanager
from typing import Any

import attrs
import curio
import h11

from wagtailrun.adapters.answer_heads import check_status, keep_alive_ms
from wagtailrun.adapters.connection_pool import ConnectionPool, PooledConnection
from wagtailrun.adapters.connector import (
    Connector,
    DirectConnector,
    OpenConnection,
    Reachability,
)
from wagtailrun.adapters.target_observer import SendPermit, TargetObserver
from wagtailrun.adapters.uploads import Upload
from wagtailrun.clock import MS_PER_SECOND, Clock, SystemClock
from wagtailrun.exceptions import SendForbidden, TargetFailed, Verdict
from wagtailrun.ports.link import Address
from wagtailrun.process.fairness import Turns
from wagtailrun.process.late_tasks import LATE_WAIT_MS
from wagtailrun.process.memory_budget import (
    FIELD_BYTES,
    PROCESS_MEMORY,
    Holding,
    Kind,
    MemoryBudget,
)

__all__ = [
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

READ_BYTES = 64 * 1024
# Largest head, chunk header or trailers of a response.
MAX_HEAD_BYTES = 16 * 1024
MAX_REPLY_BYTES = 16 * 1024 * 1024
# Largest body of an unsuccessful answer. Those of sound targets explain a failure and
# have some kilobytes; a target in trouble may send without end.
MAX_FAILURE_BYTES = 1024 * 1024
# Largest body of an answer to another request that is skipped.
MAX_SKIPPED_BYTES = 1024 * 1024
# What may still be read of a response after its time is over: bytes that had arrived
# before, while this process stood still. The receive buffer of a connection that is not
# read holds no more: Linux starts with 128 KB and enlarges it only for a reader. Many
# floods may end at once on one processor, so that a larger allowance delays them all.
MAX_LATE_BYTES = 128 * 1024
# Each read and each event counts as this many bytes at least. They bound the time of
# late reads whatever is sent: 32 reads, which may wait for 1 ms each, and 512 events.
LATE_READ_BYTES = 4 * 1024
LATE_EVENT_BYTES = 256
FIRST_FAILURE_STATUS = 400
# Interim responses (1xx) that may precede a response.
MAX_INTERIM_RESPONSES = 8
# Requests whose identities a connection remembers. A late copy follows its response
# after a few others at most.
MAX_IDENTITIES = 64
# Middleboxes on the path may forget a connection that is idle for longer.
MAX_IDLE_MS = 15_000
CONNECT_TIMEOUT_MS = 1_000
# Ranks of requests at servers that limit their requests.
DEFAULT_URGENCY = 5
LEAST_URGENT = 9

Headers = tuple[tuple[str | bytes, str | bytes], ...]


def header_fields(headers: Iterable[tuple[str | bytes, str | bytes]]) -> list:
    """Return headers as bytes, by which those that were received stay as they were.

    Received bytes are read as Latin-1, as RFC 9110 allows them in values.
    """
    return [
        tuple(
            part.encode("latin-1") if isinstance(part, str) else part for part in pair
        )
        for pair in headers
    ]


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
        connection: "_Connection",
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
                the time is over, see ``_Connection.next_event``.

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
            "the connection was closed before the end of the body",
            verdict=Verdict.MAY_HAVE_RUN,
            closed=True,
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
            raise TargetFailed(held.refusal_detail, verdict=Verdict.MAY_HAVE_RUN)

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
        try:
            return await self._read_held(timeout_ms, max_bytes, held)
        except BaseException:
            held.release()
            raise

    async def _read_held(self, timeout_ms: int, max_bytes: int, held: Holding) -> bytes:
        clock = self.connection.clock
        ends_ms = clock.now_ms() + timeout_ms
        # A list of the pieces would take many times the bytes of tiny chunks.
        body = bytearray()
        while piece := await self.read(ends_ms - clock.now_ms()):
            detail = ""
            if len(body) + len(piece) > max_bytes:
                detail = f"the response exceeds {max_bytes} bytes"
            elif not held.add(len(piece)):
                detail = held.refusal_detail
            if detail:
                raise TargetFailed(detail, verdict=Verdict.MAY_HAVE_RUN)
            body += piece
        return bytes(body)

    def check_distinct(self, body: bytes) -> None:
        """Check that a body is not that of the previous response on the connection.

        For servers whose responses name no request but never have the same body twice:
        a repeated one is a late second copy.

        Raises:
            TargetFailed: If it is.
        """
        if body == self.connection.last_body:
            raise TargetFailed(
                "the server sent a second copy of its previous response",
                verdict=Verdict.MAY_HAVE_RUN,
            )
        self.connection.last_body = body

    def forbid_reuse(self) -> None:
        """Close the connection after this response."""
        self.connection.closing = True


class _Connection:
    """A connection to a server, which carries one request at a time.

    All bytes of servers are read here, so that one place knows whether the time of a
    request is over.
    """

    def __init__(
        self,
        sock: Any,
        clock: Clock,
        carrier: Address | None = None,
        memory: MemoryBudget = PROCESS_MEMORY,
    ):
        self.sock = sock
        self.memory = memory
        # Bytes held for the request in progress, and those of them that are an event
        # that has not arrived completely.
        self.holdings: list[Holding] = []
        self.incomplete = memory.hold(Kind.EVENTS)
        self.carrier = carrier
        self.clock = clock
        self.turns = Turns()
        # When the request that is carried ends, on the clock; None without such a time.
        self.deadline_ms: int | None = None
        # Whether the newest read was late, and the bytes since the time was over.
        self.is_late = False
        self.late_bytes = 0
        # Whether the connection must not carry another request. The peer that carries
        # it decides about each request.
        self.closing = carrier is not None
        # Whether the server closed its side.
        self.received_end = False
        # Body of the newest response that ``HttpStream.check_distinct`` checked.
        self.last_body = b""
        self.http = self._make_parser()
        self.idle_since_ms = 0
        self.max_idle_ms = MAX_IDLE_MS
        self.request: h11.Request | None = None
        self.upload: Upload | None = None
        # What ended the wait for an answer while the request was being sent.
        self.early_event: Any = None
        # Number of requests sent, and the identities of the newest ones.
        self.requests = 0
        self.identities: deque[str] = deque(maxlen=MAX_IDENTITIES)

    @staticmethod
    def _make_parser() -> h11.Connection:
        return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)

    def hold(self, kind: Kind) -> Holding:
        """Return a holding that is released at the end of the request."""
        held = self.memory.hold(kind)
        self.holdings.append(held)
        return held

    def _hold_head(self, head: h11.Response) -> None:
        """Check the size of a head, and count its bytes.

        Raises:
            TargetFailed: If it is too large or does not fit the memory of the process.
        """
        # h11 applies its limit only to a head that is received in several pieces.
        size = sum(len(name) + len(value) for name, value in head.headers)
        held = self.hold(Kind.ANSWERS)
        detail = ""
        if size > MAX_HEAD_BYTES:
            detail = f"the head of the response exceeds {MAX_HEAD_BYTES} bytes"
        elif not held.add(size + len(head.headers) * FIELD_BYTES):
            detail = held.refusal_detail
        if detail:
            raise TargetFailed(detail, verdict=Verdict.MAY_HAVE_RUN)

    def release_memory(self) -> None:
        """Release the bytes that are held for the request in progress."""
        for held in (*self.holdings, self.incomplete):
            held.release()
        self.holdings.clear()

    def restart_parser(self) -> None:
        """Parse the bytes that follow as another response to the request sent."""
        rest, closed = self.http.trailing_data
        self.http = self._make_parser()
        # The parser needs a request to expect a response; only its method matters, and
        # its bytes are not sent.
        method = self.request.method
        placeholder = h11.Request(method=method, target=b"/", headers=[("Host", "x")])
        self.http.send(placeholder)
        self.http.send(h11.EndOfMessage())
        if rest:
            self.http.receive_data(rest)
        if closed:
            self.http.receive_data(b"")

    async def send(self, request: h11.Request, body: bytes, timeout_ms: int) -> None:
        """Send a request, a large one until it is answered.

        Args:
            request: Head of the request.
            body: Its body.
            timeout_ms: Time limit, in milliseconds.

        Raises:
            TargetFailed: If the connection failed or the time is over.
        """
        self.request = request
        parts = [
            self.http.send(request),
            self.http.send(h11.Data(body)),
            self.http.send(h11.EndOfMessage()),
        ]
        self.upload = None
        if len(body) > READ_BYTES:
            self.upload = Upload(self.sock, parts, self._take_early)
            await self.upload.send_until_answered(timeout_ms)
            return
        # One write; a copy of a larger body would take more memory than time.
        data = b"".join(parts)
        try:
            async with curio.timeout_after(timeout_ms / MS_PER_SECOND):
                await self.sock.sendall(data)
        except curio.TaskTimeout as error:
            raise TargetFailed(str(error), verdict=Verdict.MAY_HAVE_RUN) from error
        except OSError as error:
            # The server may have answered before it closed the connection.
            self.upload = Upload(self.sock, (data,), self._take_early)
            self.upload.failure = error

    def _take_early(self, data: bytes) -> bool:
        """Take bytes received while a request is sent; see ``Upload``."""
        self.received_end = not data
        self.http.receive_data(data)
        while isinstance(event := self.http.next_event(), h11.InformationalResponse):
            self.upload.interims += 1
            if self.upload.interims > MAX_INTERIM_RESPONSES:
                break
        if event is h11.NEED_DATA:
            return False
        self.early_event = event
        return True

    @property
    def is_sent(self) -> bool:
        """Whether the newest request was sent completely."""
        return self.upload is None or self.upload.is_complete

    async def close(self) -> None:
        """Close the connection, whatever is being sent on it."""
        if self.upload is not None:
            await self.upload.stop()
        await self.sock.close()

    async def read_awaited_head(
        self, timeout_ms: int, waits_ms: Iterator[int] | None
    ) -> h11.Response:
        """Return the head of the response, unless it takes all of some waits.

        Args:
            timeout_ms: Time limit for the head, interim responses included.
            waits_ms: For how long to wait, one time after the other; None to wait until
                the time limit.

        Raises:
            TargetFailed: As ``read_head``.
        """
        if self.upload is not None and self.upload.failure is not None:
            return await self._read_arrived_head()
        ends_ms = self.clock.now_ms() + timeout_ms
        failure = None
        for wait_ms in waits_ms or (timeout_ms,):
            try:
                left_ms = ends_ms - self.clock.now_ms()
                return await self.read_head(min(wait_ms, left_ms))
            except TargetFailed as error:
                failure = error
                if not error.timed_out:
                    break
        raise failure

    async def _read_arrived_head(self) -> h11.Response:
        """Return the head of a response that arrived before a write failed."""
        try:
            return await self.read_head(0)
        except TargetFailed as error:
            if not error.timed_out:
                raise
            failure = self.upload.failure
            raise TargetFailed(str(failure), verdict=Verdict.MAY_HAVE_RUN) from failure

    async def read_head(self, timeout_ms: int) -> h11.Response:
        """Return the head of the response.

        Args:
            timeout_ms: Time limit for the head, interim responses included.

        Raises:
            TargetFailed: If the connection failed, the time is over, the status is none
                of HTTP or there are too many interim responses.
        """
        ends_ms = self.clock.now_ms() + timeout_ms
        for _ in range(MAX_INTERIM_RESPONSES + 1):
            event, self.early_event = self.early_event, None
            if event is None:
                event = await self.next_event(ends_ms - self.clock.now_ms())
            if isinstance(event, h11.Response):
                check_status(event)
                self._hold_head(event)
                return event
            if not isinstance(event, h11.InformationalResponse):
                detail = "the server closed the connection without a response"
                raise TargetFailed(detail, verdict=Verdict.MAY_HAVE_RUN, closed=True)
        raise TargetFailed(
            f"the server sent more than {MAX_INTERIM_RESPONSES} interim responses",
            verdict=Verdict.MAY_HAVE_RUN,
        )

    def set_deadline(self, deadline_ms: int) -> None:
        """Set when the next request ends, on the clock."""
        self.deadline_ms = deadline_ms
        self.late_bytes = 0

    async def next_event(self, timeout_ms: int) -> Any:
        """Return the next h11 event.

        Args:
            timeout_ms: Time limit, in milliseconds; the request's deadline applies,
                too. Once it is over, 0 or less, only what has arrived is returned, up
                to ``MAX_LATE_BYTES`` until the caller has time again.

        Raises:
            TargetFailed: If the connection failed or the time is over.
        """
        if self.deadline_ms is not None:
            timeout_ms = min(timeout_ms, self.deadline_ms - self.clock.now_ms())
        self.is_late = timeout_ms <= 0
        if self.is_late:
            timeout_ms = LATE_WAIT_MS
        else:
            self.late_bytes = 0
        self.count_late(LATE_EVENT_BYTES)
        detail = "nothing received in time"
        try:
            # Most events are already in the buffer; setting a timeout for each of them
            # would cost as much as reading it.
            if (event := self.http.next_event()) is not h11.NEED_DATA:
                await self.turns.take(0)
                return event
            event = await self._receive_event(timeout_ms)
            if event is None and not self.is_late:
                # The time may have passed while this process stood still. What arrived
                # meanwhile counts, though the event loop handles the time first.
                detail = f"nothing received for {timeout_ms} ms"
                self.is_late = True
                event = self.http.next_event()
                if event is h11.NEED_DATA:
                    event = await self._receive_event(LATE_WAIT_MS)
        except (OSError, h11.RemoteProtocolError) as error:
            raise TargetFailed(
                str(error),
                verdict=Verdict.MAY_HAVE_RUN,
                closed=isinstance(error, OSError) or self.received_end,
            ) from error
        if event is None:
            raise TargetFailed(detail, verdict=Verdict.MAY_HAVE_RUN, timed_out=True)
        return event

    async def _receive_event(self, timeout_ms: int) -> Any:
        """Receive bytes up to the next h11 event; return None after the time limit."""
        event = h11.NEED_DATA
        async with curio.ignore_after(timeout_ms / MS_PER_SECOND):
            while event is h11.NEED_DATA:
                data = await self.sock.recv(READ_BYTES)
                # Before the time may end here: the caller may read on later.
                self.received_end = not data
                self.http.receive_data(data)
                self.count_late(max(len(data), LATE_READ_BYTES))
                await self.turns.take(len(data))
                event = self.http.next_event()
        return None if event is h11.NEED_DATA else event

    def count_late(self, size: int) -> None:
        """Count bytes, if they are read though the time is over.

        Raises:
            TargetFailed: If they are more than can have arrived in time.
        """
        if self.is_late:
            self.late_bytes += size
        if self.late_bytes > MAX_LATE_BYTES:
            raise TargetFailed(
                "the response goes on after its time is over",
                verdict=Verdict.MAY_HAVE_RUN,
                timed_out=True,
            )

    def is_reusable(self) -> bool:
        """Return whether the connection may carry another request."""
        is_done = self.http.our_state is h11.DONE and self.http.their_state is h11.DONE
        # The server may take the next bytes for the rest of a body that was not sent.
        is_done = is_done and self.is_sent
        # Bytes after a complete response belong to no request of this client.
        return is_done and not self.closing and not self.http.trailing_data[0]


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
        pool: ConnectionPool | None = None,
    ):
        self.memory = memory
        self.clock = clock or SystemClock()
        self.observer = observer
        self.connector = connector or DirectConnector()
        self.pool = ConnectionPool(self.clock) if pool is None else pool

    @property
    def idle_by_address(self) -> dict[Address, list[PooledConnection]]:
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
        on_open: Callable[[Address | None], None] = lambda carrier: None,
        on_sent: Callable[[], Awaitable[None]] | None = None,
        urgency: int = DEFAULT_URGENCY,
        identity: str = "",
        confirmed: bool = True,
        takes_slot: bool = True,
        deadline_ms: int | None = None,
        head_waits_ms: Iterator[int] | None = None,
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
            on_open: Called just before the request is sent, with the peer that carries
                the connection, if any.
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

        Raises:
            SendForbidden: If ``may_send``, called when the connection is open, returns
                False. The process may have been paused since the caller checked it. Or
                if the observer forbids it.
            TargetPaused: If the observer does not permit the request.
        """
        permit = None
        if self.observer is not None:
            permit = await self.observer.request_permit(address, urgency, takes_slot)
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
            on_open(connection.carrier)
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
    ) -> _Connection:
        """Return a pooled connection that is still usable, or open one."""
        if not self.connector.may_reuse(address):
            await self.pool.drop(address)
        if not new_connection:
            connection = await self.pool.take(address, identity)
            if connection is not None:
                connection.http.start_next_cycle()
                return connection
        opened = await self.connector.connect(address, connect_timeout_ms)
        return _Connection(opened.sock, self.clock, opened.carrier, self.memory)
