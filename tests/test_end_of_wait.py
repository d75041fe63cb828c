"""Tests of requests that arrive as the wait of their connection ends."""

import curio
import pytest

from tests.test_http_server import GOOD
from tests.test_server_close import connect, read_all, streaming_handler
from tests.virtual_sockets import run_with_virtual_sockets
from wagtailrun.adapters.http_server import HttpServer
from wagtailrun.adapters.idle_connections import DRAIN_REQUEST_WAIT_MS
from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.ports.link import Address
from wagtailrun.virtual_time import VirtualClock

STREAM_S = 0.3
WAIT_S = DRAIN_REQUEST_WAIT_MS / MS_PER_SECOND
HELD_S = 0.05
PIECES = {"whole": (GOOD, b""), "half": (GOOD[:-1], GOOD[-1:])}


@pytest.mark.parametrize("pieces", PIECES.values(), ids=PIECES)
@pytest.mark.parametrize("drains_before_end", [True, False])
def test_request_that_arrives_as_the_wait_ends_is_answered(drains_before_end, pieces):
    """Guards against a request that is refused or lost although it has arrived.

    The loop is held as the wait ends; the request arrives before the turn of the
    connection.
    """
    clock = VirtualClock()

    async def main():
        server = HttpServer(Address("127.0.0.1", 80), streaming_handler(STREAM_S))
        await curio.spawn(server.serve, daemon=True)
        await curio.sleep(0)
        sock = await connect(server.address, GOOD.replace(b"/x", b"/stream"))
        received = await sock.recv(65_536)
        server.closing = True
        if drains_before_end:
            await server.drain()
        while not received.endswith(b"0\r\n\r\n"):
            received += await sock.recv(65_536)
        await curio.sleep(0.01)
        if not drains_before_end:
            await server.drain()

        async def send():
            await curio.sleep(WAIT_S - 0.02)
            await sock.sendall(pieces[0])
            await curio.sleep(0.02)
            await sock.sendall(pieces[1])
            return await read_all(sock)

        sender = await curio.spawn(send)
        await curio.sleep(WAIT_S - 0.03)
        clock.seconds += HELD_S
        return await sender.join()

    answer = run_with_virtual_sockets(main, clock)
    assert answer.startswith(b"HTTP/1.1 200")
