"""Tests of the budget for bytes held, and of floods that it has to stand."""

import json
import subprocess
import sys
import threading
from functools import partial

import curio
import pytest
from hypothesis import given
from hypothesis import strategies as st
from wagtail_platform.stage_calls import PlatformStageClient

from demo.processes import free_addresses
from tests import test_floods
from tests.test_floods import HEAD, FakeSocket, chunked, connection, relayed_events
from wagtailrun.adapters import tcp_link
from wagtailrun.adapters.http_client import (
    MAX_FAILURE_BYTES,
    MAX_REPLY_BYTES,
    DirectConnector,
    HttpClient,
    HttpStream,
)
from wagtailrun.adapters.http_connection import HttpConnection
from wagtailrun.adapters.http_server import HttpServer, Response, ServerLimits
from wagtailrun.adapters.http_target import HttpTargetClient
from wagtailrun.exceptions import TargetFailed, Verdict
from wagtailrun.logs import events
from wagtailrun.logs.events import EVENT_LOG
from wagtailrun.ports.target import Attempt
from wagtailrun.process.memory_budget import (
    BYTES_PER_MB,
    DEFAULT_MEMORY_MB,
    FIELD_BYTES,
    LARGE_PART,
    MIN_BUDGET_BYTES,
    SMALL_BYTES,
    Kind,
    MemoryBudget,
)
from wagtailrun.relay.control import MAX_TEXT_BYTES
from wagtailrun.stages.port import StageItem
from wagtailrun.targets.table import TargetRow
from wagtailrun.virtual_time import run_virtual

# Memory of the smallest VM that the platform names.
VM_MEMORY_MB = 300
# Its budget is the least one, so that few floods use it up.
SMALL_MEMORY_MB = 1
FLOODS = 24
SOUND_REQUESTS = 60
SOUND_BYTES = 20_000
TIMEOUT_MS = 20_000
OK = b"HTTP/1.1 200 OK\r\n"


class PeakBudget(MemoryBudget):
    """Budget that remembers the largest sum of bytes held."""

    def __init__(self, memory_mb=SMALL_MEMORY_MB):
        self.peak_bytes = 0
        super().__init__(memory_mb)

    def change(self, kind, difference):
        super().change(kind, difference)
        self.peak_bytes = max(self.peak_bytes, self.held_bytes)


def grow(holding, step, limit):
    """Let a holding grow until it is refused or has ``limit`` bytes."""
    while holding.held_bytes + step <= limit and holding.add(step):
        pass
    return holding.held_bytes


def test_largest_answer_fits_alone():
    """Guards against a budget that refuses a sound answer of the largest size."""
    budget = MemoryBudget(VM_MEMORY_MB)
    assert grow(budget.hold(Kind.ANSWERS), 65_536, MAX_REPLY_BYTES) == MAX_REPLY_BYTES
    # Control members have to accept a fleet configuration also on a small VM.
    budget = MemoryBudget(SMALL_MEMORY_MB)
    assert grow(budget.hold(Kind.REQUESTS), 65_536, MAX_TEXT_BYTES) == MAX_TEXT_BYTES
    held = budget.hold(Kind.FAILURES)
    assert grow(held, 65_536, MAX_FAILURE_BYTES) == MAX_FAILURE_BYTES


@pytest.mark.parametrize("kind", [Kind.ANSWERS, Kind.FAILURES, Kind.REQUESTS])
def test_floods_leave_room_for_small_answers(kind):
    """Guards against floods that starve the many small sound answers."""
    budget = MemoryBudget(VM_MEMORY_MB)
    floods = [budget.hold(kind) for _ in range(200)]
    for _ in range(400):
        for flood in floods:
            flood.add(65_536)
    assert budget.held_bytes <= budget.limit_bytes * LARGE_PART + 200 * SMALL_BYTES
    small = [budget.hold(Kind.ANSWERS) for _ in range(90)]
    assert all(held.add(SMALL_BYTES) for held in small)


