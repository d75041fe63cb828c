"""Tests of targets that answer long requests before they have read them."""

import socket
import struct
import threading
import time

import curio
import pytest

from demo.processes import free_addresses
from tests.test_relay_front import event, run_relay, send
from wagtailrun.adapters.http_client import HttpClient
from wagtailrun.adapters.http_target import HttpTargetClient
from wagtailrun.exceptions import TargetFailed, Verdict
from wagtailrun.ports.link import Address
from wagtailrun.ports.target import Attempt
from wagtailrun.routes import RouteKind
from wagtailrun.targets.table import TargetRow

pytestmark = pytest.mark.network

# More than the socket buffers of both sides take.
LARGE = b"x" * (24 * 1024 * 1024)
# SO_LINGER with a time of 0: closing resets the connection.
RESET = struct.pack("ii", 1, 0)
FIELDS = b"Attempt-Id: abc\r\nServer-Seal: seal\r\nWagtailrun-Attempt: 7\r\n"
NOT_RUN = b"Not-Executed: 1\r\nWagtailrun-Verdict: not-run\r\n"
HEAD = b"HTTP/1.1 200 OK\r\n" + FIELDS
REFUSED = b"HTTP/1.1 503 Busy\r\n" + FIELDS + NOT_RUN
LENGTH = b"Content-Length: 4\r\n\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
CHUNKS = b"2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n"
WHOLE = {"length": LENGTH + b"body", "chunked": CHUNKED + CHUNKS}
CUT = {
    "no length": b"\r\nbo",
    "no length, an event": b"\r\n" + event(1),
    "length": LENGTH + b"bo",
    "chunked": CHUNKED + CHUNKS[:-5],
    "head": b"Content-Le",
}
# What a target does once it has answered; it reads no further unless it says so.
ENDS = ["closes", "resets", "half-closes", "holds"]


class EarlyTarget:
    """Answers each request when its head has arrived.

    Args:
        answer: Bytes of its answer.
        end: What it does then, one of ``ENDS``, or "reads on" after a moment.
        more: Bytes that it sends when a request was read to its end.
        pause_s: Time between its answer and the end.
    """

    def __init__(self, answer, end, more=b"", pause_s=0.05):
        (self.address,) = free_addresses(1)
        self.answer = answer
        self.end = end
        self.more = more
        self.pause_s = pause_s
        # What was received on each connection.
        self.received = []

    async def start(self):
        await curio.spawn(
            curio.tcp_server,
            self.address.host,
            self.address.port,
            self.serve,
            daemon=True,
        )
        await curio.sleep(0.05)
        return self.address

    async def serve(self, sock, peer):
        received = bytearray()
        self.received.append(received)
        while b"\r\n\r\n" not in received:
            received += await sock.recv(1_000)
        await sock.sendall(self.answer)
        if self.pause_s:
            # The client has read the answer and writes.
            await curio.sleep(self.pause_s)
        if self.end == "resets":
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        elif self.end == "half-closes":
            await sock.shutdown(socket.SHUT_WR)
        if self.end in ("holds", "half-closes"):
            await curio.sleep(3)
        elif self.end == "reads on":
            head, _, _ = bytes(received).partition(b"\r\n\r\n")
            due = len(head) + 4 + len(LARGE)
            await curio.sleep(0.2)
            while piece := await sock.recv(65_536):
                received += piece
                if len(received) == due:
                    await sock.sendall(self.more)


def run_early(target, use):
    """Return the result of ``use(address)`` and its duration in seconds."""

    async def main():
        address = await target.start()
        started = time.monotonic()
        async with curio.timeout_after(20):
            result = await use(address)
        return result, time.monotonic() - started

    return curio.run(main)


async def upload(address, http=None, body=LARGE):
    """Return status, body and the number of connections kept, or the failure."""
    http = http or HttpClient()
    try:
        reply = await http.request(address, "POST", "/", (), body, timeout_ms=2_000)
    except TargetFailed as error:
        return error.verdict
    return reply.status, reply.body, len(http.pool)


@pytest.mark.parametrize("pause_s", [0.05, 0])
@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("framing", WHOLE)
@pytest.mark.parametrize(
    ("head", "status"), [(REFUSED, 503), (HEAD, 200)], ids=["refusal", "success"]
)
def test_whole_early_answer_arrives_at_once(head, status, framing, end, pause_s):
    """Guards against a refusal that is lost, or late, as its request is still sent.

    The connection must not carry another request: the target may read on.
    """
    target = EarlyTarget(head + WHOLE[framing], end, pause_s=pause_s)
    result, took_s = run_early(target, upload)
    assert result == (status, b"body", 0)
    assert took_s < 1


@pytest.mark.parametrize("pause_s", [0.05, 0])
@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("framing", CUT)
@pytest.mark.parametrize("head", [REFUSED, HEAD], ids=["refusal", "success"])
def test_part_of_an_early_answer_is_no_answer(head, framing, end, pause_s):
    """Guards against a part of an answer that is taken for a whole one."""
    target = EarlyTarget(head + CUT[framing], end, pause_s=pause_s)
    result, _ = run_early(target, upload)
    assert result is Verdict.MAY_HAVE_RUN


