"""Emulated targets of relay entries: the wire format around their work."""

import itertools
import json
from collections.abc import Awaitable
from typing import Any

import attrs
import curio

from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.exceptions import TargetFailed
from wagtailrun.experiments.relay import wire
from wagtailrun.experiments.relay.attempt_log import AttemptLog
from wagtailrun.experiments.relay.limiting import Admission, StatedLimits
from wagtailrun.experiments.relay.network import Network, Process
from wagtailrun.experiments.relay.results import ResultStore
from wagtailrun.experiments.relay.sockets import VirtualSocket
from wagtailrun.experiments.relay.stage_calls import FREE_PATH, RUN_PATH
from wagtailrun.experiments.relay.work import (
    Submitted,
    TargetRequest,
    TargetWork,
    WorkItem,
)
from wagtailrun.stages import PieceOutcome
from wagtailrun.targets.table import TargetRow

__all__ = ["RelayTarget"]

READ_BYTES = 64 * 1024
HEAD_END = b"\r\n\r\n"
REASONS = {
    200: "OK",
    409: "Conflict",
    421: "Misdirected Request",
    503: "Service Unavailable",
}
# A target that failed from requests is started again after this long.
RESTART_MS = 3_000
# Rank of pieces of stages, which name none.
PIECE_URGENCY = 5


@attrs.frozen
class _Head:
    """Head of a request."""

    path: str
    headers: dict[str, str]


