"""Reads and answers the requests of one connection of an HTTP server."""

import socket
import struct
from collections.abc import AsyncGenerator, Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import Any

import curio
import h11

from wagtailrun.adapters.answer_writes import write_answer
from wagtailrun.adapters.body_buffer import BodyBuffer
from wagtailrun.adapters.drain_times import MAX_REQUEST_WAIT_MS
from wagtailrun.adapters.http_client import header_fields
from wagtailrun.adapters.http_messages import (
    DEFAULT_REFUSAL_STATUS,
    BodyStream,
    Request,
    RequestRejected,
    Response,
    refusal_response,
)
from wagtailrun.adapters.idle_connections import IdleConnection
from wagtailrun.adapters.keep_alive import keep_alive_fields, kept_idle_ms
from wagtailrun.adapters.platform_checks import is_check
from wagtailrun.adapters.server_refusals import INCOMPLETE_AT_STOP, overload_refusal
from wagtailrun.adapters.server_state import REQUEST_TIMEOUT_MS, ServerState
from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.exceptions import Refusal, RefusalReason, Verdict
from wagtailrun.logs import events
from wagtailrun.process.fairness import Turns
from wagtailrun.process.memory_budget import FIELD_BYTES, Kind

__all__ = ["ServerConnection"]

READ_BYTES = 64 * 1024
# Bytes of further requests that are received while one is answered. They only show that
# the caller has not disconnected; with 64 KB each, all connections would hold 256 MB.
PIPELINED_READ_BYTES = 4 * 1024
OVERLOAD_HEADER_MS = 500
# Time in which a client that still sends a refused request reads the refusal.
DISCARD_TIMEOUT_MS = 1_000
# Interval of looks for bytes after this server ended the reading, of which no event
# tells. Thousands of connections may be refused at the same time.
DISCARD_POLL_MS = 100
MAX_DISCARDED_BYTES = 4 * 1024 * 1024
# SO_LINGER with a time of 0: closing resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# Time for which a refused connection keeps its descriptor while others wait for one.
WAITING_DISCARD_MS = 25
REQUEST_TIMEOUT_STATUS = 408
# Old clients send one after a body. RFC 9112, section 2.2: one before a request should
# be ignored; h11 takes it for a malformed request.
EMPTY_LINE = b"\r\n"
# Responses to this method have no body; h11 does not send one.
HEAD_METHOD = b"HEAD"


