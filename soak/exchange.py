"""One connection of a caller: what is sent and received on it, and when."""

import select
import socket
import struct
from collections.abc import Callable
from typing import Any

import curio
import h11
from attrs import define, field

from soak.dialect import Answer, Dialect, RequestPlan
from soak.records import Outcome, RequestRecord
from wagtailrun.clock import SystemClock
from wagtailrun.ports.link import Address

__all__ = ["Connection", "Manner"]

READ_BYTES = 65_536
CONNECT_TIMEOUT_S = 2.0
ANSWER_TIMEOUT_S = 12.0
TCP_CLOSE = 7
BLIND_POLL_S = 0.001
# Time in which the reset follows the end of a connection whose bytes were not read.
RESET_WAIT_S = 0.005
MIN_REFUSED_STATUS = 400
MAX_REFUSAL_BYTES = 400


@define(kw_only=True)
class Manner:
    """How a request is sent.

    Attributes:
        late_ms: Time before its first byte.
        pauses_ms: Pauses between its parts.
        leaves_after_ms: When the caller leaves, after the request was sent; 0 never.
        leaves_at_event: Event of a stream at which the caller leaves; 0 never.
        ends_connection: Whether it asks for the end of the connection.
        is_ready: Whether to send the first byte; at the latest after ``late_ms``.
        is_blind: Whether the caller sends without a look at what has arrived.
    """

    late_ms: float = 0
    pauses_ms: list[float] = field(factory=list)
    leaves_after_ms: float = 0
    leaves_at_event: int = 0
    ends_connection: bool = False
    is_ready: Callable[[], bool] | None = None
    is_blind: bool = False


