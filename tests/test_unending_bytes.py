"""Tests of senders whose bytes have no end: all that they delay is their own request.

Each cell is one reader, one part of an answer and one pace. While the bytes are read,
other tasks get turns, and the reader ends soon after its deadline, whatever is sent.
"""

import gc
import socket
import threading
import time
from contextlib import aclosing, contextmanager, suppress

import curio
import pytest
from wagtail_platform.stage_calls import PlatformStageClient

from demo.loopback import free_addresses, loopback_host
from tests.garbage import only_new_objects
from tests.standstills import NoWaits, ProcessorWaits
from tests.test_floods import (
    FakeSocket,
    chunked,
    fails_beside,
    relayed_events,
)
from tests.test_relay_front import run_relay, send
from tests.virtual_sockets import run_with_virtual_sockets
from wagtailrun.adapters.http_client import HttpClient
from wagtailrun.adapters.http_server import HttpServer, Response
from wagtailrun.adapters.http_target import HttpTargetClient
from wagtailrun.exceptions import TargetFailed
from wagtailrun.ports.link import Address
from wagtailrun.ports.target import Attempt
from wagtailrun.routes import RouteKind
from wagtailrun.stages.port import StageItem
from wagtailrun.targets.table import TargetRow
from wagtailrun.virtual_time import run_virtual

pytestmark = pytest.mark.network

DEADLINE_MS = 400
# A request ends at the latest this long after its deadline. Time in which its thread
# waits for a processor of a busy machine after the deadline does not count: such waits
# took 1.0 to 4.2 s of requests that computed for 0.04 to 0.11 s.
MARGIN_S = 0.5
# Other tasks get a turn at the latest after this time of the processor. What other
# processes of a busy machine take meanwhile does not count.
TURN_S = 0.25
# Time after which a cell fails in any case, without waits for a processor.
GIVE_UP_S = 4.0
POLL_S = 0.01
PIECE_BYTES = 64 * 1024
DRIP_S = 0.01

FIELDS = (
    b"Wagtailrun-Attempt: 7\r\nServer-Seal: seal\r\nContent-Type: text/event-stream\r\n"
)
HEAD = b"HTTP/1.1 200 OK\r\n" + FIELDS
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
EVENT = b'id: 1\ndata: {"offset": 0, "text": "a"}\n\n'