class ServerConnection(IdleConnection):
    """Reads and answers the requests of one accepted connection."""

    def __init__(self, server: ServerState, sock: Any, peer: str):
        super().__init__(sock)
        self.server = server
        self.peer = peer
        self.turns = Turns()
        # Bytes of the request that is being received or answered.
        self.held = server.memory.hold(Kind.REQUESTS)
        self.limits = server.limits()
        # Why there was no room for another request as the connection was idle for long.
        self.idle_refusal: Refusal | None = None
        # Method of the newest request, and whether it is a check of the platform.
        self.method = b""
        self.is_check = False
        # Whether it was admitted without room for requests.
        self.lacks_room = False
        # Whether a request is active of which no part of an answer was sent.
        self.unanswered = False
        self.parser_header_bytes = self.limits.header_bytes
        self.http = self._make_parser()

    async def run(self) -> None:
        """Serve requests until the connection has to be closed."""
        while True:
            self.limits = self.server.limits()
            if not await self._wait_for_bytes():
                refusal = self._first_refusal()
                if refusal is not None:
                    await self._refuse_first_request(refusal)
                else:
                    self.ended_idle = self.server.draining and not self.was_closed
                return
            self.was_used = True
            self._renew_limits()
            with self._counted(), self.held:
                try:
                    request = await self._read_request()
                except RequestRejected as error:
                    await self._reject(error)
                    break
                if request is None and self._has_excess():
                    break
                if request is None or not await self._serve(request):
                    return
            states = {self.http.our_state, self.http.their_state}
            if states != {h11.DONE}:
                # Pipelined requests are not read after the last answer.
                if self._has_excess():
                    break
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

    def _first_refusal(self) -> Refusal | None:
        """Return the refusal of the request that may be on its way.

        None if the client closed the connection, or it was used before: a refusal could
        then count as a second answer to an earlier request.
        """
        if self.was_used or self.was_closed:
            return None
        if self.server.draining:
            return INCOMPLETE_AT_STOP
        return self.idle_refusal

    def _refusal_if_overloaded(self) -> Refusal | None:
        detail = self.server.overload()
        return overload_refusal(detail) if detail else None

    def _has_excess(self) -> bool:
        """Return whether bytes follow a request that got the last answer."""
        is_answered = self.http.our_state is not h11.IDLE
        return is_answered and (bool(self.http.trailing_data[0]) or self.is_readable())

    async def _reject(self, error: RequestRejected) -> None:
        """Refuse a request that cannot be read."""
        if not self.reading_stopped:
            await self._refuse(error.refusal, error.status)
            return
        await self._refuse(INCOMPLETE_AT_STOP, DEFAULT_REFUSAL_STATUS)

    async def _refuse_first_request(self, refusal: Refusal) -> None:
        """Refuse the request that may be on its way on a new connection."""
        if self.server.draining:
            self.server.unused_connections_ended += 1
        await self._send(refusal_response(refusal, DEFAULT_REFUSAL_STATUS), close=True)
        # Only now it is known whether there is a request.
        await self._discard_input(refusal)

    async def _discard_input(self, unreported: Refusal | None = None) -> None:
        """Receive what follows the last answer, for a limited time.

        It is the rest of a request that was refused, or pipelined requests. Closing a
        connection with unread bytes resets it, and the client may then lose the answer.

        Args:
            unreported: Refusal to report if there is any input.
        """
        if not self.reading_stopped:
            # With both directions shut down, Linux resets the connection when more
            # bytes arrive.
            await self.sock.shutdown(socket.SHUT_WR)
        limit_ms = DISCARD_TIMEOUT_MS
        if self.server.refuses_at_once:
            limit_ms = WAITING_DISCARD_MS
        async with curio.ignore_after(limit_ms / MS_PER_SECOND):
            left = MAX_DISCARDED_BYTES
            while left > 0:
                data = await self.sock.recv(READ_BYTES)
                if not data and not self.reading_stopped:
                    return
                if not data:
                    # Bytes also arrive after this server ended the reading.
                    await curio.sleep(DISCARD_POLL_MS / MS_PER_SECOND)
                elif unreported is not None:
                    await self._report(unreported)
                    unreported = None
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
        await self._report(refusal)
        await self._send(refusal_response(refusal, status), close=True)

    async def _report(self, refusal: Refusal) -> None:
        if self.server.on_refusal is not None:
            await self.server.on_refusal(refusal)

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
        header_ms = self.limits.header_ms
        refusal = self._refusal_if_overloaded()
        if refusal is not None:
            header_ms = min(header_ms, OVERLOAD_HEADER_MS)
        detail = f"the request head was not complete within {header_ms} ms"
        try:
            async with curio.timeout_after(header_ms / MS_PER_SECOND):
                head = await self._parse_part(self._read_head)
            detail = f"the request was not complete within {REQUEST_TIMEOUT_MS} ms"
            if head is None:
                return None
            self._check_room(head)
            async with curio.timeout_after(REQUEST_TIMEOUT_MS / MS_PER_SECOND):
                body = await self._parse_part(self._read_body)
        except curio.TaskTimeout as error:
            if refusal is not None:
                raise RequestRejected(
                    refusal.detail, DEFAULT_REFUSAL_STATUS, refusal
                ) from error
            raise RequestRejected(detail, REQUEST_TIMEOUT_STATUS) from error
        # The connection of a check ends with its answer.
        self.lacks_room = refusal is not None
        if refusal is not None and not self.is_check:
            await self._refuse(refusal, DEFAULT_REFUSAL_STATUS)
            return None
        return self._make_request(head, body)

    def _check_room(self, head: h11.Request) -> None:
        """Check that there is memory for a body before it is received.

        Raises:
            RequestRejected: If there is none.
        """
        if self.is_check:
            return
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
        detail = self.held.refusal_detail
        return RequestRejected(detail, DEFAULT_REFUSAL_STATUS, overload_refusal(detail))

    async def _wait_for_bytes(self) -> bool:
        """Wait for the first bytes of a request; return False if none were received."""
        rest, _ = self.http.trailing_data
        if rest.startswith(EMPTY_LINE):
            rest = rest[len(EMPTY_LINE) :]
            self.http = self._make_parser()
            if rest:
                self.http.receive_data(rest)
        if rest:
            return True
        data = await self._wait_when_idle()
        if data == EMPTY_LINE:
            # Only one is ignored, so that they do not prolong the wait without end.
            data = await self._wait_when_idle()
        elif data is not None:
            data = data.removeprefix(EMPTY_LINE)
        if data is None:
            return False
        self.was_closed = not data and not self.reading_stopped
        self.http.receive_data(data)
        return bool(data)

    async def _wait_when_idle(self) -> bytes | None:
        """Return the next bytes, as ``_receive_when_idle``; be listed as idle."""
        self.idle_since_s = await curio.clock()
        self.server.idle_connections.add(self)
        try:
            return await self._receive_when_idle()
        finally:
            self.server.idle_connections.discard(self)

    async def _receive_when_idle(self) -> bytes | None:
        """Return the next bytes, or None if the connection was idle for too long.

        The limit may be raised meanwhile; callers then keep their connections longer.
        """
        waited_ms = 0
        refusal = self._refusal_if_overloaded()
        # Also after an answer that announced no close and ended in a planned stop.
        self.is_awaited = not self.was_used or self.server.draining
        while True:
            wait_ms = self._idle_limit_ms() - waited_ms
            if self.is_awaited or refusal is not None:
                way_ms = self._request_wait_ms(refusal is not None) - waited_ms
                wait_ms = min(wait_ms, way_ms)
            try:
                data = await self.receive_within(wait_ms, READ_BYTES)
            finally:
                self.is_awaited = False
            if data is not None:
                return data
            waited_ms += wait_ms
            self.limits = self.server.limits()
            # The room may have come, or gone, meanwhile.
            refusal = self._refusal_if_overloaded()
            if refusal is not None or self._is_over(waited_ms):
                self.idle_refusal = refusal
                return None
            # The wait for an announced time was cut short by a lack of room that is
            # over, and a planned stop has begun.
            self.is_awaited = self.server.draining

    def _is_over(self, waited_ms: int) -> bool:
        """Return whether a connection that was idle for this long has to be closed."""
        limit_ms = self._idle_limit_ms()
        if self.server.draining:
            limit_ms = min(limit_ms, self._request_wait_ms(lacks_room=False))
        return waited_ms >= limit_ms

    def _idle_limit_ms(self) -> int:
        """Return how long to wait for the next request.

        The limit may have been lowered since an answer announced a time.
        """
        return max(self.limits.idle_ms, self.announced_ms)

    def _request_wait_ms(self, lacks_room: bool) -> int:
        """Return how long a request is taken to be on its way.

        Args:
            lacks_room: Whether there is no room for requests, so that an announced time
                is not kept.
        """
        if self.was_used:
            return self.drain_wait_ms(self.server.keeps_announced and not lacks_room)
        if self.server.refuses_at_once:
            return 0
        return min(self.limits.header_ms, MAX_REQUEST_WAIT_MS)

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
        held_bytes = size + len(event.headers) * FIELD_BYTES
        self.is_check = is_check(event, held_bytes, self.server.checks)
        if not self.is_check:
            self._hold(held_bytes)
        names = {name for name, _ in event.headers}
        if b"transfer-encoding" in names and b"content-length" in names:
            # Servers on the path may disagree on which of them applies; the rest of the
            # body could then be smuggled in as another request.
            detail = "the request has both Content-Length and Transfer-Encoding"
            raise RequestRejected(detail, 400)
        return event

    async def _read_body(self) -> bytes:
        body = BodyBuffer()
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                if body.size + len(event.data) > self.limits.body_bytes:
                    limit = self.limits.body_bytes
                    raise RequestRejected(f"the body exceeds {limit} bytes", 413)
                self._hold(len(event.data))
                body.add(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return body.joined()
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
            is_last = self.http.trailing_data[0] in (b"", EMPTY_LINE)
            closing = self.server.closing or self.lacks_room
            await self._send(response, close=closing and is_last)
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
        elif self.http.their_state is h11.DONE:
            limit_ms = 0
            # Without room for requests, idle connections are closed soon.
            if not self.server.overload():
                limit_ms = min(self.limits.idle_ms, self.server.notice_ms)
            self.announced_ms = kept_idle_ms(limit_ms)
            headers += keep_alive_fields(limit_ms)
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
        await self._send_stream(response, response.body, headers)

    async def _send_stream(
        self,
        response: Response,
        pieces: AsyncGenerator[bytes, None] | BodyStream,
        headers: list[tuple[str | bytes, str | bytes]],
    ) -> None:
        if response.length is None:
            headers.append(("Transfer-Encoding", "chunked"))
        else:
            headers.append(("Content-Length", str(response.length)))
        head = h11.Response(status_code=response.status, headers=header_fields(headers))
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
        if data:
            await write_answer(self.sock, data, self.server.memory)
