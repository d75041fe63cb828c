"""Tests of peers that send bytes without end, or too slowly to be of use."""

import itertools
import json
import tracemalloc
from types import SimpleNamespace

import curio
import h11
import pytest
from wagtail_platform.stage_calls import PlatformStageClient

from demo.processes import free_addresses
from wagtailrun.adapters import tcp_link
from wagtailrun.adapters.http_client import (
    MAX_REPLY_BYTES,
    HttpClient,
    HttpStream,
)
from wagtailrun.adapters.http_connection import MAX_INTERIM_RESPONSES, HttpConnection
from wagtailrun.adapters.http_server import HttpServer
from wagtailrun.adapters.server_connection import ServerConnection
from wagtailrun.exceptions import TargetFailed
from wagtailrun.ports.link import Address
from wagtailrun.relay.requests.streams import RelayStreams, _StreamState
from wagtailrun.stages.port import StageItem
from wagtailrun.targets.table import TargetRow
from wagtailrun.virtual_time import run_virtual

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
INTERIM = b"HTTP/1.1 102 Processing\r\n\r\n"
# Limit of h11 on a head, a chunk header or trailers.
MAX_HEAD_BYTES = 16 * 1024
# Reads of 64 KiB that may follow each other before other tasks get a turn.
MAX_READS_IN_A_TURN = 4
# Largest body that the test of its error reads.
BODY_BYTES = 2 * 1024 * 1024


class FakeSocket:
    """Socket that always has bytes, without ever suspending the reading task.

    Args:
        data: Returned by each read, after the bytes of ``first``.
        first: Returned by the first read.
        pause_s: Time that each read takes.
    """

    def __init__(self, data, first=b"", pause_s=0.0):
        self.data = data
        self.first = first
        self.pause_s = pause_s
        self.reads = 0

    async def recv(self, size):
        if self.pause_s:
            await curio.sleep(self.pause_s)
        self.reads += 1
        piece, self.first = self.first or self.data, b""
        return piece[:size]

    async def shutdown(self, how):
        pass

    @property
    def _socket(self):
        """The socket that one of curio wraps."""
        return self

    def send(self, data):
        return len(data)

    async def sendall(self, data):
        pass


class Turn:
    """Counts the reads between two turns of another task."""

    def __init__(self, sock):
        self.sock = sock
        self.reads_at_turns = [0]

    async def run(self):
        while True:
            self.reads_at_turns.append(self.sock.reads)
            await curio.sleep(0)

    @property
    def longest(self):
        """Largest number of reads without a turn, also before the end."""
        reads = [*self.reads_at_turns, self.sock.reads]
        return max(after - before for before, after in itertools.pairwise(reads))


def connection(sock, clock):
    """Return a client's connection that waits for a response."""
    opened = HttpConnection(sock, clock)
    opened.request = h11.Request(method="GET", target="/", headers=[("Host", "x")])
    opened.http.send(opened.request)
    opened.http.send(h11.EndOfMessage())
    return opened


def fails_beside(read, sock):
    """Return the failure of ``read(clock)``, its duration and the longest turn."""

    async def main(clock):
        turn = Turn(sock)
        started_ms = clock.now_ms()
        if not sock.pause_s:
            # Virtual time stands still while this task is ready to run.
            await curio.spawn(turn.run, daemon=True)
        with pytest.raises(TargetFailed) as failure:
            await read(clock)
        return str(failure.value), clock.now_ms() - started_ms, turn.longest

    return run_virtual(main)


def test_interim_heads_without_pause_end():
    """Guards against a target that stops the whole process with interim heads."""
    sock = FakeSocket(INTERIM * 100)

    async def read(clock):
        await connection(sock, clock).read_head(1_000)

    detail, _, _ = fails_beside(read, sock)
    assert f"more than {MAX_INTERIM_RESPONSES} interim responses" in detail


