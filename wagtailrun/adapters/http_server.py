"""HTTP/1.1 server built on h11, with one task for each connection."""

import select
import socket
import struct
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager, suppress
from typing import Any

import attrs
import curio
import h11

from wagtailrun import events
from wagtailrun.adapters.http_client import header_fields
from wagtailrun.adapters.http_messages import (
    DEFAULT_REFUSAL_STATUS,
    Request,
    RequestRejected,
    Response,
    json_response,
    refusal_response,
)
from wagtailrun.adapters.listener import Listener
from wagtailrun.clock import MS_PER_SECOND, Clock
from wagtailrun.exceptions import Refusal, RefusalReason, ResponseAborted, Verdict
from wagtailrun.fairness import Turns
from wagtailrun.memory_budget import FIELD_BYTES, PROCESS_MEMORY, Kind, MemoryBudget
from wagtailrun.ports.link import Address

__all__ = [
    "HttpHandler",
    "HttpServer",
    "Request",
    "Response",
    "ServerLimits",
    "json_response",
    "refusal_response",
    "sleep_until_idle",
]

MAX_HEADER_BYTES = 16 * 1024
MAX_BODY_BYTES = 1024 * 1024
READ_BYTES = 64 * 1024
# Bytes of further requests that are received while one is answered. They only show that
# the caller has not disconnected; with 64 KB each, all connections would hold 256 MB.
PIPELINED_READ_BYTES = 4 * 1024
# Time limit for the body of a request; by default also for its head and for idleness.
REQUEST_TIMEOUT_MS = 30_000
# Each connection uses a task and a file descriptor, of which a process may have 20,000.
MAX_CONNECTIONS = 4_000
OVERLOAD_RETRY_MS = 1_000
# A connection is closed if one write does not complete in this time.
WRITE_TIMEOUT_MS = 30_000
# Time in which a client that still sends a refused request reads the refusal.
DISCARD_TIMEOUT_MS = 1_000
MAX_DISCARDED_BYTES = 4 * 1024 * 1024
# SO_LINGER with a time of 0: closing resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# How long a draining server waits for the request of a connection it has accepted.
DRAIN_REQUEST_WAIT_MS = 200
DRAIN_POLL_MS = 50
# A draining process is idle after this many polls without a request; a connection that
# the kernel has just accepted shows its request by then.
DRAIN_IDLE_POLLS = 4
# Time in which the tasks of connections whose bytes have just arrived take them.
END_PAUSE_MS = 10
REQUEST_TIMEOUT_STATUS = 408
# Responses to this method have no body; h11 does not send one.
HEAD_METHOD = b"HEAD"


@attrs.frozen
class ServerLimits:
    """Limits on the size and duration of requests.

    Attributes:
        header_bytes: Largest request head, in bytes.
        body_bytes: Largest request body, in bytes.
        header_ms: Time limit for receiving a request head, in milliseconds.
        idle_ms: Time limit for an idle connection, in milliseconds.
    """

    header_bytes: int
    body_bytes: int
    header_ms: int
    idle_ms: int


HttpHandler = Callable[[Request], Awaitable[Response]]


async def sleep_until_idle(
    clock: Clock, is_idle: Callable[[], bool], limit_ms: int
) -> None:
    """Return when a draining process has no more requests, or the time is over.

    Args:
        clock: Clock.
        is_idle: Returns whether the process has no request now.
        limit_ms: When to return at the latest, on the clock.
    """
    idle_polls = 0
    while idle_polls < DRAIN_IDLE_POLLS and clock.now_ms() < limit_ms:
        await clock.sleep_ms(DRAIN_POLL_MS)
        idle_polls = idle_polls + 1 if is_idle() else 0