class Connection:
    """Connection of a caller to an entry, on which nothing is pipelined.

    Args:
        entry: Name of the entry.
        number: Number of the connection, which no other has.
        dialect: Wire format.
        is_routed: Whether the entry was in rotation when it was opened.
    """

    def __init__(self, entry: str, number: str, dialect: Dialect, is_routed: bool):
        self.entry = entry
        self.number = number
        self.dialect = dialect
        self.is_routed = is_routed
        self.clock = SystemClock()
        self.sock: Any = None
        self.port = 0
        self.parser = h11.Connection(h11.CLIENT)
        self.position = 0
        self.connected_ms = 0
        self.closed_ms = 0
        self.was_reset = False
        self._clear()

    def _clear(self) -> None:
        self.first_byte_ms = self.sent_ms = self.answer_ms = self.received = 0
        self.status = 0
        # When the end had arrived that a caller did not look for.
        self.ended_before_ms = 0
        self.headers: dict[str, str] = {}
        self.body = bytearray()
        self.is_complete = False
        self.has_left = False

    async def open(self, address: Address) -> bool:
        """Connect; return whether it succeeded."""
        try:
            async with curio.timeout_after(CONNECT_TIMEOUT_S):
                self.sock = await curio.open_connection(address.host, address.port)
        except (OSError, curio.TaskTimeout):
            return False
        self.connected_ms = self.clock.now_ms()
        _, self.port = self.sock.getsockname()
        return True

    async def close(self) -> None:
        """Close the connection."""
        if self.sock is not None:
            await self.sock.close()
            self.sock = None

    @property
    def is_usable(self) -> bool:
        """Return whether another request may be sent, as far as is known."""
        return (
            self.sock is not None
            and not self.closed_ms
            and self.parser.our_state is h11.IDLE
        )

    def look(self) -> bool:
        """Return whether anything, also the end, arrived that was not received."""
        poll = select.poll()
        poll.register(self.sock.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    async def wait_idle(self, wait_ms: float) -> bool:
        """Wait without a request; return whether the connection is still usable."""
        await self._receive(wait_ms / 1_000)
        return self.is_usable

    async def exchange(self, plan: RequestPlan, manner: Manner) -> RequestRecord:
        """Send a request and receive its answer."""
        self._clear()
        began_ms = self.clock.now_ms()
        outcome = Outcome.NO_END
        try:
            async with curio.timeout_after(ANSWER_TIMEOUT_S + manner.late_ms / 1_000):
                outcome = await self._exchange(plan, manner)
        except curio.TaskTimeout:
            pass
        record = self._record(plan, outcome, began_ms)
        self.position += 1
        states = (self.parser.our_state, self.parser.their_state)
        if self.is_complete and states == (h11.DONE, h11.DONE):
            self.parser.start_next_cycle()
        return record

    async def _exchange(self, plan: RequestPlan, manner: Manner) -> Outcome:
        parts = self._render(plan, manner)
        if manner.is_blind:
            await self._wait_blindly(manner)
        elif manner.is_ready is not None:
            await self._receive(manner.late_ms / 1_000, manner.is_ready)
        elif manner.late_ms:
            await self._receive(manner.late_ms / 1_000)
        if not self._is_ended():
            self.first_byte_ms = self.clock.now_ms()
            for number, part in enumerate(parts):
                if number:
                    await self._receive(manner.pauses_ms[number - 1] / 1_000)
                if self._is_ended() or not await self._send(part):
                    break
            else:
                self.sent_ms = self.clock.now_ms()
        return await self._receive_answer(plan, manner)

    async def _wait_blindly(self, manner: Manner) -> None:
        """Wait without receiving, so that the request may cross the end."""
        until_ms = self.clock.now_ms() + manner.late_ms
        while not manner.is_ready() and self.clock.now_ms() < until_ms:
            await curio.sleep(BLIND_POLL_S)
        try:
            flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
            has_ended = not self.sock._socket.recv(1, flags)
        except BlockingIOError:
            has_ended = False
        except OSError:
            has_ended = True
        if has_ended:
            self.ended_before_ms = self.clock.now_ms()

    def _is_ended(self) -> bool:
        return bool(self.closed_ms) or self.is_complete

    def _render(self, plan: RequestPlan, manner: Manner) -> list[bytes]:
        path, headers, body = self.dialect.request(plan)
        headers = [*headers, ("Content-Length", str(len(body)))]
        if manner.ends_connection:
            headers.append(("Connection", "close"))
        request = h11.Request(method="POST", target=path, headers=headers)
        data = self.parser.send(request) or b""
        data += self.parser.send(h11.Data(data=body)) or b""
        data += self.parser.send(h11.EndOfMessage()) or b""
        count = len(manner.pauses_ms) + 1
        size = -(-len(data) // count)
        return [data[start : start + size] for start in range(0, len(data), size)]

    async def _send(self, data: bytes) -> bool:
        try:
            await self.sock.sendall(data)
        except OSError:
            # What the entry sent before the end may still be there.
            self.was_reset = True
            return False
        return True

    async def _receive_answer(self, plan: RequestPlan, manner: Manner) -> Outcome:
        wait_s = ANSWER_TIMEOUT_S
        if manner.leaves_after_ms:
            wait_s = manner.leaves_after_ms / 1_000
        until_ms = self.clock.now_ms() + wait_s * 1_000

        def has_enough() -> bool:
            if not manner.leaves_at_event:
                return False
            events = self._read(plan).events
            return bool(events) and events[-1] >= manner.leaves_at_event

        while not self._is_ended() and self.clock.now_ms() < until_ms:
            await self._receive((until_ms - self.clock.now_ms()) / 1_000, has_enough)
            if has_enough():
                break
        if not self._is_ended():
            self.has_left = True
            await self.close()
            return Outcome.LEFT
        return self._outcome(plan)

    def _outcome(self, plan: RequestPlan) -> Outcome:
        if not self.received:
            return Outcome.NO_ANSWER
        if not self.is_complete:
            return Outcome.CUT
        if self.status >= MIN_REFUSED_STATUS:
            return Outcome.REFUSED
        answer = self._read(plan)
        if answer.is_refused:
            return Outcome.REFUSED
        return Outcome.ANSWERED if answer.is_whole else Outcome.CUT

    async def _receive(
        self, wait_s: float, is_enough: Callable[[], bool] | None = None
    ) -> None:
        """Receive until a time, the end of an answer or of the connection."""
        until_ms = self.clock.now_ms() + wait_s * 1_000
        while not self._is_ended():
            left_s = (until_ms - self.clock.now_ms()) / 1_000
            if left_s <= 0 or (is_enough is not None and is_enough()):
                return
            if is_enough is not None:
                left_s = min(left_s, 0.02)
            try:
                async with curio.timeout_after(left_s):
                    piece = await self.sock.recv(READ_BYTES)
            except curio.TaskTimeout:
                continue
            except OSError:
                self.was_reset = True
                piece = b""
            await self._take(piece)

    async def _take(self, piece: bytes) -> None:
        now_ms = self.clock.now_ms()
        if not piece:
            self.closed_ms = now_ms
        elif not self.received:
            self.answer_ms = now_ms
        self.received += len(piece)
        try:
            self.parser.receive_data(piece)
            self._parse()
        except h11.RemoteProtocolError:
            # The end within an answer, or bytes that are none.
            self.closed_ms = self.closed_ms or now_ms
        if not piece:
            await curio.sleep(RESET_WAIT_S)
            self.was_reset = self.was_reset or self._is_reset()

    def _parse(self) -> None:
        if self.parser.our_state is h11.IDLE:
            return
        while True:
            event = self.parser.next_event()
            if event in (h11.NEED_DATA, h11.PAUSED):
                return
            if isinstance(event, h11.Response):
                self.status = event.status_code
                self.headers = {k.decode(): v.decode() for k, v in event.headers}
            elif isinstance(event, h11.Data):
                self.body += event.data
            elif isinstance(event, h11.EndOfMessage):
                self.is_complete = True
                return
            elif isinstance(event, h11.ConnectionClosed):
                return

    def _is_reset(self) -> bool:
        """Return whether a reset followed the end of the connection."""
        info = self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
        return struct.unpack("B", info)[0] == TCP_CLOSE

    def _read(self, plan: RequestPlan) -> Answer:
        return self.dialect.read(plan.kind, self.status, self.headers, bytes(self.body))

    def _refusal(self) -> str:
        if self.status < MIN_REFUSED_STATUS:
            return ""
        return bytes(self.body[:MAX_REFUSAL_BYTES]).decode(errors="replace")

    def _record(
        self, plan: RequestPlan, outcome: Outcome, began_ms: int
    ) -> RequestRecord:
        answer = self._read(plan) if self.status else Answer()
        return RequestRecord(
            name=plan.name,
            attempt=plan.attempt,
            entry=self.entry,
            kind=plan.kind,
            outcome=outcome,
            runs_once=self.dialect.runs_once(plan.kind),
            key=plan.key,
            resumes=plan.resumes,
            after_event=plan.after_event,
            connection=self.number,
            port=self.port,
            is_routed=self.is_routed,
            position=self.position,
            began_ms=began_ms,
            connected_ms=self.connected_ms,
            first_byte_ms=self.first_byte_ms,
            sent_ms=self.sent_ms,
            answer_ms=self.answer_ms,
            ended_ms=self.clock.now_ms(),
            closed_ms=self.ended_before_ms or self.closed_ms,
            was_reset=self.was_reset,
            received=self.received,
            status=self.status,
            is_not_run=answer.is_not_run,
            refusal=self._refusal(),
            events=answer.events,
            versions=answer.versions,
        )
