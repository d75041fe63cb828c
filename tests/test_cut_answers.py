"""Tests of answers that a target cuts off at any byte, up to the caller."""

import socket
import struct

import curio
import pytest
from wagtail_platform.stage_calls import PlatformStageClient

from demo.processes import free_addresses
from tests.test_relay_front import event, run_relay, send
from wagtailrun.adapters.http_client import HttpClient
from wagtailrun.exceptions import TargetFailed
from wagtailrun.routes import RouteKind
from wagtailrun.stages.port import StageItem
from wagtailrun.targets.table import TargetRow

pytestmark = pytest.mark.network

HEAD = b"HTTP/1.1 200 OK\r\nAttempt-Id: abc\r\nServer-Seal: seal\r\n"
PLAIN = b"whole body"
EVENTS = event(1) + event(2)
PIECES = b'{"items": [{"handle": "h-1"}]}'
# SO_LINGER with a time of 0: closing resets the connection.
RESET = struct.pack("ii", 1, 0)


def chunked(body):
    half = len(body) // 2
    parts = (body[:half], body[half:])
    return (
        b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts) + b"0\r\n\r\n"
    )


def framings(body):
    """Return whole answers by their framing."""
    length = b"Content-Length: %d\r\n" % len(body)
    coding = b"Transfer-Encoding: chunked\r\n"
    return {
        "length": HEAD + length + b"\r\n" + body,
        "chunked": HEAD + coding + b"\r\n" + chunked(body),
        "both": HEAD + length + coding + b"\r\n" + chunked(body),
        "same length twice": HEAD + 2 * length + b"\r\n" + body,
        "two lengths": HEAD + length + b"Content-Length: 3\r\n\r\n" + body,
        "negative length": HEAD + b"Content-Length: -3\r\n\r\n" + body,
        "no length": HEAD + b"\r\n" + body,
    }


class CuttingTarget:
    """Writes the bytes that the test sets as its answer, then ends the connection."""

    def __init__(self):
        (self.address,) = free_addresses(1)
        self.answer = b""
        self.resets = False

    async def run(self):
        await curio.tcp_server(self.address.host, self.address.port, self.serve)

    async def serve(self, sock, peer):
        received = b""
        while b"\r\n\r\n" not in received:
            data = await sock.recv(65_536)
            if not data:
                return
            received += data
        await sock.sendall(self.answer)
        if self.resets:
            await curio.sleep(0.002)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        else:
            # Unread bytes would reset the connection.
            await curio.ignore_after(0.002, sock.recv, 65_536)


def is_whole(framing, body, cut, whole, resets):
    """Return whether nothing tells a cut answer from a whole one."""
    if framing != "no length":
        return cut == len(whole)
    received = cut - (len(whole) - len(body))
    if resets or received < 0:
        return False
    # The end of a stream without a length shows only within an event.
    return body is not EVENTS or received in (0, len(event(1)), len(EVENTS))


async def wrong_outcomes(target, framing, body, resets, request):
    """Return the cuts after which the caller got what it should not."""
    whole = framings(body)[framing]
    target.resets = resets
    wrong = []
    for cut in range(len(whole) + 1):
        target.answer = whole[:cut]
        try:
            received = await request()
        except TargetFailed:
            received = None
        if received is not None and not is_whole(framing, body, cut, whole, resets):
            wrong.append((cut, whole[:cut][-20:], received))
    return wrong


FRAMINGS = tuple(framings(PLAIN))


@pytest.mark.parametrize("resets", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("kind", [RouteKind.ORDER, RouteKind.STREAM])
def test_cut_answer_never_reaches_the_caller_as_a_success(kind, framing, resets):
    """Guards against a 200 with an empty or short body that is framed as whole."""
    body = EVENTS if kind is RouteKind.STREAM else PLAIN

    async def client(address, fleet):
        target = CuttingTarget()
        await curio.spawn(target.run, daemon=True)
        fleet.rows.append(TargetRow("t0", target.address, "s", "a", 4))
        await curio.sleep(0.05)

        async def request():
            reply = await send(address)
            return reply.body if reply.status == 200 else None

        wrong = await wrong_outcomes(target, framing, body, resets, request)
        target.resets, target.answer = False, framings(body)["length"]
        return wrong, await request()

    assert run_relay(kind, [], client, max_attempts=1) == ([], body)


@pytest.mark.parametrize("resets", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("framing", FRAMINGS)
def test_cut_answer_of_a_stage_brings_no_result(framing, resets):
    """Guards against a piece that counts as done after a cut answer."""

    async def main():
        target = CuttingTarget()
        await curio.spawn(target.run, daemon=True)
        await curio.sleep(0.05)
        row = TargetRow("i-1", target.address, "board", "a", 4)
        client = PlatformStageClient(HttpClient())
        items = [StageItem("r", 0, 0, 1_000, "k", None)]

        async def request():
            return await client.run(row, items, 1_000)

        return await wrong_outcomes(target, framing, PIECES, resets, request)

    wrong = curio.run(main)
    # JSON shows its end itself.
    assert [cut for cut, tail, _ in wrong if not tail.endswith(b"}")] == []
    assert wrong == []


def test_cut_stream_is_reset_towards_a_caller_without_chunks():
    """Guards against a cut stream that an HTTP/1.0 caller takes for a whole one.

    Its answer ends with the connection, so that only a reset tells the difference.
    """

    async def receive(address):
        request = (
            b"POST /a/x HTTP/1.0\r\nHost: h\r\nAttempt-Id: abc\r\n"
            b"Deadline-Remaining: 2000\r\nContent-Length: 2\r\n\r\n{}"
        )
        sock = await curio.open_connection(address.host, address.port)
        received = b""
        async with sock:
            await sock.sendall(request)
            try:
                while data := await sock.recv(65_536):
                    received += data
            except ConnectionResetError:
                return received, "reset"
        return received, "closed"

    async def client(address, fleet):
        target = CuttingTarget()
        await curio.spawn(target.run, daemon=True)
        fleet.rows.append(TargetRow("t0", target.address, "s", "a", 4))
        await curio.sleep(0.05)
        whole = framings(EVENTS)["length"]
        ends = []
        for answer in (whole, whole[:-5]):
            target.answer = answer
            received, end = await receive(address)
            ends.append((b"200" in received[:20], event(1) in received, end))
        return ends

    ends = run_relay(RouteKind.STREAM, [], client, max_attempts=1)
    assert ends == [(True, True, "closed"), (True, True, "reset")]