def test_large_holding_gives_way_when_others_come():
    """Guards against a first flood that keeps the budget from all later answers."""
    budget = MemoryBudget(VM_MEMORY_MB)
    first = budget.hold(Kind.ANSWERS)
    grow(first, 65_536, MAX_REPLY_BYTES)
    others = [budget.hold(Kind.ANSWERS) for _ in range(4)]
    for held in others:
        assert held.add(7 * BYTES_PER_MB)
    assert not first.add(1)


@pytest.mark.parametrize("kind", [Kind.REQUESTS, Kind.FAILURES, Kind.SKIPPED])
def test_kinds_that_give_way_leave_room_for_answers(kind):
    """Guards against callers' bodies, or failures, in the place of sound answers."""
    budget = MemoryBudget(VM_MEMORY_MB)
    for _ in range(5_000):
        budget.hold(kind).add(SMALL_BYTES)
    assert grow(budget.hold(Kind.ANSWERS), 65_536, 8 * BYTES_PER_MB) > BYTES_PER_MB


@given(
    st.lists(
        st.tuples(
            st.integers(0, 9), st.integers(0, 3_000_000), st.sampled_from(list(Kind))
        ),
        max_size=200,
    )
)
def test_sum_is_exact_and_within_the_limit(steps):
    """Guards against bytes that are counted twice, or never released."""
    budget = MemoryBudget(SMALL_MEMORY_MB)
    holdings = {}
    for number, size, kind in steps:
        held = holdings.setdefault(number, budget.hold(kind))
        if not held.add(size):
            held.release()
        total = sum(each.held_bytes for each in holdings.values())
        assert budget.held_bytes == total <= budget.limit_bytes
        assert sum(budget.held_by_kind.values()) == total
    for held in holdings.values():
        held.release()
    assert not any(budget.held_by_kind.values())


def test_refusals_are_logged_with_the_holders():
    """Guards against a refusal that no one can explain."""
    budget = MemoryBudget(SMALL_MEMORY_MB)
    number = events.MEMORY_REFUSED.number
    before = EVENT_LOG.counts_by_number.get(number, 0)
    with budget.hold(Kind.ANSWERS) as held:
        assert not held.add(MIN_BUDGET_BYTES)
        assert "no memory for more than 0 bytes" in held.refusal_detail
    assert EVENT_LOG.counts_by_number[number] == before + 1
    assert budget.refusals_by_kind == {Kind.ANSWERS: 1}


def test_incomplete_events_share_the_budget(monkeypatch):
    """Guards against many streams that each hold an event without end."""
    budget = PeakBudget()
    opened_by_sock = {}
    reasons = []

    def open_connection(sock, clock):
        opened_by_sock[sock] = HttpConnection(sock, clock, memory=budget)
        return opened_by_sock[sock]

    async def read(clock):
        sock = FakeSocket(chunked(bytes(60_000)), HEAD, pause_s=0.001)
        task = relayed_events(sock, clock, repeatable=True, deadline_ms=60_000)
        with pytest.raises(TargetFailed) as failure:
            await task([])
        opened_by_sock[sock].release_memory()
        reasons.append(str(failure.value))

    async def main(clock):
        async with curio.TaskGroup() as group:
            for _ in range(40):
                await group.spawn(read, clock)

    monkeypatch.setattr(test_floods, "HttpConnection", open_connection)
    run_virtual(main)
    assert len(reasons) == 40
    assert budget.peak_bytes <= budget.limit_bytes
    assert any("no memory" in reason for reason in reasons)
    assert budget.held_bytes == 0