@pytest.mark.parametrize(
    ("head", "status"), [(REFUSED, 503), (HEAD, 200)], ids=["refusal", "success"]
)
def test_target_that_reads_on_gets_no_other_bytes(head, status):
    """Guards against a request that is read as the rest of an earlier one's body."""
    target = EarlyTarget(head + WHOLE["length"], "reads on")

    async def use(address):
        http = HttpClient()
        results = [await upload(address, http) for _ in range(2)]
        await curio.sleep(0.5)
        return results

    results, _ = run_early(target, use)
    assert results == [(status, b"body", 0)] * 2
    assert len(target.received) == 2
    for received in target.received:
        head, _, body = bytes(received).partition(b"\r\n\r\n")
        assert head.startswith(b"POST / HTTP/1.1\r\n")
        assert body == LARGE[: len(body)]
        assert len(body) < len(LARGE)


@pytest.mark.parametrize(
    ("answer", "more"),
    [
        (b"HTTP/1.1 100 Continue\r\n\r\n", HEAD + WHOLE["length"]),
        (b"HTTP/1.1 100 Continue\r\n\r\n" + HEAD[:30], HEAD[30:] + WHOLE["length"]),
        (HEAD + CHUNKED + CHUNKS[:7], CHUNKS[7:]),
    ],
    ids=["interim", "part of a head", "part of a body"],
)
def test_request_is_sent_to_its_end_before_the_rest_of_the_answer(answer, more):
    """Guards against an upload that ends with the first bytes of a success."""
    target = EarlyTarget(answer, "reads on", more)
    result, _ = run_early(target, upload)
    assert result == (200, b"body", 1)
    (received,) = target.received
    assert received.endswith(b"\r\n\r\n" + LARGE)


@pytest.mark.parametrize(
    ("data", "result"),
    [
        (REFUSED + WHOLE["length"], (503, b"body", 0)),
        (HEAD + CUT["no length"], Verdict.MAY_HAVE_RUN),
        (b"", Verdict.MAY_HAVE_RUN),
    ],
    ids=["refusal", "part", "nothing"],
)
def test_answer_that_comes_before_a_short_request(data, result):
    """Guards against a refusal that is lost as the connection was reset before."""
    listener = socket.create_server(("127.0.0.1", 0))

    def answer_and_reset():
        sock, _ = listener.accept()
        sock.sendall(data)
        time.sleep(0.02)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        sock.close()

    def wait_for_reset():
        thread.join()
        time.sleep(0.02)
        return True

    async def main():
        http = HttpClient()
        address = Address(*listener.getsockname())
        try:
            async with http.open(
                address, "POST", "/", timeout_ms=1_000, may_send=wait_for_reset
            ) as stream:
                body = await stream.read_all(1_000)
        except TargetFailed as error:
            return error.verdict
        return stream.status, body, len(http.pool)

    thread = threading.Thread(target=answer_and_reset)
    thread.start()
    with listener:
        assert curio.run(main) == result


def test_interim_heads_during_an_upload_are_limited():
    """Guards against a target that keeps an upload waiting by interim heads."""
    target = EarlyTarget(b"HTTP/1.1 102 Processing\r\n\r\n" * 50, "holds")
    result, took_s = run_early(target, upload)
    assert result is Verdict.MAY_HAVE_RUN
    assert took_s < 1


@pytest.mark.parametrize("end", ENDS)
def test_early_refusal_of_a_stage_says_that_nothing_ran(end):
    """Guards against a call that is not made elsewhere though it has not run."""
    attempt = Attempt(7, "r", "/v1/x", LARGE, remaining_ms=2_000)

    async def use(address):
        try:
            return await HttpTargetClient(HttpClient()).call(address, attempt)
        except TargetFailed as error:
            return error.verdict

    target = EarlyTarget(REFUSED + WHOLE["length"], end)
    assert run_early(target, use)[0] is Verdict.NOT_RUN


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("kind", RouteKind)
def test_caller_learns_that_a_refused_upload_has_not_run(kind, end):
    """Guards against "may have run" for a request that its target has refused."""

    async def client(address, fleet):
        target = EarlyTarget(REFUSED + WHOLE["length"], end)
        row = TargetRow("t0", await target.start(), "s", "a", 4)
        fleet.rows.append(row)
        started = time.monotonic()
        reply = await send(address, body=LARGE)
        return reply.status, b"not-run" in reply.body, time.monotonic() - started < 1

    answer = run_relay(
        kind, [], client, max_attempts=1, body_bytes=len(LARGE), timeout_ms=2_000
    )
    assert answer == (503, True, True)


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("framing", CUT)
@pytest.mark.parametrize("kind", RouteKind)
def test_part_of_an_early_answer_does_not_reach_the_caller_as_whole(kind, framing, end):
    """Guards against a 200 that was cut while the request was being written."""

    async def client(address, fleet):
        target = EarlyTarget(HEAD + CUT[framing], end)
        fleet.rows.append(TargetRow("t0", await target.start(), "s", "a", 4))
        try:
            reply = await send(address, body=LARGE)
        except TargetFailed:
            return None
        return reply.status

    status = run_relay(kind, [], client, max_attempts=1, body_bytes=len(LARGE))
    # The head of a stream is passed on with its first event.
    assert status != 200