def test_interim_heads_share_one_time_limit():
    """Guards against a time limit that starts again with each interim head."""
    sock = FakeSocket(INTERIM, pause_s=0.3)

    async def read(clock):
        await connection(sock, clock).read_head(1_000)

    _, took_ms, _ = fails_beside(read, sock)
    assert took_ms <= 1_001


@pytest.mark.parametrize(
    "first, data",
    [
        (b"", b"x" * 4_096),
        (b"", b"\0" * 4_096),
        (b"HTTP/1.1 200 ", b"x" * 4_096),
        (b"HTTP/1.1 200 OK\r\n", b"A: b\r\n" * 512),
        (b"HTTP/1.1 200 OK\r\nA: ", b"x" * 4_096),
        (b"HTTP/1.1 200 OK\r\nA: b", b"\r\n c" * 512),
        (HEAD, b"0" * 4_096),
        (HEAD + b"1;", b"x" * 4_096),
        (HEAD + b"0\r\n", b"A: b\r\n" * 512),
    ],
)
def test_bytes_that_are_no_answer_end(first, data):
    """Guards against a head, chunk or trailer without end that fills the memory."""
    sock = FakeSocket(data, first)

    async def read(clock):
        opened = connection(sock, clock)
        stream = HttpStream(opened, await opened.read_head(60_000))
        await stream.read_all(60_000)

    fails_beside(read, sock)
    assert sock.reads * len(data) <= 2 * MAX_HEAD_BYTES


def test_error_of_a_body_does_not_keep_its_bytes():
    """Guards against bytes that count no more, and stay until a garbage collection."""
    sock = FakeSocket(chunked(bytes(4_096)), HEAD)

    async def main(clock):
        opened = connection(sock, clock)
        stream = HttpStream(opened, await opened.read_head(60_000))
        tracemalloc.start()
        try:
            with pytest.raises(TargetFailed) as failure:
                await stream.read_all(60_000, BODY_BYTES)
            assert failure.value.__traceback__ is not None
            return tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()

    kept_bytes, peak_bytes = run_virtual(main)
    assert peak_bytes > BODY_BYTES
    assert kept_bytes < BODY_BYTES / 10


@pytest.mark.parametrize(
    "first, data",
    [
        (b"", b"H"),
        (b"HTTP/1.1 200 OK\r\n", b"A"),
        (HEAD, b"0"),
        (HEAD + b"0\r\n", b"A"),
    ],
)
def test_dripping_bytes_that_are_no_answer_end(first, data):
    """Guards against a time limit that starts again with each byte of a head."""
    sock = FakeSocket(data, first, pause_s=0.1)

    async def read(clock):
        opened = connection(sock, clock)
        stream = HttpStream(opened, await opened.read_head(1_000))
        await stream.read_all(1_000)

    _, took_ms, _ = fails_beside(read, sock)
    assert took_ms <= 2_001


def test_body_without_end_leaves_turns_to_others():
    """Guards against a body that starves all other tasks and fills the memory."""
    sock = FakeSocket(chunked(bytes(4_096)), HEAD)

    async def read(clock):
        opened = connection(sock, clock)
        stream = HttpStream(opened, await opened.read_head(1_000))
        await stream.read_all(60_000)

    detail, _, longest = fails_beside(read, sock)
    assert f"exceeds {MAX_REPLY_BYTES} bytes" in detail
    assert longest <= 65_536 // 4_096 * MAX_READS_IN_A_TURN


def test_dripping_body_ends_at_its_limit():
    """Guards against a body whose time limit starts again with each byte."""
    sock = FakeSocket(b"1\r\nx\r\n", HEAD, pause_s=0.05)

    async def read(clock):
        opened = connection(sock, clock)
        stream = HttpStream(opened, await opened.read_head(1_000))
        await stream.read_all(1_000)

    _, took_ms, _ = fails_beside(read, sock)
    assert took_ms <= 1_150