@pytest.mark.parametrize(("fields", "reason"), [(40, ""), (6_000, "exceeds 16384")])
def test_head_received_in_one_piece_is_limited(fields, reason):
    """Guards against heads of thousands of fields, each with objects of its own."""
    sock = FakeSocket(OK + b"Abc: d\r\n" * fields + b"Content-Length: 0\r\n\r\n")

    async def main(clock):
        opened = connection(sock, clock)
        held = []
        try:
            await opened.read_head(1_000)
        except TargetFailed as error:
            return str(error)
        finally:
            held.append(sum(each.held_bytes for each in opened.holdings))
            opened.release_memory()
        assert held[0] >= fields * FIELD_BYTES
        return ""

    assert reason in run_virtual(main)


def test_peer_frames_are_counted():
    """Guards against frames of peers that nobody counts."""
    sock = FakeSocket(bytes(65_536), tcp_link.LENGTH.pack(BYTES_PER_MB))
    peaks = []

    async def main(clock):
        budget = PeakBudget()
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(tcp_link, "PROCESS_MEMORY", budget)
            await tcp_link._FrameSocket(sock).read_frame()
        peaks.append((budget.peak_bytes, budget.held_bytes))

    run_virtual(main)
    assert peaks == [(BYTES_PER_MB, 0)]


# Loopback: many floods beside sound requests

FAILED = b"HTTP/1.1 500 Internal Server Error\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
# What a faulty target sends first, and then without end.
TARGET_PARTS = {
    "answer": (OK + CHUNKED, chunked(bytes(16_384))),
    "answer without length": (OK + b"\r\n", bytes(65_536)),
    "answer in small chunks": (OK + CHUNKED, chunked(bytes(1_024)) * 50),
    "failure": (FAILED + CHUNKED, chunked(bytes(16_384))),
    "head": (OK, b"A: b\r\n" * 10_000),
    "interim heads": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 2_000),
    "trailers": (OK + CHUNKED + b"0\r\n", b"A: b\r\n" * 10_000),
}


class PatientConnector(DirectConnector):
    """Connects without the usual limit of 1 s, which a busy test machine may exceed.

    The floods and their senders share the process of the test.
    """

    async def connect(self, address, timeout_ms):
        return await super().connect(address, TIMEOUT_MS)


class Targets:
    """A sound and a faulty target at one address, by the path of the request."""

    def __init__(self, first, flood):
        self.first = first
        self.flood = flood

    async def serve(self, sock, peer):
        try:
            while data := await sock.recv(65_536):
                if b"/sound" not in data.split(b"\r\n")[0]:
                    break
                body = b"s" * SOUND_BYTES
                head = OK + b"Content-Length: %d\r\n\r\n" % len(body)
                await sock.sendall(head + body)
            await sock.sendall(self.first)
            while data:
                await sock.sendall(self.flood)
        except OSError:
            return


async def start_targets(part):
    (address,) = free_addresses(1)
    targets = Targets(*TARGET_PARTS[part])
    await curio.spawn(
        curio.tcp_server, address.host, address.port, targets.serve, daemon=True
    )
    await curio.sleep(0.05)
    return address


async def request_target(http, address):
    await http.request(address, "GET", "/flood", timeout_ms=TIMEOUT_MS)


async def call_stage(http, address):
    row = TargetRow("t", address, "s", "a", 1)
    items = [StageItem("r", 0, 0, 1_000, "k", None)]
    await PlatformStageClient(http).run(row, items, TIMEOUT_MS)


async def call_product_target(http, address):
    attempt = Attempt(7, "r", "/flood", b"", TIMEOUT_MS)
    await HttpTargetClient(http).call(address, attempt)


CLIENTS = {
    "relay": request_target,
    "stages": call_stage,
    "product": call_product_target,
}