class HttpServer:
    """Serves HTTP at one address.

    Args:
        address: Address to listen on.
        handler: Returns the response to each request.
        max_body_bytes: Largest accepted body, in bytes.
        on_refusal: Called with each refusal of a request that never reaches the
            handler.
        limits: Returns the current limits; by default those of this module.
        memory: Budget for the bytes of requests and of answers being written.
    """

    def __init__(
        self,
        address: Address,
        handler: HttpHandler,
        max_body_bytes: int = MAX_BODY_BYTES,
        on_refusal: Callable[[Refusal], Awaitable[None]] | None = None,
        limits: Callable[[], ServerLimits] | None = None,
        memory: MemoryBudget = PROCESS_MEMORY,
    ):
        self.memory = memory
        self.limits = limits or self._default_limits
        self.address = address
        self.handler = handler
        self.max_body_bytes = max_body_bytes
        self.on_refusal = on_refusal
        self.open_connections = 0
        # Whether each response is the last one on its connection.
        self.closing = False
        # Whether connections without a request are closed.
        self.draining = False
        # Whether connections without a request are closed at once.
        self.ended = False
        self.listener = Listener(address, self._serve_connection)
        self.active_requests = 0
        # Active requests of which no part of an answer was sent.
        self.unanswered_requests = 0
        self.idle_connections: set[_ServerConnection] = set()
        # Those whose request has not arrived completely.
        self.reading_connections: set[_ServerConnection] = set()

    async def serve(self) -> None:
        """Accept connections until cancelled.

        Raises:
            SettingsError: If the process cannot listen on the address.
        """
        await self.listener.run()

    def _default_limits(self) -> ServerLimits:
        return ServerLimits(
            header_bytes=MAX_HEADER_BYTES,
            body_bytes=self.max_body_bytes,
            header_ms=REQUEST_TIMEOUT_MS,
            idle_ms=REQUEST_TIMEOUT_MS,
        )

    async def drain(self) -> None:
        """Close the connections that have no request in progress, now and later."""
        self.closing = self.draining = True
        for connection in list(self.idle_connections):
            # A request whose first bytes have arrived is read to its end.
            if not connection.is_readable():
                await connection.stop_reading()

    async def refuse_incomplete(self) -> None:
        """Refuse the requests that have not arrived completely."""
        for connection in list(self.reading_connections):
            await connection.stop_reading()

    async def end(self) -> bool:
        """Close the connections without a request, so that the process can end.

        Returns:
            False if a request had arrived already, which is served as before.
        """
        self.ended = True
        await self.drain()
        await curio.sleep(END_PAUSE_MS / MS_PER_SECOND)
        self.ended = not self.active_requests
        return self.ended

    async def close(self, limit_ms: int) -> None:
        """Accept no more connections, and answer the requests that have arrived.

        Those that arrive later cross the close of their connections.

        Args:
            limit_ms: How long to wait for the answers, in milliseconds.
        """
        self.ended = True
        await self.drain()
        await self.listener.close()
        async with curio.ignore_after(limit_ms / MS_PER_SECOND):
            while True:
                await curio.sleep(END_PAUSE_MS / MS_PER_SECOND)
                if not self.unanswered_requests and not self.idle_connections:
                    return
                await self.refuse_incomplete()

    async def _serve_connection(self, sock: Any, peer: Any) -> None:
        connection = _ServerConnection(self, sock, str(peer[0]))
        self.open_connections += 1
        try:
            await connection.run()
        except (OSError, curio.TaskTimeout, h11.LocalProtocolError):
            # The client has disconnected or does not read, so no response can be sent.
            return
        except ResponseAborted:
            # The handler has logged the cause; the client detects the incomplete body.
            return
        except Exception as error:
            # Closing without the final chunk marks the response as incomplete.
            events.log(events.HANDLER_FAILED, detail=repr(error))
        finally:
            connection.mark_incomplete()
            self.open_connections -= 1


