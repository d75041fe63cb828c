"""Tests of the HTTP server and client against each other and against bad input."""

import json
from contextlib import suppress

import curio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from demo.processes import free_addresses
from wagtailrun.adapters import http_server
from wagtailrun.adapters.http_client import HttpClient
from wagtailrun.adapters.http_server import HttpServer, Response, json_response
from wagtailrun.exceptions import ConnectFailed, RefusalReason, TargetFailed, Verdict

TIMEOUT_MS = 5_000
GOOD = b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}"


async def echo(request):
    return json_response(200, {"path": request.path, "size": len(request.body)})


def with_server(handler, client, **options):
    """Run ``client(address, server)`` against a server and return its result."""

    async def main():
        (address,) = free_addresses(1)
        server = HttpServer(address, handler, **options)
        task = await curio.spawn(server.serve)
        while True:
            try:
                sock = await curio.open_connection(address.host, address.port)
                break
            except OSError:
                await curio.sleep(0.01)
        await sock.close()
        try:
            async with curio.timeout_after(30):
                return await client(address, server)
        finally:
            await task.cancel()

    return curio.run(main)


async def exchange_bytes(address, data):
    """Send raw bytes, close the sending side, and return all that comes back."""
    sock = await curio.open_connection(address.host, address.port)
    await sock.sendall(data)
    await sock.shutdown(1)
    received = b""
    try:
        while piece := await sock.recv(65_536):
            received += piece
    except ConnectionResetError:
        pass
    await sock.close()
    return received


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"\x00\x01 nonsense\r\n\r\n", 400),
        (b"POST /x HTTP/1.1\r\n\r\n", 400),
        (b"POST /x HTTP/1.1\r\nHost: a\r\nX: " + b"y" * 20_000 + b"\r\n\r\n", 431),
        (b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 90\r\n\r\n" + b"z" * 90, 413),
        (b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n", 400),
        (
            b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
            400,
        ),
    ],
)
def test_bad_request_is_refused_as_not_run(data, status):
    """Guards against bad input that is dropped without an answer, or handled."""

    async def client(address, server):
        return await exchange_bytes(address, data)

    received = with_server(echo, client, max_body_bytes=64)
    head, _, body = received.partition(b"\r\n\r\n")
    assert head.startswith(f"HTTP/1.1 {status} ".encode())
    problem = json.loads(body)
    assert problem["verdict"] == Verdict.NOT_RUN
    assert problem["status"] == status


@settings(max_examples=40)
@given(
    st.lists(st.binary(max_size=60) | st.sampled_from([GOOD, GOOD[:40]]), max_size=4)
)
def test_arbitrary_bytes_never_raise(pieces):
    """Guards against input that ends the connection task with an error."""

    async def client(address, server):
        received = await exchange_bytes(address, b"".join(pieces))
        assert server.active_requests == 0
        return received

    received = with_server(echo, client)
    assert received == b"" or received.startswith(b"HTTP/1.1 ")
    assert b" 500 " not in received


def test_rejected_bytes_are_told_to_the_owner():
    """Guards against refusals that nobody counts."""
    told = []

    async def on_refusal(refusal):
        told.append(refusal.reason)

    async def client(address, server):
        await exchange_bytes(address, b"nonsense\r\n\r\n")
        await exchange_bytes(address, GOOD)

    with_server(echo, client, on_refusal=on_refusal)
    assert told == [RefusalReason.MALFORMED]


def test_request_that_never_ends_is_refused(monkeypatch):
    """Guards against a caller that holds a connection by sending byte after byte."""
    monkeypatch.setattr(http_server, "REQUEST_TIMEOUT_MS", 300)

    async def client(address, server):
        sock = await curio.open_connection(address.host, address.port)
        await sock.sendall(GOOD[:20])
        received = b""
        while not received:
            await sock.sendall(b"x")
            with suppress(curio.TaskTimeout):
                received = await curio.timeout_after(0.1, sock.recv, 1_000)
        return received

    assert with_server(echo, client).startswith(b"HTTP/1.1 408")