@pytest.mark.network
@pytest.mark.parametrize("client", CLIENTS)
@pytest.mark.parametrize("part", TARGET_PARTS)
def test_targets_that_send_without_end(part, client):
    """Guards against bytes without end that take the memory of other requests."""
    budget = PeakBudget()
    reasons = []

    async def main():
        address = await start_targets(part)
        http = HttpClient(connector=PatientConnector(), memory=budget)

        async def flood():
            with pytest.raises(TargetFailed) as failure:
                await CLIENTS[client](http, address)
            assert failure.value.verdict == Verdict.MAY_HAVE_RUN
            reasons.append(str(failure.value))

        async with curio.TaskGroup() as group:
            for _ in range(FLOODS):
                await group.spawn(flood)
            for _ in range(SOUND_REQUESTS):
                await curio.sleep(0.005)
                reply = await http.request(
                    address, "GET", "/sound", timeout_ms=TIMEOUT_MS
                )
                assert len(reply.body) == SOUND_BYTES

    curio.run(main)
    assert len(reasons) == FLOODS
    assert budget.peak_bytes <= budget.limit_bytes
    assert budget.held_bytes == 0
    if part.startswith("answer"):
        assert any("no memory for more than" in reason for reason in reasons)
    if part == "failure":
        assert all("exceeds" in each or "no memory" in each for each in reasons)


def test_failure_up_to_its_limit_passes():
    """Guards against a limit that cuts what a caller needs to know of a failure."""
    body = b"f" * MAX_FAILURE_BYTES
    head = FAILED + b"Content-Length: %d\r\n\r\n" % len(body)
    data = head + body

    class Pieces:
        def __init__(self):
            self.start = 0

        async def recv(self, size):
            self.start += size
            return data[self.start - size : self.start]

    async def main(clock):
        opened = connection(Pieces(), clock)
        stream = HttpStream(opened, await opened.read_head(1_000))
        found = await stream.read_all(1_000)
        opened.release_memory()
        return found

    assert run_virtual(main) == body


@pytest.mark.network
def test_cancelled_request_releases_its_bytes():
    """Guards against bytes that count for ever after a caller has gone."""
    budget = PeakBudget()

    async def main():
        (address,) = free_addresses(1)

        async def serve(sock, peer):
            await sock.recv(65_536)
            await sock.sendall(OK + CHUNKED + chunked(bytes(500_000)))
            await curio.sleep(60)

        await curio.spawn(
            curio.tcp_server, address.host, address.port, serve, daemon=True
        )
        await curio.sleep(0.05)
        task = await curio.spawn(request_target, HttpClient(memory=budget), address)
        while budget.held_bytes < 500_000:
            await curio.sleep(0.01)
        await task.cancel()

    curio.run(main)
    assert budget.held_bytes == 0


POST = b"POST / HTTP/1.1\r\nHost: x\r\n"
# What a faulty caller sends first, and then without end.
CALLER_PARTS = {
    "body": (POST + CHUNKED, chunked(bytes(16_384))),
    "announced body": (POST + b"Content-Length: 15000000\r\n\r\n", bytes(65_536)),
    "small chunks": (POST + CHUNKED, chunked(bytes(256)) * 200),
    "head": (POST, b"A: b\r\n" * 100),
    "further requests": (POST + b"Content-Length: 0\r\n\r\n", bytes(65_536)),
}