def relayed_events(sock, clock, *, repeatable, deadline_ms, take_s=0.0):
    """Read the events of a stream as the relay does; return the chunks."""
    started_ms = clock.now_ms()
    deadline_at_ms = started_ms + deadline_ms
    attempts = SimpleNamespace(
        clock=clock,
        remaining_ms=lambda job: max(deadline_at_ms - clock.now_ms(), 1),
        can_move=lambda job: repeatable,
    )
    job = SimpleNamespace(
        may_run_again=repeatable,
        objective_at_ms=started_ms + 400,
        arrived_ms=started_ms,
        route=SimpleNamespace(gap_ms=250),
        first_ms=1,
        origin=None,
    )

    async def read(found):
        opened = connection(sock, clock)
        stream = HttpStream(opened, await opened.read_head(1_000))
        attempt = SimpleNamespace(stream=stream)
        streams = RelayStreams(attempts, None, None, None)
        state = _StreamState(None)
        async for chunk in streams._events(job, attempt, state):
            found.append(chunk)
            await curio.sleep(take_s)

    return read


def chunked(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def test_stream_of_single_bytes_stalls():
    """Guards against a stall limit that each byte starts again."""
    sock = FakeSocket(chunked(b"x"), HEAD + chunked(b"id: 1\ndata: a\n\n"), 0.05)

    async def read(clock):
        await relayed_events(sock, clock, repeatable=True, deadline_ms=15_000)([])

    _, took_ms, _ = fails_beside(read, sock)
    assert took_ms <= 4 * 250 + 100


def test_flood_of_repeated_events_ends():
    """Guards against events that the caller already has, without pause or end."""
    sock = FakeSocket(chunked(b"id: 1\ndata: a\n\n" * 200), HEAD)

    async def read(clock):
        clock.seconds += 1.0
        await relayed_events(sock, clock, repeatable=True, deadline_ms=1)([])

    def overdue(*arguments):
        return 0

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(RelayStreams, "_event_due_ms", overdue)
        detail, _, longest = fails_beside(read, sock)
    assert "no complete event in time" in detail
    assert longest <= 65_536 // 3_000 * MAX_READS_IN_A_TURN


@pytest.mark.parametrize("repeatable", [False, True])
def test_ready_events_are_passed_on_after_a_pause(repeatable):
    """Guards against a stream that is cut though its events have arrived.

    The process was paused until after the deadline of the request.
    """
    events = b"".join(chunked(b"id: %d\ndata: a\n\n" % n) for n in (1, 2))
    sock = FakeSocket(events + b"0\r\n\r\n", HEAD)

    async def main(clock):
        found = []
        read = relayed_events(sock, clock, repeatable=repeatable, deadline_ms=100)
        clock.seconds += 5.0
        await read(found)
        return found

    assert b"".join(run_virtual(main)).count(b"data: a") == 2


def test_ready_body_is_returned_after_a_pause():
    """Guards against an answer that is dropped though all of it has arrived."""
    sock = FakeSocket(chunked(b"a" * 9) + chunked(b"b" * 9) + b"0\r\n\r\n", HEAD)

    async def main(clock):
        opened = connection(sock, clock)
        stream = HttpStream(opened, await opened.read_head(1_000))
        opened.clock = SteppingClock(clock)
        return await stream.read_all(1_000)

    assert run_virtual(main) == b"a" * 9 + b"b" * 9


class SteppingClock:
    """Clock that has moved on by 5 s at each reading, as after pauses."""

    def __init__(self, clock):
        self.time_ms = clock.now_ms()

    def now_ms(self):
        self.time_ms += 5_000
        return self.time_ms


def test_stream_that_cannot_be_resumed_ends_at_its_deadline():
    """Guards against a flood that outlasts the deadline of its request."""
    sock = FakeSocket(chunked(bytes(4_096)), HEAD, pause_s=0.01)

    async def read(clock):
        await relayed_events(sock, clock, repeatable=False, deadline_ms=2_000)([])

    _, took_ms, _ = fails_beside(read, sock)
    assert took_ms <= 2_020


class EventSocket(FakeSocket):
    """Sends one event after each pause, and ends after some."""

    def __init__(self, count, pause_s):
        super().__init__(b"", HEAD, pause_s)
        self.left = count

    async def recv(self, size):
        self.left -= 1
        number = self.left
        self.data = chunked(b"id: %d\ndata: a\n\n" % (1_000 - number))
        if number < 0:
            self.data = b"0\r\n\r\n"
        return await super().recv(size)


@pytest.mark.parametrize(("pause_s", "take_s"), [(0.9, 0.0), (0.01, 5.0)])
def test_slow_sound_stream_is_not_cut(pause_s, take_s):
    """Guards against a cut within the route's gaps, or for a caller that is slow."""

    async def main(clock):
        found = []
        sock = EventSocket(10, pause_s)
        read = relayed_events(
            sock, clock, repeatable=True, deadline_ms=90_000, take_s=take_s
        )
        await read(found)
        return found

    assert len(run_virtual(main)) == 9


def test_body_of_tiny_chunks_leaves_turns_to_others():
    """Guards against a caller whose body of single bytes stops the process."""
    head = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    sock = FakeSocket(b"1\r\nx\r\n" * 10_000, head)

    async def main(clock):
        turn = Turn(sock)
        await curio.spawn(turn.run, daemon=True)
        server = HttpServer(Address("127.0.0.1", 1), None, max_body_bytes=100_000)
        await ServerConnection(server, sock, "127.0.0.1").run()
        return turn.longest

    assert run_virtual(main) <= MAX_READS_IN_A_TURN


def test_large_peer_frame_leaves_turns_to_others():
    """Guards against a frame of 8 MB that holds up all other connections."""
    sock = FakeSocket(bytes(65_536))

    async def main(clock):
        turn = Turn(sock)
        await curio.spawn(turn.run, daemon=True)
        await tcp_link._FrameSocket(sock).read_exactly(8_000_000)
        return turn.longest

    assert run_virtual(main) <= MAX_READS_IN_A_TURN


class CopyingStage:
    """Stage target that sends the first answer a second time, before a later one."""

    def __init__(self, first, late=1):
        self.first = first
        self.late = late
        self.connections = 0

    async def serve(self, sock, peer):
        self.connections += 1
        number = 0
        while await sock.recv(65_536):
            own = json.dumps({"items": [{"handle": f"h{number}"}]}).encode()
            if number == 0:
                own = self.first
            elif number == self.late:
                await sock.sendall(_response(self.first))
            await sock.sendall(_response(own))
            number += 1


def _response(body):
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


@pytest.mark.network
@pytest.mark.parametrize("late", [1, 2, 9])
def test_second_copy_of_a_stage_answer_is_not_taken(late):
    """Guards against results of one request that become the inputs of another.

    The copy may follow after the answers to other requests.
    """
    stage = CopyingStage(b'{"items": [{"handle": "first"}]}', late)

    async def main():
        run = await start_stage(stage)
        for handle in ("first", *(f"h{number}" for number in range(1, late))):
            assert [reply.handle for reply in await run()] == [handle]
        with pytest.raises(TargetFailed, match="second copy"):
            await run()
        # The connection that still owes an answer is not used again.
        assert [reply.handle for reply in await run()] == ["first"]

    curio.run(main)
    assert stage.connections == 2


@pytest.mark.network
def test_connection_is_not_reused_after_an_answer_without_handles():
    """Guards against a copy that cannot be told from the next call's answer."""
    stage = CopyingStage(b'{"items": [{"reason": "late"}]}')

    async def main():
        run = await start_stage(stage)
        await run()
        await run()

    curio.run(main)
    assert stage.connections == 2


async def start_stage(stage):
    (address,) = free_addresses(1)
    await curio.spawn(
        curio.tcp_server, address.host, address.port, stage.serve, daemon=True
    )
    await curio.sleep(0.05)
    client = PlatformStageClient(HttpClient())
    row = TargetRow("t", address, "s", "a", 1)

    async def run():
        return await client.run(row, [StageItem("r", 0, 0, 1_000, "k", None)], 2_000)

    return run