def test_connections_beyond_the_limit_are_refused(monkeypatch):
    """Guards against a flood of connections that uses up all descriptors."""
    monkeypatch.setattr(http_server, "MAX_CONNECTIONS", 1)

    async def client(address, server):
        first = await curio.open_connection(address.host, address.port)
        await curio.sleep(0.05)
        second = await exchange_bytes(address, GOOD)
        await first.close()
        return second

    received = with_server(echo, client)
    assert received.startswith(b"HTTP/1.1 503")
    assert b"Retry-After: 1" in received


def test_pipelined_requests_are_answered_in_order():
    """Guards against a second request that is lost while the first one runs."""

    async def client(address, server):
        return await exchange_bytes(address, GOOD + GOOD.replace(b"/x", b"/y"))

    received = with_server(echo, client)
    assert received.count(b"HTTP/1.1 200") == 2
    assert received.index(b'"/x"') < received.index(b'"/y"')


def test_stream_that_fails_lacks_the_final_chunk():
    """Guards against a cut answer that looks like a whole one."""

    async def pieces():
        yield b"first"
        raise RuntimeError("the source broke")

    async def handler(request):
        return Response(200, pieces())

    async def client(address, server):
        with pytest.raises(TargetFailed) as error:
            await HttpClient().request(address, "GET", "/", timeout_ms=TIMEOUT_MS)
        return error.value.verdict

    assert with_server(handler, client) == Verdict.MAY_HAVE_RUN


def test_slow_caller_slows_only_its_own_stream():
    """Guards against a caller who reads nothing and fills the memory of the process."""
    produced = []

    async def pieces():
        for _ in range(10_000):
            produced.append(1)
            yield b"x" * 10_000

    async def handler(request):
        return Response(200, pieces()) if request.path == "/x" else await echo(request)

    async def client(address, server):
        slow = await curio.open_connection(address.host, address.port)
        await slow.sendall(GOOD)
        http = HttpClient()
        for _ in range(20):
            reply = await http.request(address, "GET", "/y", timeout_ms=TIMEOUT_MS)
            assert reply.status == 200
            await curio.sleep(0.01)
        await slow.close()

    with_server(handler, client)
    # 10,000 pieces are 100 MB; what was produced is in the buffers of two sockets.
    assert len(produced) < 5_000


def test_handler_is_cancelled_when_the_caller_leaves():
    """Guards against work that goes on for a caller who has gone."""
    cancelled = curio.Event()

    async def handler(request):
        try:
            await curio.sleep(60)
        except curio.CancelledError:
            await cancelled.set()
            raise

    async def client(address, server):
        sock = await curio.open_connection(address.host, address.port)
        await sock.sendall(GOOD)
        await curio.sleep(0.05)
        await sock.close()
        await cancelled.wait()

    with_server(handler, client)
    assert cancelled.is_set()


def test_refused_connection_says_that_nothing_was_sent():
    """Guards against "may have run" for a request of which no byte was sent."""

    async def main():
        (address,) = free_addresses(1)
        await HttpClient().request(address, "GET", "/", timeout_ms=TIMEOUT_MS)

    with pytest.raises(ConnectFailed) as error:
        curio.run(main)
    assert error.value.verdict == Verdict.NOT_RUN


def test_silent_server_is_reported_as_silent():
    """Guards against waiting for ever on a connection that went silent."""

    async def handler(request):
        await curio.sleep(60)

    async def client(address, server):
        with pytest.raises(TargetFailed) as error:
            await HttpClient().request(address, "GET", "/", timeout_ms=50)
        return error.value

    failure = with_server(handler, client)
    assert failure.silent
    assert failure.verdict == Verdict.MAY_HAVE_RUN


def test_idle_connections_close_when_draining():
    """Guards against keep-alive connections that hold up a planned stop."""

    async def client(address, server):
        http = HttpClient()
        await http.request(address, "GET", "/", timeout_ms=TIMEOUT_MS)
        (connection,) = http.idle_by_address[address]
        server.draining = True
        await server.close_idle()
        return await connection.sock.recv(10)

    assert with_server(echo, client) == b""