@pytest.mark.network
@pytest.mark.parametrize("part", CALLER_PARTS)
def test_callers_that_send_without_end(part):
    """Guards against callers whose bytes take the memory of other requests."""
    budget = PeakBudget()
    first, flood = CALLER_PARTS[part]
    answers = []

    async def handler(request):
        return Response(200, b"s" * SOUND_BYTES)

    async def send(address):
        sock = await curio.open_connection(address.host, address.port)

        async def write():
            await sock.sendall(first)
            while True:
                await sock.sendall(flood)

        writer = await curio.spawn(write)
        received = b""
        try:
            while data := await sock.recv(65_536):
                received += data
        except OSError:
            pass
        await writer.cancel()
        await sock.close()
        answers.append(received)

    async def main():
        (address,) = free_addresses(1)
        limits = ServerLimits(100_000_000, 16_000_000, 20_000, 20_000)
        server = HttpServer(address, handler, limits=lambda: limits, memory=budget)
        await curio.spawn(server.serve, daemon=True)
        await curio.sleep(0.05)
        async with curio.TaskGroup() as group:
            for _ in range(FLOODS):
                await group.spawn(send, address)
            http = HttpClient(connector=PatientConnector(), memory=MemoryBudget())
            for _ in range(SOUND_REQUESTS):
                await curio.sleep(0.005)
                reply = await http.request(address, "GET", "/", timeout_ms=TIMEOUT_MS)
                assert (reply.status, len(reply.body)) == (200, SOUND_BYTES)
        while server.open_connections > 1:
            await curio.sleep(0.01)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr("wagtailrun.adapters.server_connection.DISCARD_TIMEOUT_MS", 200)
        curio.run(main)
    assert budget.peak_bytes <= budget.limit_bytes
    assert budget.held_bytes == 0
    if part == "further requests":
        return
    refused = [answer for answer in answers if b" 503 " in answer[:20]]
    assert refused
    for answer in refused:
        head, _, body = answer.partition(b"\r\n\r\n")
        assert b"retry-after: 1" in head.lower()
        problem = json.loads(body)
        assert (problem["reason"], problem["verdict"]) == ("overloaded", "not-run")
        assert "no memory for more than" in problem["detail"]


CHILD = """
import sys
import curio
from wagtailrun.adapters.http_client import HttpClient
from wagtailrun.exceptions import TargetFailed
from wagtailrun.ports.link import Address
from wagtailrun.process.memory_budget import PROCESS_MEMORY

address, floods, memory_mb = Address.parse(sys.argv[1]), int(sys.argv[2]), sys.argv[3]
rounds = int(sys.argv[4])
PROCESS_MEMORY.set_memory(float(memory_mb))

async def flood(http):
    try:
        await http.request(address, "GET", "/flood", timeout_ms=20_000)
    except TargetFailed:
        pass

async def main():
    http = HttpClient()
    async with curio.TaskGroup() as group:
        for _ in range(floods):
            await group.spawn(flood, http)

def memory_kb(name):
    with open("/proc/self/status") as status:
        return next(int(row.split()[1]) for row in status if row.startswith(name))

before_kb = memory_kb("VmRSS:")
for _ in range(rounds):
    curio.run(main)
print(memory_kb("VmHWM:") - before_kb)
"""


def resident_bytes(part, floods, memory_mb, rounds):
    """Return by how much floods enlarge a process at most, in rounds of several."""
    ready = threading.Event()
    stopped = curio.UniversalEvent()
    found = []

    async def main():
        found.append(await start_targets(part))
        ready.set()
        await stopped.wait()

    thread = threading.Thread(target=partial(curio.run, main))
    thread.start()
    assert ready.wait(10)
    try:
        arguments = [str(found[0]), str(floods), str(memory_mb), str(rounds)]
        command = [sys.executable, "-c", CHILD, *arguments]
        child = subprocess.run(command, capture_output=True, text=True, timeout=120)
    finally:
        stopped.set()
        thread.join(30)
    assert not child.returncode, child.stderr
    return int(child.stdout) * 1024


@pytest.mark.network
@pytest.mark.parametrize("part", ["answer", "answer in small chunks", "failure"])
def test_resident_memory_stays_below_that_of_the_machine(part):
    """Guards against bytes that are held but not counted.

    A process that uses more than its machine has is killed, and with it the requests
    of all its callers.
    """
    # Twice the budget: each byte may exist twice for a moment.
    assert resident_bytes(part, 64, 100, 1) <= 2 * MemoryBudget(100).limit_bytes


@pytest.mark.network
@pytest.mark.parametrize("part", ["answer", "answer in small chunks"])
def test_floods_after_floods_take_no_more_memory(part):
    """Guards against gaps between buffers that grow, which the allocator keeps."""
    limit_bytes = MemoryBudget(DEFAULT_MEMORY_MB).limit_bytes
    assert resident_bytes(part, 64, DEFAULT_MEMORY_MB, 6) <= 1.25 * limit_bytes
