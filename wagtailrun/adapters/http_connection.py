"""One HTTP/1.1 connection of a client: sending requests and reading their answers."""

from collections import deque
from collections.abc import Iterator
from typing import Any

import curio
import h11

from wagtailrun.adapters.answer_heads import check_status
from wagtailrun.adapters.uploads import Upload
from wagtailrun.clock import MS_PER_SECOND, Clock
from wagtailrun.exceptions import TargetFailed
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

__all__ = ["HttpConnection"]

READ_BYTES = 64 * 1024
# Largest head, chunk header or trailers of a response.
MAX_HEAD_BYTES = 16 * 1024
# What may still be read of a response after its time is over: bytes that had arrived
# before, while this process stood still. The receive buffer of a connection that is not
# read holds no more: Linux starts with 128 KB and enlarges it only for a reader. Many
# floods may end at once on one processor, so that a larger allowance delays them all.
MAX_LATE_BYTES = 128 * 1024
# Each read and each event counts as this many bytes at least. They bound the time of
# late reads whatever is sent: 32 reads, which may wait for 1 ms each, and 512 events.
LATE_READ_BYTES = 4 * 1024
LATE_EVENT_BYTES = 256
# Interim responses (1xx) that may precede a response.
MAX_INTERIM_RESPONSES = 8
# Requests whose identities a connection remembers, and responses whose bodies it does.
# A late copy follows its response after a few others at most.
MAX_IDENTITIES = 64
# Middleboxes on the path may forget a connection that is idle for longer.
MAX_IDLE_MS = 15_000


class HttpConnection:
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
        # Digests of the newest bodies that ``HttpStream.check_distinct`` checked.
        self.body_digests: deque[int] = deque(maxlen=MAX_IDENTITIES)
        self.http = self._make_parser()
        self.idle_since_ms = 0
        self.max_idle_ms = MAX_IDLE_MS
        # Method of the newest request.
        self.method = b""
        self.upload: Upload | None = None
        # What ended the wait for an answer while the request was being sent.
        self.early_event: Any = None
        # Number of interim responses received while it was being sent.
        self.interims = 0
        # When the newest request was sent completely, on the clock; None before. And
        # whether anything was received since its first byte.
        self.sent_ms: int | None = None
        self.has_received = False
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
            raise TargetFailed(detail)

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
        placeholder = h11.Request(
            method=self.method, target=b"/", headers=[("Host", "x")]
        )
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
        self.method = request.method
        self.interims = 0
        self.sent_ms = None
        self.has_received = False
        parts = [
            self.http.send(request),
            self.http.send(h11.Data(body)),
            self.http.send(h11.EndOfMessage()),
        ]
        self.upload = None
        if len(body) > READ_BYTES:
            self.upload = Upload(self.sock, parts, self._take_early)
            await self.upload.send_until_answered(timeout_ms)
            if self.upload.is_complete:
                self.sent_ms = self.clock.now_ms()
            return
        # One write; a copy of a larger body would take more memory than time.
        data = b"".join(parts)
        try:
            async with curio.timeout_after(timeout_ms / MS_PER_SECOND):
                await self.sock.sendall(data)
            self.sent_ms = self.clock.now_ms()
        except curio.TaskTimeout as error:
            raise TargetFailed(
                f"the request was not taken in {timeout_ms} ms", timed_out=True
            ) from error
        except OSError as error:
            # The server may have answered before it closed the connection.
            self.upload = Upload(self.sock, (data,), self._take_early)
            self.upload.failure = error

    def _take_early(self, data: bytes) -> bool:
        """Take bytes received while a request is sent; see ``Upload``."""
        self.has_received = True
        self.received_end = not data
        self.http.receive_data(data)
        while isinstance(event := self.http.next_event(), h11.InformationalResponse):
            self.interims += 1
            if self.interims > MAX_INTERIM_RESPONSES:
                break
        if event is h11.NEED_DATA:
            return False
        self.early_event = event
        return True

    def is_suspect(self, silent_ms: int) -> bool:
        """Return whether it may have been silent before the newest request.

        Args:
            silent_ms: How long nothing must have been received since that request was
                sent, in milliseconds.
        """
        is_reused = self.requests > 1
        if not is_reused or self.has_received or self.sent_ms is None:
            return False
        return self.clock.now_ms() - self.sent_ms >= silent_ms

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
            return await self._read_arrived_head(self.upload.failure)
        ends_ms = self.clock.now_ms() + timeout_ms
        failure: TargetFailed | None = None
        for wait_ms in waits_ms or (timeout_ms,):
            try:
                left_ms = ends_ms - self.clock.now_ms()
                return await self.read_head(min(wait_ms, left_ms))
            except TargetFailed as error:
                failure = error
                if not error.timed_out:
                    break
        # There is at least one wait.
        raise failure  # type: ignore[misc]

    async def _read_arrived_head(self, failure: OSError) -> h11.Response:
        """Return the head of a response that arrived before a write failed."""
        try:
            return await self.read_head(0)
        except TargetFailed as error:
            if not error.timed_out:
                raise
            raise TargetFailed(str(failure)) from failure

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
                raise TargetFailed(detail, closed=True)
        raise TargetFailed(
            f"the server sent more than {MAX_INTERIM_RESPONSES} interim responses"
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
                str(error), closed=isinstance(error, OSError) or self.received_end
            ) from error
        if event is None:
            raise TargetFailed(detail, timed_out=True)
        return event

    async def _receive_event(self, timeout_ms: int) -> Any:
        """Receive bytes up to the next h11 event; return None after the time limit."""
        event: Any = h11.NEED_DATA
        async with curio.ignore_after(timeout_ms / MS_PER_SECOND):
            while event is h11.NEED_DATA:
                data = await self.sock.recv(READ_BYTES)
                # Before the time may end here: the caller may read on later.
                self.received_end = not data
                self.has_received = True
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
                "the response goes on after its time is over", timed_out=True
            )

    def is_reusable(self) -> bool:
        """Return whether the connection may carry another request."""
        is_done = self.http.our_state is h11.DONE and self.http.their_state is h11.DONE
        # The server may take the next bytes for the rest of a body that was not sent.
        is_done = is_done and self.is_sent
        # Bytes after a complete response belong to no request of this client.
        return is_done and not self.closing and not self.http.trailing_data[0]