class _ServerConnection:
    """Reads and answers the requests of one accepted connection."""

    def __init__(self, server: HttpServer, sock: Any, peer: str):
        self.server = server
        self.sock = sock
        self.peer = peer
        self.turns = Turns()
        # Bytes of the request that is being received or answered.
        self.held = server.memory.hold(Kind.REQUESTS)
        self.limits = server.limits()
        # Whether this server ended the reading; an end of the bytes received does not
        # show any more that the client has disconnected.
        self.reading_stopped = False
        # Method of the newest request.
        self.method = b""
        # Whether a request is active of which no part of an answer was sent.
        self.unanswered = False
        self.parser_header_bytes = self.limits.header_bytes
        self.http = self._make_parser()

    async def run(self) -> None:
        """Serve requests until the connection has to be closed."""
        while True:
            self.limits = self.server.limits()
            if not await self._wait_for_bytes():
                return
            self._renew_limits()
            with self._counted(), self.held:
                try:
                    request = await self._read_request()
                except RequestRejected as error:
                    await self._reject(error)
                    break
                if request is None or not await self._serve(request):
                    return
            if self.http.our_state is not h11.DONE:
                return
            if self.http.their_state is not h11.DONE:
                return
            self.http.start_next_cycle()
        await self._discard_input()

    @contextmanager
    def _counted(self) -> Iterator[None]:
        """Count a request, from its first byte, so that a planned stop waits for it."""
        self.server.active_requests += 1
        self.server.unanswered_requests += 1
        self.unanswered = True
        try:
            yield
        finally:
            self.server.active_requests -= 1
            self._mark_answered()

    def _make_parser(self) -> h11.Connection:
        limit = self.parser_header_bytes
        return h11.Connection(h11.SERVER, max_incomplete_event_size=limit)

    def _renew_limits(self) -> None:
        """Apply the current limits to the next request.

        They may have changed while the connection was idle. A parser keeps the limit
        that it was made with.
        """
        self.limits = self.server.limits()
        if self.limits.header_bytes != self.parser_header_bytes:
            self.parser_header_bytes = self.limits.header_bytes
            rest, _ = self.http.trailing_data
            self.http = self._make_parser()
            self.http.receive_data(rest)

    def is_readable(self) -> bool:
        """Return whether bytes have arrived, or the client closed the connection."""
        poll = select.poll()
        poll.register(self.sock.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    async def stop_reading(self) -> None:
        """End the reading; what has arrived by the next turn can still be read."""
        self.reading_stopped = True
        # The client may have reset the connection a moment ago. The task of the
        # connection finds that out itself; other connections still have to be closed.
        with suppress(OSError):
            await self.sock.shutdown(socket.SHUT_RD)

    async def _reject(self, error: RequestRejected) -> None:
        """Refuse a request that cannot be read."""
        if not self.reading_stopped:
            await self._refuse(error.refusal, error.status)
            return
        refusal = Refusal(
            RefusalReason.DRAINING,
            Verdict.NOT_RUN,
            "this process stops and the request has not arrived completely",
            OVERLOAD_RETRY_MS,
        )
        await self._refuse(refusal, DEFAULT_REFUSAL_STATUS)

    async def _discard_input(self) -> None:
        """Receive the rest of a request that was refused, for a limited time.

        Closing a connection with unread bytes resets it, and the client may then lose
        the refusal.
        """
        if self.reading_stopped:
            return
        await self.sock.shutdown(socket.SHUT_WR)
        async with curio.ignore_after(DISCARD_TIMEOUT_MS / MS_PER_SECOND):
            left = MAX_DISCARDED_BYTES
            while left > 0 and (data := await self.sock.recv(READ_BYTES)):
                left -= len(data)
                await self.turns.take(len(data))

    def _mark_answered(self) -> None:
        if self.unanswered:
            self.unanswered = False
            self.server.unanswered_requests -= 1

    def mark_incomplete(self) -> None:
        """Reset the connection if its end would count as that of a response.

        A client of HTTP/1.0 receives a stream without chunks.
        """
        is_incomplete = self.http.our_state in (h11.SEND_BODY, h11.ERROR)
        if is_incomplete and self.http.their_http_version == b"1.0":
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)

    async def _refuse(self, refusal: Refusal, status: int) -> None:
        if self.server.on_refusal is not None:
            await self.server.on_refusal(refusal)
        await self._send(refusal_response(refusal, status), close=True)

    async def _read_request(self) -> Request | None:
        """Return the next request, or None if the connection has to be closed.

        Raises:
            RequestRejected: If the request is malformed, too large or incomplete when
                its time limit expires.
        """
        self.server.reading_connections.add(self)
        try:
            return await self._receive_request()
        finally:
            self.server.reading_connections.discard(self)

    async def _receive_request(self) -> Request | None:
        detail = f"the request head was not complete within {self.limits.header_ms} ms"
        try:
            async with curio.timeout_after(self.limits.header_ms / MS_PER_SECOND):
                head = await self._parse_part(self._read_head)
            detail = f"the request was not complete within {REQUEST_TIMEOUT_MS} ms"
            if head is None:
                return None
            self._check_room(head)
            async with curio.timeout_after(REQUEST_TIMEOUT_MS / MS_PER_SECOND):
                body = await self._parse_part(self._read_body)
        except curio.TaskTimeout as error:
            raise RequestRejected(detail, REQUEST_TIMEOUT_STATUS) from error
        if self.server.open_connections > MAX_CONNECTIONS:
            detail = f"more than {MAX_CONNECTIONS} connections are open"
            refusal = Refusal(
                RefusalReason.OVERLOADED, Verdict.NOT_RUN, detail, OVERLOAD_RETRY_MS
            )
            await self._refuse(refusal, DEFAULT_REFUSAL_STATUS)
            return None
        return self._make_request(head, body)

    def _check_room(self, head: h11.Request) -> None:
        """Check that there is memory for a body before it is received.

        Raises:
            RequestRejected: If there is none.
        """
        text = dict(head.headers).get(b"content-length", b"0")
        size = min(int(text), self.limits.body_bytes)
        if not self.held.fits(self.held.held_bytes + size):
            raise self._no_memory()

    def _hold(self, size: int) -> None:
        """Count bytes of the request.

        Raises:
            RequestRejected: If there is no memory for them.
        """
        if not self.held.add(size):
            raise self._no_memory()

    def _no_memory(self) -> RequestRejected:
        refusal = Refusal(
            RefusalReason.OVERLOADED,
            Verdict.NOT_RUN,
            self.held.refusal_detail,
            OVERLOAD_RETRY_MS,
        )
        return RequestRejected(refusal.detail, DEFAULT_REFUSAL_STATUS, refusal)

    async def _wait_for_bytes(self) -> bool:
        """Wait for the first bytes of a request; return False if none were received."""
        if self.http.trailing_data[0]:
            return True
        self.server.idle_connections.add(self)
        try:
            data = await self._receive_when_idle()
        finally:
            self.server.idle_connections.discard(self)
        if data is None:
            return False
        self.http.receive_data(data)
        return bool(data)

    async def _receive_when_idle(self) -> bytes | None:
        """Return the next bytes, or None if the connection was idle for too long.

        The limit may be raised meanwhile; callers then keep their connections longer.
        """
        waited_ms = 0
        while True:
            wait_ms = self.limits.idle_ms - waited_ms
            if self.server.draining:
                # A connection that was accepted a moment ago; its request is on the
                # way.
                wait_ms = min(wait_ms, DRAIN_REQUEST_WAIT_MS)
            if self.server.ended:
                wait_ms = min(wait_ms, END_PAUSE_MS)
            try:
                async with curio.timeout_after(wait_ms / MS_PER_SECOND):
                    return await self.sock.recv(READ_BYTES)
            except curio.TaskTimeout:
                waited_ms += wait_ms
            self.limits = self.server.limits()
            if self.server.draining or waited_ms >= self.limits.idle_ms:
                return None

    async def _parse_part(self, read_part: Callable[[], Awaitable[Any]]) -> Any:
        """Return the result of ``read_part``, with parser errors as rejections.

        Raises:
            RequestRejected: If the bytes received are not a valid request.
        """
        try:
            return await read_part()
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint
            if status not in (413, 431):
                status = 400
            raise RequestRejected(str(error), status) from error

    def _make_request(self, head: h11.Request, body: bytes) -> Request:
        path, _, query = head.target.decode("latin-1").partition("?")
        headers = {
            name.decode("latin-1"): value.decode("latin-1")
            for name, value in head.headers
        }
        return Request(
            method=head.method.decode("ascii"),
            path=path,
            query=query,
            headers=headers,
            body=body,
            peer=self.peer,
            target=head.target,
            header_pairs=tuple(head.headers.raw_items()),
        )

    async def _read_head(self) -> h11.Request | None:
        self.method = b""
        event = await self._next_event(hold=True)
        if not isinstance(event, h11.Request):
            return None
        self.method = event.method
        # h11 applies its limit only to a head that is received in several pieces.
        size = len(event.target) + sum(len(n) + len(v) for n, v in event.headers)
        if size > self.limits.header_bytes:
            limit = self.limits.header_bytes
            raise RequestRejected(f"the request head exceeds {limit} bytes", 431)
        self._hold(size + len(event.headers) * FIELD_BYTES)
        names = {name for name, _ in event.headers}
        if b"transfer-encoding" in names and b"content-length" in names:
            # Servers on the path may disagree on which of them applies; the rest of the
            # body could then be smuggled in as another request.
            detail = "the request has both Content-Length and Transfer-Encoding"
            raise RequestRejected(detail, 400)
        return event

    async def _read_body(self) -> bytes:
        # A list of the pieces would take many times the bytes of tiny chunks.
        body = bytearray()
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                if len(body) + len(event.data) > self.limits.body_bytes:
                    limit = self.limits.body_bytes
                    raise RequestRejected(f"the body exceeds {limit} bytes", 413)
                self._hold(len(event.data))
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                return bytes(body)
            else:
                raise RequestRejected(
                    "the connection was closed before the end of the body", 400
                )

    async def _next_event(self, hold: bool = False) -> Any:
        """Return the next event.

        Args:
            hold: Whether the bytes received until then count as held.

        Raises:
            RequestRejected: If there is no memory for them.
        """
        while True:
            event = self.http.next_event()
            await self.turns.take(0)
            if event is not h11.NEED_DATA:
                return event
            if self.http.they_are_waiting_for_100_continue:
                info = h11.InformationalResponse(status_code=100, headers=[])
                await self._write(self.http.send(info))
            data = await self.sock.recv(READ_BYTES)
            await self.turns.take(len(data))
            if hold:
                self._hold(len(data))
            self.http.receive_data(data)

    async def _serve(self, request: Request) -> bool:
        """Answer a request; return False if the client has disconnected meanwhile."""
        task = await curio.spawn(self._respond, request)
        watcher = await curio.spawn(self._watch_disconnect, task, daemon=True)
        try:
            failure = await task.join()
            if failure is not None:
                raise failure
        except curio.TaskError as error:
            if isinstance(error.__cause__, curio.TaskCancelled):
                return False
            raise error.__cause__ from error
        except curio.CancelledError:
            await task.cancel()
            raise
        finally:
            await watcher.cancel()
        return True

    async def _respond(self, request: Request) -> Exception | None:
        """Answer a request; return the error if sending the response failed.

        The error is returned, not raised: curio logs a task that ends with an exception
        as crashed.
        """
        try:
            response = await self.server.handler(request)
        except (Exception, curio.TaskTimeout) as error:
            events.log(events.HANDLER_FAILED, detail=repr(error))
            refusal = Refusal(
                RefusalReason.INTERNAL,
                Verdict.MAY_HAVE_RUN,
                "an internal error occurred while the request was handled",
            )
            response = refusal_response(refusal)
        try:
            # Requests that have arrived behind this one are answered, too.
            is_last = not self.http.trailing_data[0]
            await self._send(response, close=self.server.closing and is_last)
        except Exception as error:
            return error
        return None

    async def _watch_disconnect(self, task: curio.Task) -> None:
        """Cancel ``task`` when the client closes the connection."""
        try:
            data = await self.sock.recv(PIPELINED_READ_BYTES)
        except OSError:
            data = b""
        if data:
            # A pipelined request, which is parsed after the current response.
            self.http.receive_data(data)
        elif not self.reading_stopped:
            await task.cancel(blocking=False)

    async def _send(self, response: Response, close: bool) -> None:
        headers = [*response.headers]
        if close:
            headers.append(("Connection", "close"))
        if isinstance(response.body, bytes):
            headers.append(("Content-Length", str(len(response.body))))
            head = h11.Response(
                status_code=response.status, headers=header_fields(headers)
            )
            data = [self.http.send(head)]
            if self.method != HEAD_METHOD:
                data.append(self.http.send(h11.Data(response.body)))
            data.append(self.http.send(h11.EndOfMessage()))
            if len(response.body) <= READ_BYTES:
                # One write; a copy of a larger body would take more memory than time.
                data = [b"".join(data)]
            for part in data:
                await self._write(part)
            self._mark_answered()
            return
        await self._send_stream(response, headers)

    async def _send_stream(self, response: Response, headers: list) -> None:
        if response.length is None:
            headers.append(("Transfer-Encoding", "chunked"))
        else:
            headers.append(("Content-Length", str(response.length)))
        head = h11.Response(status_code=response.status, headers=header_fields(headers))
        pieces = response.body
        try:
            await self._write(self.http.send(head))
            self._mark_answered()
            if self.method != HEAD_METHOD:
                async for piece in pieces:
                    await self._write(self.http.send(h11.Data(piece)))
        finally:
            await pieces.aclose()
        await self._write(self.http.send(h11.EndOfMessage()))

    async def _write(self, data: bytes | None) -> None:
        if not data:
            return
        with self.server.memory.hold(Kind.SENDING) as held:
            # These bytes exist; a caller that reads slowly leaves less room for others.
            held.record(len(data))
            async with curio.timeout_after(WRITE_TIMEOUT_MS / MS_PER_SECOND):
                await self.sock.sendall(data)
