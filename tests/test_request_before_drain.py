"""Tests of requests that follow a stream which ended just before a drain."""

import curio
import pytest

from tests.test_http_server import GOOD
from tests.test_server_close import connect, read_all, streaming_handler
from tests.virtual_sockets import run_with_virtual_sockets
from wagtailrun.adapters.http_server import HttpServer
from wagtailrun.adapters.idle_connections import DRAIN_REQUEST_WAIT_MS
from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.ports.link import Address

STREAM_S = 0.3
WAIT_S = DRAIN_REQUEST_WAIT_MS / MS_PER_SECOND


def run_server(client):
    """Run ``client(server, sock)`` when a stream on ``sock`` ended in a notice.

    Its head was sent before the notice, so that it announced no close.
    """

    async def main():
        server = HttpServer(Address("127.0.0.1", 80), streaming_handler(STREAM_S))
        await curio.spawn(server.serve, daemon=True)
        await curio.sleep(0)
        sock = await connect(server.address, GOOD.replace(b"/x", b"/stream"))
        received = await sock.recv(65_536)
        assert b"lose" not in received
        server.closing = True
        while not received.endswith(b"0\r\n\r\n"):
            received += await sock.recv(65_536)
        return await client(server, sock)

    return run_with_virtual_sockets(main)


async def send_after(sock, delay_s):
    """Return the answer to a request, or the error."""
    await curio.sleep(delay_s)
    try:
        await sock.sendall(GOOD)
        return await read_all(sock)
    except OSError as error:
        return repr(error).encode()


@pytest.mark.parametrize("ended_ago_s", [0, 0.02, 0.15])
@pytest.mark.parametrize("drains", [1, 2])
def test_request_that_follows_a_stream_survives_a_drain(ended_ago_s, drains):
    """Guards against a request that is lost as its connection counts as idle.

    A stream that ends after the drain began leaves its caller 200 ms for the next
    request; one that ended just before it left none.
    """

    async def client(server, sock):
        await curio.sleep(ended_ago_s)
        for _ in range(drains):
            await server.drain()
        assert server.is_busy
        return await send_after(sock, WAIT_S - ended_ago_s - 0.02)

    answer = run_server(client)
    assert answer.startswith(b"HTTP/1.1 200")
    assert b"Connection: close" in answer


def test_connection_without_another_request_ends_after_its_wait():
    """Guards against a connection that a drain leaves open up to the end of a stop."""

    async def client(server, sock):
        await curio.sleep(0.02)
        await server.drain()
        started_s = await curio.clock()
        rest = await read_all(sock)
        return rest, await curio.clock() - started_s, server.is_busy

    rest, took_s, is_busy = run_server(client)
    assert (rest, is_busy) == (b"", False)
    assert took_s == pytest.approx(WAIT_S - 0.02, abs=0.005)


def test_connection_that_was_idle_for_long_ends_at_once():
    """Guards against a stop that waits for every idle connection."""

    async def client(server, sock):
        await curio.sleep(WAIT_S)
        await server.drain()
        started_s = await curio.clock()
        return await read_all(sock), await curio.clock() - started_s

    assert run_server(client) == (b"", 0)
