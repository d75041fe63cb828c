"""Tests of the count of requests that cross the end of their kept connection."""

import socket

import curio
import pytest

from tests.test_http_server import GOOD, echo, with_server
from tests.test_server_close import connect
from wagtailrun.adapters.idle_connections import (
    CROSSING_WAIT_MS,
    DRAIN_REQUEST_WAIT_MS,
)
from wagtailrun.clock import MS_PER_SECOND

pytestmark = pytest.mark.network

IDLE_S = (DRAIN_REQUEST_WAIT_MS + 50) / MS_PER_SECOND
WATCHED_S = (CROSSING_WAIT_MS + 100) / MS_PER_SECOND


async def send_again(sock):
    """Send a request without a look whether the connection is open."""
    await sock.sendall(GOOD)


async def close(sock):
    await sock.close()


async def stay(sock):
    """Notice nothing."""


@pytest.mark.parametrize(("act", "crossed"), [(send_again, 1), (close, 0), (stay, 0)])
@pytest.mark.parametrize("stop", ["drain", "stop_accepting"])
def test_request_that_crosses_the_end_of_its_connection_is_counted(stop, act, crossed):
    """Guards against requests without an answer that no log line tells of."""

    async def client(address, server):
        sock = await connect(address, GOOD)
        await sock.recv(65_536)
        await curio.sleep(IDLE_S)
        await getattr(server, stop)()
        await curio.sleep(0.02)
        await act(sock)
        # The client learns of the end at once.
        end = b"" if act is close else await end_of(sock)
        await curio.sleep(WATCHED_S)
        assert not server.open_connections
        return end, server.crossed_requests

    assert with_server(echo, client) == (b"", crossed)


async def end_of(sock):
    try:
        async with curio.timeout_after(CROSSING_WAIT_MS / 2 / MS_PER_SECOND):
            return await sock.recv(65_536)
    except ConnectionResetError:
        return b""


def test_request_that_crosses_the_end_of_its_connection_is_not_read():
    """Guards against a client that takes its request for one that may have run."""
    seen = []

    async def handler(request):
        seen.append(request)
        return await echo(request)

    async def client(address, server):
        sock = await connect(address, GOOD)
        await sock.recv(65_536)
        await curio.sleep(IDLE_S)
        await server.drain()
        await curio.sleep(0.02)
        await sock.sendall(GOOD)
        await curio.sleep(0.02)
        # A reset tells the client that the bytes were not taken.
        return sock._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)

    assert with_server(handler, client)
    assert len(seen) == 1