class RelayTarget:
    """One target: its process, its row and its work.

    Args:
        network: Network.
        row: Row at the start.
        work: What it does with requests.
        log: Log of the attempts, which is told when answers arrive.
        results: Results of stages that targets keep.
        limits: What it states about the requests that it takes.
    """

    def __init__(
        self,
        network: Network,
        row: TargetRow,
        work: TargetWork,
        log: AttemptLog,
        results: ResultStore,
        limits: StatedLimits | None = None,
    ):
        self.network = network
        self.row = row
        self.work = work
        self.log = log
        self.results = results
        self.admission = Admission(
            network.clock, limits or StatedLimits(), work.capacity
        )
        self.broken = curio.Event()
        # How often it failed from requests.
        self.failures = 0
        self.is_paused = False
        self.process = Process(row.name, row.address, row.data_centre, self.serve)
        network.add(self.process)

    async def start(self) -> None:
        """Begin to work."""
        await curio.spawn(self.work.run, daemon=True)
        await curio.spawn(self._restart_when_broken, daemon=True)

    async def _restart_when_broken(self) -> None:
        """End the process when it fails from requests, and start it again."""
        while True:
            await self.broken.wait()
            self.broken.clear()
            self.failures += 1
            await self.die()
            await self.network.clock.sleep_ms(RESTART_MS)
            if not self.process.is_alive:
                await self.restart()

    @property
    def announces(self) -> bool:
        """Whether it is in a state to report."""
        return self.process.is_alive and not self.process.is_lost and not self.is_paused

    @property
    def cold_ms(self) -> int | None:
        """What its reports say about its coldness; None if it is never cold."""
        return self.admission.cold_ms if self.admission.limits.cold_ms else None

    def announce(self) -> TargetRow:
        """Return its next report."""
        self.row = attrs.evolve(
            self.row,
            sequence=self.row.sequence + 1,
            running=self.work.running,
            queued=self.work.queued,
        )
        return self.row

    # Faults

    async def die(self) -> None:
        """End its process."""
        await self.network.end(self.process)
        await self.work.die()
        self.results.drop_all(self.process)

    async def restart(self) -> None:
        """Start again as a new incarnation."""
        self.admission.restart()
        incarnation = self.row.incarnation + 1
        self.row = attrs.evolve(self.row, incarnation=incarnation, sequence=0)
        await self.network.revive(self.process)

    def pause(self) -> None:
        """Let its process stand still; its connections stay open."""
        self.is_paused = True
        self.work.pause()

    async def go_on(self) -> None:
        """Let its process go on where it stood still."""
        self.is_paused = False
        await self.work.go_on()

    # Requests

    async def serve(self, sock: VirtualSocket) -> None:
        """Answer the requests of one connection."""
        received = bytearray()
        try:
            while (head := await self._read_head(sock, received)) is not None:
                length = int(head.headers.get("content-length", "0"))
                while len(received) < length:
                    data = await sock.recv(READ_BYTES)
                    if not data:
                        return
                    received += data
                body = bytes(received[:length])
                del received[:length]
                await self.work.wait_for_end_of_pause()
                if not await self._answer(sock, head, body):
                    return
        except OSError:
            # The entry closed the connection, or its path was lost.
            return
        finally:
            await sock.close()

    async def _read_head(
        self, sock: VirtualSocket, received: bytearray
    ) -> _Head | None:
        """Return the next head; None at the end of the connection."""
        while (end := received.find(HEAD_END)) < 0:
            data = await sock.recv(READ_BYTES)
            if not data:
                return None
            received += data
        lines = received[:end].decode("latin-1").split("\r\n")
        del received[: end + len(HEAD_END)]
        pairs = (line.partition(":") for line in lines[1:])
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        return _Head(lines[0].split(" ")[1], headers)

    async def _answer(self, sock: VirtualSocket, head: _Head, body: bytes) -> bool:
        """Answer a request; return whether the connection may be used again."""
        if head.headers.get(wire.TARGET, self.row.name) != self.row.name:
            await self._send_whole(sock, wire.MISDIRECTED, (), b"")
            return True
        if head.path == wire.REPORT_PATH:
            report = b'{"incarnation": %d}' % self.row.incarnation
            await self._send_whole(sock, wire.OK, (), report)
            return True
        if head.path == FREE_PATH:
            for handle in json.loads(body):
                self.results.free(handle)
            await self._send_whole(sock, wire.OK, (), b"")
            return True
        pieces = len(json.loads(body)) if head.path == RUN_PATH else 1
        in_progress = self.work.running + self.work.queued
        is_admitted = self.admission.admit(pieces, in_progress)
        if self.admission.is_broken:
            await self.broken.set()
            return False
        if not is_admitted:
            answers = ((wire.NOT_RUN, "1"), *self._named(head))
            await self._send_whole(sock, wire.UNAVAILABLE, answers, b"")
            return True
        if head.path == RUN_PATH:
            return await self._while_open(sock, self._run_pieces(sock, body))
        inputs = [each for each in head.headers.get(wire.INPUTS, "").split(",") if each]
        request = self._read_request(head, body)
        if not self._can_fetch(inputs):
            headers = ((wire.NOT_RUN, "1"), *self._named(head))
            await self._send_whole(sock, wire.CONFLICT, headers, b"")
            return True
        return await self._while_open(sock, self._run_request(sock, request))

    def _named(self, head: _Head) -> tuple[tuple[str, str], ...]:
        """Return the header that names the request; a stage call names none."""
        request_id = head.headers.get(wire.REQUEST_ID)
        return () if request_id is None else ((wire.ANSWER_ID, request_id),)

    async def _while_open(self, sock: VirtualSocket, work: Awaitable[bool]) -> bool:
        """Answer a request until the entry closes the connection.

        Returns:
            Whether the answer is whole.
        """
        answering = await curio.spawn(_await, work, daemon=True)
        watching = await curio.spawn(_cancel_at_end, sock, answering, daemon=True)
        try:
            await answering.wait()
            return answering.exception is None and bool(answering.result)
        finally:
            await answering.cancel(blocking=False)
            await watching.cancel()

    def _can_fetch(self, handles: list[str]) -> bool:
        return all(self.results.can_fetch(each, self.process) for each in handles)

    async def _run_request(self, sock: VirtualSocket, request: TargetRequest) -> bool:
        """Run a request and send its answer; return whether it is whole."""
        submitted = await self.work.submit(request)
        is_whole = False
        try:
            is_whole = await self._send_answer(sock, request, submitted)
        finally:
            if not is_whole:
                await submitted.cancel()
        return is_whole

    async def _run_pieces(self, sock: VirtualSocket, body: bytes) -> bool:
        """Run the pieces of a stage call and send their handles."""
        async with curio.TaskGroup() as group:
            tasks = [
                await group.spawn(self._run_piece, row) for row in json.loads(body)
            ]
        answer = json.dumps([task.result for task in tasks]).encode()
        try:
            await self.work.wait_for_end_of_pause()
            await self._send_whole(sock, wire.OK, (), answer)
        except OSError:
            return False
        return True

    async def _run_piece(self, row: dict[str, Any]) -> tuple[str, str]:
        """Run a piece; return its outcome and the handle of its result."""
        if not self._can_fetch(row["inputs"] or []):
            return PieceOutcome.GONE.value, ""
        request = TargetRequest(
            request_id=row["request"],
            number=row["attempt"],
            entry="",
            step=str(row["step"]),
            body=b"",
            remaining_ms=row["remaining_ms"],
            urgency=PIECE_URGENCY,
        )
        submitted = await self.work.submit(request)
        try:
            await submitted.next_item()
        except BaseException:
            await submitted.cancel()
            raise
        handle = self.results.add(self.process)
        if not handle:
            return PieceOutcome.NO_MEMORY.value, ""
        return PieceOutcome.DONE.value, handle

    def _read_request(self, head: _Head, body: bytes) -> TargetRequest:
        headers = head.headers
        after = headers.get(wire.RESUME_AFTER)
        return TargetRequest(
            request_id=headers[wire.REQUEST_ID],
            number=int(headers[wire.ATTEMPT]),
            entry="",
            step="",
            body=body,
            remaining_ms=int(headers[wire.DEADLINE]),
            urgency=int(headers[wire.URGENCY]),
            resume_offset=0 if after is None else int(after) + 1,
        )

    async def _send_answer(
        self, sock: VirtualSocket, request: TargetRequest, submitted: Submitted
    ) -> bool:
        """Send the answer to a request; return whether it is whole."""
        try:
            for number in itertools.count():
                item = await submitted.next_item()
                await self.work.wait_for_end_of_pause()
                if not self.work.streams:
                    headers = self._answer_headers(request)
                    await self._send_whole(sock, wire.OK, headers, item.text.encode())
                    return True
                await self._send_event(sock, request, item, is_first=not number)
                if item.is_last:
                    self.log.record_sent(request.number, self._arrival_ms())
                    return True
        except (OSError, TargetFailed):
            # The connection has ended, or the target has.
            return False
        return False

    def _arrival_ms(self) -> int:
        """Return when what is sent now arrives, in milliseconds."""
        arrival_s = self.network.clock.seconds + self.network.delay_s
        return int(arrival_s * MS_PER_SECOND)

    def _answer_headers(self, request: TargetRequest) -> tuple[tuple[str, str], ...]:
        load = f"{self.work.running},{self.work.queued},{self.work.capacity}"
        return (
            (wire.ANSWER_ID, request.request_id),
            (wire.ATTEMPT, str(request.number)),
            (wire.LOAD, load),
        )

    async def _send_whole(
        self,
        sock: VirtualSocket,
        status: int,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
    ) -> None:
        length = ("content-length", str(len(body)))
        pairs = (*headers, *self.admission.headers(), length)
        await sock.sendall(_response_head(status, pairs) + body)

    async def _send_event(
        self,
        sock: VirtualSocket,
        request: TargetRequest,
        item: WorkItem,
        *,
        is_first: bool,
    ) -> None:
        event = f"id: {item.offset}\ndata: {item.text}\n\n".encode()
        data = b"%x\r\n%b\r\n" % (len(event), event)
        if is_first:
            headers = (
                *self._answer_headers(request),
                *self.admission.headers(),
                ("content-type", wire.EVENT_STREAM),
                ("transfer-encoding", "chunked"),
            )
            data = _response_head(wire.OK, headers) + data
        if item.is_last:
            data += b"0\r\n\r\n"
        await sock.sendall(data)


async def _await(work: Awaitable[bool]) -> bool:
    return await work


async def _cancel_at_end(sock: VirtualSocket, answering: curio.Task) -> None:
    """Cancel an answer when the entry closes the connection."""
    try:
        while await sock.recv(READ_BYTES):
            # Entries send no further request before the answer to this one.
            pass
    except OSError:
        # The same.
        pass
    await answering.cancel(blocking=False)


def _response_head(status: int, headers: tuple[tuple[str, str], ...]) -> bytes:
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