STREAM_HEAD = HEAD + CHUNKED
FIRST_EVENT = STREAM_HEAD + chunked(EVENT)
# By name: what is sent once, and what is sent without end.
PARTS = {
    "lines of a head": (HEAD, b"A: b\r\n"),
    "a line of a head": (HEAD + b"A: ", b"x"),
    "interim heads": (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "body with a length": (HEAD + b"Content-Length: 99999999999\r\n\r\n", b"x" * 99),
    "body without a length": (HEAD + b"\r\n", b"x" * 99),
    "large chunks": (HEAD + CHUNKED, chunked(b"x" * 16_384)),
    "small chunks": (HEAD + CHUNKED, chunked(b"x" * 8)),
    "chunk extension": (HEAD + CHUNKED + b"1;", b"x"),
    "trailers": (HEAD + CHUNKED + b"0\r\n", b"A: b\r\n"),
    "bytes after the body": (HEAD + b"Content-Length: 2\r\n\r\n{}", b"x"),
    "body of an error": (
        b"HTTP/1.1 500 Failure\r\n" + FIELDS + CHUNKED,
        chunked(b"x" * 16_384),
    ),
}
# The same for streams, after their first event.
STREAM_PARTS = {
    "an event in large chunks": (FIRST_EVENT, chunked(b"x" * 16_384)),
    "an event in small chunks": (FIRST_EVENT, chunked(b"x" * 8)),
    "lines of an event": (FIRST_EVENT, chunked(b"x\n" * 4_096)),
    "blank lines": (FIRST_EVENT, chunked(b"\n" * 16_384)),
    "blank lines with CRLF": (FIRST_EVENT, chunked(b"\r\n" * 8_192)),
    "short comments": (FIRST_EVENT, chunked(b":\n\n" * 5_000)),
    "long comments": (FIRST_EVENT, chunked(b": %s\n\n" % (b"x" * 1_000) * 16)),
    "comments before an event": (HEAD + CHUNKED, chunked(b":\n\n")),
    "repeated events": (FIRST_EVENT, chunked(EVENT * 400)),
}


class Flood:
    """Sends the bytes of a cell without a pause, from threads of its own.

    A reader that gives no turns always finds more bytes, as from a real sender.

    Args:
        first: Sent once.
        more: Sent without end.
    """

    run = staticmethod(curio.run)
    make_waits = ProcessorWaits

    def __init__(self, first, more):
        self.first = first
        self.more = more * (PIECE_BYTES // len(more) or 1)
        self.listener = socket.create_server((loopback_host(), 0))
        self.address = Address(*self.listener.getsockname())

    async def start(self):
        """Send to each connection."""
        threading.Thread(target=self.accept, daemon=True).start()

    def close(self):
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    def accept(self):
        with suppress(OSError):
            while True:
                sock, _ = self.listener.accept()
                threading.Thread(target=self.answer, args=(sock,), daemon=True).start()

    def answer(self, sock):
        with suppress(OSError), sock:
            sock.recv(PIECE_BYTES)
            self.send(sock)

    async def call(self, address):
        """Send to a server instead."""
        threading.Thread(target=self.connect, args=(address,), daemon=True).start()

    def connect(self, address):
        with socket.create_connection((address.host, address.port)) as sock:
            threading.Thread(target=drain, args=(sock,), daemon=True).start()
            with suppress(OSError):
                self.send(sock)

    def send(self, sock):
        sock.sendall(self.first)
        while True:
            sock.sendall(self.more)
            time.sleep(0)


def drain(sock):
    with suppress(OSError):
        while sock.recv(PIECE_BYTES):
            pass


class Drips:
    """Sends the bytes of a cell with pauses, under virtual time.

    A reader has to wait for each piece, so that the time that it takes is that of its
    limits, and not that of a busy machine.
    """

    run = staticmethod(run_with_virtual_sockets)
    make_waits = NoWaits

    def __init__(self, first, more):
        self.first = first
        self.more = more
        (self.address,) = free_addresses(1)

    async def start(self):
        """Send to each connection."""
        server = curio.tcp_server(self.address.host, self.address.port, self.answer)
        await curio.spawn(server, daemon=True)
        await curio.sleep(DRIP_S)

    def close(self):
        pass

    async def answer(self, sock, peer):
        await sock.recv(PIECE_BYTES)
        await self.send(sock)

    async def call(self, address):
        """Send to a server instead."""
        sock = await curio.open_connection(address.host, address.port)
        await curio.spawn(self.drain, sock, daemon=True)
        await curio.spawn(self.send, sock, daemon=True)

    async def drain(self, sock):
        with suppress(OSError):
            while await sock.recv(PIECE_BYTES):
                pass

    async def send(self, sock):
        with suppress(OSError):
            await sock.sendall(self.first)
            while True:
                await sock.sendall(self.more)
                await curio.sleep(DRIP_S)


SENDERS = {"flood": Flood, "drips": Drips}


@contextmanager
def sending(pace, first, more):
    sender = SENDERS[pace](first, more)
    try:
        yield sender
    finally:
        sender.close()


class Others:
    """Measures the longest work without a turn for other tasks, in processor time.

    Args:
        waits: Looks at the waits of the thread for a processor at each turn.
    """

    def __init__(self, waits):
        self.waits = waits
        self.longest_s = 0.0

    async def run(self):
        while True:
            before_s = time.thread_time()
            await curio.sleep(POLL_S)
            self.longest_s = max(self.longest_s, time.thread_time() - before_s)
            self.waits.look()


class Reading:
    """Runs a reader, and measures its time without waits for a processor.

    Args:
        read: The reader.
        waits: Waits of the thread for a processor.
        counts_s: Until when waits count, in seconds after the start. A wait before the
            deadline does not move the deadline.
    """

    def __init__(self, read, waits, counts_s):
        self.read = read
        self.waits = waits
        self.counts_s = counts_s
        self.started_s = time.monotonic()
        self.ended_s = None

    async def run(self):
        with suppress(TargetFailed):
            await self.read()
        self.ended_s = time.monotonic()

    def took_s(self):
        """Return the time up to now, or to the end of the reader."""
        ended_s = time.monotonic() if self.ended_s is None else self.ended_s
        held_s = self.waits.held_s(self.started_s + self.counts_s, ended_s)
        return ended_s - self.started_s - held_s

    async def wait(self):
        """Wait for the reader, and give it up after a time."""
        task = await curio.spawn(self.run)
        while not task.terminated and self.took_s() < GIVE_UP_S:
            await curio.sleep(POLL_S)
        if task.terminated:
            await task.join()
        else:
            await task.cancel()


async def measure(read, make_waits=ProcessorWaits, counts_s=DEADLINE_MS / 1_000):
    """Run ``read``; return its duration and the longest time without a turn.

    Args:
        read: The reader.
        make_waits: Returns a new record of the waits of this thread for a processor.
        counts_s: Until when waits are a part of the duration, in seconds after the
            start.
    """
    waits = make_waits()
    others = Others(waits)
    with only_new_objects():
        watch = await curio.spawn(others.run)
        reading = Reading(read, waits, counts_s)
        await reading.wait()
        await watch.cancel()
    return reading.took_s(), others.longest_s


def check(took_s, longest_s):
    # Bytes that are held belong to the tests of memory.
    assert took_s <= DEADLINE_MS / 1_000 + MARGIN_S
    assert longest_s <= TURN_S


ATTEMPT = Attempt(7, "r", "/v1/x", b"{}", remaining_ms=DEADLINE_MS)


async def read_request(address):
    await HttpClient().request(address, "GET", "/", timeout_ms=DEADLINE_MS)


async def read_call(address):
    await HttpTargetClient(HttpClient()).call(address, ATTEMPT)


async def read_stage_call(address):
    row = TargetRow("t", address, "s", "a", 1)
    item = StageItem("r", 0, 0, 1_000, "k", None)
    await PlatformStageClient(HttpClient()).run(row, [item], DEADLINE_MS)


async def read_tokens(address):
    client = HttpTargetClient(HttpClient())
    async with aclosing(client.stream(address, ATTEMPT)) as tokens:
        async for _ in tokens:
            pass


def relayed(kind, **options):
    def run(sender):
        row = TargetRow("t", sender.address, "s", "a", 4, software_version="v1")

        async def client(address, fleet):
            await sender.start()
            return await measure(lambda: send(address), sender.make_waits)

        return run_relay(
            kind,
            [],
            client,
            run=sender.run,
            view={"rows": [row]},
            timeout_ms=DEADLINE_MS,
            aim_ms=DEADLINE_MS // 2,
            **options,
        )

    return run


def direct(read):
    def run(sender):
        async def main():
            await sender.start()
            return await measure(lambda: read(sender.address), sender.make_waits)

        return sender.run(main)

    return run


READERS = {
    "client": direct(read_request),
    "call": direct(read_call),
    "stage call": direct(read_stage_call),
    "relayed order": relayed(RouteKind.ORDER),
    "relayed query": relayed(RouteKind.IDEMPOTENT),
}
STREAM_READERS = {
    "tokens": direct(read_tokens),
    "relayed stream": relayed(RouteKind.STREAM),
    "relayed resumable stream": relayed(RouteKind.STREAM, resumable=True),
}


@pytest.mark.parametrize("pace", SENDERS)
@pytest.mark.parametrize("part", PARTS)
@pytest.mark.parametrize("reader", READERS)
def test_answer_without_end_delays_only_its_request(reader, part, pace):
    """Guards against a target that stops others, or outlasts a deadline, by bytes."""
    with sending(pace, *PARTS[part]) as sender:
        check(*READERS[reader](sender))


@pytest.mark.parametrize("pace", SENDERS)
@pytest.mark.parametrize("part", PARTS | STREAM_PARTS)
@pytest.mark.parametrize("reader", STREAM_READERS)
def test_stream_without_end_delays_only_its_request(reader, part, pace):
    """Guards against a stream that stops others, or outlasts a deadline, by bytes."""
    with sending(pace, *(PARTS | STREAM_PARTS)[part]) as sender:
        check(*STREAM_READERS[reader](sender))


def run_check(read):
    check(*curio.run(measure, read))


LATE_S = DEADLINE_MS / 1_000 + MARGIN_S


def test_reader_that_waits_beyond_its_deadline_fails():
    """Guards against a measure that excuses a reader which waits for more bytes."""
    with pytest.raises(AssertionError):
        run_check(lambda: curio.sleep(LATE_S + 0.1))


def test_reader_that_computes_beyond_its_deadline_fails():
    """Guards against a measure that excuses a reader by what it computes."""

    async def read():
        end_s = time.thread_time() + LATE_S + 0.1
        while time.thread_time() < end_s:
            await curio.sleep(0)

    with pytest.raises(AssertionError):
        run_check(read)


class WaitsAfter(ProcessorWaits):
    """Tells of a thread without a processor for a time after the deadline."""

    began_s = DEADLINE_MS / 1_000
    ended_s = LATE_S + 0.2

    def __init__(self):
        self.started_s = time.monotonic()
        super().__init__()

    def _waited_s(self):
        now_s = time.monotonic() - self.started_s
        return min(max(now_s - self.began_s, 0.0), self.ended_s - self.began_s)


class WaitsBefore(WaitsAfter):
    """Tells of a thread without a processor up to the deadline."""

    began_s = 0.0
    ended_s = DEADLINE_MS / 1_000


def took_s(read, make_waits):
    """Return how long a reader takes under virtual time, without some waits."""

    async def main(clock):
        duration_s, _ = await measure(read, make_waits)
        return duration_s

    return run_virtual(main)


@pytest.mark.parametrize("make_waits", [NoWaits, WaitsBefore, WaitsAfter])
def test_only_waits_for_a_processor_after_the_deadline_do_not_count(make_waits):
    """Guards against a late reader that is excused by what made nothing late.

    A cell failed as its thread had no processor after the deadline.
    """
    late_s = LATE_S + 0.2
    held_s = late_s - DEADLINE_MS / 1_000 if make_waits is WaitsAfter else 0.0
    found_s = took_s(lambda: curio.sleep(late_s), make_waits)
    assert found_s == pytest.approx(late_s - held_s, abs=2 * POLL_S)


@pytest.mark.parametrize("make_waits", [NoWaits, WaitsAfter])
def test_reader_that_never_ends_is_given_up(make_waits):
    """Guards against a cell that has no end, and one that ends before its reader."""
    found_s = took_s(curio.Event().wait, make_waits)
    assert found_s == pytest.approx(GIVE_UP_S, abs=2 * POLL_S)


def test_collections_of_a_suite_are_not_measured():
    """Guards against a turn that is long by a collection of the tests' own objects."""
    held = [[] for _ in range(1_000)]
    seen = []

    async def read():
        made = [[] for _ in range(1_000)]
        looked_at = {id(item) for item in gc.get_objects()}
        for items in (held, made):
            seen.append(sum(id(item) in looked_at for item in items))

    curio.run(measure, read)
    # Collections of what the reader makes do count.
    assert seen == [0, 1_000]
    assert gc.get_freeze_count() == 0


def test_work_without_a_turn_is_measured():
    """Guards against a measure that no longer finds a reader that gives no turns."""

    async def read():
        await curio.sleep(0.05)
        end_s = time.thread_time() + 2 * TURN_S
        while time.thread_time() < end_s:
            gc.collect()
        await curio.sleep(0.05)

    _, longest_s = curio.run(measure, read)
    assert longest_s >= 2 * TURN_S


POST = b"POST / HTTP/1.1\r\nHost: x\r\n"
CALLER_PARTS = {
    "lines of a head": (POST, b"A: b\r\n"),
    "blank lines": (b"", b"\r\n"),
    "body with a length": (POST + b"Content-Length: 99999\r\n\r\n", b"x"),
    "small chunks": (POST + CHUNKED, chunked(b"x")),
    "chunk extension": (POST + CHUNKED + b"1;", b"x"),
    "trailers": (POST + CHUNKED + b"0\r\n", b"A: b\r\n"),
    "requests": (b"", POST + b"Content-Length: 1\r\n\r\nx"),
}


@pytest.mark.parametrize("pace", SENDERS)
@pytest.mark.parametrize("part", CALLER_PARTS)
def test_caller_without_end_delays_no_others(part, pace):
    """Guards against a caller that stops the others by bytes without end."""

    async def handle(request):
        return Response(200, b"ok")

    async def main():
        (address,) = free_addresses(1)
        server = HttpServer(address, handle)
        await curio.spawn(server.serve, daemon=True)
        await curio.sleep(0.05)
        await sender.call(address)

        async def ask():
            await HttpClient().request(address, "GET", "/", timeout_ms=9_000)

        # No deadline ends these requests.
        return [await measure(ask, sender.make_waits, 0.0) for _ in range(20)]

    with sending(pace, *CALLER_PARTS[part]) as sender:
        for took_s, longest_s in sender.run(main):
            check(took_s, longest_s)


class ListSocket(FakeSocket):
    """Returns pieces, each after its pause in seconds; then the last one for ever."""

    def __init__(self, *pieces):
        # Time has to go on in ``fails_beside``.
        super().__init__(b"", pause_s=pieces[-1][0])
        self.pieces = list(pieces)

    async def recv(self, size):
        pause_s, data = self.pieces[0]
        if len(self.pieces) > 1:
            self.pieces.pop(0)
        if pause_s:
            await curio.sleep(pause_s)
        return data


COMMENT = (0.3, chunked(b": busy\n\n"))


def numbered(number, pause_s=0.3):
    return pause_s, chunked(b"id: %d\ndata: a\n\n" % number)


@pytest.mark.parametrize("more", [COMMENT, numbered(1), (0.3, chunked(b"\n\n"))])
def test_keep_alives_are_no_progress(more):
    """Guards against a stream that is never resumed as comments renew its time."""
    sock = ListSocket((0.0, STREAM_HEAD), numbered(1, 0.0), more)

    async def read(clock):
        await relayed_events(sock, clock, repeatable=True, deadline_ms=15_000)([])

    _, took_ms, _ = fails_beside(read, sock)
    # Four gaps of the route, until the next piece.
    assert took_ms <= 4 * 250 + 10


@pytest.mark.parametrize("take_s", [0.0, 3.0])
def test_sound_stream_with_keep_alives_is_not_cut(take_s):
    """Guards against a cut of a slow stream, or of one whose caller is slow."""
    pieces = [(0.0, STREAM_HEAD)]
    for number in range(1, 6):
        pieces += [COMMENT, COMMENT, numbered(number)]
    sock = ListSocket(*pieces, (0.0, b"0\r\n\r\n"))

    async def main(clock):
        found = []
        read = relayed_events(
            sock, clock, repeatable=True, deadline_ms=90_000, take_s=take_s
        )
        await read(found)
        return b"".join(found)

    received = run_virtual(main)
    assert (received.count(b"data: a"), received.count(b": busy")) == (5, 10)
