"""Tests of a second drain beside requests that are on their way."""

import curio
import pytest

from tests.test_http_server import GOOD, with_server
from tests.test_server_close import connect, read_all, streaming_handler

pytestmark = pytest.mark.network


def test_request_that_follows_a_stream_survives_the_end_of_accepting():
    """Guards against a connection that closes before its wait of 200 ms is over.

    The head of its last answer was sent before the stop and announced no close.
    """

    async def client(address, server):
        sock = await connect(address, GOOD.replace(b"/x", b"/stream"))
        received = await sock.recv(65_536)
        await server.drain()
        while not received.endswith(b"0\r\n\r\n"):
            received += await sock.recv(65_536)
        await curio.sleep(0.02)
        await server.stop_accepting()
        await curio.sleep(0.05)
        try:
            await sock.sendall(GOOD)
            return await read_all(sock)
        except OSError as error:
            return repr(error).encode()

    assert with_server(streaming_handler(0.2), client).startswith(b"HTTP/1.1 200")
