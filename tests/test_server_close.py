"""Tests of the last moments of a server: what has arrived gets an answer."""

import curio
import pytest

from tests.stopping_entries import StoppingProductEntry, StoppingRelayEntry
from tests.test_http_server import GOOD, echo, with_server
from wagtailrun.adapters.http_server import Response
from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.relay.entry_stop import EXIT_MARGIN_MS

pytestmark = pytest.mark.network

LIMIT_MS = 1_000
# When an entry of these tests refuses its last requests and ends, after its signal.
ENDS_MS = 1_100
RELAYED = GOOD.replace(b"Host", b"Attempt-Id: a\r\nHost")
SERVED = GOOD.replace(b"/x", b"/v1/services/dispatch-desk/stock-level").replace(
    b"Host", b"Wagtailrun-Workspace: stockists\r\nHost"
)
EXPECTING = (
    b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n"
)


async def connect(address, data=b""):
    sock = await curio.open_connection(address.host, address.port)
    await sock.sendall(data)
    return sock


async def read_all(sock):
    received = b""
    while piece := await sock.recv(65_536):
        received += piece
    return received


def streaming_handler(duration_s):
    """Return a handler whose answer at /stream ends ``duration_s`` after its head."""

    async def pieces():
        yield b"x"
        await curio.sleep(duration_s)

    async def handler(request):
        if request.path == "/stream":
            return Response(200, pieces())
        return await echo(request)

    return handler


@pytest.mark.parametrize("draining", [False, True])
def test_request_in_the_queue_of_the_listener_is_answered(draining):
    """Guards against a connection that is reset with its request as a process ends.

    The kernel has accepted it, but no task of the server had a turn since.
    """

    async def client(address, server):
        if draining:
            await server.drain()
        sock = await connect(address, GOOD)
        await server.close(LIMIT_MS)
        return await read_all(sock)

    assert with_server(echo, client).startswith(b"HTTP/1.1 200")


def test_connection_accepted_before_the_end_is_served():
    """Guards against a connection that is closed although its request was sent.

    The server is idle otherwise, but it must not end before the request.
    """

    async def client(address, server):
        sock = await connect(address)
        await server.stop_accepting()
        await curio.sleep(0.05)
        assert server.is_busy
        await sock.sendall(GOOD)
        answer = await read_all(sock)
        assert not server.is_busy
        return answer

    assert with_server(echo, client).startswith(b"HTTP/1.1 200")


def test_closed_server_refuses_connections():
    """Guards against connections that are taken by a process that ends."""

    async def client(address, server):
        await server.close(LIMIT_MS)
        with pytest.raises(ConnectionRefusedError):
            await connect(address)

    with_server(echo, client)


@pytest.mark.parametrize(
    ("data", "answer"),
    [
        (b"", b""),
        (GOOD[:10], b"HTTP/1.1 503"),
        (GOOD[:-1], b"HTTP/1.1 503"),
        (GOOD, b"HTTP/1.1 200"),
        (GOOD.replace(b"POST", b"HEAD"), b"HTTP/1.1 200"),
        (GOOD.replace(b"1.1", b"1.0"), b"HTTP/1.1 200"),
        (EXPECTING, b"HTTP/1.1 100"),
        (GOOD + GOOD[:-1], b"HTTP/1.1 200"),
    ],
)
@pytest.mark.parametrize("pause_s", [0, 0.05])
def test_state_of_a_connection_at_the_close(data, answer, pause_s):
    """Guards against a connection that ends without an answer to what was read."""

    async def client(address, server):
        sock = await connect(address, data)
        await curio.sleep(pause_s)
        await server.close(LIMIT_MS)
        assert not server.active_requests
        return await read_all(sock)

    received = with_server(echo, client)
    assert received.startswith(answer)
    if data == EXPECTING:
        assert b"HTTP/1.1 503" in received
    if data.startswith(GOOD + GOOD[:1]):
        assert b"HTTP/1.1 503" in received


def test_close_waits_for_an_answer_but_not_for_a_stream():
    """Guards against a close that cuts an answer, or waits for an endless stream."""

    async def pieces():
        while True:
            yield b"x"
            await curio.sleep(0.05)

    async def handler(request):
        if request.path == "/stream":
            return Response(200, pieces())
        await curio.sleep(0.2)
        return await echo(request)

    async def client(address, server):
        stream = await connect(address, GOOD.replace(b"/x", b"/stream"))
        sock = await connect(address, GOOD)
        await curio.sleep(0.05)
        async with curio.timeout_after(LIMIT_MS / 2 / MS_PER_SECOND):
            await server.close(LIMIT_MS)
        assert (await stream.recv(65_536)).startswith(b"HTTP/1.1 200")
        return await read_all(sock)

    assert with_server(handler, client).startswith(b"HTTP/1.1 200")


@pytest.mark.parametrize("drain_notice_ms", [0, 300])
@pytest.mark.parametrize(
    ("make", "limit_ms", "request_bytes"),
    [
        (StoppingRelayEntry, ENDS_MS + EXIT_MARGIN_MS, RELAYED),
        (StoppingProductEntry, ENDS_MS, SERVED),
    ],
)
def test_requests_up_to_the_end_of_an_entry_are_answered(
    make, limit_ms, request_bytes, stop_signal, drain_notice_ms
):
    """Guards against requests that the last moments of a process leave unanswered.

    Callers send one after the other on new connections until these are refused.
    """
    entry = make(limit_ms, drain_notice_ms)
    entry.signals.install()
    answers, ended = [], []

    async def call():
        address = entry.caller
        while True:
            try:
                sock = await connect(address, request_bytes)
            except ConnectionRefusedError:
                return
            try:
                answers.append(await read_all(sock))
            except ConnectionResetError:
                answers.append(b"")
            await sock.close()

    async def main():
        async with curio.TaskGroup() as group:
            serving = await curio.spawn(entry.server.serve)
            await curio.sleep(0.1)
            for _ in range(4):
                await group.spawn(call)
            stopping = await curio.spawn(entry.run)
            await curio.sleep(0.2)
            started_ms = entry.clock.now_ms()
            stop_signal()
            await stopping.join()
            ended.append(entry.clock.now_ms() - started_ms)
            # The daemon cancels its tasks at once.
            await serving.cancel()
        return ended

    curio.run(main)
    assert len(answers) > 20
    assert {answer[:12] for answer in answers} == {b"HTTP/1.1 503"}
    assert ended[0] < ENDS_MS + 200
